//! A control instance and entry instances for routes, for endpoints that a test runs itself.

use std::io::Read;
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::sync::Mutex;

use sill_base::{Millis, Secret};
use sill_control::cfg::Voter;
use sill_control::log::disk::real_disk;
use sill_control::{Control, ControlCfg, Extension};
use sill_tree::{Account, Document, Engine, KeyHash, Pool, Route, RouteKind, Service, Share};
use sill_wire::{Announcement, Incarnation, Load, Role, Servable};

use crate::harness::{CALLER_KEY, Folder, Program, free_addresses, http, wait_until};
use crate::links::Links;

/// The host of all routes.
pub const HOST: &str = "desk.example";

/// The service of all routes, unless a test moves them.
pub const SERVICE: &str = "desk";

/// Another service, to which a test may move the routes.
pub const OTHER_SERVICE: &str = "annex";

/// Addresses of the control instance: for operators and endpoints, and for peers.
const CONTROL_ADDRESSES: usize = 2;

/// Addresses of an entry instance: for callers, for readiness checks and for metrics.
const GATEWAY_ADDRESSES: usize = 3;

/// A control instance and entry instances for routes.
pub struct Serving {
    pub gateways: Vec<Program>,
    control: ControlInstance,
    addresses: Vec<SocketAddr>,
    gateway_count: usize,
    per_domain: usize,
    /// Proxies between the processes, if the test cuts them.
    pub links: Option<Links>,
    pub folder: Folder,
}

/// The control instance.
enum ControlInstance {
    Process(Program),
    /// Part of the test's process, which adds routes to it.
    Extended(Mutex<Option<Control>>),
}

/// What is served, and by how many processes.
#[derive(Debug, Clone, Copy)]
pub struct ServingCfg {
    /// Number of entry instances.
    pub gateways: usize,
    /// Number of entry instances in each failure domain.
    pub per_domain: usize,
    /// Number of addresses for endpoints.
    pub endpoints: usize,
    /// Whether endpoints are model engines.
    pub is_engine: bool,
}

impl Serving {
    /// Starts the control instance and puts the settings in force; no entry instance runs yet.
    pub fn start(test: &str, gateways: usize, endpoints: usize) -> Self {
        let cfg = ServingCfg { gateways, per_domain: gateways, endpoints, is_engine: false };
        Self::start_with(test, cfg)
    }

    /// Starts the control instance for entry instances in several failure domains.
    pub fn start_with(test: &str, cfg: ServingCfg) -> Self {
        Self::start_at(test, cfg, |folder, addresses| {
            ControlInstance::Process(start_control(folder, addresses))
        })
    }

    /// Starts the control instance within this process, with further routes.
    pub fn start_extended(test: &str, cfg: ServingCfg, extension: Extension) -> Self {
        Self::start_at(test, cfg, |folder, addresses| {
            let cfg = control_cfg(folder, addresses);
            let control = Control::start_with(cfg, real_disk(), extension);
            let control = control.expect("the control instance starts");
            ControlInstance::Extended(Mutex::new(Some(control)))
        })
    }

    fn start_at<F>(test: &str, cfg: ServingCfg, start_control: F) -> Self
    where
        F: FnOnce(&Folder, &[SocketAddr]) -> ControlInstance,
    {
        let ServingCfg { gateways, per_domain, endpoints, is_engine } = cfg;
        let folder = Folder::new(test);
        let addresses =
            free_addresses(CONTROL_ADDRESSES + GATEWAY_ADDRESSES * gateways + endpoints);
        let control = start_control(&folder, &addresses);
        let serving = Self {
            gateways: Vec::new(),
            control,
            addresses,
            gateway_count: gateways,
            per_domain,
            links: None,
            folder,
        };
        serving.put_settings("first", &document(is_engine, &[SERVICE]));
        serving
    }

    /// Puts proxies between entry instances, and from them to the control instance. No entry instance
    /// runs yet.
    pub fn add_links(&mut self) {
        let peers = free_addresses(self.gateway_count);
        self.links = Some(Links::start(self.addresses[1], &peers));
    }

    /// Starts all entry instances and waits until they are ready.
    pub fn start_gateways(&mut self) {
        self.gateways = (0..self.gateway_count).map(|i| self.start_gateway(i)).collect();
        (0..self.gateway_count).for_each(|i| self.wait_until_ready(i));
    }

    fn start_gateway(&self, i: usize) -> Program {
        let first = CONTROL_ADDRESSES + GATEWAY_ADDRESSES * i;
        let own = &self.addresses[first..first + GATEWAY_ADDRESSES];
        let (listen, ready, metrics) = (own[0].to_string(), own[1].to_string(), own[2].to_string());
        let (name, key) = (format!("g{i}"), self.folder.file("cluster-key"));
        let links = self.links.as_ref();
        let control = links.map_or(self.addresses[1], |links| links.control(i)).to_string();
        let peer = links.map(|links| links.peer(i).to_string());
        let listen_peer = peer.as_ref().map_or(vec![], |peer| vec!["--listen-peer", peer]);
        let domain = ["a", "b", "c"][i / self.per_domain];
        let args = ["gateway", "--name", &name, "--domain", domain, "--listen", &listen];
        let more = ["--listen-ready", &ready, "--listen-metrics", &metrics];
        let source = gateway_source(i).to_string();
        let keys = ["--connect-from", &source, "--control", &control, "--cluster-key-file", &key];
        self.folder.start(
            &format!("{name}.log"),
            &[&args[..], &more[..], &keys[..], &listen_peer[..]].concat(),
        )
    }

