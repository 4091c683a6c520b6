//! The served settings in pieces: cut and packed once for each revision, and shared by all readers.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use parking_lot::Mutex;
use sill_base::{Map, Millis, Packed, event};
use sill_tree::{Document, PieceId, pieces};
use sill_wire::control::Revision;
use sill_wire::settings::{Manifest, Piece, PiecesAsk, PiecesReply};
use tokio::sync::Semaphore;

use crate::log::LogHandle;
use crate::metrics::Metrics;

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
    /// Held while a revision is cut: all others who ask wait for that one.
    turn: tokio::sync::Mutex<()>,
    answers: Semaphore,
}

/// One revision in pieces.
#[derive(Debug)]
struct Cut {
    manifest: Arc<Manifest>,
    pieces: Map<PieceId, Packed>,
}

impl Served {
    /// Makes one that has cut nothing.
    pub fn new(log: LogHandle, metrics: Arc<Metrics>) -> Arc<Self> {
        let answers = Semaphore::new(ANSWERS_AT_ONCE);
        let (cuts, turn) = (Mutex::default(), tokio::sync::Mutex::default());
        Arc::new(Self { log, metrics, cuts, turn, answers })
    }

    /// Returns the newest revision of the served settings that is applied here.
    pub fn revision(&self) -> Revision {
        let app = self.log.app().read();
        Revision(app.tree().subtrees.get(SERVED).map_or(0, |subtree| subtree.revision))
    }

    /// Returns what the newest revision is made of, if it is newer than `have`.
    pub async fn newer_than(
        self: &Arc<Self>,
        have: Revision,
        true_time: Millis,
    ) -> Option<Manifest> {
        if self.revision() <= have {
            return None;
        }
        let _turn = self.turn.lock().await;
        let newest = self.revision();
        let known = self.newest().filter(|manifest| manifest.revision == newest);
        let manifest = match known {
            Some(manifest) => manifest,
            None => {
                let own = self.clone();
                // On a thread of its own: heartbeats and votes are not to wait for large settings.
                let cutting = tokio::task::spawn_blocking(move || own.cut_newest(true_time));
                cutting.await.ok().flatten()?
            }
        };
        (manifest.revision > have).then(|| Manifest::clone(&manifest))
    }

    fn cut_newest(&self, true_time: Millis) -> Option<Arc<Manifest>> {
        let began = Instant::now();
        let (revision, document) = {
            let app = self.log.app().read();
            let subtree = app.tree().subtrees.get(SERVED)?;
            (Revision(subtree.revision), subtree.document.clone())
        };
        let cut = self.cut(revision, &document, true_time);
        let manifest = cut.manifest.clone();
        event!(
            Info,
            "settings_cut",
            revision = revision.0,
            pieces = manifest.pieces.len(),
            bytes = cut.pieces.values().map(Packed::len).sum::<usize>(),
            ms = Millis::from(began.elapsed())
        );
        self.keep(cut);
        Some(manifest)
    }

    /// Answers with the pieces that are at hand.
    pub async fn answer(&self, ask: PiecesAsk) -> PiecesReply {
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

    fn newest(&self) -> Option<Arc<Manifest>> {
        self.cuts.lock().back().map(|cut| cut.manifest.clone())
    }

    /// Returns a piece that one of the kept revisions holds.
    fn piece(&self, id: &PieceId) -> Option<Packed> {
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
        let parts = pieces::cut(document);
        let texts = parts.iter().map(|part| {
            serde_json::to_string(part).expect("a document can always be written as JSON")
        });
        let mut pieces = Map::default();
        let mut ids = Vec::new();
        for text in texts {
            let id = PieceId::of(&text);
            let packed = self.piece(&id).unwrap_or_else(|| Packed::of(&text));
            pieces.insert(id.clone(), packed);
            ids.push(id);
        }
        Cut { manifest: Arc::new(Manifest { revision, cut_at, pieces: ids }), pieces }
    }
}
