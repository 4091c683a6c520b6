//! Assembly of settings at an entry instance from the pieces of a revision.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use sill_base::{Map, Set};
use sill_tree::PieceId;
use sill_wire::control::Revision;
use sill_wire::settings::{Manifest, Piece};

use crate::table::TablePart;

/// Pieces of settings received so far, and the revision that is being assembled.
///
/// A piece is kept as long as the wanted revision or the last complete one contains it. Pieces that
/// were received before a connection broke, or for a revision that was superseded meanwhile, are
/// not fetched again.
#[derive(Debug, Default)]
pub struct SettingsAssembly {
    complete_revision: Revision,
    /// Pieces of the last complete revision.
    complete_ids: Set<PieceId>,
    wanted: Option<Manifest>,
    parts: Map<PieceId, Arc<TablePart>>,
}

/// A revision of which all pieces were received.
#[derive(Debug)]
pub struct CompleteSettings {
    /// Revision number and piece ids.
    pub manifest: Manifest,
    /// Parts of the route table, in the order of the manifest.
    pub parts: Vec<Arc<TablePart>>,
}

/// Why a piece was rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceError {
    /// The text does not match the id of the piece. It must be fetched again.
    Corrupt,
    /// The text is intact, but this version of the program can't parse it.
    Unreadable(String),
}

impl SettingsAssembly {
    /// Makes the revision of a manifest the wanted one, if it is newer than all before. Returns
    /// whether it is.
    pub fn offer(&mut self, manifest: Manifest) -> bool {
        let newest = self.wanted.as_ref().map_or(self.complete_revision, |wanted| wanted.revision);
        let is_newer = manifest.revision > newest;
        if is_newer {
            let wanted: Set<&PieceId> = manifest.pieces.iter().collect();
            let complete = &self.complete_ids;
            self.parts.retain(|id, _| complete.contains(id) || wanted.contains(id));
            self.wanted = Some(manifest);
        }
        is_newer
    }

    /// Returns the number of pieces held.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no piece is held.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the revision that is being assembled, if any.
    pub fn wanted(&self) -> Option<Revision> {
        self.wanted.as_ref().map(|wanted| wanted.revision)
    }

    /// Returns the pieces that the wanted revision still needs.
    pub fn missing(&self) -> Vec<PieceId> {
        let wanted = self.wanted.iter().flat_map(|wanted| &wanted.pieces);
        wanted.filter(|id| !self.parts.contains_key(*id)).cloned().collect()
    }

    /// Adds a piece.
    ///
    /// # Errors
    ///
    /// Fails if the piece is damaged or can't be parsed; it then remains missing.
    pub fn add_piece(&mut self, piece: &Piece) -> Result<(), PieceError> {
        let text = piece.text.decompress().map_err(|_| PieceError::Corrupt)?;
        if PieceId::of(&text) != piece.id {
            return Err(PieceError::Corrupt);
        }
        let document = serde_json::from_str(&text);
        let document = document.map_err(|err| PieceError::Unreadable(err.to_string()))?;
        self.parts.insert(piece.id.clone(), Arc::new(TablePart::of(document)));
        Ok(())
    }

    /// Abandons the wanted revision, so that it is not offered again. A newer one may follow.
    pub fn abandon_wanted(&mut self) {
        self.complete_revision =
            self.wanted.take().map_or(self.complete_revision, |wanted| wanted.revision);
    }

    /// Returns the wanted revision once all of its pieces are held, and drops the pieces of older
    /// ones.
    pub fn take_complete(&mut self) -> Option<CompleteSettings> {
        let manifest = self
            .wanted
            .take_if(|wanted| wanted.pieces.iter().all(|id| self.parts.contains_key(id)))?;
        let ids = manifest.pieces.iter();
        let parts: Vec<_> = ids.map(|id| (id.clone(), self.parts[id].clone())).collect();
        self.complete_revision = manifest.revision;
        self.complete_ids = manifest.pieces.iter().cloned().collect();
        self.parts = parts.iter().cloned().collect();
        let parts = parts.into_iter().map(|(_, part)| part).collect();
        Some(CompleteSettings { manifest, parts })
    }
}

impl Display for PieceError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt => f.write_str("piece text does not match its id"),
            Self::Unreadable(why) => write!(f, "piece can't be parsed: {why}"),
        }
    }
}

impl std::error::Error for PieceError {}
