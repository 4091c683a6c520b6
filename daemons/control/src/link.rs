//! State that control instances exchange with entry instances that serve routes: endpoint facts and
//! settings are sent to them, usage and load reports are received from them. Control instances
//! replicate both among each other.

use std::sync::Arc;

use parking_lot::Mutex;
use sill_base::{Findings, Map, Millis, Name, Set, event};
use sill_dispatch::relays::{fingerprint, limit_offers, select_offers};
use sill_dispatch::{
    CrashLog, EndpointLoads, EntryCounts, HeldVersions, Registry, ReportStore, TotalsAggregator,
    TrueTime,
};
use sill_rollout::{EntryView, OrderState};
use sill_wire::link::{
    ControlSync, ControlSyncReply, Cursor, EndpointFact, EndpointLoad, EntryReport, RelayOffer,
    Totals,
};
use sill_wire::rollout::RolloutReport;
use sill_wire::streams::{EntryPeer, ServedVersion};
use sill_wire::{CrashUpdate, Incarnation};
use tokio::sync::watch;

use crate::cfg::ControlCfg;
use crate::metrics::Metrics;

pub mod calls;

/// Age up to which a report shows that an entry instance still offers tunnels.
const OFFER_TTL: Millis = Millis(1500);

/// Age up to which an entry instance is listed after its last report. A control instance that was
/// suspended must not list only those that report first afterwards: the others keep records of streams.
const ENTRY_TTL: Millis = Millis(15_000);

/// Shortest time between two lists of entry instances that are sent. A list names hundreds of
/// instances, and many restart at once.
const ENTRY_LIST_INTERVAL: Millis = Millis(1000);

/// The history of a control instance that has seen the beginning of the system.
const UNLIMITED_HISTORY: Millis = Millis::from_secs(1 << 32);

/// Number of offers of tunnels that are passed on between control instances, some 4 kB.
const MAX_OFFERS: usize = 64;

/// The state a control instance holds about endpoints and about entry instances that serve routes.
#[derive(Debug)]
pub struct Link {
    incarnation: Incarnation,
    name: Name,
    registry: Mutex<Registry>,
    held_versions: Mutex<HeldVersions>,
    /// Notified when an endpoint of a version that the replicated log doesn't have was heard here.
    unrecorded: tokio::sync::Notify,
    /// When each other control instance was heard last.
    heard: Mutex<Map<Name, Millis>>,
    report_store: Mutex<ReportStore>,
    time: Mutex<TrueTime>,
    loads: Mutex<EndpointLoads>,
    crash_log: Mutex<CrashLog>,
    totals: Mutex<Option<ReceivedTotals>>,
    /// Offers of tunnels that the leader has sent.
    relays: Mutex<Vec<RelayOffer>>,
    /// Entry instances that the leader knows of.
    entries: Mutex<Vec<EntryPeer>>,
    /// The list of entry instances that was sent last.
    entry_list: Mutex<EntryList>,
    /// The time before the start of this process for which it knows all endpoints.
    history: Mutex<Millis>,
    aggregator: Mutex<TotalsAggregator>,
    changes: watch::Sender<u64>,
    urgent_sync: tokio::sync::Notify,
}

#[derive(Debug, Clone)]
struct ReceivedTotals {
    totals: Totals,
    at: Millis,
}

impl Link {
    /// Creates a link without endpoints or reports. Its incarnation is the current wall time.
    pub fn new(cfg: &ControlCfg) -> Self {
        let incarnation = Incarnation(Millis::wall().0);
        Self {
            incarnation,
            name: cfg.name.clone(),
            registry: Mutex::new(Registry::new(incarnation, cfg.endpoint_heartbeat)),
            held_versions: Mutex::default(),
            unrecorded: tokio::sync::Notify::new(),
            heard: Mutex::default(),
            report_store: Mutex::default(),
            time: Mutex::default(),
            loads: Mutex::default(),
            crash_log: Mutex::default(),
            totals: Mutex::default(),
            relays: Mutex::default(),
            entries: Mutex::default(),
            entry_list: Mutex::default(),
            history: Mutex::default(),
            aggregator: Mutex::default(),
            changes: watch::Sender::new(0),
            urgent_sync: tokio::sync::Notify::new(),
        }
    }

