//! Entry instances of the own failure domain.

use sill_base::{Map, Millis, Name};
use sill_wire::member::{Digest, EntryInfo, Heartbeat, RelayedEntry};

use crate::cfg::MemberCfg;
use crate::digest::{self, DigestIndex, FactKind, rendezvous};
use crate::event::{Action, Report};

/// How long a peer whose request failed is not chosen for gossip while there are other live peers.
const FAILED_PEER_BACKOFF: Millis = Millis(3000);

/// The known entry instances of the failure domain, without this one.
#[derive(Debug, Default)]
pub struct EntryTable {
    records: Map<Name, Record>,
}

#[derive(Debug)]
struct Record {
    info: EntryInfo,
    /// When the entry instance sent its latest report or heartbeat, at the earliest.
    last_seen: Millis,
    /// When the last request to it failed; none if it replied since.
    failed_at: Option<Millis>,
    is_suspect: bool,
}

impl EntryTable {
    /// Applies what an entry instance reported about itself at most `age` ago, if it is newer than
    /// the record.
    pub fn apply(&mut self, now: Millis, info: EntryInfo, age: Millis, out: &mut Vec<Action>) {
        let known = self.records.get(&info.name);
        let version = |i: &EntryInfo| (i.incarnation, i.sequence);
        if known.is_some_and(|k| version(&k.info) >= version(&info)) {
            return;
        }
        let is_same_incarnation = known.is_some_and(|k| k.info.incarnation == info.incarnation);
        let failed_at = known.filter(|_| is_same_incarnation).and_then(|k| k.failed_at);
        if !is_same_incarnation || known.is_some_and(|k| k.is_suspect) {
            out.push(Action::Report(Report::EntryJoined { entry: info.name.clone() }));
        }
        let last_seen = now - age;
        let name = info.name.clone();
        self.records.insert(name, Record { info, last_seen, failed_at, is_suspect: false });
    }

    /// Applies heartbeats of known entry instances, identified by their hash with the salt of the
    /// digest to which the heartbeats reply.
    pub fn apply_heartbeats(
        &mut self,
        now: Millis,
        salt: u64,
        heartbeats: &[Heartbeat],
        transit: Millis,
    ) {
        let by_hash: Map<u64, &Heartbeat> = heartbeats.iter().map(|h| (h.hash, h)).collect();
        for record in self.records.values_mut() {
            let info = &mut record.info;
            let hash = digest::fact_hash(
                salt,
                FactKind::Entry,
                &info.name,
                info.incarnation,
                content_hash(info),
            );
            let Some(heartbeat) = by_hash.get(&hash) else { continue };
            if heartbeat.sequence > info.sequence {
                info.sequence = heartbeat.sequence;
                record.last_seen = now - (heartbeat.age + transit);
            }
        }
    }

    /// Records that a peer replied.
    pub fn record_reply(&mut self, name: &Name) {
        if let Some(record) = self.records.get_mut(name) {
            record.failed_at = None;
        }
    }

    /// Records that a request to a peer failed.
    pub fn record_failure(&mut self, now: Millis, peer: &Name) {
        let record = self.records.values_mut().find(|r| r.info.peer_address == *peer);
        if let Some(record) = record {
            record.failed_at = Some(now);
        }
    }

    /// Suspects entry instances without a heartbeat for `suspect_after`, and removes those without
    /// one for `drop_after`.
    pub fn expire(&mut self, now: Millis, cfg: &MemberCfg, out: &mut Vec<Action>) {
        for record in self.records.values_mut() {
            if !record.is_suspect && now - record.last_seen > cfg.suspect_after {
                record.is_suspect = true;
                let entry = record.info.name.clone();
                out.push(Action::Report(Report::EntrySuspected { entry }));
            }
            record.is_suspect &= now - record.last_seen > cfg.suspect_after;
        }
        self.records.retain(|_, r| now - r.last_seen <= cfg.drop_after);
    }

    /// Returns whether no other entry instance of the domain is known, suspected ones included.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the live entry instances that are not leaving, sorted by name.
    pub fn live(&self, now: Millis, cfg: &MemberCfg) -> Vec<&EntryInfo> {
        let live = self.records.values().filter(|r| r.is_live(now, cfg));
        let mut live: Vec<&EntryInfo> = live.map(|r| &r.info).collect();
        live.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        live
    }

