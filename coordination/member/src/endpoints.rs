//! Endpoints of the own failure domain, and the incarnations that must not receive requests again.

use sill_base::{Map, Millis, Name, Promise, assert_promise};
use sill_wire::member::{Digest, LeavingNotice, LoadUpdate, RelayedAnnouncement};
use sill_wire::{Announcement, Incarnation, Servable};

use crate::cfg::{MemberCfg, Weakening};
use crate::digest::{self, DigestIndex, FactKind};
use crate::event::{Action, Report};

/// How long gossip spreads a leaving incarnation after its notice arrived. A peer that still lacks
/// the notice later has started since.
const LEAVING_GOSSIP_TIME: Millis = Millis(120_000);

/// State that decides whether endpoints that peers relayed may be used.
#[derive(Debug, Clone, Copy)]
pub struct Confirmation {
    /// When this process started, or resumed from its last freeze.
    pub resumed_at: Millis,
    /// When the latest gossip request was sent whose reply confirmed the facts known here.
    pub confirmed_at: Option<Millis>,
    /// Whether no peer of the domain is known, so that no instance can know anything newer.
    pub is_alone: bool,
}

/// The way by which an announcement arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The endpoint sent it to this instance.
    Direct,
    /// A peer relayed it; holds an upper bound of its age.
    Relayed(Millis),
}

/// The result of applying an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was newer than the record, which it replaced.
    New,
    /// It was not newer than the record of the same incarnation and was ignored.
    Stale,
    /// It was refused: a higher incarnation, or another endpoint with the same one, uses the name.
    NameInUse(Incarnation),
}

/// The known endpoints of the failure domain, and their leaving notices.
#[derive(Debug, Default)]
pub struct EndpointTable {
    records: Map<Name, Record>,
    leaving: Map<Name, LeavingRecord>,
    /// The highest incarnation of each name for which a leaving notice arrived. Separate from
    /// `leaving`, so that the invariant does not depend on the code that it checks.
    ended_incarnations: Map<Name, Incarnation>,
}

#[derive(Debug)]
struct Record {
    announcement: Announcement,
    /// Hash of the announcement without its load.
    content_hash: u64,
    /// When the endpoint sent the announcement, at the earliest.
    sent_at: Millis,
    /// When the last announcement of this incarnation arrived from the endpoint itself.
    direct_at: Option<Millis>,
    router_state: RouterState,
}

/// What the latest action told the router about an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RouterState {
    Absent,
    /// Ready, with the sequence number of the announcement.
    Ready(Incarnation, u64),
    Leaving(Incarnation),
}

#[derive(Debug, Clone, Copy)]
struct LeavingRecord {
    incarnation: Incarnation,
    /// When the endpoint will be gone.
    gone_at: Millis,
    /// When the notice arrived here.
    received_at: Millis,
}

impl Confirmation {
    /// Returns whether the last confirmation is recent enough to use relayed endpoints.
    pub fn is_valid(&self, now: Millis, cfg: &MemberCfg) -> bool {
        let fresh = self.confirmed_at.is_some_and(|at| now - at <= cfg.confirmation_timeout);
        fresh || cfg.weakening == Weakening::StaleTrusted
    }
}

impl EndpointTable {
    /// Applies an announcement if it is newer than the record.
    pub fn apply(
        &mut self,
        now: Millis,
        announcement: Announcement,
        source: Source,
        cfg: &MemberCfg,
    ) -> ApplyOutcome {
        let known = self.records.get(&announcement.name);
        if let Some(known) = known {
            let incarnation = known.announcement.incarnation;
            let is_old = announcement.incarnation < incarnation
                && !has_weakening(cfg, Weakening::OldIncarnationTaken);
            let is_other = announcement.incarnation == incarnation
                && announcement.address != known.announcement.address;
            if is_old || is_other {
                return ApplyOutcome::NameInUse(incarnation);
            }
            if announcement.incarnation == incarnation
                && announcement.sequence <= known.announcement.sequence
            {
                return ApplyOutcome::Stale;
            }
        }
        let router_state = known.map_or(RouterState::Absent, |k| k.router_state);
        let same_incarnation =
            known.filter(|k| k.announcement.incarnation == announcement.incarnation);
        let (age, direct_at) = match source {
            Source::Direct => (Millis::ZERO, Some(now)),
            Source::Relayed(age) => (age, same_incarnation.and_then(|k| k.direct_at)),
        };
        let content_hash = content_hash(&announcement);
        let name = announcement.name.clone();
        let record =
            Record { announcement, content_hash, sent_at: now - age, direct_at, router_state };
        self.records.insert(name, record);
        ApplyOutcome::New
    }

