//! The replicated state: who may change and see what, and what the audit trail keeps.

use serde_json::{Value, json};
use sill_base::{Millis, Name};
use sill_control::app::audit::AuditFilter;
use sill_control::app::command::{ChangeAsk, DrainAsk, Holder, Origin};
use sill_control::app::judge::Judged;
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
    match app.judge(Millis(5), ask) {
        Judged::Write(command) => command,
        Judged::Known(outcome) => panic!("known already: {outcome:?}"),
    }
}

fn apply(app: &mut App, command: &Command) -> Outcome {
    let text = serde_json::to_string(command).expect("JSON");
    let entry = Entry { term: 1, payload: Payload::Command(text.into()) };
    app.apply(app.index() + 1, &entry).expect("a command has an outcome")
}

fn ask(app: &mut App, ask: ChangeAsk) -> Outcome {
    let ask = Ask::Change(ask);
    match app.judge(Millis(5), &ask) {
        Judged::Write(command) => apply(app, &command),
        Judged::Known(outcome) => outcome,
    }
}

/// A tree with a subtree for each of two teams.
fn two_teams() -> App {
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
    // A team's automation sends a change to another team's path, names its own owner, or removes
    // what it was granted. It must be refused, and the refusal must be in the audit trail.
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
            name: "own, without repeating the owner",
            holder: token("ga"),
            path: "ga",
            document: Some(json!({ "price_cap": 1 })),
            refused: None,
        },
        Case {
            name: "below the own",
            holder: token("ga"),
            path: "ga/desk",
            document: Some(json!({})),
            refused: None,
        },
        Case {
            name: "another's",
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
            name: "its own owner",
            holder: token("ga"),
            path: "ga",
            document: new_owner,
            refused: Some("invalid"),
        },
        Case {
            name: "removal of what was granted",
            holder: token("ga"),
            path: "ga",
            document: None,
            refused: Some("forbidden"),
        },
        Case {
            name: "removal by who granted it",
            holder: Holder::Root,
            path: "ga",
            document: None,
            refused: None,
        },
    ];
    for case in cases {
        let mut app = two_teams();
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
    // The audit trail is read by more people than the settings. A hash there could be tried
    // against lists of leaked keys, also the hash that a refused document held.
    let mut app = two_teams();
    let wrong = json!({ "owner": "my-secret-token", "accounts": { "a": { "keys": ["hunter2"] } } });
    ask(&mut app, change(Holder::Root, "wrong", "ga", Some(wrong)));
    let seen = app.audit(&Operator::Root, &AuditFilter::default());
    let text = serde_json::to_string(&seen).expect("JSON");
    for secret in
        [&*KeyHash::of("ga").0, &*KeyHash::of("caller of ga").0, "hunter2", "my-secret-token"]
    {
        assert!(!text.contains(secret), "{secret} in {text}");
    }
    let of_team = app.audit(&Operator::TokenHolder(KeyHash::of("ga")), &AuditFilter::default());
    assert!(of_team.iter().all(|record| &*record.subject == "ga"), "{of_team:?}");
}

#[test]
fn an_answer_is_found_again_by_its_own_author_only() {
    // Two teams happen to use the same Change-Id. Each must get its own answer.
    let mut app = two_teams();
    let first = ask(&mut app, change(token("ga"), "same", "ga", Some(json!({ "price_cap": 1 }))));
    let other = ask(&mut app, change(token("nz"), "same", "nz", Some(json!({ "price_cap": 2 }))));
    assert_ne!(first, other);
    let again = ask(&mut app, change(token("ga"), "same", "ga", Some(json!({ "price_cap": 1 }))));
    assert_eq!(first, again);
    assert_eq!(app.revision(), Revision(4));
}

#[test]
fn a_change_that_was_checked_against_an_older_tree_is_checked_again() {
    // Two changes, each fine by itself, are checked at the same time and together exceed a limit.
    // The second one must not be made on the strength of its check before the first.
    let mut app = two_teams();
    let document = Some(json!({ "price_cap": 1 }));
    let one = command(&app, &Ask::Change(change(Holder::Root, "1", "ga", document.clone())));
    let two = command(&app, &Ask::Change(change(Holder::Root, "2", "nz", document)));
    assert!(matches!(apply(&mut app, &one), Outcome::Changed(_)));
    assert_eq!(apply(&mut app, &two), Outcome::Recheck);
    assert_eq!(app.revision(), Revision(3));
}

#[test]
fn a_snapshot_continues_as_the_log_does() {
    // An instance that got a snapshot in place of old entries must give the same answers as one
    // that applied them all.
    let mut app = two_teams();
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
fn who_missed_any_number_of_changes_gets_the_whole_tree() {
    // An entry instance was away for a few or for thousands of changes, some of them removals.
    // What it is sent must make up the newest tree, without one call for each change.
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
        match app.newer_than(Revision(have as u64)) {
            FeedReply::Current => assert_eq!(missed, 0),
            FeedReply::Changes { changes } => changes.into_iter().for_each(|c| take(&mut tree, c)),
            FeedReply::Snapshot { revision, subtrees } => {
                tree = Default::default();
                subtrees.into_iter().for_each(|c| take(&mut tree, c));
                tree.revision = revision.0;
            }
            FeedReply::Empty => panic!("it has something"),
        }
        assert_eq!(tree, *app.tree(), "missed {missed}");
    }
}

fn take(tree: &mut sill_tree::Tree, change: Change) {
    assert!(change.revision.0 > tree.revision, "out of order");
    let path: Name = change.path;
    match change.document {
        None => tree.remove(&path, change.revision.0),
        Some(document) => {
            let document: Document = serde_json::from_value(document).expect("a document");
            tree.put(path, change.revision.0, change.author, document);
        }
    }
}
