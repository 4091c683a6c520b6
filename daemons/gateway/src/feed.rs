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
use sill_wire::settings::{Manifest, PiecesRequest};
use tokio::sync::watch;

use crate::link::Link;
use crate::state::State;

/// Pieces that are asked for in one call; as many of them come as fit in its answer.
const ASKED: usize = 64;

/// How long one answer may take. It holds 32 kB.
const PATIENCE: Millis = Millis(1000);

/// Pause after all control instances failed.
const PAUSE: Millis = Millis(100);

/// Time without the wanted settings after which it is logged what they wait for, and again.
const LATE: Millis = Millis(1000);

/// A revision, and who told of it.
#[derive(Debug, Clone)]
struct Offer {
    manifest: Manifest,
    from: SocketAddr,
}

/// Takes offers of revisions.
#[derive(Debug)]
pub struct Offers {
    newest: watch::Sender<Option<Offer>>,
}

/// Fetches the newest revision that was offered.
#[derive(Debug)]
pub struct Feed {
    state: Arc<State>,
    link: Arc<Link>,
    offers: watch::Receiver<Option<Offer>>,
    assembly: SettingsAssembly,
    clients: Map<SocketAddr, PeerClient>,
    fetch: Fetch,
}

/// What is told of a fetch in its log lines.
#[derive(Debug, Clone, Default)]
struct Fetch {
    began: Millis,
    told_at: Millis,
    pieces: usize,
    bytes: usize,
    failures: usize,
    why: String,
}

impl Default for Offers {
    fn default() -> Self {
        Self { newest: watch::Sender::new(None) }
    }
}

impl Offers {
    /// Takes in of what a revision is made, from the control instance that tells it.
    pub fn offer(&self, manifest: Manifest, from: SocketAddr) {
        self.newest.send_if_modified(|newest| {
            let known = newest.as_ref().map(|known| known.manifest.revision);
            let is_news = known.is_none_or(|known| manifest.revision > known);
            if is_news {
                *newest = Some(Offer { manifest, from });
            }
            is_news
        });
    }
}

impl Feed {
    /// Makes a feed that has nothing.
    pub fn new(state: Arc<State>, link: Arc<Link>) -> Self {
        let mut offers = link.offers().newest.subscribe();
        // What was offered before counts as new: it is not offered again, and without it an instance would refuse
        // all calls until the next change.
        offers.mark_changed();
        let (assembly, clients) = (SettingsAssembly::default(), Map::default());
        Self { state, link, offers, assembly, clients, fetch: Fetch::default() }
    }

    /// Fetches what is offered and puts it in force, until the offers end.
    pub async fn run(mut self) {
        while self.offers.changed().await.is_ok() {
            let from = self.take_offer();
            let Some(whole) = self.fetch(from).await else { continue };
            self.put_in_force(whole).await;
        }
    }

    /// Makes the newest offer the wanted revision, and returns who told of it.
    fn take_offer(&mut self) -> Option<SocketAddr> {
        let Offer { manifest, from } = self.offers.borrow_and_update().clone()?;
        let now = self.state.clock.now();
        if self.assembly.wanted().is_none() {
            self.fetch = Fetch { began: now, ..Fetch::default() };
        }
        self.fetch.told_at = now;
        self.assembly.offer(manifest);
        Some(from)
    }

    /// Fetches what the wanted revision lacks; a newer one that is offered meanwhile takes its place.
    async fn fetch(&mut self, mut from: Option<SocketAddr>) -> Option<CompleteSettings> {
        let mut late_at = self.fetch.began + LATE;
        let mut tried = Vec::new();
        loop {
            if self.offers.has_changed().unwrap_or(false) {
                from = self.take_offer();
                tried.clear();
            }
            self.assembly.wanted()?;
            let missing = self.assembly.missing();
            if missing.is_empty() {
                return self.assembly.take_complete();
            }
            let Some(source) = self.source(from, &tried) else {
                tried.clear();
                tokio::time::sleep(PAUSE.into()).await;
                continue;
            };
            if self.ask(source, missing).await {
                tried.clear();
                from = Some(source);
            } else {
                self.fetch.failures += 1;
                tried.push(source);
            }
            let now = self.state.clock.now();
            if now >= late_at {
                late_at = now + LATE;
                self.tell_late(now);
            }
        }
    }

