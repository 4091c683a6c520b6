//! When answers count as whole whose ends prove nothing.

use sill_base::{Millis, Name};
use sill_dispatch::end_log::may_be_gone;
use sill_dispatch::events::may_follow;
use sill_dispatch::{
    EndChecks, EndInDoubt, EndKind, EndLog, EndStep, EndVerdict, EndpointCheck, EndpointSigns,
    Proof, ProofKind, ResumeChecks, longest_wait,
};

const HEARTBEAT: Millis = Millis(600);

/// Time that a check takes.
const CHECK_TIME: Millis = Millis(100);

/// An endpoint in virtual time.
#[derive(Debug, Clone, Copy)]
struct Endpoint {
    /// It replies to checks that begin before.
    replies_until: Millis,
    /// How long a reply takes.
    reply_time: Millis,
    /// When the connections were opened on which it replies.
    opened_at: Millis,
    /// What checks find from then on, and how long they take.
    after: (EndpointCheck, Millis),
    /// Parts of other answers arrive every 10 ms until then.
    heard_until: Millis,
    /// Other answers are awaited until then.
    awaited_until: Millis,
}

/// One whose host refuses connections once it has ended.
const fn ends_at(at: Millis) -> Endpoint {
    Endpoint {
        replies_until: at,
        reply_time: CHECK_TIME,
        opened_at: Millis::ZERO,
        after: (EndpointCheck::Ended, Millis(1)),
        heard_until: Millis::ZERO,
        awaited_until: Millis::ZERO,
    }
}

/// One whose host shows nothing once it has ended.
const fn silent_from(at: Millis) -> Endpoint {
    Endpoint { after: (EndpointCheck::Silent, CHECK_TIME), ..ends_at(at) }
}

impl Endpoint {
    fn check(&self, began_at: Millis) -> (EndpointCheck, Millis) {
        match began_at < self.replies_until {
            true => (EndpointCheck::Running, self.reply_time),
            false => self.after,
        }
    }

    fn signs(&self, now: Millis) -> EndpointSigns {
        let heard_at = Millis(now.min(self.heard_until).0 / 10 * 10);
        EndpointSigns {
            heard_at: (self.heard_until > Millis::ZERO).then_some(heard_at),
            is_awaited: now < self.awaited_until,
            arrived_at: (self.heard_until > Millis::ZERO).then_some(heard_at),
        }
    }
}

/// Plays ends at these times in virtual time, all of them to be decided by `decide_by`. Returns the decisions
/// with their times, and the number of checks.
fn play_all(
    kind: EndKind,
    ends: &[Millis],
    decide_by: Millis,
    endpoint: Endpoint,
) -> (Vec<(EndStep, Millis)>, usize) {
    let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
    let mut running: Vec<(Millis, Millis, EndpointCheck)> = Vec::new();
    let mut decided = vec![None; ends.len()];
    let mut count = 0;
    for now in (0..4000).map(Millis) {
        running.retain(|(began_at, over_at, check)| {
            if now >= *over_at {
                checks.record(now, &"e1", *began_at, *check, Some(endpoint.opened_at));
            }
            now < *over_at
        });
        for (ended_at, decided) in ends.iter().zip(&mut decided) {
            if now < *ended_at || decided.is_some() {
                continue;
            }
            let end =
                EndInDoubt { kind, at: *ended_at, decide_by, ran_at: None, has_alternative: true };
            match checks.step(now, &"e1", end, endpoint.signs(now)) {
                EndStep::Wait(_) => {}
                EndStep::Check => {
                    let (check, time) = endpoint.check(now);
                    running.push((now, now + time, check));
                    count += 1;
                }
                step => *decided = Some((step, now)),
            }
        }
    }
    (decided.into_iter().map(|decided| decided.expect("a decision")).collect(), count)
}

/// Plays an end at 1000, without a deadline.
fn play(kind: EndKind, endpoint: Endpoint) -> (EndStep, Millis, usize) {
    let (decided, count) = play_all(kind, &[Millis(1000)], Millis(100_000), endpoint);
    let (step, at) = decided[0];
    (step, at - Millis(1000), count)
}

const fn is_proven(step: EndStep) -> bool {
    matches!(step, EndStep::Decided(EndVerdict::Proven(_)))
}

const fn not_shown(check: EndpointCheck) -> EndStep {
    EndStep::Decided(EndVerdict::NotShown(check))
}

/// If one reply right after the end decided, parts of a process that ends would pass for all of it.
#[test]
fn an_endpoint_has_to_outlive_the_end_by_a_heartbeat() {
    for outlives in [0, 5, 15, 40, 100, 300, 599] {
        let endpoint = ends_at(Millis(1000 + outlives));
        let (step, at, count) = play(EndKind::Stream, endpoint);
        assert_eq!(step, not_shown(EndpointCheck::Ended), "outlives it by {outlives} ms");
        assert!(at <= Millis(outlives + 251), "outlives it by {outlives} ms, decided at {at:?}");
        assert!(count <= 5, "{count} checks");
    }
    let (step, at, count) = play(EndKind::Stream, ends_at(Millis::MAX));
    assert!(is_proven(step), "{step:?}");
    assert!(at <= HEARTBEAT + CHECK_TIME, "decided at {at:?}");
    assert!(count <= 5, "{count} checks");
}

