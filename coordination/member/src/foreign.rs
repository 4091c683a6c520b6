//! Other failure domains: their summaries, their contact addresses, and the endpoints they offered.

use std::collections::BTreeMap;

use sill_base::{Map, Millis, Name};
use sill_wire::Announcement;
use sill_wire::member::{DomainSummary, EndpointIncarnation, EntryInfo, SummaryAge};

use crate::cfg::MemberCfg;
use crate::digest;
use crate::event::Action;

/// A summary is sent to a peer only if the peer's one is older by more than this.
const MIN_AGE_DIFFERENCE: Millis = Millis(2000);

/// How long a summary is used. A domain that is unreachable for longer is treated as one without a
/// summary.
const SUMMARY_LEASE: Millis = Millis(60_000);

/// How long an address that belonged to another domain is not probed.
const ADDRESS_RETENTION: Millis = Millis(300_000);

/// Exclusive upper bound of the hashes that spread entry instances over contacts.
const SPREAD_LIMIT: usize = 1 << 24;

/// The known other failure domains.
#[derive(Debug, Default)]
pub struct ForeignDomains {
    domains: BTreeMap<Name, Domain>,
    /// Endpoints of other domains that the router has, by name.
    offers: Map<Name, Offer>,
    /// Peer addresses that belong to other domains, and when they were last in contact. Without
    /// them, an address of the process settings would be probed every second forever.
    addresses: Map<Name, Millis>,
    /// Index of the domain whose contact was returned last.
    domain_index: usize,
    /// Hash of the own name, which spreads entry instances over domains and their contacts.
    spread_hash: usize,
}

#[derive(Debug, Default)]
struct Domain {
    summary: Option<DomainSummary>,
    /// When the summary was made, at the earliest.
    made_at: Millis,
    /// Peer addresses in the domain: those of its latest summary first, then others from which a
    /// request or a reply arrived.
    contacts: Vec<Name>,
    /// Offset into the contacts; each failure of a contact increments it.
    contact_offset: usize,
}

#[derive(Debug)]
struct Offer {
    announcement: Announcement,
    expires_at: Millis,
}

impl ForeignDomains {
    /// Creates the state of the entry instance with this name, which knows no other domain yet.
    pub fn new(own: &Name) -> Self {
        let spread_hash = digest::stable_hash(own) as usize % SPREAD_LIMIT;
        Self { spread_hash, ..Self::default() }
    }

    /// Returns the offers of other domains that have not expired, sorted.
    pub fn held_offers(&self) -> Vec<EndpointIncarnation> {
        let held = self.offers.iter().map(|(name, offer)| EndpointIncarnation {
            name: name.clone(),
            incarnation: offer.announcement.incarnation,
        });
        let mut held: Vec<EndpointIncarnation> = held.collect();
        held.sort_unstable();
        held
    }

    /// Records that an entry instance of another domain sent a request or a reply.
    pub fn record_contact(&mut self, now: Millis, info: &EntryInfo) {
        self.addresses.insert(info.peer_address.clone(), now);
        let domain = self.domains.entry(info.domain.clone()).or_default();
        if !domain.contacts.contains(&info.peer_address) {
            domain.contacts.push(info.peer_address.clone());
        }
    }

    /// Records that a request to an address failed.
    pub fn record_failure(&mut self, address: &Name) {
        for domain in self.domains.values_mut().filter(|d| d.contacts.contains(address)) {
            domain.contact_offset += 1;
        }
    }

