//! The endpoints that are known at a control instance, from heartbeats.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use sill_base::{Map, Millis, Name};
use sill_wire::Incarnation;
use sill_wire::link::{Cursor, EndpointFact, EndpointState};

/// Heartbeats that may be missed before an endpoint counts as silent. Those of a cut-off endpoint
/// come late or at another control instance; three are seldom missed by chance.
const MISSED: u64 = 3;

/// How long an endpoint that went is remembered, against heartbeats that come late.
const TOMBSTONE: Millis = Millis(60_000);

/// Endpoints by name, with a numbered sequence of changes.
#[derive(Debug)]
pub struct Registry {
    life: Incarnation,
    heartbeat: Millis,
    known: Map<Name, Known>,
    by_change: BTreeMap<u64, Name>,
    change: u64,
    /// Endpoints heard here since the last call to [`Registry::take_direct`].
    fresh: Vec<Name>,
}

#[derive(Debug)]
struct Known {
    fact: EndpointFact,
    heard: Millis,
    change: u64,
    is_fresh: bool,
}

impl Registry {
    /// Makes an empty registry of one life of a control instance.
    pub fn new(life: Incarnation, heartbeat: Millis) -> Self {
        Self {
            life,
            heartbeat,
            known: Map::default(),
            by_change: BTreeMap::new(),
            change: 0,
            fresh: Vec::new(),
        }
    }

    /// Takes in a heartbeat that came here. Returns whether it changed what others believe.
    pub fn record_heartbeat(&mut self, now: Millis, fact: EndpointFact) -> bool {
        let name = fact.endpoint.clone();
        let is_changed = self.merge(now, fact);
        if let Some(known) = self.known.get_mut(&name)
            && !known.is_fresh
        {
            known.is_fresh = true;
            self.fresh.push(name);
        }
        is_changed
    }

    /// Takes in that an endpoint says it ends, which it may do without a heartbeat before. `born` is none
    /// where it doesn't tell which of its lives that is.
    pub fn record_end(&mut self, now: Millis, endpoint: &Name, born: Option<Incarnation>) -> bool {
        // Its heartbeats may have gone to another control instance, from which nothing came yet.
        let known = self.known.get(endpoint).map(|known| &known.fact);
        let known = known.filter(|fact| born.is_none_or(|born| born == fact.born)).cloned();
        let born = born.unwrap_or_default();
        let known = known.unwrap_or_else(|| EndpointFact { born, ..bare(endpoint) });
        let fact = EndpointFact {
            state: EndpointState::Gone,
            sequence: known.sequence.saturating_add(1),
            age: Millis::ZERO,
            ..known
        };
        self.record_heartbeat(now, fact)
    }

    /// Takes in a fact. Returns whether it changed what others believe.
    pub fn merge(&mut self, now: Millis, mut fact: EndpointFact) -> bool {
        // Each control instance finds out for itself who is silent: one that is cut off hears less.
        if fact.state == EndpointState::Silent {
            return false;
        }
        let heard = now - fact.age;
        let Some(known) = self.known.get_mut(&fact.endpoint) else {
            self.note(fact, heard);
            return true;
        };
        // A name that ends without telling its life is taken to mean the one that is known.
        let tells_life = !is_bare(&fact) || fact.born != Incarnation::default();
        match fact.born.cmp(&known.fact.born) {
            // After a restart under the same name the sequence begins anew. By the sequence alone the new
            // life would be ignored for as long as the old one had lasted, or for good.
            Ordering::Greater => {
                self.restart(fact, heard);
                return true;
            }
            Ordering::Less if tells_life => return false,
            Ordering::Less | Ordering::Equal => fact.born = known.fact.born,
        }
        if contradicts(&known.fact, &fact) {
            return false;
        }
        let is_older = fact.sequence <= known.fact.sequence && fact.state <= known.fact.state;
        let completes = is_bare(&known.fact) && !is_bare(&fact);
        if is_older && !completes {
            return false;
        }
        if is_bare(&fact) {
            let (state, sequence) = (fact.state, fact.sequence);
            fact = EndpointFact { state, sequence, ..known.fact.clone() };
        }
        // An endpoint that said it leaves never comes back under this name; a late or reordered
        // heartbeat must not bring it back, or it would get requests while it ends.
        let is_back = known.fact.state == EndpointState::Silent;
        if !is_back {
            fact.state = fact.state.max(known.fact.state);
        }
        fact.sequence = fact.sequence.max(known.fact.sequence);
        known.heard = known.heard.max(heard);
        let is_same = is_alike(&known.fact, &fact);
        known.fact = fact;
        if is_same {
            return false;
        }
        let name = known.fact.endpoint.clone();
        self.renumber(&name);
        true
    }