/// A host that drops what arrives, or accepts connections that nobody reads, would pass for its endpoint.
#[test]
fn the_lack_of_a_refutation_is_no_proof() {
    for kind in [EndKind::Stream, EndKind::LeavingStream, EndKind::Plain] {
        for outlives in [0, 15] {
            let (step, at, count) = play(kind, silent_from(Millis(1000 + outlives)));
            assert_eq!(step, not_shown(EndpointCheck::Silent), "{kind:?}, {outlives} ms");
            // Callers leave after 2 s of silence.
            assert!(at < Millis(1800), "{kind:?}, {outlives} ms: decided at {at:?}");
            assert!(count <= 12, "{count} checks");
        }
    }
}

/// Whole streams of an endpoint that pauses for a second would be cut.
#[test]
fn an_endpoint_that_replies_again_in_time_has_outlived_the_end() {
    let pause = Endpoint { replies_until: Millis::ZERO, ..silent_from(Millis::ZERO) };
    let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
    let end = EndInDoubt {
        kind: EndKind::Stream,
        at: Millis::ZERO,
        decide_by: Millis(10_000),
        ran_at: None,
        has_alternative: true,
    };
    let (mut now, mut began_at) = (Millis::ZERO, None);
    let step = loop {
        if let Some(at) = began_at.take() {
            now = now + CHECK_TIME;
            let check = if at >= Millis(1200) { EndpointCheck::Running } else { pause.check(at).0 };
            checks.record(now, &"e1", at, check, Some(Millis::ZERO));
        }
        match checks.step(now, &"e1", end, EndpointSigns::default()) {
            EndStep::Check => began_at = Some(now),
            EndStep::Wait(until) => now = until,
            step => break step,
        }
    };
    assert!(is_proven(step), "{step:?}");
    assert!(now < Millis(1700), "{now:?}");
}

/// An endpoint that is full resets new connections; it would pass for one that has ended.
#[test]
fn parts_of_other_answers_show_that_an_endpoint_runs_that_refuses_connections() {
    struct Case {
        kind: EndKind,
        heard_until: Millis,
        awaited_until: Millis,
        is_proven: bool,
    }
    let case = |kind, heard: u64, awaited: u64, is_proven| Case {
        kind,
        heard_until: Millis(heard),
        awaited_until: Millis(awaited),
        is_proven,
    };
    let cases = [
        case(EndKind::Stream, 3000, 3000, true),
        case(EndKind::Stream, 1000 + 650, 1000 + 650, true),
        // The others end as well.
        case(EndKind::Stream, 1000 + 10, 1000 + 20, false),
        // They are never heard again.
        case(EndKind::Stream, 1000, 3000, false),
        case(EndKind::LeavingStream, 1000 + 350, 1000 + 350, true),
        case(EndKind::LeavingStream, 1000 + 10, 1000 + 20, false),
        case(EndKind::Plain, 3000, 3000, true),
        case(EndKind::Plain, 1000 + 10, 1000 + 10, false),
    ];
    for Case { kind, heard_until, awaited_until, is_proven: expected } in cases {
        let endpoint = Endpoint { heard_until, awaited_until, ..ends_at(Millis::ZERO) };
        let (step, at, _) = play(kind, endpoint);
        let name = format!("{kind:?}, heard until {heard_until:?}: {step:?}");
        assert_eq!(is_proven(step), expected, "{name}");
        assert!(at < Millis(1800), "{name} at {at:?}");
    }
}

/// Its caller gets a plain answer only with its end.
#[test]
fn a_plain_answer_is_decided_about_at_once() {
    let (step, at, count) = play(EndKind::Plain, ends_at(Millis::MAX));
    assert!(is_proven(step), "{step:?}");
    assert!(at <= Millis(20) + CHECK_TIME, "decided at {at:?}");
    assert_eq!(count, 1);
    let (step, at, _) = play(EndKind::Plain, ends_at(Millis::ZERO));
    assert_eq!(step, not_shown(EndpointCheck::Ended));
    assert!(at <= Millis(25), "decided at {at:?}");
}

/// The news that an endpoint has ended in order comes later than the refusal of its host.
#[test]
fn a_refusal_of_an_endpoint_that_leaves_waits_for_the_news() {
    let (step, at, _) = play(EndKind::LeavingStream, ends_at(Millis::ZERO));
    assert_eq!(step, not_shown(EndpointCheck::Ended));
    assert!(at >= Millis(500) && at < Millis(600), "decided at {at:?}");
}

/// A process at the address of an endpoint, in virtual time.
#[derive(Debug, Clone, Copy)]
struct Process {
    /// When it stands still.
    silences: &'static [(u64, u64)],
    /// When another process takes its place, on whose host connections of the first one are reset.
    replaced_at: Option<u64>,
}

