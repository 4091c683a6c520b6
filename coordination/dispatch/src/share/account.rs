//! The limit of one account as an entry instance applies it.

use std::collections::VecDeque;

use sill_base::Millis;
use sill_limit::Bucket;
use sill_wire::link::{AccountTotal, LIMIT_WINDOW};

use crate::average::MovingAverage;
use crate::share::LimitBounds;
use crate::share::estimate::{AdmittedByReason, LimitEstimate};
use crate::share::window::Window;

/// Part of a limit that is spread evenly, so that an account's calls may begin at any entry
/// instance.
const EVEN_PART: f64 = 0.15;

/// Part of the window limit up to which no call is refused.
const FREE_PART: f64 = 0.96;

/// Part of the slack that is added to that part. Small limits consist mostly of slack.
const FREE_SLACK_PART: f64 = 0.1;

/// Part of the slack that may be admitted beyond the window limit.
const MAX_SLACK_PART: f64 = 0.2;

/// Time until an entry instance detects that a limit is reached. The demand beyond the limit during
/// this time is kept free below it.
const REACTION_TIME: Millis = Millis(1000);

/// Part of the burst that is presumed to be used, in addition to the rate, in a time without
/// reports.
const PRESUMED_BURST: f64 = 0.5;

/// Typical span for which admitted amounts are not in the totals yet.
const TYPICAL_UNREPORTED_SPAN: Millis = Millis(500);

/// Demand per second below which an account counts as idle.
const IDLE_DEMAND: f64 = 1e-3;

/// How long reported demands are kept for comparison with totals.
const REPORTED_DEMAND_TTL: Millis = Millis(3000);

/// Span of the moving average of the demand. With a shorter one, a single large prompt would take
/// the whole share.
pub(super) const DEMAND_SPAN: Millis = Millis(4000);

/// Span of the moving average of the admitted rate, which extrapolates older sums to now.
pub(super) const ADMITTED_RATE_SPAN: Millis = Millis(700);

/// Part of the window limit from which on reports list admitted amounts by second. Below it there
/// is room for amounts that stay in the sum for too long.
const BY_SECOND_PART: f64 = 0.4;

/// Part of the window limit from which on estimates are logged.
const NEAR_LIMIT_PART: f64 = 0.8;

/// Interval between the estimates of one account.
const ESTIMATE_INTERVAL: Millis = Millis(1000);

/// The limit of one account at this entry instance.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) limit: Limit,
    pub(super) bucket: Bucket,
    pub(super) demand: MovingAverage,
    /// Demand averages as reported, since totals that include them return later.
    reported: VecDeque<ReportedDemand>,
    pub(super) admitted_rate: MovingAverage,
    pub(super) admitted: Window,
    /// Amount admitted by all entry instances in the last window, as of the newest totals.
    pub(super) total_admitted: f64,
    /// Amount admitted per second by all entry instances, as of the newest totals.
    pub(super) total_admitted_per_s: f64,
    pub(super) admitted_since_total: f64,
    pub(super) total_demand_per_s: f64,
    pub(super) share: Option<f64>,
    has_totals: bool,
    pub(super) admitted_by_reason: AdmittedByReason,
    pub(super) has_refused: bool,
    /// When the last estimate was taken.
    pub(super) estimated_at: Option<Millis>,
}

#[derive(Debug, Clone, Copy)]
struct ReportedDemand {
    asked_per_s: f64,
    at: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Limit {
    pub(super) rate: f64,
    pub(super) burst: f64,
}

impl Account {
    /// Opens an account with a full bucket.
    pub(super) fn open(now: Millis, limit: Limit, share: f64, bounds: LimitBounds) -> Self {
        Self {
            limit,
            bucket: Bucket::new(now, limit.rate * share, accumulation_span(limit, bounds)),
            demand: MovingAverage::new(now),
            reported: VecDeque::new(),
            admitted_rate: MovingAverage::new(now),
            admitted: Window::default(),
            total_admitted: 0.0,
            total_admitted_per_s: 0.0,
            admitted_since_total: 0.0,
            total_demand_per_s: 0.0,
            share: None,
            has_totals: false,
            admitted_by_reason: AdmittedByReason::default(),
            has_refused: false,
            estimated_at: None,
        }
    }

