//! Other failure domains: their summaries, whom to ask there, and endpoints that they offered.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_wire::Announcement;
use sill_wire::member::{DomainSummary, EndpointIncarnation, EntryInfo, SummaryAge};

use crate::cfg::MemberCfg;
use crate::digest;
use crate::event::Action;

/// A held summary must be older than the offered one by this much to be replaced.
const YOUNGER_BY: Millis = Millis(2000);

/// How long a summary counts; a domain that is cut off for longer is asked like an unknown one.
const SUMMARY_LEASE: Millis = Millis(60_000);

/// How long an address that answered for another domain is left alone.
const PLACED_FOR: Millis = Millis(300_000);

/// Numbers that spread entry instances over contacts are smaller than this.
const SPREAD: usize = 1 << 24;

/// What is known of other failure domains.
#[derive(Debug, Default)]
pub struct Foreign {
    domains: BTreeMap<Name, Domain>,
    offers: Map<Name, Offer>,
    /// Addresses that are known to belong to other domains, and since when. Without them, an
    /// address of the process settings would be tried every second for good.
    placed: Map<Name, Millis>,
    turn: usize,
    /// Spreads entry instances over the contacts of a domain.
    spread: usize,
}

#[derive(Debug, Default)]
struct Domain {
    summary: Option<DomainSummary>,
    made_at: Millis,
    /// Addresses that answered for the domain, or were named by it, the best first.
    contacts: Vec<Name>,
    /// Which contact to ask next, moved on by a failure.
    turn: usize,
}

#[derive(Debug)]
struct Offer {
    announcement: Announcement,
    until: Millis,
}

impl Foreign {
    /// Makes the state of an entry instance that knows no other domain.
    pub fn new(own: &Name) -> Self {
        let spread = digest::shape(own) as usize % SPREAD;
        Self { spread, ..Self::default() }
    }

    /// Returns the endpoints of other domains that may be used now.
    pub fn holds(&self) -> Vec<EndpointIncarnation> {
        let held = self.offers.iter().map(|(name, offer)| EndpointIncarnation {
            name: name.clone(),
            incarnation: offer.announcement.incarnation,
        });
        let mut held: Vec<EndpointIncarnation> = held.collect();
        held.sort_unstable();
        held
    }

    /// Notes that an entry instance of another domain answered or asked.
    pub fn note_contact(&mut self, now: Millis, info: &EntryInfo) {
        self.placed.insert(info.peer_address.clone(), now);
        let domain = self.domains.entry(info.domain.clone()).or_default();
        if !domain.contacts.contains(&info.peer_address) {
            domain.contacts.push(info.peer_address.clone());
        }
    }

    /// Notes that an address did not answer.
    pub fn note_failure(&mut self, address: &Name) {
        for domain in self.domains.values_mut().filter(|d| d.contacts.contains(address)) {
            domain.turn += 1;
        }
    }

    /// Takes in a summary. Endpoints in it are offers, which end soon.
    pub fn take(
        &mut self,
        now: Millis,
        mut summary: DomainSummary,
        transit: Millis,
        is_whole: bool,
        cfg: &MemberCfg,
        out: &mut Vec<Action>,
    ) {
        if summary.domain == cfg.own.domain {
            return;
        }
        let age = summary.age + transit;
        for capacity in &mut summary.capacity {
            for announcement in std::mem::take(&mut capacity.endpoints) {
                self.offer(now, announcement, age, cfg, out);
            }
        }
        for held in std::mem::take(&mut summary.held_with_free_slots) {
            let known = self.offers.get_mut(&held.name);
            if let Some(offer) = known.filter(|o| o.announcement.incarnation == held.incarnation) {
                offer.until = offer.until.max(now + (cfg.foreign_lease - age));
            }
        }
        // An answer to a question for some models tells nothing of the others.
        if !is_whole {
            return;
        }
        let made_at = now - age;
        let domain = self.domains.entry(summary.domain.clone()).or_default();
        if domain.summary.is_some() && domain.made_at >= made_at {
            return;
        }
        domain.contacts.retain(|c| !summary.entries.contains(c));
        domain.contacts.truncate(2);
        domain.contacts.splice(0..0, summary.entries.iter().cloned());
        domain.made_at = made_at;
        domain.summary = Some(summary);
    }