impl Process {
    /// Returns when it goes on that stands still now.
    fn goes_on_at(&self, now: Millis) -> Option<Millis> {
        let is_now = |(from, until): &&(u64, u64)| (*from..*until).contains(&now.0);
        self.silences.iter().find(is_now).map(|(_, until)| Millis(*until))
    }

    fn is_replaced(&self, now: Millis) -> bool {
        self.replaced_at.is_some_and(|at| now.0 >= at)
    }
}

/// Plays an end at 1000 that only its endpoint can prove, with one ping at a time. Each reply takes 2 ms.
/// Returns the decision, its time after the end, and the number of pings.
fn play_process(kind: EndKind, decide_by: Millis, process: Process) -> (EndStep, Millis, usize) {
    let ended_at = Millis(1000);
    let end = EndInDoubt { kind, at: ended_at, decide_by, ran_at: None, has_alternative: false };
    let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
    let mut signs = EndpointSigns::default();
    // When checks that run began, and end; when the ping under way was sent, and on which connection.
    let (mut running, mut ping, mut pings) = (Vec::new(), None, 0);
    let mut connection = None;
    for now in (1000..20_000).map(Millis) {
        if process.is_replaced(now) {
            // The connections of the first process are reset.
            (ping, connection) = (None, connection.filter(|at| process.is_replaced(*at)));
        }
        let replies = process.goes_on_at(now).is_none();
        if let Some((sent_at, opened_at)) = ping
            && replies
            && now >= sent_at + Millis(2)
        {
            (ping, connection) = (None, Some(opened_at));
            let is_waited_for = running.iter().any(|(began_at, _)| *began_at == sent_at);
            if is_waited_for {
                running.retain(|(began_at, _)| *began_at != sent_at);
                checks.record(now, &"e1", sent_at, EndpointCheck::Running, Some(opened_at));
            } else if opened_at <= checks.opened_by(end) {
                signs.heard_at = signs.heard_at.max(Some(sent_at));
                signs.arrived_at = Some(now);
            }
        }
        running.retain(|(began_at, over_at)| {
            if now >= *over_at {
                checks.record(now, &"e1", *began_at, EndpointCheck::Silent, None);
            }
            now < *over_at
        });
        match checks.step(now, &"e1", end, signs) {
            EndStep::Wait(_) => {}
            EndStep::Check => {
                running.push((now, now + CHECK_TIME));
                if ping.is_none() {
                    ping = Some((now, connection.take().unwrap_or(now)));
                    pings += 1;
                }
            }
            step => return (step, now - ended_at, pings),
        }
    }
    panic!("no decision");
}

/// Whole answers of a sound endpoint that falls silent for a second or so were cut.
#[test]
fn an_end_is_held_while_its_endpoint_is_silent() {
    struct Case {
        name: &'static str,
        silences: &'static [(u64, u64)],
        /// When the endpoint has been heard for long enough to prove the end of a stream, after the end.
        stream: u64,
        /// The same for a plain answer.
        plain: u64,
    }
    let case = |name, silences, stream, plain| Case { name, silences, stream, plain };
    let cases = [
        case("none", &[], 600, 20),
        case("at once, 0.6 s", &[(1000, 1600)], 600, 600),
        case("at once, 1 s", &[(1000, 2000)], 1000, 1000),
        case("at once, 1.3 s", &[(1000, 2300)], 1300, 1300),
        case("0.1 s later", &[(1100, 2100)], 1100, 20),
        case("0.3 s later", &[(1300, 2300)], 1300, 20),
        case("0.6 s later", &[(1600, 2600)], 1600, 20),
        case("twice 0.7 s", &[(1000, 1700), (1900, 2600)], 700, 700),
        case("twice, soon after each other", &[(1000, 1500), (1550, 2250)], 1250, 500),
    ];
    let kinds = [EndKind::Stream, EndKind::LeavingStream, EndKind::OpenMark, EndKind::Plain];
    for Case { name, silences, stream, plain } in cases {
        for kind in kinds {
            let process = Process { silences, replaced_at: None };
            let (step, at, pings) = play_process(kind, Millis(100_000), process);
            assert!(is_proven(step), "{kind:?}, {name}: {step:?} after {at:?}");
            let latest = if kind == EndKind::Plain { plain } else { stream };
            assert!(at <= Millis(latest) + Millis(10), "{kind:?}, {name}: {at:?}");
            assert!(pings <= 7, "{kind:?}, {name}: {pings} pings");
        }
    }
}

/// A process that has taken the address over replies once the silence is over, and a part would look whole.
#[test]
fn a_process_that_has_taken_over_a_silent_endpoint_proves_nothing() {
    struct Case {
        name: &'static str,
        silences: &'static [(u64, u64)],
        replaced_at: u64,
    }
    let case = |name, silences, replaced_at| Case { name, silences, replaced_at };
    let cases = [
        case("after 0.3 s", &[(1000, 1300)], 1300),
        case("after 1 s", &[(1000, 2000)], 2000),
        case("within the silence", &[(1000, 2000)], 1900),
        case("after a while", &[(1010, 2500)], 2500),
        case("silent itself", &[(1000, 1500), (1600, 2300)], 1500),
    ];
    for Case { name, silences, replaced_at } in cases {
        for kind in [EndKind::Stream, EndKind::Plain] {
            let process = Process { silences, replaced_at: Some(replaced_at) };
            for decide_by in [3000, 100_000].map(Millis) {
                let (step, at, _) = play_process(kind, decide_by, process);
                assert!(!is_proven(step), "{kind:?}, {name}: {step:?} after {at:?}");
            }
        }
    }
}

