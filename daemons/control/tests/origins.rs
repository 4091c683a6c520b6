//! The record of what can have begun streams.

use serde_json::json;
use sill_base::{Millis, Name};
use sill_control::app::command::{ChangeAsk, Holder, Origin};
use sill_control::app::decision::Decision;
use sill_control::app::origins::{MAX_VERSIONS, OriginRecord, OriginUpdate};
use sill_control::app::{App, Ask, Command, Outcome};
use sill_control::origins::{LeaderView, OriginPlanner, OriginView};
use sill_dispatch::streams::STREAM_LIFETIME;
use sill_quorum::{Entry, Payload};
use sill_tree::{Document, DocumentText, Route, Service, Share};
use sill_wire::control::Revision;
use sill_wire::link::{EndpointFact, EndpointState, UnchangedRoutes};
use sill_wire::streams::ServedVersion;
use sill_wire::{Incarnation, Software};

const START: Millis = Millis(100_000);

const SERVICE: &str = "desk";

/// A leader that knows all endpoints.
const LEADER: LeaderView =
    LeaderView { history: Millis(1 << 40), has_heard_voters: true, routes: None };

fn version(software: &str) -> ServedVersion {
    ServedVersion { service: SERVICE.into(), software: software.into() }
}

fn fact(endpoint: &str, software: &str) -> EndpointFact {
    EndpointFact {
        endpoint: endpoint.into(),
        incarnation: Incarnation(1),
        service: SERVICE.into(),
        domain: "a".into(),
        address: ([10, 0, 0, 1], 80).into(),
        slots: 1,
        sequence: 1,
        state: EndpointState::Ready,
        reclaimable: false,
        leaves_in: None,
        software: software.into(),
        cold_for: None,
        age: Millis::ZERO,
    }
}

/// Applies a command as all instances do, from its text in the log.
fn apply(app: &mut App, command: &Command) {
    let text = serde_json::to_string(command).expect("JSON");
    let entry = Entry { term: 1, payload: Payload::Command(text.into()) };
    let outcome = app.apply(app.index() + 1, &entry).expect("an outcome");
    assert!(!matches!(outcome, Outcome::Refused(_)), "{outcome:?}");
}

fn update(app: &mut App, update: OriginUpdate) {
    if let Decision::Write(command) = app.decide(Millis(5), &Ask::Origins(update)) {
        apply(app, &command);
    }
}

fn versions_of(app: &App) -> Option<Vec<Software>> {
    app.origins().versions_of(&[SERVICE.into()])
}

/// Returns the update that is due at an instance.
fn plan(
    planner: &mut OriginPlanner,
    now: Millis,
    app: &App,
    facts: &[EndpointFact],
    leader: Option<LeaderView>,
) -> OriginUpdate {
    let (record, index) = (app.origins(), app.index());
    planner.plan(now, &OriginView { facts, record, index, leader }, |service| service == SERVICE)
}

/// A record that doesn't go back far enough passes for one that does, and streams go on at another version.
#[test]
fn a_record_counts_once_a_leader_knows_that_nothing_is_missing() {
    struct Case {
        name: &'static str,
        leader: Option<LeaderView>,
        is_complete: bool,
    }
    let short = LeaderView { history: STREAM_LIFETIME - Millis(1), ..LEADER };
    let cases = [
        Case { name: "no leader", leader: None, is_complete: false },
        Case { name: "a leader that has just started", leader: Some(short), is_complete: false },
        Case { name: "a leader that knows all", leader: Some(LEADER), is_complete: true },
    ];
    for Case { name, leader, is_complete } in cases {
        let mut app = App::default();
        let facts = [fact("e1", "v1"), fact("e2", "v2")];
        let due = plan(&mut OriginPlanner::default(), START, &app, &facts, leader);
        assert_eq!(due.added.len(), 2, "{name}: {due:?}");
        update(&mut app, due);
        let expected = is_complete.then(|| vec!["v1".into(), "v2".into()]);
        assert_eq!(versions_of(&app), expected, "{name}");
    }
}

/// A snapshot of a program without the record passes for one of a new system.
#[test]
fn a_state_without_a_record_knows_nothing() {
    let mut state = serde_json::to_value(App::default()).expect("JSON");
    state.as_object_mut().expect("an object").remove("origins");
    let app: App = serde_json::from_value(state).expect("a state of an older program");
    assert_eq!(versions_of(&app), None);
    assert!(!app.origins().are_routes_settled());
    assert!(App::default().origins().are_routes_settled());
}

