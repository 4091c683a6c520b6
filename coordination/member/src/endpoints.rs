//! Endpoints of the own failure domain, with the lives that must never get work again.

use sill_base::{Map, Millis, Name, Promise, keep};
use sill_wire::member::{Digest, LeavingNotice, LoadUpdate, RelayedAnnouncement};
use sill_wire::{Announcement, Incarnation, Servable};

use crate::cfg::{MemberCfg, Weakening};
use crate::digest::{self, Fact, Marks};
use crate::event::{Action, Report};

/// How long a leaving life is told to peers after it was noted; one who asks later starts anew.
const TELL_LEAVING: Millis = Millis(120_000);

/// Whether relayed endpoints may be used.
#[derive(Debug, Clone, Copy)]
pub struct Confirmation {
    /// When this process started or was last frozen.
    pub thawed: Millis,
    /// When the last question was asked that a settled peer answered.
    pub confirmed: Option<Millis>,
    /// Whether no peer of the domain is known, so that nobody else can have heard more.
    pub is_alone: bool,
}

/// How an announcement came here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// From the endpoint itself.
    Direct,
    /// From a peer; the age is an upper bound.
    Relayed(Millis),
}

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It is newer than what was known.
    New,
    /// It tells nothing new.
    Known,
    /// A higher incarnation, or another endpoint with the same one, holds the name.
    Replaced(Incarnation),
}

/// The table.
#[derive(Debug, Default)]
pub struct Endpoints {
    records: Map<Name, Record>,
    leaving: Map<Name, Leaving>,
    /// The highest life of each name that was ever noted as leaving; kept apart from `leaving`, as
    /// the invariant must not rest on the code that it checks.
    ended: Map<Name, Incarnation>,
}

#[derive(Debug)]
struct Record {
    announcement: Announcement,
    shape: u64,
    sent_at: Millis,
    direct_at: Option<Millis>,
    told: Told,
}

/// What the router was told last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Told {
    Nothing,
    Ready(Incarnation, u64),
    Leaving(Incarnation),
}

#[derive(Debug, Clone, Copy)]
struct Leaving {
    incarnation: Incarnation,
    gone_at: Millis,
    noted_at: Millis,
}

impl Confirmation {
    /// Returns whether relayed endpoints may be used now.
    pub fn holds(&self, now: Millis, cfg: &MemberCfg) -> bool {
        let fresh = self.confirmed.is_some_and(|at| now - at <= cfg.confirm_within);
        fresh || cfg.weakening == Weakening::StaleTrusted
    }
}

impl Endpoints {
    /// Takes in an announcement.
    pub fn take(
        &mut self,
        now: Millis,
        announcement: Announcement,
        source: Source,
        cfg: &MemberCfg,
    ) -> Taken {
        let known = self.records.get(&announcement.name);
        if let Some(known) = known {
            let life = known.announcement.incarnation;
            let old = announcement.incarnation < life && !weak(cfg, Weakening::OldIncarnationTaken);
            let other = announcement.incarnation == life
                && announcement.address != known.announcement.address;
            if old || other {
                return Taken::Replaced(life);
            }
            if announcement.incarnation == life
                && announcement.sequence <= known.announcement.sequence
            {
                return Taken::Known;
            }
        }
        let told = known.map_or(Told::Nothing, |k| k.told);
        let same = known.filter(|k| k.announcement.incarnation == announcement.incarnation);
        let (age, direct_at) = match source {
            Source::Direct => (Millis::ZERO, Some(now)),
            Source::Relayed(age) => (age, same.and_then(|k| k.direct_at)),
        };
        let shape = shape(&announcement);
        let name = announcement.name.clone();
        let record = Record { announcement, shape, sent_at: now - age, direct_at, told };
        self.records.insert(name, record);
        Taken::New
    }

    /// Returns the names of known endpoints by the hashes that stand for them in a digest.
    pub fn by_mark(&self, salt: u64) -> Map<u64, Name> {
        let marked = self.records.iter().map(|(name, record)| {
            let life = record.announcement.incarnation;
            (digest::hash(salt, Fact::Endpoint, name, life, record.shape), name.clone())
        });
        marked.collect()
    }

    /// Takes in a load of a known endpoint.
    pub fn take_load(&mut self, now: Millis, name: &Name, update: &LoadUpdate, transit: Millis) {
        let Some(record) = self.records.get_mut(name) else { return };
        let known = &mut record.announcement;
        if update.sequence <= known.sequence {
            return;
        }
        known.sequence = update.sequence;
        known.load = update.load;
        record.sent_at = now - (update.age + transit);
    }

