//! Settings in pieces, as a stand-in for a control instance tells them.

use sill_base::{Map, Millis};
use sill_tree::{Document, DocumentText, PieceId, pieces};
use sill_wire::control::Revision;
use sill_wire::settings::{Manifest, Piece, PiecesReply, PiecesRequest};

/// One revision in pieces.
#[derive(Debug, Clone)]
pub struct Cut {
    pub manifest: Manifest,
    pub pieces: Map<PieceId, Piece>,
}

impl Cut {
    /// Cuts a document.
    pub fn of(revision: u64, document: &Document) -> Self {
        let parts = pieces::split(document).into_iter();
        let pieces = parts.map(|part| Piece::new(DocumentText::of(&part).as_str()));
        let pieces: Vec<Piece> = pieces.collect();
        let ids = pieces.iter().map(|piece| piece.id.clone()).collect();
        let manifest =
            Manifest { revision: Revision(revision), cut_at: Millis::wall(), pieces: ids };
        let pieces = pieces.into_iter().map(|piece| (piece.id.clone(), piece)).collect();
        Self { manifest, pieces }
    }

    /// Answers with all pieces that it has.
    pub fn reply(&self, ask: &PiecesRequest) -> PiecesReply {
        let found = ask.pieces.iter().filter_map(|id| self.pieces.get(id).cloned());
        PiecesReply { pieces: found.collect() }
    }
}
