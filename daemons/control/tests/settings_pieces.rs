//! Large settings at a control instance: distributed in pieces, compressed on disk, and without
//! delay for other calls.

mod support;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use eyre::Result;
use serde_json::json;
use sill_base::{Millis, Name, Secret};
use sill_control::app::App;
use sill_control::cfg::Voter;
use sill_control::{Control, ControlCfg};
use sill_dispatch::{RouteTable, SettingsAssembly};
use sill_net::PeerClient;
use sill_standin::loopback::free_addresses;
use sill_standin::panics::PanicCheck;
use sill_store::{FaultyDisk, Store};
use sill_tree::{Document, Pool, Route, Service, Share};
use sill_wire::announce::{Load, Role};
use sill_wire::control::Revision;
use sill_wire::link::{
    ControlInfo, ControlSync, Cursor, EndpointFact, EndpointState, EntryReport, LinkPoll,
    LinkReply, UnchangedRoutes,
};
use sill_wire::settings::{Manifest, PiecesRequest};
use sill_wire::{Announcement, CrashUpdate, Incarnation, Servable};
use support::http;
use tokio::runtime::Runtime;

/// Attempts before a test fails; no test measures speed by it.
const MAX_ATTEMPTS: usize = 600;

/// Time limit for a response; a call that takes longer counts as hung.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

/// One control instance that bootstraps its own log.
struct TestInstance {
    peer: SocketAddr,
    disk: FaultyDisk,
    runtime: Runtime,
    control: Option<Control>,
    _panic_check: PanicCheck,
}

impl TestInstance {
    fn start() -> Self {
        let mut instance = Self::stopped();
        instance.run();
        instance
    }

    fn stopped() -> Self {
        let peer = free_addresses(1).expect("free ports")[0];
        let runtime = Runtime::new().expect("a runtime");
        let _panic_check = PanicCheck::start();
        Self { peer, disk: FaultyDisk::new(), runtime, control: None, _panic_check }
    }

    fn run(&mut self) {
        self.control = Some(self.try_to_run().expect("the control instance starts"));
    }

    fn try_to_run(&self) -> Result<Control> {
        let disk = self.disk.clone();
        Control::start_on(self.cfg(), Box::new(move |_| Ok(Box::new(disk.clone()))))
    }

    fn stop(&mut self) {
        let control = self.control.take().expect("the control instance is running");
        self.runtime.block_on(control.stop());
    }

    fn cfg(&self) -> ControlCfg {
        ControlCfg {
            seeds: None,
            quorum: Default::default(),
            endpoint_heartbeat: Millis(1000),
            name: "c".into(),
            domain: "a".into(),
            listen: "127.0.0.1:0".parse().expect("an address"),
            listen_metrics: None,
            listen_peer: self.peer,
            voters: vec![Voter { name: "c".into(), domain: "a".into(), address: self.peer }],
            data: "data".into(),
            cluster_key: Secret::new("key"),
            root_token: Secret::new("root"),
            join_token: Some(Secret::new("join")),
            rollouts: None,
        }
    }

    /// Changes the serving settings, and retries until a leader accepts them.
    fn put(&self, document: &Document) {
        let address = self.control.as_ref().expect("the control instance is running").address;
        let body = serde_json::to_string(document).expect("it can be serialised");
        for _ in 0..MAX_ATTEMPTS {
            let answer = http(address, "PUT", "/tree/serving", &body);
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
            assert!(!answer.starts_with("HTTP/1.1 4"), "{answer}");
            std::thread::sleep(Millis(50).into());
        }
        panic!("no leader accepted the change in {MAX_ATTEMPTS} attempts");
    }
}

impl Drop for TestInstance {
    fn drop(&mut self) {
        if self.control.is_some() {
            self.stop();
        }
    }
}

fn client(peer: SocketAddr) -> PeerClient {
    PeerClient::new(peer, &Secret::new("key"), Millis(10_000))
}

