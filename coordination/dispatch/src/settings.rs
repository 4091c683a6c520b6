//! How an entry instance puts settings together from their pieces.

use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use sill_base::{Map, Set};
use sill_tree::PieceId;
use sill_wire::control::Revision;
use sill_wire::settings::{Manifest, Piece};

use crate::table::TablePart;

/// The pieces that are at hand, and the revision that is wanted.
///
/// Pieces stay while the wanted revision or the one that was whole last has them: whatever came before a
/// connection broke, or for a revision that was overtaken on its way, need not come again.
#[derive(Debug, Default)]
pub struct SettingsAssembly {
    held: Revision,
    /// The pieces of the revision that was whole last.
    held_ids: Set<PieceId>,
    wanted: Option<Manifest>,
    parts: Map<PieceId, Arc<TablePart>>,
}

/// A revision of which all pieces are at hand.
#[derive(Debug)]
pub struct CompleteSettings {
    /// What it is made of.
    pub manifest: Manifest,
    /// Its parts, in the manifest's order.
    pub parts: Vec<Arc<TablePart>>,
}

/// Why a piece was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceError {
    /// It is not what its name says. It must be fetched again.
    Corrupt,
    /// It came whole, and this version of the program can't read it.
    Unreadable(String),
}

impl SettingsAssembly {
    /// Takes in of what a revision is made, and returns whether it is newer than all before.
    pub fn offer(&mut self, manifest: Manifest) -> bool {
        let newest = self.wanted.as_ref().map_or(self.held, |wanted| wanted.revision);
        let is_news = manifest.revision > newest;
        if is_news {
            let wanted: Set<&PieceId> = manifest.pieces.iter().collect();
            let held = &self.held_ids;
            self.parts.retain(|id, _| held.contains(id) || wanted.contains(id));
            self.wanted = Some(manifest);
        }
        is_news
    }

    /// Returns the number of pieces that are at hand.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether no piece is at hand.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the revision that is wanted, if any is.
    pub fn wanted(&self) -> Option<Revision> {
        self.wanted.as_ref().map(|wanted| wanted.revision)
    }

    /// Returns the pieces that the wanted revision still lacks.
    pub fn missing(&self) -> Vec<PieceId> {
        let wanted = self.wanted.iter().flat_map(|wanted| &wanted.pieces);
        wanted.filter(|id| !self.parts.contains_key(*id)).cloned().collect()
    }

    /// Takes a piece.
    ///
    /// # Errors
    ///
    /// Fails when it is damaged or can't be read; it then still lacks.
    pub fn add_piece(&mut self, piece: &Piece) -> Result<(), PieceError> {
        let text = piece.text.text().map_err(|_| PieceError::Corrupt)?;
        if PieceId::of(&text) != piece.id {
            return Err(PieceError::Corrupt);
        }
        let document = serde_json::from_str(&text);
        let document = document.map_err(|err| PieceError::Unreadable(err.to_string()))?;
        self.parts.insert(piece.id.clone(), Arc::new(TablePart::of(document)));
        Ok(())
    }

    /// Gives up the wanted revision; a newer one may follow.
    pub fn abandon_wanted(&mut self) {
        self.held = self.wanted.take().map_or(self.held, |wanted| wanted.revision);
    }

    /// Returns the wanted revision once it lacks nothing, and forgets the pieces of older ones.
    pub fn take_complete(&mut self) -> Option<CompleteSettings> {
        let manifest = self
            .wanted
            .take_if(|wanted| wanted.pieces.iter().all(|id| self.parts.contains_key(id)))?;
        let ids = manifest.pieces.iter();
        let parts: Vec<_> = ids.map(|id| (id.clone(), self.parts[id].clone())).collect();
        self.held = manifest.revision;
        self.held_ids = manifest.pieces.iter().cloned().collect();
        self.parts = parts.iter().cloned().collect();
        let parts = parts.into_iter().map(|(_, part)| part).collect();
        Some(CompleteSettings { manifest, parts })
    }
}

impl Display for PieceError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Corrupt => f.write_str("the piece is not what its name says"),
            Self::Unreadable(why) => write!(f, "the piece can't be read: {why}"),
        }
    }
}

impl std::error::Error for PieceError {}
