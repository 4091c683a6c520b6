//! The replicated state: permissions to change and read it, idempotency, and the audit trail.

use serde_json::{Value, json};
use sill_base::{Millis, Name};
use sill_control::app::audit::AuditFilter;
use sill_control::app::command::{ChangeAsk, DrainAsk, Holder, Origin};
use sill_control::app::decision::Decision;
use sill_control::app::{App, Ask, Command, Outcome};
use sill_quorum::{Entry, Payload};
use sill_tree::{Document, DocumentText, KeyHash, Operator};
use sill_wire::control::Revision;
use sill_wire::feed::{Change, FeedReply};

fn token(name: &str) -> Holder {
    Holder::Token(KeyHash::of(name))
}

fn origin(holder: Holder, change_id: &str) -> Origin {
    Origin { holder, change_id: change_id.into(), reason: "why".to_owned() }
}

fn change(holder: Holder, id: &str, path: &str, document: Option<Value>) -> ChangeAsk {
    let document = document.as_ref().map(DocumentText::from);
    ChangeAsk { origin: origin(holder, id), path: path.into(), base: None, document, edition: None }
}

fn command(app: &App, ask: &Ask) -> Command {
    match app.decide(Millis(5), ask) {
        Decision::Write(command) => command,
        Decision::Answer(outcome) => {
            panic!("expected a command to write, got the outcome {outcome:?}")
        }
    }
}

fn apply(app: &mut App, command: &Command) -> Outcome {
    let text = serde_json::to_string(command).expect("JSON");
    let entry = Entry { term: 1, payload: Payload::Command(text.into()) };
    app.apply(app.index() + 1, &entry).expect("applying a command returns an outcome")
}

fn ask(app: &mut App, ask: ChangeAsk) -> Outcome {
    let ask = Ask::Change(ask);
    match app.decide(Millis(5), &ask) {
        Decision::Write(command) => apply(app, &command),
        Decision::Answer(outcome) => outcome,
    }
}

/// Returns a state whose tree has a subtree for each of two teams.
fn app_with_two_teams() -> App {
    let mut app = App::default();
    for team in ["ga", "nz"] {
        let owner = KeyHash::of(team);
        let key = KeyHash::of(&format!("caller of {team}"));
        let document =
            json!({ "owner": owner, "accounts": { format!("{team}-desk"): { "keys": [key] } } });
        let outcome = ask(&mut app, change(Holder::Root, team, team, Some(document)));
        assert!(matches!(outcome, Outcome::Changed(_)), "{outcome:?}");
    }
    app
}

#[test]
fn teams_change_their_own_subtree_only() {
    // A team's automation sends a change to another team's path, replaces the owner of its own
    // subtree, or removes a subtree that it was granted. The change must be refused, and the
    // refusal must be in the audit trail.
    struct Case {
        name: &'static str,
        holder: Holder,
        path: &'static str,
        document: Option<Value>,
        refused: Option<&'static str>,
    }
    let new_owner = Some(json!({ "owner": KeyHash::of("other") }));
    let cases = [
        Case {
            name: "own subtree, owner left out",
            holder: token("ga"),
            path: "ga",
            document: Some(json!({ "price_cap": 1 })),
            refused: None,
        },
        Case {
            name: "below the own subtree",
            holder: token("ga"),
            path: "ga/desk",
            document: Some(json!({})),
            refused: None,
        },
        Case {
            name: "another team's subtree",
            holder: token("ga"),
            path: "nz",
            document: Some(json!({})),
            refused: Some("forbidden"),
        },
        Case {
            name: "the root",
            holder: token("ga"),
            path: "",
            document: Some(json!({})),
            refused: Some("forbidden"),
        },
        Case {
            name: "owner of the own subtree replaced",
            holder: token("ga"),
            path: "ga",
            document: new_owner,
            refused: Some("invalid"),
        },
        Case {
            name: "granted subtree removed by its owner",
            holder: token("ga"),
            path: "ga",
            document: None,
            refused: Some("forbidden"),
        },
        Case {
            name: "granted subtree removed by its grantor",
            holder: Holder::Root,
            path: "ga",
            document: None,
            refused: None,
        },
    ];
    for case in cases {
        let mut app = app_with_two_teams();
        let outcome = ask(&mut app, change(case.holder, "x", case.path, case.document));
        let code = match &outcome {
            Outcome::Refused(refusal) => Some(refusal.code.as_str().to_owned()),
            _ => None,
        };
        assert_eq!(code.as_deref(), case.refused, "{}", case.name);
        let last = app.audit(&Operator::Root, &AuditFilter::default()).pop().expect("a record");
        let action = if case.refused.is_some() { "refused" } else { "change" };
        assert_eq!((&*last.action, &*last.subject), (action, case.path), "{}", case.name);
    }
}

