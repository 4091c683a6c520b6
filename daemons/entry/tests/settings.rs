//! Replies of control instances and peers, and the active settings that result from them.

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

/// A change whose document has a field that this version does not know.
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
    /// The revision after the reply was applied.
    expected_revision: u64,
    is_expected_error: fn(&ApplyError) -> bool,
    has_error: bool,
}

/// A partitioned control instance answers with an old revision, a reply is lost, or a document was
/// written for a later version. Guards against settings that return to an older revision, such as a
/// raised limit that is low again, and against changes that never become active.
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

/// Replies arrive late, twice and in any order from parents at different revisions. Guards against
/// settings that return to an older revision, and against an entry instance that runs other
/// settings than the peer it polls.
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
    result.expect("no order of replies decreases the revision");
}

/// Two replies are applied concurrently and the slower one has the older revision. Guards against a
/// change that was active and is undone.
#[test]
fn slower_reply_does_not_replace_newer_settings() {
    let settings = Settings::default();
    let (older, newer) = (state_at(4), state_at(7));
    settings.activate(newer);
    settings.activate(older);
    assert_eq!(settings.revision(), Revision(7));

    let weak = Settings::default().with_weakening(Weakening::LastWins);
    weak.activate(state_at(7));
    let result = catch_unwind(AssertUnwindSafe(|| weak.activate(state_at(4))));
    let message = result.expect_err("going back to revision 4 must panic");
    let message = message.downcast_ref::<String>().expect("the panic has a String message");
    assert!(message.contains("promise=accepted_change_stays"), "{message}");
}

/// A disk block is damaged, or the process died while it wrote the copy. Guards against an entry
/// instance that starts with part of the settings.
#[test]
fn damaged_or_partial_copy_is_not_loaded() {
    let folder = std::env::temp_dir().join(format!("sill-copy-{}", std::process::id()));
    let copy = SettingsCopy::open(&folder).expect("creates the copy folder");
    assert!(copy.read().expect("reading a missing copy does not fail").is_none());
    copy.write(&state_at(5).snapshot()).expect("writes the copy");
    fs::write(folder.join("settings.new"), "half").expect("writes the partial copy");
    let read = copy.read().expect("the copy is intact").expect("the copy exists");
    assert_eq!(
        SettingsState::default().apply(read).next.expect("the copy gives settings").revision(),
        Revision(5)
    );

    let path = folder.join("settings");
    let text = fs::read_to_string(&path).expect("reads the copy as text");
    fs::write(&path, text.replacen("price_cap\":5", "price_cap\":6", 1))
        .expect("writes the damaged copy");
    assert!(copy.read().is_err(), "a copy with a changed digit was accepted");
    fs::remove_dir_all(&folder).expect("removes the copy folder");
}
