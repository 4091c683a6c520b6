//! Routers of the entry instance. Models and services are distributed over shards by name, each
//! with its own lock.

use std::hash::{Hash, Hasher};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use rustc_hash::FxHasher;
use sill_base::{Millis, Name, event};
use sill_route::{
    Choice, Event, PoolView, Refusal, RefusalReason, RouteRequest, RouterCfg, Target,
};
use sill_wire::Servable;

use crate::cfg::EntryCfg;
use crate::record::RecordedRouter;

const SHARDS: usize = 8;

/// The router shards, selected by target.
#[derive(Debug)]
pub struct Routing {
    shards: Vec<Mutex<RecordedRouter>>,
    valid_until: AtomicU64,
}

impl Routing {
    /// Creates routers without endpoints.
    ///
    /// # Errors
    ///
    /// Fails if recording is configured and a trace file can't be created.
    pub fn new(cfg: &EntryCfg) -> io::Result<Self> {
        let router = |shard| {
            let file = cfg.record.as_deref().map(|file| shard_file(file, shard));
            let router = RouterCfg { domain: cfg.domain.clone(), seed: seed(cfg, shard) };
            RecordedRouter::new(router, file.as_deref()).map(Mutex::new)
        };
        Ok(Self {
            shards: (0..SHARDS).map(router).collect::<io::Result<_>>()?,
            valid_until: AtomicU64::new(u64::MAX),
        })
    }

    /// Sets the time until which requests may be routed. Membership extends it regularly. A process
    /// that was frozen finds it in the past, and routes nothing until it has received which
    /// endpoints are leaving.
    pub fn set_valid_until(&self, until: Millis) {
        self.valid_until.store(until.0, Ordering::Relaxed);
    }

    /// Chooses an endpoint and counts the request as sent there, under one lock so that two
    /// requests can't both take the last slot.
    pub fn choose(&self, now: Millis, request: &RouteRequest) -> Choice {
        if now.0 > self.valid_until.load(Ordering::Relaxed) {
            let retry_after = Millis::from_secs(1);
            let refusal = Refusal { reason: RefusalReason::NoEndpoint, retry_after };
            event!(Warn, "route_refused", request = request.request, reason = "membership_too_old");
            return Choice::Refuse(refusal);
        }
        let mut router = self.shard(&request.target).lock();
        let choice = router.choose(now, request);
        match &choice {
            Choice::Endpoint(chosen) => {
                let sent = Event::Sent { endpoint: chosen.endpoint.clone(), ask: request.clone() };
                router.step(now, sent);
            }
            Choice::Refuse(refusal) => {
                let view = router.view(now, request);
                drop(router);
                log_refusal(request, refusal, &view);
            }
        }
        choice
    }

    /// Applies an event to the shard of one target.
    pub fn apply_for_target(&self, now: Millis, target: &Target, event: Event) {
        self.shard(target).lock().step(now, event);
    }

    /// Applies an endpoint's event: an announcement to the shards of the targets that it serves,
    /// any other event to all shards.
    pub fn apply(&self, now: Millis, event: Event) {
        let Event::Announced { announcement, .. } = &event else {
            for shard in &self.shards {
                shard.lock().step(now, event.clone());
            }
            return;
        };
        let mut shards: Vec<usize> =
            announcement.serves.iter().map(|s| shard_index(&target(s))).collect();
        shards.sort_unstable();
        shards.dedup();
        for shard in shards {
            self.shards[shard].lock().step(now, event.clone());
        }
    }

    fn shard(&self, target: &Target) -> &Mutex<RecordedRouter> {
        &self.shards[shard_index(target)]
    }
}

fn log_refusal(request: &RouteRequest, refusal: &Refusal, view: &PoolView) {
    event!(
        Info,
        "route_refused",
        request = request.request,
        reason = format!("{:?}", refusal.reason),
        priority = format!("{:?}", request.priority),
        excluded = request.exclude.len(),
        ready = view.ready,
        full = view.full,
        suspect = view.suspect,
        unfit = view.ineligible,
        active = view.active,
        own = view.own_active,
        slots = view.slots,
        load_age_ms = view.oldest_load_age,
        retry_after_ms = refusal.retry_after
    );
}

/// Returns the trace file of a shard: `FILE.0`, `FILE.1` and so on, since each shard is a state
/// machine of its own.
fn shard_file(file: &Path, shard: usize) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(format!(".{shard}"));
    name.into()
}

/// Seed of a shard's jitter. Differs between entry instances, so that the retries that they ask for
/// do not coincide.
fn seed(cfg: &EntryCfg, shard: usize) -> u64 {
    let mut hasher = FxHasher::default();
    cfg.name.hash(&mut hasher);
    shard.hash(&mut hasher);
    hasher.finish()
}

fn target(served: &Servable) -> Target {
    match served {
        Servable::Model { model, .. } => Target::Model(model.clone()),
        Servable::Service { service } => Target::Service(service.clone()),
    }
}

fn shard_index(target: &Target) -> usize {
    let mut hasher = FxHasher::default();
    let name: &Name = match target {
        Target::Model(name) | Target::Service(name) => name,
    };
    name.hash(&mut hasher);
    hasher.finish() as usize % SHARDS
}
