//! Messages, bytes, processor time and memory of membership for each node, against the size.
//!
//! Pure cores run in virtual time and exchange serialised messages. Each call counts the overhead of
//! its transport as well, as `daemons/entry/benches/settings.rs` measures it.

use std::collections::BTreeMap;
use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

use sill_base::{Machine, Millis, Name};
use sill_member::{Action, Event, MemberCfg, Members, START};
use sill_wire::member::{EntryInfo, MemberReply, MemberSync};
use sill_wire::{Announcement, Incarnation, Load, Servable};

/// Bytes of HTTP and JSON-RPC around one question, with a key of 64 characters, and around its reply.
const CALL_OVERHEAD: u64 = 270;
const REPLY_OVERHEAD: u64 = 160;

/// Bytes of HTTP around an announcement and around its answer.
const ANNOUNCE_OVERHEAD: u64 = 220;
const ACCEPT_OVERHEAD: u64 = 130;

const TICK: Millis = Millis(200);
const DELAY: Millis = Millis(1);
const WARM_UP: Millis = Millis(30_000);
const MEASURED: Millis = Millis(60_000);

/// What a node may spend on all of control.
const BUDGET: f64 = 17_000.0;

#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    endpoints: usize,
    domains: usize,
    /// Whether each domain lacks half of the models, so that its entries use other domains.
    lacking: bool,
}

#[derive(Default, Clone, Copy)]
struct Use {
    messages: u64,
    bytes_in: u64,
    bytes_out: u64,
    cpu: Duration,
}

struct Node {
    core: Members,
    domain: usize,
    used: Use,
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
    endpoints: Vec<(Announcement, usize)>,
    addresses: BTreeMap<Name, usize>,
    queue: BTreeMap<(Millis, u64), Delivery>,
    next: u64,
}

