//! The router of one entry instance.

use sill_base::{Machine, Map, Millis, Name};
use sill_wire::Announcement;

use crate::ask::{Ask, Choice, Chosen, Event, Refusal, RefusalReason, Target};

/// Settings of a router.
#[derive(Debug, Clone)]
pub struct RouterCfg {
    /// The failure domain of the entry instance.
    pub domain: Name,
    /// Seed of its random choices.
    pub seed: u64,
}

/// Chooses endpoints, from announcements and what it sent itself.
#[derive(Debug)]
pub struct Router {
    cfg: RouterCfg,
    endpoints: Map<Name, Endpoint>,
}

#[derive(Debug)]
struct Endpoint {
    announcement: Announcement,
    own: u32,
}

impl Router {
    /// Makes a router that knows no endpoint.
    pub fn new(cfg: RouterCfg) -> Self {
        Self { cfg, endpoints: Map::default() }
    }

    /// Chooses an endpoint, or says why there is none. The caller reports a request that it sends
    /// by [`Event::Sent`].
    pub fn choose(&mut self, _now: Millis, ask: &Ask) -> Choice {
        let may_take = |e: &&Endpoint| {
            let a = &e.announcement;
            a.leaving.is_none() && !ask.exclude.contains(&a.name) && ask.target.is_served_by(a)
        };
        let candidates = self.endpoints.values().filter(may_take);
        let best = candidates.min_by_key(|e| {
            let elsewhere = e.announcement.domain != self.cfg.domain;
            (elsewhere, e.own, e.announcement.name.clone())
        });
        match best {
            Some(best) => Choice::Endpoint(Chosen {
                endpoint: best.announcement.name.clone(),
                incarnation: best.announcement.incarnation,
                address: best.announcement.address.clone(),
                cached_tokens: 0,
                expected_ttft: Millis::ZERO,
                why: "least loaded".into(),
            }),
            None => Choice::Refuse(Refusal {
                reason: RefusalReason::NoEndpoint,
                retry_after: Millis(1000),
            }),
        }
    }
}

impl Machine for Router {
    /// The router has nothing to be done; it only answers.
    type Action = ();
    type Event = Event;

    fn step(&mut self, _now: Millis, event: Event, _out: &mut Vec<()>) {
        match event {
            Event::Announced { announcement, .. } => {
                let own = self.endpoints.get(&announcement.name).map_or(0, |e| e.own);
                self.endpoints.insert(announcement.name.clone(), Endpoint { announcement, own });
            }
            Event::Gone { endpoint, .. } => {
                self.endpoints.remove(&endpoint);
            }
            Event::Sent { endpoint, .. } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.own += 1;
                }
            }
            Event::Ended { endpoint, .. } => {
                if let Some(endpoint) = self.endpoints.get_mut(&endpoint) {
                    endpoint.own = endpoint.own.saturating_sub(1);
                }
            }
            Event::Cache(_) | Event::FirstToken { .. } => {}
        }
    }
}

impl Target {
    /// Returns whether an endpoint serves the target.
    pub fn is_served_by(&self, announcement: &Announcement) -> bool {
        match self {
            Self::Model(model) => announcement.has_model(model),
            Self::Service(service) => announcement.has_service(service),
        }
    }
}
