//! Settings on their way to an entry instance, over links that are slow, fail or corrupt data.

#[allow(dead_code)] // The tests of settings use a part of it.
mod support;

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name, Secret};
use sill_gateway::link::Link;
use sill_gateway::settings_fetcher::SettingsFetcher;
use sill_gateway::state::State;
use sill_gateway::{Gateway, GatewayCfg};
use sill_net::{PeerError, PeerServer, PeerServerBuilder};
use sill_standin::loopback::free_addresses;
use sill_standin::panics::PanicCheck;
use sill_tree::{Document, PieceId, Pool, Route, Service, Share};
use sill_wire::link::{ControlInfo, Cursor, EndpointFact, EndpointState, LinkPoll, LinkReply};
use sill_wire::settings::{Piece, PiecesReply, PiecesRequest};
use sill_wire::{CrashUpdate, Incarnation};
use support::settings_pieces::SettingsPieces;
use support::{CLUSTER_KEY, cfg, exchange, fact, request};
use tokio::runtime::Runtime;

/// Time after which a test fails as hung.
const HANG_TIMEOUT: Duration = Duration::from_secs(30);

/// Longer than a poll may take, including its wait.
const LONGER_THAN_A_POLL: Duration = Duration::from_millis(900);

/// How a control instance handles requests for pieces.
#[derive(Debug, Clone, Default)]
struct SourceBehavior {
    /// Delay of each answer.
    reply_delay: Duration,
    /// Number of pieces in one answer.
    pieces_per_reply: usize,
    /// Number of answers after which further requests fail.
    fails_after: Option<usize>,
    /// Pieces that are corrupted the first time they are sent.
    corrupt_once: Vec<PieceId>,
    /// Bandwidth of the link in bytes per millisecond; none for no limit.
    bytes_per_ms: Option<u64>,
}

/// A stand-in for a control instance.
#[derive(Debug)]
struct ControlStub {
    settings: Mutex<SettingsPieces>,
    behavior: Mutex<SourceBehavior>,
    /// How often each piece was sent intact.
    sent_counts: Mutex<Map<PieceId, usize>>,
    answer_count: Mutex<usize>,
    controls: Mutex<Vec<ControlInfo>>,
    /// The endpoint facts it sends, in order.
    facts: Mutex<Vec<EndpointFact>>,
    /// Number of different pieces sent when a poll first confirmed all facts.
    sent_before_facts: Mutex<Option<usize>>,
}

/// An entry instance and control instances.
struct Harness {
    sources: Vec<Arc<ControlStub>>,
    address: SocketAddr,
    metrics: SocketAddr,
    runtime: Runtime,
    gateway: Option<Gateway>,
    _servers: Vec<PeerServer>,
    _panic_check: PanicCheck,
}

impl ControlStub {
    fn new(document: &Document, behavior: SourceBehavior) -> Arc<Self> {
        Arc::new(Self {
            settings: Mutex::new(SettingsPieces::of(1, document)),
            behavior: Mutex::new(behavior),
            sent_counts: Mutex::default(),
            answer_count: Mutex::default(),
            controls: Mutex::default(),
            facts: Mutex::default(),
            sent_before_facts: Mutex::default(),
        })
    }

    fn serve(self: &Arc<Self>) -> PeerServer {
        let mut peers = PeerServerBuilder::new(Secret::new(CLUSTER_KEY));
        let source = self.clone();
        peers.answer(move |poll: LinkPoll| source.clone().poll(poll));
        let source = self.clone();
        peers.answer(move |req: PiecesRequest| source.clone().pieces(req));
        peers
            .start(TcpListener::bind("127.0.0.1:0").expect("a free port can be bound"))
            .expect("the server starts")
    }

