//! Polls the control instances for endpoints, totals and settings.
//!
//! Two of them are followed at a time. A control instance that is partitioned from the others or
//! hangs sends no updates and doesn't notice it; with it alone, a leaving endpoint would continue
//! to get requests.

use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use sill_base::{Map, Millis, Name, event};
use sill_net::PeerClient;
use sill_wire::control::Revision;
use sill_wire::link::{ControlInfo, Cursor, LinkPoll, LinkReply};

use crate::settings_fetcher::RevisionOffers;
use crate::state::State;

/// Number of control instances that are followed at a time.
pub const FOLLOWED_CONTROLS: usize = 2;

/// How long a control instance holds a poll open while it has no changes. Each poll carries a
/// report and returns the totals by which limits are shared.
const POLL_WAIT: Millis = Millis(250);

/// How long a poll may take beyond [`POLL_WAIT`].
const POLL_TIMEOUT_MARGIN: Millis = Millis(600);

/// Pause after a failed poll.
const RETRY_PAUSE: Millis = Millis(100);

/// Time for which a failed control instance is followed only if there is no other.
const FAILURE_BACKOFF: Millis = Millis(5000);

/// Time without a leader after which another control instance is followed.
const LEADERLESS_TIMEOUT: Millis = Millis(1000);

/// Pause after a poll that returned changes, so that many changes share one answer.
const CHANGE_POLL_PAUSE: Millis = Millis(20);

/// Follows control instances, and keeps the list of those that are known.
#[derive(Debug)]
pub struct Link {
    state: Arc<State>,
    seeds: Mutex<Vec<SocketAddr>>,
    known_controls: Mutex<Map<Name, ControlInfo>>,
    followed_controls: Mutex<[Option<SocketAddr>; FOLLOWED_CONTROLS]>,
    failures: Mutex<Map<SocketAddr, Millis>>,
    sequence: AtomicU64,
    offers: RevisionOffers,
}

/// Why a control instance is no longer followed.
struct FollowEnd {
    /// Whether it had answered a poll before.
    was_followed: bool,
    reason: String,
}

impl Link {
    /// Creates a link that knows only the seeds.
    pub fn new(state: Arc<State>) -> Self {
        let seeds = Mutex::new(state.cfg.seeds.clone());
        Self {
            state,
            seeds,
            known_controls: Mutex::default(),
            followed_controls: Mutex::default(),
            failures: Mutex::default(),
            sequence: AtomicU64::new(0),
            offers: RevisionOffers::default(),
        }
    }

    /// Returns the newest revision of the settings offered by control instances.
    pub fn offers(&self) -> &RevisionOffers {
        &self.offers
    }

    /// Returns all known control instances, the followed ones first.
    pub fn sources(&self) -> Vec<SocketAddr> {
        let followed: Vec<SocketAddr> =
            self.followed_controls.lock().iter().flatten().copied().collect();
        let mut all = self.candidates();
        all.sort_by_key(|address| !followed.contains(address));
        all
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        *self.seeds.lock() = seeds;
    }

    /// Follows one control instance after another in one of the [`FOLLOWED_CONTROLS`] slots.
    pub async fn follow(self: Arc<Self>, slot: usize) {
        loop {
            let Some(address) = self.pick(slot) else {
                tokio::time::sleep(RETRY_PAUSE.into()).await;
                continue;
            };
            let FollowEnd { was_followed, reason } = self.follow_one(address).await;
            // An instance that is partitioned tries all of them repeatedly, so this is not a
            // warning.
            if was_followed {
                let followed = &self.state.metrics.followed_controls;
                followed.dec();
                event!(
                    Warn,
                    "control_lost",
                    address = address,
                    why = reason,
                    left = followed.get()
                );
            } else {
                event!(Debug, "control_unreachable", address = address, why = reason);
            }
            self.state.egress.drop_offers(address);
            self.state.streams.drop_peers(address);
            self.failures.lock().insert(address, self.state.clock.now());
            self.followed_controls.lock()[slot] = None;
            tokio::time::sleep(RETRY_PAUSE.into()).await;
        }
    }

