//! Which version began a stream, who keeps it, and who may answer for it.

use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sill_base::random::{cases, seed};
use sill_base::{Millis, Name};
use sill_dispatch::OriginServices;
use sill_dispatch::streams::{
    ASKED, HOLDERS, KnownStream, MAX_BATCH, STREAM_LIFETIME, StreamOrigins, TakeUp, VersionHistory,
    decide, holders,
};
use sill_wire::streams::{EntryPeer, StreamOrigin, VersionView};
use sill_wire::{Incarnation, RequestKey, Software};

/// The services of a route that has had a single one for long.
fn one_service() -> OriginServices {
    OriginServices { services: vec!["desk".into()], is_complete: true }
}

fn key(number: usize) -> RequestKey {
    RequestKey::of(&[&number.to_le_bytes()])
}

fn origin(number: usize, software: &str) -> StreamOrigin {
    StreamOrigin {
        stream: key(number),
        service: "desk".into(),
        endpoint: "e1".into(),
        software: software.into(),
        age: Millis::ZERO,
        time_left: Millis(60_000),
    }
}

fn services() -> Arc<[Name]> {
    Arc::from(["desk".into()])
}

fn peer(number: usize, domain: usize) -> EntryPeer {
    EntryPeer {
        entry: format!("g{number}").into(),
        domain: format!("d{domain}").into(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7000).into(),
        incarnation: Incarnation(1),
    }
}

fn software_of(origins: &StreamOrigins, now: Millis, number: usize) -> Option<Software> {
    Some(origins.find(now, key(number))?.origin.software)
}

/// A stream is known for as long as its caller may take it up, with its age and who sent the record.
#[test]
fn a_stream_is_known_until_its_time_is_over() {
    let mut origins = StreamOrigins::default();
    origins.record_own(Millis(1000), &origin(1, "v1"), services());
    let replica = StreamOrigin { age: Millis(400), time_left: Millis(20_000), ..origin(2, "v2") };
    assert!(origins.record_replica(Millis(1000), &replica, &"g1".into()));
    let own = origins.find(Millis(1500), key(1)).expect("it is known");
    assert_eq!((own.origin.age, own.from), (Millis(500), None));
    let other = origins.find(Millis(1500), key(2)).expect("it is known");
    assert_eq!((other.origin.age, other.from), (Millis(900), Some("g1".into())));
    assert_eq!(other.origin.time_left, Millis(19_500));
    assert_eq!(software_of(&origins, Millis(21_000), 2), None);
    assert_eq!(software_of(&origins, Millis(60_999), 1), Some("v1".into()));
    assert_eq!(software_of(&origins, Millis(61_000), 1), None);
}

/// A caller uses the id of one stream for another one, which another version begins. Neither may be
/// continued by the version of the other.
#[test]
fn streams_with_the_same_key_and_different_origins_are_not_continued() {
    struct Case {
        name: &'static str,
        second: StreamOrigin,
        is_continued: bool,
    }
    let cases = [
        Case { name: "taken up again", second: origin(1, "v1"), is_continued: true },
        Case {
            name: "at another endpoint",
            second: StreamOrigin { endpoint: "e2".into(), ..origin(1, "v1") },
            is_continued: true,
        },
        Case { name: "at another version", second: origin(1, "v2"), is_continued: false },
        Case {
            name: "at another service",
            second: StreamOrigin { service: "hall".into(), ..origin(1, "v1") },
            is_continued: false,
        },
    ];
    for Case { name, second, is_continued } in cases {
        let mut origins = StreamOrigins::default();
        origins.record_own(Millis(1000), &origin(1, "v1"), services());
        origins.record_replica(Millis(1100), &second, &"g1".into());
        let known = origins.find(Millis(1200), key(1));
        let decision = decide(known, &one_service(), []);
        assert_eq!(matches!(decision, TakeUp::Known(_)), is_continued, "{name}: {decision:?}");
    }
}

/// Streams are replicated once, as soon as their service has several versions, in messages of bounded
/// size.
#[test]
fn streams_are_replicated_once_when_their_service_has_several_versions() {
    let mut origins = StreamOrigins::default();
    for i in 0..MAX_BATCH + 10 {
        origins.record_own(Millis(1000), &origin(i, "v1"), services());
    }
    origins.record_replica(Millis(1000), &origin(9999, "v1"), &"g1".into());
    let now = Millis(2000);
    assert!(origins.take_unreplicated(now, |_| false).is_empty());
    assert_eq!(origins.replicated(now).len(), 1, "the replica");
    assert_eq!(
        origins.take_unreplicated(now, |services| services == [Name::from("desk")]).len(),
        MAX_BATCH
    );
    assert_eq!(origins.take_unreplicated(now, |_| true).len(), 10);
    assert!(origins.take_unreplicated(now, |_| true).is_empty());
    assert_eq!(origins.replicated(now).len(), MAX_BATCH + 11);
}

