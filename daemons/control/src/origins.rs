//! Keeps the record of what can have begun streams: adds versions before they begin any, and removes them
//! once their streams have ended.

use std::sync::Arc;

use sill_base::{Map, Millis, Set, event};
use sill_dispatch::streams::STREAM_LIFETIME;
use sill_quorum::RoleName;
use sill_wire::control::Revision;
use sill_wire::link::{EndpointFact, UnchangedRoutes};
use sill_wire::streams::ServedVersion;

use crate::app::Ask;
use crate::app::origins::{MAX_VERSIONS, OriginRecord, OriginUpdate};
use crate::shared::Shared;
use crate::submit;

/// Interval at which the record is compared with the endpoints.
const TICK_INTERVAL: Millis = Millis(500);

/// Timeout of an update.
const SUBMIT_TIMEOUT: Millis = Millis(2000);

/// Time after the last sync of a voter from which it may know of endpoints that the leader doesn't.
const MAX_VOTER_SILENCE: Millis = Millis(5000);

/// Versions of services without routes that are recorded. Anyone may announce endpoints of such.
const MAX_UNSERVED: usize = MAX_VERSIONS / 4;

/// What a control instance knows that bears on the record.
#[derive(Debug)]
pub struct OriginView<'a> {
    /// All endpoints of the last minute.
    pub facts: &'a [EndpointFact],
    /// The record.
    pub record: &'a OriginRecord,
    /// The index of the state that has the record.
    pub index: u64,
    /// What the leader knows; none at others.
    pub leader: Option<LeaderView>,
}

/// What only the leader may conclude from.
#[derive(Debug, Clone, Copy)]
pub struct LeaderView {
    /// The time for which endpoints have been recorded without a gap.
    pub history: Millis,
    /// Whether all voters were heard lately.
    pub has_heard_voters: bool,
    /// For how long no route has changed its services.
    pub routes: Option<UnchangedRoutes>,
}

/// Decides which updates of the record are due.
#[derive(Debug, Default)]
pub struct OriginPlanner {
    /// Recorded versions without endpoints, and since when.
    absent: Map<ServedVersion, Millis>,
}