    /// Returns the names of the known endpoints, by their hash with the salt of a digest.
    pub fn names_by_hash(&self, salt: u64) -> Map<u64, Name> {
        let names = self.records.iter().map(|(name, record)| {
            let incarnation = record.announcement.incarnation;
            (
                digest::fact_hash(salt, FactKind::Endpoint, name, incarnation, record.content_hash),
                name.clone(),
            )
        });
        names.collect()
    }

    /// Applies the load of a known endpoint if it is newer than the record.
    pub fn apply_load(&mut self, now: Millis, name: &Name, update: &LoadUpdate, transit: Millis) {
        let Some(record) = self.records.get_mut(name) else { return };
        let known = &mut record.announcement;
        if update.sequence <= known.sequence {
            return;
        }
        known.sequence = update.sequence;
        known.load = update.load;
        record.sent_at = now - (update.age + transit);
    }

    /// Records that an incarnation is leaving. Returns whether this was unknown.
    pub fn record_leaving(&mut self, now: Millis, notice: &LeavingNotice) -> bool {
        let known = self.leaving.get(&notice.name);
        if known.is_some_and(|k| k.incarnation >= notice.incarnation) {
            return false;
        }
        let (incarnation, gone_at) = (notice.incarnation, now + notice.left);
        let record = LeavingRecord { incarnation, gone_at, received_at: now };
        self.leaving.insert(notice.name.clone(), record);
        let ended = self.ended_incarnations.entry(notice.name.clone()).or_default();
        *ended = incarnation.max(*ended);
        true
    }

    /// Removes the leaving notice of an incarnation. Only a [`Weakening`] does this.
    pub fn remove_leaving(&mut self, announcement: &Announcement) {
        let known = self.leaving.get(&announcement.name);
        if known.is_some_and(|k| k.incarnation == announcement.incarnation) {
            self.leaving.remove(&announcement.name);
        }
    }

    /// Returns the leaving notice of an endpoint, with the time left from now.
    pub fn leaving_notice(&self, now: Millis, name: &Name) -> Option<LeavingNotice> {
        let known = self.leaving.get(name)?;
        let left = known.gone_at - now;
        Some(LeavingNotice { name: name.clone(), incarnation: known.incarnation, left })
    }

    /// Clears when endpoints announced themselves here, as those announcements may be outdated.
    pub fn clear_direct(&mut self) {
        for record in self.records.values_mut() {
            record.direct_at = None;
        }
    }

    /// Emits the actions by which the router follows the state of one endpoint.
    pub fn update_router(
        &mut self,
        now: Millis,
        name: &Name,
        confirmation: &Confirmation,
        cfg: &MemberCfg,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(name) else { return };
        let incarnation = record.announcement.incarnation;
        let leaving = self.leaving.get(name).filter(|l| l.incarnation >= incarnation);
        if let Some(leaving) = leaving {
            let is_gone = leaving.gone_at <= now;
            return record.route_leaving(leaving.gone_at - now, is_gone, out);
        }
        if !record.is_usable(now, confirmation, cfg) {
            return record.remove_unusable(now, cfg, out);
        }
        let ready = RouterState::Ready(incarnation, record.announcement.sequence);
        if record.router_state == ready {
            return;
        }
        record.router_state = ready;
        assert_promise!(
            Promise::LeavingGetsNothing,
            self.ended_incarnations.get(name).is_none_or(|ended| *ended < incarnation),
            "endpoint {name} is offered as ready although incarnation {} or later is leaving",
            incarnation.0
        );
        let announcement = Announcement { leaving: None, ..record.announcement.clone() };
        out.push(Action::UpdateEndpoint { announcement, age: now - record.sent_at });
    }

