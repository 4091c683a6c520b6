//! Ends of answers that prove nothing by themselves: an endpoint that ends closes its connections in
//! order, and its host may accept connections when it is gone.

#[allow(dead_code)] // The tests of ends use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use sill_base::Millis;
use sill_wire::Incarnation;
use sill_wire::link::{EndpointFact, EndpointState};
use sill_wire::streams::EntryPeer;
use support::{Action, CallerResponse, Harness, exchange, fact, head, lines, request_as};

const FIRST: &str = "id: 1\ndata: a\n\n";
const SECOND: &str = "id: 2\ndata: b\n\n";
const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// The last chunk of an answer.
const MARK: &str = "0\r\n\r\n";

/// Number of times that a case is played until endpoints are chosen in its order.
const MAX_PLAYS: usize = 20;

/// Longer than any end is held.
const LONG: Duration = Duration::from_secs(5);

/// How an endpoint frames its answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Frame {
    /// Neither a length nor chunks.
    Unmarked,
    /// In chunks, on a connection that may be kept.
    Chunks,
    /// In chunks, on a connection that is announced to close.
    ChunksAndClose,
}

const FRAMES: [Frame; 3] = [Frame::Unmarked, Frame::Chunks, Frame::ChunksAndClose];

impl Frame {
    /// Returns a stream without its end.
    fn stream(self, events: &str) -> String {
        const CHUNKED: &str = "transfer-encoding: chunked\r\n";
        let headers = match self {
            Self::Unmarked => "",
            Self::Chunks => CHUNKED,
            Self::ChunksAndClose => &format!("{CHUNKED}connection: close\r\n"),
        };
        let head = head(&format!("content-type: text/event-stream\r\n{headers}"));
        match self {
            Self::Unmarked => format!("{head}{events}"),
            Self::Chunks | Self::ChunksAndClose => {
                format!("{head}{:x}\r\n{events}\r\n", events.len())
            }
        }
    }

    fn end(self) -> String {
        if self == Self::Unmarked { String::new() } else { MARK.into() }
    }

    /// Returns a stream that ends with its process, once the flag is set. Its host accepts connections
    /// for long, and nobody reads them.
    fn ends(self, events: &str, ends: &Arc<AtomicBool>) -> Action {
        Action::AnswerAndEndBitByBit(self.stream(events), ends.clone(), self.end(), LONG)
    }

    /// Returns a stream that is whole.
    fn whole(self, events: &str) -> String {
        format!("{}{}", self.stream(events), self.end())
    }
}

/// Returns whether the caller can take the answer for a complete one.
fn looks_complete(got: &CallerResponse) -> bool {
    got.status == 200 && got.is_complete
}

fn text(got: &CallerResponse) -> String {
    String::from_utf8_lossy(&got.body).into_owned()
}

/// A call at an entry instance.
#[derive(Clone, Copy)]
struct Call<'a> {
    at: &'a Harness,
    id: &'a str,
    path: &'static str,
}

/// Sends calls one after the other, and does something once their endpoint has received them all.
/// Returns the answers.
fn play(endpoint: &Harness, calls: &[Call<'_>], then: impl FnOnce()) -> Vec<CallerResponse> {
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for Call { at, id, path } in calls {
            let request = request_as(id, path, "");
            callers.push(scope.spawn(move || exchange(at.address, &request)));
            while endpoint.endpoints[0].requests() < callers.len() {
                thread::sleep(Duration::from_millis(1));
            }
        }
        // The first parts are on their way.
        thread::sleep(Duration::from_millis(50));
        then();
        callers
            .into_iter()
            .map(|caller| caller.join().expect("the caller gets an answer"))
            .collect()
    })
}

/// Runs all cases at the same time. A check returns what is wrong.
fn check_all<C: Send>(cases: Vec<C>, check: impl Fn(C) -> Option<String> + Sync) {
    let (check, count) = (&check, cases.len());
    let failures: Vec<String> = thread::scope(|scope| {
        let running: Vec<_> =
            cases.into_iter().map(|case| scope.spawn(move || check(case))).collect();
        running.into_iter().filter_map(|case| case.join().expect("a case ends")).collect()
    });
    assert!(failures.is_empty(), "{} of {count} cases: {failures:#?}", failures.len());
}

