//! Roll-outs of software versions: the calls of the operator, and the leader's decisions.

use std::sync::Arc;

use sill_base::{Millis, Name, event};
use sill_wire::Software;

use crate::app::rollouts::{OrderOutcome, OrderStatus, RolloutAsk};
use crate::app::{Ask, Outcome};
use crate::shared::Shared;
use crate::submit;

pub mod driver;
pub mod endpoints;

/// Time limit of a call. Operators time out after a second and call another instance.
const CALL_TIMEOUT: Millis = Millis(900);

/// The part of the bound on a candidate's share that is used, so that rounding and requests sent at
/// the same moment stay below the bound.
const USED_PART_OF_SHARE: f64 = 0.9;

/// Longest time from an order to its deadline: 30 years. A longer one is shortened to it.
const MAX_DURATION_MS: f64 = 1e12;

/// The state of a service's newest order, as the operator reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReading {
    /// The state of the order.
    pub status: OrderStatus,
    /// The version that was ordered.
    pub to: Software,
}

/// Converts the time from an order to its deadline, or returns `None` if it is not above 0.
pub fn duration(seconds: f64) -> Option<Millis> {
    let is_valid = seconds.is_finite() && seconds > 0.0;
    is_valid.then(|| Millis((seconds * 1000.0).clamp(1.0, MAX_DURATION_MS) as u64))
}

/// Orders a service to move to another version. `None` means that the outcome is unknown; giving
/// the order again is safe.
pub async fn begin(
    shared: &Arc<Shared>,
    service: Name,
    to: Name,
    duration: Millis,
) -> Option<OrderOutcome> {
    let share = shared.cfg.rollouts.as_ref().map_or(0.0, |bounds| bounds.share);
    let started = shared.clock.now();
    let call: Name = format!("{}-{:016x}", shared.cfg.name, rand::random::<u64>()).into();
    let ask = Ask::Rollout(RolloutAsk {
        call: call.clone(),
        service: service.clone(),
        to: Software::named(to.clone()),
        duration,
        share: share * USED_PART_OF_SHARE,
    });
    // An attempt may wait longer than the time limit for a leader that has just been cut off.
    let submitted = submit::submit_within(shared, &ask, CALL_TIMEOUT);
    let result = tokio::time::timeout(CALL_TIMEOUT.into(), submitted).await;
    let outcome = match &result {
        Ok(Ok(Outcome::Rollout { result })) => Some(*result),
        _ => None,
    };
    event!(
        Info,
        "rollout_asked",
        service = service,
        to = to,
        duration_ms = duration,
        call = call,
        outcome = outcome.map_or_else(|| format!("unknown: {result:?}"), |o| format!("{o:?}")),
        ms = shared.clock.now() - started
    );
    outcome
}

/// Reads the newest order of a service. The outer `None` means that this instance could not catch
/// up with the leader; the inner `None` that the service has no order.
pub async fn read(shared: &Arc<Shared>, service: &str) -> Option<Option<OrderReading>> {
    let caught_up = submit::catch_up_within(shared, CALL_TIMEOUT);
    let is_current = tokio::time::timeout(CALL_TIMEOUT.into(), caught_up).await.unwrap_or(false);
    if !is_current {
        return None;
    }
    let app = shared.log.app().read();
    let order = app.rollouts().service(service).and_then(|known| known.newest_order());
    Some(order.map(|order| OrderReading { status: order.status, to: order.to.clone() }))
}