    /// Has the routes draw from these services only; `change` is different for each call.
    pub fn move_routes(&self, change: &str, services: &[&str]) {
        self.put_settings(change, &document(false, services));
    }

    fn put_settings(&self, change: &str, document: &Document) {
        let body = serde_json::to_string(document).expect("a document can be serialised");
        let change = format!("change-id: {change}");
        let headers = ["authorization: Bearer test-root-token", &change];
        wait_until("the settings are accepted", || {
            let put = http(self.control(), "PUT", "/tree/serving", &headers, &body);
            put.is_some_and(|answer| answer.status == 200)
        });
    }

    /// Sends the control instance a signal.
    pub fn signal_control(&self, signal: &str) {
        match &self.control {
            ControlInstance::Process(control) => control.signal(&format!("-{signal}")),
            ControlInstance::Extended(_) => panic!("it is part of this process"),
        }
    }

    /// Kills the control instance.
    pub fn kill_control(&mut self) {
        match &mut self.control {
            ControlInstance::Process(control) => control.kill(),
            ControlInstance::Extended(_) => panic!("it is part of this process"),
        }
    }

    /// Starts the control instance that was killed, with the data that it had.
    pub fn start_control_again(&mut self) {
        self.control = ControlInstance::Process(start_control(&self.folder, &self.addresses));
    }

