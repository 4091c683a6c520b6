//! How answers of control instances and peers become the settings in force.

use std::fs;
use std::panic::{AssertUnwindSafe, catch_unwind};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use serde_json::json;
use sill_base::random::{cases, seed};
use sill_entry::copy::SettingsCopy;
use sill_entry::settings::{Held, Refused, Settings, Taken, Weakening};
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};

fn change(revision: u64, path: &str) -> Change {
    let document = Some(json!({ "price_cap": revision }));
    Change { revision: Revision(revision), path: path.into(), author: "root".into(), document }
}

/// A document with a field that this version does not know.
fn poisoned(revision: u64, path: &str) -> Change {
    Change { document: Some(json!({ "of_a_later_version": 1 })), ..change(revision, path) }
}

fn changes(list: Vec<Change>) -> FeedReply {
    FeedReply::Changes { changes: list }
}

fn at(revision: u64) -> Held {
    let list = (1..=revision).map(|r| change(r, "ga")).collect();
    Held::default().follow(changes(list)).next.unwrap_or_default()
}

struct Case {
    what: &'static str,
    have: u64,
    reply: FeedReply,
    /// The revision in force afterwards.
    then: u64,
    is_refused: fn(&Refused) -> bool,
    refused: bool,
}

/// A control instance that was cut off answers with what it had, an answer is lost on the way, or a
/// document was written for a later version. A user would notice a limit that was raised and is low
/// again, or a change that never comes into force.
#[test]
fn settings_go_forward_without_a_gap_or_stay() {
    let any: fn(&Refused) -> bool = |_| true;
    let table = [
        Case {
            what: "nothing newer",
            have: 3,
            reply: FeedReply::Current,
            then: 3,
            is_refused: any,
            refused: false,
        },
        Case {
            what: "the next two",
            have: 3,
            reply: changes(vec![change(4, "ga"), change(5, "nz")]),
            then: 5,
            is_refused: any,
            refused: false,
        },
        Case {
            what: "some known already",
            have: 3,
            reply: changes(vec![change(2, "ga"), change(3, "ga"), change(4, "ga")]),
            then: 4,
            is_refused: any,
            refused: false,
        },
        Case {
            what: "a gap",
            have: 3,
            reply: changes(vec![change(4, "ga"), change(6, "ga")]),
            then: 4,
            is_refused: |r| matches!(r, Refused::Gap { .. }),
            refused: true,
        },
        Case {
            what: "an older whole",
            have: 3,
            reply: FeedReply::Snapshot { revision: Revision(2), subtrees: vec![change(2, "ga")] },
            then: 3,
            is_refused: |r| matches!(r, Refused::Older { .. }),
            refused: true,
        },
        Case {
            what: "a newer whole",
            have: 3,
            reply: FeedReply::Snapshot {
                revision: Revision(900),
                subtrees: vec![change(899, "nz"), change(7, "ga")],
            },
            then: 900,
            is_refused: any,
            refused: false,
        },
        Case {
            what: "a document that can't be read",
            have: 3,
            reply: changes(vec![change(4, "ga"), poisoned(5, "nz"), change(6, "ga")]),
            then: 4,
            is_refused: |r| matches!(r, Refused::Unreadable { revision: Revision(5), .. }),
            refused: true,
        },
        Case {
            what: "a document that can't be read and was mended since",
            have: 3,
            reply: changes(vec![poisoned(4, "nz"), change(5, "ga"), change(6, "nz")]),
            then: 6,
            is_refused: any,
            refused: false,
        },
        Case {
            what: "one mended, behind one that is not",
            have: 3,
            reply: changes(vec![poisoned(4, "nz"), poisoned(5, "ga"), change(6, "nz")]),
            then: 3,
            is_refused: |r| matches!(r, Refused::Unreadable { revision: Revision(4), .. }),
            refused: true,
        },
        Case {
            what: "a whole that can't be read",
            have: 3,
            reply: FeedReply::Snapshot { revision: Revision(9), subtrees: vec![poisoned(9, "ga")] },
            then: 3,
            is_refused: |r| matches!(r, Refused::Unreadable { .. }),
            refused: true,
        },
    ];
    for case in table {
        let held = at(case.have);
        let Taken { next, refused } = held.follow(case.reply);
        let then = next.as_ref().map_or(held.revision(), Held::revision);
        assert_eq!(then, Revision(case.then), "{}", case.what);
        assert_eq!(refused.is_some(), case.refused, "{}: {refused:?}", case.what);
        assert!(refused.iter().all(case.is_refused), "{}: {refused:?}", case.what);
    }
}

