//! The tree along which demand is reported.
//!
//! The entry instances of each failure domain form a tree, and the roots exchange their sums. The
//! number of messages that an entry instance sends and receives thus depends on the fan-out and the
//! number of failure domains, and not on the number of entry instances.

use serde::{Deserialize, Serialize};
use sill_base::Name;

/// Children of an entry instance in the tree of its failure domain.
const FAN_OUT: usize = 4;

/// The membership as one entry instance sees it.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The live entry instances of the own failure domain, including this one, in an order on which
    /// all of them agree. The first is the root, which exchanges reports with other failure
    /// domains.
    pub neighbours: Vec<Name>,
    /// The other failure domains. Each is assumed to have as many entry instances as the own one.
    pub domains: Vec<Name>,
}

/// The other side of an exchange of reports.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Peer {
    /// An entry instance of the own failure domain.
    Entry(Name),
    /// The root of another failure domain, which sums up its demand.
    Domain(Name),
}

/// The position of one entry instance in the tree of its failure domain.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct TreePosition {
    /// The parent, or `None` for the root.
    pub(crate) parent: Option<Name>,
    /// Peers that this entry instance calls. The other sources call it.
    pub(crate) call_targets: Vec<Peer>,
    /// Sources whose reports are summed up here.
    pub(crate) sources: Vec<ReportSource>,
    /// Number of entry instances in all failure domains.
    pub(crate) entry_count: usize,
    /// Ticks after which a report is included in the total demand that is reported back.
    pub(crate) report_lag_ticks: usize,
    /// Whether there are other entry instances in the same failure domain.
    pub(crate) has_neighbours: bool,
}

/// A source of reports, with the number of entry instances that its reports cover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ReportSource {
    pub(crate) peer: Peer,
    pub(crate) entry_count: usize,
}

impl TreePosition {
    /// Returns the position of the entry instance `own` of a failure domain.
    pub(crate) fn of(own: &Name, domain: &Name, members: &Members) -> Self {
        let entries = &members.neighbours;
        let len = entries.len().max(1);
        let index = entries.iter().position(|name| name == own).unwrap_or(0);
        let mut position = Self {
            entry_count: len * (members.domains.len() + 1),
            report_lag_ticks: 2 * height(len) + 1,
            has_neighbours: len > 1,
            ..Self::default()
        };
        for child in (FAN_OUT * index + 1..=FAN_OUT * (index + 1)).filter(|c| *c < len) {
            let peer = Peer::Entry(entries[child].clone());
            position.sources.push(ReportSource { peer, entry_count: subtree_size(child, len) });
        }
        if index > 0 {
            let parent = entries[(index - 1) / FAN_OUT].clone();
            position.call_targets.push(Peer::Entry(parent.clone()));
            position.parent = Some(parent);
            return position;
        }
        for other in members.domains.iter().filter(|other| *other != domain) {
            // A call passes reports in both directions, so only one side makes it.
            if other > domain {
                position.call_targets.push(Peer::Domain(other.clone()));
            }
            position
                .sources
                .push(ReportSource { peer: Peer::Domain(other.clone()), entry_count: len });
        }
        position
    }
}

/// Returns the number of nodes below and including a node of a tree of `len` nodes.
fn subtree_size(root: usize, len: usize) -> usize {
    if root >= len {
        return 0;
    }
    let children = FAN_OUT * root + 1..=FAN_OUT * (root + 1);
    1 + children.map(|child| subtree_size(child, len)).sum::<usize>()
}

/// Returns the number of levels below the root of a tree of `len` nodes.
fn height(len: usize) -> usize {
    let mut height = 0;
    let mut last = len.saturating_sub(1);
    while last > 0 {
        last = (last - 1) / FAN_OUT;
        height += 1;
    }
    height
}