/// Callers name made-up streams, and others end without being taken up: memory must not grow.
#[test]
fn the_number_of_streams_is_bounded() {
    let mut origins = StreamOrigins::default();
    for i in 0..100_000 {
        origins.record_own(Millis(i as u64), &origin(i, "v1"), services());
        origins.find(Millis(i as u64), key(1_000_000 + i));
    }
    assert!(origins.len() <= 16_384, "{}", origins.len());
    assert_eq!(software_of(&origins, Millis(100_000), 99_999), Some("v1".into()));
    origins.record_own(Millis(400_000), &origin(0, "v1"), services());
    assert_eq!(origins.len(), 1, "the others have expired");
}

/// The instances that keep a stream and those that are asked for it have one in common, although their
/// lists differ by instances that came and went, and one that keeps it is lost.
#[test]
fn instances_with_different_lists_find_a_stream() {
    let entries = prop::collection::vec(0..5_usize, 3..40);
    let strategy =
        (entries, any::<u64>(), any::<prop::sample::Index>(), any::<prop::sample::Index>());
    let mut bytes = [3; 32];
    bytes[..8].copy_from_slice(&seed(51).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &bytes);
    let config = Config { cases: cases(2000), failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&strategy, |(domains, number, gone, lost)| {
        let all: Vec<EntryPeer> =
            domains.iter().enumerate().map(|(i, domain)| peer(i, *domain)).collect();
        let stream = key(number as usize);
        let kept = holders(stream, &all, HOLDERS);
        prop_assert_eq!(kept.len(), HOLDERS);
        let mut kept_domains: Vec<&Name> = kept.iter().map(|peer| &peer.domain).collect();
        kept_domains.sort();
        kept_domains.dedup();
        let mut all_domains = domains.clone();
        all_domains.sort_unstable();
        all_domains.dedup();
        prop_assert_eq!(kept_domains.len(), all_domains.len().min(HOLDERS));
        let mut other = all.clone();
        other.remove(gone.index(all.len()));
        other.push(peer(100, 9));
        let asked = holders(stream, &other, ASKED);
        let lost = kept[lost.index(HOLDERS)];
        let found = kept.iter().filter(|peer| **peer != lost && asked.contains(peer)).count();
        prop_assert!(found > 0, "kept at {:?}, asked {:?}", kept, asked);
        Ok(())
    });
    result.unwrap_or_else(|err| panic!("{err}"));
}

/// The names of instances differ in a few letters only. With a weak hash a few instances keep most
/// streams.
#[test]
fn streams_are_spread_over_instances() {
    let names: [&[&str]; 2] = [
        &["edge-macon-hall-1", "edge-macon-hall-2", "edge-perry-hall-1", "edge-perry-hall-2"],
        &["g0", "g1", "g2", "g3", "g4", "g5", "g6", "g7"],
    ];
    for names in names {
        let entries: Vec<EntryPeer> =
            names.iter().map(|name| EntryPeer { entry: (*name).into(), ..peer(0, 0) }).collect();
        let mut counts = vec![0_usize; names.len()];
        for number in 0..8000 {
            let first = holders(key(number), &entries, 1)[0];
            let kept_at = entries.iter().position(|peer| peer == first);
            counts[kept_at.expect("it is one of them")] += 1;
        }
        let even = 8000 / names.len();
        let is_even = |count: &usize| *count > even * 8 / 10 && *count < even * 12 / 10;
        assert!(counts.iter().all(is_even), "{counts:?} for {names:?}");
    }
}