#[test]
fn no_hash_of_a_token_or_key_is_in_the_audit_trail() {
    // More people may read the audit trail than the settings. A hash in it, also one from a refused
    // document, could be matched against lists of leaked keys.
    let mut app = app_with_two_teams();
    let wrong = json!({ "owner": "my-secret-token", "accounts": { "a": { "keys": ["hunter2"] } } });
    ask(&mut app, change(Holder::Root, "wrong", "ga", Some(wrong)));
    let seen = app.audit(&Operator::Root, &AuditFilter::default());
    let text = serde_json::to_string(&seen).expect("JSON");
    for secret in
        [&*KeyHash::of("ga").0, &*KeyHash::of("caller of ga").0, "hunter2", "my-secret-token"]
    {
        assert!(!text.contains(secret), "the audit trail contains {secret}: {text}");
    }
    let of_team = app.audit(&Operator::TokenHolder(KeyHash::of("ga")), &AuditFilter::default());
    assert!(of_team.iter().all(|record| &*record.subject == "ga"), "{of_team:?}");
}

#[test]
fn a_change_id_finds_the_answer_of_its_own_author_only() {
    // Two teams use the same Change-Id by chance. Each must get its own answer.
    let mut app = app_with_two_teams();
    let first = ask(&mut app, change(token("ga"), "same", "ga", Some(json!({ "price_cap": 1 }))));
    let other = ask(&mut app, change(token("nz"), "same", "nz", Some(json!({ "price_cap": 2 }))));
    assert_ne!(first, other);
    let again = ask(&mut app, change(token("ga"), "same", "ga", Some(json!({ "price_cap": 1 }))));
    assert_eq!(first, again);
    assert_eq!(app.revision(), Revision(4));
}

#[test]
fn a_change_that_was_checked_against_an_older_tree_is_checked_again() {
    // Two changes that are each valid alone are checked at the same time, and together exceed a
    // limit. The second one must not be applied on the basis of its check before the first one.
    let mut app = app_with_two_teams();
    let document = Some(json!({ "price_cap": 1 }));
    let first = command(&app, &Ask::Change(change(Holder::Root, "1", "ga", document.clone())));
    let second = command(&app, &Ask::Change(change(Holder::Root, "2", "nz", document)));
    assert!(matches!(apply(&mut app, &first), Outcome::Changed(_)));
    assert_eq!(apply(&mut app, &second), Outcome::Recheck);
    assert_eq!(app.revision(), Revision(3));
}

#[test]
fn a_restored_snapshot_gives_the_same_outcomes_as_the_log() {
    // An instance that restored a snapshot in place of old entries must return the same outcomes as
    // one that applied them all.
    let mut app = app_with_two_teams();
    let drain = DrainAsk { origin: origin(Holder::Root, "d"), subject: "m1".into() };
    let ask_drain = command(&app, &Ask::Drain(drain));
    assert_eq!(apply(&mut app, &ask_drain), Outcome::Drained);
    let text = serde_json::to_string(&app).expect("JSON");
    let mut copy: App = serde_json::from_str(&text).expect("the same shape");
    assert_eq!(copy, app);
    for price in 0..50 {
        let ask = Ask::Change(change(
            Holder::Root,
            &price.to_string(),
            "ga",
            Some(json!({ "price_cap": price })),
        ));
        let command = command(&app, &ask);
        assert_eq!(apply(&mut app, &command), apply(&mut copy, &command));
    }
    assert_eq!(copy, app);
}

#[test]
fn the_reply_completes_the_tree_for_any_number_of_missed_changes() {
    // An entry instance missed a few or a thousand and more changes, some of them removals. A
    // single reply must bring it to the newest tree, without one call for each change.
    let mut app = App::default();
    let mut trees = vec![app.tree().clone()];
    for i in 0..1500_u64 {
        let path = format!("team-{}", i % 7);
        let document = (i % 11 != 10).then(|| json!({ "price_cap": i }));
        let outcome = ask(&mut app, change(Holder::Root, &i.to_string(), &path, document));
        if matches!(outcome, Outcome::Changed(_)) {
            trees.push(app.tree().clone());
        }
    }
    let newest = trees.len() - 1;
    for missed in [0, 1, 5, 199, 200, 201, 500, 999, 1001, newest] {
        let have = newest - missed;
        let mut tree = trees[have].clone();
        match app.changes_since(Revision(have as u64)) {
            FeedReply::Current => assert_eq!(missed, 0),
            FeedReply::Changes { changes } => {
                changes.into_iter().for_each(|c| apply_change(&mut tree, c))
            }
            FeedReply::Snapshot { revision, subtrees } => {
                tree = Default::default();
                subtrees.into_iter().for_each(|c| apply_change(&mut tree, c));
                tree.revision = revision.0;
            }
            FeedReply::Empty => panic!("the reply is empty, but the tree is at revision {newest}"),
        }
        assert_eq!(tree, *app.tree(), "{missed} missed changes");
    }
}

fn apply_change(tree: &mut sill_tree::Tree, change: Change) {
    assert!(
        change.revision.0 > tree.revision,
        "revision {} after {}",
        change.revision.0,
        tree.revision
    );
    let path: Name = change.path;
    match change.document {
        None => tree.remove(&path, change.revision.0),
        Some(document) => {
            let document: Document = serde_json::from_value(document).expect("a document");
            tree.put(path, change.revision.0, change.author, document);
        }
    }
}
