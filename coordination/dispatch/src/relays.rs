//! Entry instances that offer tunnels to endpoints: which of them are told of, which one is asked,
//! and when a tunnel is granted.

use std::cmp::Reverse;
use std::hash::{BuildHasher, BuildHasherDefault, Hash};
use std::net::SocketAddr;

use rustc_hash::FxHasher;
use sill_base::{Map, Millis, Name};
use sill_wire::link::RelayOffer;

use crate::relay_health::RelayHealth;

/// Number of offers from the own failure domain, and from all others, that an entry instance is
/// told of. Some fail together with it.
const TOLD_PER_KIND: usize = 6;

/// How long a relay that has failed or declined is asked only if there is no other.
const RELAY_BACKOFF: Millis = Millis(1500);

/// Number of withdrawn offers that are remembered.
const MAX_WITHDRAWN: usize = 12;

/// Largest number of tunnels that an entry instance carries. Each takes two file descriptors and
/// the buffers of two sockets.
const MAX_TUNNELS: usize = 512;

/// Delay of timers from which on an entry instance is too busy to carry more for others.
const MAX_TIMER_DELAY: Millis = Millis(60);

/// Weight of the newest timer delay in the average.
const DELAY_WEIGHT: f64 = 0.25;

/// Returns the offers that an entry instance is told of, in a stable order.
///
/// Each entry instance gets others, so that those of a whole failure domain do not all turn to the
/// same relay.
pub fn select_offers(entry: &Name, domain: &Name, offers: &[RelayOffer]) -> Vec<RelayOffer> {
    let mut others: Vec<&RelayOffer> =
        offers.iter().filter(|offer| offer.entry != *entry).collect();
    others.sort_by_key(|offer| rank(&[entry, &offer.entry]));
    let (local, remote): (Vec<&RelayOffer>, Vec<&RelayOffer>) =
        others.into_iter().partition(|offer| offer.domain == *domain);
    let mut selected: Vec<RelayOffer> = local.into_iter().take(TOLD_PER_KIND).cloned().collect();
    selected.extend(remote.into_iter().take(TOLD_PER_KIND).cloned());
    selected.sort();
    selected
}

/// Returns at most `count` offers, with as many of each failure domain as possible.
pub fn limit_offers(mut offers: Vec<RelayOffer>, count: usize) -> Vec<RelayOffer> {
    let mut seen: Map<Name, usize> = Map::default();
    offers.sort();
    let place = |offer: &RelayOffer| {
        let place = seen.entry(offer.domain.clone()).or_default();
        *place += 1;
        *place
    };
    let places: Vec<usize> = offers.iter().map(place).collect();
    let mut placed: Vec<(usize, RelayOffer)> = places.into_iter().zip(offers).collect();
    placed.sort();
    placed.into_iter().take(count).map(|(_, offer)| offer).collect()
}

/// Returns a number that differs between different lists, and is never 0.
pub fn fingerprint<T>(list: &[T]) -> u64
where
    T: Hash,
{
    BuildHasherDefault::<FxHasher>::default().hash_one(list) | 1
}

fn rank(names: &[&Name]) -> u64 {
    BuildHasherDefault::<FxHasher>::default().hash_one(names)
}

/// What speaks for a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayStanding {
    /// Nothing speaks against it.
    Usable,
    /// It has heard no endpoint for a while.
    Unproven,
    /// Requests in tunnels through it were not answered.
    Unanswered,
    /// It can't be reached, or has declined.
    Failed,
}

/// The offers that an entry instance knows of, and which of them have failed lately.
#[derive(Debug, Default)]
pub struct RelayList {
    offers: Vec<RelayOffer>,
    /// Offers that no longer stand, the latest last. They are made again later than a relay works
    /// again.
    withdrawn: Vec<RelayOffer>,
    failed: Map<SocketAddr, Millis>,
    /// Whether requests in tunnels through each relay are answered.
    pub health: RelayHealth,
}

impl RelayList {
    /// Replaces the offers; returns the addresses of those that no longer stand.
    pub fn set_offers(&mut self, offers: Vec<RelayOffer>) -> Vec<SocketAddr> {
        let before = std::mem::replace(&mut self.offers, offers);
        let stands = |offer: &RelayOffer| self.offers.iter().any(|o| o.address == offer.address);
        let withdrawn: Vec<RelayOffer> = before.into_iter().filter(|o| !stands(o)).collect();
        let addresses: Vec<SocketAddr> = withdrawn.iter().map(|offer| offer.address).collect();
        self.failed.retain(|address, _| !addresses.contains(address));
        addresses.iter().for_each(|address| self.health.forget(*address));
        self.withdrawn.retain(|offer| !stands(offer) && !addresses.contains(&offer.address));
        self.withdrawn.extend(withdrawn);
        let excess = self.withdrawn.len().saturating_sub(MAX_WITHDRAWN);
        self.withdrawn.drain(..excess);
        addresses
    }

