//! How answers of control instances and peers become the settings in force.

use std::fs;
use std::panic::{AssertUnwindSafe, catch_unwind};

use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use serde_json::json;
use sill_base::random::{cases, seed};
use sill_entry::copy::SettingsCopy;
use sill_entry::settings::{ApplyError, ApplyOutcome, Settings, SettingsState, Weakening};
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};

fn change(revision: u64, path: &str) -> Change {
    let document = Some(json!({ "price_cap": revision }));
    Change { revision: Revision(revision), path: path.into(), author: "root".into(), document }
}

/// A document with a field that this version does not know.
fn unreadable_change(revision: u64, path: &str) -> Change {
    Change { document: Some(json!({ "of_a_later_version": 1 })), ..change(revision, path) }
}

fn changes_reply(changes: Vec<Change>) -> FeedReply {
    FeedReply::Changes { changes }
}

fn state_at(revision: u64) -> SettingsState {
    let changes = (1..=revision).map(|r| change(r, "ga")).collect();
    SettingsState::default().apply(changes_reply(changes)).next.unwrap_or_default()
}

struct Case {
    name: &'static str,
    have: u64,
    reply: FeedReply,
    /// The revision in force afterwards.
    expected_revision: u64,
    is_expected_error: fn(&ApplyError) -> bool,
    has_error: bool,
}

/// A control instance that was cut off answers with what it had, an answer is lost on the way, or a
/// document was written for a later version. A user would notice a limit that was raised and is low
/// again, or a change that never comes into force.
#[test]
fn settings_do_not_skip_or_undo_changes() {
    let any: fn(&ApplyError) -> bool = |_| true;
    let table = [
        Case {
            name: "nothing newer",
            have: 3,
            reply: FeedReply::Current,
            expected_revision: 3,
            is_expected_error: any,
            has_error: false,
        },
        Case {
            name: "the next two",
            have: 3,
            reply: changes_reply(vec![change(4, "ga"), change(5, "nz")]),
            expected_revision: 5,
            is_expected_error: any,
            has_error: false,
        },
        Case {
            name: "some already applied",
            have: 3,
            reply: changes_reply(vec![change(2, "ga"), change(3, "ga"), change(4, "ga")]),
            expected_revision: 4,
            is_expected_error: any,
            has_error: false,
        },
        Case {
            name: "a gap",
            have: 3,
            reply: changes_reply(vec![change(4, "ga"), change(6, "ga")]),
            expected_revision: 4,
            is_expected_error: |r| matches!(r, ApplyError::Gap { .. }),
            has_error: true,
        },
        Case {
            name: "an older snapshot",
            have: 3,
            reply: FeedReply::Snapshot { revision: Revision(2), subtrees: vec![change(2, "ga")] },
            expected_revision: 3,
            is_expected_error: |r| matches!(r, ApplyError::OlderSnapshot { .. }),
            has_error: true,
        },
        Case {
            name: "a newer snapshot",
            have: 3,
            reply: FeedReply::Snapshot {
                revision: Revision(900),
                subtrees: vec![change(899, "nz"), change(7, "ga")],
            },
            expected_revision: 900,
            is_expected_error: any,
            has_error: false,
        },
        Case {
            name: "a document that can't be read",
            have: 3,
            reply: changes_reply(vec![
                change(4, "ga"),
                unreadable_change(5, "nz"),
                change(6, "ga"),
            ]),
            expected_revision: 4,
            is_expected_error: |r| {
                matches!(r, ApplyError::Unreadable { revision: Revision(5), .. })
            },
            has_error: true,
        },
        Case {
            name: "a document that can't be read and was replaced later",
            have: 3,
            reply: changes_reply(vec![
                unreadable_change(4, "nz"),
                change(5, "ga"),
                change(6, "nz"),
            ]),
            expected_revision: 6,
            is_expected_error: any,
            has_error: false,
        },
        Case {
            name: "a replaced document after one that is not replaced",
            have: 3,
            reply: changes_reply(vec![
                unreadable_change(4, "nz"),
                unreadable_change(5, "ga"),
                change(6, "nz"),
            ]),
            expected_revision: 3,
            is_expected_error: |r| {
                matches!(r, ApplyError::Unreadable { revision: Revision(4), .. })
            },
            has_error: true,
        },
        Case {
            name: "a snapshot that can't be read",
            have: 3,
            reply: FeedReply::Snapshot {
                revision: Revision(9),
                subtrees: vec![unreadable_change(9, "ga")],
            },
            expected_revision: 3,
            is_expected_error: |r| matches!(r, ApplyError::Unreadable { .. }),
            has_error: true,
        },
    ];
    for case in table {
        let state = state_at(case.have);
        let ApplyOutcome { next, error } = state.apply(case.reply);
        let revision = next.as_ref().map_or(state.revision(), SettingsState::revision);
        assert_eq!(revision, Revision(case.expected_revision), "{}", case.name);
        assert_eq!(error.is_some(), case.has_error, "{}: {error:?}", case.name);
        assert!(error.iter().all(case.is_expected_error), "{}: {error:?}", case.name);
    }
}

