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
use sill_tree::{Document, PieceId, Pool, Route, Service, Share};
use sill_wire::Incarnation;
use sill_wire::link::{ControlPlace, Cursor, EndpointFact, EndpointState, LinkPoll, LinkReply};
use sill_wire::settings::{Piece, PiecesAsk, PiecesReply};
use support::cut::Cut;
use support::{CLUSTER_KEY, cfg, exchange, fact, request};
use tokio::runtime::Runtime;

/// Time after which a test fails as hung.
const HUNG: Duration = Duration::from_secs(30);

/// Longer than a poll may take, including its wait.
const LONGER_THAN_A_POLL: Duration = Duration::from_millis(900);

/// How a control instance handles requests for pieces.
#[derive(Debug, Clone, Default)]
struct Way {
    /// Delay of each answer.
    slow: Duration,
    /// Number of pieces in one answer.
    pieces: usize,
    /// Number of answers after which further requests fail.
    breaks_after: Option<usize>,
    /// Pieces that are corrupted the first time they are sent.
    garbles: Vec<PieceId>,
    /// Bandwidth of the link in bytes per millisecond; none for no limit.
    link: Option<u64>,
}

/// A stand-in for a control instance.
#[derive(Debug)]
struct Source {
    cut: Mutex<Cut>,
    way: Mutex<Way>,
    /// How often each piece was sent intact.
    sent: Mutex<Map<PieceId, usize>>,
    answers: Mutex<usize>,
    others: Mutex<Vec<ControlPlace>>,
    /// The endpoint facts it sends, in order.
    facts: Mutex<Vec<EndpointFact>>,
    /// Number of different pieces sent when a poll first confirmed all facts.
    sent_when_known: Mutex<Option<usize>>,
}

/// An entry instance and control instances.
struct World {
    sources: Vec<Arc<Source>>,
    address: SocketAddr,
    metrics: SocketAddr,
    runtime: Runtime,
    gateway: Option<Gateway>,
    _servers: Vec<PeerServer>,
}

impl Source {
    fn new(document: &Document, way: Way) -> Arc<Self> {
        Arc::new(Self {
            cut: Mutex::new(Cut::of(1, document)),
            way: Mutex::new(way),
            sent: Mutex::default(),
            answers: Mutex::default(),
            others: Mutex::default(),
            facts: Mutex::default(),
            sent_when_known: Mutex::default(),
        })
    }

    fn serve(self: &Arc<Self>) -> PeerServer {
        let mut peers = PeerServerBuilder::new(Secret::new(CLUSTER_KEY));
        let source = self.clone();
        peers.answer(move |poll: LinkPoll| source.clone().poll(poll));
        let source = self.clone();
        peers.answer(move |ask: PiecesAsk| source.clone().pieces(ask));
        peers.start(TcpListener::bind("127.0.0.1:0").expect("a port is free")).expect("it starts")
    }

    async fn poll(self: Arc<Self>, poll: LinkPoll) -> Result<LinkReply, PeerError> {
        let manifest = self.cut.lock().manifest.clone();
        let is_known = poll.have >= manifest.revision;
        let facts = self.facts.lock().clone();
        let seen = poll.cursor.change as usize;
        if !facts.is_empty() && seen == facts.len() {
            self.sent_when_known.lock().get_or_insert(self.sent.lock().len());
        }
        if is_known && seen == facts.len() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let reply = LinkReply {
            settings: (!is_known).then_some(manifest),
            cursor: Cursor { change: facts.len() as u64, ..Cursor::default() },
            endpoints: facts[seen..].to_vec(),
            loads: Vec::new(),
            controls: self.others.lock().clone(),
            totals: None,
            true_time: Millis::wall(),
            is_led: true,
        };
        self.cross(serde_json::to_vec(&reply)).await;
        Ok(reply)
    }

    /// Waits for as long as the answer takes to cross the link.
    async fn cross(&self, answer: serde_json::Result<Vec<u8>>) {
        let Some(link) = self.way.lock().link else { return };
        let bytes = answer.expect("it can be written").len() as u64;
        tokio::time::sleep(Duration::from_millis(bytes / link)).await;
    }