    async fn poll(self: Arc<Self>, poll: LinkPoll) -> Result<LinkReply, PeerError> {
        let manifest = self.settings.lock().manifest.clone();
        let is_current = poll.have >= manifest.revision;
        let facts = self.facts.lock().clone();
        let acknowledged = poll.cursor.change as usize;
        if !facts.is_empty() && acknowledged == facts.len() {
            self.sent_before_facts.lock().get_or_insert(self.sent_counts.lock().len());
        }
        if is_current && acknowledged == facts.len() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let reply = LinkReply {
            entries: None,
            history: Millis::ZERO,
            routes: None,
            held: Vec::new(),
            settings: (!is_current).then_some(manifest),
            cursor: Cursor { change: facts.len() as u64, ..Cursor::default() },
            endpoints: facts[acknowledged..].to_vec(),
            loads: Vec::new(),
            crashes: CrashUpdate::default(),
            relays: None,
            versions: None,
            controls: self.controls.lock().clone(),
            totals: None,
            true_time: Millis::wall(),
            has_leader: true,
        };
        self.wait_for_link(serde_json::to_vec(&reply)).await;
        Ok(reply)
    }

    /// Waits for as long as the answer takes to cross the link.
    async fn wait_for_link(&self, answer: serde_json::Result<Vec<u8>>) {
        let Some(bytes_per_ms) = self.behavior.lock().bytes_per_ms else { return };
        let bytes = answer.expect("the reply can be encoded").len() as u64;
        tokio::time::sleep(Duration::from_millis(bytes / bytes_per_ms)).await;
    }

    async fn pieces(self: Arc<Self>, req: PiecesRequest) -> Result<PiecesReply, PeerError> {
        let behavior = self.behavior.lock().clone();
        tokio::time::sleep(behavior.reply_delay).await;
        let answers = {
            let mut answers = self.answer_count.lock();
            *answers += 1;
            *answers
        };
        if behavior.fails_after.is_some_and(|after| answers > after) {
            return Err(PeerError::Refused("the link is interrupted".to_owned()));
        }
        let pieces = self.settings.lock().clone();
        let mut reply = pieces.reply(&req);
        reply.pieces.truncate(behavior.pieces_per_reply.max(1));
        for piece in &mut reply.pieces {
            let corrupt_once = &mut self.behavior.lock().corrupt_once;
            if let Some(at) = corrupt_once.iter().position(|id| *id == piece.id) {
                corrupt_once.remove(at);
                let other = pieces.pieces.values().find(|other| other.id != piece.id);
                piece.text = other.expect("there is another piece").text.clone();
            } else {
                *self.sent_counts.lock().entry(piece.id.clone()).or_default() += 1;
            }
        }
        self.wait_for_link(serde_json::to_vec(&reply)).await;
        Ok(reply)
    }

    /// Asserts that no piece was sent intact more than once.
    fn assert_no_piece_sent_twice(&self) {
        let sent = self.sent_counts.lock();
        assert!(
            sent.values().all(|times| *times == 1),
            "pieces were sent more than once: {sent:?}"
        );
    }

    /// Offers a newer revision from now on.
    fn publish(&self, revision: u64, document: &Document) {
        *self.settings.lock() = SettingsPieces::of(revision, document);
    }
}

impl Harness {
    fn start(sources: Vec<Arc<ControlStub>>) -> Self {
        let runtime = Runtime::new().expect("a runtime can be created");
        let _guard = runtime.enter();
        let servers: Vec<PeerServer> = sources.iter().map(ControlStub::serve).collect();
        let controls = servers.iter().enumerate().map(|(i, server)| ControlInfo {
            name: format!("c{i}").into(),
            domain: format!("d{i}").into(),
            peer: server.address(),
            address: server.address(),
        });
        let controls: Vec<ControlInfo> = controls.collect();
        sources.iter().for_each(|source| source.controls.lock().clone_from(&controls));
        let addresses = free_addresses(3).expect("three ports are free");
        let cfg: GatewayCfg = cfg(&addresses, servers[0].address());
        let _panic_check = PanicCheck::start();
        let gateway = Gateway::start(cfg).expect("the server starts");
        Self {
            sources,
            address: gateway.address,
            metrics: addresses[2],
            gateway: Some(gateway),
            runtime,
            _servers: servers,
            _panic_check,
        }
    }

