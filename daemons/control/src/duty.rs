//! What the leader does for all: it reports usage to the platform, and orders endpoints from it.

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

/// How often duties are looked at.
const TICK: Millis = Millis(250);

/// Time after the end of a window before its usage is stated, so that the last reports are in: an
/// entry instance reports at least every half second, and its control instance every 400 ms.
const USAGE_DELAY: Millis = Millis(2500);

/// Time after the end of a window at which its usage is stated even without some reports. Entry instances
/// that are cut off report again when the cut ends; the platform waits for ten seconds.
const USAGE_LATEST: Millis = Millis(8000);

/// Windows that a new leader still states; the platform takes no older ones.
const USAGE_WINDOWS: u64 = 3;

/// How long a commit of usage may take.
const PATIENCE: Millis = Millis(2000);

/// How long an instance must have been up before it orders endpoints: it knows only those that made
/// themselves heard since.
const SETTLE: Millis = Millis(3000);

/// How often the number of endpoints is looked at.
const PLAN_EVERY: Millis = Millis(500);

/// How long an endpoint that said it ends still tells the planner of a reclaim. Some say nothing before; the
/// planner looks twice a second.
const JUST_ENDED: Millis = Millis(2000);

/// Who acts, and a number that is higher for each later one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fence {
    /// The control instance.
    pub holder: Name,
    /// Its term as the leader.
    pub token: u64,
}

/// What became of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was carried out.
    Done,
    /// The platform has none to give.
    NoneLeft,
    /// A later holder has acted.
    Fenced,
    /// Not heard, or heard and not answered.
    Unanswered(String),
}

/// Calls to the platform.
pub trait Platform: Send + Sync {
    /// Reports the usage of a window.
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

/// What is to be done.
#[derive(Debug, Clone, Default)]
pub struct DutyCfg {
    /// The length of a window of usage, if usage is to be reported.
    pub usage_window: Option<Millis>,
    /// Whether endpoints are to be ordered.
    pub orders_endpoints: bool,
    /// Time for which an instance that leads again waits after its last call of an earlier term, so
    /// that with another one between them its calls never fall into one lease of the platform's.
    pub turn_wait: Millis,
    /// Figures for the number of endpoints.
    pub counts: CountCfg,
}

/// The duties of one term.
struct Duties {
    shared: Arc<Shared>,
    platform: Arc<dyn Platform>,
    cfg: DutyCfg,
    fence: Fence,
    reported: BTreeSet<u64>,
    planner: CountPlanner,
    plan_at: Millis,
    /// Whether a later holder was seen; this term never acts again then.
    is_over: bool,
}

/// Carries out the duties while this instance leads.
pub async fn run(shared: Arc<Shared>, platform: Arc<dyn Platform>, cfg: DutyCfg) {
    let mut duties: Option<Duties> = None;
    let mut acted_at = None;
    loop {
        tokio::time::sleep(TICK.into()).await;
        let (now, status) = (shared.clock.now(), shared.log.status());
        let may_act = status.role == RoleName::Leader && now < status.reads_until;
        if status.role != RoleName::Leader {
            if let Some(lost) = duties.take() {
                event!(Info, "duties_lost", term = lost.fence.token);
            }
            continue;
        }
        let is_taken = duties.as_ref().is_some_and(|duties| duties.fence.token == status.term);
        let must_wait = acted_at.is_some_and(|acted_at| now - acted_at < cfg.turn_wait);
        if !may_act || !is_taken && must_wait {
            continue;
        }
        if !is_taken {
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
            reported: BTreeSet::new(),
            planner,
            plan_at: Millis::ZERO,
            is_over: false,
        }
    }

    async fn act(&mut self, now: Millis) {
        if self.is_over {
            return;
        }
        if let Some(length) = self.cfg.usage_window {
            self.report_usage(now, length).await;
        }
        if self.cfg.orders_endpoints && now >= SETTLE && now >= self.plan_at && !self.is_over {
            self.plan_at = now + PLAN_EVERY;
            self.order_endpoints(now).await;
        }
    }

    /// States the usage of windows that have ended, then reports it.
    ///
    /// What is stated lies in the replicated log before it is sent. A successor that counts anew may
    /// count otherwise; it repeats what was stated, so the platform never gets two versions.
    async fn report_usage(&mut self, now: Millis, length: Millis) {
        let true_now = self.shared.link.true_time(now);
        let newest = window_of(true_now - USAGE_DELAY, length);
        for window in newest.saturating_sub(USAGE_WINDOWS)..newest {
            if self.reported.contains(&window) {
                continue;
            }
            let Some(counts) = self.shared.link.usage(window) else { continue };
            let ended = true_now - length * (window + 1);
            let is_complete = self.shared.link.is_usage_complete(now, now - ended);
            if !is_complete && ended < USAGE_LATEST {
                continue;
            }
            let ask = Ask::Usage(UsageStatement { window, counts });
            let stated = submit::submit_within(&self.shared, &ask, PATIENCE).await;
            let Ok(Outcome::Usage(statement)) = stated else { return };
            if !self.still_leads() {
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
                    self.reported.insert(window);
                }
                CallOutcome::Fenced => {
                    self.is_over = true;
                    return;
                }
                CallOutcome::NoneLeft | CallOutcome::Unanswered(_) => {}
            }
        }
    }