/// A connection that opens shows no process. After a crash on a silent host it opens once another process
/// runs there, and the longer an end is held the likelier a part would look whole.
#[test]
fn a_connection_that_opens_late_proves_nothing() {
    struct Case {
        kind: EndKind,
        /// Time after the end from which connections open.
        opens_after: u64,
        is_proven: bool,
    }
    let case = |kind, opens_after, is_proven| Case { kind, opens_after, is_proven };
    let cases = [
        case(EndKind::Stream, 0, true),
        case(EndKind::Stream, 1000, true),
        case(EndKind::Stream, 1700, false),
        case(EndKind::Stream, 3000, false),
        case(EndKind::OpenMark, 1000, true),
        case(EndKind::OpenMark, 1700, false),
        case(EndKind::LeavingStream, 400, true),
        case(EndKind::LeavingStream, 900, false),
        case(EndKind::Plain, 0, true),
        case(EndKind::Plain, 200, true),
        case(EndKind::Plain, 500, false),
        case(EndKind::Plain, 3000, false),
    ];
    for Case { kind, opens_after, is_proven: expected } in cases {
        let mut checks = EndChecks::new(Millis(1200), CHECK_TIME);
        let at = Millis(1000);
        let decide_by = Millis(100_000);
        let end = EndInDoubt { kind, at, decide_by, ran_at: None, has_alternative: false };
        let mut now = at;
        let step = loop {
            match checks.step(now, &"e1", end, EndpointSigns::default()) {
                EndStep::Wait(until) => now = until,
                EndStep::Check => {
                    let began_at = now;
                    let opens = began_at >= at + Millis(opens_after);
                    let check = if opens { EndpointCheck::Open } else { EndpointCheck::Silent };
                    now = now + CHECK_TIME;
                    checks.record(now, &"e1", began_at, check, None);
                }
                step => break step,
            }
        };
        assert_eq!(is_proven(step), expected, "{kind:?}, opens after {opens_after} ms: {step:?}");
    }
}

/// An end whose endpoint never sends anything again would be held until the deadline, which may be far.
#[test]
fn an_end_is_held_no_longer_than_an_endpoint_counts_as_alive() {
    const FOREVER: Process = Process { silences: &[(1000, 1_000_000)], replaced_at: None };
    let limit = longest_wait(HEARTBEAT) + CHECK_TIME;
    for kind in [EndKind::Stream, EndKind::OpenMark, EndKind::Plain] {
        let (step, at, pings) = play_process(kind, Millis(100_000), FOREVER);
        assert_eq!(step, not_shown(EndpointCheck::Silent), "{kind:?}");
        assert!(at >= Millis(1700) && at <= limit, "{kind:?}: {at:?}");
        assert_eq!(pings, 1, "{kind:?}: all of them would come through together");
        // The deadline comes first, and silence until then shows nothing.
        let (step, at, _) = play_process(kind, Millis(1900), FOREVER);
        assert_eq!((step, at), (EndStep::NoTime, Millis(900)), "{kind:?}");
    }
    assert_eq!(longest_wait(Millis(1200)), Millis(3600));
    assert_eq!(longest_wait(Millis(100)), Millis(1600), "heartbeats may come quickly");
}

/// Callers leave after 2 s of silence.
#[test]
fn an_end_is_held_for_less_than_callers_wait() {
    let mut checks = EndChecks::new(Millis(60_000), CHECK_TIME);
    let end = EndInDoubt {
        kind: EndKind::Stream,
        at: Millis::ZERO,
        decide_by: Millis::MAX,
        ran_at: None,
        has_alternative: true,
    };
    let mut now = Millis::ZERO;
    let decided = loop {
        match checks.step(now, &"e1", end, EndpointSigns::default()) {
            EndStep::Wait(until) => now = until,
            EndStep::Check => {
                let began_at = now;
                now = now + CHECK_TIME;
                checks.record(now, &"e1", began_at, EndpointCheck::Running, Some(Millis::ZERO));
            }
            step => break step,
        }
    };
    assert!(is_proven(decided), "{decided:?}");
    assert!(now < Millis(1000), "{now:?}");
}