/// Answers come late, twice and in any order from parents that are at different revisions. A user
/// would notice that settings jump back, or that an entry fed by a peer runs others than the peer.
#[test]
fn any_answers_in_any_order_never_lead_back() {
    let answers = prop::collection::vec((0_u64..40, 0_u64..40, any::<bool>()), 1..60);
    let mut rng_seed = [0; 32];
    rng_seed[..8].copy_from_slice(&seed(1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &rng_seed);
    let cfg =
        ProptestConfig { cases: cases(64), failure_persistence: None, ..ProptestConfig::default() };
    let result = TestRunner::new_with_rng(cfg, rng).run(&answers, |answers| {
        let settings = Settings::default();
        let mut before = Revision(0);
        for (have, newest, whole) in answers {
            let parent = at(newest);
            let reply = if whole { parent.snapshot() } else { parent.newer_than(Revision(have)) };
            if let Some(next) = settings.held().follow(reply).next {
                settings.put_in_force(next);
            }
            prop_assert!(settings.revision() >= before);
            before = settings.revision();
            let child = Held::default().follow(settings.held().newer_than(Revision(0)));
            let reached = child.next.map_or(Revision(0), |next| next.revision());
            prop_assert_eq!(reached, settings.revision());
        }
        Ok(())
    });
    result.expect("no answers lead back");
}

/// Two answers are worked out at once and the slower one holds less. A user would notice a change
/// that was in force and is not any more.
#[test]
fn the_slower_of_two_answers_does_not_undo_the_faster() {
    let settings = Settings::default();
    let (older, newer) = (at(4), at(7));
    settings.put_in_force(newer);
    settings.put_in_force(older);
    assert_eq!(settings.revision(), Revision(7));

    let weak = Settings::default().weakened(Weakening::LastWins);
    weak.put_in_force(at(7));
    let noticed = catch_unwind(AssertUnwindSafe(|| weak.put_in_force(at(4))));
    let message = noticed.expect_err("the promise must be asserted");
    let message = message.downcast_ref::<String>().expect("a message");
    assert!(message.contains("promise=accepted_change_stays"), "{message}");
}

/// A disk block is damaged, or the process died while it wrote the copy. A user would notice that
/// an entry runs with half of the settings.
#[test]
fn a_damaged_copy_is_refused_and_a_half_written_one_is_not_seen() {
    let folder = std::env::temp_dir().join(format!("sill-copy-{}", std::process::id()));
    let copy = SettingsCopy::open(&folder).expect("a folder");
    assert!(copy.read().expect("no copy yet").is_none());
    copy.write(&at(5).snapshot()).expect("a copy");
    fs::write(folder.join("settings.new"), "half").expect("a file");
    let read = copy.read().expect("whole").expect("a copy");
    assert_eq!(Held::default().follow(read).next.expect("settings").revision(), Revision(5));

    let path = folder.join("settings");
    let text = fs::read_to_string(&path).expect("text");
    fs::write(&path, text.replacen("price_cap\":5", "price_cap\":6", 1)).expect("a file");
    assert!(copy.read().is_err(), "a changed digit must be noticed");
    fs::remove_dir_all(&folder).expect("the folder goes");
}
