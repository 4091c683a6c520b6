//! Which replies a conclusion about a stream needs that nobody knows.

use sill_base::{Millis, Name};
use sill_dispatch::streams::{ASKED, STREAM_LIFETIME, TakeUp, VersionHistory};
use sill_dispatch::{Inquiry, OriginServices};
use sill_wire::control::Revision;
use sill_wire::streams::{
    ConfirmVersionsReply, EntryPeer, FindStreamReply, StreamOrigin, VersionView,
};
use sill_wire::{Incarnation, RequestKey};

const REVISION: u64 = 7;

/// How an instance that is asked takes part.
#[derive(Debug, Clone, Copy)]
enum Peer {
    /// It is the one that asks.
    Own,
    Silent,
    /// It has ended.
    Ended,
    /// It replies with the versions that it knows.
    Replies(&'static [&'static str]),
    Knows(&'static str),
}

use Peer::{Ended, Knows, Own, Replies, Silent};

/// What a control instance replies: whether it has a leader, the revision, and versions.
type Confirmation = (bool, Option<u64>, &'static [&'static str]);

struct Case {
    name: &'static str,
    /// The asked instances in order, with their failure domains.
    peers: &'static [(Peer, &'static str)],
    confirmation: Option<Confirmation>,
    /// Whether instances have heard of all versions over the life of a stream.
    has_history: bool,
    /// The versions in the replicated log.
    recorded: Option<&'static [&'static str]>,
    /// The version at which the stream continues.
    expected: Option<&'static str>,
}

const V1: &[&str] = &["v1"];
const BOTH: &[&str] = &["v1", "v2"];

/// The confirmation of a control instance that is in step.
const CONFIRMED: Option<Confirmation> = Some((true, Some(REVISION), V1));

fn view(versions: &[&str], is_complete: bool) -> VersionView {
    let versions = versions.iter().map(|version| (*version).into()).collect();
    VersionView { versions, is_complete }
}

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        stream: RequestKey::of(&[b"s"]),
        service: "desk".into(),
        endpoint: "e1".into(),
        software: software.into(),
        age: Millis::ZERO,
        time_left: Millis(60_000),
    }
}

fn decide(case: &Case) -> TakeUp {
    let name = |i: usize| Name::from(format!("g{i}").as_str());
    let asked = case.peers.iter().enumerate().map(|(i, (_, domain))| EntryPeer {
        entry: name(i),
        domain: (*domain).into(),
        address: ([10, 0, 0, 1], 7000 + i as u16).into(),
        incarnation: Incarnation(1),
    });
    let asked: Vec<EntryPeer> = asked.collect();
    assert!(asked.len() <= ASKED, "{}", case.name);
    let own = case.peers.iter().position(|(peer, _)| matches!(peer, Own)).unwrap_or(99);
    let view = |versions| view(versions, case.has_history);
    let mut inquiry = Inquiry::new(&name(own), &"a".into(), &asked, view(V1));
    for (i, (peer, _)) in case.peers.iter().enumerate() {
        let reply = |origin, versions| FindStreamReply { origin, view: view(versions) };
        match peer {
            Own | Silent => {}
            Ended => inquiry.record_end(&name(i)),
            Replies(versions) => inquiry.record_reply(&name(i), reply(None, versions)),
            Knows(software) => {
                inquiry.record_reply(&name(i), reply(Some(origin(software)), BOTH));
            }
        }
    }
    if let Some((has_leader, revision, versions)) = case.confirmation {
        let versions = versions.iter().map(|version| (*version).into()).collect();
        let revision = revision.map(Revision);
        let recorded = case.recorded.map(|of| of.iter().map(|v| (*v).into()).collect());
        let reply = ConfirmVersionsReply { has_leader, versions, revision, recorded };
        inquiry.record_confirmation(REVISION, reply);
    }
    inquiry.decide(&OriginServices { services: vec!["desk".into()], is_complete: true })
}