fn route(i: usize, max_attempts: u32) -> (Name, Route) {
    let route = Route {
        host: format!("{i:x}.example").into(),
        path: format!("/path{i}/").into(),
        timeout_ms: Millis(1000),
        split: vec![Share { service: "desk".into(), weight: 1 }],
        max_attempts,
        ..Route::default()
    };
    (format!("route-{i}").into(), route)
}

fn document(routes: usize, max_attempts: u32) -> Document {
    let services = BTreeMap::from([("desk".into(), Service::Pool(Pool::default()))]);
    let routes = (0..routes).map(|i| route(i, max_attempts)).collect();
    Document { services, routes, ..Document::default() }
}

fn poll(entry: usize, have: u64) -> LinkPoll {
    let report = EntryReport {
        entry: format!("e{entry}").into(),
        incarnation: Incarnation(1),
        domain: "a".into(),
        sequence: 1,
        wall: Millis::wall(),
        uptime: None,
        entries: 0,
        age: Millis::ZERO,
        usage: Vec::new(),
        accounts: Vec::new(),
        services: Vec::new(),
        loads: Vec::new(),
        relay: None,
        peer: None,
    };
    let crashes = CrashUpdate::default();
    LinkPoll {
        have: Revision(have),
        cursor: Cursor::default(),
        wait: Millis(2000),
        report,
        crashes,
    }
}

async fn manifest(client: &PeerClient, entry: usize, have: u64) -> Manifest {
    let mut poll = poll(entry, have);
    for _ in 0..MAX_ATTEMPTS {
        let reply = client.call(&poll).await.expect("a reply");
        poll.cursor = reply.cursor;
        if let Some(manifest) = reply.settings {
            return manifest;
        }
    }
    panic!("no settings newer than revision {have} in {MAX_ATTEMPTS} polls");
}

async fn fetch(client: &PeerClient, manifest: &Manifest) -> RouteTable {
    let mut assembly = SettingsAssembly::default();
    assembly.offer(manifest.clone());
    loop {
        if let Some(settings) = assembly.take_complete() {
            return RouteTable::join(manifest.revision.0, &settings.parts);
        }
        let reply =
            client.call(&PiecesRequest { pieces: assembly.missing() }).await.expect("a reply");
        assert!(!reply.pieces.is_empty(), "none of the pieces of the manifest is available");
        let bytes: usize = reply.pieces.iter().map(|piece| piece.text.len()).sum();
        assert!(bytes <= 32 << 10 || reply.pieces.len() == 1, "{bytes} bytes in one reply");
        for piece in &reply.pieces {
            assembly.add_piece(piece).expect("the piece is valid");
        }
    }
}

fn max_attempts_of(table: &RouteTable, i: usize) -> Option<u32> {
    let found = table.find(&format!("{i:x}.example"), &format!("/path{i}/x"));
    found.map(|entry| entry.route.max_attempts)
}

/// Returns the sync that another control instance sends when an endpoint has reported that it
/// leaves.
fn leaving_sync() -> ControlSync {
    let address: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let from = ControlInfo { name: "d".into(), domain: "b".into(), peer: address, address };
    let fact = EndpointFact {
        endpoint: "e".into(),
        incarnation: Incarnation(1),
        service: "desk".into(),
        domain: "b".into(),
        address,
        slots: 4,
        sequence: 2,
        state: EndpointState::Leaving,
        reclaimable: false,
        leaves_in: None,
        cold_for: None,
        age: Millis::ZERO,
        software: Default::default(),
    };
    ControlSync {
        from,
        incarnation: Incarnation(1),
        wall: Millis::wall(),
        endpoints: vec![fact],
        reports: Vec::new(),
        totals: None,
        crashes: CrashUpdate::default(),
        relays: None,
        entries: None,
        history: None,
    }
}

