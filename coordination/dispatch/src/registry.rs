//! The endpoints known to a control instance from heartbeats, and the changes to send to entry
//! instances.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use sill_base::{Findings, Map, Millis, Name};
use sill_wire::Incarnation;
use sill_wire::link::{Cursor, EndpointFact, EndpointState};
use sill_wire::streams::ServedVersion;

/// Longest name of an endpoint, service, failure domain or version, in bytes. Facts are kept for a minute
/// and sent to all instances.
const MAX_NAME_BYTES: usize = 256;

/// Consecutive heartbeats that may be missed before an endpoint counts as silent. Heartbeats of an
/// endpoint that is cut off arrive late or at another control instance; missing three is seldom
/// chance.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// How long the tombstone of an endpoint is kept against late heartbeats.
const TOMBSTONE_TTL: Millis = Millis(60_000);

/// How much later than an end a heartbeat may seem to have arrived that was sent before it. A sync
/// between control instances may take some hundred milliseconds, which the ages in it don't include.
const END_REORDERING: Millis = Millis(1000);

/// Endpoints by name, with a sequence number for each change.
#[derive(Debug)]
pub struct Registry {
    incarnation: Incarnation,
    heartbeat_interval: Millis,
    endpoints: Map<Name, EndpointEntry>,
    by_change: BTreeMap<u64, Name>,
    change: u64,
    /// Endpoints whose heartbeats were received here since the last call to
    /// [`Registry::take_direct`].
    pending: Vec<Name>,
    /// Incarnations that have returned after a silence since the last call to
    /// [`Registry::take_returned`].
    returned: Vec<(Name, Incarnation)>,
}

#[derive(Debug)]
struct EndpointEntry {
    fact: EndpointFact,
    heartbeat_at: Millis,
    change: u64,
    is_pending: bool,
}

impl EndpointEntry {
    /// Returns whether it is an end without an incarnation that applies to the incarnation of a
    /// heartbeat. Such an end may arrive before the first heartbeat, which another control instance
    /// received; a heartbeat well after it belongs to a later incarnation.
    fn is_end_of(&self, heartbeat_at: Millis) -> bool {
        is_name_only(&self.fact)
            && self.fact.incarnation == Incarnation::default()
            && heartbeat_at <= self.heartbeat_at + END_REORDERING
    }
}

impl Registry {
    /// Creates an empty registry for one incarnation of a control instance.
    pub fn new(incarnation: Incarnation, heartbeat_interval: Millis) -> Self {
        Self {
            incarnation,
            heartbeat_interval,
            endpoints: Map::default(),
            by_change: BTreeMap::new(),
            change: 0,
            pending: Vec::new(),
            returned: Vec::new(),
        }
    }

    /// Records a heartbeat that the endpoint sent to this control instance. Returns whether it
    /// changed the visible state.
    pub fn record_heartbeat(&mut self, now: Millis, fact: EndpointFact) -> bool {
        let name = fact.endpoint.clone();
        let is_changed = self.merge(now, fact);
        if let Some(known) = self.endpoints.get_mut(&name)
            && !known.is_pending
        {
            known.is_pending = true;
            self.pending.push(name);
        }
        is_changed
    }

    /// Records that an endpoint reported its end, possibly without any heartbeat before. `born` is
    /// `None` if it did not report its incarnation.
    pub fn record_end(&mut self, now: Millis, endpoint: &Name, born: Option<Incarnation>) -> bool {
        // The endpoint may have sent its heartbeats to another control instance that has not
        // forwarded them yet.
        let known = self.endpoints.get(endpoint).map(|known| &known.fact);
        let known = known.filter(|fact| born.is_none_or(|born| born == fact.incarnation)).cloned();
        let born = born.unwrap_or_default();
        let known =
            known.unwrap_or_else(|| EndpointFact { incarnation: born, ..name_only(endpoint) });
        let fact = EndpointFact {
            state: EndpointState::Gone,
            sequence: known.sequence.saturating_add(1),
            age: Millis::ZERO,
            ..known
        };
        self.record_heartbeat(now, fact)
    }

