//! The table of claims: which owner may send, and which verdict a resend gets.

use sill_base::Millis;
use sill_flight::claims::{ClaimBounds, ClaimTable};
use sill_wire::Incarnation;
use sill_wire::claim::{BodyHash, ClaimAsk, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict};

struct Case {
    name: &'static str,
    asks: Vec<(u64, ClaimAsk)>,
    verdict: ClaimVerdict,
}

fn key(name: &str) -> ClaimKey {
    ClaimKey { account: "clerks".into(), key: name.into() }
}

fn owner(entry: &str) -> ClaimOwner {
    ClaimOwner { entry: entry.into(), incarnation: Incarnation(1), request: "r1".into() }
}

fn take_ask(name: &str, body: &str, by: &str) -> ClaimAsk {
    let body = BodyHash(body.into());
    ClaimAsk::Take { key: key(name), body, owner: owner(by), retention: Millis(1000) }
}

fn finish_ask(name: &str, by: &str, body: &str) -> ClaimAsk {
    ClaimAsk::Finish { key: key(name), owner: owner(by), outcome: answered_outcome(Some(body)) }
}

fn release_ask(name: &str, by: &str) -> ClaimAsk {
    ClaimAsk::Release { key: key(name), owner: owner(by) }
}

fn answered_outcome(body: Option<&str>) -> ClaimOutcome {
    ClaimOutcome::Answered { status: 200, body: body.map(str::to_owned) }
}

fn taken_verdict(by: &str, outcome: Option<ClaimOutcome>) -> ClaimVerdict {
    ClaimVerdict::Taken { owner: owner(by), outcome }
}