    /// Returns the address at which endpoints announce themselves.
    pub fn control(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// Returns the address of an entry instance for callers.
    pub fn gateway(&self, i: usize) -> SocketAddr {
        self.gateway_address(i, 0)
    }

    /// Returns the address at which an entry instance serves its metrics.
    pub fn metrics(&self, i: usize) -> SocketAddr {
        self.gateway_address(i, 2)
    }

    fn gateway_address(&self, i: usize, which: usize) -> SocketAddr {
        self.addresses[CONTROL_ADDRESSES + GATEWAY_ADDRESSES * (i % self.gateway_count) + which]
    }

    /// Returns the address reserved for an endpoint.
    pub fn endpoint(&self, i: usize) -> SocketAddr {
        self.addresses[CONTROL_ADDRESSES + GATEWAY_ADDRESSES * self.gateway_count + i]
    }

    fn wait_until_ready(&self, i: usize) {
        wait_until("the entry instance is ready", || {
            let ready = http(self.gateway_address(i, 1), "GET", "/readyz", &[], "");
            ready.is_some_and(|answer| answer.status == 200)
        });
    }

    /// Kills all entry instances.
    pub fn kill_gateways(&mut self) {
        self.gateways.clear();
    }

    /// Stops an entry instance in order, waits for its end and starts it again.
    pub fn stop_and_start_gateway(&self, i: usize, program: &mut Program) {
        program.signal("-TERM");
        program.wait();
        *program = self.start_gateway(i);
        self.wait_until_ready(i);
    }

    /// Kills an entry instance and starts it again.
    pub fn restart_gateway(&mut self, i: usize) {
        self.gateways[i].kill();
        self.start_gateway_again(i);
    }

    /// Starts an entry instance that has ended.
    pub fn start_gateway_again(&mut self, i: usize) {
        self.gateways[i] = self.start_gateway(i);
        self.wait_until_ready(i);
    }
}

impl Drop for ControlInstance {
    fn drop(&mut self) {
        if let Self::Extended(control) = self
            && let Some(control) = control.get_mut().ok().and_then(Option::take)
        {
            let runtime = tokio::runtime::Runtime::new().expect("a runtime can be started");
            runtime.block_on(control.stop());
        }
    }
}

/// Returns the address from which an entry instance connects to endpoints.
pub fn gateway_source(i: usize) -> IpAddr {
    IpAddr::from([127, 250, 0, i as u8])
}

/// Returns the entry instance that connects from an address.
pub fn gateway_of(source: IpAddr) -> Option<usize> {
    (0..=u8::MAX.into()).find(|i| gateway_source(*i) == source)
}

fn start_control(folder: &Folder, addresses: &[SocketAddr]) -> Program {
    let (listen, peer) = (addresses[0].to_string(), addresses[1].to_string());
    let (voter, data) = (format!("c0@a@{peer}"), folder.file("data"));
    let key = |name: &str| folder.file(name);
    let (cluster, root, join) = (key("cluster-key"), key("root-token"), key("join-token"));
    let args = ["control", "--name", "c0", "--domain", "a", "--listen", &listen];
    let more = ["--listen-peer", &peer, "--voter", &voter, "--data", &data];
    let keys = ["--cluster-key-file", &cluster, "--root-token-file", &root];
    let join = ["--join-token-file", &join];
    folder.start("control.log", &[&args[..], &more[..], &keys[..], &join[..]].concat())
}

/// Returns the settings that [`start_control`] gives to a process.
fn control_cfg(folder: &Folder, addresses: &[SocketAddr]) -> ControlCfg {
    let voter = Voter { name: "c0".into(), domain: "a".into(), address: addresses[1] };
    ControlCfg {
        name: "c0".into(),
        domain: "a".into(),
        listen: addresses[0],
        listen_metrics: None,
        listen_peer: addresses[1],
        voters: vec![voter],
        seeds: None,
        quorum: Default::default(),
        endpoint_heartbeat: Millis(1000),
        data: folder.file("data").into(),
        cluster_key: Secret::new("test-cluster-key"),
        root_token: Secret::new("test-root-token"),
        join_token: Some(Secret::new("test-join-token")),
        rollouts: None,
    }
}

/// Returns settings with a route for calls that may be repeated, one for those that must not, one for
/// streams that may be resumed, and one for streams that may not.
fn document(is_engine: bool, services: &[&str]) -> Document {
    let mut document = Document::default();
    let engine = is_engine.then(|| Engine { slots: 16, ..Engine::default() });
    for service in [SERVICE, OTHER_SERVICE] {
        let pool = Pool { engine: engine.clone(), ..Pool::default() };
        document.services.insert(service.into(), Service::Pool(pool));
    }
    let account = Account { keys: vec![KeyHash::of(CALLER_KEY)], ..Account::default() };
    document.accounts.insert("clerks".into(), account);
    let routes = [
        ("looked-up", RouteKind::Idempotent),
        ("booked", RouteKind::NonIdempotent),
        ("told", RouteKind::ResumableStream),
        ("dictated", RouteKind::Stream),
    ];
    for (name, kind) in routes {
        let route = Route {
            host: HOST.into(),
            path: format!("/{name}/").into(),
            kind,
            timeout_ms: Millis(5000),
            split: services
                .iter()
                .map(|name| Share { service: (*name).into(), weight: 1 })
                .collect(),
            max_attempts: 2,
            ..Route::default()
        };
        document.routes.insert(name.into(), route);
    }
    document
}

/// Announces an endpoint once.
pub fn announce(
    control: SocketAddr,
    i: usize,
    incarnation: u64,
    sequence: u64,
    address: SocketAddr,
) {
    announce_version(control, i, incarnation, sequence, address, "");
}

/// Announces an endpoint with the version of its software once.
pub fn announce_version(
    control: SocketAddr,
    i: usize,
    incarnation: u64,
    sequence: u64,
    address: SocketAddr,
    version: &str,
) {
    announce_as(control, SERVICE, &format!("e{i}"), (incarnation, sequence), address, version);
}

/// Announces an endpoint of a service once.
pub fn announce_as(
    control: SocketAddr,
    service: &str,
    name: &str,
    (incarnation, sequence): (u64, u64),
    address: SocketAddr,
    version: &str,
) {
    send_announcement(
        control,
        &announcement(service, name, (incarnation, sequence), address, version),
    );
}

/// Returns the announcement of an endpoint of a service that is ready.
pub fn announcement(
    service: &str,
    name: &str,
    (incarnation, sequence): (u64, u64),
    address: SocketAddr,
    version: &str,
) -> Announcement {
    Announcement {
        name: name.into(),
        incarnation: Incarnation(incarnation),
        sequence,
        address: address.to_string().into(),
        domain: "a".into(),
        class: Default::default(),
        reclaimable: false,
        price: 0,
        serves: vec![Servable::Service { service: service.into() }],
        role: Role::Mixed,
        slots: 16,
        prefill_tokens_per_s: 0,
        decode_ms: 0,
        cache_tokens: 0,
        load: Load::default(),
        leaving: None,
        checks_fencing: false,
        software: version.into(),
    }
}

/// Sends an announcement to a control instance.
pub fn send_announcement(control: SocketAddr, announcement: &Announcement) {
    let body = serde_json::to_string(announcement).expect("it can be serialised");
    let headers = ["authorization: Bearer test-join-token"];
    let _ = http(control, "POST", "/announce", &headers, &body);
}

/// Returns the id and the body of the next request on a connection to an endpoint.
pub fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut text = String::new();
    let mut buf = [0; 4096];
    loop {
        let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
        text.push_str(&String::from_utf8_lossy(&buf[..n]));
        let Some((head, body)) = text.split_once("\r\n\r\n") else { continue };
        let header = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length = header("content-length: ").and_then(|length| length.parse().ok()).unwrap_or(0);
        if body.len() >= length {
            return Some((header("sill-request-id: ")?.to_owned(), body.to_owned()));
        }
    }
}
