//! Messages, bytes, CPU time and memory that membership costs a node, for systems of several sizes.
//!
//! The cores run in virtual time and exchange serialised messages. The bytes of each call include
//! the overhead of its transport.

use std::collections::BTreeMap;
use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use sill_base::{Machine, Millis, Name};
use sill_member::{Action, CLOCK_START, Event, MemberCfg, Members};
use sill_wire::member::{EntryInfo, MemberReply, MemberSync};
use sill_wire::{Announcement, Incarnation, Load, Servable};

/// Bytes of HTTP and JSON-RPC around a request, with a key of 64 characters.
const CALL_OVERHEAD: u64 = 270;

/// Bytes of HTTP and JSON-RPC around the reply to a request.
const REPLY_OVERHEAD: u64 = 160;

/// Bytes of HTTP around an announcement.
const ANNOUNCE_OVERHEAD: u64 = 220;

/// Bytes of HTTP around the reply to an announcement.
const ANNOUNCE_REPLY_OVERHEAD: u64 = 130;

const TICK: Millis = Millis(200);
const MESSAGE_DELAY: Millis = Millis(1);
const WARM_UP: Millis = Millis(30_000);
const MEASURED: Millis = Millis(60_000);

/// Bytes per second that a node may spend on all control traffic.
const BUDGET_BYTES_PER_S: f64 = 17_000.0;

#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    endpoints: usize,
    domains: usize,
    /// Whether each domain lacks half of the models, so that its entries use other domains.
    lacks_models: bool,
}

/// The cost of membership for a node.
#[derive(Default, Clone, Copy)]
struct Cost {
    messages: u64,
    bytes_in: u64,
    bytes_out: u64,
    cpu: Duration,
}

struct Node {
    core: Members,
    domain: usize,
    cost: Cost,
}

enum Delivery {
    Tick(usize),
    Announce(usize),
    Call { from: usize, to: usize, id: u64, text: String },
    Reply { to: usize, id: u64, text: String },
}

struct World {
    now: Millis,
    nodes: Vec<Node>,
    /// Each endpoint's announcement, and the node that gets it.
    endpoints: Vec<(Announcement, usize)>,
    addresses: BTreeMap<Name, usize>,
    queue: BTreeMap<(Millis, u64), Delivery>,
    next_delivery: u64,
}

impl World {
    fn new(size: Size) -> Self {
        let mut world = Self {
            now: CLOCK_START,
            nodes: Vec::new(),
            endpoints: Vec::new(),
            addresses: BTreeMap::new(),
            queue: BTreeMap::new(),
            next_delivery: 0,
        };
        let seeds: Vec<Name> = (0..size.domains * 2).map(address).collect();
        for n in 0..size.entries {
            let domain = n % size.domains;
            let mut cfg = MemberCfg::new(entry(n, domain), seeds.clone(), n as u64);
            cfg.own.incarnation = Incarnation(1_764_000_000_000 + n as u64);
            let mut core = Members::new(cfg);
            let services = (0..MODELS).map(model).collect();
            core.step(world.now, Event::Services(services), &mut Vec::new());
            world.nodes.push(Node { core, domain, cost: Cost::default() });
            world.addresses.insert(address(n), n);
            world.after(Millis(n as u64 * 7 % 200), Delivery::Tick(n));
        }
        for n in 0..size.endpoints {
            let domain = n % size.domains;
            let candidates: Vec<usize> =
                (0..size.entries).filter(|e| e % size.domains == domain).collect();
            let node = candidates[n / size.domains % candidates.len()];
            let model_number = if size.lacks_models { n } else { n / size.domains };
            world.endpoints.push((announcement(n, domain, model_number % MODELS), node));
            world.after(Millis(n as u64 * 13 % 1000), Delivery::Announce(n));
        }
        world
    }

    fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let delivery = entry.remove();
            self.deliver(delivery);
        }
        self.now = end;
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Tick(node) => {
                self.after(TICK, Delivery::Tick(node));
                self.step(node, |_| Event::Tick, None);
            }
            Delivery::Announce(endpoint) => {
                self.after(Millis(1000), Delivery::Announce(endpoint));
                let (announcement, node) = &mut self.endpoints[endpoint];
                announcement.sequence += 1;
                announcement.load.running = (announcement.sequence * 7 % 13) as u32;
                announcement.load.queued_tokens = announcement.sequence * 997 % 20_000;
                announcement.load.cached_tokens = 60_000 + announcement.sequence % 5000;
                let (text, node) = (serde_json::to_string(announcement).expect("JSON"), *node);
                self.nodes[node].cost.bytes_in += text.len() as u64 + ANNOUNCE_OVERHEAD;
                let read =
                    move |_: &()| Event::Announcement(serde_json::from_str(&text).expect("JSON"));
                self.step(node, read, None);
            }
            Delivery::Call { from, to, id, text } => {
                self.nodes[to].cost.bytes_in += text.len() as u64 + CALL_OVERHEAD;
                let read = move |_: &()| {
                    Event::PeerRequest(serde_json::from_str::<MemberSync>(&text).expect("JSON"))
                };
                self.step(to, read, Some((from, id)));
            }
            Delivery::Reply { to, id, text } => {
                self.nodes[to].cost.bytes_in += text.len() as u64 + REPLY_OVERHEAD;
                let read = move |_: &()| {
                    let reply: MemberReply = serde_json::from_str(&text).expect("JSON");
                    Event::PeerReply { id, reply: Box::new(reply) }
                };
                self.step(to, read, None);
            }
        }
    }

    /// Reads an event and applies it to a node, and counts the cost of both.
    fn step<F>(&mut self, node: usize, read: F, caller: Option<(usize, u64)>)
    where
        F: FnOnce(&()) -> Event,
    {
        let start = Instant::now();
        let mut out = Vec::new();
        let event = read(&());
        self.nodes[node].core.step(self.now, event, &mut out);
        let mut deliveries = Vec::new();
        for action in out {
            match action {
                Action::SendRequest { id, peer, sync } => {
                    let text = serde_json::to_string(&sync).expect("JSON");
                    self.nodes[node].cost.bytes_out += text.len() as u64 + CALL_OVERHEAD;
                    self.nodes[node].cost.messages += 1;
                    if let Some(to) = self.addresses.get(&peer).copied() {
                        deliveries.push(Delivery::Call { from: node, to, id, text });
                    }
                }
                Action::Reply(reply) => {
                    let text = serde_json::to_string(&reply).expect("JSON");
                    self.nodes[node].cost.bytes_out += text.len() as u64 + REPLY_OVERHEAD;
                    if let Some((to, id)) = caller {
                        deliveries.push(Delivery::Reply { to, id, text });
                    }
                }
                Action::AnnounceReply(reply) => {
                    let text = serde_json::to_string(&reply).expect("JSON");
                    self.nodes[node].cost.bytes_out += text.len() as u64 + ANNOUNCE_REPLY_OVERHEAD;
                }
                other => {
                    black_box(other);
                }
            }
        }
        self.nodes[node].cost.cpu += start.elapsed();
        for delivery in deliveries {
            self.after(MESSAGE_DELAY, delivery);
        }
    }

    fn after(&mut self, delay: Millis, delivery: Delivery) {
        self.next_delivery += 1;
        self.queue.insert((self.now + delay, self.next_delivery), delivery);
    }

    fn reset_costs(&mut self) {
        for node in &mut self.nodes {
            node.cost = Cost::default();
        }
    }

    /// Returns by how many milliseconds the loads that nodes know lag behind, sorted.
    fn load_lags(&self) -> Vec<u64> {
        let mut lags = Vec::new();
        for node in &self.nodes {
            for known in node.core.ready() {
                let (latest, _) = self
                    .endpoints
                    .iter()
                    .find(|(a, _)| a.name == known.name)
                    .expect("each ready endpoint is one of the world");
                lags.push((latest.sequence - known.sequence) * 1000);
            }
        }
        lags.sort_unstable();
        lags
    }
}

const MODELS: usize = 6;

fn address(n: usize) -> Name {
    format!("10.20.{}.{}:7101", n / 250, n % 250).into()
}

fn model(n: usize) -> Name {
    format!("desk-{}b", 7 * (n + 1)).into()
}

fn entry(n: usize, domain: usize) -> EntryInfo {
    EntryInfo {
        name: format!("entry-{n:03}").into(),
        incarnation: Incarnation(0),
        sequence: 0,
        domain: format!("ga-central-{domain}").into(),
        address: format!("10.20.{}.{}:7100", n / 250, n % 250).into(),
        peer_address: address(n),
        leaving: None,
    }
}