    /// Applies the totals of the account; `at` is the time of the reports that they are made of.
    pub(super) fn apply_total(&mut self, at: Millis, entries: u32, total: &AccountTotal) {
        self.drop_initial_burst();
        let own = self.reported_demand(at);
        let all = total.asked_per_s.max(own);
        let demand_part = if all > 0.0 { own / all } else { 0.0 };
        let even = EVEN_PART / f64::from(entries);
        let left = 1.0 - total.held;
        self.share = Some(left * ((1.0 - EVEN_PART) * demand_part + even));
        let unreported_s = total.unreported_s.unwrap_or(total.held * LIMIT_WINDOW.as_secs_f64());
        self.total_admitted = total.admitted + self.presumed_admitted(unreported_s);
        self.total_admitted_per_s = total.admitted_per_s;
        self.admitted_since_total = 0.0;
        self.total_demand_per_s = total.asked_per_s;
    }

    /// Applies totals that don't contain the account, as no entry instance has reported it. Its
    /// share stays.
    pub(super) fn apply_no_total(&mut self, unreported_s: f64) {
        if unreported_s > 0.0 {
            self.drop_initial_burst();
        }
        self.total_admitted = self.presumed_admitted(unreported_s);
        self.total_admitted_per_s = 0.0;
        self.admitted_since_total = 0.0;
        self.total_demand_per_s = 0.0;
    }

    /// Empties the bucket that was full at process start. Other entry instances, or this one before
    /// a restart, may have used the burst.
    fn drop_initial_burst(&mut self) {
        if !std::mem::replace(&mut self.has_totals, true) {
            self.bucket.drain();
        }
    }

    /// Returns the amount that is presumed to be admitted in a time without reports.
    fn presumed_admitted(&self, unreported_s: f64) -> f64 {
        let Limit { rate, burst } = self.limit;
        unreported_s * (rate + PRESUMED_BURST * burst / LIMIT_WINDOW.as_secs_f64())
    }

    /// Returns the amounts admitted here by second, or nothing if the account is far below its
    /// limit.
    pub(super) fn by_second(&mut self, now: Millis, unreported_span: Millis) -> Vec<u64> {
        if self.presumed_total(unreported_span) < BY_SECOND_PART * self.window_limit() {
            return Vec::new();
        }
        self.admitted.by_second(now)
    }

    /// Returns whether the bucket holds at least `amount`.
    pub(super) fn holds(&self, amount: f64) -> bool {
        self.bucket.balance() >= amount
    }

    /// Returns the amount that all entry instances may admit in a window without regard to their
    /// shares.
    pub(super) fn free_amount(&self, bounds: LimitBounds) -> f64 {
        // The admitted rate shows a jump in demand seconds before the average demand does.
        let demand = self.total_demand_per_s.max(self.total_admitted_per_s);
        let excess = (demand - self.limit.rate).max(0.0);
        FREE_PART * self.window_limit() + FREE_SLACK_PART * bounds.slack
            - excess * REACTION_TIME.as_secs_f64()
    }

    /// Returns the amount that the account may use in a window.
    pub(super) fn window_limit(&self) -> f64 {
        self.limit.rate * LIMIT_WINDOW.as_secs_f64() + self.limit.burst
    }

    /// Returns the amount beyond which nothing is admitted in a window, as far as known.
    pub(super) fn max_admitted(&self, bounds: LimitBounds) -> f64 {
        self.window_limit() + MAX_SLACK_PART * bounds.slack
    }

    /// Returns when an amount fits into the own share, and when into what all entry instances may
    /// admit.
    pub(super) fn waits(
        &self,
        unreported_span: Millis,
        amount: f64,
        bounds: LimitBounds,
    ) -> (Millis, Millis) {
        let here = self.bucket.time_to_balance(amount);
        let beyond =
            (self.presumed_total(unreported_span) + amount - self.free_amount(bounds)).max(0.0);
        let everywhere = Millis((beyond / self.limit.rate.max(1e-9) * 1000.0) as u64);
        (here, everywhere)
    }