#[test]
fn a_departure_is_reported_while_large_settings_are_cut() {
    // If a departure were reported only after a large change is cut, calls would go on to an
    // endpoint that has left.
    const ROUTES: usize = 20_000;
    let instance = TestInstance::start();
    instance.put(&document(1, 1));
    let client = client(instance.peer);
    instance.runtime.block_on(manifest(&client, 0, 0));
    instance.put(&document(ROUTES, 2));
    instance.runtime.block_on(client.call(&leaving_sync())).expect("the sync is accepted");
    let reply: LinkReply = instance.runtime.block_on(client.call(&poll(0, 1))).expect("a reply");
    assert_eq!(reply.endpoints.first().map(|fact| fact.state), Some(EndpointState::Leaving));
    assert_eq!(
        reply.settings.map(|manifest| manifest.revision),
        None,
        "the reply waited for the settings"
    );
    let newest = instance.runtime.block_on(manifest(&client, 0, 1));
    assert_eq!(newest.revision, Revision(2));
}

/// Opens a connection and sends a request up to the last byte of its body.
fn send_partial_request(
    to: SocketAddr,
    method: &str,
    path: &str,
    token: &str,
    body: &str,
) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_nodelay(true).expect("an option");
    stream.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
    let len = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: c\r\nauthorization: Bearer {token}");
    let text = format!("{head}\r\ncontent-length: {len}\r\n\r\n{}", &body[..len - 1]);
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

/// Sends the end of a request and returns the beginning of the response.
fn finish_request(mut stream: TcpStream, end: &str) -> String {
    stream.write_all(end.as_bytes()).expect("sent");
    first_bytes(&mut stream)
}

fn first_bytes(stream: &mut TcpStream) -> String {
    let mut buf = [0; 256];
    let len = stream.read(&mut buf).expect("an answer");
    String::from_utf8_lossy(&buf[..len]).into_owned()
}

fn announcement(sequence: u64) -> String {
    let service = Servable::Service { service: "desk".into() };
    let announcement = Announcement {
        name: "e".into(),
        incarnation: Incarnation(1),
        sequence,
        address: "127.0.0.1:1".into(),
        domain: "b".into(),
        class: Name::default(),
        reclaimable: false,
        price: 0,
        serves: vec![service],
        role: Role::Mixed,
        slots: 4,
        prefill_tokens_per_s: 0,
        decode_ms: 0,
        cache_tokens: 0,
        load: Load::default(),
        leaving: (sequence > 1).then_some(Millis(2000)),
        checks_fencing: false,
        software: Default::default(),
    };
    serde_json::to_string(&announcement).expect("it can be serialised")
}