/// What the host of an endpoint does with connections once its process has ended.
#[derive(Debug, Clone, Copy)]
enum Host {
    /// Accepts them, and nobody reads them.
    Accepts,
    /// Accepts none in time.
    AcceptsNone,
    /// Closes them after 60 ms.
    ClosesLate,
}

const LATE: Duration = Duration::from_millis(60);

/// The process of an endpoint ends between two events, and nothing shows it: connections are neither
/// refused nor closed. The caller would get a part of a report as all of it.
#[test]
fn a_stream_of_a_process_that_ends_on_a_silent_host_is_not_whole() {
    struct Case {
        host: Host,
        frame: Frame,
        path: &'static str,
        /// Whether another endpoint can go on with the stream.
        has_other: bool,
        got: (&'static str, bool),
    }
    let mut cases = Vec::new();
    for host in [Host::Accepts, Host::AcceptsNone] {
        for frame in FRAMES {
            let case = |path, has_other, got| Case { host, frame, path, has_other, got };
            cases.push(case("/stream/x", false, (FIRST, false)));
            cases.push(case("/resumable_stream/x", false, (FIRST, false)));
            cases.push(case("/resumable_stream/x", true, (WHOLE, true)));
        }
    }
    check_all(cases, |Case { host, frame, path, has_other, got: expected }| {
        let ends = Arc::<AtomicBool>::default();
        let first = vec![frame.ends(FIRST, &ends)];
        let other = vec![Action::Answer(Frame::Chunks.whole(SECOND))];
        let harness = match has_other {
            true => Harness::start_with_hidden(vec![first, other]),
            false => Harness::start(vec![first]),
        };
        let got = play(&harness, &[Call { at: &harness, id: "r-1", path }], || {
            if has_other {
                harness.announce_last();
                harness.wait_until_facts_applied();
            }
            if matches!(host, Host::AcceptsNone) {
                harness.endpoints[0].fill_queue();
            }
            ends.store(true, Ordering::Relaxed);
        });
        let got = (text(&got[0]), looks_complete(&got[0]));
        let name = format!("{host:?}, {frame:?} at {path}, another endpoint: {has_other}");
        (got != (expected.0.into(), expected.1)).then(|| format!("{name}: {got:?}"))
    });
}

/// A process that ends cuts a plain answer without a length, and nothing shows it. Its caller would get
/// a part of the answer as all of it.
#[test]
fn a_plain_answer_of_a_process_that_ends_on_a_silent_host_is_not_whole() {
    let cases = vec![Host::Accepts, Host::AcceptsNone, Host::ClosesLate];
    check_all(cases, |host| {
        let (ends, answer) = (Arc::<AtomicBool>::default(), format!("{}part", head("")));
        let action = match host {
            Host::ClosesLate => Action::AnswerAndEndBehindProxy(answer, LATE),
            _ => Action::AnswerAndEndBitByBit(answer, ends.clone(), String::new(), LONG),
        };
        let harness = Harness::start(vec![vec![action]]);
        let call = Call { at: &harness, id: "r-1", path: "/non_idempotent/x" };
        let got = play(&harness, &[call], || {
            if matches!(host, Host::AcceptsNone) {
                harness.endpoints[0].fill_queue();
            }
            ends.store(true, Ordering::Relaxed);
        });
        looks_complete(&got[0]).then(|| format!("{host:?}: {}", got[0].head))
    });
}

/// Returns that the first endpoint leaves or has ended.
fn announcement(of: &Harness, state: EndpointState, leaves_in: Option<Millis>) -> EndpointFact {
    EndpointFact { sequence: 2, state, leaves_in, ..fact(0, of.endpoints[0].address) }
}

fn announce(at: &Harness, fact: EndpointFact) {
    *at.facts.lock() = vec![fact];
    at.wait_until_facts_applied();
}

/// An endpoint that leaves may crash before, or be gone before its streams end: all its connections
/// close at once. If its announcement proved that it completes them, callers would get parts as reports.
#[test]
fn an_announcement_proves_no_ends_at_the_same_time_or_when_the_endpoint_is_gone() {
    use EndpointState::{Gone, Leaving};
    struct Case {
        name: &'static str,
        state: EndpointState,
        leaves_in: Option<Millis>,
        /// Number of streams that end at the same time.
        streams: usize,
        /// Time from the announcement to the end.
        after: Duration,
        /// Whether the endpoint announces 100 ms later that it has ended.
        is_confirmed: bool,
        is_complete: bool,
    }
    let (soon, later) = (Duration::from_millis(100), Some(Millis(20_000)));
    let usual = Case {
        name: "",
        state: Leaving,
        leaves_in: None,
        streams: 1,
        after: soon,
        is_confirmed: false,
        is_complete: true,
    };
    let cases = || {
        let at_leave = Case { leaves_in: Some(Millis(400)), ..usual };
        let at_leave = Case { after: Duration::from_millis(400), ..at_leave };
        [
            Case { name: "alone", ..usual },
            Case { name: "alone, in time", leaves_in: later, ..usual },
            Case { name: "alone, gone", state: Gone, ..usual },
            Case { name: "alone, confirmed", is_confirmed: true, ..usual },
            Case { name: "three", streams: 3, is_complete: false, ..usual },
            Case {
                name: "three, in time",
                streams: 3,
                leaves_in: later,
                is_complete: false,
                ..usual
            },
            Case { name: "three, gone", state: Gone, streams: 3, is_complete: false, ..usual },
            Case { name: "alone, at that time", is_complete: false, ..at_leave },
            Case { name: "alone, at that time, confirmed", is_confirmed: true, ..at_leave },
        ]
    };
    let cases = FRAMES.into_iter().flat_map(|frame| cases().map(|case| (frame, case))).collect();
    check_all(cases, |(frame, case): (Frame, Case)| {
        let ends = Arc::<AtomicBool>::default();
        let mut actions = vec![frame.ends(FIRST, &ends); case.streams];
        // This stream of the endpoint doesn't end.
        actions.push(Action::AnswerAndCloseLater(frame.stream(FIRST), LONG));
        let harness = Harness::start(vec![actions]);
        let ids = ["r-1", "r-2", "r-3"];
        let calls: Vec<Call<'_>> = ids[..case.streams]
            .iter()
            .map(|id| Call { at: &harness, id, path: "/stream/x" })
            .collect();
        let got = play(&harness, &calls, || {
            if case.streams == 1 {
                let request = request_as("open", "/stream/x", "");
                let address = harness.address;
                thread::spawn(move || exchange(address, &request));
                while harness.endpoints[0].requests() < 2 {
                    thread::sleep(Duration::from_millis(1));
                }
            }
            announce(&harness, announcement(&harness, case.state, case.leaves_in));
            thread::sleep(case.after);
            ends.store(true, Ordering::Relaxed);
            if case.is_confirmed {
                thread::sleep(Duration::from_millis(100));
                let gone = announcement(&harness, Gone, None);
                harness.apply_fact(EndpointFact { sequence: 3, ..gone });
            }
        });
        let wrong: Vec<_> = got
            .iter()
            .filter(|got| looks_complete(got) != case.is_complete || text(got) != FIRST)
            .map(|got| (text(got), looks_complete(got)))
            .collect();
        (!wrong.is_empty()).then(|| format!("{frame:?}, {}: {wrong:?}", case.name))
    });
}

/// An entry instance with a single stream of an endpoint doesn't see that all its connections close at
/// once. It would take the end for that of a completed stream.
#[test]
fn an_announcement_proves_no_end_at_the_same_time_as_one_at_another_entry_instance() {
    struct Case {
        frame: Frame,
        /// Time between the ends.
        between: Duration,
        is_complete: bool,
    }
    let case = |frame| {
        let together = Case { frame, between: Duration::ZERO, is_complete: false };
        [together, Case { frame, between: Duration::from_millis(200), is_complete: true }]
    };
    let cases = FRAMES.into_iter().flat_map(case).collect();
    check_all(cases, |Case { frame, between, is_complete }| {
        let mut ends = [(); 2].map(|()| Arc::<AtomicBool>::default());
        if between.is_zero() {
            ends[1] = ends[0].clone();
        }
        let actions = ends.iter().map(|ends| frame.ends(FIRST, ends)).collect();
        let (one, other) = (Harness::start(vec![actions]), Harness::start(vec![Vec::new()]));
        for (at, peer) in [(&one, &other), (&other, &one)] {
            at.entries.lock().push(EntryPeer {
                entry: peer.name.clone(),
                domain: "a".into(),
                address: peer.peer_address,
                incarnation: Incarnation(1),
            });
            // The endpoint of the other instance has this name at another address.
            announce(at, EndpointFact { sequence: 2, ..fact(0, one.endpoints[0].address) });
        }
        let calls = [&one, &other].map(|at| Call { at, id: &at.name, path: "/stream/x" });
        let got = play(&one, &calls, || {
            let leaves = announcement(&one, EndpointState::Leaving, Some(Millis(20_000)));
            let leaves = EndpointFact { sequence: 3, ..leaves };
            announce(&one, leaves.clone());
            announce(&other, leaves);
            for ends in &ends {
                ends.store(true, Ordering::Relaxed);
                thread::sleep(between);
            }
        });
        let got: Vec<_> = got.iter().map(looks_complete).collect();
        (got != [is_complete; 2]).then(|| format!("{frame:?}, {between:?}: {got:?}"))
    });
}

/// An endpoint that leaves is gone in the middle of a stream that another one can go on with. If its
/// announcement were believed first, the caller would get a part of a report as all of it.
#[test]
fn a_stream_of_an_endpoint_that_leaves_goes_on_at_another_one_if_it_can() {
    check_all(FRAMES.into_iter().collect(), |frame| {
        let ends = Arc::<AtomicBool>::default();
        let other = Action::Answer(Frame::Chunks.whole(SECOND));
        let harness = Harness::start_with_hidden(vec![vec![frame.ends(FIRST, &ends)], vec![other]]);
        let call = Call { at: &harness, id: "r-1", path: "/resumable_stream/x" };
        let got = play(&harness, &[call], || {
            harness.announce_departure_and_last(Millis(20_000));
            harness.wait_until_facts_applied();
            ends.store(true, Ordering::Relaxed);
        });
        let got = (text(&got[0]), looks_complete(&got[0]));
        (got != (WHOLE.into(), true)).then(|| format!("{frame:?}: {got:?}"))
    });
}

/// Whole streams of a busy endpoint were cut, as each ping gave up its connection before the reply came.
#[test]
fn a_stream_of_an_endpoint_that_replies_late_is_whole() {
    check_all(vec![Frame::Unmarked, Frame::ChunksAndClose], |frame| {
        let whole = Action::AnswerAndClose(frame.whole(WHOLE));
        let harness = Harness::start(vec![vec![whole]]);
        harness.endpoints[0].delay_replies(Duration::from_millis(300));
        let got = exchange(harness.address, &request_as("r-1", "/stream/x", ""));
        let got = (text(&got), looks_complete(&got));
        (got != (WHOLE.into(), true)).then(|| format!("{frame:?}: {got:?}"))
    });
}

/// A whole stream of an endpoint that leaves in order was cut because no other endpoint could be asked
/// whether anything follows.
#[test]
fn a_whole_stream_of_an_endpoint_that_leaves_is_complete_where_none_can_resume_it() {
    struct Case {
        frame: Frame,
        /// Number of streams that end at the same time.
        streams: usize,
        is_complete: bool,
    }
    let cases = FRAMES.into_iter().flat_map(|frame| {
        let alone = Case { frame, streams: 1, is_complete: true };
        [alone, Case { frame, streams: 3, is_complete: false }]
    });
    check_all(cases.collect(), |Case { frame, streams, is_complete }| {
        let ends = Arc::<AtomicBool>::default();
        let harness = Harness::start(vec![vec![frame.ends(WHOLE, &ends); streams]]);
        let calls: Vec<Call<'_>> = ["r-1", "r-2", "r-3"][..streams]
            .iter()
            .map(|id| Call { at: &harness, id, path: "/resumable_stream/x" })
            .collect();
        let got = play(&harness, &calls, || {
            announce(
                &harness,
                announcement(&harness, EndpointState::Leaving, Some(Millis(20_000))),
            );
            ends.store(true, Ordering::Relaxed);
        });
        let wrong: Vec<_> = got
            .iter()
            .filter(|got| looks_complete(got) != is_complete || text(got) != WHOLE)
            .map(|got| (text(got), looks_complete(got)))
            .collect();
        (!wrong.is_empty()).then(|| format!("{frame:?}, {streams}: {wrong:?}"))
    });
}

/// A short stream looked whole if the only endpoint that could go on with it had no room at once.
#[test]
fn a_stream_of_an_endpoint_that_leaves_goes_on_once_another_one_can_be_asked() {
    check_all(FRAMES.into_iter().collect(), |frame| {
        let ends = Arc::<AtomicBool>::default();
        let other = Action::Answer(Frame::Chunks.whole(SECOND));
        let harness = Harness::start_with_hidden(vec![vec![frame.ends(FIRST, &ends)], vec![other]]);
        let call = Call { at: &harness, id: "r-1", path: "/resumable_stream/x" };
        let got = play(&harness, &[call], || {
            announce(
                &harness,
                announcement(&harness, EndpointState::Leaving, Some(Millis(20_000))),
            );
            ends.store(true, Ordering::Relaxed);
            // The first endpoint is not waited for any more.
            thread::sleep(Duration::from_millis(1100));
            harness.apply_fact(fact(1, harness.endpoints[1].address));
        });
        let got = (text(&got[0]), looks_complete(&got[0]));
        (got != (WHOLE.into(), true)).then(|| format!("{frame:?}: {got:?}"))
    });
}

/// A stream that had broken off before looked whole when the endpoint that went on with it announced that it
/// leaves and crashed, as no attempt was left to ask another one.
#[test]
fn a_stream_that_broke_off_twice_is_not_whole_because_its_endpoint_leaves() {
    let play = |frame: Frame| {
        let ends = Arc::<AtomicBool>::default();
        let broken = Action::AnswerAndReset(frame.stream(FIRST));
        let harness =
            Harness::start_with_hidden(vec![vec![broken], vec![frame.ends(SECOND, &ends)]]);
        harness.announce_last();
        harness.wait_until_facts_applied();
        let address = harness.address;
        let text = request_as("r-1", "/resumable_stream/x", "");
        let got = thread::scope(|scope| {
            let caller = scope.spawn(move || exchange(address, &text));
            while harness.endpoints[1].requests() == 0 {
                thread::sleep(Duration::from_millis(1));
            }
            let last = fact(1, harness.endpoints[1].address);
            let leaves_in = Some(Millis(20_000));
            let state = EndpointState::Leaving;
            harness.apply_fact(EndpointFact { sequence: 2, state, leaves_in, ..last });
            thread::sleep(Duration::from_millis(50));
            ends.store(true, Ordering::Relaxed);
            caller.join().expect("the caller gets an answer")
        });
        (got, harness.endpoints[0].requests())
    };
    check_all(FRAMES.into_iter().collect(), |frame| {
        // The endpoint that leaves may be chosen first.
        let got = (0..MAX_PLAYS).map(|_| play(frame)).find(|(got, _)| text(got) == WHOLE);
        let Some((got, first)) = got else { return Some(format!("{frame:?}: never resumed")) };
        (looks_complete(&got) || first != 1).then(|| format!("{frame:?}: {}", got.head))
    });
}

/// A process that stops writes the last chunks of all that it sends, and its connections may outlive it
/// on its host. Such marks would make short streams look whole; those of a sound endpoint must count.
#[test]
fn marks_at_the_same_time_count_if_the_endpoint_runs_on() {
    struct Case {
        streams: usize,
        runs_on: bool,
        is_complete: bool,
    }
    lines::capture();
    let cases = vec![
        Case { streams: 1, runs_on: true, is_complete: true },
        Case { streams: 2, runs_on: true, is_complete: true },
        Case { streams: 2, runs_on: false, is_complete: false },
        Case { streams: 3, runs_on: false, is_complete: false },
    ];
    check_all(cases, |Case { streams, runs_on, is_complete }| {
        let ends = Arc::<AtomicBool>::default();
        let stream = Action::AnswerWhen(Frame::Chunks.whole(WHOLE), ends.clone());
        let harness = Harness::start(vec![vec![stream; streams]]);
        let ids: Vec<String> = (0..streams).map(|i| format!("{}-{i}", harness.name)).collect();
        let calls: Vec<Call<'_>> =
            ids.iter().map(|id| Call { at: &harness, id, path: "/stream/x" }).collect();
        let got = play(&harness, &calls, || {
            if !runs_on {
                harness.endpoints[0].fall_silent();
            }
            ends.store(true, Ordering::Relaxed);
        });
        let got: Vec<_> = got.iter().map(looks_complete).collect();
        let is_asked = |id: &String| {
            lines::of_call(id).iter().any(|line| line.starts_with("event=unmarked_end "))
        };
        let asked: Vec<_> = ids.iter().map(is_asked).collect();
        let expected = (vec![is_complete; streams], vec![streams > 1; streams]);
        let name = format!("{streams} streams, runs on: {runs_on}");
        ((got.clone(), asked.clone()) != expected)
            .then(|| format!("{name}: complete {got:?}, held {asked:?}"))
    });
}

/// A last chunk whose connection closes with it shows no more than the close: a process that stops
/// writes it too. Streams of a sound endpoint that closes all its connections would be cut.
#[test]
fn a_mark_whose_connection_closes_with_it_counts_if_the_endpoint_runs_on() {
    struct Case {
        name: &'static str,
        action: Action,
        is_complete: bool,
    }
    let whole = Frame::ChunksAndClose.whole(WHOLE);
    let cases = vec![
        Case { name: "sound", action: Action::AnswerAndClose(whole.clone()), is_complete: true },
        Case {
            name: "sound, says so and doesn't close",
            action: Action::Answer(whole.clone()),
            is_complete: true,
        },
        Case {
            name: "sound, closes without saying so",
            action: Action::AnswerAndClose(Frame::Chunks.whole(WHOLE)),
            is_complete: true,
        },
        Case { name: "ends", action: Action::AnswerAndEnd(whole.clone()), is_complete: false },
        Case {
            name: "ends, and its host refuses",
            action: Action::AnswerAndFallSilent(whole),
            is_complete: false,
        },
    ];
    check_all(cases, |Case { name, action, is_complete }| {
        let harness = Harness::start(vec![vec![action]]);
        let got = harness.call("/stream/x");
        (looks_complete(&got) != is_complete).then(|| format!("{name}: {}", got.head))
    });
}

/// An endpoint that is full resets new connections and completes what it runs. If resets showed that it
/// has ended, its whole answers would be cut.
#[test]
fn answers_of_an_endpoint_that_resets_new_connections_are_whole() {
    struct Case {
        name: &'static str,
        path: &'static str,
        answer: String,
        body: &'static str,
    }
    let plain = format!("{}hello", head(""));
    let case = |name, path, answer, body| Case { name, path, answer, body };
    let cases = vec![
        case("unmarked", "/stream/x", Frame::Unmarked.stream(WHOLE), WHOLE),
        case("marked", "/stream/x", Frame::ChunksAndClose.whole(WHOLE), WHOLE),
        case("plain", "/non_idempotent/x", plain, "hello"),
    ];
    check_all(cases, |Case { name, path, answer, body }| {
        let (ends, may_end) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let (start, end) = (Frame::Chunks.stream(FIRST), Frame::Chunks.end());
        let steady =
            Action::AnswerSteadily(start, "9\r\n: alive\n\n\r\n".into(), may_end.clone(), end);
        let answer = Action::AnswerAndCloseWhen(answer, ends.clone());
        let harness = Harness::start(vec![vec![steady, answer]]);
        let (address, request) = (harness.address, request_as("steady", "/stream/x", ""));
        let steady = thread::spawn(move || exchange(address, &request));
        while harness.endpoints[0].requests() == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        let (address, request) = (harness.address, request_as("r-1", path, ""));
        let caller = thread::spawn(move || exchange(address, &request));
        while harness.endpoints[0].requests() == 1 {
            thread::sleep(Duration::from_millis(1));
        }
        harness.endpoints[0].reset_new_connections();
        ends.store(true, Ordering::Relaxed);
        let got = caller.join().expect("the caller gets an answer");
        may_end.store(true, Ordering::Relaxed);
        let steady = steady.join().expect("the caller gets an answer");
        let is_whole = looks_complete(&got) && text(&got) == body;
        (!is_whole || !looks_complete(&steady))
            .then(|| format!("{name}: {} {}, {}", got.head, text(&got), steady.head))
    });
}

/// Of a stream that counted as whole and was short, nobody could tell what had ended and proven it.
#[test]
fn the_proof_of_a_whole_stream_is_logged_and_counted() {
    struct Case {
        name: &'static str,
        frame: Frame,
        runs_on: bool,
        announced: bool,
        streams: usize,
        /// What proves the ends; empty if nothing does.
        proof: &'static str,
    }
    lines::capture();
    let usual = Case {
        name: "sound",
        frame: Frame::Unmarked,
        runs_on: true,
        announced: false,
        streams: 1,
        proof: "replied",
    };
    let cases = vec![
        Case { name: "marked", frame: Frame::Chunks, proof: "marked", ..usual },
        Case { name: "silent", runs_on: false, proof: "", ..usual },
        Case { name: "leaves", announced: true, ..usual },
        Case { name: "unproven", announced: true, runs_on: false, proof: "announced", ..usual },
        Case { name: "together", announced: true, runs_on: false, streams: 2, proof: "", ..usual },
        usual,
    ];
    check_all(cases, |case| {
        let Case { name, frame, runs_on, announced, streams, proof } = case;
        let ends = Arc::<AtomicBool>::default();
        let action = match (frame, runs_on) {
            (Frame::Unmarked, true) => {
                Action::AnswerAndCloseWhen(frame.stream(WHOLE), ends.clone())
            }
            (_, true) => Action::AnswerWhen(frame.whole(WHOLE), ends.clone()),
            (_, false) => frame.ends(WHOLE, &ends),
        };
        let harness = Harness::start(vec![vec![action; streams]]);
        let ids: Vec<String> = (0..streams).map(|i| format!("proof-{name}-{i}")).collect();
        let calls: Vec<Call<'_>> =
            ids.iter().map(|id| Call { at: &harness, id, path: "/stream/x" }).collect();
        play(&harness, &calls, || {
            if announced {
                let leaves_in = Some(Millis(20_000));
                announce(&harness, announcement(&harness, EndpointState::Leaving, leaves_in));
            }
            ends.store(true, Ordering::Relaxed);
        });
        let counted = format!("sill_gateway_whole_streams_total{{proof=\"{proof}\"}}");
        let mut wrong = Vec::new();
        if !proof.is_empty() {
            while lines::of_call(&ids[0]).iter().all(|line| !line.starts_with("event=call ")) {
                thread::sleep(Duration::from_millis(1));
            }
            if harness.metric(&counted) != 1 {
                wrong.push(counted);
            }
        }
        for id in &ids {
            let logged = lines::of_call(id);
            let of_event = |event: &str| {
                let start = format!("event={event} ");
                logged.iter().find(|line| line.starts_with(&start)).cloned().unwrap_or_default()
            };
            let mut expect = |line: &str, key: &str, is_expected: &dyn Fn(&str) -> bool| {
                if !is_expected(lines::value(line, key)) {
                    wrong.push(format!("{key} of {line:?}"));
                }
            };
            let (call, end) = (of_event("call"), of_event("unmarked_end"));
            expect(&call, "proof", &|value| value == proof);
            let is_proven = proof == "replied";
            expect(&call, "proof_ms", &|value| match value.parse::<u64>() {
                Ok(millis) => is_proven && millis >= if announced { 300 } else { 800 },
                Err(_) => !is_proven && value.is_empty(),
            });
            let warnings = lines::warnings_of_call(id);
            let unproven = warnings.iter().find(|line| line.starts_with("event=end_unproven "));
            expect(unproven.map_or("", |line| line), "id", &|value| {
                value == if proof == "announced" { id } else { "" }
            });
            if proof == "marked" {
                expect(&end, "id", &str::is_empty);
                continue;
            }
            expect(&end, "announced", &|value| value == announced.to_string());
            expect(&end, "leaves_ms", &|value| match value.parse::<i64>() {
                Ok(millis) => announced && (1..=20_000).contains(&millis),
                Err(_) => !announced && value == "\"\"",
            });
            expect(&end, "other_end", &|value| value == (streams > 1).to_string());
            let quoted = if proof.is_empty() { "\"\"" } else { proof };
            expect(&end, "proof", &|value| value == quoted);
        }
        (!wrong.is_empty()).then(|| format!("{name}: {wrong:#?}"))
    });
}