    /// Merges a fact from a heartbeat or another control instance. Returns whether it changed the
    /// visible state.
    pub fn merge(&mut self, now: Millis, mut fact: EndpointFact) -> bool {
        // Each control instance detects silent endpoints itself: one that is cut off receives fewer
        // heartbeats.
        if fact.state == EndpointState::Silent {
            return false;
        }
        let heartbeat_at = now - fact.age;
        let Some(known) = self.endpoints.get_mut(&fact.endpoint) else {
            self.insert(fact, heartbeat_at);
            return true;
        };
        // An end that is reported without an incarnation applies to the known one.
        let has_incarnation = !is_name_only(&fact) || fact.incarnation != Incarnation::default();
        match fact.incarnation.cmp(&known.fact.incarnation) {
            // After a restart under the same name, the sequence begins anew. Compared by the
            // sequence alone, the new incarnation would be ignored for as long as the old one had
            // lasted, or forever.
            Ordering::Greater => {
                if known.is_end_of(heartbeat_at) {
                    fact.state = EndpointState::Gone;
                }
                self.restart(fact, heartbeat_at);
                return true;
            }
            Ordering::Less if has_incarnation => return false,
            Ordering::Less | Ordering::Equal => fact.incarnation = known.fact.incarnation,
        }
        if contradicts(&known.fact, &fact) {
            return false;
        }
        let is_older = fact.sequence <= known.fact.sequence && fact.state <= known.fact.state;
        let adds_details = is_name_only(&known.fact) && !is_name_only(&fact);
        if is_older && !adds_details {
            return false;
        }
        if is_name_only(&fact) {
            let (state, sequence) = (fact.state, fact.sequence);
            fact = EndpointFact { state, sequence, ..known.fact.clone() };
        }
        fact.software = known.fact.software.combine(&fact.software);
        // An endpoint that has reported that it is leaving never returns in this incarnation. A
        // late or reordered heartbeat must not make it ready again, or it would receive requests
        // while it shuts down.
        let was_silent = known.fact.state == EndpointState::Silent;
        if !was_silent {
            fact.state = fact.state.max(known.fact.state);
        }
        fact.sequence = fact.sequence.max(known.fact.sequence);
        known.heartbeat_at = known.heartbeat_at.max(heartbeat_at);
        let is_unchanged = is_equivalent(&known.fact, &fact);
        known.fact = fact;
        if was_silent && known.fact.state < EndpointState::Silent {
            self.returned.push((known.fact.endpoint.clone(), known.fact.incarnation));
        }
        if is_unchanged {
            return false;
        }
        let name = known.fact.endpoint.clone();
        self.mark_changed(&name);
        true
    }

    /// Returns the incarnations that were silent and have returned since the last call.
    pub fn take_returned(&mut self) -> Vec<(Name, Incarnation)> {
        std::mem::take(&mut self.returned)
    }

    /// Returns whether a fact contradicts the known one, and so can't come from the endpoint
    /// itself: no endpoint moves to another service or failure domain within one incarnation. If
    /// such a fact of another sender were merged, the endpoint would be lost to its service until
    /// it counts as silent.
    pub fn is_contradictory(&self, fact: &EndpointFact) -> bool {
        let known = self.endpoints.get(&fact.endpoint).map(|known| &known.fact);
        known.is_some_and(|known| known.incarnation == fact.incarnation && contradicts(known, fact))
    }

    /// Returns whether a heartbeat lacks the incarnation that other endpoints report. It may belong to
    /// any incarnation of its endpoint, or to none.
    pub fn lacks_incarnation(&self, fact: &EndpointFact) -> bool {
        fact.incarnation == Incarnation::default()
            && self.endpoints.values().any(|k| k.fact.incarnation != Incarnation::default())
    }

    /// Marks endpoints whose heartbeats are overdue as silent, and removes expired tombstones.
    /// Returns whether any endpoint became silent.
    pub fn expire(&mut self, now: Millis) -> bool {
        let limit = self.heartbeat_interval * MAX_MISSED_HEARTBEATS;
        let is_silent = |known: &&EndpointEntry| {
            known.fact.state < EndpointState::Silent && now - known.heartbeat_at > limit
        };
        let silent: Vec<Name> =
            self.endpoints.values().filter(is_silent).map(|k| k.fact.endpoint.clone()).collect();
        for name in &silent {
            if let Some(known) = self.endpoints.get_mut(name) {
                known.fact.state = EndpointState::Silent;
            }
            self.mark_changed(name);
        }
        let by_change = &mut self.by_change;
        self.endpoints.retain(|_, known| {
            let is_kept = known.fact.state < EndpointState::Silent
                || now - known.heartbeat_at < TOMBSTONE_TTL;
            if !is_kept {
                by_change.remove(&known.change);
            }
            is_kept
        });
        !silent.is_empty()
    }

    /// Marks the endpoints of some versions as changed, so that they are sent once more.
    pub fn mark_versions_changed(&mut self, versions: &[ServedVersion]) {
        let is_concerned = |known: &&EndpointEntry| versions.contains(&known.fact.served_version());
        let concerned = self.endpoints.values().filter(is_concerned);
        let names: Vec<Name> = concerned.map(|known| known.fact.endpoint.clone()).collect();
        names.iter().for_each(|name| self.mark_changed(name));
    }