/// Many streams end at one endpoint. If each checked it alone, the checks would fill its queue.
#[test]
fn ends_at_one_endpoint_share_its_checks() {
    let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
    let step = |checks: &mut EndChecks<&'static str>, now: u64, endpoint, at: u64| {
        let end = EndInDoubt {
            kind: EndKind::Stream,
            at: Millis(at),
            decide_by: Millis::MAX,
            ran_at: None,
            has_alternative: true,
        };
        checks.step(Millis(now), &endpoint, end, EndpointSigns::default())
    };
    assert_eq!(step(&mut checks, 10, "e1", 10), EndStep::Check);
    for end in 11..50 {
        let step = step(&mut checks, end, "e1", end);
        assert!(matches!(step, EndStep::Wait(_)), "{step:?}");
    }
    assert_eq!(step(&mut checks, 50, "e2", 50), EndStep::Check, "another endpoint");
    checks.record(Millis(60), &"e1", Millis(10), EndpointCheck::Ended, None);
    for end in 10..50 {
        assert_eq!(step(&mut checks, 60, "e1", end), not_shown(EndpointCheck::Ended));
    }
    // The endpoint runs again.
    assert_eq!(step(&mut checks, 70, "e1", 70), EndStep::Check);
}

/// Whole streams would be cut whose ends can't be shown in the usual time.
#[test]
fn ends_are_decided_before_the_call_or_the_process_ends() {
    let decide_by = Millis(1000);
    // The last check begins at 900, and an endpoint must have outlived the end by 300 then.
    let ends: Vec<Millis> = (0..=600).step_by(10).map(Millis).collect();
    let (decided, count) = play_all(EndKind::Stream, &ends, decide_by, ends_at(Millis::MAX));
    for (ended_at, (step, at)) in ends.iter().zip(decided) {
        assert!(is_proven(step), "ended at {ended_at:?}");
        assert!(at <= decide_by, "ended at {ended_at:?}, decided at {at:?}");
        assert!(at >= *ended_at + Millis(300) + CHECK_TIME, "ended at {ended_at:?}: {at:?}");
    }
    assert!(count <= 12, "{count} checks for {} ends", ends.len());
}

/// The last check would come too late if it waited for one that runs.
#[test]
fn the_last_check_does_not_wait_for_one_that_runs() {
    let play =
        |ends: &[Millis]| play_all(EndKind::Stream, ends, Millis(1000), ends_at(Millis::MAX)).0;
    for first in (300..900).map(Millis) {
        let ends = [first, Millis(600)];
        let decided = play(&ends[1..]);
        assert!(decided[0].1 <= Millis(1000), "{first:?}: {decided:?}");
        let decided = play(&ends);
        assert!(is_proven(decided[1].0), "{first:?}");
        assert!(decided[1].1 <= Millis(1000), "{first:?}: {decided:?}");
    }
}

/// Short streams would look whole if any reply sufficed because a call or the process ends.
#[test]
fn an_end_shortly_before_the_last_moment_is_no_proof() {
    let decide_by = Millis(1000);
    let ends: Vec<Millis> = (0..1000).step_by(7).map(Millis).collect();
    for outlives in [0, 15, 100, 300] {
        for ended_at in &ends {
            let ended = *ended_at + Millis(outlives);
            let quick = |endpoint| Endpoint { reply_time: Millis(2), ..endpoint };
            // On connections that its listener accepts later, a process replies while it ends.
            let accepts = Endpoint { opened_at: *ended_at + Millis(1), ..ends_at(ended) };
            let silent = [silent_from(ended), silent_from(*ended_at)];
            for endpoint in [accepts, ends_at(ended), silent[0], silent[1]].map(quick) {
                let (decided, _) = play_all(EndKind::Stream, &[*ended_at], decide_by, endpoint);
                let is_old = endpoint.opened_at < *ended_at;
                // On an older one it replies for less than half of the time that is left.
                let left = decide_by - *ended_at;
                let is_short = endpoint.replies_until - *ended_at <= Millis(left.0 / 2);
                if !is_old || is_short {
                    let name = format!("ended at {ended_at:?}, the listener {outlives} ms later");
                    assert!(!is_proven(decided[0].0), "{name}: {endpoint:?}");
                }
            }
        }
    }
}

/// Nearly half of the whole streams that end within 0.6 s before their deadline were cut at once.
#[test]
fn a_whole_stream_is_proven_in_the_time_that_is_left() {
    let decide_by = Millis(1000);
    for kind in [EndKind::Stream, EndKind::LeavingStream, EndKind::OpenMark] {
        for left in (20..=700).step_by(10) {
            let ended_at = decide_by - Millis(left);
            let sound = Endpoint { reply_time: Millis(2), ..ends_at(Millis::MAX) };
            let (decided, count) = play_all(kind, &[ended_at], decide_by, sound);
            let (step, at) = decided[0];
            assert!(is_proven(step), "{kind:?}, {left} ms left: {step:?}");
            assert!(at < decide_by, "{kind:?}, {left} ms left: {at:?}");
            assert!(count <= 5, "{kind:?}, {left} ms left: {count} checks");
            // Silence shows nothing in so little time, and nothing makes it decide before.
            if left < 200 {
                let hangs = silent_from(Millis::ZERO);
                let (decided, _) = play_all(kind, &[ended_at], decide_by, hangs);
                assert_eq!(decided[0], (EndStep::NoTime, decide_by), "{kind:?}, {left} ms left");
            }
        }
    }
}

