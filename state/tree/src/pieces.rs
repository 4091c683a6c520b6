//! Content-defined splitting of a document into pieces that are identified by a hash of their
//! content.
//!
//! Two revisions of a document share all unchanged pieces, so a reader that has one revision
//! fetches only the changed pieces of the next. The hash of an entry's name decides whether the
//! entry ends a piece, not a count, so adding or removing an entry changes no boundary except that
//! of its own piece.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::Name;

use crate::document::Document;

/// Average number of entries in a piece. With smaller pieces, a change of one entry transfers less,
/// but the list of piece ids is longer.
const AVERAGE_ENTRIES: u8 = 64;

/// Maximum number of entries in a piece. It is needed because names can be chosen so that none ends
/// a piece.
const MAX_ENTRIES: usize = 256;

/// Hexadecimal digits of a piece's id: the first 128 bits of its hash.
const ID_DIGITS: usize = 32;

/// The id of a piece: a hash of its text.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PieceId(Name);

impl PieceId {
    /// Returns the id of the piece with this text.
    pub fn of(text: &str) -> Self {
        let hash = blake3::hash(text.as_bytes()).to_hex();
        Self((&hash[..ID_DIGITS]).into())
    }
}

/// Splits a document into documents that hold parts of it. The first one holds everything except
/// accounts and routes. The split is deterministic, so all instances get the same pieces.
pub fn split(document: &Document) -> Vec<Document> {
    let Document { accounts, routes, .. } = document;
    let head = Document {
        accounts: BTreeMap::new(),
        routes: BTreeMap::new(),
        services: document.services.clone(),
        placement: document.placement.clone(),
        owner: document.owner.clone(),
        ..*document
    };
    let account_pieces =
        split_entries(accounts).map(|accounts| Document { accounts, ..Document::default() });
    let route_pieces =
        split_entries(routes).map(|routes| Document { routes, ..Document::default() });
    std::iter::once(head).chain(account_pieces).chain(route_pieces).collect()
}

/// Splits entries into runs, in order. A run ends after a name that ends a piece, or at
/// [`MAX_ENTRIES`].
fn split_entries<T>(entries: &BTreeMap<Name, T>) -> impl Iterator<Item = BTreeMap<Name, T>>
where
    T: Clone,
{
    let mut entries = entries.iter().peekable();
    std::iter::from_fn(move || {
        entries.peek()?;
        let mut run = BTreeMap::new();
        for (name, entry) in entries.by_ref() {
            run.insert(name.clone(), entry.clone());
            if ends_piece(name) || run.len() == MAX_ENTRIES {
                break;
            }
        }
        Some(run)
    })
}

fn ends_piece(name: &Name) -> bool {
    blake3::hash(name.as_bytes()).as_bytes()[0].is_multiple_of(AVERAGE_ENTRIES)
}