    fn revision_in_force(&self) -> u64 {
        let page = exchange(self.metrics, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n");
        let text = String::from_utf8(page.body).expect("text");
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix("sill_gateway_revision "));
        value.and_then(|value| value.parse().ok()).unwrap_or_default()
    }

    fn wait_for_revision(&self, revision: u64) {
        let end = Instant::now() + HANG_TIMEOUT;
        while self.revision_in_force() < revision {
            assert!(Instant::now() < end, "revision {revision} never came into force");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns whether calls of a route are admitted; without endpoints they get 503.
    fn has_route(&self, route: usize) -> bool {
        exchange(self.address, &request(&format!("/p{route}/x"), "")).status == 503
    }
}

impl Drop for Harness {
    fn drop(&mut self) {
        if let Some(gateway) = self.gateway.take() {
            self.runtime.block_on(gateway.stop());
        }
    }
}

fn route(i: usize) -> (Name, Route) {
    let route = Route {
        host: "desk.example".into(),
        path: format!("/p{i}/").into(),
        timeout_ms: Millis(10_000),
        split: vec![Share { service: "desk".into(), weight: 1 }],
        max_attempts: 1,
        anonymous: true,
        ..Route::default()
    };
    (format!("route-{i}").into(), route)
}

fn document(routes: usize) -> Document {
    let services = [("desk".into(), Service::Pool(Pool::default()))].into();
    Document { services, routes: (0..routes).map(route).collect(), ..Document::default() }
}

fn departure() -> EndpointFact {
    let address = "127.0.0.1:1".parse().expect("an address");
    EndpointFact {
        endpoint: "e".into(),
        incarnation: Incarnation(1),
        sequence: 2,
        state: EndpointState::Leaving,
        ..fact(0, address)
    }
}

#[test]
fn settings_that_take_longer_than_a_poll_still_arrive() {
    // Thousands of routes cross a narrow link. If the complete tree had to arrive before the next
    // poll, it would be discarded and requested again, and a restarted instance would refuse all
    // calls forever.
    let document = document(600);
    // Far below the timeout of one answer, also on a busy machine.
    let reply_delay = Duration::from_millis(150);
    let source = ControlStub::new(
        &document,
        SourceBehavior { reply_delay, pieces_per_reply: 1, ..SourceBehavior::default() },
    );
    let answers = source.settings.lock().pieces.len() as u32;
    assert!(reply_delay * answers > LONGER_THAN_A_POLL, "{answers} answers");
    let harness = Harness::start(vec![source]);
    harness.wait_for_revision(1);
    assert!(harness.has_route(0) && harness.has_route(599));
    harness.sources[0].assert_no_piece_sent_twice();
}

#[test]
fn a_departure_is_received_while_large_settings_cross_a_narrow_link() {
    // An endpoint that has left would get calls while its departure waits behind a large change.
    let source = ControlStub::new(
        &document(1),
        SourceBehavior { pieces_per_reply: 1, bytes_per_ms: Some(10), ..SourceBehavior::default() },
    );
    let harness = Harness::start(vec![source.clone()]);
    harness.wait_for_revision(1);
    source.publish(2, &document(600));
    source.facts.lock().push(departure());
    let end = Instant::now() + HANG_TIMEOUT;
    while source.sent_before_facts.lock().is_none() {
        assert!(Instant::now() < end, "the departure was not received");
        thread::sleep(Duration::from_millis(20));
    }
    harness.wait_for_revision(2);
    let (before, all) =
        (source.sent_before_facts.lock().unwrap_or_default(), source.sent_counts.lock().len());
    assert!(before < all, "the departure was received after {before} of {all} pieces");
}

#[test]
fn an_interrupted_fetch_continues_at_another_control_instance() {
    // The control instance that serves the settings is killed after some of the pieces. Received
    // pieces must not be fetched again; callers only notice a slightly longer start.
    let document = document(600);
    let first =
        SourceBehavior { pieces_per_reply: 2, fails_after: Some(2), ..SourceBehavior::default() };
    let second = SourceBehavior { pieces_per_reply: 100, ..SourceBehavior::default() };
    let sources = vec![ControlStub::new(&document, first), ControlStub::new(&document, second)];
    let harness = Harness::start(sources);
    harness.wait_for_revision(1);
    assert!(harness.has_route(0) && harness.has_route(599));
    let (first, second) =
        (harness.sources[0].sent_counts.lock(), harness.sources[1].sent_counts.lock());
    assert!(first.keys().all(|id| !second.contains_key(id)), "{first:?} and {second:?}");
}

#[test]
fn only_a_corrupt_piece_is_fetched_again() {
    // One piece arrives corrupt. Settings that nobody wrote must not come into force, and the other
    // pieces must not be requested again.
    let document = document(600);
    let source = ControlStub::new(
        &document,
        SourceBehavior { pieces_per_reply: 100, ..SourceBehavior::default() },
    );
    let id = source.settings.lock().manifest.pieces[4].clone();
    source.behavior.lock().corrupt_once = vec![id];
    let harness = Harness::start(vec![source]);
    harness.wait_for_revision(1);
    assert!(harness.has_route(0) && harness.has_route(599));
    harness.sources[0].assert_no_piece_sent_twice();
}

#[test]
fn a_series_of_large_changes_ends_in_the_newest_revision() {
    // Each change adds hundreds of routes, and the next one follows before the last is fetched. The
    // newest must be in force in the end, and pieces shared by the revisions must be sent only
    // once.
    let source = ControlStub::new(
        &document(300),
        SourceBehavior {
            reply_delay: Duration::from_millis(30),
            pieces_per_reply: 3,
            ..SourceBehavior::default()
        },
    );
    let harness = Harness::start(vec![source]);
    for revision in 2..=12 {
        let routes = 300 + 100 * revision as usize;
        harness.sources[0].publish(revision, &document(routes));
        thread::sleep(Duration::from_millis(60));
    }
    harness.wait_for_revision(12);
    assert!(harness.has_route(0) && harness.has_route(1499));
    harness.sources[0].assert_no_piece_sent_twice();
}

#[test]
fn an_unavailable_piece_leaves_the_settings_in_force() {
    // A control instance offers a revision whose pieces it lost in a restart. Calls must be served
    // under the settings in force until a complete revision is available.
    let source = ControlStub::new(
        &document(100),
        SourceBehavior { pieces_per_reply: 100, ..SourceBehavior::default() },
    );
    let harness = Harness::start(vec![source]);
    harness.wait_for_revision(1);
    let lost_piece: Piece = {
        let mut pieces = SettingsPieces::of(2, &document(200));
        let id = pieces.manifest.pieces[1].clone();
        let piece = pieces.pieces.remove(&id).expect("the piece of the manifest exists");
        *harness.sources[0].settings.lock() = pieces;
        piece
    };
    thread::sleep(Duration::from_millis(500));
    assert_eq!(harness.revision_in_force(), 1);
    assert!(harness.has_route(0));
    harness.sources[0].settings.lock().pieces.insert(lost_piece.id.clone(), lost_piece);
    harness.wait_for_revision(2);
    assert!(harness.has_route(199));
}

#[test]
fn an_offer_before_the_fetcher_starts_is_fetched() {
    // A control instance answers the first poll before the fetcher has started, which takes several
    // threads and a busy machine. It offers a revision only once; if the fetcher missed it, the
    // instance would refuse all calls until the next change.
    let source = ControlStub::new(
        &document(10),
        SourceBehavior { pieces_per_reply: 100, ..SourceBehavior::default() },
    );
    let runtime = Runtime::new().expect("a runtime can be created");
    let _guard = runtime.enter();
    let server = source.serve();
    let addresses = free_addresses(3).expect("three ports are free");
    let state = Arc::new(State::new(cfg(&addresses, server.address())).expect("the server starts"));
    let link = Arc::new(Link::new(state.clone()));
    let manifest = source.settings.lock().manifest.clone();
    link.offers().offer(manifest, server.address());
    runtime.spawn(SettingsFetcher::new(state.clone(), link).run());
    let table = runtime.block_on(state.first_table(Millis(30_000)));
    assert_eq!(table.map(|table| table.revision), Some(1));
}
