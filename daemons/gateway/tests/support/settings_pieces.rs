//! Settings cut into pieces, as a control instance serves them.

use sill_base::{Map, Millis};
use sill_tree::{Document, DocumentText, PieceId, pieces};
use sill_wire::control::Revision;
use sill_wire::settings::{Manifest, Piece, PiecesReply, PiecesRequest};

/// One revision of the settings in pieces.
#[derive(Debug, Clone)]
pub struct SettingsPieces {
    pub manifest: Manifest,
    pub pieces: Map<PieceId, Piece>,
}

impl SettingsPieces {
    /// Cuts a document into pieces.
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

    /// Returns those of the requested pieces that it has.
    pub fn reply(&self, req: &PiecesRequest) -> PiecesReply {
        let found = req.pieces.iter().filter_map(|id| self.pieces.get(id).cloned());
        PiecesReply { pieces: found.collect() }
    }
}
