//! Propagation of settings over the fan-out tree: an entry instance fetches them from its parent by
//! long polls and serves the polls of its children.

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
use crate::parents::{Outcome, Parent, ParentSelector};
use crate::settings::{ApplyError, ApplyOutcome, Settings, SettingsState};

/// How long a poll waits for a newer revision. A parent that is partitioned without an error is
/// detected after this time, which has to leave time for another attempt within the six seconds in
/// which a change is guaranteed to be active.
const POLL_WAIT: Millis = Millis(2000);

/// How much longer than [`POLL_WAIT`] a poll may take before it times out.
const POLL_GRACE: Millis = Millis(500);

/// Backoff after a failed poll: the initial delay, and the limit to which it doubles.
const MIN_BACKOFF: Millis = Millis(100);
const MAX_BACKOFF: Millis = Millis(2000);

/// How long after its last contact an instance may tell its children that nothing is newer.
const CONNECTED_TIMEOUT: Millis = Millis(4000);

/// Time between two reports of the failure domain's endpoints to the control instances.
const REPORT_INTERVAL: Millis = Millis(5000);

/// How long changed revisions of descendants are batched before they are reported to the parent.
const REPORT_BATCH_DELAY: Millis = Millis(100);

/// Time without a report after which an instance is no longer counted as a descendant.
const DESCENDANT_TIMEOUT: Millis = Millis(10_000);

/// State of the settings propagation of one entry instance, besides the settings themselves.
#[derive(Debug, Default)]
pub struct Feed {
    /// When a parent that has contact with the control instances last answered.
    last_contact: Mutex<Option<Millis>>,
    descendants: Mutex<Map<Name, Descendant>>,
    descendant_changed: Notify,
}

/// The revision that a descendant in the fan-out tree runs, and when it reported it.
#[derive(Debug)]
struct Descendant {
    running: RunningRevision,
    reported_at: Millis,
}

impl Feed {
    /// Returns the time since a parent that has contact with the control instances answered, or
    /// none if none has yet.
    pub fn time_since_contact(&self, now: Millis) -> Option<Millis> {
        self.last_contact.lock().map(|at| now - at)
    }

    fn is_connected(&self, now: Millis) -> bool {
        self.time_since_contact(now).is_some_and(|span| span <= CONNECTED_TIMEOUT)
    }

    fn record_descendants(&self, now: Millis, poll: &FeedPoll) {
        let own = RunningRevision {
            entry: poll.entry.clone(),
            domain: poll.domain.clone(),
            revision: poll.have,
            age: Millis::ZERO,
        };
        let mut descendants = self.descendants.lock();
        let mut has_changed = false;
        for running in poll.subscribers.iter().chain([&own]) {
            let reported_at = now - running.age;
            let previous = descendants.get(&running.entry);
            if previous.is_some_and(|p| p.reported_at > reported_at) {
                continue;
            }
            has_changed |= previous.is_none_or(|p| p.running.revision != running.revision);
            let descendant = Descendant { running: running.clone(), reported_at };
            descendants.insert(running.entry.clone(), descendant);
        }
        if has_changed {
            self.descendant_changed.notify_one();
        }
    }

    /// Returns the revisions of all descendants that reported within [`DESCENDANT_TIMEOUT`].
    fn descendants(&self, now: Millis) -> Vec<RunningRevision> {
        let mut descendants = self.descendants.lock();
        descendants.retain(|_, d| now - d.reported_at <= DESCENDANT_TIMEOUT);
        let report =
            |d: &Descendant| RunningRevision { age: now - d.reported_at, ..d.running.clone() };
        let mut running: Vec<RunningRevision> = descendants.values().map(report).collect();
        running.sort_by(|a, b| a.entry.cmp(&b.entry));
        running
    }

    /// Waits until the revision of a descendant changes, and then
    /// [`REPORT_BATCH_DELAY`] for changes of others.
    ///
    /// Without it, an operator who waits until a change is active would wait for the polls of every
    /// level of the tree to end.
    async fn descendant_change(&self) {
        self.descendant_changed.notified().await;
        tokio::time::sleep(REPORT_BATCH_DELAY.into()).await;
    }
}

/// Reads the local copy of the settings. Returns the empty state if there is no readable copy.
pub fn read_copy(copy: Option<&SettingsCopy>) -> SettingsState {
    let Some(copy) = copy else { return SettingsState::default() };
    match copy.read() {
        Ok(None) => SettingsState::default(),
        Ok(Some(snapshot)) => {
            let ApplyOutcome { next, error } = SettingsState::default().apply(snapshot);
            if let Some(error) = error {
                event!(Error, "settings_copy_refused", reason = error);
            }
            next.unwrap_or_default()
        }
        Err(err) => {
            event!(Error, "settings_copy_unreadable", error = err);
            SettingsState::default()
        }
    }
}

