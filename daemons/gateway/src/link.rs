//! Keeps up with the control instances.
//!
//! Two of them are followed at a time. One that is cut off from the others, or stands still, tells
//! nothing new and doesn't know it; an endpoint that leaves would go on getting requests.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name, event};
use sill_net::PeerClient;
use sill_wire::control::Revision;
use sill_wire::link::{ControlInfo, Cursor, LinkPoll, LinkReply};

use crate::feed::Offers;
use crate::state::State;

/// Control instances that are followed at a time.
pub const FOLLOWED: usize = 2;

/// How long a poll waits for news: reports go along with it, and totals by which limits are shared
/// come back.
const WAIT: Millis = Millis(250);

/// How long a poll may take on top of its wait.
const PATIENCE: Millis = Millis(600);

/// Pause after a poll that failed.
const PAUSE: Millis = Millis(100);

/// Time for which a control instance that failed is asked only if no other is left.
const AVOID: Millis = Millis(5000);

/// Time without word of a leader after which another control instance is followed.
const LEADERLESS: Millis = Millis(1000);

/// Pause between two polls of one control instance, so that many changes share one answer.
const BREATH: Millis = Millis(20);

/// The control instances as this entry instance knows them.
#[derive(Debug)]
pub struct Link {
    state: Arc<State>,
    seeds: Mutex<Vec<SocketAddr>>,
    places: Mutex<Map<Name, ControlInfo>>,
    followed: Mutex<[Option<SocketAddr>; FOLLOWED]>,
    failed: Mutex<Map<SocketAddr, Millis>>,
    sequence: AtomicU64,
    offers: Offers,
}

/// Why a control instance is not followed any more.
struct Unfollowed {
    /// Whether it answered before.
    was_followed: bool,
    why: String,
}

impl Link {
    /// Makes a link that knows the seeds.
    pub fn new(state: Arc<State>) -> Self {
        let seeds = Mutex::new(state.cfg.seeds.clone());
        Self {
            state,
            seeds,
            places: Mutex::default(),
            followed: Mutex::default(),
            failed: Mutex::default(),
            sequence: AtomicU64::new(0),
            offers: Offers::default(),
        }
    }

    /// Returns where settings that control instances have are offered.
    pub fn offers(&self) -> &Offers {
        &self.offers
    }

    /// Returns the control instances, those that are followed first.
    pub fn sources(&self) -> Vec<SocketAddr> {
        let followed: Vec<SocketAddr> = self.followed.lock().iter().flatten().copied().collect();
        let mut all = self.candidates();
        all.sort_by_key(|address| !followed.contains(address));
        all
    }

    /// Takes in other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock() = seeds;
    }

    /// Follows one control instance after another, as one of [`FOLLOWED`].
    pub async fn follow(self: Arc<Self>, turn: usize) {
        loop {
            let Some(address) = self.pick(turn) else {
                tokio::time::sleep(PAUSE.into()).await;
                continue;
            };
            let Unfollowed { was_followed, why } = self.follow_one(address).await;
            // While this instance is cut off it tries all of them, again and again.
            if was_followed {
                let followed = &self.state.metrics.followed;
                followed.dec();
                event!(Warn, "control_lost", address = address, why = why, left = followed.get());
            } else {
                event!(Debug, "control_unreachable", address = address, why = why);
            }
            self.failed.lock().insert(address, self.state.clock.now());
            self.followed.lock()[turn] = None;
            tokio::time::sleep(PAUSE.into()).await;
        }
    }

    /// Polls a control instance until it fails or knows no leader.
    async fn follow_one(&self, address: SocketAddr) -> Unfollowed {
        let client = PeerClient::new(address, &self.state.cfg.cluster_key, WAIT + PATIENCE);
        let mut cursor = Cursor::default();
        let mut led_at = None;
        let mut told = Revision(0);
        let ends = |was_followed, why: String| Unfollowed { was_followed, why };
        loop {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let have = told.max(Revision(self.state.table().map_or(0, |table| table.revision)));
            let report = self.state.report(sequence);
            let reply = match client.call(&LinkPoll { have, cursor, wait: WAIT, report }).await {
                Ok(reply) => reply,
                Err(err) => return ends(led_at.is_some(), err.to_string()),
            };
            let now = self.state.clock.now();
            if led_at.is_none() {
                self.state.metrics.followed.inc();
                event!(Info, "control_followed", address = address, is_led = reply.has_leader);
            }
            cursor = reply.cursor;
            self.learn(reply.controls.clone());
            self.state.learn(address, &reply);
            if let Some(manifest) = &reply.settings {
                told = manifest.revision;
                self.offers.offer(manifest.clone(), address);
            }
            let since = led_at.get_or_insert(now);
            if reply.has_leader {
                *since = now;
            } else if now - *since > LEADERLESS && self.has_other(address) {
                return ends(true, "it knows no leader".to_owned());
            }
            self.breathe(&reply).await;
        }
    }

    async fn breathe(&self, reply: &LinkReply) {
        if reply.settings.is_some() || !reply.endpoints.is_empty() {
            tokio::time::sleep(BREATH.into()).await;
        }
    }

    fn learn(&self, controls: Vec<ControlInfo>) {
        let mut places = self.places.lock();
        for place in controls {
            places.insert(place.name.clone(), place);
        }
    }

    /// Returns whether another one is known that did not fail lately.
    fn has_other(&self, address: SocketAddr) -> bool {
        let now = self.state.clock.now();
        let failed = self.failed.lock();
        let is_well = |other: &SocketAddr| failed.get(other).is_none_or(|at| now - *at > AVOID);
        self.candidates().iter().any(|other| *other != address && is_well(other))
    }

    fn candidates(&self) -> Vec<SocketAddr> {
        let places = self.places.lock();
        let mut all: Vec<SocketAddr> = places.values().map(|place| place.peer).collect();
        all.extend(self.seeds.lock().iter());
        all.sort();
        all.dedup();
        all
    }

    /// Picks one that is not followed yet: one that did not fail lately, by preference one of the
    /// own failure domain for the first and of another for the rest.
    fn pick(&self, turn: usize) -> Option<SocketAddr> {
        let now = self.state.clock.now();
        let candidates = self.candidates();
        let mut followed = self.followed.lock();
        let (failed, places) = (self.failed.lock(), self.places.lock());
        let own_domain = |address: &SocketAddr| {
            places.values().any(|p| p.peer == *address && p.domain == self.state.cfg.domain)
        };
        let free = candidates.into_iter().filter(|address| !followed.contains(&Some(*address)));
        let rank = |address: &SocketAddr| {
            let failed_at = failed.get(address).filter(|at| now - **at <= AVOID).copied();
            let is_preferred = own_domain(address) == (turn == 0);
            // Spread over those that are equal, so that not all follow the same one.
            let draw = blend(&self.state.cfg.name, address);
            (failed_at.unwrap_or_default(), !is_preferred, draw)
        };
        let picked = free.min_by_key(rank)?;
        followed[turn] = Some(picked);
        Some(picked)
    }
}

fn blend(name: &Name, address: &SocketAddr) -> u64 {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    hasher.hash_one((name, address))
}