    /// Polls a control instance until it fails or reports no leader for too long.
    async fn follow_one(&self, address: SocketAddr) -> FollowEnd {
        let client =
            PeerClient::new(address, &self.state.cfg.cluster_key, POLL_WAIT + POLL_TIMEOUT_MARGIN);
        let mut cursor = Cursor::default();
        let mut led_at = None;
        let mut offered_revision = Revision(0);
        let mut crash_sent = 0;
        let end = |was_followed, reason: String| FollowEnd { was_followed, reason };
        loop {
            let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let have = offered_revision
                .max(Revision(self.state.table().map_or(0, |table| table.revision)));
            let report = self.state.report(sequence);
            let (last_crash, crashes) = self.state.crashes.newer_than(crash_sent);
            let asked_at = self.state.clock.now();
            let poll = LinkPoll { have, cursor, wait: POLL_WAIT, report, crashes };
            let reply = match client.call(&poll).await {
                Ok(reply) => reply,
                Err(err) => return end(led_at.is_some(), err.to_string()),
            };
            let now = self.state.clock.now();
            if led_at.is_none() {
                self.state.metrics.followed_controls.inc();
                event!(Info, "control_followed", address = address, is_led = reply.has_leader);
            }
            crash_sent = last_crash;
            cursor = reply.cursor;
            self.record_controls(reply.controls.clone());
            self.state.apply_reply(address, &reply);
            if reply.has_leader {
                self.state.streams.record_control_reply(asked_at, reply.history);
            }
            if let Some(manifest) = &reply.settings {
                offered_revision = manifest.revision;
                self.offers.offer(manifest.clone(), address);
            }
            let since = led_at.get_or_insert(now);
            if reply.has_leader {
                *since = now;
            } else if now - *since > LEADERLESS_TIMEOUT && self.has_other(address) {
                return end(true, "it has reported no leader for too long".to_owned());
            }
            self.pause_after_changes(&reply).await;
        }
    }

    async fn pause_after_changes(&self, reply: &LinkReply) {
        if reply.settings.is_some() || !reply.endpoints.is_empty() {
            tokio::time::sleep(CHANGE_POLL_PAUSE.into()).await;
        }
    }

    fn record_controls(&self, controls: Vec<ControlInfo>) {
        let mut known_controls = self.known_controls.lock();
        for control in controls {
            known_controls.insert(control.name.clone(), control);
        }
    }

    /// Returns whether another control instance is known that has not failed recently.
    fn has_other(&self, address: SocketAddr) -> bool {
        let now = self.state.clock.now();
        let failures = self.failures.lock();
        let is_healthy =
            |other: &SocketAddr| failures.get(other).is_none_or(|at| now - *at > FAILURE_BACKOFF);
        self.candidates().iter().any(|other| *other != address && is_healthy(other))
    }

    fn candidates(&self) -> Vec<SocketAddr> {
        let known_controls = self.known_controls.lock();
        let mut all: Vec<SocketAddr> =
            known_controls.values().map(|control| control.peer).collect();
        all.extend(self.seeds.lock().iter());
        all.sort();
        all.dedup();
        all
    }

    /// Picks a control instance that is not followed in another slot. Those that have not failed
    /// recently come first, then those of the own failure domain for the first slot and of other
    /// failure domains for the others.
    fn pick(&self, slot: usize) -> Option<SocketAddr> {
        let now = self.state.clock.now();
        let candidates = self.candidates();
        let mut followed = self.followed_controls.lock();
        let (failures, known_controls) = (self.failures.lock(), self.known_controls.lock());
        let own_domain = |address: &SocketAddr| {
            known_controls.values().any(|p| p.peer == *address && p.domain == self.state.cfg.domain)
        };
        let available =
            candidates.into_iter().filter(|address| !followed.contains(&Some(*address)));
        let rank = |address: &SocketAddr| {
            let failed_at =
                failures.get(address).filter(|at| now - **at <= FAILURE_BACKOFF).copied();
            let is_preferred = own_domain(address) == (slot == 0);
            // Spreads the entry instances over equally ranked control instances.
            let tie_break = hash_choice(&self.state.cfg.name, address);
            (failed_at.unwrap_or_default(), !is_preferred, tie_break)
        };
        let choice = available.min_by_key(rank)?;
        followed[slot] = Some(choice);
        Some(choice)
    }
}

fn hash_choice(name: &Name, address: &SocketAddr) -> u64 {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    hasher.hash_one((name, address))
}