/// A process that closes its connections, and serves new ones until its listener is gone, would pass for
/// one that runs on.
#[test]
fn replies_on_new_connections_prove_nothing_in_little_time() {
    struct Case {
        name: &'static str,
        /// When checks begin, and when the connections were opened on which they are replied to.
        replies: &'static [(u64, u64)],
        is_proven: bool,
    }
    let cases = [
        Case { name: "new", replies: &[(1000, 1002), (1100, 1102)], is_proven: false },
        Case {
            name: "in the same millisecond",
            replies: &[(1000, 1000), (1100, 1000)],
            is_proven: false,
        },
        Case {
            name: "after an old one",
            replies: &[(900, 0), (1000, 1001), (1100, 1101)],
            is_proven: false,
        },
        Case { name: "on an old one, too early", replies: &[(1090, 0)], is_proven: false },
        Case { name: "on an old one", replies: &[(1000, 999), (1100, 999)], is_proven: true },
    ];
    for Case { name, replies, is_proven: expected } in cases {
        let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
        let end = EndInDoubt {
            kind: EndKind::Stream,
            at: Millis(1000),
            decide_by: Millis(1200),
            ran_at: None,
            has_alternative: true,
        };
        assert!(checks.prepare(Millis(890), &"e1"), "{name}");
        for (at, opened_at) in replies {
            checks.record(
                Millis(*at),
                &"e1",
                Millis(*at),
                EndpointCheck::Running,
                Some(Millis(*opened_at)),
            );
        }
        let step = checks.step(Millis(1110), &"e1", end, EndpointSigns::default());
        assert_eq!(is_proven(step), expected, "{name}: {step:?}");
        // The same holds for parts of other answers.
        assert!(checks.opened_by(end) < end.at, "{name}");
    }
}

/// An endpoint that closes each connection with its answer would have none from before the end.
#[test]
fn an_endpoint_is_checked_once_a_second_while_ends_are_near() {
    let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
    let mut prepared = Vec::new();
    for now in (0..3000).step_by(10).map(Millis) {
        if checks.prepare(now, &"e1") {
            checks.record(now, &"e1", now, EndpointCheck::Running, Some(Millis::ZERO));
            prepared.push(now);
        }
    }
    assert_eq!(prepared, [0, 1000, 2000].map(Millis));
    // A reply before the end proves nothing.
    let end = EndInDoubt {
        kind: EndKind::Stream,
        at: Millis(3000),
        decide_by: Millis(3100),
        ran_at: None,
        has_alternative: true,
    };
    let step = checks.step(Millis(3000), &"e1", end, EndpointSigns::default());
    assert_eq!(step, EndStep::Check);
}

/// A process that starts at the address of one that has ended would reply for it.
#[test]
fn a_reply_after_a_refusal_by_all_is_no_proof() {
    struct Case {
        name: &'static str,
        refuted: Option<EndpointCheck>,
        signs: EndpointSigns,
        is_proven: bool,
    }
    let heard = EndpointSigns { heard_at: Some(Millis(400)), is_awaited: true, arrived_at: None };
    let awaited = EndpointSigns { is_awaited: true, ..EndpointSigns::default() };
    let case = |name, refuted, signs, is_proven| Case { name, refuted, signs, is_proven };
    let cases = [
        case("no refusal", None, awaited, true),
        case("refused by all", Some(EndpointCheck::Ended), awaited, false),
        case("refused by some", Some(EndpointCheck::Unclear), awaited, true),
        case("refused by all, and heard", Some(EndpointCheck::Ended), heard, true),
    ];
    for Case { name, refuted, signs, is_proven: expected } in cases {
        let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
        let end = EndInDoubt {
            kind: EndKind::LeavingStream,
            at: Millis::ZERO,
            decide_by: Millis::MAX,
            ran_at: None,
            has_alternative: true,
        };
        let none = EndpointSigns::default();
        assert_eq!(checks.step(Millis::ZERO, &"e1", end, none), EndStep::Check, "{name}");
        if let Some(check) = refuted {
            checks.record(Millis(1), &"e1", Millis::ZERO, check, None);
        }
        let opened_at = Some(Millis::ZERO);
        checks.record(Millis(410), &"e1", Millis(400), EndpointCheck::Running, opened_at);
        let step = checks.step(Millis(410), &"e1", end, signs);
        assert_eq!(is_proven(step), expected, "{name}: {step:?}");
    }
}

/// The next process at the address of an endpoint would reply for it.
#[test]
fn a_reply_on_a_connection_that_was_opened_late_is_no_proof() {
    struct Case {
        opened_at: Option<Millis>,
        is_proven: bool,
    }
    let case =
        |opened_at: Option<u64>, is_proven| Case { opened_at: opened_at.map(Millis), is_proven };
    let cases =
        [case(Some(500), true), case(Some(1100), true), case(Some(1400), false), case(None, false)];
    for Case { opened_at, is_proven: expected } in cases {
        let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
        let end = EndInDoubt {
            kind: EndKind::Stream,
            at: Millis(1000),
            decide_by: Millis::MAX,
            ran_at: None,
            has_alternative: true,
        };
        let none = EndpointSigns::default();
        assert_eq!(checks.step(Millis(1700), &"e1", end, none), EndStep::Check, "{opened_at:?}");
        checks.record(Millis(1710), &"e1", Millis(1700), EndpointCheck::Running, opened_at);
        let step = checks.step(Millis(1710), &"e1", end, none);
        assert_eq!(is_proven(step), expected, "{opened_at:?}: {step:?}");
    }
}

