//! Which endpoint's software began each stream, so that a stream continues at that version wherever
//! its caller takes it up.
//!
//! An entry instance remembers the streams that it carries. While a service has, or may have, several
//! versions, it also replicates their records to a few other instances, which are drawn by the
//! stream's key, so that any instance knows which ones to ask.

use std::collections::VecDeque;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::sync::Arc;

use sill_base::{Map, Millis, Name};
use sill_wire::streams::{EntryPeer, StreamOrigin, VersionView};
use sill_wire::{RequestKey, Software};

use crate::route_history::OriginServices;

/// Longest time over which a stream is expected to be taken up. The versions of endpoints that are
/// gone count for as long.
pub const STREAM_LIFETIME: Millis = Millis(60_000);

/// Number of instances to which the record of a stream is replicated.
pub const HOLDERS: usize = 3;

/// Number of instances that are asked for a stream. The lists of the two instances may differ.
pub const ASKED: usize = HOLDERS + 1;

/// Upper bound on the streams that an instance remembers, some 3 MB.
const MAX_STREAMS: usize = 16_384;

/// Upper bound on the streams in one message.
pub const MAX_BATCH: usize = 512;

/// Age of the last word of a control instance, since it was asked for, up to which the versions before
/// are known without a gap. A new endpoint is known to all entry instances within a second.
const MAX_SILENCE: Millis = Millis(1500);

/// Returns the instances that keep a stream, in order. As far as possible they are of different
/// failure domains.
pub fn holders(stream: RequestKey, entries: &[EntryPeer], count: usize) -> Vec<&EntryPeer> {
    // The fast hasher gives similar names weights that differ alike for all streams.
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let rank = |peer: &EntryPeer| hasher.hash_one((stream, &peer.entry));
    let mut others: Vec<(u64, &EntryPeer)> =
        entries.iter().map(|peer| (rank(peer), peer)).collect();
    let mut chosen: Vec<&EntryPeer> = Vec::with_capacity(count);
    while chosen.len() < count {
        let has_peer = |domain: &Name| chosen.iter().any(|other| other.domain == *domain);
        let order =
            |(_, (rank, peer)): &(usize, &(u64, &EntryPeer))| (has_peer(&peer.domain), *rank);
        let Some((next, _)) = others.iter().enumerate().min_by_key(order) else { break };
        chosen.push(others.swap_remove(next).1);
    }
    chosen
}

/// What is known of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownStream {
    /// The endpoint that began it.
    pub origin: StreamOrigin,
    /// The entry instance that sent the record; none if this instance carries the stream.
    pub from: Option<Name>,
}

#[derive(Debug)]
struct Entry {
    origin: StreamOrigin,
    from: Option<Name>,
    recorded_at: Millis,
    expires_at: Millis,
    /// The services of its route, if this instance carries it.
    services: Arc<[Name]>,
    is_unreplicated: bool,
}

/// The streams that an entry instance carries, and replicas of the records of other instances.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    streams: Map<RequestKey, Entry>,
    /// Keys in the order in which they were recorded; some may have been recorded again since.
    order: VecDeque<(Millis, RequestKey)>,
    unreplicated: VecDeque<RequestKey>,
}

impl StreamOrigins {
    /// Records a stream that this instance carries, on a route with these services.
    pub fn record_own(&mut self, now: Millis, origin: &StreamOrigin, services: Arc<[Name]>) {
        self.record(now, origin, None);
        let Some(entry) = self.streams.get_mut(&origin.stream) else { return };
        entry.services = services;
        if !std::mem::replace(&mut entry.is_unreplicated, true) {
            self.unreplicated.push_back(origin.stream);
        }
    }

    /// Records a stream that another instance carries. Returns whether it is new.
    pub fn record_replica(&mut self, now: Millis, origin: &StreamOrigin, from: &Name) -> bool {
        self.record(now, origin, Some(from))
    }

    /// If the stream is known with another origin, two streams have the same key, and neither may
    /// be continued.
    fn record(&mut self, now: Millis, origin: &StreamOrigin, from: Option<&Name>) -> bool {
        self.expire(now);
        let expires_at = now + origin.time_left;
        if origin.time_left == Millis::ZERO {
            return false;
        }
        let known = self.streams.get_mut(&origin.stream);
        let is_new = known.is_none();
        if let Some(known) = known {
            if known.origin.service != origin.service || known.origin.software != origin.software {
                known.origin.software = Software::AMBIGUOUS;
            }
            known.expires_at = known.expires_at.max(expires_at);
            if from.is_none() {
                known.from = None;
            }
        } else {
            let entry = Entry {
                origin: origin.clone(),
                from: from.cloned(),
                recorded_at: now - origin.age,
                expires_at,
                services: Arc::default(),
                is_unreplicated: false,
            };
            self.streams.insert(origin.stream, entry);
        }
        self.order.push_back((now, origin.stream));
        while self.streams.len() > MAX_STREAMS || self.order.len() > 2 * MAX_STREAMS {
            self.remove_oldest();
        }
        is_new
    }