fn announcement(n: usize, domain: usize, model_number: usize) -> Announcement {
    Announcement {
        software: Default::default(),
        name: format!("engine-{n:03}").into(),
        incarnation: Incarnation(1_764_000_000_000 + n as u64),
        sequence: 50_000,
        address: format!("10.30.{}.{}:8000", n / 250, n % 250).into(),
        domain: format!("ga-central-{domain}").into(),
        class: "accel-4".into(),
        reclaimable: true,
        price: 1850,
        serves: vec![Servable::Model {
            model: model(model_number),
            version: "2026-11".into(),
            adapters: vec!["trace-reports".into(), "tags".into()],
        }],
        role: Default::default(),
        slots: 32,
        prefill_tokens_per_s: 24_000,
        decode_ms: 26,
        cache_tokens: 1_200_000,
        load: Load { age: Millis(200), ..Load::default() },
        leaving: None,
        checks_fencing: true,
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4096
}

fn main() {
    // `cargo test --benches` runs this too, without `--bench`; only `cargo bench` measures.
    if !std::env::args().any(|arg| arg == "--bench") {
        return;
    }
    let sizes = [(8, 12, 4), (40, 66, 5), (90, 150, 6), (180, 300, 8), (360, 600, 10)];
    println!(
        "entries endpoints domains | role     | calls/s | in B/s mean max | out B/s mean max | both mean max | cpu us/s | state KB"
    );
    let mut points = Vec::new();
    for (entries, endpoints, domains) in sizes {
        let size = Size { entries, endpoints, domains, lacks_models: false };
        points.push(measure(size));
    }
    let (slope, base) = fit(&points);
    println!(
        "\nfit over members only: {base:.0} B/s + {slope:.1} B/s for each entry and endpoint of the node's domain"
    );
    let largest = Size { entries: 360, endpoints: 600, domains: 10, lacks_models: false };
    println!("\neach domain lacks half of the models, and uses those of other domains:");
    measure(Size { lacks_models: true, ..largest });
    wave(largest);
}

/// Measures a size. Returns the members per domain, and the mean bytes per second in and out of a
/// node.
fn measure(size: Size) -> (f64, f64) {
    let before = resident_bytes();
    let mut world = World::new(size);
    world.run(WARM_UP);
    let state = resident_bytes().saturating_sub(before) / size.entries as u64;
    world.reset_costs();
    world.run(MEASURED);
    let gateways: Vec<bool> = world
        .nodes
        .iter()
        .map(|n| n.core.gateways(world.now).iter().any(|g| g.name == n.core.own().name))
        .collect();
    let mut mean = 0.0;
    for (role, is_gateway) in [("member", false), ("gateway", true)] {
        let costs = world.nodes.iter().zip(&gateways).filter(|(_, g)| **g == is_gateway);
        let costs: Vec<Cost> = costs.map(|(n, _)| n.cost).collect();
        if costs.is_empty() {
            continue;
        }
        let total = print(size, role, &costs, state);
        if role == "member" || mean == 0.0 {
            mean = total;
        }
    }
    let lags = world.load_lags();
    let percentile = |p: usize| lags[(lags.len() * p / 100).min(lags.len() - 1)];
    println!(
        "    age of a known load: p50 {} p99 {} max {} ms",
        percentile(50),
        percentile(99),
        percentile(100)
    );
    ((size.entries + size.endpoints) as f64 / size.domains as f64, mean)
}

/// Prints the costs of the nodes with a role. Returns the mean bytes per second in and out of a
/// node.
fn print(size: Size, role: &str, costs: &[Cost], state: u64) -> f64 {
    let seconds = MEASURED.as_secs_f64();
    let mean = |value: &dyn Fn(&Cost) -> u64| {
        costs.iter().map(value).sum::<u64>() as f64 / costs.len() as f64 / seconds
    };
    let max =
        |value: &dyn Fn(&Cost) -> u64| costs.iter().map(value).max().unwrap_or(0) as f64 / seconds;
    let both = |c: &Cost| c.bytes_in + c.bytes_out;
    println!(
        "{:7} {:9} {:7} | {role:8} | {:7.2} | {:6.0} {:6.0} | {:6.0} {:6.0} | {:6.0} {:6.0} | {:7.0} | {:6.0}",
        size.entries,
        size.endpoints,
        size.domains,
        mean(&|c| c.messages),
        mean(&|c| c.bytes_in),
        max(&|c| c.bytes_in),
        mean(&|c| c.bytes_out),
        max(&|c| c.bytes_out),
        mean(&both),
        max(&both),
        mean(&|c| c.cpu.as_micros() as u64),
        state as f64 / 1000.0,
    );
    if max(&both) > BUDGET_BYTES_PER_S {
        println!("    over the budget of {BUDGET_BYTES_PER_S} B/s");
    }
    mean(&both)
}

/// Fits a line to the points. Returns its slope and its value at zero.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0, y + p.1));
    let sxx: f64 = points.iter().map(|p| p.0 * p.0).sum();
    let sxy: f64 = points.iter().map(|p| p.0 * p.1).sum();
    let slope = (count * sxy - sx * sy) / (count * sxx - sx * sx);
    (slope, (sy - slope * sx) / count)
}

/// Measures the costs while all endpoints of a failure domain are reclaimed at once.
fn wave(size: Size) {
    let mut world = World::new(size);
    world.run(WARM_UP);
    world.reset_costs();
    for (announcement, _) in world.endpoints.iter_mut().filter(|(a, _)| a.domain.ends_with("-3")) {
        announcement.leaving = Some(Millis(30_000));
    }
    let max_cost = |w: &World, value: &dyn Fn(&Cost) -> u64| {
        w.nodes.iter().filter(|n| n.domain == 3).map(|n| value(&n.cost)).max().unwrap_or(0)
    };
    println!(
        "\na wave takes one domain of {} entries; per node of that domain, at most:",
        size.entries
    );
    for second in 1..=5 {
        world.run(Millis(1000));
        let (bytes, cpu) = (
            max_cost(&world, &|c| c.bytes_in + c.bytes_out),
            max_cost(&world, &|c| c.cpu.as_micros() as u64),
        );
        let known = world.nodes.iter().filter(|n| n.domain == 3);
        let known = known.map(|n| n.core.leaving().len()).min().unwrap_or(0);
        println!(
            "    second {second}: {bytes} B, {cpu} us, leaving known by the last node: {known}"
        );
        world.reset_costs();
    }
}