    async fn order_endpoints(&mut self, now: Millis) {
        for (service, slots, range) in self.ranges() {
            let live = self.live(now, &service);
            if live.is_empty() {
                continue;
            }
            let work = self.work(now, &service);
            let view = PoolView {
                service: &service,
                range: &range,
                slots: slots.max(1),
                prefill_tokens_per_s: speed(&work).map(|speed| speed.prefill_tokens_per_s),
                endpoints: &live,
                demand: demand(&work),
            };
            for order in self.planner.plan(now, &view) {
                if !self.still_leads() {
                    return;
                }
                self.order(now, order).await;
            }
        }
    }

    async fn order(&mut self, now: Millis, order: CountOrder) {
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
            CallOutcome::Fenced => self.is_over = true,
            CallOutcome::Unanswered(_) => self.planner.record_no_answer(&order),
        }
    }

    fn still_leads(&self) -> bool {
        let status = self.shared.log.status();
        status.term == self.fence.token && self.shared.clock.now() < status.reads_until
    }

    fn ranges(&self) -> Vec<(Name, u32, CapacityRange)> {
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

    fn live(&self, now: Millis, service: &Name) -> Vec<LiveEndpoint> {
        let facts = self.shared.link.endpoints(now).into_iter();
        let has_just_ended =
            |f: &EndpointFact| f.state == EndpointState::Gone && f.age < JUST_ENDED;
        let is_told = |f: &EndpointFact| f.state < EndpointState::Silent || has_just_ended(f);
        let of_service = facts.filter(|f| f.service == *service && is_told(f));
        let live = of_service.map(|fact| LiveEndpoint {
            is_leaving: fact.state != EndpointState::Ready,
            domain: fact.domain,
            reclaimable: fact.reclaimable,
        });
        live.collect()
    }

    /// Returns what each entry instance reports of a service.
    fn work(&self, now: Millis, service: &Name) -> Vec<ServiceReport> {
        let reports = self.shared.link.reports(now).into_iter();
        reports.flat_map(|report| report.services).filter(|s| s.service == *service).collect()
    }
}

/// Returns the speed of a service's engines, as most entry instances have learned it.
fn speed(work: &[ServiceReport]) -> Option<EngineSpeed> {
    median_speed(work.iter().filter_map(|report| report.speed))
}

fn demand(work: &[ServiceReport]) -> Demand {
    let mut demand = Demand::default();
    for report in work {
        demand.running += report.running;
        demand.fresh_tokens_per_s += report.fresh_tokens_per_s;
        demand.refused_per_s += report.refused_per_s;
    }
    demand
}
