//! Ends of streams that are still in doubt when the process or the call ends.

#[allow(dead_code)] // The tests of held ends use a part of it.
mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sill_base::Millis;
use support::{Action, CallerResponse, Harness, exchange, head, lines, request_as};

const EVENT_STREAM: &str = "content-type: text/event-stream\r\n";

const WHOLE: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const CHUNKS: &str = "transfer-encoding: chunked\r\n";

const CHUNKS_AND_CLOSE: &str = "transfer-encoding: chunked\r\nconnection: close\r\n";

/// Number of times that a case is played until the machine is fast enough for its times.
const MAX_PLAYS: usize = 20;

fn looks_complete(got: &CallerResponse) -> bool {
    got.status == 200 && got.is_complete && got.body == WHOLE.as_bytes()
}

/// What cuts a call.
#[derive(Debug, Clone, Copy)]
enum Cut {
    /// A planned stop that lasts for 2 s.
    Stop,
    /// The deadline of the call, of 2 s.
    Deadline,
}

/// Sends a call, and lets its endpoint end the stream `after` the stop or the start of the call.
/// Returns the answer, and when the endpoint ended the stream.
fn play(
    cut: Cut,
    id: &str,
    action: Action,
    may_end: &AtomicBool,
    after: Duration,
) -> (CallerResponse, Duration) {
    let mut harness = Harness::start_with_stop_limit(Millis(2000), vec![vec![action]]);
    let extra = match cut {
        Cut::Stop => "",
        Cut::Deadline => "sill-deadline-ms: 2000\r\n",
    };
    let (address, text) = (harness.address, request_as(id, "/stream/x", extra));
    let mut began_at = Instant::now();
    let caller = thread::spawn(move || exchange(address, &text));
    while harness.endpoints[0].requests() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    let stop = match cut {
        Cut::Stop => {
            began_at = Instant::now();
            Some(thread::spawn(move || harness.stop()))
        }
        Cut::Deadline => None,
    };
    thread::sleep(after.saturating_sub(began_at.elapsed()));
    may_end.store(true, Ordering::Relaxed);
    let ended_at = began_at.elapsed();
    let got = caller.join().expect("the caller gets an answer");
    stop.into_iter().for_each(|stop| stop.join().expect("the entry instance stops"));
    (got, ended_at)
}

/// A planned stop, or the deadline of a call, would cut streams whose events have all arrived.
#[test]
fn a_whole_stream_is_not_cut_while_its_end_is_in_doubt() {
    struct Case {
        cut: Cut,
        /// When the stream ends: too late for the usual check, and early enough for a shorter one.
        ends: [u64; 2],
    }
    lines::capture();
    let cases = [
        Case { cut: Cut::Stop, ends: [1050, 1240] },
        Case { cut: Cut::Deadline, ends: [1050, 1440] },
    ];
    for Case { cut, ends: [first, last] } in cases {
        let mut plays = 0;
        let got = loop {
            let may_end = Arc::<AtomicBool>::default();
            let whole = format!("{}{WHOLE}", head(EVENT_STREAM));
            let action = Action::AnswerAndCloseWhen(whole, may_end.clone());
            let id = format!("held-{cut:?}-{plays}");
            let (got, ended_at) = play(cut, &id, action, &may_end, Duration::from_millis(first));
            plays += 1;
            // The endpoint looks at the flag every 10 ms.
            let is_in_time = ended_at + Duration::from_millis(30) <= Duration::from_millis(last);
            if is_in_time || plays == MAX_PLAYS {
                break (got, lines::of_call(&id));
            }
        };
        assert!(looks_complete(&got.0), "{cut:?}: {} {:?}", got.0.head, got.1);
    }
}

/// A check that is cut short would pass streams of an endpoint whose listener outlives its connections.
#[test]
fn a_short_stream_is_not_whole_because_the_process_or_the_call_ends() {
    for cut in [Cut::Stop, Cut::Deadline] {
        thread::scope(|scope| {
            for after in [1100, 1300, 1500, 1700] {
                for outlives in [15, 100, 300] {
                    scope.spawn(move || {
                        let may_end = Arc::<AtomicBool>::default();
                        let action = Action::AnswerAndEndBitByBit(
                            format!("{}{WHOLE}", head(EVENT_STREAM)),
                            may_end.clone(),
                            String::new(),
                            Duration::from_millis(outlives),
                        );
                        let id = format!("short-{cut:?}-{after}-{outlives}");
                        let after = Duration::from_millis(after);
                        let (got, _) = play(cut, &id, action, &may_end, after);
                        assert!(!looks_complete(&got), "{id}: {}", got.head);
                    });
                }
            }
        });
    }
}

