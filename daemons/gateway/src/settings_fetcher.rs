//! Fetches settings, piece by piece, from whichever control instance has them.
//!
//! The polls tell of what a new revision is made; its pieces come on a way of their own. A piece that has
//! come is kept whatever happens to the rest, and waiting is bounded for each answer, not for the whole:
//! on a slow link large settings come late, but they come.

use std::net::SocketAddr;
use std::sync::Arc;

use sill_base::{Map, Millis, event};
use sill_dispatch::{CompleteSettings, PieceError, RouteTable, SettingsAssembly};
use sill_net::PeerClient;
use sill_tree::PieceId;
use sill_wire::settings::{Manifest, PiecesAsk};
use tokio::sync::watch;

use crate::link::Link;
use crate::state::State;

/// Pieces that are asked for in one call; as many of them come as fit in its answer.
const PIECES_PER_REQUEST: usize = 64;

/// How long one answer may take. It holds 32 kB.
const REPLY_TIMEOUT: Millis = Millis(1000);

/// Pause after all control instances failed.
const RETRY_PAUSE: Millis = Millis(100);

/// Time without the wanted settings after which it is logged what they wait for, and again.
const LATE_LOG_INTERVAL: Millis = Millis(1000);

/// A revision, and who told of it.
#[derive(Debug, Clone)]
struct RevisionOffer {
    manifest: Manifest,
    from: SocketAddr,
}

/// Takes offers of revisions.
#[derive(Debug)]
pub struct RevisionOffers {
    newest: watch::Sender<Option<RevisionOffer>>,
}

/// Fetches the newest revision that was offered.
#[derive(Debug)]
pub struct SettingsFetcher {
    state: Arc<State>,
    link: Arc<Link>,
    offers: watch::Receiver<Option<RevisionOffer>>,
    assembly: SettingsAssembly,
    clients: Map<SocketAddr, PeerClient>,
    stats: FetchStats,
}

/// What is told of a fetch in its log lines.
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
    /// Takes in of what a revision is made, from the control instance that tells it.
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
    /// Makes a feed that has nothing.
    pub fn new(state: Arc<State>, link: Arc<Link>) -> Self {
        let mut offers = link.offers().newest.subscribe();
        // What was offered before counts as new: it is not offered again, and without it an instance would refuse
        // all calls until the next change.
        offers.mark_changed();
        let (assembly, clients) = (SettingsAssembly::default(), Map::default());
        Self { state, link, offers, assembly, clients, stats: FetchStats::default() }
    }

    /// Fetches what is offered and puts it in force, until the offers end.
    pub async fn run(mut self) {
        while self.offers.changed().await.is_ok() {
            let from = self.take_offer();
            let Some(settings) = self.fetch(from).await else { continue };
            self.apply_settings(settings).await;
        }
    }

    /// Makes the newest offer the wanted revision, and returns who told of it.
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

    /// Fetches what the wanted revision lacks; a newer one that is offered meanwhile takes its place.
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

    /// Picks who is asked next: who told of the revision or answered last, then who is followed, then
    /// all others.
    fn next_source(
        &self,
        from: Option<SocketAddr>,
        failed_sources: &[SocketAddr],
    ) -> Option<SocketAddr> {
        let has_not_failed = |source: &SocketAddr| !failed_sources.contains(source);
        from.filter(has_not_failed).or_else(|| self.link.sources().into_iter().find(has_not_failed))
    }

    /// Asks for pieces, and returns whether any came.
    async fn request_pieces(&mut self, source: SocketAddr, mut missing: Vec<PieceId>) -> bool {
        missing.truncate(PIECES_PER_REQUEST);
        let key = &self.state.cfg.cluster_key;
        let new = || PeerClient::new(source, key, REPLY_TIMEOUT);
        let client = self.clients.entry(source).or_insert_with(new);
        let reply = match client.call(&PiecesAsk { pieces: missing }).await {
            Ok(reply) => reply,
            Err(err) => {
                // Its connection may be dead without a word.
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
            // Calls are answered in between.
            tokio::task::yield_now().await;
        }
        if reply.pieces.is_empty() {
            self.stats.last_error = format!("{source}: it has none of the pieces");
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
        // Calls are answered while a large table is made.
        let join = move || RouteTable::join(revision, &parts);
        let Ok(table) = tokio::task::spawn_blocking(join).await else { return };
        self.state.apply_settings(Arc::new(table));
        let now = self.state.clock.now();
        // Clocks of instances run apart by a few milliseconds, so it may seem negative.
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