/// An endpoint that leaves closes each connection after its reply, so all its whole streams would be cut.
#[test]
fn replies_on_new_connections_without_a_pause_are_of_the_same_process() {
    struct Case {
        replies: &'static [u64],
        is_proven: bool,
    }
    let cases = [
        Case { replies: &[1000, 1200, 1400, 1600, 1810], is_proven: true },
        Case { replies: &[1000, 1200, 1600, 1810], is_proven: false },
        Case { replies: &[1600, 1810], is_proven: false },
    ];
    for Case { replies, is_proven: expected } in cases {
        let mut checks = EndChecks::new(Millis(1200), CHECK_TIME);
        let end = EndInDoubt {
            kind: EndKind::Stream,
            at: Millis(1000),
            decide_by: Millis::MAX,
            ran_at: None,
            has_alternative: true,
        };
        let none = EndpointSigns::default();
        assert_eq!(checks.step(Millis(1000), &"e1", end, none), EndStep::Check);
        for at in replies.iter().copied().map(Millis) {
            checks.record(at, &"e1", at, EndpointCheck::Running, Some(at));
        }
        let step = checks.step(Millis(1820), &"e1", end, none);
        assert_eq!(is_proven(step), expected, "{replies:?}: {step:?}");
    }
}

/// All answers of an endpoint would be cut that must not be asked for a reply.
#[test]
fn an_endpoint_that_must_not_be_asked_is_believed_if_it_accepts_connections_later() {
    let open = Endpoint { after: (EndpointCheck::Open, CHECK_TIME), ..ends_at(Millis::ZERO) };
    for kind in [EndKind::Stream, EndKind::LeavingStream, EndKind::Plain] {
        let (step, at, _) = play(kind, open);
        let EndStep::Decided(EndVerdict::Proven(proof)) = step else {
            panic!("{kind:?}: {step:?}");
        };
        assert_eq!(proof.kind, ProofKind::Open, "{kind:?}");
        assert!(at <= HEARTBEAT + CHECK_TIME, "{kind:?}: {at:?}");
    }
}

/// Whole plain answers would be cut that end shortly before the deadline of their call.
#[test]
fn a_plain_answer_shortly_before_its_deadline_is_checked() {
    let play = |left: u64, endpoint| {
        let decide_by = Millis(1000 + left);
        play_all(EndKind::Plain, &[Millis(1000)], decide_by, endpoint).0[0]
    };
    for left in [130, 200, 350] {
        let (step, at) = play(left, ends_at(Millis::MAX));
        assert!(is_proven(step) && at <= Millis(1000 + left), "{left} ms left: {step:?} at {at:?}");
        // Silence shows nothing in less than the usual wait.
        let decided = play(left, silent_from(Millis::ZERO));
        assert_eq!(decided, (EndStep::NoTime, Millis(1000 + left)), "{left} ms left");
    }
    assert_eq!(play(20, ends_at(Millis::MAX)).0, EndStep::NoTime);
}

/// Of a whole stream nobody could tell later what showed it.
#[test]
fn a_proof_says_when_the_endpoint_ran_and_how_that_was_shown() {
    let proof = |endpoint| match play(EndKind::Stream, endpoint).0 {
        EndStep::Decided(EndVerdict::Proven(Proof { kind, at })) => (kind, at - Millis(1000)),
        step => panic!("{step:?}"),
    };
    let heard = Endpoint { heard_until: Millis(3000), ..ends_at(Millis::ZERO) };
    let heard = Endpoint { awaited_until: Millis(3000), ..heard };
    assert_eq!(proof(heard), (ProofKind::Heard, HEARTBEAT));
    assert_eq!(proof(ends_at(Millis::MAX)), (ProofKind::Replied, HEARTBEAT));
}

