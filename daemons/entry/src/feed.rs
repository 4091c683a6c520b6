//! Keeps the settings up to date by waiting calls to whoever stands above in the fan-out tree, and
//! passes them on to those below.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use sill_base::{Map, Millis, Name, event};
use sill_net::{PeerClient, PeerError};
use sill_wire::feed::{FeedPoll, FeedReply, RunningRevision};

use crate::copy::SettingsCopy;
use crate::daemon::Shared;
use crate::parents::{Outcome, Parent, Parents};
use crate::settings::{Held, Refused, Settings, Taken};

/// How long a poll waits for something newer. A parent that is cut off without a word is noticed
/// after this time, which has to leave room for another try inside the six seconds promised.
const WAIT: Millis = Millis(2000);

/// How much longer than its wait a poll may take.
const GRACE: Millis = Millis(500);

/// Pauses after a failure: the first, and the longest after many in a row.
const RETRY: Millis = Millis(100);
const RETRY_MAX: Millis = Millis(2000);

/// How long one that was fed itself tells those below that nothing is newer.
const ATTACHED_FOR: Millis = Millis(4000);

/// How long one that asked counts as fed from here.
const BELOW_FOR: Millis = Millis(10_000);

/// What the feed of one entry instance keeps besides the settings.
#[derive(Debug, Default)]
pub struct Feed {
    /// When a parent that is itself in touch last answered.
    fed_at: Mutex<Option<Millis>>,
    below: Mutex<Map<Name, Below>>,
}

#[derive(Debug)]
struct Below {
    running: Vec<RunningRevision>,
    heard_at: Millis,
}

impl Feed {
    fn is_attached(&self, now: Millis) -> bool {
        self.fed_at.lock().is_some_and(|at| now - at <= ATTACHED_FOR)
    }

    fn note_below(&self, now: Millis, poll: &FeedPoll) {
        let own = RunningRevision {
            entry: poll.entry.clone(),
            domain: poll.domain.clone(),
            revision: poll.have,
        };
        let mut running = vec![own];
        running.extend(poll.below.iter().cloned());
        self.below.lock().insert(poll.entry.clone(), Below { running, heard_at: now });
    }

    /// Returns what those run that were fed from here lately, each once.
    fn below(&self, now: Millis) -> Vec<RunningRevision> {
        let mut below = self.below.lock();
        below.retain(|_, b| now - b.heard_at <= BELOW_FOR);
        let mut running: Vec<RunningRevision> =
            below.values().flat_map(|b| b.running.iter().cloned()).collect();
        running.sort_by(|a, b| (&a.entry, b.revision).cmp(&(&b.entry, a.revision)));
        running.dedup_by(|a, b| a.entry == b.entry);
        running
    }
}

/// Reads the own copy, if there is one that can be read.
pub fn read_copy(copy: Option<&SettingsCopy>) -> Held {
    let Some(copy) = copy else { return Held::default() };
    match copy.read() {
        Ok(None) => Held::default(),
        Ok(Some(snapshot)) => {
            let Taken { next, refused } = Held::default().follow(snapshot);
            if let Some(refused) = refused {
                event!(Error, "settings_copy_refused", reason = refused);
            }
            next.unwrap_or_default()
        }
        Err(err) => {
            event!(Error, "settings_copy_unreadable", error = err);
            Held::default()
        }
    }
}

/// Asks for settings until the process ends.
pub async fn run(shared: Arc<Shared>, copy: Option<SettingsCopy>) {
    let cfg = &shared.cfg;
    let mut parents = Parents::new(cfg.control.len(), shared.incarnation.0);
    let mut clients: FxHashMap<SocketAddr, PeerClient> = FxHashMap::default();
    let mut pause = RETRY;
    loop {
        let Some(address) = next_address(&shared, &mut parents) else {
            parents.note(shared.clock.now(), Outcome::Failed);
            tokio::time::sleep(RETRY.into()).await;
            continue;
        };
        let client = clients
            .entry(address)
            .or_insert_with(|| PeerClient::new(address, &cfg.cluster_key, WAIT + GRACE));
        let result = client.call(&poll(&shared)).await;
        let outcome = taken(&shared, copy.as_ref(), address, result).await;
        parents.note(shared.clock.now(), outcome);
        if outcome == Outcome::Fed {
            *shared.feed.fed_at.lock() = Some(shared.clock.now());
            pause = RETRY;
        } else {
            tokio::time::sleep(pause.into()).await;
            pause = (pause * 2).min(RETRY_MAX);
        }
    }
}

