//! The serving settings in pieces: cut and compressed once per revision, and shared by all readers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use sill_base::{CompressedText, Map, Millis, Name, event};
use sill_dispatch::relays::fingerprint;
use sill_tree::{Document, DocumentText, PieceId, pieces};
use sill_wire::control::Revision;
use sill_wire::link::UnchangedRoutes;
use sill_wire::settings::{Manifest, Piece, PiecesReply, PiecesRequest};
use tokio::sync::{Semaphore, watch};

use crate::log::LogHandle;
use crate::metrics::Metrics;
use crate::shared::Shared;

/// Path of the subtree that holds the routes.
pub const SERVING_SUBTREE: &str = "serving";

/// Limit for the compressed pieces in one reply; a single larger piece is still sent. On the
/// slowest links, of 10 Mbit/s, a reply takes 26 ms: the reader sees progress, and the next message
/// is not delayed for long.
const MAX_REPLY_BYTES: usize = 32 << 10;

/// Limit for replies built concurrently. After a mass restart all readers request everything at the
/// same time, and heartbeats and votes of this instance must be processed in between.
const MAX_CONCURRENT_REPLIES: usize = 4;

/// Number of revisions whose pieces are retained, so that a reader can finish fetching one revision
/// while newer ones are cut.
const RETAINED_REVISIONS: usize = 3;

/// The first revision of the settings, before which there were no routes.
const FIRST_REVISION: Revision = Revision(1);

/// The newest revisions of the serving settings, in pieces.
#[derive(Debug)]
pub struct SettingsPieces {
    log: LogHandle,
    metrics: Arc<Metrics>,
    revisions: Mutex<VecDeque<CutRevision>>,
    newest: watch::Sender<Option<Arc<Manifest>>>,
    routes: Mutex<Option<RouteRecord>>,
    reply_permits: Semaphore,
}

/// The services of all routes in the newest revision, and since when they are the same.
#[derive(Debug)]
struct RouteRecord {
    revision: Revision,
    digest: u64,
    /// None if there were no routes before.
    since: Option<Millis>,
}

/// One revision, cut into compressed pieces.
#[derive(Debug)]
struct CutRevision {
    manifest: Arc<Manifest>,
    pieces: Map<PieceId, CompressedText>,
}

/// Cuts each revision once it is applied. Polls never wait for this: large settings would delay the
/// reports of endpoints that leave.
pub async fn run(shared: Arc<Shared>) {
    let mut revisions = shared.log.revision();
    revisions.mark_changed();
    while revisions.changed().await.is_ok() {
        let own = shared.clone();
        let cut = move || {
            let now = own.clock.now();
            own.settings_pieces.cut_newest(now, own.link.true_time(now));
        };
        // On a blocking thread, so that large settings don't delay heartbeats and votes.
        if let Err(err) = tokio::task::spawn_blocking(cut).await {
            event!(Error, "settings_not_cut", error = err);
        }
    }
}

impl SettingsPieces {
    /// Creates an empty store of pieces.
    pub fn new(log: LogHandle, metrics: Arc<Metrics>) -> Arc<Self> {
        let reply_permits = Semaphore::new(MAX_CONCURRENT_REPLIES);
        Arc::new(Self {
            log,
            metrics,
            revisions: Mutex::default(),
            newest: watch::Sender::new(None),
            routes: Mutex::default(),
            reply_permits,
        })
    }

    /// Returns a receiver of the manifest of each newer revision, published once its pieces are
    /// cut.
    pub fn manifests(&self) -> watch::Receiver<Option<Arc<Manifest>>> {
        self.newest.subscribe()
    }

    /// Cuts the newest applied revision of the serving settings, unless it is cut already.
    fn cut_newest(&self, now: Millis, true_time: Millis) {
        let started = Instant::now();
        let cut_revision = self.newest.borrow().as_ref().map(|manifest| manifest.revision);
        let newest = {
            let app = self.log.app().read();
            let subtree = app.tree().subtrees.get(SERVING_SUBTREE);
            let is_settled = app.origins().are_routes_settled();
            subtree
                .map(|subtree| (Revision(subtree.revision), subtree.document.clone(), is_settled))
        };
        let Some((revision, document, is_settled)) =
            newest.filter(|(newest, ..)| cut_revision.is_none_or(|cut| *newest > cut))
        else {
            return;
        };
        self.record_routes(now, revision, &document, is_settled);
        let cut = self.cut(revision, &document, true_time);
        let manifest = cut.manifest.clone();
        event!(
            Info,
            "settings_cut",
            revision = revision.0,
            pieces = manifest.pieces.len(),
            bytes = cut.pieces.values().map(CompressedText::len).sum::<usize>(),
            ms = Millis::from(started.elapsed())
        );
        self.retain(cut);
        self.newest.send_replace(Some(manifest));
    }