#[test]
fn an_endpoint_announces_its_departure_while_a_large_change_is_parsed() {
    // If the announcement waited until an operator's large document is parsed, the endpoint would
    // get calls until its end.
    const ROUTES: usize = 20_000;
    let instance = TestInstance::start();
    let address = instance.control.as_ref().expect("the control instance is running").address;
    // The document is refused as soon as it is parsed, because of a duplicate name.
    let text = serde_json::to_string(&document(ROUTES, 1)).expect("it can be serialised");
    let text = text.replace("\"route-1\":", "\"route-0\":");
    let mut change = send_partial_request(address, "PUT", "/tree/serving", "root", &text);
    let endpoint = send_partial_request(address, "POST", "/announce", "join", &announcement(2));
    // Between these announcements the instance receives the sent part of the document.
    for _ in 0..10 {
        let answer = finish_request(
            send_partial_request(address, "POST", "/announce", "join", &announcement(1)),
            "}",
        );
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    change.write_all(b"}").expect("sent");
    let answer = finish_request(endpoint, "}");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    change.set_nonblocking(true).expect("an option");
    let is_read = change.peek(&mut [0]).is_ok();
    assert!(!is_read, "the announcement waited until the document was parsed");
    change.set_nonblocking(false).expect("an option");
    let answer = first_bytes(&mut change);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

#[test]
fn simultaneous_restarts_share_one_cut_of_large_settings() {
    // All entry instances restart together after a power loss. If the settings were cut again for
    // each of them, the control instance would have no time for heartbeats and lose its lease, and
    // no caller would be served.
    const ENTRIES: usize = 94;
    const ROUTES: usize = 5000;
    let instance = TestInstance::start();
    instance.put(&document(ROUTES, 1));
    let peer = instance.peer;
    let starts = (0..ENTRIES).map(|entry| {
        instance.runtime.spawn(async move {
            let client = client(peer);
            let manifest = manifest(&client, entry, 0).await;
            let table = fetch(&client, &manifest).await;
            (manifest, (0..ROUTES).filter(|i| max_attempts_of(&table, *i) == Some(1)).count())
        })
    });
    let starts: Vec<_> = starts.collect();
    let results = starts
        .into_iter()
        .map(|start| instance.runtime.block_on(start).expect("the task finishes"));
    let results: Vec<_> = results.collect();
    assert!(results.iter().all(|(_, routes)| *routes == ROUTES));
    assert!(
        results.iter().all(|(manifest, _)| *manifest == results[0].0),
        "the revision was cut more than once"
    );
}

#[test]
fn a_reader_can_finish_a_revision_while_newer_ones_are_cut() {
    // A reader on a slow link has fetched a part of one revision when newer ones are cut. If the
    // pieces of the first were evicted, a series of changes could keep the reader from ever
    // completing one.
    let instance = TestInstance::start();
    instance.put(&document(300, 1));
    let client = client(instance.peer);
    let first = instance.runtime.block_on(manifest(&client, 0, 0));
    for max_attempts in 2..=3 {
        instance.put(&document(300, max_attempts));
        instance.runtime.block_on(manifest(&client, 0, u64::from(max_attempts) - 1));
    }
    let table = instance.runtime.block_on(fetch(&client, &first));
    assert_eq!(max_attempts_of(&table, 299), Some(1));
    let newest = instance.runtime.block_on(manifest(&client, 0, first.revision.0));
    let table = instance.runtime.block_on(fetch(&client, &newest));
    assert_eq!(max_attempts_of(&table, 299), Some(3));
}

#[test]
fn large_changes_are_compressed_on_disk_and_survive_a_restart() {
    // Operators add thousands of routes in a series of changes. Each change is sent to all voters
    // and written to their disks. As plain text, the changes delayed heartbeats, filled the disk,
    // and took seconds to read after a restart.
    const CHANGES: u32 = 12;
    let mut instance = TestInstance::start();
    for max_attempts in 1..=CHANGES {
        instance.put(&document(1400, max_attempts));
    }
    instance.stop();
    let (_, recovered) = Store::open(instance.disk.clone()).expect("the store opens");
    let largest = recovered.records.iter().map(Vec::len).max().unwrap_or_default();
    let text = serde_json::to_string(&document(1400, 1)).expect("it can be serialised");
    assert!(largest * 5 < text.len(), "{largest} bytes for a document of {}", text.len());
    instance.run();
    let client = client(instance.peer);
    let newest = instance.runtime.block_on(manifest(&client, 0, 0));
    let table = instance.runtime.block_on(fetch(&client, &newest));
    assert_eq!(max_attempts_of(&table, 1399), Some(CHANGES));
}

#[test]
fn waiting_polls_and_applied_changes_do_not_deadlock() {
    // Entry instances poll while one change after the other is applied. A poll that reads the state
    // while it is woken, and the log's thread that wakes it while it writes the state, can each
    // hold the lock that the other waits for. The control instance then hangs, and nobody gets
    // settings from it.
    const READERS: usize = 16;
    const CHANGES: u32 = 60;
    let instance = TestInstance::start();
    instance.put(&document(1, 1));
    let peer = instance.peer;
    let readers = (0..READERS).map(|entry| {
        instance.runtime.spawn(async move {
            let client = client(peer);
            let mut have = 0;
            while have < u64::from(CHANGES) {
                have = manifest(&client, entry, have).await.revision.0;
            }
        })
    });
    let readers: Vec<_> = readers.collect();
    for max_attempts in 2..=CHANGES {
        instance.put(&document(1, max_attempts));
    }
    for reader in readers {
        instance.runtime.block_on(reader).expect("the reader receives all changes");
    }
}

#[test]
fn a_start_on_a_snapshot_of_a_newer_version_fails_without_changing_the_disk() {
    // After a rolled back upgrade, the older version could panic on a snapshot of the newer one, or
    // leave a disk that the newer version can't use either.
    let instance = TestInstance::stopped();
    let mut app = serde_json::to_value(App::default()).expect("it can be serialised");
    app["index"] = json!(7);
    app["tree"]["revision"] = json!(1);
    app["tree"]["subtrees"]["serving"] =
        json!({ "revision": 1, "author": "root", "document": { "field_of_tomorrow": 1 } });
    let id = json!({ "name": "c", "incarnation": 1 });
    let snapshot = json!({
        "index": 7, "term": 1, "members": { "voters": [id], "learners": [] }, "data": "",
    });
    let persisted = json!({
        "hard": { "term": 1, "vote": id }, "snapshot": snapshot,
        "base_index": 7, "base_term": 1, "entries": [],
    });
    let record = format!("{}\n{app}", json!({ "id": id, "persisted": persisted }));
    let (mut store, _) = Store::open(instance.disk.clone()).expect("the store opens");
    store.replace::<Vec<u8>>(record.as_bytes(), &[]).expect("the snapshot is written");
    drop(store);
    let failure = instance.try_to_run().expect_err("the snapshot can't be read");
    let text = format!("{failure:#}");
    assert!(text.contains("newer version") && text.contains("field_of_tomorrow"), "{text}");
    let (_, recovered) = Store::open(instance.disk.clone()).expect("the store opens");
    assert!(recovered.snapshot == Some(record.into_bytes()) && recovered.records.is_empty());
}

/// An entry instance that has just started takes the services that routes have now for all that they
/// had.
#[test]
fn a_control_instance_says_for_how_long_routes_are_unchanged() {
    let mut instance = TestInstance::start();
    let client = client(instance.peer);
    let unchanged = |instance: &TestInstance, revision: u64| {
        instance.runtime.block_on(manifest(&client, 0, revision - 1));
        let reply = instance.runtime.block_on(client.call(&poll(0, revision - 1)));
        let routes: UnchangedRoutes = reply.expect("a reply").routes.expect("it has settings");
        assert_eq!(routes.revision, Revision(revision));
        routes.age
    };
    let long = Millis::from_secs(60);
    instance.put(&document(2, 1));
    assert!(unchanged(&instance, 1) > long, "there was nothing before");
    instance.put(&document(2, 2));
    assert!(unchanged(&instance, 2) > long, "the routes draw from the same services");
    instance.put(&document(3, 2));
    assert!(unchanged(&instance, 3) < long, "a route was added");
    instance.put(&document(3, 1));
    assert!(unchanged(&instance, 4) < long, "a route was added lately");
    instance.stop();
    instance.run();
    assert!(unchanged(&instance, 4) < long, "it has just started");
}

/// What an endpoint announces is kept and sent to all instances; long names would take up their memory.
#[test]
fn an_announcement_with_a_long_name_is_refused() {
    let instance = TestInstance::start();
    let address = instance.control.as_ref().expect("the control instance is running").address;
    for (field, old) in [("name", "\"e\""), ("service", "\"desk\""), ("domain", "\"b\"")] {
        for (len, status) in [(200, 200), (300, 400)] {
            // One life of an endpoint has one service and one failure domain.
            let text = announcement(1).replace(old, &format!("\"{}\"", "v".repeat(len)));
            let text = text.replace("\"e\"", &format!("\"{field}-{len}\""));
            let request = send_partial_request(address, "POST", "/announce", "join", &text);
            let answer = finish_request(request, "}");
            assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{field}, {len}: {answer}");
        }
    }
}