    /// Emits the actions by which the router follows the state of all endpoints, and removes
    /// records that are older than the retention time.
    pub fn update_router_all(
        &mut self,
        now: Millis,
        confirmation: &Confirmation,
        cfg: &MemberCfg,
        out: &mut Vec<Action>,
    ) {
        let mut names: Vec<Name> = self.records.keys().cloned().collect();
        names.sort_unstable();
        for name in &names {
            self.update_router(now, name, confirmation, cfg, out);
        }
        let is_recent = |at: Millis| now - at <= cfg.retention;
        self.records.retain(|_, r| is_recent(r.sent_at) || r.router_state != RouterState::Absent);
        self.leaving.retain(|_, l| is_recent(l.received_at));
        let leaving = &self.leaving;
        self.ended_incarnations.retain(|name, _| leaving.contains_key(name));
    }

    /// Appends the live endpoints and the recent leaving notices to a digest.
    pub fn append_to(&self, now: Millis, cfg: &MemberCfg, digest: &mut Digest) {
        for (name, record) in self.live(now, cfg) {
            let a = &record.announcement;
            digest::append_fact(
                digest,
                FactKind::Endpoint,
                name,
                a.incarnation,
                record.content_hash,
                a.sequence,
            );
        }
        for (name, leaving) in self.recent_leaving(now) {
            digest::append_fact(digest, FactKind::Leaving, name, leaving.incarnation, 0, 0);
        }
    }

    /// Returns the announcements of live endpoints that a digest lacks.
    pub fn missing_from(
        &self,
        now: Millis,
        cfg: &MemberCfg,
        index: &DigestIndex,
    ) -> Vec<RelayedAnnouncement> {
        let missing = self.live(now, cfg).filter(|(name, record)| {
            let incarnation = record.announcement.incarnation;
            index
                .known_sequence(FactKind::Endpoint, name, incarnation, record.content_hash)
                .is_none()
        });
        let relayed = missing.map(|(_, record)| RelayedAnnouncement {
            announcement: Announcement { leaving: None, ..record.announcement.clone() },
            age: now - record.sent_at,
        });
        relayed.collect()
    }

    /// Returns the loads of live endpoints that a digest lists with an older sequence number.
    pub fn newer_loads(
        &self,
        now: Millis,
        cfg: &MemberCfg,
        index: &DigestIndex,
    ) -> Vec<LoadUpdate> {
        let newer = self.live(now, cfg).filter_map(|(name, record)| {
            let a = &record.announcement;
            let known = index.known_sequence(
                FactKind::Endpoint,
                name,
                a.incarnation,
                record.content_hash,
            )?;
            digest::is_newer(a.sequence, known).then(|| LoadUpdate {
                hash: index.fact_hash(FactKind::Endpoint, name, a.incarnation, record.content_hash),
                sequence: a.sequence,
                age: now - record.sent_at,
                load: a.load,
            })
        });
        newer.collect()
    }

    /// Returns the recent leaving notices that a digest lacks.
    pub fn missing_notices(&self, now: Millis, index: &DigestIndex) -> Vec<LeavingNotice> {
        let missing = self.recent_leaving(now).filter(|(name, leaving)| {
            index.known_sequence(FactKind::Leaving, name, leaving.incarnation, 0).is_none()
        });
        missing.filter_map(|(name, _)| self.leaving_notice(now, name)).collect()
    }