/// A version is forgotten while its streams run, or while a control instance that was cut off uses it.
#[test]
fn a_version_is_forgotten_once_its_streams_have_ended() {
    struct Case {
        name: &'static str,
        leader: Option<LeaderView>,
        /// Time since the last endpoint of the version is no longer known.
        absent: Millis,
        /// Whether it is recorded once more meanwhile.
        is_added: bool,
        is_forgotten: bool,
    }
    let case = |name, leader, absent, is_added, is_forgotten| Case {
        name,
        leader,
        absent,
        is_added,
        is_forgotten,
    };
    let new = LeaderView { history: Millis(1000), ..LEADER };
    let cut = LeaderView { has_heard_voters: false, ..LEADER };
    let cases = [
        case("in time", Some(LEADER), STREAM_LIFETIME, false, true),
        case("too early", Some(LEADER), STREAM_LIFETIME - Millis(1), false, false),
        case("another instance", None, STREAM_LIFETIME, false, false),
        case("a new leader", Some(new), STREAM_LIFETIME, false, false),
        case("a voter is silent", Some(cut), STREAM_LIFETIME, false, false),
        case("heard elsewhere", Some(LEADER), STREAM_LIFETIME, true, false),
    ];
    for Case { name, leader, absent, is_added, is_forgotten } in cases {
        let (mut app, mut planner) = (App::default(), OriginPlanner::default());
        let due =
            plan(&mut planner, START, &app, &[fact("e1", "v1"), fact("e2", "v2")], Some(LEADER));
        update(&mut app, due);
        let left = [fact("e1", "v1")];
        assert!(plan(&mut planner, START, &app, &left, leader).is_empty(), "{name}");
        let due = plan(&mut planner, START + absent, &app, &left, leader);
        if is_added {
            let added = vec![version("v2")];
            apply(&mut app, &Command::Origins(OriginUpdate { added, ..OriginUpdate::default() }));
        }
        update(&mut app, due);
        let versions = versions_of(&app).expect("the record is complete");
        assert_eq!(!versions.contains(&"v2".into()), is_forgotten, "{name}: {versions:?}");
        assert!(versions.contains(&"v1".into()), "{name}");
    }
}

/// The absence of a version is counted from before a leader knew of all endpoints.
#[test]
fn a_leader_that_has_missed_endpoints_begins_to_wait_anew() {
    let (mut app, mut planner) = (App::default(), OriginPlanner::default());
    let due = plan(&mut planner, START, &app, &[fact("e1", "v1")], Some(LEADER));
    update(&mut app, due);
    assert!(plan(&mut planner, START, &app, &[], Some(LEADER)).is_empty());
    let cut = LeaderView { has_heard_voters: false, ..LEADER };
    let half = START + STREAM_LIFETIME - Millis(1);
    assert!(plan(&mut planner, half, &app, &[], Some(cut)).is_empty());
    let later = half + Millis(1000);
    assert!(plan(&mut planner, later, &app, &[], Some(LEADER)).removed.is_empty());
    let over = later + STREAM_LIFETIME;
    assert_eq!(plan(&mut planner, over, &app, &[], Some(LEADER)).removed, [version("v1")]);
}

/// Heartbeats with made-up versions fill the record and push a version out that begins streams.
#[test]
fn a_full_record_counts_for_nothing() {
    let mut record = OriginRecord::new();
    let mut app = App::default();
    let all = (0..MAX_VERSIONS).map(|i| version(&format!("v{i}")));
    update(
        &mut app,
        OriginUpdate { added: all.collect(), is_complete: true, ..Default::default() },
    );
    record.clone_from(app.origins());
    assert!(record.is_full() && record.is_complete());
    // What an instance submits by itself has to show that there is no room.
    let (mut planner, facts) = (OriginPlanner::default(), [fact("e1", "one-more")]);
    let due = plan(&mut planner, START, &app, &facts, None);
    assert_eq!(due.added, [version("one-more")]);
    update(&mut app, due);
    assert_eq!(versions_of(&app), None);
    assert_eq!(app.origins().versions().count(), MAX_VERSIONS);
    for leader in [None, Some(LEADER)] {
        let due = plan(&mut planner, START, &app, &facts, leader);
        assert!(due.added.is_empty() && !due.is_complete, "nothing is left to tell: {due:?}");
    }
}

/// Heartbeats for services that nobody configured take the room of those that are.
#[test]
fn services_without_routes_take_a_part_of_the_record() {
    let (mut app, mut planner) = (App::default(), OriginPlanner::default());
    let forged = (0..4 * MAX_VERSIONS).map(|i| {
        let service: Name = format!("made-up-{i}").into();
        EndpointFact { service, ..fact(&format!("m{i}"), "v1") }
    });
    let mut facts: Vec<EndpointFact> = forged.collect();
    for _ in 0..3 {
        let due = plan(&mut planner, START, &app, &facts, None);
        update(&mut app, due);
    }
    facts.push(fact("e1", "v1"));
    let due = plan(&mut planner, START, &app, &facts, None);
    assert_eq!(due.added, [version("v1")]);
    assert!(app.origins().versions().count() <= MAX_VERSIONS / 4);
}

