//! What an entry instance knows of one account's limit.

use std::collections::VecDeque;

use sill_base::Millis;
use sill_limit::Bucket;
use sill_wire::link::{AccountTotal, LIMIT_WINDOW};

use crate::average::Average;
use crate::share::LimitBounds;
use crate::share::belief::{LetIn, LimitBelief};
use crate::share::window::Window;

/// Part of a limit that is spread evenly, so that an account may begin anywhere.
const EVEN_PART: f64 = 0.15;

/// Part of what an account is owed in a window, below which nothing is refused.
const FREE_PART: f64 = 0.96;

/// Part of the slack that is added to it. Small limits are mostly slack.
const FREE_SLACK: f64 = 0.1;

/// Part of the slack that may be admitted beyond what an account is owed.
const GUARD_SLACK: f64 = 0.2;

/// Time until an entry instance notices that a limit is reached. What is asked for beyond the limit
/// meanwhile is kept free below it.
const REACTION: Millis = Millis(1000);

/// Part of the burst that is presumed to be used, beside the rate, where no report tells.
const PRESUMED_BURST: f64 = 0.5;

/// Time for which what is admitted is mostly in no total yet.
const UNSEEN: Millis = Millis(500);

/// Demand in a second below which an account counts as idle.
const NEGLIGIBLE: f64 = 1e-3;

/// How long reports are kept to be held against totals.
const KEPT_REPORTS: Millis = Millis(3000);

/// Span of the moving average of demand. A single large prompt would otherwise take the whole share.
pub(super) const AVERAGE: Millis = Millis(4000);

/// Span of the moving average of what is admitted, by which older sums are brought up to date.
pub(super) const RECENT: Millis = Millis(700);

/// Part of what an account is owed from which on reports tell by seconds what was admitted. Below it, there is
/// room for what would be kept in the sum for too long.
const TOLD_BY_SECOND: f64 = 0.4;

/// Part of what an account is owed from which on its state is told.
const TOLD_PART: f64 = 0.8;

/// How often it is told.
const TOLD_EVERY: Millis = Millis(1000);

/// The limit of one account at this entry instance.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) limit: Limit,
    pub(super) bucket: Bucket,
    pub(super) asked: Average,
    /// The average demand as it was reported, since totals come back later.
    reported: VecDeque<Reported>,
    pub(super) recent: Average,
    pub(super) admitted: Window,
    /// Admitted everywhere in the last window, when it was last heard.
    pub(super) total: f64,
    /// Admitted everywhere in a second, then.
    pub(super) total_per_s: f64,
    pub(super) since_total: f64,
    pub(super) total_asked_per_s: f64,
    pub(super) share: Option<f64>,
    has_heard: bool,
    pub(super) let_in: LetIn,
    pub(super) has_refused: bool,
    /// When its state was last told.
    pub(super) told_at: Option<Millis>,
}