    /// Returns the position of the newest change.
    pub fn cursor(&self) -> Cursor {
        Cursor { incarnation: self.incarnation, change: self.change, ..Cursor::default() }
    }

    /// Returns the endpoints that changed after a cursor, or all of them if the cursor belongs to
    /// another incarnation.
    pub fn newer_than(&self, now: Millis, cursor: Cursor) -> Vec<EndpointFact> {
        let from = if cursor.incarnation == self.incarnation { cursor.change + 1 } else { 0 };
        let names = self.by_change.range(from..).map(|(_, name)| name);
        let facts = names.filter_map(|name| self.fact(now, name));
        facts.filter(|fact| !is_name_only(fact)).collect()
    }

    /// Returns the endpoints whose heartbeats were received here since the last call.
    pub fn take_direct(&mut self, now: Millis) -> Vec<EndpointFact> {
        let names = std::mem::take(&mut self.pending);
        for name in &names {
            if let Some(known) = self.endpoints.get_mut(name) {
                known.is_pending = false;
            }
        }
        names.iter().filter_map(|name| self.fact(now, name)).collect()
    }

    /// Returns all endpoints, for a control instance that has none of them.
    pub fn all(&self, now: Millis) -> Vec<EndpointFact> {
        self.endpoints.keys().filter_map(|name| self.fact(now, name)).collect()
    }

    fn fact(&self, now: Millis, name: &Name) -> Option<EndpointFact> {
        let known = self.endpoints.get(name)?;
        Some(EndpointFact { age: now - known.heartbeat_at, ..known.fact.clone() })
    }

    fn insert(&mut self, fact: EndpointFact, heartbeat_at: Millis) {
        let name = fact.endpoint.clone();
        self.endpoints.insert(
            name.clone(),
            EndpointEntry { fact, heartbeat_at, change: 0, is_pending: false },
        );
        self.mark_changed(&name);
    }

    /// Replaces the fact of an old incarnation by that of a new one.
    fn restart(&mut self, fact: EndpointFact, heartbeat_at: Millis) {
        if let Some(known) = self.endpoints.get_mut(&fact.endpoint) {
            known.heartbeat_at = heartbeat_at;
            let name = fact.endpoint.clone();
            known.fact = fact;
            self.mark_changed(&name);
        }
    }

    fn mark_changed(&mut self, name: &Name) {
        let Some(known) = self.endpoints.get_mut(name) else { return };
        self.by_change.remove(&known.change);
        self.change += 1;
        known.change = self.change;
        self.by_change.insert(self.change, name.clone());
    }
}

/// Checks the length of a name that an endpoint states.
///
/// # Errors
///
/// Returns a finding if it is longer than 256 bytes.
pub fn check_name(field: &str, name: &str) -> Result<(), Findings> {
    match name.len() <= MAX_NAME_BYTES {
        true => Ok(()),
        false => Err(Findings::one(field, format!("longer than {MAX_NAME_BYTES} bytes"))),
    }
}

/// Checks the names that an endpoint states of itself.
///
/// # Errors
///
/// Returns a finding for the first that is too long.
pub fn check_names(fact: &EndpointFact) -> Result<(), Findings> {
    check_name("name", &fact.endpoint)?;
    check_name("service", &fact.service)?;
    check_name("domain", &fact.domain)?;
    check_name("version", &fact.software.to_string())
}

/// Returns a fact for an endpoint of which only the name is known. It is sent to other control
/// instances only; one that knows the rest combines the two.
fn name_only(endpoint: &Name) -> EndpointFact {
    EndpointFact {
        endpoint: endpoint.clone(),
        incarnation: Incarnation::default(),
        service: Name::default(),
        domain: Name::default(),
        address: SocketAddr::from(([0, 0, 0, 0], 0)),
        slots: 0,
        sequence: 0,
        state: EndpointState::Gone,
        reclaimable: false,
        leaves_in: None,
        cold_for: None,
        age: Millis::ZERO,
        software: Default::default(),
    }
}

fn is_name_only(fact: &EndpointFact) -> bool {
    fact.service.is_empty()
}

fn contradicts(known: &EndpointFact, fact: &EndpointFact) -> bool {
    let have_details = !is_name_only(known) && !is_name_only(fact);
    have_details && (known.service != fact.service || known.domain != fact.domain)
}

fn is_equivalent(a: &EndpointFact, b: &EndpointFact) -> bool {
    a.state == b.state
        && a.address == b.address
        && a.slots == b.slots
        && a.service == b.service
        && a.software == b.software
        && a.leaves_in.is_some() == b.leaves_in.is_some()
}
