//! The served settings in pieces: cut and packed once for each revision, and shared by all readers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use sill_base::{CompressedText, Map, Millis, event};
use sill_tree::{Document, DocumentText, PieceId, pieces};
use sill_wire::control::Revision;
use sill_wire::settings::{Manifest, Piece, PiecesReply, PiecesRequest};
use tokio::sync::{Semaphore, watch};

use crate::log::LogHandle;
use crate::metrics::Metrics;
use crate::shared::Shared;

/// The subtree that holds the routes.
pub const SERVED: &str = "serving";

/// Bytes of pieces in one answer. On the slowest links, of 10 Mbit/s, they take 26 ms: a reader sees
/// that it gets on, and what comes next is not held up for long.
const ANSWER: usize = 32 << 10;

/// Answers that are made at once. A wave of restarted readers asks for everything at the same time;
/// heartbeats and votes of this instance must get their turn in between.
const ANSWERS_AT_ONCE: usize = 4;

/// Revisions whose pieces are kept. A reader that is in the middle of one goes on while the next are cut.
const KEPT: usize = 3;

/// The newest revisions of the served settings, in pieces.
#[derive(Debug)]
pub struct Served {
    log: LogHandle,
    metrics: Arc<Metrics>,
    cuts: Mutex<VecDeque<Cut>>,
    newest: watch::Sender<Option<Arc<Manifest>>>,
    answers: Semaphore,
}

/// One revision in pieces.
#[derive(Debug)]
struct Cut {
    manifest: Arc<Manifest>,
    pieces: Map<PieceId, CompressedText>,
}

/// Cuts each revision that is applied here. Polls never wait for it: departures of endpoints would be
/// told late behind large settings.
pub async fn run(shared: Arc<Shared>) {
    let mut revisions = shared.log.revision();
    revisions.mark_changed();
    while revisions.changed().await.is_ok() {
        let own = shared.clone();
        let cutting = move || own.served.cut_newest(own.link.true_time(own.clock.now()));
        // On a thread of its own: heartbeats and votes are not to wait for large settings.
        if let Err(err) = tokio::task::spawn_blocking(cutting).await {
            event!(Error, "settings_not_cut", error = err);
        }
    }
}

impl Served {
    /// Makes one that has cut nothing.
    pub fn new(log: LogHandle, metrics: Arc<Metrics>) -> Arc<Self> {
        let answers = Semaphore::new(ANSWERS_AT_ONCE);
        Arc::new(Self {
            log,
            metrics,
            cuts: Mutex::default(),
            newest: watch::Sender::new(None),
            answers,
        })
    }

    /// Returns a receiver that learns what each newer revision is made of, once it is cut.
    pub fn manifests(&self) -> watch::Receiver<Option<Arc<Manifest>>> {
        self.newest.subscribe()
    }

    /// Cuts the newest revision of the served settings that is applied here, unless it is cut already.
    fn cut_newest(&self, true_time: Millis) {
        let began = Instant::now();
        let known = self.newest.borrow().as_ref().map(|manifest| manifest.revision);
        let newest = {
            let app = self.log.app().read();
            let subtree = app.tree().subtrees.get(SERVED);
            subtree.map(|subtree| (Revision(subtree.revision), subtree.document.clone()))
        };
        let Some((revision, document)) =
            newest.filter(|(newest, _)| known.is_none_or(|known| *newest > known))
        else {
            return;
        };
        let cut = self.cut(revision, &document, true_time);
        let manifest = cut.manifest.clone();
        event!(
            Info,
            "settings_cut",
            revision = revision.0,
            pieces = manifest.pieces.len(),
            bytes = cut.pieces.values().map(CompressedText::len).sum::<usize>(),
            ms = Millis::from(began.elapsed())
        );
        self.keep(cut);
        self.newest.send_replace(Some(manifest));
    }

    /// Answers with the pieces that are at hand.
    pub async fn answer(&self, ask: PiecesRequest) -> PiecesReply {
        let _permit = self.answers.acquire().await;
        let (mut pieces, mut bytes) = (Vec::new(), 0);
        for id in ask.pieces {
            let Some(text) = self.piece(&id) else { continue };
            bytes += text.len();
            if bytes > ANSWER && !pieces.is_empty() {
                break;
            }
            pieces.push(Piece { id, text });
        }
        self.metrics.pieces.inc_by(pieces.len() as u64);
        // The next answer is made after whatever else is due here.
        tokio::task::yield_now().await;
        PiecesReply { pieces }
    }

    /// Returns a piece that one of the kept revisions holds.
    fn piece(&self, id: &PieceId) -> Option<CompressedText> {
        self.cuts.lock().iter().rev().find_map(|cut| cut.pieces.get(id).cloned())
    }

    fn keep(&self, cut: Cut) {
        let mut cuts = self.cuts.lock();
        cuts.push_back(cut);
        if cuts.len() > KEPT {
            cuts.pop_front();
        }
    }

    /// Cuts a revision; pieces of the kept ones are not packed again.
    fn cut(&self, revision: Revision, document: &Document, cut_at: Millis) -> Cut {
        let mut pieces = Map::default();
        let mut ids = Vec::new();
        for part in pieces::split(document) {
            let text = DocumentText::of(&part);
            let id = PieceId::of(text.as_str());
            let packed = self.piece(&id).unwrap_or_else(|| CompressedText::new(text.as_str()));
            pieces.insert(id.clone(), packed);
            ids.push(id);
        }
        Cut { manifest: Arc::new(Manifest { revision, cut_at, pieces: ids }), pieces }
    }
}
