//! A document cut into pieces that are named by what they hold.
//!
//! Two revisions of a document share all pieces in which nothing changed, so a reader that has one
//! revision fetches only the other pieces of the next. Pieces end where the names of their entries say,
//! not after a count: an entry that is added or removed moves no border but its own piece's.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sill_base::Name;

use crate::document::Document;

/// One name in so many ends a piece, on average. Smaller pieces cost less when one entry changes, and
/// more for their names.
const ENTRIES_A_PIECE: u8 = 64;

/// The most entries in a piece. Names can be chosen such that none ends one.
const MAX_ENTRIES: usize = 256;

/// Hexadecimal digits of a piece's name: 128 bits of its hash.
const ID_DIGITS: usize = 32;

/// The name of a piece: a hash of its text.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PieceId(Name);

impl PieceId {
    /// Returns the name of the piece with this text.
    pub fn of(text: &str) -> Self {
        let hash = blake3::hash(text.as_bytes()).to_hex();
        Self((&hash[..ID_DIGITS]).into())
    }
}

/// Cuts a document into documents that hold parts of it; the first one holds everything but accounts and
/// routes. The same document is cut in the same way everywhere.
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
    let of_accounts = runs(accounts).map(|accounts| Document { accounts, ..Document::default() });
    let of_routes = runs(routes).map(|routes| Document { routes, ..Document::default() });
    std::iter::once(head).chain(of_accounts).chain(of_routes).collect()
}

/// Cuts entries into runs at the names that end one.
fn runs<T>(entries: &BTreeMap<Name, T>) -> impl Iterator<Item = BTreeMap<Name, T>>
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
    blake3::hash(name.as_bytes()).as_bytes()[0].is_multiple_of(ENTRIES_A_PIECE)
}