    /// Returns the peer addresses to choose from for gossip: of live entry instances without a
    /// recent failure, or of all live ones if each failed recently.
    pub fn sync_candidates(&self, now: Millis, cfg: &MemberCfg) -> Vec<Name> {
        let is_reachable =
            |r: &&Record| r.failed_at.is_none_or(|at| now - at > FAILED_PEER_BACKOFF);
        let live = || self.records.values().filter(|r| r.is_live(now, cfg));
        let mut candidates: Vec<Name> =
            live().filter(is_reachable).map(|r| r.info.peer_address.clone()).collect();
        if candidates.is_empty() {
            candidates = live().map(|r| r.info.peer_address.clone()).collect();
        }
        candidates.sort_unstable();
        candidates
    }

    /// Returns whether a peer address belongs to a live entry instance.
    pub fn has_live_address(&self, now: Millis, cfg: &MemberCfg, address: &Name) -> bool {
        self.records.values().any(|r| r.is_live(now, cfg) && r.info.peer_address == *address)
    }

    /// Returns the peer addresses of suspected entry instances, which may have recovered.
    pub fn suspect_addresses(&self) -> impl Iterator<Item = &Name> {
        self.records.values().filter(|r| r.is_suspect).map(|r| &r.info.peer_address)
    }

    /// Appends the recently seen entry instances to a digest.
    pub fn append_to(&self, now: Millis, cfg: &MemberCfg, digest: &mut Digest) {
        for info in self.recent(now, cfg).map(|r| &r.info) {
            let (incarnation, sequence) = (info.incarnation, info.sequence);
            digest::append_fact(
                digest,
                FactKind::Entry,
                &info.name,
                incarnation,
                content_hash(info),
                sequence,
            );
        }
    }

    /// Returns the entry instances that a digest lacks.
    pub fn missing_from(
        &self,
        now: Millis,
        cfg: &MemberCfg,
        index: &DigestIndex,
    ) -> Vec<RelayedEntry> {
        let missing = self.recent(now, cfg).filter(|r| known_sequence(index, &r.info).is_none());
        let relayed =
            missing.map(|r| RelayedEntry { info: r.info.clone(), age: now - r.last_seen });
        relayed.collect()
    }

    /// Returns the heartbeats of entry instances that a digest lists with an older sequence number.
    pub fn newer_heartbeats(
        &self,
        now: Millis,
        cfg: &MemberCfg,
        index: &DigestIndex,
    ) -> Vec<Heartbeat> {
        let newer = self.recent(now, cfg).filter_map(|r| {
            let info = &r.info;
            digest::is_newer(info.sequence, known_sequence(index, info)?).then(|| Heartbeat {
                hash: index.fact_hash(
                    FactKind::Entry,
                    &info.name,
                    info.incarnation,
                    content_hash(info),
                ),
                sequence: info.sequence,
                age: now - r.last_seen,
            })
        });
        newer.collect()
    }

    fn recent(&self, now: Millis, cfg: &MemberCfg) -> impl Iterator<Item = &Record> {
        let limit = cfg.suspect_after;
        self.records.values().filter(move |r| now - r.last_seen <= limit)
    }
}

impl Record {
    fn is_live(&self, now: Millis, cfg: &MemberCfg) -> bool {
        now - self.last_seen <= cfg.suspect_after && self.info.leaving.is_none()
    }
}

/// Sorts entry instances by their rendezvous hash with a key. Instances that know the same ones get
/// the same order.
pub fn rank<'a>(key: &str, mut infos: Vec<&'a EntryInfo>) -> Vec<&'a EntryInfo> {
    infos.sort_by_cached_key(|info| (rendezvous(key, &info.name), info.name.clone()));
    infos
}

fn known_sequence(index: &DigestIndex, info: &EntryInfo) -> Option<u8> {
    index.known_sequence(FactKind::Entry, &info.name, info.incarnation, content_hash(info))
}

/// Returns a value that changes when peers must receive an entry instance in full again, not just
/// its heartbeat, within one incarnation.
pub fn content_hash(info: &EntryInfo) -> u64 {
    u64::from(info.leaving.is_some())
}