fn next_address(shared: &Shared, parents: &mut Parents) -> Option<SocketAddr> {
    let (ranked, place) = shared.members.feed_tree();
    match parents.next(shared.clock.now(), &ranked, place)? {
        Parent::Peer(address) => address.parse().ok(),
        Parent::Control(index) => shared.cfg.control.get(index).copied(),
    }
}

fn poll(shared: &Shared) -> FeedPoll {
    FeedPoll {
        entry: shared.cfg.name.clone(),
        incarnation: shared.incarnation,
        domain: shared.cfg.domain.clone(),
        have: shared.settings.revision(),
        wait: WAIT,
        below: shared.feed.below(shared.clock.now()),
    }
}

async fn taken(
    shared: &Shared,
    copy: Option<&SettingsCopy>,
    from: SocketAddr,
    result: Result<FeedReply, PeerError>,
) -> Outcome {
    let reply = match result {
        Ok(FeedReply::Empty) => return Outcome::Failed,
        Ok(reply) => reply,
        Err(err) => {
            event!(Debug, "feed_unreachable", address = from, error = err);
            return Outcome::Failed;
        }
    };
    let Taken { next, refused } = shared.settings.held().follow(reply);
    if let Some(next) = next {
        put_in_force(&shared.settings, copy, next).await;
    }
    match refused {
        None => Outcome::Fed,
        Some(refused) => {
            report(from, &refused);
            Outcome::Failed
        }
    }
}

/// Puts settings in force, once the own copy holds them: one that ran a revision must not run an
/// older one after a restart in a domain that is cut off.
async fn put_in_force(settings: &Settings, copy: Option<&SettingsCopy>, next: Held) {
    let revision = next.revision();
    if let Some(copy) = copy.cloned() {
        let snapshot = next.snapshot();
        let written = tokio::task::spawn_blocking(move || copy.write(&snapshot)).await;
        // The fleet's word goes before the copy: a full disk must not keep old settings in force.
        if let Err(err) = written.unwrap_or_else(|err| Err(std::io::Error::other(err))) {
            event!(Error, "settings_copy_not_written", revision = revision.0, error = err);
        }
    }
    settings.put_in_force(next);
    event!(Info, "settings_in_force", revision = revision.0);
}

fn report(from: SocketAddr, refused: &Refused) {
    match refused {
        Refused::Older { .. } => {
            event!(Warn, "settings_refused", from = from, reason = refused);
        }
        Refused::Gap { .. } | Refused::Unreadable { .. } => {
            event!(Error, "settings_refused", from = from, reason = refused);
        }
    }
}

/// Answers the poll of a peer that stands below, at once when something is newer or this instance
/// is itself cut off, else after the wait.
///
/// # Errors
///
/// Never fails; the type is what peer calls ask for.
pub async fn answer(shared: Arc<Shared>, poll: FeedPoll) -> Result<FeedReply, PeerError> {
    shared.feed.note_below(shared.clock.now(), &poll);
    let mut newest = shared.settings.watch();
    let end = tokio::time::Instant::now() + std::time::Duration::from(poll.wait);
    loop {
        let held = shared.settings.held();
        let is_behind = held.revision() < poll.have;
        if is_behind || !shared.feed.is_attached(shared.clock.now()) {
            let newer = held.newer_than(poll.have);
            return Ok(if newer == FeedReply::Current { FeedReply::Empty } else { newer });
        }
        let newer = held.newer_than(poll.have);
        if newer != FeedReply::Current {
            return Ok(newer);
        }
        if tokio::time::timeout_at(end, newest.changed()).await.is_err() {
            return Ok(FeedReply::Current);
        }
    }
}
