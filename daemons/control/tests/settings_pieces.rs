//! Large settings at a control instance: handed out in pieces, and kept short on disk.

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
use sill_store::{FaultyDisk, Store};
use sill_tree::{Document, Pool, Route, Service, Share};
use sill_wire::announce::{Load, Role};
use sill_wire::control::Revision;
use sill_wire::link::{
    ControlInfo, ControlSync, Cursor, EndpointFact, EndpointState, EntryReport, LinkPoll, LinkReply,
};
use sill_wire::settings::{Manifest, PiecesRequest};
use sill_wire::{Announcement, Incarnation, Servable};
use support::http;
use tokio::runtime::Runtime;

/// Tries before a test fails for good; no test measures speed by it.
const TRIES: usize = 600;

/// How long an answer may take before it counts as hung.
const HUNG: Duration = Duration::from_secs(60);

/// One control instance that founds a log of its own.
struct World {
    peer: SocketAddr,
    disk: FaultyDisk,
    runtime: Runtime,
    control: Option<Control>,
}

impl World {
    fn start() -> Self {
        let mut world = Self::stopped();
        world.run();
        world
    }

    fn stopped() -> Self {
        let peer = free_addresses(1).expect("free ports")[0];
        let runtime = Runtime::new().expect("a runtime");
        Self { peer, disk: FaultyDisk::new(), runtime, control: None }
    }

    fn run(&mut self) {
        self.control = Some(self.try_to_run().expect("it starts"));
    }

    fn try_to_run(&self) -> Result<Control> {
        let disk = self.disk.clone();
        Control::start_on(self.cfg(), Box::new(move |_| Ok(Box::new(disk.clone()))))
    }

    fn stop(&mut self) {
        let control = self.control.take().expect("it runs");
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
        }
    }

    /// Puts settings in place, once a leader takes them.
    fn put(&self, document: &Document) {
        let address = self.control.as_ref().expect("it runs").address;
        let body = serde_json::to_string(document).expect("it can be written");
        for _ in 0..TRIES {
            let answer = http(address, "PUT", "/tree/serving", &body);
            if answer.starts_with("HTTP/1.1 200") {
                return;
            }
            assert!(!answer.starts_with("HTTP/1.1 4"), "{answer}");
            std::thread::sleep(Millis(50).into());
        }
        panic!("no leader took the change");
    }
}

impl Drop for World {
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
    };
    LinkPoll { have: Revision(have), cursor: Cursor::default(), wait: Millis(2000), report }
}

async fn manifest(client: &PeerClient, entry: usize, have: u64) -> Manifest {
    let mut poll = poll(entry, have);
    for _ in 0..TRIES {
        let reply = client.call(&poll).await.expect("a reply");
        poll.cursor = reply.cursor;
        if let Some(manifest) = reply.settings {
            return manifest;
        }
    }
    panic!("no settings are told");
}

async fn fetch(client: &PeerClient, manifest: &Manifest) -> RouteTable {
    let mut assembly = SettingsAssembly::default();
    assembly.offer(manifest.clone());
    loop {
        if let Some(whole) = assembly.take_complete() {
            return RouteTable::join(manifest.revision.0, &whole.parts);
        }
        let reply =
            client.call(&PiecesRequest { pieces: assembly.missing() }).await.expect("a reply");
        assert!(!reply.pieces.is_empty(), "it has no piece of what it told");
        let bytes: usize = reply.pieces.iter().map(|piece| piece.text.len()).sum();
        assert!(bytes <= 32 << 10 || reply.pieces.len() == 1, "{bytes} bytes in one answer");
        for piece in &reply.pieces {
            assembly.add_piece(piece).expect("it is whole");
        }
    }
}

fn attempts(table: &RouteTable, i: usize) -> Option<u32> {
    let found = table.find(&format!("{i:x}.example"), &format!("/path{i}/x"));
    found.map(|entry| entry.route.max_attempts)
}

/// What another control instance passes on when an endpoint has told it that it leaves.
fn departure() -> ControlSync {
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
        age: Millis::ZERO,
    };
    ControlSync {
        from,
        incarnation: Incarnation(1),
        wall: Millis::wall(),
        endpoints: vec![fact],
        reports: Vec::new(),
        totals: None,
    }
}