    /// Returns whether a fact can't be an endpoint's own word: no endpoint moves to another service or
    /// failure domain within one life. Taken in, the word of another writer would take the endpoint away
    /// from its service until it falls silent.
    pub fn is_contradictory(&self, fact: &EndpointFact) -> bool {
        let known = self.known.get(&fact.endpoint).map(|known| &known.fact);
        known.is_some_and(|known| known.born == fact.born && contradicts(known, fact))
    }

    /// Finds endpoints that fell silent, and forgets those that went long ago. Returns whether any
    /// fell silent.
    pub fn expire(&mut self, now: Millis) -> bool {
        let limit = self.heartbeat * MISSED;
        let is_silent =
            |known: &&Known| known.fact.state < EndpointState::Silent && now - known.heard > limit;
        let silent: Vec<Name> =
            self.known.values().filter(is_silent).map(|k| k.fact.endpoint.clone()).collect();
        for name in &silent {
            if let Some(known) = self.known.get_mut(name) {
                known.fact.state = EndpointState::Silent;
            }
            self.renumber(name);
        }
        let by_change = &mut self.by_change;
        self.known.retain(|_, known| {
            let is_kept = known.fact.state < EndpointState::Silent || now - known.heard < TOMBSTONE;
            if !is_kept {
                by_change.remove(&known.change);
            }
            is_kept
        });
        !silent.is_empty()
    }

    /// Returns the newest change.
    pub fn cursor(&self) -> Cursor {
        Cursor { life: self.life, change: self.change, ..Cursor::default() }
    }

    /// Returns what changed after a cursor; one of another life gets everything.
    pub fn newer_than(&self, now: Millis, cursor: Cursor) -> Vec<EndpointFact> {
        let from = if cursor.life == self.life { cursor.change + 1 } else { 0 };
        let names = self.by_change.range(from..).map(|(_, name)| name);
        let facts = names.filter_map(|name| self.fact(now, name));
        facts.filter(|fact| !is_bare(fact)).collect()
    }

    /// Returns the endpoints that were heard here since the last call.
    pub fn take_direct(&mut self, now: Millis) -> Vec<EndpointFact> {
        let names = std::mem::take(&mut self.fresh);
        for name in &names {
            if let Some(known) = self.known.get_mut(name) {
                known.is_fresh = false;
            }
        }
        names.iter().filter_map(|name| self.fact(now, name)).collect()
    }

    /// Returns everything, for one who lacks all.
    pub fn all(&self, now: Millis) -> Vec<EndpointFact> {
        self.known.keys().filter_map(|name| self.fact(now, name)).collect()
    }

    fn fact(&self, now: Millis, name: &Name) -> Option<EndpointFact> {
        let known = self.known.get(name)?;
        Some(EndpointFact { age: now - known.heard, ..known.fact.clone() })
    }

    fn note(&mut self, fact: EndpointFact, heard: Millis) {
        let name = fact.endpoint.clone();
        self.known.insert(name.clone(), Known { fact, heard, change: 0, is_fresh: false });
        self.renumber(&name);
    }

    /// Puts a new life in the place of an old one.
    fn restart(&mut self, fact: EndpointFact, heard: Millis) {
        if let Some(known) = self.known.get_mut(&fact.endpoint) {
            known.heard = heard;
            let name = fact.endpoint.clone();
            known.fact = fact;
            self.renumber(&name);
        }
    }

    fn renumber(&mut self, name: &Name) {
        let Some(known) = self.known.get_mut(name) else { return };
        self.by_change.remove(&known.change);
        self.change += 1;
        known.change = self.change;
        self.by_change.insert(self.change, name.clone());
    }
}

/// Makes the fact of an endpoint of which nothing is known but its name. It is passed on to other control
/// instances only; one that knows more puts the two together.
fn bare(endpoint: &Name) -> EndpointFact {
    EndpointFact {
        endpoint: endpoint.clone(),
        born: Incarnation::default(),
        service: Name::default(),
        domain: Name::default(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        slots: 0,
        sequence: 0,
        state: EndpointState::Gone,
        reclaimable: false,
        leaves_in: None,
        age: Millis::ZERO,
    }
}

fn is_bare(fact: &EndpointFact) -> bool {
    fact.service.is_empty()
}

fn contradicts(known: &EndpointFact, fact: &EndpointFact) -> bool {
    let are_whole = !is_bare(known) && !is_bare(fact);
    are_whole && (known.service != fact.service || known.domain != fact.domain)
}

fn is_alike(a: &EndpointFact, b: &EndpointFact) -> bool {
    a.state == b.state
        && a.address == b.address
        && a.slots == b.slots
        && a.service == b.service
        && a.leaves_in.is_some() == b.leaves_in.is_some()
}