    /// Picks who is asked next: who told of the revision or answered last, then who is followed, then
    /// all others.
    fn source(&self, from: Option<SocketAddr>, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let is_untried = |source: &SocketAddr| !tried.contains(source);
        from.filter(is_untried).or_else(|| self.link.sources().into_iter().find(is_untried))
    }

    /// Asks for pieces, and returns whether any came.
    async fn ask(&mut self, source: SocketAddr, mut missing: Vec<PieceId>) -> bool {
        missing.truncate(ASKED);
        let key = &self.state.cfg.cluster_key;
        let new = || PeerClient::new(source, key, PATIENCE);
        let client = self.clients.entry(source).or_insert_with(new);
        let reply = match client.call(&PiecesRequest { pieces: missing }).await {
            Ok(reply) => reply,
            Err(err) => {
                // Its connection may be dead without a word.
                self.clients.remove(&source);
                self.fetch.why = format!("{source}: {err}");
                return false;
            }
        };
        let mut is_progress = false;
        for piece in &reply.pieces {
            match self.assembly.add_piece(piece) {
                Ok(()) => {
                    is_progress = true;
                    self.fetch.pieces += 1;
                    self.fetch.bytes += piece.text.len();
                }
                Err(fault) => self.refuse(source, &fault),
            }
            // Calls are answered in between.
            tokio::task::yield_now().await;
        }
        if reply.pieces.is_empty() {
            self.fetch.why = format!("{source}: it has none of the pieces");
        }
        is_progress
    }

    fn refuse(&mut self, source: SocketAddr, fault: &PieceError) {
        let revision = self.assembly.wanted().unwrap_or_default().0;
        self.fetch.why = format!("{source}: {fault}");
        match fault {
            PieceError::Corrupt => {
                event!(Warn, "settings_piece_garbled", revision = revision, from = source);
            }
            PieceError::Unreadable(why) => {
                event!(Error, "settings_unreadable", revision = revision, error = why);
                self.assembly.abandon_wanted();
            }
        }
    }

    fn tell_late(&self, now: Millis) {
        event!(
            Warn,
            "settings_late",
            revision = self.assembly.wanted().unwrap_or_default().0,
            in_force = self.state.table().map_or(0, |table| table.revision),
            missing = self.assembly.missing().len(),
            pieces = self.fetch.pieces,
            bytes = self.fetch.bytes,
            failures = self.fetch.failures,
            why = self.fetch.why,
            ms = now - self.fetch.began
        );
    }

    async fn put_in_force(&mut self, whole: CompleteSettings) {
        let CompleteSettings { manifest, parts } = whole;
        let (revision, pieces) = (manifest.revision.0, parts.len());
        let before = self.state.table().map_or(0, |table| table.revision);
        let began = self.state.clock.now();
        // Calls are answered while a large table is made.
        let join = move || RouteTable::join(revision, &parts);
        let Ok(table) = tokio::task::spawn_blocking(join).await else { return };
        self.state.put_in_force(Arc::new(table));
        let now = self.state.clock.now();
        // Clocks of instances run apart by a few milliseconds, so it may seem negative.
        let age = self.state.true_time() - manifest.cut_at;
        self.state.metrics.settings_age.observe(age.0 as f64 / 1000.0);
        event!(
            Info,
            "settings_in_force",
            revision = revision,
            before = before,
            pieces = pieces,
            fetched = self.fetch.pieces,
            bytes = self.fetch.bytes,
            failures = self.fetch.failures,
            told_ms = now - self.fetch.told_at,
            fetch_ms = began - self.fetch.began,
            build_ms = now - began,
            age_ms = age
        );
    }
}
