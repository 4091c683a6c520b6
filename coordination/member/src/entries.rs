//! Entry instances of the own failure domain.

use sill_base::{Map, Millis, Name};
use sill_wire::member::{Digest, EntryInfo, Heartbeat, RelayedEntry};

use crate::cfg::MemberCfg;
use crate::digest::{self, Fact, Marks, rendezvous};
use crate::event::{Action, Report};

/// How long a peer that did not answer is left out of the choice, where there are others.
const AVOID: Millis = Millis(3000);

/// The table; this instance is not in it.
#[derive(Debug, Default)]
pub struct Entries {
    records: Map<Name, Record>,
}

#[derive(Debug)]
struct Record {
    info: EntryInfo,
    heard_at: Millis,
    failed_at: Option<Millis>,
    is_suspect: bool,
}

impl Entries {
    /// Takes in what an entry instance said about itself `age` ago at most.
    pub fn take(&mut self, now: Millis, info: EntryInfo, age: Millis, out: &mut Vec<Action>) {
        let known = self.records.get(&info.name);
        let version = |i: &EntryInfo| (i.incarnation, i.sequence);
        if known.is_some_and(|k| version(&k.info) >= version(&info)) {
            return;
        }
        let is_same_life = known.is_some_and(|k| k.info.incarnation == info.incarnation);
        let failed_at = known.filter(|_| is_same_life).and_then(|k| k.failed_at);
        if !is_same_life || known.is_some_and(|k| k.is_suspect) {
            out.push(Action::Report(Report::EntryJoined { entry: info.name.clone() }));
        }
        let heard_at = now - age;
        let name = info.name.clone();
        self.records.insert(name, Record { info, heard_at, failed_at, is_suspect: false });
    }

    /// Takes in signs of life of known entry instances, named by the hashes of a digest.
    pub fn take_heartbeats(
        &mut self,
        now: Millis,
        salt: u64,
        beats: &[Heartbeat],
        transit: Millis,
    ) {
        let by_mark: Map<u64, &Heartbeat> = beats.iter().map(|beat| (beat.hash, beat)).collect();
        for record in self.records.values_mut() {
            let info = &mut record.info;
            let mark = digest::hash(salt, Fact::Entry, &info.name, info.incarnation, shape(info));
            let Some(beat) = by_mark.get(&mark) else { continue };
            if beat.sequence > info.sequence {
                info.sequence = beat.sequence;
                record.heard_at = now - (beat.age + transit);
            }
        }
    }

    /// Notes that a peer answered.
    pub fn note_answer(&mut self, name: &Name) {
        if let Some(record) = self.records.get_mut(name) {
            record.failed_at = None;
        }
    }

    /// Notes that a peer did not answer.
    pub fn note_failure(&mut self, now: Millis, peer: &Name) {
        let record = self.records.values_mut().find(|r| r.info.peer_address == *peer);
        if let Some(record) = record {
            record.failed_at = Some(now);
        }
    }

    /// Suspects those not heard of, and drops them later.
    pub fn expire(&mut self, now: Millis, cfg: &MemberCfg, out: &mut Vec<Action>) {
        for record in self.records.values_mut() {
            if !record.is_suspect && now - record.heard_at > cfg.suspect_after {
                record.is_suspect = true;
                let entry = record.info.name.clone();
                out.push(Action::Report(Report::EntrySuspected { entry }));
            }
            record.is_suspect &= now - record.heard_at > cfg.suspect_after;
        }
        self.records.retain(|_, r| now - r.heard_at <= cfg.drop_after);
    }

    /// Returns whether no other entry instance of the domain is known, not even a suspected one.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the live ones that are not leaving, in the order of their names.
    pub fn live(&self, now: Millis, cfg: &MemberCfg) -> Vec<&EntryInfo> {
        let live = self.records.values().filter(|r| r.is_live(now, cfg));
        let mut live: Vec<&EntryInfo> = live.map(|r| &r.info).collect();
        live.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns addresses to ask: live ones that answered lately, or else all live ones.
    pub fn askable(&self, now: Millis, cfg: &MemberCfg) -> Vec<Name> {
        let answers = |r: &&Record| r.failed_at.is_none_or(|at| now - at > AVOID);
        let live = || self.records.values().filter(|r| r.is_live(now, cfg));
        let mut askable: Vec<Name> =
            live().filter(answers).map(|r| r.info.peer_address.clone()).collect();
        if askable.is_empty() {
            askable = live().map(|r| r.info.peer_address.clone()).collect();
        }
        askable.sort_unstable();
        askable
    }

    /// Returns whether an address belongs to a live entry instance.
    pub fn has_address(&self, now: Millis, cfg: &MemberCfg, address: &Name) -> bool {
        self.records.values().any(|r| r.is_live(now, cfg) && r.info.peer_address == *address)
    }

    /// Returns addresses of suspected entry instances, which may be back.
    pub fn suspected(&self) -> impl Iterator<Item = &Name> {
        self.records.values().filter(|r| r.is_suspect).map(|r| &r.info.peer_address)
    }

    /// Adds what is known here to a digest.
    pub fn mark(&self, now: Millis, cfg: &MemberCfg, digest: &mut Digest) {
        for info in self.recent(now, cfg).map(|r| &r.info) {
            let (life, sequence) = (info.incarnation, info.sequence);
            digest::mark(digest, Fact::Entry, &info.name, life, shape(info), sequence);
        }
    }

    /// Returns the entry instances that a peer lacks.
    pub fn whole(&self, now: Millis, cfg: &MemberCfg, marks: &Marks) -> Vec<RelayedEntry> {
        let lacking = self.recent(now, cfg).filter(|r| known(marks, &r.info).is_none());
        let relayed = lacking.map(|r| RelayedEntry { info: r.info.clone(), age: now - r.heard_at });
        relayed.collect()
    }

    /// Returns the signs of life of which a peer has older ones.
    pub fn heartbeats(&self, now: Millis, cfg: &MemberCfg, marks: &Marks) -> Vec<Heartbeat> {
        let newer = self.recent(now, cfg).filter_map(|r| {
            let info = &r.info;
            digest::is_newer(info.sequence, known(marks, info)?).then(|| Heartbeat {
                hash: marks.hash(Fact::Entry, &info.name, info.incarnation, shape(info)),
                sequence: info.sequence,
                age: now - r.heard_at,
            })
        });
        newer.collect()
    }

    fn recent(&self, now: Millis, cfg: &MemberCfg) -> impl Iterator<Item = &Record> {
        let limit = cfg.suspect_after;
        self.records.values().filter(move |r| now - r.heard_at <= limit)
    }
}

impl Record {
    fn is_live(&self, now: Millis, cfg: &MemberCfg) -> bool {
        now - self.heard_at <= cfg.suspect_after && self.info.leaving.is_none()
    }
}

/// Orders entry instances for a key, the same at every instance that knows the same ones.
pub fn ranked<'a>(key: &str, mut infos: Vec<&'a EntryInfo>) -> Vec<&'a EntryInfo> {
    infos.sort_by_cached_key(|info| (rendezvous(key, &info.name), info.name.clone()));
    infos
}

fn known(marks: &Marks, info: &EntryInfo) -> Option<u8> {
    marks.sequence(Fact::Entry, &info.name, info.incarnation, shape(info))
}

/// Returns what tells reports of one life apart that peers must get whole.
pub fn shape(info: &EntryInfo) -> u64 {
    u64::from(info.leaving.is_some())
}