    /// Applies a summary. Its endpoints are offers, which expire after `foreign_lease`.
    ///
    /// `is_whole` tells whether the summary covers all models and services of the domain.
    pub fn apply(
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
                self.add_offer(now, announcement, age, cfg, out);
            }
        }
        for held in std::mem::take(&mut summary.held_with_free_slots) {
            let known = self.offers.get_mut(&held.name);
            if let Some(offer) = known.filter(|o| o.announcement.incarnation == held.incarnation) {
                offer.expires_at = offer.expires_at.max(now + (cfg.foreign_lease - age));
            }
        }
        // A reply to a request for certain models has no information about the others.
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

    /// Removes expired offers, also from the router, and addresses without recent contact.
    pub fn expire(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.addresses.retain(|_, at| now - *at <= ADDRESS_RETENTION);
        let mut expired: Vec<Name> = self
            .offers
            .iter()
            .filter(|(_, o)| o.expires_at < now)
            .map(|(n, _)| n.clone())
            .collect();
        expired.sort_unstable();
        for name in expired {
            let Some(offer) = self.offers.remove(&name) else { continue };
            let incarnation = offer.announcement.incarnation;
            out.push(Action::RemoveEndpoint { endpoint: name, incarnation });
        }
    }

    /// Returns a contact address of the next domain in round-robin order.
    pub fn next_contact(&mut self) -> Option<Name> {
        let count = self.domains.len().max(1);
        self.domain_index = (self.domain_index + 1) % count;
        self.domains.values().nth(self.domain_index).and_then(|d| d.contact(self.spread_hash))
    }

    /// Returns a contact address of a domain with free slots for the most of these models and
    /// services, or of the next domain in round-robin order if no summary shows any free slots.
    ///
    /// Entry instances are spread over equally good domains, and each stays with its domain: if all
    /// chose the domain with the most free slots, they would fill it and then move on together.
    pub fn contact_for(&mut self, now: Millis, services: &[Name]) -> Option<Name> {
        let available = |domain: &Domain| domain.available_services(now, services);
        let most = self.domains.values().map(available).max().filter(|most| *most > 0);
        let Some(most) = most else { return self.next_contact() };
        let best: Vec<&Domain> = self.domains.values().filter(|d| available(d) == most).collect();
        // Uses other digits of the hash than the choice of the contact; otherwise no entry instance
        // would choose some of the contacts.
        best[self.spread_hash / 256 % best.len()].contact(self.spread_hash)
    }

    /// Returns whether an address belonged to another domain at its last contact.
    pub fn has_address(&self, address: &Name) -> bool {
        self.addresses.contains_key(address)
    }

    /// Returns a contact address of a domain: the first contact, as long as none has failed.
    pub fn contact_of(&self, domain: &str) -> Option<Name> {
        self.domains.get(domain).and_then(|d| d.contact(0))
    }

    /// Returns the names of the known other domains.
    pub fn domains(&self) -> impl Iterator<Item = &Name> {
        self.domains.keys()
    }

    /// Returns the ages of the known summaries.
    pub fn summary_ages(&self, now: Millis) -> Vec<SummaryAge> {
        let with_summary = self.domains.iter().filter(|(_, d)| d.summary.is_some());
        with_summary
            .map(|(name, d)| SummaryAge { domain: name.clone(), age: now - d.made_at })
            .collect()
    }

    /// Returns the summaries that are clearly newer than those that a peer has.
    pub fn newer_summaries(&self, now: Millis, held: &[SummaryAge]) -> Vec<DomainSummary> {
        let is_newer = |domain: &Domain, name: &Name| {
            let other = held.iter().find(|h| h.domain == *name);
            other.is_none_or(|other| now - domain.made_at + MIN_AGE_DIFFERENCE < other.age)
        };
        let fresh = self.domains.iter().filter(|(_, d)| now - d.made_at <= SUMMARY_LEASE);
        let newer = fresh.filter(|(name, d)| is_newer(d, name));
        let summaries = newer.filter_map(|(_, d)| {
            let age = now - d.made_at;
            d.summary.clone().map(|summary| DomainSummary { age, ..summary })
        });
        summaries.collect()
    }

    fn add_offer(
        &mut self,
        now: Millis,
        announcement: Announcement,
        age: Millis,
        cfg: &MemberCfg,
        out: &mut Vec<Action>,
    ) {
        let expires_at = now + (cfg.foreign_lease - age);
        if expires_at <= now || announcement.leaving.is_some() {
            return;
        }
        let known = self.offers.get(&announcement.name);
        if known.is_some_and(|k| k.announcement.incarnation > announcement.incarnation) {
            return;
        }
        out.push(Action::UpdateEndpoint { announcement: announcement.clone(), age });
        let name = announcement.name.clone();
        self.offers.insert(name, Offer { announcement, expires_at });
    }
}

impl Domain {
    fn contact(&self, spread_hash: usize) -> Option<Name> {
        let count = self.contacts.len().max(1);
        self.contacts.get((self.contact_offset + spread_hash) % count).cloned()
    }

    /// Returns for how many of these models and services the domain has free slots.
    fn available_services(&self, now: Millis, services: &[Name]) -> usize {
        let summary = self.summary.as_ref().filter(|_| now - self.made_at <= SUMMARY_LEASE);
        let capacity = summary.into_iter().flat_map(|s| &s.capacity);
        capacity.filter(|c| c.free_slots > 0 && services.contains(&c.serves)).count()
    }
}