    async fn pieces(self: Arc<Self>, ask: PiecesAsk) -> Result<PiecesReply, PeerError> {
        let way = self.way.lock().clone();
        tokio::time::sleep(way.slow).await;
        let answers = {
            let mut answers = self.answers.lock();
            *answers += 1;
            *answers
        };
        if way.breaks_after.is_some_and(|after| answers > after) {
            return Err(PeerError::Refused("the link is cut".to_owned()));
        }
        let cut = self.cut.lock().clone();
        let mut reply = cut.reply(&ask);
        reply.pieces.truncate(way.pieces.max(1));
        for piece in &mut reply.pieces {
            let garbles = &mut self.way.lock().garbles;
            if let Some(at) = garbles.iter().position(|id| *id == piece.id) {
                garbles.remove(at);
                let other = cut.pieces.values().find(|other| other.id != piece.id);
                piece.text = other.expect("there are more").text.clone();
            } else {
                *self.sent.lock().entry(piece.id.clone()).or_default() += 1;
            }
        }
        self.cross(serde_json::to_vec(&reply)).await;
        Ok(reply)
    }

    /// Asserts that no piece was sent intact more than once.
    fn check_each_came_once(&self) {
        let sent = self.sent.lock();
        assert!(sent.values().all(|times| *times == 1), "pieces came twice: {sent:?}");
    }

    /// Offers a newer revision from now on.
    fn change(&self, revision: u64, document: &Document) {
        *self.cut.lock() = Cut::of(revision, document);
    }
}

impl World {
    fn start(sources: Vec<Arc<Source>>) -> Self {
        let runtime = Runtime::new().expect("a runtime");
        let _guard = runtime.enter();
        let servers: Vec<PeerServer> = sources.iter().map(Source::serve).collect();
        let places = servers.iter().enumerate().map(|(i, server)| ControlPlace {
            name: format!("c{i}").into(),
            domain: format!("d{i}").into(),
            peer: server.address(),
            address: server.address(),
        });
        let places: Vec<ControlPlace> = places.collect();
        sources.iter().for_each(|source| source.others.lock().clone_from(&places));
        let addresses = free_addresses(3).expect("ports are free");
        let cfg: GatewayCfg = cfg(&addresses, servers[0].address());
        let gateway = Gateway::start(cfg).expect("it starts");
        Self {
            sources,
            address: gateway.address,
            metrics: addresses[2],
            gateway: Some(gateway),
            runtime,
            _servers: servers,
        }
    }

    fn in_force(&self) -> u64 {
        let page = exchange(self.metrics, "GET /metrics HTTP/1.1\r\nhost: h\r\n\r\n");
        let text = String::from_utf8(page.body).expect("text");
        let mut lines = text.lines();
        let value = lines.find_map(|line| line.strip_prefix("sill_gateway_revision "));
        value.and_then(|value| value.parse().ok()).unwrap_or_default()
    }

