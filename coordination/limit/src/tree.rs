//! Who tells whom about demand.
//!
//! A few entry instances report to each other directly. Many form a tree in each failure domain,
//! whose roots exchange sums, so that what one sends and hears depends on the fan-out and the number
//! of failure domains, and not on the number of entry instances.

use std::hash::{Hash, Hasher};

use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};
use sill_base::Name;

/// Children of an entry instance in the tree of its failure domain.
const FAN_OUT: usize = 4;

/// An entry instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Its failure domain.
    pub domain: Name,
}

/// The place of one entry instance among the others.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub(crate) struct Place {
    /// Whether all report to all.
    pub(crate) flat: bool,
    /// Who is told; nobody where it is the others' turn.
    pub(crate) tells: Vec<Name>,
    /// The parent, unless this is the root or all report to all.
    pub(crate) parent: Option<Name>,
    /// Whose reports are added up here, with the entry instances that each may stand for.
    pub(crate) hears: Vec<Heard>,
    /// Entry instances in all.
    pub(crate) members: usize,
    /// Ticks after which a report is part of the demand of all that comes back.
    pub(crate) lag: usize,
    /// Whether others stand in the same failure domain.
    pub(crate) has_neighbours: bool,
}

/// A source of reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Heard {
    pub(crate) source: Source,
    pub(crate) weight: usize,
}

/// What a report stands for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Source {
    /// An entry instance, or the subtree below it.
    Entry(Name),
    /// A failure domain.
    Domain(Name),
}

impl Place {
    /// Works out the place of `own` among all members.
    pub(crate) fn of(own: &Member, members: &[Member], flat_max: usize) -> Self {
        let flat = members.len() <= flat_max;
        let neighbours = members.iter().filter(|m| m.domain == own.domain && m.name != own.name);
        let place = Self {
            flat,
            members: members.len().max(1),
            has_neighbours: neighbours.count() > 0,
            ..Self::default()
        };
        if flat { place.among_all(own, members) } else { place.in_tree(own, members) }
    }

    fn among_all(mut self, own: &Member, members: &[Member]) -> Self {
        self.lag = 1;
        for member in members.iter().filter(|m| m.name != own.name) {
            // One call serves both sides, so only one of them makes it.
            if member.name > own.name {
                self.tells.push(member.name.clone());
            }
            let source = Source::Entry(member.name.clone());
            self.hears.push(Heard { source, weight: 1 });
        }
        self
    }

    fn in_tree(mut self, own: &Member, members: &[Member]) -> Self {
        let order = domain_order(&own.domain, members);
        let Some(index) = order.iter().position(|name| *name == own.name) else {
            return self;
        };
        self.lag = 2 * height(order.len()) + 1;
        for child in (FAN_OUT * index + 1..=FAN_OUT * (index + 1)).filter(|c| *c < order.len()) {
            let source = Source::Entry(order[child].clone());
            self.hears.push(Heard { source, weight: subtree(child, order.len()) });
        }
        if index > 0 {
            let parent = order[(index - 1) / FAN_OUT].clone();
            self.tells.push(parent.clone());
            self.parent = Some(parent);
            return self;
        }
        let mut domains: Vec<&Name> = members.iter().map(|m| &m.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        for domain in domains.into_iter().filter(|d| **d != own.domain) {
            let others = domain_order(domain, members);
            if *domain > own.domain {
                self.tells.extend(others.first().cloned());
            }
            let source = Source::Domain(domain.clone());
            self.hears.push(Heard { source, weight: others.len() });
        }
        self
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

/// Returns the members of a failure domain in an order that all agree on and that changes little
/// when one comes or goes.
fn domain_order(domain: &Name, members: &[Member]) -> Vec<Name> {
    let mut names: Vec<Name> =
        members.iter().filter(|m| m.domain == *domain).map(|m| m.name.clone()).collect();
    names.sort_by_cached_key(|name| {
        let mut hasher = FxHasher::default();
        name.hash(&mut hasher);
        (hasher.finish(), name.clone())
    });
    names
}