/// Whole streams that ended within 0.6 s before the deadline or the end of a stop were cut at once.
#[test]
fn a_whole_stream_shortly_before_the_last_moment_is_complete() {
    struct Case {
        cut: Cut,
        framing: &'static str,
        end: &'static str,
        /// When the stream ends.
        after: u64,
    }
    lines::capture();
    let framings = [("", WHOLE.to_owned(), ""), (CHUNKS_AND_CLOSE, chunk(WHOLE), "0\r\n\r\n")];
    thread::scope(|scope| {
        for (framing, events, end) in &framings {
            let times = [(Cut::Stop, [1350, 1500, 1600]), (Cut::Deadline, [1450, 1650, 1800])];
            let cases = times
                .into_iter()
                .flat_map(|(cut, times)| times.map(|after| Case { cut, framing, end, after }));
            for Case { cut, framing, end, after } in cases {
                scope.spawn(move || {
                    let last = Duration::from_millis(after + 60);
                    for number in 0.. {
                        let may_end = Arc::<AtomicBool>::default();
                        let first =
                            format!("{}{events}", head(&format!("{EVENT_STREAM}{framing}")));
                        let action = Action::AnswerInTwoAndCloseWhen(
                            first,
                            may_end.clone(),
                            end.to_string(),
                        );
                        let id = format!("late-{cut:?}-{after}-{}-{number}", framing.len());
                        let after = Duration::from_millis(after);
                        let (got, ended_at) = play(cut, &id, action, &may_end, after);
                        if ended_at > last && number < MAX_PLAYS {
                            continue;
                        }
                        assert!(
                            looks_complete(&got),
                            "{id}: {} {:?}",
                            got.head,
                            lines::of_call(&id)
                        );
                        return;
                    }
                });
            }
        }
    });
}

/// A stream whose endpoint is silent was cut long before the deadline or the end of the stop.
#[test]
fn an_end_in_doubt_is_not_cut_before_the_last_moment() {
    thread::scope(|scope| {
        for cut in [Cut::Stop, Cut::Deadline] {
            for after in [1450, 1700] {
                scope.spawn(move || {
                    let may_end = Arc::<AtomicBool>::default();
                    let action = Action::AnswerAndEndBitByBit(
                        format!("{}{WHOLE}", head(EVENT_STREAM)),
                        may_end.clone(),
                        String::new(),
                        Duration::from_secs(5),
                    );
                    let id = format!("silent-{cut:?}-{after}");
                    let (began_at, after) = (Instant::now(), Duration::from_millis(after));
                    let (got, _) = play(cut, &id, action, &may_end, after);
                    let ms = began_at.elapsed().as_millis();
                    assert!(!looks_complete(&got), "{id}: {}", got.head);
                    assert!(ms >= 1950, "{id}: cut after {ms} ms");
                });
            }
        }
    });
}

/// A process that ends closes its connections one after the other; its replies on new ones would make its
/// short streams look whole.
#[test]
fn a_short_stream_is_not_whole_because_its_endpoint_serves_new_connections_for_a_while() {
    thread::scope(|scope| {
        for after in [1450, 1600, 1750, 1850] {
            for serves in [15, 100, 300] {
                scope.spawn(move || {
                    let may_end = Arc::<AtomicBool>::default();
                    let action = Action::AnswerAndServeNewConnections(
                        format!("{}{WHOLE}", head(EVENT_STREAM)),
                        may_end.clone(),
                        Duration::from_millis(serves),
                    );
                    let id = format!("new-{after}-{serves}");
                    let after = Duration::from_millis(after);
                    let (got, _) = play(Cut::Deadline, &id, action, &may_end, after);
                    assert!(!looks_complete(&got), "{id}: {}", got.head);
                });
            }
        }
    });
}