/// Answers come late, twice and in any order from parents that are at different revisions. A user
/// would notice that settings jump back, or that an entry fed by a peer runs others than the peer.
#[test]
fn replies_in_any_order_do_not_decrease_the_revision() {
    let answers = prop::collection::vec((0_u64..40, 0_u64..40, any::<bool>()), 1..60);
    let mut rng_seed = [0; 32];
    rng_seed[..8].copy_from_slice(&seed(1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &rng_seed);
    let cfg =
        ProptestConfig { cases: cases(64), failure_persistence: None, ..ProptestConfig::default() };
    let result = TestRunner::new_with_rng(cfg, rng).run(&answers, |answers| {
        let settings = Settings::default();
        let mut before = Revision(0);
        for (have, newest, is_snapshot) in answers {
            let parent = state_at(newest);
            let reply =
                if is_snapshot { parent.snapshot() } else { parent.reply_since(Revision(have)) };
            if let Some(next) = settings.state().apply(reply).next {
                settings.activate(next);
            }
            prop_assert!(settings.revision() >= before);
            before = settings.revision();
            let child = SettingsState::default().apply(settings.state().reply_since(Revision(0)));
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
fn slower_reply_does_not_replace_newer_settings() {
    let settings = Settings::default();
    let (older, newer) = (state_at(4), state_at(7));
    settings.activate(newer);
    settings.activate(older);
    assert_eq!(settings.revision(), Revision(7));

    let weak = Settings::default().with_weakening(Weakening::LastWins);
    weak.activate(state_at(7));
    let noticed = catch_unwind(AssertUnwindSafe(|| weak.activate(state_at(4))));
    let message = noticed.expect_err("the promise must be asserted");
    let message = message.downcast_ref::<String>().expect("a message");
    assert!(message.contains("promise=accepted_change_stays"), "{message}");
}

/// A disk block is damaged, or the process died while it wrote the copy. A user would notice that
/// an entry runs with half of the settings.
#[test]
fn damaged_or_partial_copy_is_not_loaded() {
    let folder = std::env::temp_dir().join(format!("sill-copy-{}", std::process::id()));
    let copy = SettingsCopy::open(&folder).expect("a folder");
    assert!(copy.read().expect("no copy yet").is_none());
    copy.write(&state_at(5).snapshot()).expect("a copy");
    fs::write(folder.join("settings.new"), "half").expect("a file");
    let read = copy.read().expect("whole").expect("a copy");
    assert_eq!(
        SettingsState::default().apply(read).next.expect("settings").revision(),
        Revision(5)
    );

    let path = folder.join("settings");
    let text = fs::read_to_string(&path).expect("text");
    fs::write(&path, text.replacen("price_cap\":5", "price_cap\":6", 1)).expect("a file");
    assert!(copy.read().is_err(), "a changed digit must be noticed");
    fs::remove_dir_all(&folder).expect("the folder goes");
}
