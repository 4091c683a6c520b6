//! Single decisions: faults that random runs found, planned stops, homes of keys, the journal.

use std::panic::catch_unwind;

use sill_base::{Machine, Millis, Name};
use sill_flight::drain::{Drain, DrainAction, DrainCfg, DrainEvent};
use sill_flight::flight::{Epoch, Kind};
use sill_flight::home::{Directory, home};
use sill_flight::journal::Journal;
use sill_flight::sse::{self, Splitter};
use sill_flight::{Action, Event, Flight, FlightCfg, Place, Spec, Transcript};
use sill_wire::claim::{BodyHash, ClaimKey};
use sill_wire::handoff::{LocateReply, RunLocation};
use sill_wire::{ErrorCode, Incarnation};

fn spec(idempotent: bool) -> Spec {
    Spec {
        request: "r1".into(),
        kind: Kind::Model,
        idempotent,
        claim: None,
        keyed: false,
        deadline: Millis(60_000),
        prompt_tokens: 1000,
        max_tokens: 100,
    }
}

fn place(name: &str) -> Place {
    let incarnation = Incarnation(1);
    Place { endpoint: name.into(), incarnation, address: name.into(), cached_tokens: 0 }
}

fn steps(flight: &mut Flight, events: Vec<Event>) -> Vec<Action> {
    let mut out = Vec::new();
    for event in events {
        out.clear();
        flight.step(Millis(10), event, &mut out);
    }
    out
}

/// The endpoint loses the last tokens of its answer and closes it with the end marker all the same.
/// No index jumps, so only the count tells; the caller would get a shorter answer as a whole one.
#[test]
fn an_answer_that_lost_its_last_tokens_is_resumed() {
    let mut flight = Flight::new(FlightCfg::default(), spec(true), 1);
    let epoch = Epoch(1);
    let out = steps(
        &mut flight,
        vec![
            Event::Admitted,
            Event::Routed(place("m1")),
            Event::Token { epoch, index: 0 },
            Event::Done { epoch, tokens: Some(3) },
        ],
    );
    assert!(!out.contains(&Action::Finish), "{out:?}");
    assert!(matches!(out.last(), Some(Action::Route { .. })), "{out:?}");
}

/// Three of four endpoints are reclaimed under load. Until their leases end the dead ones look free,
/// while the live one is full, so an accepted request finds only endpoints that refuse the
/// connection. The caller would get 502 within a second, though nothing ran there and a slot is free
/// soon after (a_wave_of_reclaims_leaves_every_answer_whole, on a busy machine).
#[test]
fn an_accepted_request_outlasts_endpoints_that_cannot_be_reached() {
    let mut flight = Flight::new(FlightCfg::default(), spec(true), 1);
    let lost = Event::Cut { epoch: Epoch(1) };
    let begin = vec![
        Event::Admitted,
        Event::Routed(place("m1")),
        Event::Token { epoch: Epoch(1), index: 0 },
        lost,
    ];
    steps(&mut flight, begin);
    for epoch in 2..40 {
        let dead = place(&format!("dead{epoch}"));
        let unreached = Event::ConnectFailed { epoch: Epoch(epoch) };
        let out = steps(&mut flight, vec![Event::Routed(dead), unreached]);
        assert!(matches!(out.last(), Some(Action::Route { .. })), "attempt {epoch}: {out:?}");
    }
    let out = steps(&mut flight, vec![Event::Routed(place("m2"))]);
    let Some(Action::Dispatch { resume: Some(resume), .. }) = out.last() else { panic!("{out:?}") };
    assert_eq!(resume.next, 1);
}

/// An entry is reclaimed while a request that may run once is between two endpoints. The peer that
/// takes it over knows no run to go on with, and must not start another one (seed 5834).
#[test]
fn a_lost_run_is_not_started_again_by_the_peer() {
    let mut flight = Flight::taken_over(FlightCfg::default(), spec(false), 5, 1);
    let out = steps(&mut flight, vec![Event::TakenOver { from: None }]);
    let [Action::Fail(failed)] = out.as_slice() else { panic!("{out:?}") };
    assert_eq!(failed.code, ErrorCode::OutcomeUnknown);
}

struct StopCase {
    name: &'static str,
    in_flight: [u64; 4],
    stops: usize,
    last: Option<DrainAction>,
}