    /// Records a heartbeat of an endpoint, and wakes waiting polls if it changed anything.
    ///
    /// # Errors
    ///
    /// Fails if the service or failure domain differs from an earlier heartbeat of the same
    /// incarnation.
    pub fn record_heartbeat(&self, now: Millis, fact: EndpointFact) -> Result<(), Findings> {
        if self.registry.lock().lacks_incarnation(&fact) {
            return Err(Findings::one("born", "missing, though other endpoints report theirs"));
        }
        if self.registry.lock().is_contradictory(&fact) {
            let reason = "another service or failure domain than before in the same life";
            return Err(Findings::one("service", reason));
        }
        let (endpoint, state, sequence) = (fact.endpoint.clone(), fact.state, fact.sequence);
        let (born, leaves_in) = (fact.incarnation, fact.leaves_in);
        let (service, domain, address) = (fact.service.clone(), fact.domain.clone(), fact.address);
        let software = fact.software.clone();
        let is_held = self.observe_version(now, &fact);
        let is_newer = self.registry.lock().record_heartbeat(now, fact);
        if is_held {
            // Not earlier: the endpoint would not be found.
            self.unrecorded.notify_one();
        }
        self.record_returns(now);
        if is_newer {
            event!(
                Info,
                "endpoint_heard",
                endpoint = endpoint,
                state = format!("{state:?}"),
                sequence = sequence,
                service = service,
                domain = domain,
                address = address,
                born = born.0,
                software = software,
                leaves_ms = leaves_in.map(|left| left.to_string()).unwrap_or_default(),
            );
            self.publish_urgently();
        }
        Ok(())
    }

    /// Records that an endpoint was heard of, before entry instances are told of it. Returns whether its
    /// version is held from now on.
    fn observe_version(&self, now: Millis, fact: &EndpointFact) -> bool {
        if fact.service.is_empty() {
            return false;
        }
        let version = fact.served_version();
        let is_held = self.held_versions.lock().observe(now, &version);
        if is_held {
            let ServedVersion { service, software } = version;
            event!(Info, "version_held", service = service, software = software);
        }
        is_held
    }

    /// Replaces the versions that the replicated log has.
    pub fn set_recorded_versions(&self, recorded: Set<ServedVersion>) {
        let released = self.held_versions.lock().set_recorded(recorded);
        self.release_versions(&released, "recorded");
    }

    /// Lets endpoints begin streams whose versions were held for too long.
    fn release_overdue_versions(&self, now: Millis) {
        let released = self.held_versions.lock().expire(now);
        self.release_versions(&released, "overdue");
    }

    fn release_versions(&self, released: &[ServedVersion], why: &str) {
        if released.is_empty() {
            return;
        }
        for ServedVersion { service, software } in released {
            event!(Info, "version_released", service = service, software = software, why = why);
        }
        self.registry.lock().mark_versions_changed(released);
        self.publish();
    }

    /// Waits until an endpoint of a version is heard here that the replicated log doesn't have.
    pub async fn unrecorded_version(&self) {
        self.unrecorded.notified().await;
    }

    /// Returns the time since another control instance was heard.
    pub fn silence_of(&self, now: Millis, control: &Name) -> Option<Millis> {
        self.heard.lock().get(control).map(|at| now - *at)
    }

    /// Withdraws crashes of endpoints that were only silent.
    fn record_returns(&self, now: Millis) {
        let returned = self.registry.lock().take_returned();
        for (endpoint, born) in returned {
            if self.crash_log.lock().record_return(now, &endpoint, born) {
                event!(Info, "endpoint_crash_withdrawn", endpoint = endpoint, born = born.0);
            }
        }
    }

    /// Records that an endpoint reported its own end.
    pub fn record_end(&self, now: Millis, endpoint: &Name, born: Option<Incarnation>) {
        if self.registry.lock().record_end(now, endpoint, born) {
            event!(Info, "endpoint_heard", endpoint = endpoint, state = "Gone");
            self.publish_urgently();
        }
    }