    /// Returns what is known of a stream.
    pub fn find(&self, now: Millis, stream: RequestKey) -> Option<KnownStream> {
        let entry = self.streams.get(&stream).filter(|entry| now < entry.expires_at)?;
        Some(KnownStream { origin: entry.origin_at(now), from: entry.from.clone() })
    }

    /// Takes the carried streams out that are not replicated yet and that `is_due` selects by the
    /// services of their routes, at most [`MAX_BATCH`].
    pub fn take_unreplicated<F>(&mut self, now: Millis, mut is_due: F) -> Vec<StreamOrigin>
    where
        F: FnMut(&[Name]) -> bool,
    {
        let mut taken = Vec::new();
        let streams = &mut self.streams;
        self.unreplicated.retain(|stream| {
            let Some(entry) = streams.get_mut(stream) else { return false };
            if now >= entry.expires_at {
                entry.is_unreplicated = false;
                return false;
            }
            if taken.len() >= MAX_BATCH || !is_due(&entry.services) {
                return true;
            }
            entry.is_unreplicated = false;
            taken.push(entry.origin_at(now));
            false
        });
        taken
    }

    /// Returns the streams that are replicated, from here or by other instances.
    pub fn replicated(&self, now: Millis) -> Vec<StreamOrigin> {
        let is_replicated = |entry: &&Entry| !entry.is_unreplicated && now < entry.expires_at;
        self.streams.values().filter(is_replicated).map(|entry| entry.origin_at(now)).collect()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Removes streams that can't be taken up any longer, as far as they are the oldest ones.
    fn expire(&mut self, now: Millis) {
        while let Some((_, stream)) = self.order.front() {
            let is_over = self.streams.get(stream).is_none_or(|entry| now >= entry.expires_at);
            if !is_over {
                return;
            }
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
        if let Some((_, stream)) = self.order.pop_front() {
            self.streams.remove(&stream);
        }
    }
}

impl Entry {
    fn origin_at(&self, now: Millis) -> StreamOrigin {
        StreamOrigin {
            age: now - self.recorded_at,
            time_left: self.expires_at - now,
            ..self.origin.clone()
        }
    }
}

/// For how long an entry instance has known of all endpoints.
#[derive(Debug, Default, Clone, Copy)]
pub struct VersionHistory {
    /// When the last reply of a control instance was asked for. It may have been read much later.
    asked_at: Option<Millis>,
    /// The time before that for which no endpoint was missed.
    span: Millis,
}

impl VersionHistory {
    /// Records a reply, asked for at `asked_at`, of a control instance that is in contact with a
    /// leader and whose records went back for `history` then.
    pub fn record_reply(&mut self, asked_at: Millis, history: Millis) {
        let last = self.asked_at.unwrap_or_default();
        // Replies may arrive in another order.
        let (asked_at, history) = (asked_at.max(last), history + (last - asked_at));
        let gap = self.asked_at.map(|at| asked_at - at);
        self.span = match gap {
            Some(gap) if gap < MAX_SILENCE || gap <= history => history.max(self.span + gap),
            _ => history,
        };
        self.asked_at = Some(asked_at);
    }

    /// Returns the time since the last reply of a control instance was asked for.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.asked_at.map(|at| now - at)
    }

    /// Returns whether no version can have been missed over the life of a stream.
    pub fn is_complete(&self, now: Millis) -> bool {
        self.asked_at.is_some_and(|at| {
            let silence = now - at;
            silence < MAX_SILENCE && self.span + silence >= STREAM_LIFETIME
        })
    }
}

/// Where a stream that a caller takes up may continue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TakeUp {
    /// At the version that began it.
    Known(KnownStream),
    /// At the only version that can have begun it.
    Single(Software),
    /// Nobody knows what began it.
    Unknown,
}

/// Decides where a stream continues by what the instances know of it that were asked, and by the
/// services that may have begun it.
pub fn decide<I>(known: Option<KnownStream>, origins: &OriginServices, views: I) -> TakeUp
where
    I: IntoIterator<Item = VersionView>,
{
    match known {
        Some(known) if known.origin.software.is_ambiguous() => return TakeUp::Unknown,
        Some(known) => return TakeUp::Known(known),
        None => {}
    }
    let view = combine_views(views);
    match &view.versions[..] {
        [single] if view.is_complete && origins.is_single() && !single.is_ambiguous() => {
            TakeUp::Single(single.clone())
        }
        _ => TakeUp::Unknown,
    }
}

/// Combines views: each may have versions that the others have missed.
pub fn combine_views<I>(views: I) -> VersionView
where
    I: IntoIterator<Item = VersionView>,
{
    let mut all = VersionView::default();
    for view in views {
        all.versions.extend(view.versions);
        all.is_complete |= view.is_complete;
    }
    all.versions.sort();
    all.versions.dedup();
    all
}

/// Returns whether any instance can tell which version began a stream of the viewed services.
pub fn is_single(view: &VersionView) -> bool {
    view.is_complete && matches!(&view.versions[..], [only] if !only.is_ambiguous())
}