    /// Records whether a newer revision changes the services of a route. Of a revision that was not
    /// seen, nothing is known but by the replicated log.
    fn record_routes(
        &self,
        now: Millis,
        revision: Revision,
        document: &Document,
        is_settled: bool,
    ) {
        let digest = route_digest(document);
        let mut routes = self.routes.lock();
        let since = match routes.as_ref() {
            _ if is_settled => None,
            Some(last) if last.digest == digest && last.revision.0 + 1 == revision.0 => last.since,
            None if revision == FIRST_REVISION => None,
            _ => Some(now),
        };
        *routes = Some(RouteRecord { revision, digest, since });
    }

    /// Returns for how long no route has changed its services.
    pub fn unchanged_routes(&self, now: Millis) -> Option<UnchangedRoutes> {
        let routes = self.routes.lock();
        let RouteRecord { revision, since, .. } = routes.as_ref()?;
        let age = since.map_or(Millis::MAX, |since| now - since);
        Some(UnchangedRoutes { revision: *revision, age })
    }

    /// Returns those requested pieces that are retained, up to the size limit of a reply.
    pub async fn answer(&self, request: PiecesRequest) -> PiecesReply {
        let _permit = self.reply_permits.acquire().await;
        let (mut pieces, mut bytes) = (Vec::new(), 0);
        for id in request.pieces {
            let Some(text) = self.piece(&id) else { continue };
            bytes += text.len();
            if bytes > MAX_REPLY_BYTES && !pieces.is_empty() {
                break;
            }
            pieces.push(Piece { id, text });
        }
        self.metrics.pieces.inc_by(pieces.len() as u64);
        // Lets other tasks that are ready run before the next reply.
        tokio::task::yield_now().await;
        PiecesReply { pieces }
    }

    /// Returns a piece from the newest retained revision that has it.
    fn piece(&self, id: &PieceId) -> Option<CompressedText> {
        self.revisions.lock().iter().rev().find_map(|cut| cut.pieces.get(id).cloned())
    }

    /// Stores a revision and evicts the oldest beyond the limit.
    fn retain(&self, cut: CutRevision) {
        let mut revisions = self.revisions.lock();
        revisions.push_back(cut);
        if revisions.len() > RETAINED_REVISIONS {
            revisions.pop_front();
        }
    }

    /// Cuts a revision. Pieces that a retained revision holds are not compressed again.
    fn cut(&self, revision: Revision, document: &Document, cut_at: Millis) -> CutRevision {
        let mut pieces = Map::default();
        let mut ids = Vec::new();
        for part in pieces::split(document) {
            let text = DocumentText::of(&part);
            let id = PieceId::of(text.as_str());
            let compressed = self.piece(&id).unwrap_or_else(|| CompressedText::new(text.as_str()));
            pieces.insert(id.clone(), compressed);
            ids.push(id);
        }
        CutRevision { manifest: Arc::new(Manifest { revision, cut_at, pieces: ids }), pieces }
    }
}

/// Returns a number that differs between documents whose routes draw from different services.
fn route_digest(document: &Document) -> u64 {
    fingerprint(&drawn_services(document))
}

/// Returns the services that calls are drawn from, by host and path.
pub fn drawn_services(document: &Document) -> Vec<(&Name, &Name, Vec<&Name>)> {
    let mut routes: Vec<(&Name, &Name, Vec<&Name>)> = Vec::new();
    for route in document.routes.values() {
        let drawn = route.split.iter().filter(|share| share.weight > 0);
        let mut services: Vec<&Name> = drawn.map(|share| &share.service).collect();
        services.sort_unstable();
        services.dedup();
        routes.push((&route.host, &route.path, services));
    }
    routes.sort_unstable();
    routes
}
