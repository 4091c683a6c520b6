//! Settings on their way from control instances to entry instances that serve routes: cut into pieces,
//! each named by what it holds, and fetched apart from the polls.

use serde::{Deserialize, Serialize};
use sill_base::{CompressedText, Millis};
use sill_tree::PieceId;

use crate::call::Call;
use crate::control::Revision;

/// What one revision of the served settings is made of.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Manifest {
    /// The revision.
    pub revision: Revision,
    /// True time at which it was cut into pieces, right after it was committed or read from disk.
    pub cut_at: Millis,
    /// Its pieces.
    pub pieces: Vec<PieceId>,
}

/// A piece of settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Piece {
    /// Its name.
    pub id: PieceId,
    /// Its text: a document that holds a part of the settings.
    pub text: CompressedText,
}

impl Piece {
    /// Makes the piece with a text.
    pub fn new(text: &str) -> Self {
        Self { id: PieceId::of(text), text: CompressedText::new(text) }
    }
}

/// Asks for pieces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PiecesRequest {
    /// Their names.
    pub pieces: Vec<PieceId>,
}

/// The answer to a [`PiecesRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PiecesReply {
    /// The first of those asked for that are at hand, as many as fit in a short answer.
    pub pieces: Vec<Piece>,
}

impl Call for PiecesRequest {
    type Reply = PiecesReply;

    const METHOD: &'static str = "settings_pieces";
}