    /// Wakes the polls of entry instances and starts a sync to the other control instances.
    fn publish_urgently(&self) {
        self.publish();
        self.urgent_sync.notify_one();
    }

    /// Wakes the waiting polls of entry instances.
    fn publish(&self) {
        let change = self.registry.lock().cursor().change;
        self.changes.send_replace(change);
    }

    /// Merges the endpoint facts, reports and totals that another control instance sent.
    pub fn merge_sync(&self, now: Millis, sync: ControlSync) -> ControlSyncReply {
        self.time.lock().record(now, &sync.from.name, sync.wall);
        self.heard.lock().insert(sync.from.name.clone(), now);
        let mut is_changed = false;
        for fact in sync.endpoints {
            is_changed |= self.merge_fact(now, fact, &sync.from.name);
        }
        self.record_crashes(now, &sync.crashes, &sync.from.name);
        for report in sync.reports {
            self.report_store.lock().record(now, report, false);
        }
        if let Some(relays) = sync.relays {
            *self.relays.lock() = relays;
        }
        if let Some(entries) = sync.entries {
            *self.entries.lock() = entries;
        }
        if let Some(history) = sync.history {
            self.extend_history(now, history);
        }
        if let Some(totals) = sync.totals {
            let at = now - totals.age;
            *self.totals.lock() = Some(ReceivedTotals { totals, at });
        }
        if is_changed {
            self.publish();
        }
        ControlSyncReply { incarnation: self.incarnation }
    }

    /// Merges an endpoint fact from another control instance. Returns whether it changed the
    /// registry.
    fn merge_fact(&self, now: Millis, fact: EndpointFact, from: &Name) -> bool {
        let (endpoint, state, sequence) = (fact.endpoint.clone(), fact.state, fact.sequence);
        let age = fact.age;
        self.observe_version(now, &fact);
        let is_newer = self.registry.lock().merge(now, fact);
        self.record_returns(now);
        if is_newer {
            event!(
                Info,
                "endpoint_told",
                endpoint = endpoint,
                state = format!("{state:?}"),
                sequence = sequence,
                from = from,
                age_ms = age
            );
        }
        is_newer
    }

    /// Returns the time of day, estimated from the wall clocks of this and other instances. Without
    /// an estimate it is the own wall clock.
    pub fn true_time(&self, now: Millis) -> Millis {
        let mut time = self.time.lock();
        time.record(now, &self.name, Millis::wall());
        time.time_of_day(now).unwrap_or_else(Millis::wall)
    }

    /// Returns the current facts of all registered endpoints.
    pub fn endpoints(&self, now: Millis) -> Vec<EndpointFact> {
        self.registry.lock().all(now)
    }

    /// Returns the newest report of each live entry instance.
    pub fn reports(&self, now: Millis) -> Vec<EntryReport> {
        self.report_store.lock().live(now).into_iter().cloned().collect()
    }

    /// Returns what each entry instance has last counted for orders in progress, of those that have
    /// reported within `span`.
    pub fn rollout_evidence(&self, now: Millis, span: Millis) -> Vec<RolloutEvidence> {
        let report_store = self.report_store.lock();
        let entries = report_store.incarnations(now, span);
        let evidence = entries.iter().map(|entry| {
            let report = &entry.newest.report;
            let services = report.services.iter();
            RolloutEvidence {
                entry: report.entry.clone(),
                incarnation: report.incarnation,
                age: entry.newest.age(now),
                reports: services
                    .filter_map(|s| Some((s.service.clone(), s.rollout.clone()?)))
                    .collect(),
            }
        });
        evidence.collect()
    }

    /// Returns the number of entry instances that are known, reporting or not.
    pub fn expected_entries(&self, now: Millis) -> u32 {
        self.totals(now).map_or(0, |totals| totals.entries)
    }