fn serving(path: &str, service: &str, accounts: usize) -> Document {
    let mut document = Document::default();
    for service in [SERVICE, "annex"] {
        document.services.insert(service.into(), Service::Pool(Default::default()));
    }
    let split = vec![Share { service: service.into(), weight: 1 }];
    let timeout_ms = Millis(1000);
    let route =
        Route { host: "h".into(), path: path.into(), timeout_ms, split, ..Route::default() };
    document.routes.insert("r".into(), route);
    for i in 0..accounts {
        document.accounts.insert(format!("a{i}").into(), Default::default());
    }
    document
}

fn put(app: &mut App, id: &str, document: Option<&Document>) {
    let origin = Origin { holder: Holder::Root, change_id: id.into(), reason: "why".to_owned() };
    let document = document.map(DocumentText::of);
    let ask = ChangeAsk { origin, path: "serving".into(), base: None, document, edition: None };
    match app.decide(Millis(5), &Ask::Change(ask)) {
        Decision::Write(command) => apply(app, &command),
        Decision::Answer(outcome) => panic!("{outcome:?}"),
    }
}

/// After a kill of all processes, a stream goes on at a service that its route had not had when it began;
/// or can't go on, as a change that left the routes alone passes for one that didn't.
#[test]
fn the_log_tells_whether_routes_have_kept_their_services() {
    struct Case {
        name: &'static str,
        /// The route's path, its service, and the number of accounts; none removes all.
        changes: &'static [Option<(&'static str, &'static str, usize)>],
        is_settled: bool,
    }
    const FIRST: Option<(&str, &str, usize)> = Some(("/a/", SERVICE, 0));
    let cases = [
        Case { name: "none", changes: &[], is_settled: true },
        Case { name: "the first", changes: &[FIRST], is_settled: true },
        Case {
            name: "accounts",
            changes: &[FIRST, Some(("/a/", SERVICE, 1)), Some(("/a/", SERVICE, 2))],
            is_settled: true,
        },
        Case { name: "a service", changes: &[FIRST, Some(("/a/", "annex", 0))], is_settled: false },
        Case { name: "a path", changes: &[FIRST, Some(("/b/", SERVICE, 0))], is_settled: false },
        Case { name: "removed", changes: &[FIRST, None, FIRST], is_settled: false },
    ];
    for Case { name, changes, is_settled } in cases {
        let mut app = App::default();
        for (i, change) in changes.iter().enumerate() {
            let document = change.map(|(path, service, accounts)| serving(path, service, accounts));
            put(&mut app, &format!("c{i}"), document.as_ref());
        }
        assert_eq!(app.origins().are_routes_settled(), is_settled, "{name}");
        let revision = app.revision();
        let routes = |revision, age| {
            let routes = Some(UnchangedRoutes { revision: Revision(revision), age });
            Some(LeaderView { routes, ..LEADER })
        };
        let mut planner = OriginPlanner::default();
        for (revision, age) in [(revision.0, STREAM_LIFETIME - Millis(1)), (1, STREAM_LIFETIME)] {
            let due = plan(&mut planner, START, &app, &[], routes(revision, age));
            update(&mut app, due);
            assert_eq!(app.origins().are_routes_settled(), is_settled, "{name}, too early");
        }
        let due = plan(&mut planner, START, &app, &[], routes(revision.0, STREAM_LIFETIME));
        update(&mut app, due);
        assert!(app.origins().are_routes_settled(), "{name}, after the life of a stream");
    }
}

/// A change that an older leader has checked doesn't say whether it keeps the routes.
#[test]
fn a_change_that_says_nothing_of_routes_may_have_changed_them() {
    let mut app = App::default();
    put(&mut app, "c0", Some(&serving("/a/", SERVICE, 0)));
    let origin = json!({ "holder": "root", "change_id": "c1", "reason": "why" });
    let document = serde_json::to_value(serving("/a/", SERVICE, 1)).expect("JSON");
    let ask = json!({ "origin": origin, "path": "serving", "base": null, "document": document });
    let checked = json!({ "ask": ask, "content": "x", "against": app.revision() });
    let command = json!({ "do": "change", "at": 5, "checked": checked });
    let command: Command = serde_json::from_value(command).expect("a command of an older leader");
    apply(&mut app, &command);
    assert_eq!(app.revision(), Revision(2));
    assert!(!app.origins().are_routes_settled());
}