    /// Notes that a life is leaving. Returns whether that is news.
    pub fn note_leaving(&mut self, now: Millis, notice: &LeavingNotice) -> bool {
        let known = self.leaving.get(&notice.name);
        if known.is_some_and(|k| k.incarnation >= notice.incarnation) {
            return false;
        }
        let (incarnation, gone_at) = (notice.incarnation, now + notice.left);
        let noted = Leaving { incarnation, gone_at, noted_at: now };
        self.leaving.insert(notice.name.clone(), noted);
        let ended = self.ended.entry(notice.name.clone()).or_default();
        *ended = incarnation.max(*ended);
        true
    }

    /// Forgets that a life is leaving, which only a weakening does.
    pub fn forget_leaving(&mut self, announcement: &Announcement) {
        let known = self.leaving.get(&announcement.name);
        if known.is_some_and(|k| k.incarnation == announcement.incarnation) {
            self.leaving.remove(&announcement.name);
        }
    }

    /// Returns the notice of a leaving life, as told now.
    pub fn notice(&self, now: Millis, name: &Name) -> Option<LeavingNotice> {
        let known = self.leaving.get(name)?;
        let left = known.gone_at - now;
        Some(LeavingNotice { name: name.clone(), incarnation: known.incarnation, left })
    }

    /// Forgets what endpoints said here themselves, since it may be long out of date.
    pub fn distrust(&mut self) {
        for record in self.records.values_mut() {
            record.direct_at = None;
        }
    }

    /// Tells the router what changed about one endpoint.
    pub fn settle(
        &mut self,
        now: Millis,
        name: &Name,
        confirmation: &Confirmation,
        cfg: &MemberCfg,
        out: &mut Vec<Action>,
    ) {
        let Some(record) = self.records.get_mut(name) else { return };
        let life = record.announcement.incarnation;
        let leaving = self.leaving.get(name).filter(|l| l.incarnation >= life);
        if let Some(leaving) = leaving {
            let gone = leaving.gone_at <= now;
            return record.settle_leaving(leaving.gone_at - now, gone, out);
        }
        if !record.is_usable(now, confirmation, cfg) {
            return record.settle_unusable(now, cfg, out);
        }
        let ready = Told::Ready(life, record.announcement.sequence);
        if record.told == ready {
            return;
        }
        record.told = ready;
        keep!(
            Promise::LeavingGetsNothing,
            self.ended.get(name).is_none_or(|ended| *ended < life),
            "endpoint {name} is offered in a life that is leaving"
        );
        let announcement = Announcement { leaving: None, ..record.announcement.clone() };
        out.push(Action::Use { announcement, age: now - record.sent_at });
    }

    /// Tells the router what changed by the passing of time, and forgets what is too old.
    pub fn settle_all(
        &mut self,
        now: Millis,
        confirmation: &Confirmation,
        cfg: &MemberCfg,
        out: &mut Vec<Action>,
    ) {
        let mut names: Vec<Name> = self.records.keys().cloned().collect();
        names.sort_unstable();
        for name in &names {
            self.settle(now, name, confirmation, cfg, out);
        }
        let kept = |at: Millis| now - at <= cfg.remember;
        self.records.retain(|_, r| kept(r.sent_at) || r.told != Told::Nothing);
        self.leaving.retain(|_, l| kept(l.noted_at));
        let leaving = &self.leaving;
        self.ended.retain(|name, _| leaving.contains_key(name));
    }

    /// Adds what is known here to a digest.
    pub fn mark(&self, now: Millis, cfg: &MemberCfg, digest: &mut Digest) {
        for (name, record) in self.live(now, cfg) {
            let a = &record.announcement;
            digest::mark(digest, Fact::Endpoint, name, a.incarnation, record.shape, a.sequence);
        }
        for (name, leaving) in self.told(now) {
            digest::mark(digest, Fact::Leaving, name, leaving.incarnation, 0, 0);
        }
    }

    /// Returns the announcements that a peer lacks.
    pub fn whole(&self, now: Millis, cfg: &MemberCfg, marks: &Marks) -> Vec<RelayedAnnouncement> {
        let lacking = self.live(now, cfg).filter(|(name, record)| {
            let life = record.announcement.incarnation;
            marks.sequence(Fact::Endpoint, name, life, record.shape).is_none()
        });
        let relayed = lacking.map(|(_, record)| RelayedAnnouncement {
            announcement: Announcement { leaving: None, ..record.announcement.clone() },
            age: now - record.sent_at,
        });
        relayed.collect()
    }

    /// Returns the loads of which a peer has older ones.
    pub fn loads(&self, now: Millis, cfg: &MemberCfg, marks: &Marks) -> Vec<LoadUpdate> {
        let newer = self.live(now, cfg).filter_map(|(name, record)| {
            let a = &record.announcement;
            let known = marks.sequence(Fact::Endpoint, name, a.incarnation, record.shape)?;
            digest::is_newer(a.sequence, known).then(|| LoadUpdate {
                hash: marks.hash(Fact::Endpoint, name, a.incarnation, record.shape),
                sequence: a.sequence,
                age: now - record.sent_at,
                load: a.load,
            })
        });
        newer.collect()
    }

