//! The leader's duties towards the platform: it reports usage, and orders endpoints.

use std::collections::BTreeSet;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use sill_base::{Millis, Name, event};
use sill_dispatch::median_speed;
use sill_dispatch::usage::window_of;
pub use sill_fleet::CountOrder;
use sill_fleet::{CountCfg, CountPlanner, Demand, LiveEndpoint, PoolView};
use sill_quorum::RoleName;
use sill_tree::{CapacityRange, Document, Service};
use sill_wire::link::{EndpointFact, EndpointState, EngineSpeed, ServiceReport};

use crate::app::command::UsageStatement;
use crate::app::{Ask, Outcome};
use crate::settings_pieces::SERVING_SUBTREE;
use crate::shared::Shared;
use crate::submit;

/// Interval between two checks whether a duty is due.
const TICK_INTERVAL: Millis = Millis(250);

/// Time after the end of a window before its usage is recorded, so that the last reports have
/// arrived: an entry instance reports at least every half second, and its control instance every
/// 400 ms.
const USAGE_DELAY: Millis = Millis(2500);

/// Time after the end of a window at which its usage is recorded even if reports are missing. Entry
/// instances behind a network partition report again when it ends; the platform waits for ten
/// seconds.
const USAGE_DEADLINE: Millis = Millis(8000);

/// Past windows that a new leader still reports; the platform accepts no older ones.
const MAX_USAGE_WINDOWS: u64 = 3;

/// Timeout of committing the usage of a window.
const USAGE_COMMIT_TIMEOUT: Millis = Millis(2000);

/// Uptime before an instance orders endpoints: it knows only those that sent a heartbeat since its
/// start.
const MIN_UPTIME_TO_ORDER: Millis = Millis(3000);

/// Interval between two plans of the number of endpoints.
const PLAN_INTERVAL: Millis = Millis(500);

/// How long an endpoint that reported its end is still shown to the planner, as a sign of a
/// reclaim. Some endpoints report nothing before their end, and the planner runs only twice a
/// second.
const ENDED_RETENTION: Millis = Millis(2000);

/// A fencing token: the platform rejects calls with a lower token than it has seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    /// The control instance that makes the call.
    pub holder: Name,
    /// The term in which it is the leader; a later leader's is higher.
    pub token: u64,
}

/// The outcome of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// The platform carried out the call.
    Done,
    /// The platform has no capacity left for the order.
    NoneLeft,
    /// The platform rejected the call, as it has seen a later fencing token.
    Fenced,
    /// No answer arrived, so the call may or may not have been carried out; with the error.
    Unanswered(String),
}

/// The platform's interface for usage reports and endpoint orders.
pub trait Platform: Send + Sync {
    /// Reports the recorded usage of a window.
    fn report_usage<'a>(
        &'a self,
        fence: &'a Fence,
        usage: &'a UsageStatement,
    ) -> BoxFuture<'a, CallOutcome>;

    /// Orders a number of endpoints.
    fn order_count<'a>(
        &'a self,
        fence: &'a Fence,
        order: &'a CountOrder,
    ) -> BoxFuture<'a, CallOutcome>;
}

/// Which duties the leader has; set by the program that embeds the control instance.
#[derive(Debug, Clone, Default)]
pub struct DutyCfg {
    /// The length of a usage window; none if usage is not reported.
    pub usage_window: Option<Millis>,
    /// Whether the leader orders endpoints.
    pub orders_endpoints: bool,
    /// Minimum time between the last call of an instance in one term and its first call in a later
    /// one. If another instance led in between, the calls then never fall into the same lease of
    /// the platform.
    pub handover_wait: Millis,
    /// Settings of the planner for the number of endpoints.
    pub counts: CountCfg,
}

/// The state of the duties in one term.
struct Duties {
    shared: Arc<Shared>,
    platform: Arc<dyn Platform>,
    cfg: DutyCfg,
    fence: Fence,
    reported_windows: BTreeSet<u64>,
    planner: CountPlanner,
    plan_at: Millis,
    /// Whether the platform has seen a later token; this term makes no further calls then.
    is_fenced: bool,
}