/// Silence, or the word of those who are out of step as well, passes for agreement.
#[test]
fn a_conclusion_needs_a_holder_in_contact_and_a_control_instance() {
    let case = |name, peers, confirmation, expected| Case {
        name,
        peers,
        confirmation,
        has_history: true,
        recorded: None,
        expected,
    };
    let cases = [
        case(
            "all reply",
            &[(Replies(V1), "b"), (Replies(V1), "c"), (Replies(V1), "a"), (Replies(V1), "b")],
            CONFIRMED,
            Some("v1"),
        ),
        case(
            "nobody replies",
            &[(Silent, "b"), (Silent, "c"), (Silent, "a"), (Silent, "b")],
            CONFIRMED,
            None,
        ),
        case("nobody else runs", &[(Own, "a")], CONFIRMED, Some("v1")),
        case("nobody is listed", &[], CONFIRMED, Some("v1")),
        case(
            "all others have ended",
            &[(Ended, "b"), (Ended, "c"), (Own, "a"), (Ended, "b")],
            CONFIRMED,
            Some("v1"),
        ),
        case(
            "one has ended, another is silent",
            &[(Ended, "b"), (Silent, "c"), (Own, "a"), (Ended, "b")],
            CONFIRMED,
            None,
        ),
        case(
            "one of two replies",
            &[(Replies(V1), "b"), (Silent, "c"), (Silent, "a"), (Silent, "b")],
            CONFIRMED,
            Some("v1"),
        ),
        case(
            "the own failure domain replies",
            &[(Silent, "b"), (Silent, "c"), (Replies(V1), "a"), (Replies(V1), "a")],
            CONFIRMED,
            None,
        ),
        case(
            "one that keeps no record replies",
            &[(Silent, "b"), (Silent, "c"), (Silent, "a"), (Replies(V1), "b")],
            CONFIRMED,
            None,
        ),
        case(
            "a single failure domain",
            &[(Silent, "a"), (Replies(V1), "a"), (Own, "a"), (Silent, "a")],
            CONFIRMED,
            Some("v1"),
        ),
        case("no control instance", &[(Replies(V1), "b"), (Own, "a")], None, None),
        case(
            "a control instance without a leader",
            &[(Replies(V1), "b"), (Own, "a")],
            Some((false, Some(REVISION), V1)),
            None,
        ),
        case(
            "newer settings",
            &[(Replies(V1), "b"), (Own, "a")],
            Some((true, Some(REVISION + 1), V1)),
            None,
        ),
        case("no settings told", &[(Replies(V1), "b"), (Own, "a")], Some((true, None, V1)), None),
        case(
            "a version that was missed",
            &[(Replies(V1), "b"), (Own, "a")],
            Some((true, Some(REVISION), BOTH)),
            None,
        ),
        case(
            "a version that another has heard of",
            &[(Replies(BOTH), "b"), (Own, "a")],
            CONFIRMED,
            None,
        ),
        case("known", &[(Knows("v2"), "a"), (Own, "a")], None, Some("v2")),
        case(
            "known to one of many",
            &[(Replies(V1), "b"), (Silent, "c"), (Own, "a"), (Knows("v2"), "b")],
            CONFIRMED,
            Some("v2"),
        ),
    ];
    cases.iter().for_each(check);
}

fn check(case: &Case) {
    let software = match decide(case) {
        TakeUp::Known(known) => Some(known.origin.software),
        TakeUp::Single(software) => Some(software),
        TakeUp::Unknown => None,
    };
    assert_eq!(software, case.expected.map(Into::into), "{}", case.name);
}

/// After a kill of all processes, streams can't go on for a minute although there is a single version; or
/// go on at another one than theirs, as the record is taken for more than it is.
#[test]
fn the_replicated_log_tells_the_versions_after_a_kill_of_all_processes() {
    const PEERS: &[(Peer, &str)] = &[(Replies(V1), "b"), (Own, "a")];
    let case = |name, confirmation, has_history, recorded, expected| Case {
        name,
        peers: PEERS,
        confirmation,
        has_history,
        recorded,
        expected,
    };
    let unled = Some((false, Some(REVISION), V1));
    let newer = Some((true, Some(REVISION + 1), V1));
    let cases = [
        case("not recorded", CONFIRMED, false, None, None),
        case("one version", CONFIRMED, false, Some(V1), Some("v1")),
        case("another that is gone", CONFIRMED, false, Some(BOTH), None),
        case("another that runs", Some((true, Some(REVISION), BOTH)), false, Some(V1), None),
        case("none of those that run", CONFIRMED, false, Some(&["v2"]), None),
        case("no leader", unled, false, Some(V1), None),
        case("newer settings", newer, false, Some(V1), None),
        case("no control instance", None, false, Some(V1), None),
        // The log forgets later than those who saw the last endpoint end.
        case("forgotten elsewhere", CONFIRMED, true, Some(BOTH), Some("v1")),
    ];
    cases.iter().for_each(check);
}

/// After a standstill an instance takes an old reply for new, or one that was read late for newer than
/// one that was asked for after it.
#[test]
fn a_reply_of_a_control_instance_counts_from_when_it_was_asked_for() {
    struct Case {
        name: &'static str,
        /// When replies were asked for, in the order in which they were read.
        asked_at: &'static [u64],
        now: u64,
        age: u64,
        is_complete: bool,
    }
    let case =
        |name, asked_at, now, age, is_complete| Case { name, asked_at, now, age, is_complete };
    let cases = [
        case("read at once", &[1000], 1200, 200, true),
        case("read after a standstill", &[1000], 4000, 3000, false),
        case("asked for again", &[1000, 3990], 4000, 10, true),
        case("read in another order", &[3990, 1000], 4000, 10, true),
    ];
    for Case { name, asked_at, now, age, is_complete } in cases {
        let mut history = VersionHistory::default();
        assert_eq!(history.age(Millis(now)), None, "{name}");
        let replies = asked_at.iter().map(|at| Millis(*at));
        replies.for_each(|at| history.record_reply(at, STREAM_LIFETIME + Millis(5000)));
        assert_eq!(history.age(Millis(now)), Some(Millis(age)), "{name}");
        assert_eq!(history.is_complete(Millis(now)), is_complete, "{name}");
    }
}