    /// Ends offers that are too old to be sure of.
    pub fn expire(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.placed.retain(|_, at| now - *at <= PLACED_FOR);
        let mut ended: Vec<Name> =
            self.offers.iter().filter(|(_, o)| o.until < now).map(|(n, _)| n.clone()).collect();
        ended.sort_unstable();
        for name in ended {
            let Some(offer) = self.offers.remove(&name) else { continue };
            let incarnation = offer.announcement.incarnation;
            out.push(Action::Drop { endpoint: name, incarnation });
        }
    }

    /// Returns an address of the next domain in turn.
    pub fn next_contact(&mut self) -> Option<Name> {
        let count = self.domains.len().max(1);
        self.turn = (self.turn + 1) % count;
        self.domains.values().nth(self.turn).and_then(|d| d.contact(self.spread))
    }

    /// Returns an address of a domain with free slots for the most of these names, or of the next
    /// domain in turn where no summary tells of any.
    ///
    /// Entry instances are spread over equal domains, and each keeps to its one: if all chose the
    /// domain with the most free slots, they would fill it together and then move on together.
    pub fn contact_with(&mut self, now: Millis, wanted: &[Name]) -> Option<Name> {
        let served = |domain: &Domain| domain.served(now, wanted);
        let most = self.domains.values().map(served).max().filter(|most| *most > 0);
        let Some(most) = most else { return self.next_contact() };
        let best: Vec<&Domain> = self.domains.values().filter(|d| served(d) == most).collect();
        // Other digits of the hash, or some contacts would be asked by nobody.
        best[self.spread / 256 % best.len()].contact(self.spread)
    }

    /// Returns whether an address is known to belong to another domain.
    pub fn has_address(&self, address: &Name) -> bool {
        self.placed.contains_key(address)
    }

    /// Returns an address of a domain.
    pub fn contact_of(&self, domain: &str) -> Option<Name> {
        self.domains.get(domain).and_then(|d| d.contact(0))
    }

    /// Returns the domains that are known.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.domains.keys()
    }

    /// Returns which summaries are held.
    pub fn held(&self, now: Millis) -> Vec<SummaryAge> {
        let with_summary = self.domains.iter().filter(|(_, d)| d.summary.is_some());
        with_summary
            .map(|(name, d)| SummaryAge { domain: name.clone(), age: now - d.made_at })
            .collect()
    }

    /// Returns the summaries that are clearly younger than those a peer holds.
    pub fn younger(&self, now: Millis, held: &[SummaryAge]) -> Vec<DomainSummary> {
        let is_younger = |domain: &Domain, name: &Name| {
            let theirs = held.iter().find(|h| h.domain == *name);
            theirs.is_none_or(|theirs| now - domain.made_at + YOUNGER_BY < theirs.age)
        };
        let fresh = self.domains.iter().filter(|(_, d)| now - d.made_at <= SUMMARY_LEASE);
        let younger = fresh.filter(|(name, d)| is_younger(d, name));
        let aged = younger.filter_map(|(_, d)| {
            let age = now - d.made_at;
            d.summary.clone().map(|summary| DomainSummary { age, ..summary })
        });
        aged.collect()
    }

    fn offer(
        &mut self,
        now: Millis,
        announcement: Announcement,
        age: Millis,
        cfg: &MemberCfg,
        out: &mut Vec<Action>,
    ) {
        let until = now + (cfg.foreign_lease - age);
        if until <= now || announcement.leaving.is_some() {
            return;
        }
        let known = self.offers.get(&announcement.name);
        if known.is_some_and(|k| k.announcement.incarnation > announcement.incarnation) {
            return;
        }
        out.push(Action::Use { announcement: announcement.clone(), age });
        let name = announcement.name.clone();
        self.offers.insert(name, Offer { announcement, until });
    }
}

impl Domain {
    fn contact(&self, spread: usize) -> Option<Name> {
        let count = self.contacts.len().max(1);
        self.contacts.get((self.turn + spread) % count).cloned()
    }

    /// Returns for how many of these names the domain has free slots.
    fn served(&self, now: Millis, wanted: &[Name]) -> usize {
        let summary = self.summary.as_ref().filter(|_| now - self.made_at <= SUMMARY_LEASE);
        let capacity = summary.into_iter().flat_map(|s| &s.capacity);
        capacity.filter(|c| c.free_slots > 0 && wanted.contains(&c.serves)).count()
    }
}