/// Performs the duties while this instance is the leader.
pub async fn run(shared: Arc<Shared>, platform: Arc<dyn Platform>, cfg: DutyCfg) {
    let mut duties: Option<Duties> = None;
    let mut acted_at = None;
    loop {
        tokio::time::sleep(TICK_INTERVAL.into()).await;
        let (now, status) = (shared.clock.now(), shared.log.status());
        let may_act = status.role == RoleName::Leader && now < status.reads_until;
        if status.role != RoleName::Leader {
            if let Some(duties) = duties.take() {
                event!(Info, "duties_lost", term = duties.fence.token);
            }
            continue;
        }
        let has_duties = duties.as_ref().is_some_and(|duties| duties.fence.token == status.term);
        let must_wait = acted_at.is_some_and(|acted_at| now - acted_at < cfg.handover_wait);
        if !may_act || !has_duties && must_wait {
            continue;
        }
        if !has_duties {
            event!(Info, "duties_taken", term = status.term);
            let fence = Fence { holder: shared.cfg.name.clone(), token: status.term };
            duties = Some(Duties::new(shared.clone(), platform.clone(), cfg.clone(), fence));
        }
        if let Some(duties) = &mut duties {
            duties.act(now).await;
            acted_at = Some(shared.clock.now());
        }
    }
}

impl Duties {
    fn new(shared: Arc<Shared>, platform: Arc<dyn Platform>, cfg: DutyCfg, fence: Fence) -> Self {
        let planner = CountPlanner::new(cfg.counts.clone());
        Self {
            shared,
            platform,
            cfg,
            fence,
            reported_windows: BTreeSet::new(),
            planner,
            plan_at: Millis::ZERO,
            is_fenced: false,
        }
    }

    async fn act(&mut self, now: Millis) {
        if self.is_fenced {
            return;
        }
        if let Some(length) = self.cfg.usage_window {
            self.report_usage(now, length).await;
        }
        if self.cfg.orders_endpoints
            && now >= MIN_UPTIME_TO_ORDER
            && now >= self.plan_at
            && !self.is_fenced
        {
            self.plan_at = now + PLAN_INTERVAL;
            self.order_endpoints(now).await;
        }
    }

    /// Records the usage of windows that have ended in the replicated log, then reports it.
    ///
    /// A later leader that counts again may get other figures. It repeats the recorded ones, so the
    /// platform never gets two versions.
    async fn report_usage(&mut self, now: Millis, length: Millis) {
        let true_now = self.shared.link.true_time(now);
        let newest = window_of(true_now - USAGE_DELAY, length);
        for window in newest.saturating_sub(MAX_USAGE_WINDOWS)..newest {
            if self.reported_windows.contains(&window) {
                continue;
            }
            let Some(counts) = self.shared.link.usage(window) else { continue };
            let ended = true_now - length * (window + 1);
            let is_complete = self.shared.link.is_usage_complete(now, now - ended);
            if !is_complete && ended < USAGE_DEADLINE {
                continue;
            }
            let ask = Ask::Usage(UsageStatement { window, counts });
            let commit = submit::submit_within(&self.shared, &ask, USAGE_COMMIT_TIMEOUT).await;
            let Ok(Outcome::Usage(statement)) = commit else { return };
            if !self.holds_lease() {
                return;
            }
            let outcome = self.platform.report_usage(&self.fence, &statement).await;
            let total: u64 = statement.counts.values().sum();
            event!(
                Info,
                "usage_reported",
                window = window,
                requests = total,
                token = self.fence.token,
                outcome = format!("{outcome:?}")
            );
            match outcome {
                CallOutcome::Done => {
                    self.reported_windows.insert(window);
                }
                CallOutcome::Fenced => {
                    self.is_fenced = true;
                    return;
                }
                CallOutcome::NoneLeft | CallOutcome::Unanswered(_) => {}
            }
        }
    }

