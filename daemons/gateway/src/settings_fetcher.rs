//! Fetches settings in pieces from any control instance that has them.
//!
//! Polls return the manifest of a new revision; its pieces are fetched separately. Received pieces
//! are kept when a fetch fails, and the timeout applies to each answer instead of the whole fetch:
//! over a slow link large settings arrive late, but they arrive.

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Map, Millis, event};
use sill_dispatch::{CompleteSettings, PieceError, RouteTable, SettingsAssembly};
use sill_net::PeerClient;
use sill_tree::PieceId;
use sill_wire::settings::{Manifest, PiecesRequest};
use tokio::sync::watch;

use crate::link::Link;
use crate::state::State;

/// Number of pieces requested in one call; the answer has as many of them as fit.
const PIECES_PER_REQUEST: usize = 64;

/// Timeout of one answer, which holds 32 kB.
const REPLY_TIMEOUT: Millis = Millis(1000);

/// Pause after all control instances failed.
const RETRY_PAUSE: Millis = Millis(100);

/// Time without the wanted settings after which their progress is logged, and the interval of
/// further log lines.
const LATE_LOG_INTERVAL: Millis = Millis(1000);

/// A revision and the control instance that offered it.
#[derive(Debug, Clone)]
struct RevisionOffer {
    manifest: Manifest,
    from: SocketAddr,
}

/// Holds the newest revision that a control instance offered.
#[derive(Debug)]
pub struct RevisionOffers {
    newest: watch::Sender<Option<RevisionOffer>>,
}

/// Fetches the newest offered revision and puts it in force.
#[derive(Debug)]
pub struct SettingsFetcher {
    state: Arc<State>,
    link: Arc<Link>,
    offers: watch::Receiver<Option<RevisionOffer>>,
    assembly: SettingsAssembly,
    clients: Map<SocketAddr, PeerClient>,
    stats: FetchStats,
}

/// Figures about a fetch for its log lines.
#[derive(Debug, Clone, Default)]
struct FetchStats {
    started_at: Millis,
    offered_at: Millis,
    pieces: usize,
    bytes: usize,
    failures: usize,
    last_error: String,
}

impl Default for RevisionOffers {
    fn default() -> Self {
        Self { newest: watch::Sender::new(None) }
    }
}

impl RevisionOffers {
    /// Offers a revision by its manifest. Only one newer than the last offer has an effect.
    pub fn offer(&self, manifest: Manifest, from: SocketAddr) {
        self.newest.send_if_modified(|newest| {
            let current = newest.as_ref().map(|current| current.manifest.revision);
            let is_newer = current.is_none_or(|current| manifest.revision > current);
            if is_newer {
                *newest = Some(RevisionOffer { manifest, from });
            }
            is_newer
        });
    }
}

impl SettingsFetcher {
    /// Creates a fetcher that has no pieces yet.
    pub fn new(state: Arc<State>, link: Arc<Link>) -> Self {
        let mut offers = link.offers().newest.subscribe();
        // An earlier offer counts as new: it is not repeated, and without it the instance would
        // refuse all calls until the next change.
        offers.mark_changed();
        let (assembly, clients) = (SettingsAssembly::default(), Map::default());
        Self { state, link, offers, assembly, clients, stats: FetchStats::default() }
    }

    /// Fetches offered revisions and puts them in force, until the sender of offers is dropped.
    pub async fn run(mut self) {
        while self.offers.changed().await.is_ok() {
            let from = self.take_offer();
            let Some(settings) = self.fetch(from).await else { continue };
            self.apply_settings(settings).await;
        }
    }

    /// Makes the newest offer the wanted revision, and returns who offered it.
    fn take_offer(&mut self) -> Option<SocketAddr> {
        let RevisionOffer { manifest, from } = self.offers.borrow_and_update().clone()?;
        let now = self.state.clock.now();
        if self.assembly.wanted().is_none() {
            self.stats = FetchStats { started_at: now, ..FetchStats::default() };
        }
        self.stats.offered_at = now;
        self.assembly.offer(manifest);
        Some(from)
    }

