//! Keeps the settings up to date by waiting calls to whoever stands above in the fan-out tree, and
//! passes them on to those below.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use rustc_hash::FxHashMap;
use sill_base::{Map, Millis, Name, event};
use sill_net::{PeerClient, PeerError};
use sill_wire::Announcement;
use sill_wire::control::EndpointStatus;
use sill_wire::feed::{DomainEndpoints, FeedPoll, FeedReply, RunningRevision};
use tokio::sync::Notify;

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

/// Time between two reports of the domain's endpoints.
const REPORT_EVERY: Millis = Millis(5000);

/// How long news from below are gathered before they are passed on.
const GATHER: Millis = Millis(100);

/// How long one that asked counts as fed from here.
const BELOW_FOR: Millis = Millis(10_000);

/// What the feed of one entry instance keeps besides the settings.
#[derive(Debug, Default)]
pub struct Feed {
    /// When a parent that is itself in touch last answered.
    fed_at: Mutex<Option<Millis>>,
    below: Mutex<Map<Name, Below>>,
    news: Notify,
}

/// What one below runs, and when it said so.
#[derive(Debug)]
struct Below {
    running: RunningRevision,
    said_at: Millis,
}

impl Feed {
    /// Returns how long ago a parent that is itself in touch answered.
    pub fn fed_ago(&self, now: Millis) -> Option<Millis> {
        self.fed_at.lock().map(|at| now - at)
    }

    fn is_attached(&self, now: Millis) -> bool {
        self.fed_ago(now).is_some_and(|span| span <= ATTACHED_FOR)
    }

    fn note_below(&self, now: Millis, poll: &FeedPoll) {
        let own = RunningRevision {
            entry: poll.entry.clone(),
            domain: poll.domain.clone(),
            revision: poll.have,
            age: Millis::ZERO,
        };
        let mut below = self.below.lock();
        let mut is_news = false;
        for running in poll.subscribers.iter().chain([&own]) {
            let said_at = now - running.age;
            let known = below.get(&running.entry);
            if known.is_some_and(|k| k.said_at > said_at) {
                continue;
            }
            is_news |= known.is_none_or(|k| k.running.revision != running.revision);
            let noted = Below { running: running.clone(), said_at };
            below.insert(running.entry.clone(), noted);
        }
        if is_news {
            self.news.notify_one();
        }
    }

    /// Returns what those run that were fed from here lately.
    fn below(&self, now: Millis) -> Vec<RunningRevision> {
        let mut below = self.below.lock();
        below.retain(|_, b| now - b.said_at <= BELOW_FOR);
        let aged = |b: &Below| RunningRevision { age: now - b.said_at, ..b.running.clone() };
        let mut running: Vec<RunningRevision> = below.values().map(aged).collect();
        running.sort_by(|a, b| a.entry.cmp(&b.entry));
        running
    }

    /// Waits until one below runs another revision, and a little longer for the others.
    ///
    /// An operator who waits until a change is in force would otherwise wait for the end of the
    /// polls of each level.
    async fn news_from_below(&self) {
        self.news.notified().await;
        tokio::time::sleep(GATHER.into()).await;
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
    let mut was_cut = false;
    let mut reported_at = None;
    loop {
        let Some(address) = next_address(&shared, &mut parents) else {
            parents.note(shared.clock.now(), Outcome::Failed);
            tokio::time::sleep(RETRY.into()).await;
            continue;
        };
        let client = clients
            .entry(address)
            .or_insert_with(|| PeerClient::new(address, &cfg.cluster_key, WAIT + GRACE));
        let poll = FeedPoll { endpoints: report_due(&shared, &mut reported_at), ..poll(&shared) };
        // Two in a row are not cut short, or steady news from below would keep changes out.
        let result = tokio::select! {
            result = client.call(&poll) => result,
            () = shared.feed.news_from_below(), if !was_cut => {
                was_cut = true;
                continue;
            }
        };
        was_cut = false;
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
        subscribers: shared.feed.below(shared.clock.now()),
        endpoints: None,
    }
}

/// Returns the endpoints of the domain, where this instance is the first in the tree and has not
/// reported them for a while.
fn report_due(shared: &Shared, reported_at: &mut Option<Millis>) -> Option<DomainEndpoints> {
    let now = shared.clock.now();
    let is_due = reported_at.is_none_or(|at| now - at >= REPORT_EVERY);
    let (_, place) = shared.members.feed_tree();
    if !is_due || place != 0 {
        return None;
    }
    *reported_at = Some(now);
    let status = |a: &Announcement, state: &str| EndpointStatus {
        name: a.name.clone(),
        domain: a.domain.clone(),
        state: state.into(),
        running: a.load.running,
        slots: a.slots,
    };
    let (ready, leaving) = (shared.members.ready(), shared.members.leaving());
    let ready = ready.iter().map(|a| status(a, "ready"));
    let endpoints = ready.chain(leaving.iter().map(|a| status(a, "leaving")));
    let (domain, age) = (shared.cfg.domain.clone(), Millis::ZERO);
    Some(DomainEndpoints { domain, age, endpoints: endpoints.collect() })
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