/// Polls parents for settings until the process ends.
pub async fn run(shared: Arc<Shared>, copy: Option<SettingsCopy>) {
    let cfg = &shared.cfg;
    let mut parents = ParentSelector::new(cfg.control.len(), shared.incarnation.0);
    let mut clients: FxHashMap<SocketAddr, PeerClient> = FxHashMap::default();
    let mut backoff = MIN_BACKOFF;
    let mut was_interrupted = false;
    let mut reported_at = None;
    loop {
        let Some(address) = next_address(&shared, &mut parents) else {
            parents.record(shared.clock.now(), Outcome::Failed);
            tokio::time::sleep(MIN_BACKOFF.into()).await;
            continue;
        };
        let client = clients
            .entry(address)
            .or_insert_with(|| PeerClient::new(address, &cfg.cluster_key, POLL_WAIT + POLL_GRACE));
        let poll =
            FeedPoll { endpoints: due_report(&shared, &mut reported_at), ..build_poll(&shared) };
        // Of two consecutive polls at most one is interrupted. Otherwise frequent changes of
        // descendants would keep new settings from arriving.
        let result = tokio::select! {
            result = client.call(&poll) => result,
            () = shared.feed.descendant_change(), if !was_interrupted => {
                was_interrupted = true;
                continue;
            }
        };
        was_interrupted = false;
        let outcome = apply_reply(&shared, copy.as_ref(), address, result).await;
        parents.record(shared.clock.now(), outcome);
        if outcome == Outcome::Fed {
            *shared.feed.last_contact.lock() = Some(shared.clock.now());
            backoff = MIN_BACKOFF;
        } else {
            tokio::time::sleep(backoff.into()).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

fn next_address(shared: &Shared, parents: &mut ParentSelector) -> Option<SocketAddr> {
    let (ranked, place) = shared.members.feed_tree();
    match parents.next(shared.clock.now(), &ranked, place)? {
        Parent::Peer(address) => address.parse().ok(),
        Parent::Control(index) => shared.cfg.control.get(index).copied(),
    }
}

fn build_poll(shared: &Shared) -> FeedPoll {
    FeedPoll {
        entry: shared.cfg.name.clone(),
        incarnation: shared.incarnation,
        domain: shared.cfg.domain.clone(),
        have: shared.settings.revision(),
        wait: POLL_WAIT,
        subscribers: shared.feed.descendants(shared.clock.now()),
        endpoints: None,
    }
}

/// Returns the endpoints of the failure domain, if this instance is the first in the tree and its
/// last report is at least [`REPORT_INTERVAL`] old.
fn due_report(shared: &Shared, reported_at: &mut Option<Millis>) -> Option<DomainEndpoints> {
    let now = shared.clock.now();
    let is_due = reported_at.is_none_or(|at| now - at >= REPORT_INTERVAL);
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

async fn apply_reply(
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
    let ApplyOutcome { next, error } = shared.settings.state().apply(reply);
    if let Some(next) = next {
        persist_and_activate(&shared.settings, copy, next).await;
    }
    match error {
        None => Outcome::Fed,
        Some(error) => {
            log_apply_error(from, &error);
            Outcome::Failed
        }
    }
}

/// Activates settings after they were written to the local copy: an instance that ran a revision
/// must not run an older one after a restart in a partitioned failure domain.
async fn persist_and_activate(
    settings: &Settings,
    copy: Option<&SettingsCopy>,
    next: SettingsState,
) {
    let revision = next.revision();
    if let Some(copy) = copy.cloned() {
        let snapshot = next.snapshot();
        let written = tokio::task::spawn_blocking(move || copy.write(&snapshot)).await;
        // A failed write does not prevent activation: a full disk must not keep old settings
        // active.
        if let Err(err) = written.unwrap_or_else(|err| Err(std::io::Error::other(err))) {
            event!(Error, "settings_copy_not_written", revision = revision.0, error = err);
        }
    }
    settings.activate(next);
    event!(Info, "settings_in_force", revision = revision.0);
}

fn log_apply_error(from: SocketAddr, error: &ApplyError) {
    match error {
        ApplyError::OlderSnapshot { .. } => {
            event!(Warn, "settings_refused", from = from, reason = error);
        }
        ApplyError::Gap { .. } | ApplyError::Unreadable { .. } => {
            event!(Error, "settings_refused", from = from, reason = error);
        }
    }
}

/// Answers the poll of a child: immediately if there is a newer revision or this instance has lost
/// contact with the control instances, otherwise after the wait that the poll asks for.
///
/// # Errors
///
/// Never fails; handlers of peer calls have to return a `Result`.
pub async fn answer(shared: Arc<Shared>, poll: FeedPoll) -> Result<FeedReply, PeerError> {
    shared.feed.record_descendants(shared.clock.now(), &poll);
    let mut revision_rx = shared.settings.subscribe();
    let deadline = tokio::time::Instant::now() + std::time::Duration::from(poll.wait);
    loop {
        let state = shared.settings.state();
        let is_behind = state.revision() < poll.have;
        if is_behind || !shared.feed.is_connected(shared.clock.now()) {
            let newer = state.reply_since(poll.have);
            return Ok(if newer == FeedReply::Current { FeedReply::Empty } else { newer });
        }
        let newer = state.reply_since(poll.have);
        if newer != FeedReply::Current {
            return Ok(newer);
        }
        if tokio::time::timeout_at(deadline, revision_rx.changed()).await.is_err() {
            return Ok(FeedReply::Current);
        }
    }
}