    /// Fetches the missing pieces of the wanted revision. A newer offer in the meantime replaces
    /// it.
    async fn fetch(&mut self, mut from: Option<SocketAddr>) -> Option<CompleteSettings> {
        let mut late_at = self.stats.started_at + LATE_LOG_INTERVAL;
        let mut failed_sources = Vec::new();
        loop {
            if self.offers.has_changed().unwrap_or(false) {
                from = self.take_offer();
                failed_sources.clear();
            }
            self.assembly.wanted()?;
            let missing = self.assembly.missing();
            if missing.is_empty() {
                return self.assembly.take_complete();
            }
            let Some(source) = self.next_source(from, &failed_sources) else {
                failed_sources.clear();
                tokio::time::sleep(RETRY_PAUSE.into()).await;
                continue;
            };
            if self.request_pieces(source, missing).await {
                failed_sources.clear();
                from = Some(source);
            } else {
                self.stats.failures += 1;
                failed_sources.push(source);
            }
            let now = self.state.clock.now();
            if now >= late_at {
                late_at = now + LATE_LOG_INTERVAL;
                self.log_late(now);
            }
        }
    }

    /// Picks the next control instance to ask: the one that offered the revision or answered last,
    /// then the followed ones, then all others.
    fn next_source(
        &self,
        from: Option<SocketAddr>,
        failed_sources: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let has_not_failed = |source: &SocketAddr| !failed_sources.contains(source);
        from.filter(has_not_failed).or_else(|| self.link.sources().into_iter().find(has_not_failed))
    }

    /// Requests pieces, and returns whether any valid one arrived.
    async fn request_pieces(&mut self, source: SocketAddr, mut missing: Vec<PieceId>) -> bool {
        missing.truncate(PIECES_PER_REQUEST);
        let key = &self.state.cfg.cluster_key;
        let new = || PeerClient::new(source, key, REPLY_TIMEOUT);
        let client = self.clients.entry(source).or_insert_with(new);
        let reply = match client.call(&PiecesRequest { pieces: missing }).await {
            Ok(reply) => reply,
            Err(err) => {
                // The connection may be dead without an error, so the next request opens a new one.
                self.clients.remove(&source);
                self.stats.last_error = format!("{source}: {err}");
                return false;
            }
        };
        let mut is_progress = false;
        for piece in &reply.pieces {
            match self.assembly.add_piece(piece) {
                Ok(()) => {
                    is_progress = true;
                    self.stats.pieces += 1;
                    self.stats.bytes += piece.text.len();
                }
                Err(err) => self.reject_piece(source, &err),
            }
            // Lets calls be served in between.
            tokio::task::yield_now().await;
        }
        if reply.pieces.is_empty() {
            self.stats.last_error = format!("{source}: it has none of the requested pieces");
        }
        is_progress
    }

    fn reject_piece(&mut self, source: SocketAddr, err: &PieceError) {
        let revision = self.assembly.wanted().unwrap_or_default().0;
        self.stats.last_error = format!("{source}: {err}");
        match err {
            PieceError::Corrupt => {
                event!(Warn, "settings_piece_garbled", revision = revision, from = source);
            }
            PieceError::Unreadable(why) => {
                event!(Error, "settings_unreadable", revision = revision, error = why);
                self.assembly.abandon_wanted();
            }
        }
    }

    fn log_late(&self, now: Millis) {
        event!(
            Warn,
            "settings_late",
            revision = self.assembly.wanted().unwrap_or_default().0,
            in_force = self.state.table().map_or(0, |table| table.revision),
            missing = self.assembly.missing().len(),
            pieces = self.stats.pieces,
            bytes = self.stats.bytes,
            failures = self.stats.failures,
            why = self.stats.last_error,
            ms = now - self.stats.started_at
        );
    }

    async fn apply_settings(&mut self, settings: CompleteSettings) {
        let CompleteSettings { manifest, parts } = settings;
        let (revision, pieces) = (manifest.revision.0, parts.len());
        let previous = self.state.table().map_or(0, |table| table.revision);
        let started_at = self.state.clock.now();
        // Calls are served while a large table is built.
        let join = move || RouteTable::join(revision, &parts);
        let Ok(table) = tokio::task::spawn_blocking(join).await else { return };
        self.state.apply_settings(Arc::new(table));
        let now = self.state.clock.now();
        // Clocks of instances differ by a few milliseconds, so the difference may be below zero.
        let age = self.state.true_time() - manifest.cut_at;
        self.state.metrics.settings_age.observe(age.0 as f64 / 1000.0);
        event!(
            Info,
            "settings_in_force",
            revision = revision,
            before = previous,
            pieces = pieces,
            fetched = self.stats.pieces,
            bytes = self.stats.bytes,
            failures = self.stats.failures,
            told_ms = now - self.stats.offered_at,
            fetch_ms = started_at - self.stats.started_at,
            build_ms = now - started_at,
            age_ms = age
        );
    }
}
