//! Measures how long the fleet's decisions take for different numbers of instances. Run it with
//! `cargo bench -p sill-fleet`.

use std::time::{Duration, Instant};

use sill_base::{Machine, Millis, Name};
use sill_fleet::{Action, Event, Fleet, FleetCfg, Offer, OfferKey, ServiceTarget};
use sill_tree::Placement;

const SLOTS: u32 = 8;

/// Number of ticks that are timed at each size.
const TICKS: u32 = 200;

struct Size {
    instances: u32,
    domains: u32,
}

const SIZES: [Size; 6] = [
    Size { instances: 12, domains: 4 },
    Size { instances: 60, domains: 4 },
    Size { instances: 150, domains: 10 },
    Size { instances: 300, domains: 10 },
    Size { instances: 600, domains: 10 },
    Size { instances: 1200, domains: 10 },
];

fn main() {
    println!("instances  announcement us  tick us  share of a core at 1 s ticks");
    for size in &SIZES {
        measure(size);
    }
}

fn measure(size: &Size) {
    let mut fleet = Fleet::new(FleetCfg { max_starts_per_step: 10_000, ..FleetCfg::default() });
    let mut out = Vec::new();
    let mut now = Millis(1);
    fleet.step(now, Event::LeadershipGained { term: 1 }, &mut out);
    fleet.step(now, Event::Settings(vec![target()]), &mut out);
    fleet.step(now, Event::Offers(offers(size.domains)), &mut out);
    let slots = size.instances * SLOTS * (size.domains - 1) / size.domains * 100 / 115;
    let demand = Event::Demand { service: "pool".into(), slots };
    fleet.step(now, demand.clone(), &mut out);
    fleet.step(now, Event::Tick, &mut out);
    let mut announced: Vec<Event> = Vec::new();
    for action in std::mem::take(&mut out) {
        let Action::Start { id, key, .. } = action else { continue };
        let instance = Name::from(format!("i{}", id.sequence));
        fleet.step(now, Event::StartGranted { id, instance: instance.clone() }, &mut out);
        announced.push(Event::Announcement {
            instance,
            key,
            service: "pool".into(),
            loaded: true,
            running: 4,
            leaving: None,
        });
    }
    let (mut announcement_time, mut tick_time) = (Duration::ZERO, Duration::ZERO);
    for _ in 0..TICKS {
        now = now + Millis::from_secs(1);
        fleet.step(now, demand.clone(), &mut out);
        let events = announced.clone();
        let start = Instant::now();
        for event in events {
            fleet.step(now, event, &mut out);
        }
        announcement_time += start.elapsed();
        let start = Instant::now();
        fleet.step(now, Event::Tick, &mut out);
        tick_time += start.elapsed();
    }
    let count = announced.len();
    let each = announcement_time.as_secs_f64() * 1e6 / f64::from(TICKS) / count as f64;
    let tick = tick_time.as_secs_f64() * 1e6 / f64::from(TICKS);
    let share = (each * count as f64 + tick) / 1e6 * 100.0;
    println!("{count:9}  {each:15.2}  {tick:7.0}  {share:.3} %");
}

fn target() -> ServiceTarget {
    ServiceTarget {
        service: "pool".into(),
        version: "1".into(),
        megabytes: 0,
        min_instances: 2,
        price_cap: None,
        placement: Placement::default(),
    }
}

fn offers(domains: u32) -> Vec<Offer> {
    let offer = |domain: u32, reclaimable: bool| Offer {
        key: OfferKey {
            domain: format!("domain-{domain}").into(),
            class: "gpu".into(),
            reclaimable,
        },
        price: if reclaimable { 300 + u64::from(domain) } else { 1000 },
        slots: SLOTS,
        reclaims_per_1000h: 20,
    };
    (0..domains).flat_map(|d| [offer(d, true), offer(d, false)]).collect()
}