    /// Returns the leaving lives of which a peer doesn't know.
    pub fn notices(&self, now: Millis, marks: &Marks) -> Vec<LeavingNotice> {
        let lacking = self.told(now).filter(|(name, leaving)| {
            marks.sequence(Fact::Leaving, name, leaving.incarnation, 0).is_none()
        });
        lacking.filter_map(|(name, _)| self.notice(now, name)).collect()
    }

    /// Returns the announcements that the router may choose from.
    pub fn ready(&self) -> impl Iterator<Item = &Announcement> {
        let ready = self.records.values().filter(|r| matches!(r.told, Told::Ready(..)));
        ready.map(|r| &r.announcement)
    }

    /// Returns the endpoints that the router knows as leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &Announcement> {
        let leaving = self.records.values().filter(|r| matches!(r.told, Told::Leaving(_)));
        leaving.map(|r| &r.announcement)
    }

    /// Returns whether a life is known as leaving.
    pub fn is_leaving(&self, name: &str, incarnation: Incarnation) -> bool {
        self.leaving.get(name).is_some_and(|l| l.incarnation >= incarnation)
    }

    /// Returns whether an endpoint of this name belongs to the own failure domain.
    pub fn contains(&self, name: &str) -> bool {
        self.records.contains_key(name)
    }

    fn live(&self, now: Millis, cfg: &MemberCfg) -> impl Iterator<Item = (&Name, &Record)> {
        let lease = cfg.endpoint_lease;
        self.records.iter().filter(move |(name, record)| {
            now - record.sent_at <= lease && !self.is_leaving(name, record.announcement.incarnation)
        })
    }

    fn told(&self, now: Millis) -> impl Iterator<Item = (&Name, &Leaving)> {
        self.leaving.iter().filter(move |(_, l)| now - l.noted_at <= TELL_LEAVING)
    }
}

impl Record {
    fn is_usable(&self, now: Millis, confirmation: &Confirmation, cfg: &MemberCfg) -> bool {
        // One that has peers may have missed what the endpoint told them since.
        let limit = if confirmation.is_alone { cfg.endpoint_lease } else { cfg.confirm_within };
        let direct = self.direct_at.is_some_and(|at| now - at <= limit);
        let alive = now - self.sent_at <= cfg.endpoint_lease;
        alive && (direct || confirmation.holds(now, cfg))
    }

    fn settle_leaving(&mut self, left: Millis, gone: bool, out: &mut Vec<Action>) {
        let life = self.announcement.incarnation;
        if gone {
            if self.told != Told::Nothing {
                self.told = Told::Nothing;
                self.drop_from_router(out);
            }
        } else if self.told != Told::Leaving(life) {
            self.told = Told::Leaving(life);
            let announcement = Announcement { leaving: Some(left), ..self.announcement.clone() };
            out.push(Action::Use { announcement, age: Millis::ZERO });
            let endpoint = self.announcement.name.clone();
            out.push(Action::Report(Report::EndpointLeaving { endpoint, incarnation: life }));
        }
    }

    fn settle_unusable(&mut self, now: Millis, cfg: &MemberCfg, out: &mut Vec<Action>) {
        if self.told == Told::Nothing {
            return;
        }
        self.told = Told::Nothing;
        self.drop_from_router(out);
        if now - self.sent_at > cfg.endpoint_lease {
            let endpoint = self.announcement.name.clone();
            out.push(Action::Report(Report::EndpointLost { endpoint }));
        }
    }

    fn drop_from_router(&self, out: &mut Vec<Action>) {
        let endpoint = self.announcement.name.clone();
        out.push(Action::Drop { endpoint, incarnation: self.announcement.incarnation });
    }
}

/// Returns the name of a served model or service.
pub fn served_name(served: &Servable) -> &Name {
    match served {
        Servable::Model { model, .. } => model,
        Servable::Service { service } => service,
    }
}

/// Returns the slots that an endpoint reports as free.
pub fn free_slots(announcement: &Announcement) -> u32 {
    let load = &announcement.load;
    announcement.slots.saturating_sub(load.running).saturating_sub(load.queued)
}

/// Hashes all that an announcement says beside its load.
fn shape(a: &Announcement) -> u64 {
    let place = (&a.address, &a.domain, &a.class, a.reclaimable, a.price);
    let work = (&a.serves, a.role, a.slots, a.checks_fencing);
    let speed = (a.prefill_tokens_per_s, a.decode_ms, a.cache_tokens);
    digest::shape(&(place, work, speed))
}

fn weak(cfg: &MemberCfg, weakening: Weakening) -> bool {
    cfg.weakening == weakening
}