/// An instance that has just started, or hears no control instance, takes the version that it knows
/// for the only one.
#[test]
fn an_instance_knows_all_versions_only_after_hearing_of_them_without_a_gap() {
    /// A reply at a time, with the time for which its sender has known all endpoints.
    type Reply = (u64, u64);
    struct Case {
        name: &'static str,
        replies: &'static [Reply],
        now: u64,
        is_complete: bool,
    }
    let cases = [
        Case { name: "nothing heard", replies: &[], now: 90_000, is_complete: false },
        Case { name: "young system", replies: &[(900, 500)], now: 1000, is_complete: false },
        Case { name: "new system", replies: &[(900, 1 << 40)], now: 1000, is_complete: true },
        Case {
            name: "restart in an old one",
            replies: &[(900, 60_000)],
            now: 1000,
            is_complete: true,
        },
        Case { name: "silence", replies: &[(900, 90_000)], now: 2500, is_complete: false },
        Case {
            name: "after it",
            replies: &[(900, 90_000), (9000, 99_000)],
            now: 9100,
            is_complete: true,
        },
        Case {
            name: "control has restarted meanwhile",
            replies: &[(900, 90_000), (9000, 2000)],
            now: 9100,
            is_complete: false,
        },
        Case {
            name: "one of two has restarted",
            replies: &[(900, 90_000), (1100, 10), (2000, 910)],
            now: 2100,
            is_complete: true,
        },
    ];
    for Case { name, replies, now, is_complete } in cases {
        let mut history = VersionHistory::default();
        for (at, span) in replies {
            history.record_reply(Millis(*at), Millis(*span));
        }
        assert_eq!(history.is_complete(Millis(now)), is_complete, "{name}");
    }
    let mut history = VersionHistory::default();
    let ends_at = STREAM_LIFETIME.0 + 1000;
    (1000..=ends_at)
        .step_by(250)
        .for_each(|at| history.record_reply(Millis(at), Millis(at - 1000)));
    assert!(history.is_complete(Millis(ends_at)));
}

/// A take-up continues at a version that is guessed, or is refused although it can only be one.
#[test]
fn a_stream_continues_at_its_version_or_at_the_only_one() {
    struct Case {
        name: &'static str,
        known: Option<&'static str>,
        /// Versions that instances know, and whether they know all.
        views: Vec<(&'static [&'static str], bool)>,
        expected: Option<&'static str>,
    }
    let case = |name, known, views: &[(&'static [&'static str], bool)], expected| Case {
        name,
        known,
        views: views.to_vec(),
        expected,
    };
    let cases = [
        case("known", Some("v1"), &[(&["v2"], true)], Some("v1")),
        case("one version", None, &[(&["v1"], true)], Some("v1")),
        case("no version reported", None, &[(&[""], true)], Some("")),
        case("one version, not sure", None, &[(&["v1"], false)], None),
        case("others are sure", None, &[(&["v1"], false), (&["v1"], true)], Some("v1")),
        case("others know another", None, &[(&["v1"], true), (&["v2"], false)], None),
        case("two versions", None, &[(&["v1", "v2"], true)], None),
        case("some report none", None, &[(&["", "v2"], true)], None),
        case("no endpoint", None, &[(&[], true)], None),
        case("nobody replied", None, &[], None),
    ];
    for Case { name, known, views, expected } in cases {
        let known = known.map(|software| KnownStream { origin: origin(1, software), from: None });
        let views = views.into_iter().map(|(versions, is_complete)| VersionView {
            versions: versions.iter().map(|version| Software::from(*version)).collect(),
            is_complete,
        });
        let software = match decide(known, &one_service(), views) {
            TakeUp::Known(known) => Some(known.origin.software),
            TakeUp::Single(software) => Some(software),
            TakeUp::Unknown => None,
        };
        assert_eq!(software, expected.map(Software::from), "{name}");
    }
    let ambiguous = VersionView { versions: vec![Software::AMBIGUOUS], is_complete: true };
    assert_eq!(decide(None, &one_service(), [ambiguous]), TakeUp::Unknown);
}

/// The route was moved, or may have been, and a stream of its former service continues at the new one.
#[test]
fn a_stream_of_several_services_is_not_continued_by_a_guess() {
    struct Case {
        services: &'static [&'static str],
        is_complete: bool,
        continues: bool,
    }
    let cases = [
        Case { services: &["desk"], is_complete: true, continues: true },
        Case { services: &["desk"], is_complete: false, continues: false },
        Case { services: &["annex", "desk"], is_complete: true, continues: false },
    ];
    for Case { services, is_complete, continues } in cases {
        let names = services.iter().map(|name| (*name).into()).collect();
        let origins = OriginServices { services: names, is_complete };
        let view = VersionView { versions: vec!["v1".into()], is_complete: true };
        let decision = decide(None, &origins, [view]);
        let expected = if continues { TakeUp::Single("v1".into()) } else { TakeUp::Unknown };
        assert_eq!(decision, expected, "{origins:?}");
    }
}
