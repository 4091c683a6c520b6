//! Transfer of settings from control instances to entry instances that serve routes: split into
//! pieces that are identified by their content and fetched separately from the polls.

use serde::{Deserialize, Serialize};
use sill_base::{CompressedText, Millis};
use sill_tree::PieceId;

use crate::call::Call;
use crate::control::Revision;

/// The list of pieces that make up one revision of the served settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The revision that the pieces make up.
    pub revision: Revision,
    /// True time at which the revision was split into pieces, right after it was committed or read
    /// from disk.
    pub cut_at: Millis,
    /// The ids of its pieces.
    pub pieces: Vec<PieceId>,
}

/// A piece of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// The id, derived from the text.
    pub id: PieceId,
    /// The text: a document that contains a part of the settings.
    pub text: CompressedText,
}

impl Piece {
    /// Creates the piece with this text; it is compressed for the transfer.
    pub fn new(text: &str) -> Self {
        Self { id: PieceId::of(text), text: CompressedText::new(text) }
    }
}

/// Requests pieces of the settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PiecesRequest {
    /// The ids of the requested pieces.
    pub pieces: Vec<PieceId>,
}

/// The reply to a [`PiecesRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PiecesReply {
    /// The first of the requested pieces that are available, as many as fit in a short reply.
    pub pieces: Vec<Piece>,
}

impl Call for PiecesRequest {
    type Reply = PiecesReply;

    const METHOD: &'static str = "settings_pieces";
}