/// A process that ends closes all its connections at once, whatever it has announced.
#[test]
fn answers_that_end_together_are_known_as_such() {
    struct Case {
        name: &'static str,
        other: (&'static str, u64, u64),
        has_other: bool,
    }
    let case = |name, other, has_other| Case { name, other, has_other };
    let cases = [
        case("the same answer", ("e1", 1, 1000), false),
        case("together", ("e1", 2, 1000), true),
        case("read a little later", ("e1", 2, 1015), true),
        case("read a little earlier", ("e1", 2, 985), true),
        case("one after the other", ("e1", 2, 1100), false),
        case("another endpoint", ("e2", 2, 1000), false),
    ];
    let answer = |number: u64| Name::from(format!("a{number}"));
    for Case { name, other: (endpoint, number, at), has_other } in cases {
        let mut log = EndLog::default();
        log.record(Millis(1200), "e1", &answer(1), Millis(1000));
        log.record(Millis(1200), endpoint, &answer(number), Millis(at));
        assert_eq!(log.has_other(&"e1", &answer(1), Millis(1000)), has_other, "{name}");
        // A later report of the same end counts from the earlier one.
        log.record(Millis(1200), "e1", &answer(1), Millis(1100));
        assert_eq!(log.has_other(&"e1", &answer(1), Millis(1000)), has_other, "{name}, again");
        // Ends are forgotten.
        log.record(Millis(9000), "e3", &answer(3), Millis(9000));
        assert!(!log.has_other(&"e1", &answer(1), Millis(1000)), "{name}");
    }
}

/// The ends of a crash would not be known where many answers have ended before.
#[test]
fn the_newest_ends_are_kept() {
    let mut log = EndLog::default();
    let answer = |number: u64| Name::from(format!("a{number}"));
    for number in 0..1000 {
        log.record(Millis(2000), "e1", &answer(number), Millis(1000 + number));
    }
    log.record(Millis(2500), "e1", &answer(2001), Millis(2500));
    log.record(Millis(2500), "e1", &answer(2002), Millis(2500));
    assert!(log.has_other(&"e1", &answer(2001), Millis(2500)));
}

/// An endpoint that is taken away at the time that it has announced cuts what it runs then.
#[test]
fn an_endpoint_may_be_gone_from_the_time_that_it_has_announced() {
    assert!(!may_be_gone(None, Millis(1000)));
    assert!(!may_be_gone(Some(Millis(2000)), Millis(1000)));
    assert!(may_be_gone(Some(Millis(1050)), Millis(1000)));
    assert!(may_be_gone(Some(Millis(900)), Millis(1000)));
}

/// Resumptions that show nothing would use up the retries of a service.
#[test]
fn fewer_ends_are_resumed_the_more_were_whole() {
    let service = "desk".into();
    let mut checks = ResumeChecks::default();
    let mut play = |count: usize, was_short| {
        let checked = (0..count).filter(|_| {
            let may_check = checks.may_check(&service);
            if may_check {
                checks.record(&service, was_short);
            }
            may_check
        });
        checked.count()
    };
    assert!((5..=9).contains(&play(100, false)));
    assert!(play(1000, false) <= 17);
    // One that was short is found within the largest pause, and the next are all checked.
    assert!(play(164, true) >= 100);
    assert!(play(100, false) <= 9);
}

/// An endpoint that begins a whole stream anew would have its caller read it twice.
#[test]
fn only_later_events_follow() {
    struct Case {
        last: &'static str,
        events: &'static str,
        may_follow: bool,
    }
    let case = |last, events, may_follow| Case { last, events, may_follow };
    let cases = [
        case("2", "id: 3\ndata: c\n\n", true),
        case("9", "\u{feff}: alive\r\nid:10\r\ndata: j\r\n\r\n", true),
        case("2", "id: 1\ndata: a\n\nid: 2\n\nid: 3\n\n", false),
        case("2", "id: 2\ndata: b\n\n", false),
        case("b", "id: b\n\n", false),
        case("b", "id: c\n\n", true),
        case("2", "data: end\n\n", false),
        case("2", "", false),
    ];
    for Case { last, events, may_follow: expected } in cases {
        assert_eq!(may_follow(last, events.as_bytes()), expected, "{last}: {events:?}");
    }
}

/// Another process may run at the address of an endpoint that fell silent, and replies in its place.
#[test]
fn a_process_that_may_be_another_one_is_heard_on_older_connections_only() {
    struct Case {
        name: &'static str,
        ran_at: Option<Millis>,
        /// When the connections of two replies were opened.
        opened_at: [u64; 2],
        is_proven: bool,
    }
    let case = |name, ran_at: Option<u64>, opened_at, is_proven| Case {
        name,
        ran_at: ran_at.map(Millis),
        opened_at,
        is_proven,
    };
    let cases = [
        case("nothing is known against it", None, [1010, 1100], true),
        case("on a connection from before", Some(400), [400, 400], true),
        case("on one from shortly after", Some(400), [650, 650], true),
        case("on one from later", Some(400), [651, 651], false),
        case("first on one from before", Some(400), [300, 1100], false),
    ];
    for Case { name, ran_at, opened_at, is_proven: expected } in cases {
        let mut checks = EndChecks::new(HEARTBEAT, CHECK_TIME);
        let decide_by = Millis::MAX;
        let end = EndInDoubt {
            kind: EndKind::Stream,
            at: Millis(1000),
            decide_by,
            ran_at,
            has_alternative: true,
        };
        for (at, opened_at) in [1010, 2500].map(Millis).into_iter().zip(opened_at.map(Millis)) {
            checks.record(at, &"e1", at, EndpointCheck::Running, Some(opened_at));
            let is_last = at == Millis(2500);
            let step = checks.step(at, &"e1", end, EndpointSigns::default());
            assert_eq!(is_last && expected, is_proven(step), "{name} at {at}: {step:?}");
        }
        checks.record(Millis(2600), &"e1", Millis(2550), EndpointCheck::Open, None);
        let step = checks.step(Millis(2600), &"e1", end, EndpointSigns::default());
        assert_eq!(expected, is_proven(step), "{name}, open: {step:?}");
    }
}