/// A planned stop while answers are still running: whoever stops too early cuts them off, and
/// their callers get half an answer.
#[test]
fn a_stop_waits_for_all_in_flight() {
    let exit = |cut, forced| Some(DrainAction::Exit { cut, forced });
    let cases = [
        StopCase { name: "idle", in_flight: [0; 4], stops: 1, last: exit(0, false) },
        StopCase { name: "ends", in_flight: [2, 2, 1, 0], stops: 1, last: exit(0, false) },
        StopCase { name: "limit", in_flight: [2; 4], stops: 1, last: exit(2, true) },
        StopCase { name: "twice", in_flight: [3; 4], stops: 2, last: exit(3, true) },
    ];
    for case in cases {
        let cfg = DrainCfg { notice: Millis(100), limit: Millis(400), cuts_in_flight: false };
        let mut drain = Drain::new(cfg);
        let mut out = Vec::new();
        drain.step(Millis(0), DrainEvent::Stop, &mut out);
        assert_eq!(out, [DrainAction::NotReady], "{}", case.name);
        for (i, in_flight) in case.in_flight.into_iter().enumerate() {
            let at = Millis(100 * (i as u64 + 1));
            drain.step(at, DrainEvent::Tick { in_flight }, &mut out);
            if case.stops > 1 {
                drain.step(at, DrainEvent::Stop, &mut out);
            }
        }
        assert_eq!(out.last().copied(), case.last, "{}", case.name);
    }
    let weak = DrainCfg { notice: Millis(1), limit: Millis(9), cuts_in_flight: true };
    let cut = catch_unwind(|| {
        let mut drain = Drain::new(weak);
        let mut out = Vec::new();
        drain.step(Millis(0), DrainEvent::Stop, &mut out);
        drain.step(Millis(2), DrainEvent::Tick { in_flight: 1 }, &mut out);
        drain.step(Millis(3), DrainEvent::Tick { in_flight: 1 }, &mut out);
    });
    assert!(cut.is_err(), "a stop that cuts requests off is not noticed");
}

fn key(number: usize) -> ClaimKey {
    ClaimKey { account: "clerks".into(), key: format!("k{number}").into() }
}

#[test]
fn homes_are_even_and_few_keys_move() {
    let members: Vec<Name> = (0..8).map(|i| Name::from(format!("10.0.0.{i}:7000"))).collect();
    let homes = |members: &[Name]| -> Vec<Name> {
        (0..8000).filter_map(|i| home(&key(i), members).cloned()).collect()
    };
    let before = homes(&members);
    for member in &members {
        let count = before.iter().filter(|m| *m == member).count();
        assert!((800..1200).contains(&count), "{member} is home to {count} of 8000 keys");
    }
    let after = homes(&members[1..]);
    let moved = before.iter().zip(&after).filter(|(b, a)| **b != members[0] && b != a);
    assert_eq!(moved.count(), 0);
}

#[test]
fn a_home_knows_where_a_key_runs() {
    let mut directory = Directory::new(2, Millis(1000));
    let body = BodyHash("b".into());
    let at = |address: &str| RunLocation { address: address.into(), request: "r".into() };
    let mut locate = |now, number, body: &BodyHash, by| {
        directory.locate(Millis(now), &key(number), body, at(by))
    };
    assert_eq!(locate(0, 1, &body, "e1"), LocateReply::New);
    assert_eq!(locate(1, 1, &body, "e1"), LocateReply::New);
    assert_eq!(locate(1, 1, &body, "e2"), LocateReply::At(at("e1")));
    assert_eq!(locate(1, 1, &BodyHash("c".into()), "e2"), LocateReply::BodyMismatch);
    assert_eq!(locate(1000, 1, &body, "e2"), LocateReply::New);
    assert_eq!(locate(1000, 2, &body, "e1"), LocateReply::New);
    assert_eq!(locate(1000, 3, &body, "e1"), LocateReply::New);
    assert_eq!(locate(1000, 1, &body, "e3"), LocateReply::New, "the oldest is forgotten when full");
}

#[test]
fn the_journal_is_bounded() {
    let mut journal = Journal::new(2);
    for request in ["r1", "r2", "r3"] {
        journal.open(Millis(5), &request.into(), &"clerks".into(), &"desk-7b".into());
    }
    assert_eq!(journal.get("r1"), None);
    for step in 0..100 {
        journal.note(Millis(5 + step), &"r3".into(), format!("step {step}"));
    }
    let record = journal.get("r3").expect("the newest is kept");
    assert_eq!((record.steps.len(), record.dropped), (64, 36));
    assert_eq!(record.steps[0].what, "step 0");
    assert_eq!(record.steps[63].at, Millis(99));
}

/// Events are cut anywhere on their way through the network.
#[test]
fn events_are_found_however_they_are_cut() {
    let stream = "id: 0\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\\\"b\\\\\"}}]}\n\n\
                  data: {\"usage\":{}}\n\ndata: [DONE]\n\n";
    for size in 1..stream.len() {
        let mut splitter = Splitter::default();
        let mut transcript = Transcript::default();
        let mut others = 0;
        let mut done = false;
        for piece in stream.as_bytes().chunks(size) {
            let pushed = splitter.push(piece, |event| match sse::kind(event) {
                sse::Kind::Token { index, escaped } => {
                    transcript.push(index, escaped.expect("the usual shape"));
                }
                sse::Kind::Done => done = true,
                sse::Kind::Other => others += 1,
            });
            assert_eq!(pushed, Ok(()));
        }
        assert_eq!((transcript.text().as_str(), others, done), ("a\"b\\", 1, true), "{size}");
    }
}