/// A whole stream was cut at its deadline because its resumption, which was no longer needed, hung.
#[test]
fn a_resumption_that_hangs_does_not_outlast_the_deadline() {
    /// When the endpoint announces that it leaves.
    #[derive(Clone, Copy, PartialEq)]
    enum Leaves {
        Never,
        BeforeTheEnd,
        AfterTheEnd,
    }
    struct Case {
        name: &'static str,
        leaves: Leaves,
        after: u64,
    }
    lines::capture();
    let cases = [
        Case { name: "runs", leaves: Leaves::Never, after: 1250 },
        Case { name: "leaves", leaves: Leaves::BeforeTheEnd, after: 900 },
        Case { name: "leaves later", leaves: Leaves::AfterTheEnd, after: 900 },
    ];
    for Case { name, leaves, after } in cases {
        for number in 0.. {
            let may_end = Arc::<AtomicBool>::default();
            let whole = format!("{}{WHOLE}", head(EVENT_STREAM));
            let action = match leaves != Leaves::Never {
                true => Action::AnswerAndEndBitByBit(
                    whole,
                    may_end.clone(),
                    String::new(),
                    if leaves == Leaves::AfterTheEnd {
                        Duration::ZERO
                    } else {
                        Duration::from_secs(5)
                    },
                ),
                false => Action::AnswerAndCloseWhen(whole, may_end.clone()),
            };
            let harness = Harness::start_with_hidden(vec![vec![action], vec![Action::Hang]]);
            let id = format!("hangs-{}-{number}", name.replace(' ', "-"));
            let text = request_as(&id, "/resumable_stream/x", "sill-deadline-ms: 2000\r\n");
            let (address, began_at) = (harness.address, Instant::now());
            let caller = thread::spawn(move || exchange(address, &text));
            while harness.endpoints[0].requests() == 0 {
                thread::sleep(Duration::from_millis(1));
            }
            match leaves {
                Leaves::BeforeTheEnd => harness.announce_departure_and_last(Millis(20_000)),
                _ => harness.announce_last(),
            }
            harness.wait_until_facts_applied();
            thread::sleep(Duration::from_millis(after).saturating_sub(began_at.elapsed()));
            may_end.store(true, Ordering::Relaxed);
            let ended_at = began_at.elapsed();
            if leaves == Leaves::AfterTheEnd {
                // Its host refuses connections meanwhile.
                thread::sleep(Duration::from_millis(100));
                harness.announce_departure_and_last(Millis(20_000));
            }
            let got = caller.join().expect("the caller gets an answer");
            if ended_at > Duration::from_millis(after + 60) && number < MAX_PLAYS {
                continue;
            }
            assert_eq!(harness.endpoints[1].requests(), 1, "{id} is resumed");
            assert!(looks_complete(&got), "{id}: {} {:?}", got.head, lines::of_call(&id));
            break;
        }
    }
}

/// With little time left, an announcement was believed without asking another endpoint, so that a short
/// stream looked whole.
#[test]
fn a_short_stream_of_an_endpoint_that_leaves_goes_on_although_its_deadline_is_near() {
    const FIRST: &str = "id: 1\ndata: a\n\n";
    const SECOND: &str = "id: 2\ndata: b\n\n";
    struct Case {
        framing: &'static str,
        after: u64,
    }
    lines::capture();
    let framings = ["", CHUNKS, CHUNKS_AND_CLOSE];
    let cases =
        framings.iter().flat_map(|framing| [900, 1300, 1500].map(|after| Case { framing, after }));
    thread::scope(|scope| {
        for Case { framing, after } in cases {
            scope.spawn(move || {
                let stream = |events: &str| {
                    let events = if framing.is_empty() { events.to_owned() } else { chunk(events) };
                    format!("{}{events}", head(&format!("{EVENT_STREAM}{framing}")))
                };
                let end = if framing.is_empty() { "" } else { "0\r\n\r\n" };
                let may_end = Arc::<AtomicBool>::default();
                let first = Action::AnswerAndEndBitByBit(
                    stream(FIRST),
                    may_end.clone(),
                    end.to_owned(),
                    Duration::from_secs(5),
                );
                let rest = format!(
                    "{}{}0\r\n\r\n",
                    head(&format!("{EVENT_STREAM}{CHUNKS}")),
                    chunk(SECOND)
                );
                let harness =
                    Harness::start_with_hidden(vec![vec![first], vec![Action::Answer(rest)]]);
                let id = format!("leaves-{after}-{}", framing.len());
                let text = request_as(&id, "/resumable_stream/x", "sill-deadline-ms: 2000\r\n");
                let (address, began_at) = (harness.address, Instant::now());
                let caller = thread::spawn(move || exchange(address, &text));
                while harness.endpoints[0].requests() == 0 {
                    thread::sleep(Duration::from_millis(1));
                }
                harness.announce_departure_and_last(Millis(20_000));
                harness.wait_until_facts_applied();
                thread::sleep(Duration::from_millis(after).saturating_sub(began_at.elapsed()));
                may_end.store(true, Ordering::Relaxed);
                let got = caller.join().expect("the caller gets an answer");
                let is_short = got.is_complete && got.body != WHOLE.as_bytes();
                assert!(!is_short, "{id}: {:?}", lines::of_call(&id));
                assert_eq!(harness.endpoints[1].requests(), 1, "{id} is resumed");
            });
        }
    });
}

fn chunk(events: &str) -> String {
    format!("{:x}\r\n{events}\r\n", events.len())
}