    async fn order_endpoints(&mut self, now: Millis) {
        for (service, slots, range) in self.capacity_ranges() {
            let live = self.live_endpoints(now, &service);
            if live.is_empty() {
                continue;
            }
            let reports = self.service_reports(now, &service);
            let view = PoolView {
                service: &service,
                range: &range,
                slots: slots.max(1),
                prefill_tokens_per_s: median_engine_speed(&reports)
                    .map(|speed| speed.prefill_tokens_per_s),
                endpoints: &live,
                demand: demand(&reports),
            };
            for order in self.planner.plan(now, &view) {
                if !self.holds_lease() {
                    return;
                }
                self.place_order(now, order).await;
            }
        }
    }

    async fn place_order(&mut self, now: Millis, order: CountOrder) {
        let outcome = self.platform.order_count(&self.fence, &order).await;
        event!(
            Info,
            "endpoints_ordered",
            service = order.service,
            domain = order.domain,
            reclaimable = order.reclaimable,
            count = order.count,
            why = order.why,
            token = self.fence.token,
            outcome = format!("{outcome:?}")
        );
        match outcome {
            CallOutcome::Done => self.planner.record_grant(&order),
            CallOutcome::NoneLeft => self.planner.record_refusal(now, &order),
            CallOutcome::Fenced => self.is_fenced = true,
            CallOutcome::Unanswered(_) => self.planner.record_no_answer(&order),
        }
    }

    fn holds_lease(&self) -> bool {
        let status = self.shared.log.status();
        status.term == self.fence.token && self.shared.clock.now() < status.reads_until
    }

    fn capacity_ranges(&self) -> Vec<(Name, u32, CapacityRange)> {
        let app = self.shared.log.app().read();
        let document: Option<&Document> =
            app.tree().subtrees.get(SERVING_SUBTREE).map(|s| &*s.document);
        let services = document.into_iter().flat_map(|document| &document.services);
        let pools = services.filter_map(|(name, service)| match service {
            Service::Pool(pool) => Some((name, pool)),
            _ => None,
        });
        let ranges = pools.filter_map(|(name, pool)| {
            let slots = pool.engine.as_ref().map_or(0, |engine| engine.slots);
            Some((name.clone(), slots, pool.capacity.clone()?))
        });
        ranges.collect()
    }

    /// Returns the endpoints of a service that count: an operator who moves it to another version
    /// starts endpoints of that version alongside, and as surplus they would be ordered away.
    fn live_endpoints(&self, now: Millis, service: &Name) -> Vec<LiveEndpoint> {
        let app = self.shared.log.app().read();
        let rollouts = app.rollouts();
        let facts = self.shared.link.endpoints(now).into_iter();
        let facts = facts.filter(|fact| rollouts.is_counted(service, &fact.software));
        let has_just_ended =
            |f: &EndpointFact| f.state == EndpointState::Gone && f.age < ENDED_RETENTION;
        let is_counted = |f: &EndpointFact| f.state < EndpointState::Silent || has_just_ended(f);
        let of_service = facts.filter(|f| f.service == *service && is_counted(f));
        let live = of_service.map(|fact| LiveEndpoint {
            is_leaving: fact.state != EndpointState::Ready,
            domain: fact.domain,
            reclaimable: fact.reclaimable,
        });
        live.collect()
    }

    /// Returns the reports of all entry instances on a service.
    fn service_reports(&self, now: Millis, service: &Name) -> Vec<ServiceReport> {
        let all = self.shared.link.reports(now).into_iter();
        all.flat_map(|report| report.services).filter(|s| s.service == *service).collect()
    }
}

/// Returns the median of the engine speeds that entry instances measured for a service.
fn median_engine_speed(reports: &[ServiceReport]) -> Option<EngineSpeed> {
    median_speed(reports.iter().filter_map(|report| report.speed))
}

fn demand(reports: &[ServiceReport]) -> Demand {
    let mut demand = Demand::default();
    for report in reports {
        demand.running += report.running;
        demand.fresh_tokens_per_s += report.fresh_tokens_per_s;
        demand.refused_per_s += report.refused_per_s;
    }
    demand
}