#[test]
fn a_departure_is_told_while_large_settings_are_cut() {
    // Calls go to an endpoint that has left for as long as its departure waits behind a large change.
    const ROUTES: usize = 20_000;
    let world = World::start();
    world.put(&document(1, 1));
    let client = client(world.peer);
    world.runtime.block_on(manifest(&client, 0, 0));
    world.put(&document(ROUTES, 2));
    world.runtime.block_on(client.call(&departure())).expect("it is taken in");
    let reply: LinkReply = world.runtime.block_on(client.call(&poll(0, 1))).expect("a reply");
    assert_eq!(reply.endpoints.first().map(|fact| fact.state), Some(EndpointState::Leaving));
    assert_eq!(reply.settings.map(|manifest| manifest.revision), None, "it waited for them");
    let newest = world.runtime.block_on(manifest(&client, 0, 1));
    assert_eq!(newest.revision, Revision(2));
}

/// Opens a connection and sends the head of a request, and its body up to the last byte.
fn begin(to: SocketAddr, method: &str, path: &str, token: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("a connection");
    stream.set_nodelay(true).expect("an option");
    stream.set_read_timeout(Some(HUNG)).expect("a span");
    let len = body.len();
    let head = format!("{method} {path} HTTP/1.1\r\nhost: c\r\nauthorization: Bearer {token}");
    let text = format!("{head}\r\ncontent-length: {len}\r\n\r\n{}", &body[..len - 1]);
    stream.write_all(text.as_bytes()).expect("sent");
    stream
}

/// Sends the end of a request and returns the beginning of its answer.
fn exchange(mut stream: TcpStream, end: &str) -> String {
    stream.write_all(end.as_bytes()).expect("sent");
    first_bytes(&mut stream)
}

fn first_bytes(stream: &mut TcpStream) -> String {
    let mut buf = [0; 256];
    let len = stream.read(&mut buf).expect("an answer");
    String::from_utf8_lossy(&buf[..len]).into_owned()
}

fn announcement(sequence: u64) -> String {
    let served = Servable::Service { service: "desk".into() };
    let announcement = Announcement {
        name: "e".into(),
        incarnation: Incarnation(1),
        sequence,
        address: "127.0.0.1:1".into(),
        domain: "b".into(),
        class: Name::default(),
        reclaimable: false,
        price: 0,
        serves: vec![served],
        role: Role::Mixed,
        slots: 4,
        prefill_tokens_per_s: 0,
        decode_ms: 0,
        cache_tokens: 0,
        load: Load::default(),
        leaving: (sequence > 1).then_some(Millis(2000)),
        checks_fencing: false,
    };
    serde_json::to_string(&announcement).expect("it can be written")
}

