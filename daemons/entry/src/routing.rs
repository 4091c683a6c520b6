//! Routers of the entry instance, a shard for each model or service under its own lock.

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

/// Routers by target.
#[derive(Debug)]
pub struct Routing {
    shards: Vec<Mutex<RecordedRouter>>,
    trusted_until: AtomicU64,
}

impl Routing {
    /// Makes routers that know no endpoint.
    ///
    /// # Errors
    ///
    /// Fails when a record is asked for and can't be written.
    pub fn new(cfg: &EntryCfg) -> io::Result<Self> {
        let router = |shard| {
            let file = cfg.record.as_deref().map(|file| record_of(file, shard));
            let router = RouterCfg { domain: cfg.domain.clone(), seed: seed(cfg, shard) };
            RecordedRouter::new(router, file.as_deref()).map(Mutex::new)
        };
        Ok(Self {
            shards: (0..SHARDS).map(router).collect::<io::Result<_>>()?,
            trusted_until: AtomicU64::new(u64::MAX),
        })
    }

    /// Lets requests be sent until then. Membership moves it on; a process that was frozen finds it
    /// in the past, and sends nothing before it has heard which endpoints are leaving.
    pub fn trust(&self, until: Millis) {
        self.trusted_until.store(until.0, Ordering::Relaxed);
    }

    /// Chooses an endpoint and counts the request as sent there, under one lock, so that two
    /// requests can't both take the last slot.
    pub fn choose(&self, now: Millis, ask: &RouteRequest) -> Choice {
        if now.0 > self.trusted_until.load(Ordering::Relaxed) {
            let retry_after = Millis::from_secs(1);
            let refusal = Refusal { reason: RefusalReason::NoEndpoint, retry_after };
            event!(Warn, "route_refused", request = ask.request, reason = "membership_too_old");
            return Choice::Refuse(refusal);
        }
        let mut router = self.shard(&ask.target).lock();
        let choice = router.choose(now, ask);
        match &choice {
            Choice::Endpoint(chosen) => {
                let sent = Event::Sent { endpoint: chosen.endpoint.clone(), ask: ask.clone() };
                router.step(now, sent);
            }
            Choice::Refuse(refusal) => {
                let view = router.view(now, ask);
                drop(router);
                log_refusal(ask, refusal, &view);
            }
        }
        choice
    }

    /// Passes on what concerns one target.
    pub fn hear_about(&self, now: Millis, target: &Target, event: Event) {
        self.shard(target).lock().step(now, event);
    }

    /// Passes on what concerns an endpoint with all that it serves.
    pub fn hear(&self, now: Millis, event: Event) {
        let Event::Announced { announcement, .. } = &event else {
            for shard in &self.shards {
                shard.lock().step(now, event.clone());
            }
            return;
        };
        let mut shards: Vec<usize> =
            announcement.serves.iter().map(|s| index(&target(s))).collect();
        shards.sort_unstable();
        shards.dedup();
        for shard in shards {
            self.shards[shard].lock().step(now, event.clone());
        }
    }

    fn shard(&self, target: &Target) -> &Mutex<RecordedRouter> {
        &self.shards[index(target)]
    }
}

fn log_refusal(ask: &RouteRequest, refusal: &Refusal, view: &PoolView) {
    event!(
        Info,
        "route_refused",
        request = ask.request,
        reason = format!("{:?}", refusal.reason),
        priority = format!("{:?}", ask.priority),
        excluded = ask.exclude.len(),
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

/// Each shard is a core of its own and has its own trace: `FILE.0`, `FILE.1` and so on.
fn record_of(file: &Path, shard: usize) -> PathBuf {
    let mut name = file.as_os_str().to_owned();
    name.push(format!(".{shard}"));
    name.into()
}

/// Differs between entry instances, so that their jittered answers don't fall together.
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

fn index(target: &Target) -> usize {
    let mut hasher = FxHasher::default();
    let name: &Name = match target {
        Target::Model(name) | Target::Service(name) => name,
    };
    name.hash(&mut hasher);
    hasher.finish() as usize % SHARDS
}
