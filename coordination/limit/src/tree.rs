//! Who tells whom about demand.
//!
//! Entry instances form a tree in each failure domain, whose roots exchange sums, so that what one
//! sends and hears depends on the fan-out and the number of failure domains, and not on the number
//! of entry instances.

use serde::{Deserialize, Serialize};
use sill_base::Name;

/// Children of an entry instance in the tree of its failure domain.
const FAN_OUT: usize = 4;

/// The entry instances as one of them sees them.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The live entry instances of the own failure domain with this one, in an order that all of
    /// them agree on; the first speaks with other failure domains.
    pub neighbours: Vec<Name>,
    /// The other failure domains. Each is taken to be as large as the own one.
    pub domains: Vec<Name>,
}

/// Whom to talk to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Peer {
    /// An entry instance of the own failure domain.
    Entry(Name),
    /// Whoever adds up the demand of another failure domain.
    Domain(Name),
}

/// The place of one entry instance among the others.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Place {
    /// The parent, unless this is the root.
    pub(crate) parent: Option<Name>,
    /// Those that are called; the others call.
    pub(crate) tells: Vec<Peer>,
    /// Whose reports are added up here.
    pub(crate) hears: Vec<Heard>,
    /// Entry instances in all.
    pub(crate) members: usize,
    /// Ticks after which a report is part of the demand of all that comes back.
    pub(crate) lag: usize,
    /// Whether others stand in the same failure domain.
    pub(crate) has_neighbours: bool,
}

/// A source of reports, with the entry instances that it stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Heard {
    pub(crate) source: Peer,
    pub(crate) weight: usize,
}

impl Place {
    /// Works out the place of an entry instance.
    pub(crate) fn of(own: &Name, domain: &Name, members: &Members) -> Self {
        let order = &members.neighbours;
        let len = order.len().max(1);
        let index = order.iter().position(|name| name == own).unwrap_or(0);
        let mut place = Self {
            members: len * (members.domains.len() + 1),
            lag: 2 * height(len) + 1,
            has_neighbours: len > 1,
            ..Self::default()
        };
        for child in (FAN_OUT * index + 1..=FAN_OUT * (index + 1)).filter(|c| *c < len) {
            let source = Peer::Entry(order[child].clone());
            place.hears.push(Heard { source, weight: subtree(child, len) });
        }
        if index > 0 {
            let parent = order[(index - 1) / FAN_OUT].clone();
            place.tells.push(Peer::Entry(parent.clone()));
            place.parent = Some(parent);
            return place;
        }
        for other in members.domains.iter().filter(|other| *other != domain) {
            // One call serves both sides, so only one of them makes it.
            if other > domain {
                place.tells.push(Peer::Domain(other.clone()));
            }
            place.hears.push(Heard { source: Peer::Domain(other.clone()), weight: len });
        }
        place
    }
}

fn subtree(root: usize, len: usize) -> usize {
    if root >= len {
        return 0;
    }
    let children = FAN_OUT * root + 1..=FAN_OUT * (root + 1);
    1 + children.map(|child| subtree(child, len)).sum::<usize>()
}

/// Returns the levels below the root of a tree.
fn height(len: usize) -> usize {
    let mut height = 0;
    let mut last = len.saturating_sub(1);
    while last > 0 {
        last = (last - 1) / FAN_OUT;
        height += 1;
    }
    height
}