    /// Returns whether entry instances have reported that an incarnation of an endpoint crashed
    /// after `since`.
    pub fn has_crashed_since(&self, since: Millis, endpoint: &Name, born: Incarnation) -> bool {
        self.crash_log.lock().has_crashed_since(since, endpoint, born)
    }

    /// Sums the usage of a window over all entry instances.
    pub fn usage(&self, window: u64) -> Option<std::collections::BTreeMap<Name, u64>> {
        self.report_store.lock().total(window)
    }

    /// Returns whether all entry instances have reported since a point in time.
    pub fn is_usage_complete(&self, now: Millis, since: Millis) -> bool {
        self.report_store.lock().is_complete(now, since)
    }

    /// Records the report that came with a poll of an entry instance.
    fn record_report(&self, now: Millis, mut report: EntryReport) {
        let loads = std::mem::take(&mut report.loads);
        self.loads.lock().record(now, loads);
        self.time.lock().record(now, &report.entry, report.wall);
        self.report_store.lock().record(now, report, true);
    }

    /// Records crashes of endpoints that an entry instance or another control instance reported.
    fn record_crashes(&self, now: Millis, update: &CrashUpdate, from: &Name) {
        let mut crash_log = self.crash_log.lock();
        for crash in &update.crashes {
            if crash_log.record(now, crash) {
                event!(
                    Info,
                    "endpoint_crash_heard",
                    endpoint = crash.endpoint,
                    born = crash.incarnation.0,
                    requests = crash.requests.len(),
                    from = from,
                    age_ms = crash.age
                );
            }
        }
        for completed in &update.completed {
            crash_log.record_completed(now, *completed);
        }
        for answered in &update.answered {
            crash_log.record_answered(now, answered);
        }
    }

    /// Starts to aggregate demand as the new leader, from the last totals received.
    fn begin_aggregation(&self, now: Millis) {
        let last = self.totals(now);
        event!(
            Info,
            "adding_begun",
            reports = self.report_store.lock().live(now).len(),
            entries = last.as_ref().map_or(0, |last| last.entries),
            age_ms = last.as_ref().map(|last| last.age.to_string()).unwrap_or_default()
        );
        self.aggregator.lock().begin(now, last.as_ref());
    }

    /// Aggregates demand, and updates the metric of reporting, silent and unknown entry instances.
    fn aggregate_totals(&self, now: Millis, metrics: &Metrics) -> Option<Totals> {
        let mut aggregator = self.aggregator.lock();
        let before = aggregator.entry_counts();
        let totals = aggregator.aggregate(now, &self.report_store.lock())?;
        let after = aggregator.entry_counts();
        if after != before {
            let EntryCounts { reporting, silent, unknown } = after;
            for (state, count) in [("heard", reporting), ("silent", silent), ("unknown", unknown)] {
                metrics.entries.with_label_values(&[state]).set(i64::from(count));
            }
            event!(
                Info,
                "entries_counted",
                heard = reporting,
                silent = silent,
                unknown = unknown,
                entries = totals.entries
            );
        }
        Some(totals)
    }

    /// Returns the newest totals with their current age.
    fn totals(&self, now: Millis) -> Option<Totals> {
        let received = self.totals.lock().clone()?;
        Some(Totals { age: now - received.at, ..received.totals })
    }

    /// Returns the entry instances that offer tunnels. What one reports here goes before what the
    /// leader has sent.
    fn relay_offers(&self, now: Millis) -> Vec<RelayOffer> {
        let report_store = self.report_store.lock();
        let reports = report_store.reported_within(now, OFFER_TTL);
        let is_reporting = |entry: &Name| reports.iter().any(|report| report.entry == *entry);
        let mut offers = self.relays.lock().clone();
        offers.retain(|offer| !is_reporting(&offer.entry));
        offers.extend(reports.iter().filter_map(|report| {
            let (entry, domain) = (report.entry.clone(), report.domain.clone());
            Some(RelayOffer { entry, domain, address: report.relay? })
        }));
        limit_offers(offers, MAX_OFFERS)
    }