#[derive(Debug, Clone, Copy)]
struct Reported {
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
            bucket: Bucket::new(now, limit.rate * share, saved(limit, bounds)),
            asked: Average::new(now),
            reported: VecDeque::new(),
            recent: Average::new(now),
            admitted: Window::default(),
            total: 0.0,
            total_per_s: 0.0,
            since_total: 0.0,
            total_asked_per_s: 0.0,
            share: None,
            has_heard: false,
            let_in: LetIn::default(),
            has_refused: false,
            told_at: None,
        }
    }

    /// Takes in the demand over all entry instances as of a point in time.
    pub(super) fn hear(&mut self, at: Millis, entries: u32, total: &AccountTotal) {
        self.drop_burst();
        let own = self.told(at);
        let all = total.asked_per_s.max(own);
        let by_demand = if all > 0.0 { own / all } else { 0.0 };
        let even = EVEN_PART / f64::from(entries);
        let left = 1.0 - total.held;
        self.share = Some(left * ((1.0 - EVEN_PART) * by_demand + even));
        let untold_s = total.untold_s.unwrap_or(total.held * LIMIT_WINDOW.as_secs_f64());
        self.total = total.admitted + self.presumed(untold_s);
        self.total_per_s = total.admitted_per_s;
        self.since_total = 0.0;
        self.total_asked_per_s = total.asked_per_s;
    }

    /// Takes in that no entry instance has reported the account; its share stays.
    pub(super) fn hear_nothing(&mut self, untold_s: f64) {
        if untold_s > 0.0 {
            self.drop_burst();
        }
        self.total = self.presumed(untold_s);
        self.total_per_s = 0.0;
        self.since_total = 0.0;
        self.total_asked_per_s = 0.0;
    }

    /// Empties the bucket that the process began with. Others may have used the burst, or this instance before
    /// a restart.
    fn drop_burst(&mut self) {
        if !std::mem::replace(&mut self.has_heard, true) {
            self.bucket.drain();
        }
    }

    /// Returns what is presumed to be admitted in a time of which no report tells.
    fn presumed(&self, untold_s: f64) -> f64 {
        let Limit { rate, burst } = self.limit;
        untold_s * (rate + PRESUMED_BURST * burst / LIMIT_WINDOW.as_secs_f64())
    }

    /// Returns what was admitted here by seconds, unless the account is far below its limit.
    pub(super) fn by_second(&mut self, now: Millis, unseen: Millis) -> Vec<u64> {
        if self.presumed_total(unseen) < TOLD_BY_SECOND * self.owed() {
            return Vec::new();
        }
        self.admitted.by_second(now)
    }

    /// Returns whether the bucket holds an amount.
    pub(super) fn holds(&self, amount: f64) -> bool {
        self.bucket.balance() >= amount
    }

    /// Returns how much may be admitted everywhere in a window without a look at the own share.
    pub(super) fn free(&self, bounds: LimitBounds) -> f64 {
        // What is admitted shows a jump of demand seconds before the average of what is asked for does.
        let demand = self.total_asked_per_s.max(self.total_per_s);
        let excess = (demand - self.limit.rate).max(0.0);
        FREE_PART * self.owed() + FREE_SLACK * bounds.slack - excess * REACTION.as_secs_f64()
    }

    /// Returns what the account may use in a window.
    pub(super) fn owed(&self) -> f64 {
        self.limit.rate * LIMIT_WINDOW.as_secs_f64() + self.limit.burst
    }

    /// Returns how much may be admitted everywhere in a window at all, as far as is known.
    pub(super) fn most(&self, bounds: LimitBounds) -> f64 {
        self.owed() + GUARD_SLACK * bounds.slack
    }

    /// Returns when an amount fits here, into the own share, and when everywhere, into what all may admit.
    pub(super) fn waits(
        &self,
        unseen: Millis,
        amount: f64,
        bounds: LimitBounds,
    ) -> (Millis, Millis) {
        let here = self.bucket.time_to_balance(amount);
        let beyond = (self.presumed_total(unseen) + amount - self.free(bounds)).max(0.0);
        let everywhere = Millis((beyond / self.limit.rate.max(1e-9) * 1000.0) as u64);
        (here, everywhere)
    }

    /// Returns whether all together stay far below the limit with one more call.
    pub(super) fn is_far_below(&self, unseen: Millis, amount: f64, bounds: LimitBounds) -> bool {
        // While nothing newer is told, all that is asked for may be let in, by others that believe the same.
        let per_s = (self.total_asked_per_s - self.total_per_s).max(0.0);
        let presumed = self.presumed_total(unseen) + per_s * (unseen - UNSEEN).as_secs_f64();
        presumed + amount < self.free(bounds)
    }

    /// Returns what all are presumed to have admitted in the last window, of which what came after the
    /// reports is unseen. While demand jumps, that alone may be a second's worth of the limit.
    pub(super) fn presumed_total(&self, unseen: Millis) -> f64 {
        self.total + self.total_per_s * unseen.as_secs_f64() + self.since_total
    }

    /// Returns what is believed of the account, if it is near its limit and was not told of late.
    pub(super) fn belief(&mut self, now: Millis, unseen: Millis) -> Option<LimitBelief> {
        let admitted = self.presumed_total(unseen);
        let is_near = self.has_refused || admitted > TOLD_PART * self.owed();
        let is_due = self.told_at.is_none_or(|told_at| now - told_at >= TOLD_EVERY);
        if !is_near || !is_due {
            return None;
        }
        self.told_at = Some(now);
        self.has_refused = false;
        let let_in = std::mem::take(&mut self.let_in);
        let (owed, here) = (self.owed(), self.admitted.sum(now));
        let (share, balance) = (self.share, self.bucket.balance());
        Some(LimitBelief { admitted, owed, here, let_in, share, balance })
    }

    pub(super) fn tell(&mut self, now: Millis) -> f64 {
        let asked_per_s = self.asked.at(now, AVERAGE);
        let asked_per_s = if asked_per_s < NEGLIGIBLE { 0.0 } else { asked_per_s };
        self.reported.push_back(Reported { asked_per_s, at: now });
        while self.reported.front().is_some_and(|told| now - told.at > KEPT_REPORTS) {
            self.reported.pop_front();
        }
        asked_per_s
    }

    /// Returns what was reported last at a point in time.
    ///
    /// Held against totals that are older, the present demand would give every entry instance too
    /// large a share while demand grows everywhere, and all shares together more than the limit.
    pub(super) fn told(&self, at: Millis) -> f64 {
        let before = self.reported.iter().rev().find(|told| told.at <= at);
        before.or(self.reported.front()).map_or(0.0, |told| told.asked_per_s)
    }

    pub(super) fn spend(&mut self, now: Millis, amount: f64) {
        self.bucket.charge(amount);
        self.recent.add(now, RECENT, amount);
        self.admitted.add(now, amount);
        self.since_total += amount;
    }
}

/// Returns the time for which unused rate is saved up: the burst, and half of the slack. The other
/// half is left for calls larger than what a bucket holds, which go into debt.
pub(super) fn saved(limit: Limit, bounds: LimitBounds) -> Millis {
    const SLACK_PART: f64 = 0.5;
    let amount = limit.burst + bounds.slack * SLACK_PART;
    Millis((amount / limit.rate.max(1e-9) * 1000.0) as u64)
}