impl World {
    fn new(size: Size) -> Self {
        let mut world = Self {
            now: START,
            nodes: Vec::new(),
            endpoints: Vec::new(),
            addresses: BTreeMap::new(),
            queue: BTreeMap::new(),
            next: 0,
        };
        let seeds: Vec<Name> = (0..size.domains * 2).map(address).collect();
        for n in 0..size.entries {
            let domain = n % size.domains;
            let mut cfg = MemberCfg::new(entry(n, domain), seeds.clone(), n as u64);
            cfg.own.incarnation = Incarnation(1_764_000_000_000 + n as u64);
            let mut core = Members::new(cfg);
            let wanted = (0..MODELS).map(model).collect();
            core.step(world.now, Event::Wanted(wanted), &mut Vec::new());
            world.nodes.push(Node { core, domain, used: Use::default() });
            world.addresses.insert(address(n), n);
            world.after(Millis(n as u64 * 7 % 200), Delivery::Tick(n));
        }
        for n in 0..size.endpoints {
            let domain = n % size.domains;
            let homes: Vec<usize> =
                (0..size.entries).filter(|e| e % size.domains == domain).collect();
            let home = homes[n / size.domains % homes.len()];
            let which = if size.lacking { n } else { n / size.domains };
            world.endpoints.push((announcement(n, domain, which % MODELS), home));
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
                let (announcement, home) = &mut self.endpoints[endpoint];
                announcement.sequence += 1;
                announcement.load.running = (announcement.sequence * 7 % 13) as u32;
                announcement.load.queued_tokens = announcement.sequence * 997 % 20_000;
                announcement.load.cached_tokens = 60_000 + announcement.sequence % 5000;
                let (text, home) = (serde_json::to_string(announcement).expect("JSON"), *home);
                self.nodes[home].used.bytes_in += text.len() as u64 + ANNOUNCE_OVERHEAD;
                let read =
                    move |_: &()| Event::Announced(serde_json::from_str(&text).expect("JSON"));
                self.step(home, read, None);
            }
            Delivery::Call { from, to, id, text } => {
                self.nodes[to].used.bytes_in += text.len() as u64 + CALL_OVERHEAD;
                let read = move |_: &()| {
                    Event::Asked(serde_json::from_str::<MemberSync>(&text).expect("JSON"))
                };
                self.step(to, read, Some((from, id)));
            }
            Delivery::Reply { to, id, text } => {
                self.nodes[to].used.bytes_in += text.len() as u64 + REPLY_OVERHEAD;
                let read = move |_: &()| {
                    let reply: MemberReply = serde_json::from_str(&text).expect("JSON");
                    Event::Answered { id, reply: Box::new(reply) }
                };
                self.step(to, read, None);
            }
        }
    }

    fn step<F>(&mut self, node: usize, read: F, back: Option<(usize, u64)>)
    where
        F: FnOnce(&()) -> Event,
    {
        let began = Instant::now();
        let mut out = Vec::new();
        let event = read(&());
        self.nodes[node].core.step(self.now, event, &mut out);
        let mut sent = Vec::new();
        for action in out {
            match action {
                Action::Ask { id, peer, sync } => {
                    let text = serde_json::to_string(&sync).expect("JSON");
                    self.nodes[node].used.bytes_out += text.len() as u64 + CALL_OVERHEAD;
                    self.nodes[node].used.messages += 1;
                    if let Some(to) = self.addresses.get(&peer).copied() {
                        sent.push(Delivery::Call { from: node, to, id, text });
                    }
                }
                Action::Reply(reply) => {
                    let text = serde_json::to_string(&reply).expect("JSON");
                    self.nodes[node].used.bytes_out += text.len() as u64 + REPLY_OVERHEAD;
                    if let Some((to, id)) = back {
                        sent.push(Delivery::Reply { to, id, text });
                    }
                }
                Action::Accept(reply) => {
                    let text = serde_json::to_string(&reply).expect("JSON");
                    self.nodes[node].used.bytes_out += text.len() as u64 + ACCEPT_OVERHEAD;
                }
                other => {
                    black_box(other);
                }
            }
        }
        self.nodes[node].used.cpu += began.elapsed();
        for delivery in sent {
            self.after(DELAY, delivery);
        }
    }

    fn after(&mut self, delay: Millis, delivery: Delivery) {
        self.next += 1;
        self.queue.insert((self.now + delay, self.next), delivery);
    }

    fn reset(&mut self) {
        for node in &mut self.nodes {
            node.used = Use::default();
        }
    }

    /// Returns the ages of what the nodes know of the endpoints of their domains, in milliseconds.
    fn lags(&self) -> Vec<u64> {
        let mut lags = Vec::new();
        for node in &self.nodes {
            for known in node.core.ready() {
                let (newest, _) = self
                    .endpoints
                    .iter()
                    .find(|(a, _)| a.name == known.name)
                    .expect("it is one of the endpoints");
                lags.push((newest.sequence - known.sequence) * 1000);
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

fn announcement(n: usize, domain: usize, which: usize) -> Announcement {
    Announcement {
        name: format!("engine-{n:03}").into(),
        incarnation: Incarnation(1_764_000_000_000 + n as u64),
        sequence: 50_000,
        address: format!("10.30.{}.{}:8000", n / 250, n % 250).into(),
        domain: format!("ga-central-{domain}").into(),
        class: "accel-4".into(),
        reclaimable: true,
        price: 1850,
        serves: vec![Servable::Model {
            model: model(which),
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

fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok()).unwrap_or(0) * 4096
}

fn main() {
    // `cargo test --benches` runs this too; it measures only when asked as a bench.
    if !std::env::args().any(|word| word == "--bench") {
        return;
    }
    let sizes = [(8, 12, 4), (40, 66, 5), (90, 150, 6), (180, 300, 8), (360, 600, 10)];
    println!(
        "entries endpoints domains | role     | calls/s | in B/s mean max | out B/s mean max | both mean max | cpu us/s | state KB"
    );
    let mut points = Vec::new();
    for (entries, endpoints, domains) in sizes {
        let size = Size { entries, endpoints, domains, lacking: false };
        points.push(measure(size));
    }
    let (slope, base) = fit(&points);
    println!(
        "\nfit over members only: {base:.0} B/s + {slope:.1} B/s for each entry and endpoint of the node's domain"
    );
    let largest = Size { entries: 360, endpoints: 600, domains: 10, lacking: false };
    println!("\neach domain lacks half of the models, and uses those of other domains:");
    measure(Size { lacking: true, ..largest });
    wave(largest);
}

/// Returns facts of a domain, and bytes a second in and out of a node.
fn measure(size: Size) -> (f64, f64) {
    let before = resident();
    let mut world = World::new(size);
    world.run(WARM_UP);
    let state = resident().saturating_sub(before) / size.entries as u64;
    world.reset();
    world.run(MEASURED);
    let gateways: Vec<bool> = world
        .nodes
        .iter()
        .map(|n| n.core.gateways(world.now).iter().any(|g| g.name == n.core.own().name))
        .collect();
    let mut mean = 0.0;
    for (role, wanted) in [("member", false), ("gateway", true)] {
        let used = world.nodes.iter().zip(&gateways).filter(|(_, g)| **g == wanted);
        let used: Vec<Use> = used.map(|(n, _)| n.used).collect();
        if used.is_empty() {
            continue;
        }
        let all = print(size, role, &used, state);
        if role == "member" || mean == 0.0 {
            mean = all;
        }
    }
    let lags = world.lags();
    let at = |share: usize| lags[(lags.len() * share / 100).min(lags.len() - 1)];
    println!("    age of a known load: p50 {} p99 {} max {} ms", at(50), at(99), at(100));
    ((size.entries + size.endpoints) as f64 / size.domains as f64, mean)
}

fn print(size: Size, role: &str, used: &[Use], state: u64) -> f64 {
    let seconds = MEASURED.as_secs_f64();
    let mean = |of: &dyn Fn(&Use) -> u64| {
        used.iter().map(of).sum::<u64>() as f64 / used.len() as f64 / seconds
    };
    let max = |of: &dyn Fn(&Use) -> u64| used.iter().map(of).max().unwrap_or(0) as f64 / seconds;
    let both = |u: &Use| u.bytes_in + u.bytes_out;
    println!(
        "{:7} {:9} {:7} | {role:8} | {:7.2} | {:6.0} {:6.0} | {:6.0} {:6.0} | {:6.0} {:6.0} | {:7.0} | {:6.0}",
        size.entries,
        size.endpoints,
        size.domains,
        mean(&|u| u.messages),
        mean(&|u| u.bytes_in),
        max(&|u| u.bytes_in),
        mean(&|u| u.bytes_out),
        max(&|u| u.bytes_out),
        mean(&both),
        max(&both),
        mean(&|u| u.cpu.as_micros() as u64),
        state as f64 / 1000.0,
    );
    if max(&both) > BUDGET {
        println!("    over the budget of {BUDGET} B/s");
    }
    mean(&both)
}

fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let (sx, sy) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0, y + p.1));
    let sxx: f64 = points.iter().map(|p| p.0 * p.0).sum();
    let sxy: f64 = points.iter().map(|p| p.0 * p.1).sum();
    let slope = (count * sxy - sx * sy) / (count * sxx - sx * sx);
    (slope, (sy - slope * sx) / count)
}

/// A whole failure domain is reclaimed at once.
fn wave(size: Size) {
    let mut world = World::new(size);
    world.run(WARM_UP);
    world.reset();
    for (announcement, _) in world.endpoints.iter_mut().filter(|(a, _)| a.domain.ends_with("-3")) {
        announcement.leaving = Some(Millis(30_000));
    }
    let hit = |w: &World, of: &dyn Fn(&Use) -> u64| {
        w.nodes.iter().filter(|n| n.domain == 3).map(|n| of(&n.used)).max().unwrap_or(0)
    };
    println!(
        "\na wave takes one domain of {} entries; per node of that domain, at most:",
        size.entries
    );
    for second in 1..=5 {
        world.run(Millis(1000));
        let (bytes, cpu) = (
            hit(&world, &|u| u.bytes_in + u.bytes_out),
            hit(&world, &|u| u.cpu.as_micros() as u64),
        );
        let known = world.nodes.iter().filter(|n| n.domain == 3);
        let known = known.map(|n| n.core.leaving().len()).min().unwrap_or(0);
        println!(
            "    second {second}: {bytes} B, {cpu} us, leaving known by the last node: {known}"
        );
        world.reset();
    }
}