    fn wait_for(&self, revision: u64) {
        let end = Instant::now() + HUNG;
        while self.in_force() < revision {
            assert!(Instant::now() < end, "revision {revision} never came into force");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns whether calls of a route are admitted; without endpoints they get 503.
    fn knows(&self, route: usize) -> bool {
        exchange(self.address, &request(&format!("/p{route}/x"), "")).status == 503
    }
}

impl Drop for World {
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
        born: Incarnation(1),
        sequence: 2,
        state: EndpointState::Leaving,
        ..fact(0, address)
    }
}

#[test]
fn settings_that_take_longer_than_a_poll_come_all_the_same() {
    // Thousands of routes cross a narrow link. If the complete tree had to arrive before the next
    // poll, it would be discarded and requested again, and a restarted instance would refuse all
    // calls forever.
    let document = document(600);
    // Far below the timeout of one answer, also on a busy machine.
    let slow = Duration::from_millis(150);
    let source = Source::new(&document, Way { slow, pieces: 1, ..Way::default() });
    let answers = source.cut.lock().pieces.len() as u32;
    assert!(slow * answers > LONGER_THAN_A_POLL, "{answers} answers");
    let world = World::start(vec![source]);
    world.wait_for(1);
    assert!(world.knows(0) && world.knows(599));
    world.sources[0].check_each_came_once();
}

#[test]
fn a_departure_is_known_while_large_settings_cross_a_narrow_link() {
    // An endpoint that has left would get calls while its departure waits behind a large change.
    let source = Source::new(&document(1), Way { pieces: 1, link: Some(10), ..Way::default() });
    let world = World::start(vec![source.clone()]);
    world.wait_for(1);
    source.change(2, &document(600));
    source.facts.lock().push(departure());
    let end = Instant::now() + HUNG;
    while source.sent_when_known.lock().is_none() {
        assert!(Instant::now() < end, "the departure never came");
        thread::sleep(Duration::from_millis(20));
    }
    world.wait_for(2);
    let (before, all) =
        (source.sent_when_known.lock().unwrap_or_default(), source.sent.lock().len());
    assert!(before < all, "it came after {before} of {all} pieces");
}

#[test]
fn a_fetch_that_breaks_in_the_middle_goes_on_elsewhere() {
    // The control instance that serves the settings is killed after some of the pieces. Received
    // pieces must not be fetched again; callers only notice a slightly longer start.
    let document = document(600);
    let first = Way { pieces: 2, breaks_after: Some(2), ..Way::default() };
    let second = Way { pieces: 100, ..Way::default() };
    let sources = vec![Source::new(&document, first), Source::new(&document, second)];
    let world = World::start(sources);
    world.wait_for(1);
    assert!(world.knows(0) && world.knows(599));
    let (first, second) = (world.sources[0].sent.lock(), world.sources[1].sent.lock());
    assert!(first.keys().all(|id| !second.contains_key(id)), "{first:?} and {second:?}");
}

#[test]
fn a_garbled_piece_is_fetched_again_alone() {
    // One piece arrives corrupt. Settings that nobody wrote must not come into force, and the other
    // pieces must not be requested again.
    let document = document(600);
    let source = Source::new(&document, Way { pieces: 100, ..Way::default() });
    let id = source.cut.lock().manifest.pieces[4].clone();
    source.way.lock().garbles = vec![id];
    let world = World::start(vec![source]);
    world.wait_for(1);
    assert!(world.knows(0) && world.knows(599));
    world.sources[0].check_each_came_once();
}

#[test]
fn a_series_of_large_changes_ends_in_the_newest() {
    // Each change adds hundreds of routes, and the next one follows before the last is fetched. The
    // newest must be in force in the end, and pieces shared by the revisions must be sent only
    // once.
    let source = Source::new(
        &document(300),
        Way { slow: Duration::from_millis(30), pieces: 3, ..Way::default() },
    );
    let world = World::start(vec![source]);
    for revision in 2..=12 {
        let routes = 300 + 100 * revision as usize;
        world.sources[0].change(revision, &document(routes));
        thread::sleep(Duration::from_millis(60));
    }
    world.wait_for(12);
    assert!(world.knows(0) && world.knows(1499));
    world.sources[0].check_each_came_once();
}

#[test]
fn a_piece_that_is_at_hand_nowhere_leaves_the_settings_in_force() {
    // A control instance offers a revision whose pieces it lost in a restart. Calls must be served
    // under the settings in force until a complete revision is available.
    let source = Source::new(&document(100), Way { pieces: 100, ..Way::default() });
    let world = World::start(vec![source]);
    world.wait_for(1);
    let lost: Piece = {
        let mut cut = Cut::of(2, &document(200));
        let id = cut.manifest.pieces[1].clone();
        let piece = cut.pieces.remove(&id).expect("it is there");
        *world.sources[0].cut.lock() = cut;
        piece
    };
    thread::sleep(Duration::from_millis(500));
    assert_eq!(world.in_force(), 1);
    assert!(world.knows(0));
    world.sources[0].cut.lock().pieces.insert(lost.id.clone(), lost);
    world.wait_for(2);
    assert!(world.knows(199));
}

#[test]
fn settings_that_are_told_before_anyone_fetches_are_fetched() {
    // A control instance answers the first poll before the fetcher has started, which takes several
    // threads and a busy machine. It offers a revision only once; if the fetcher missed it, the
    // instance would refuse all calls until the next change.
    let source = Source::new(&document(10), Way { pieces: 100, ..Way::default() });
    let runtime = Runtime::new().expect("a runtime");
    let _guard = runtime.enter();
    let server = source.serve();
    let addresses = free_addresses(3).expect("ports are free");
    let state = Arc::new(State::new(cfg(&addresses, server.address())).expect("it starts"));
    let link = Arc::new(Link::new(state.clone()));
    let manifest = source.cut.lock().manifest.clone();
    link.offers().offer(manifest, server.address());
    runtime.spawn(SettingsFetcher::new(state.clone(), link).run());
    let table = runtime.block_on(state.first_table(Millis(30_000)));
    assert_eq!(table.map(|table| table.revision), Some(1));
}