    /// Returns the entry instances that are alive. What one reports here goes before what the leader
    /// has sent.
    fn entry_peers(&self, now: Millis) -> Vec<EntryPeer> {
        let report_store = self.report_store.lock();
        let reports = report_store.reported_within(now, ENTRY_TTL);
        let is_reporting = |entry: &Name| reports.iter().any(|report| report.entry == *entry);
        let mut peers = self.entries.lock().clone();
        peers.retain(|peer| !is_reporting(&peer.entry));
        peers.extend(reports.iter().filter_map(|report| {
            let (entry, domain) = (report.entry.clone(), report.domain.clone());
            let incarnation = report.incarnation;
            Some(EntryPeer { entry, domain, address: report.peer?, incarnation })
        }));
        peers.sort();
        peers
    }

    /// Returns the list of entry instances to send, which is a second old at most.
    fn entry_list(&self, now: Millis) -> EntryList {
        let mut list = self.entry_list.lock();
        if list.fingerprint == 0 || now - list.made_at >= ENTRY_LIST_INTERVAL {
            let entries = self.entry_peers(now);
            *list = EntryList {
                fingerprint: fingerprint(&entries),
                entries: entries.into(),
                made_at: now,
            };
        }
        list.clone()
    }

    /// Returns the time for which facts about endpoints have been recorded without a gap.
    pub fn history(&self, now: Millis) -> Millis {
        now + *self.history.lock()
    }

    /// Records that the system is new, so that no endpoint was there before.
    pub fn record_bootstrap(&self) {
        *self.history.lock() = UNLIMITED_HISTORY;
    }

    /// Takes over the history of another control instance that has sent all of its facts.
    fn extend_history(&self, now: Millis, history: Millis) {
        let mut own = self.history.lock();
        *own = (*own).max(history - now);
    }

    /// Returns the offers of tunnels for an entry instance with their fingerprint.
    fn relays_for(&self, now: Millis, entry: &Name, domain: &Name) -> (u64, Vec<RelayOffer>) {
        let offers = select_offers(entry, domain, &self.relay_offers(now));
        (fingerprint(&offers), offers)
    }

    /// Returns the endpoint facts, loads and crashes that are newer than a cursor.
    fn updates_since(&self, now: Millis, cursor: Cursor) -> Updates {
        let (newest, endpoints) = {
            let registry = self.registry.lock();
            (registry.cursor(), registry.newer_than(now, cursor))
        };
        let seen = if cursor.incarnation == self.incarnation { cursor.load } else { 0 };
        let (load, loads) = self.loads.lock().newer_than(now, seen);
        let seen = if cursor.incarnation == self.incarnation { cursor.crash } else { 0 };
        let (crash, crashes) = self.crash_log.lock().newer_than(now, seen);
        Updates { cursor: Cursor { load, crash, ..newest }, endpoints, loads, crashes }
    }
}

/// What one entry instance has counted for orders in progress.
#[derive(Debug, Clone)]
pub struct RolloutEvidence {
    entry: Name,
    incarnation: Incarnation,
    age: Millis,
    reports: Vec<(Name, RolloutReport)>,
}

impl RolloutEvidence {
    /// Returns what is known of the entry instance with regard to one order. Counts that belong to
    /// an earlier order of the service are left out.
    pub fn view(&self, order: &OrderState) -> EntryView<'_> {
        let mut reports = self.reports.iter().filter(|(service, _)| *service == order.service);
        let report = reports.find(|(_, report)| report.order == order.order);
        EntryView {
            entry: &self.entry,
            incarnation: self.incarnation,
            age: self.age,
            report: report.map(|(_, report)| report),
        }
    }
}

/// A list of entry instances.
#[derive(Debug, Default, Clone)]
struct EntryList {
    entries: Arc<[EntryPeer]>,
    /// Tells lists apart; 0 before the first.
    fingerprint: u64,
    made_at: Millis,
}

/// Endpoint changes that an entry instance has not received yet.
struct Updates {
    cursor: Cursor,
    endpoints: Vec<EndpointFact>,
    loads: Vec<EndpointLoad>,
    crashes: CrashUpdate,
}