    /// Returns whether all entry instances together stay far below the limit with one more call.
    pub(super) fn is_far_below(
        &self,
        unreported_span: Millis,
        amount: f64,
        bounds: LimitBounds,
    ) -> bool {
        // Until newer totals arrive, the whole demand may be admitted by entry instances that all
        // see the same room.
        let per_s = (self.total_demand_per_s - self.total_admitted_per_s).max(0.0);
        let presumed = self.presumed_total(unreported_span)
            + per_s * (unreported_span - TYPICAL_UNREPORTED_SPAN).as_secs_f64();
        presumed + amount < self.free_amount(bounds)
    }

    /// Returns the amount that all entry instances are presumed to have admitted in the last
    /// window. What they admitted after the reports is not known; while demand jumps, that alone
    /// may be a second's worth of the limit.
    pub(super) fn presumed_total(&self, unreported_span: Millis) -> f64 {
        self.total_admitted
            + self.total_admitted_per_s * unreported_span.as_secs_f64()
            + self.admitted_since_total
    }

    /// Returns an estimate of the account if it is near its limit and the last estimate is not too
    /// recent.
    pub(super) fn take_estimate(
        &mut self,
        now: Millis,
        unreported_span: Millis,
    ) -> Option<LimitEstimate> {
        let admitted_everywhere = self.presumed_total(unreported_span);
        let is_near =
            self.has_refused || admitted_everywhere > NEAR_LIMIT_PART * self.window_limit();
        let is_due =
            self.estimated_at.is_none_or(|estimated_at| now - estimated_at >= ESTIMATE_INTERVAL);
        if !is_near || !is_due {
            return None;
        }
        self.estimated_at = Some(now);
        self.has_refused = false;
        let admitted_by_reason = std::mem::take(&mut self.admitted_by_reason);
        let (window_limit, admitted_here) = (self.window_limit(), self.admitted.sum(now));
        let (share, balance) = (self.share, self.bucket.balance());
        Some(LimitEstimate {
            admitted_everywhere,
            window_limit,
            admitted_here,
            admitted_by_reason,
            share,
            balance,
        })
    }

    pub(super) fn report_demand(&mut self, now: Millis) -> f64 {
        let asked_per_s = self.demand.per_second(now, DEMAND_SPAN);
        let asked_per_s = if asked_per_s < IDLE_DEMAND { 0.0 } else { asked_per_s };
        self.reported.push_back(ReportedDemand { asked_per_s, at: now });
        while self.reported.front().is_some_and(|reported| now - reported.at > REPORTED_DEMAND_TTL)
        {
            self.reported.pop_front();
        }
        asked_per_s
    }

    /// Returns the demand that was last reported at a point in time.
    ///
    /// Compared with older totals, the current demand would give every entry instance too large a
    /// share while demand grows everywhere, and all shares together would exceed the limit.
    pub(super) fn reported_demand(&self, at: Millis) -> f64 {
        let earlier = self.reported.iter().rev().find(|reported| reported.at <= at);
        earlier.or(self.reported.front()).map_or(0.0, |reported| reported.asked_per_s)
    }

    pub(super) fn spend(&mut self, now: Millis, amount: f64) {
        self.bucket.charge(amount);
        self.admitted_rate.add(now, ADMITTED_RATE_SPAN, amount);
        self.admitted.add(now, amount);
        self.admitted_since_total += amount;
    }
}

/// Returns the time for which unused rate accumulates: the burst and half of the slack. The other
/// half is left for calls larger than the bucket, which put it into debt.
pub(super) fn accumulation_span(limit: Limit, bounds: LimitBounds) -> Millis {
    const SLACK_PART: f64 = 0.5;
    let amount = limit.burst + bounds.slack * SLACK_PART;
    Millis((amount / limit.rate.max(1e-9) * 1000.0) as u64)
}