impl OriginPlanner {
    /// Returns the update that is due. `is_served` tells the services that have routes.
    pub fn plan<F>(&mut self, now: Millis, view: &OriginView<'_>, is_served: F) -> OriginUpdate
    where
        F: Fn(&str) -> bool,
    {
        let OriginView { facts, record, index, leader } = view;
        let mut update = OriginUpdate { based_on: *index, ..OriginUpdate::default() };
        let known = facts.iter().filter(|fact| !fact.service.is_empty());
        let known: Set<ServedVersion> = known.map(EndpointFact::served_version).collect();
        update.added = missing(&known, record, is_served);
        let Some(leader) = leader else { return update };
        let has_history = leader.history >= STREAM_LIFETIME;
        update.is_complete = !record.is_complete()
            && has_history
            && record.versions().count() + known.len() <= MAX_VERSIONS;
        if update.is_complete {
            update.added = known.iter().filter(|v| !record.contains(v)).cloned().collect();
        }
        update.removed = self.ended(now, &known, record, has_history && leader.has_heard_voters);
        if !record.are_routes_settled()
            && let Some(UnchangedRoutes { revision, age }) = leader.routes
            && age >= STREAM_LIFETIME
        {
            update.routes_settled = Some(revision);
        }
        update
    }

    /// Returns the recorded versions that have had no endpoint for longer than their streams live.
    fn ended(
        &mut self,
        now: Millis,
        known: &Set<ServedVersion>,
        record: &OriginRecord,
        knows_all: bool,
    ) -> Vec<ServedVersion> {
        if !knows_all {
            self.absent.clear();
            return Vec::new();
        }
        let mut before = std::mem::take(&mut self.absent);
        for version in record.versions().filter(|version| !known.contains(version)) {
            let since = before.remove(version).unwrap_or(now);
            self.absent.insert(version.clone(), since);
        }
        let is_over = |since: &Millis| now - *since >= STREAM_LIFETIME;
        let over = self.absent.iter().filter(|(_, since)| is_over(since));
        over.map(|(version, _)| version.clone()).collect()
    }
}

/// Returns the versions to add: those of services with routes, and a few others.
fn missing<F>(known: &Set<ServedVersion>, record: &OriginRecord, is_served: F) -> Vec<ServedVersion>
where
    F: Fn(&str) -> bool,
{
    // One more than there is room for tells the record that it isn't complete any longer.
    let free = MAX_VERSIONS.saturating_sub(record.versions().count());
    let mut room = free.max(usize::from(record.is_complete()));
    let mut missing: Vec<&ServedVersion> = known.iter().filter(|v| !record.contains(v)).collect();
    if missing.is_empty() {
        return Vec::new();
    }
    let unserved = record.versions().filter(|version| !is_served(&version.service)).count();
    let mut unserved_room = MAX_UNSERVED.saturating_sub(unserved);
    missing.sort_unstable();
    let is_taken = |version: &&&ServedVersion| {
        let limit = if is_served(&version.service) { &mut room } else { &mut unserved_room };
        let has_room = *limit > 0;
        *limit = limit.saturating_sub(1);
        has_room
    };
    missing.iter().filter(is_taken).map(|version| (*version).clone()).collect()
}

/// Has versions released once the log has them.
pub async fn follow_record(shared: Arc<Shared>) {
    let mut applied = shared.log.applied();
    let mut seen = None;
    applied.mark_changed();
    while applied.changed().await.is_ok() {
        let recorded = {
            let app = shared.log.app().read();
            let step = app.origins().step();
            (seen.replace(step) != Some(step)).then(|| app.origins().version_set())
        };
        if let Some(recorded) = recorded {
            shared.link.set_recorded_versions(recorded);
        }
    }
}

/// Submits updates of the record.
pub async fn run(shared: Arc<Shared>) {
    let mut planner = OriginPlanner::default();
    loop {
        let heard = shared.link.unrecorded_version();
        let _ = tokio::time::timeout(TICK_INTERVAL.into(), heard).await;
        let update = plan(&shared, &mut planner);
        if update.is_empty() {
            continue;
        }
        let OriginUpdate { added, removed, is_complete, routes_settled, .. } = &update;
        let list = |versions: &[ServedVersion]| {
            let names = versions.iter().map(|v| format!("{}/{}", v.service, v.software));
            names.collect::<Vec<_>>().join(",")
        };
        let (added, removed) = (list(added), list(removed));
        let (is_complete, settled) = (*is_complete, routes_settled.map(|Revision(number)| number));
        let ask = Ask::Origins(update);
        let result = submit::submit_within(&shared, &ask, SUBMIT_TIMEOUT).await;
        event!(
            Info,
            "origins_recorded",
            added = added,
            removed = removed,
            is_complete = is_complete,
            routes_settled = settled.map(|number| number.to_string()).unwrap_or_default(),
            result = if result.is_ok() { "recorded" } else { "failed" }
        );
    }
}

fn plan(shared: &Shared, planner: &mut OriginPlanner) -> OriginUpdate {
    let (now, link, status) = (shared.clock.now(), &shared.link, shared.log.status());
    let is_heard = |voter: &str| {
        voter == shared.cfg.name.as_str()
            || link.silence_of(now, &voter.into()).is_some_and(|time| time < MAX_VOTER_SILENCE)
    };
    let leader = (status.role == RoleName::Leader).then(|| LeaderView {
        history: link.history(now),
        has_heard_voters: status.voters.iter().all(|voter| is_heard(&voter.name)),
        routes: shared.settings_pieces.unchanged_routes(now),
    });
    let facts = link.endpoints(now);
    let app = shared.log.app().read();
    let (record, index) = (app.origins(), app.index());
    let view = OriginView { facts: &facts, record, index, leader };
    planner.plan(now, &view, |service| app.is_served(service))
}