    /// Returns the announcements of the endpoints that the router has as ready.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        let ready =
            self.records.values().filter(|r| matches!(r.router_state, RouterState::Ready(..)));
        ready.map(|r| &r.announcement)
    }

    /// Returns the announcements of the endpoints that the router has as leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &Announcement> {
        let leaving =
            self.records.values().filter(|r| matches!(r.router_state, RouterState::Leaving(_)));
        leaving.map(|r| &r.announcement)
    }

    /// Returns whether a leaving notice of this incarnation, or of a higher one, is known.
    pub fn is_leaving(&self, name: &str, incarnation: Incarnation) -> bool {
        self.leaving.get(name).is_some_and(|l| l.incarnation >= incarnation)
    }

    /// Returns whether an endpoint of the own failure domain has this name.
    pub fn contains(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    fn live(&self, now: Millis, cfg: &MemberCfg) -> impl Iterator<Item = (&Name, &Record)> {
        let lease = cfg.endpoint_lease;
        self.records.iter().filter(move |(name, record)| {
            now - record.sent_at <= lease && !self.is_leaving(name, record.announcement.incarnation)
        })
    }

    fn recent_leaving(&self, now: Millis) -> impl Iterator<Item = (&Name, &LeavingRecord)> {
        self.leaving.iter().filter(move |(_, l)| now - l.received_at <= LEAVING_GOSSIP_TIME)
    }
}

impl Record {
    fn is_usable(&self, now: Millis, confirmation: &Confirmation, cfg: &MemberCfg) -> bool {
        // With peers, the endpoint may have announced something newer to one of them since.
        let limit =
            if confirmation.is_alone { cfg.endpoint_lease } else { cfg.confirmation_timeout };
        let is_direct = self.direct_at.is_some_and(|at| now - at <= limit);
        let is_alive = now - self.sent_at <= cfg.endpoint_lease;
        is_alive && (is_direct || confirmation.is_valid(now, cfg))
    }

    fn route_leaving(&mut self, time_left: Millis, is_gone: bool, out: &mut Vec<Action>) {
        let incarnation = self.announcement.incarnation;
        if is_gone {
            if self.router_state != RouterState::Absent {
                self.router_state = RouterState::Absent;
                self.remove_from_router(out);
            }
        } else if self.router_state != RouterState::Leaving(incarnation) {
            self.router_state = RouterState::Leaving(incarnation);
            let announcement =
                Announcement { leaving: Some(time_left), ..self.announcement.clone() };
            out.push(Action::UpdateEndpoint { announcement, age: Millis::ZERO });
            let endpoint = self.announcement.name.clone();
            out.push(Action::Report(Report::EndpointLeaving { endpoint, incarnation }));
        }
    }

    fn remove_unusable(&mut self, now: Millis, cfg: &MemberCfg, out: &mut Vec<Action>) {
        if self.router_state == RouterState::Absent {
            return;
        }
        self.router_state = RouterState::Absent;
        self.remove_from_router(out);
        if now - self.sent_at > cfg.endpoint_lease {
            let endpoint = self.announcement.name.clone();
            out.push(Action::Report(Report::EndpointLost { endpoint }));
        }
    }

    fn remove_from_router(&self, out: &mut Vec<Action>) {
        let endpoint = self.announcement.name.clone();
        out.push(Action::RemoveEndpoint { endpoint, incarnation: self.announcement.incarnation });
    }
}

/// Returns the name of the model or service that an endpoint serves.
pub fn served_name(served: &Servable) -> &Name {
    match served {
        Servable::Model { model, .. } => model,
        Servable::Service { service } => service,
    }
}

/// Returns the number of slots that neither running nor queued requests of an endpoint take.
pub fn free_slots(announcement: &Announcement) -> u32 {
    let load = &announcement.load;
    announcement.slots.saturating_sub(load.running).saturating_sub(load.queued)
}

/// Returns a hash of an announcement without its load.
fn content_hash(a: &Announcement) -> u64 {
    let location = (&a.address, &a.domain, &a.class, a.reclaimable, a.price);
    let work = (&a.serves, a.role, a.slots, a.checks_fencing);
    let speed = (a.prefill_tokens_per_s, a.decode_ms, a.cache_tokens);
    digest::stable_hash(&(location, work, speed))
}

fn has_weakening(cfg: &MemberCfg, weakening: Weakening) -> bool {
    cfg.weakening == weakening
}
