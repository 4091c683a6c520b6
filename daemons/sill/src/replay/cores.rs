//! The decision cores whose traces can be replayed.

use serde::{Deserialize, Serialize};
use sill_base::{Machine, Millis, Name};
use sill_entry::record::RouterInput;
use sill_flight::claims::{ClaimBounds, ClaimTable};
use sill_route::{Choice, Router, RouterCfg};
use sill_wire::claim::{ClaimAsk, ClaimVerdict};

/// The first line of a trace: which core it is of, and its settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "core", rename_all = "snake_case", deny_unknown_fields)]
pub enum Header {
    /// The router of an entry instance.
    Router {
        /// The failure domain of the entry instance.
        domain: Name,
        /// Seed of its random choices.
        seed: u64,
    },
    /// The claims' table of the replicated log.
    Claims {},
}

/// A router as a core whose actions are its choices.
#[derive(Debug)]
pub struct RouterCore(Router);

/// The claims' table as a core whose actions are its verdicts.
#[derive(Debug)]
pub struct ClaimsCore(ClaimTable);

impl RouterCore {
    /// Makes a router that knows no endpoint.
    pub fn new(domain: Name, seed: u64) -> Self {
        Self(Router::new(RouterCfg { domain, seed }))
    }
}

impl Machine for RouterCore {
    type Action = Choice;
    type Event = RouterInput;

    fn step(&mut self, now: Millis, event: RouterInput, out: &mut Vec<Choice>) {
        match event {
            RouterInput::Hear(event) => self.0.step(now, event, &mut Vec::new()),
            RouterInput::Ask(ask) => out.push(self.0.choose(now, &ask)),
        }
    }
}

impl Default for ClaimsCore {
    fn default() -> Self {
        Self(ClaimTable::new(ClaimBounds::default()))
    }
}

impl Machine for ClaimsCore {
    type Action = ClaimVerdict;
    type Event = ClaimAsk;

    fn step(&mut self, now: Millis, event: ClaimAsk, out: &mut Vec<ClaimVerdict>) {
        out.push(self.0.apply(now, &event));
    }
}