/// A caller whose answer was lost resends its request: through another entry instance, while the
/// first still runs, after it finished, or after its entry instance died. If the key were granted
/// to a second owner, the request would run twice.
#[test]
fn a_key_is_granted_to_one_owner() {
    let cases = [
        Case {
            name: "unclaimed key",
            asks: vec![(0, take_ask("k", "b", "e1"))],
            verdict: ClaimVerdict::Granted,
        },
        Case {
            name: "another key",
            asks: vec![(0, take_ask("k", "b", "e1")), (0, take_ask("l", "b", "e2"))],
            verdict: ClaimVerdict::Granted,
        },
        Case {
            name: "the same owner takes the key twice",
            asks: vec![(0, take_ask("k", "b", "e1")), (5, take_ask("k", "b", "e1"))],
            verdict: ClaimVerdict::Granted,
        },
        Case {
            name: "another entry instance",
            asks: vec![(0, take_ask("k", "b", "e1")), (5, take_ask("k", "b", "e2"))],
            verdict: taken_verdict("e1", None),
        },
        Case {
            name: "another body",
            asks: vec![(0, take_ask("k", "b", "e1")), (5, take_ask("k", "c", "e2"))],
            verdict: ClaimVerdict::BodyMismatch,
        },
        Case {
            name: "finished",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, finish_ask("k", "e1", "yes")),
                (5, take_ask("k", "b", "e2")),
            ],
            verdict: taken_verdict("e1", Some(answered_outcome(Some("yes")))),
        },
        Case {
            name: "finished, then the first ask arrives again",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, finish_ask("k", "e1", "yes")),
                (5, take_ask("k", "b", "e1")),
            ],
            verdict: taken_verdict("e1", Some(answered_outcome(Some("yes")))),
        },
        Case {
            name: "a second outcome does not replace the first",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, finish_ask("k", "e1", "yes")),
                (2, finish_ask("k", "e1", "no")),
                (5, take_ask("k", "b", "e2")),
            ],
            verdict: taken_verdict("e1", Some(answered_outcome(Some("yes")))),
        },
        Case {
            name: "finished by another owner",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, finish_ask("k", "e2", "no")),
                (5, take_ask("k", "b", "e2")),
            ],
            verdict: taken_verdict("e1", None),
        },
        Case {
            name: "of a large answer only the status is kept",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, finish_ask("k", "e1", "too long to be kept")),
                (5, take_ask("k", "b", "e2")),
            ],
            verdict: taken_verdict("e1", Some(answered_outcome(None))),
        },
        Case {
            name: "released",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, release_ask("k", "e1")),
                (5, take_ask("k", "c", "e2")),
            ],
            verdict: ClaimVerdict::Granted,
        },
        Case {
            name: "released by another owner",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, release_ask("k", "e2")),
                (5, take_ask("k", "b", "e2")),
            ],
            verdict: taken_verdict("e1", None),
        },
        Case {
            name: "released after it finished",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, finish_ask("k", "e1", "yes")),
                (2, release_ask("k", "e1")),
                (5, take_ask("k", "b", "e2")),
            ],
            verdict: taken_verdict("e1", Some(answered_outcome(Some("yes")))),
        },
        Case {
            name: "released before the delayed take arrives",
            asks: vec![(0, release_ask("k", "e1")), (1, take_ask("k", "b", "e1"))],
            verdict: ClaimVerdict::Unavailable,
        },
        Case {
            name: "a late release does not touch the next owner",
            asks: vec![
                (0, take_ask("k", "b", "e1")),
                (1, release_ask("k", "e1")),
                (2, take_ask("k", "b", "e2")),
                (3, release_ask("k", "e1")),
                (4, take_ask("k", "b", "e3")),
            ],
            verdict: taken_verdict("e2", None),
        },
        Case {
            name: "just before the retention ends",
            asks: vec![(0, take_ask("k", "b", "e1")), (999, take_ask("k", "b", "e2"))],
            verdict: taken_verdict("e1", None),
        },
        Case {
            name: "after the retention",
            asks: vec![(0, take_ask("k", "b", "e1")), (1000, take_ask("k", "b", "e2"))],
            verdict: ClaimVerdict::Granted,
        },
        Case {
            name: "the clock of the log goes backwards",
            asks: vec![
                (500, take_ask("k", "b", "e1")),
                (0, take_ask("k", "b", "e2")),
                (1499, take_ask("k", "b", "e2")),
            ],
            verdict: taken_verdict("e1", None),
        },
        Case {
            name: "full table",
            asks: vec![
                (0, take_ask("1", "b", "e1")),
                (0, take_ask("2", "b", "e1")),
                (0, take_ask("3", "b", "e1")),
                (0, take_ask("4", "b", "e1")),
            ],
            verdict: ClaimVerdict::Unavailable,
        },
        Case {
            name: "full table whose oldest claim expired",
            asks: vec![
                (0, take_ask("1", "b", "e1")),
                (9, take_ask("2", "b", "e1")),
                (9, take_ask("3", "b", "e1")),
                (1001, take_ask("4", "b", "e1")),
            ],
            verdict: ClaimVerdict::Granted,
        },
    ];
    for case in cases {
        let mut table = ClaimTable::new(ClaimBounds {
            max_claims: 3,
            max_answer_bytes: 8,
            max_total_answer_bytes: 16,
        });
        let mut verdict = None;
        for (at, ask) in &case.asks {
            // A control instance may restart from its snapshot between any two asks.
            let snapshot = serde_json::to_string(&table).expect("a claim table can be serialized");
            table = serde_json::from_str(&snapshot).expect("a claim table can be deserialized");
            verdict = Some(table.apply(Millis(*at), ask));
        }
        assert_eq!(verdict, Some(case.verdict), "{}", case.name);
    }
}

/// If expired claims did not release the bytes of their answers, no answer would be kept after some
/// time.
#[test]
fn expired_claims_release_the_bytes_of_their_answers() {
    let mut table = ClaimTable::new(ClaimBounds {
        max_claims: 3,
        max_answer_bytes: 8,
        max_total_answer_bytes: 8,
    });
    for (round, at) in [(1, 0), (2, 2000), (3, 4000)] {
        table.apply(Millis(at), &take_ask("k", "b", "e1"));
        table.apply(Millis(at), &finish_ask("k", "e1", "12345678"));
        let verdict = table.apply(Millis(at + 1), &take_ask("k", "b", "e2"));
        assert_eq!(
            verdict,
            taken_verdict("e1", Some(answered_outcome(Some("12345678")))),
            "round {round}"
        );
    }
    assert_eq!(table.len(), 1);
}