#[test]
fn an_endpoint_says_that_it_leaves_while_a_large_change_is_read() {
    // Its word waits behind an operator's document, and it gets calls until it ends.
    const ROUTES: usize = 20_000;
    let world = World::start();
    let address = world.control.as_ref().expect("it runs").address;
    // Refused as soon as it is read, for a name that stands twice.
    let text = serde_json::to_string(&document(ROUTES, 1)).expect("it can be written");
    let text = text.replace("\"route-1\":", "\"route-0\":");
    let mut change = begin(address, "PUT", "/tree/serving", "root", &text);
    let endpoint = begin(address, "POST", "/announce", "join", &announcement(2));
    // Between these the instance takes in what was sent of the document.
    for _ in 0..10 {
        let answer = exchange(begin(address, "POST", "/announce", "join", &announcement(1)), "}");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    change.write_all(b"}").expect("sent");
    let answer = exchange(endpoint, "}");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    change.set_nonblocking(true).expect("an option");
    let is_read = change.peek(&mut [0]).is_ok();
    assert!(!is_read, "the endpoint's word waited until the document was read");
    change.set_nonblocking(false).expect("an option");
    let answer = first_bytes(&mut change);
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

#[test]
fn a_wave_of_starts_shares_one_cut_of_large_settings() {
    // All entry instances lose power and come back together. Were the settings made anew for each of them,
    // the control instance would have no time for heartbeats, lose its lease, and no caller be served.
    const ENTRIES: usize = 94;
    const ROUTES: usize = 5000;
    let world = World::start();
    world.put(&document(ROUTES, 1));
    let peer = world.peer;
    let starts = (0..ENTRIES).map(|entry| {
        world.runtime.spawn(async move {
            let client = client(peer);
            let manifest = manifest(&client, entry, 0).await;
            let table = fetch(&client, &manifest).await;
            (manifest, (0..ROUTES).filter(|i| attempts(&table, *i) == Some(1)).count())
        })
    });
    let starts: Vec<_> = starts.collect();
    let got = starts.into_iter().map(|start| world.runtime.block_on(start).expect("it ends"));
    let got: Vec<_> = got.collect();
    assert!(got.iter().all(|(_, routes)| *routes == ROUTES));
    assert!(got.iter().all(|(manifest, _)| *manifest == got[0].0), "it was cut more than once");
}

#[test]
fn a_reader_in_the_middle_of_a_revision_goes_on_while_the_next_is_cut() {
    // A reader on a slow link has a part of one revision when the next ones come. If the pieces of the
    // first were gone, a series of changes could keep it from ever getting one whole.
    let world = World::start();
    world.put(&document(300, 1));
    let client = client(world.peer);
    let first = world.runtime.block_on(manifest(&client, 0, 0));
    for max_attempts in 2..=3 {
        world.put(&document(300, max_attempts));
        world.runtime.block_on(manifest(&client, 0, u64::from(max_attempts) - 1));
    }
    let table = world.runtime.block_on(fetch(&client, &first));
    assert_eq!(attempts(&table, 299), Some(1));
    let newest = world.runtime.block_on(manifest(&client, 0, first.revision.0));
    let table = world.runtime.block_on(fetch(&client, &newest));
    assert_eq!(attempts(&table, 299), Some(3));
}

#[test]
fn large_changes_take_a_part_of_their_size_on_disk_and_outlast_a_restart() {
    // Operators add thousands of routes in a series of changes. Each is written to the disks of all voters
    // and sent to them; as plain text they held up heartbeats, filled the disk, and took seconds to be
    // read after a restart.
    const CHANGES: u32 = 12;
    let mut world = World::start();
    for max_attempts in 1..=CHANGES {
        world.put(&document(1400, max_attempts));
    }
    world.stop();
    let (_, recovered) = Store::open(world.disk.clone()).expect("it opens");
    let largest = recovered.records.iter().map(Vec::len).max().unwrap_or_default();
    let text = serde_json::to_string(&document(1400, 1)).expect("it can be written");
    assert!(largest * 5 < text.len(), "{largest} bytes for a document of {}", text.len());
    world.run();
    let client = client(world.peer);
    let newest = world.runtime.block_on(manifest(&client, 0, 0));
    let table = world.runtime.block_on(fetch(&client, &newest));
    assert_eq!(attempts(&table, 1399), Some(CHANGES));
}

#[test]
fn polls_that_wait_and_changes_that_are_applied_do_not_wait_for_each_other() {
    // Entry instances wait for news while one change after the other is applied. A poll that looks at the state while
    // it is woken, and the log's thread that wakes it while it writes the state, can each hold what the other
    // waits for. The control instance then stands still for good, and nobody gets settings from it.
    const READERS: usize = 16;
    const CHANGES: u32 = 60;
    let world = World::start();
    world.put(&document(1, 1));
    let peer = world.peer;
    let readers = (0..READERS).map(|entry| {
        world.runtime.spawn(async move {
            let client = client(peer);
            let mut have = 0;
            while have < u64::from(CHANGES) {
                have = manifest(&client, entry, have).await.revision.0;
            }
        })
    });
    let readers: Vec<_> = readers.collect();
    for max_attempts in 2..=CHANGES {
        world.put(&document(1, max_attempts));
    }
    for reader in readers {
        world.runtime.block_on(reader).expect("it gets all changes");
    }
}

#[test]
fn a_start_on_a_snapshot_of_a_newer_version_fails_and_leaves_the_disk() {
    // An upgrade that is rolled back ends in a panic, or in a disk that the newer version can't use either.
    let world = World::stopped();
    let mut app = serde_json::to_value(App::default()).expect("it can be written");
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
    let whole = format!("{}\n{app}", json!({ "id": id, "persisted": persisted }));
    let (mut store, _) = Store::open(world.disk.clone()).expect("it opens");
    store.replace::<Vec<u8>>(whole.as_bytes(), &[]).expect("it is written");
    drop(store);
    let failure = world.try_to_run().expect_err("it can't be read");
    let text = format!("{failure:#}");
    assert!(text.contains("newer version") && text.contains("field_of_tomorrow"), "{text}");
    let (_, recovered) = Store::open(world.disk.clone()).expect("it opens");
    assert!(recovered.snapshot == Some(whole.into_bytes()) && recovered.records.is_empty());
}