    /// Returns whether any relay is offered that has not failed lately.
    pub fn has_usable(&self, now: Millis) -> bool {
        self.offers.iter().any(|offer| !self.has_failed(now, offer.address))
    }

    /// Returns the addresses of all relays.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.offers.iter().map(|offer| offer.address).collect()
    }

    /// Returns whether a relay is still offered.
    pub fn is_offered(&self, address: SocketAddr) -> bool {
        self.offers.iter().any(|offer| offer.address == address)
    }

    /// Returns the relays to ask for a tunnel, in order: those that have not failed lately, of these
    /// the ones through which requests are answered, then those of the failure domain `domain`,
    /// spread over relays by `endpoint`. `may_repeat` is whether the request may be sent again.
    pub fn candidates(
        &self,
        now: Millis,
        domain: &Name,
        endpoint: &Name,
        may_repeat: bool,
        count: usize,
    ) -> Vec<RelayOffer> {
        let mut offers: Vec<&RelayOffer> = self.offers.iter().collect();
        offers.sort_by_cached_key(|offer| {
            let standing = self.standing(now, offer.address, may_repeat);
            let is_local = offer.domain == *domain;
            (standing, Reverse(is_local), rank(&[endpoint, &offer.entry]))
        });
        offers.into_iter().take(count).cloned().collect()
    }

    /// Returns what speaks for a relay; the lowest is asked first.
    pub fn standing(&self, now: Millis, relay: SocketAddr, may_repeat: bool) -> RelayStanding {
        if self.has_failed(now, relay) {
            RelayStanding::Failed
        } else if self.health.is_doubted(now, relay, may_repeat) {
            RelayStanding::Unanswered
        } else if self.health.is_unproven(now, relay) {
            RelayStanding::Unproven
        } else {
            RelayStanding::Usable
        }
    }

    /// Returns the relays to ask, in order, while no path works: those that have not failed lately,
    /// then all others, also those whose offers no longer stand. Which of these come first differs
    /// between endpoints.
    pub fn check_candidates(&self, now: Millis, endpoint: &Name, count: usize) -> Vec<RelayOffer> {
        let offers = self.offers.iter().map(|offer| (self.has_failed(now, offer.address), offer));
        let withdrawn = self.withdrawn.iter().map(|offer| (true, offer));
        let mut all: Vec<(bool, &RelayOffer)> = offers.chain(withdrawn).collect();
        all.sort_by_cached_key(|(is_last, offer)| (*is_last, rank(&[endpoint, &offer.entry])));
        all.into_iter().take(count).map(|(_, offer)| offer.clone()).collect()
    }

    /// Records that a relay has failed, or declined a tunnel for a reason of its own.
    pub fn record_failure(&mut self, now: Millis, address: SocketAddr) {
        self.failed.insert(address, now);
    }

    /// Records that a relay works. If its offer was withdrawn, it stands until the next list.
    pub fn record_success(&mut self, address: SocketAddr) {
        self.failed.remove(&address);
        if let Some(at) = self.withdrawn.iter().position(|offer| offer.address == address) {
            self.offers.push(self.withdrawn.remove(at));
        }
    }

    fn has_failed(&self, now: Millis, address: SocketAddr) -> bool {
        self.failed.get(&address).is_some_and(|at| now - *at < RELAY_BACKOFF)
    }
}

/// Whether an entry instance has the means to carry tunnels of others; its own calls come first.
#[derive(Debug, Default)]
pub struct RelayLoad {
    /// Average delay of timers in milliseconds, which grows as processor time runs short.
    timer_delay: f64,
}

impl RelayLoad {
    /// Records by how much a timer was late.
    pub fn record_delay(&mut self, delay: Millis) {
        self.timer_delay += (delay.0 as f64 - self.timer_delay) * DELAY_WEIGHT;
    }

    /// Returns whether one more tunnel may be carried beside `open` ones.
    pub fn may_accept(&self, open: usize) -> bool {
        open < MAX_TUNNELS && self.timer_delay < MAX_TIMER_DELAY.0 as f64
    }
}
