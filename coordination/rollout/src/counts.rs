//! Counts of the answers of each version at one entry instance, from which the leader compares them.

use sill_base::{Millis, Name};
use sill_wire::Incarnation;
use sill_wire::rollout::{EndpointCounts, RolloutReport, StratumCounts};

use crate::gate::GateCounts;

/// Upper bound on the endpoints of a candidate whose answers are counted. Endpoints that restart
/// count again, so it is above the size of a pool.
const MAX_ENDPOINTS: usize = 256;

/// Upper bound on the combinations of route and size that are counted for a version or an endpoint.
const MAX_STRATA: usize = 64;

/// Upper bounds of the fresh prompt tokens of the size classes; the last class has none.
const SIZE_BOUNDS: [u64; 3] = [512, 2048, 8192];

/// Returns the size class of a request by the prompt tokens that are expected not to be cached at
/// its endpoint.
pub fn size_class(fresh_tokens: u64) -> u8 {
    SIZE_BOUNDS.iter().filter(|bound| fresh_tokens > **bound).count() as u8
}

/// How an answer ended, as far as it says something about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The endpoint answered as a whole, and without a failure.
    Whole,
    /// It answered with a failure, broke its answer off or gave none in time.
    Failed,
    /// The caller left, or this instance or the path to the endpoint failed. The times until then
    /// are those of the endpoint.
    Abandoned,
}

/// The answer to one request at one endpoint.
#[derive(Debug, Clone, Copy)]
pub struct AnswerSample<'a> {
    /// The endpoint, if its version is the candidate.
    pub candidate: Option<(&'a Name, Incarnation)>,
    /// The route.
    pub route: &'a Name,
    /// The size class of the request.
    pub size: u8,
    /// Whether it counts for times. That of an endpoint that was cold when the request was sent
    /// counts for failures only.
    pub is_timed: bool,
    /// How it ended.
    pub end: AnswerEnd,
    /// Time from the request to the first part of the answer.
    pub first: Option<Millis>,
    /// The longest pause between two parts of a stream.
    pub pause: Option<Millis>,
    /// Time from the request to the end of the answer.
    pub whole: Millis,
}

/// Counts of the answers of a candidate and of all other versions since an order.
#[derive(Debug, Default, Clone)]
pub struct Counts {
    stable: Vec<StratumCounts>,
    candidate: Vec<EndpointCounts>,
}

impl Counts {
    /// Counts an answer that was requested since the order. Beyond the bounds on endpoints, routes
    /// and sizes, answers are not counted.
    pub fn record(&mut self, sample: &AnswerSample<'_>) {
        let strata = match sample.candidate {
            None => Some(&mut self.stable),
            Some((endpoint, incarnation)) => self.strata_of(endpoint, incarnation),
        };
        if let Some(stratum) = strata.and_then(|strata| stratum_of(strata, sample)) {
            add(stratum, sample);
        }
    }

    /// Returns the report of these counts. `running_elsewhere` and `running_at_candidate` are the
    /// requests in flight.
    pub fn report(
        &self,
        gate: GateCounts,
        running_elsewhere: u32,
        running_at_candidate: u32,
    ) -> RolloutReport {
        RolloutReport {
            order: gate.order,
            step: gate.step,
            sent: gate.sent,
            sent_to_candidate: gate.sent_to_candidate,
            running_elsewhere,
            running_at_candidate,
            stable: self.stable.clone(),
            candidate: self.candidate.clone(),
        }
    }

    fn strata_of(
        &mut self,
        endpoint: &Name,
        incarnation: Incarnation,
    ) -> Option<&mut Vec<StratumCounts>> {
        let is_same =
            |of: &EndpointCounts| of.endpoint == *endpoint && of.incarnation == incarnation;
        let known = self.candidate.iter().position(is_same);
        let index = known.or_else(|| {
            let has_room = self.candidate.len() < MAX_ENDPOINTS;
            has_room.then(|| {
                let endpoint = endpoint.clone();
                self.candidate.push(EndpointCounts { endpoint, incarnation, strata: Vec::new() });
                self.candidate.len() - 1
            })
        })?;
        Some(&mut self.candidate[index].strata)
    }
}

fn stratum_of<'a>(
    strata: &'a mut Vec<StratumCounts>,
    sample: &AnswerSample<'_>,
) -> Option<&'a mut StratumCounts> {
    let is_same = |of: &StratumCounts| of.size == sample.size && of.route == *sample.route;
    let known = strata.iter().position(is_same);
    let index = known.or_else(|| {
        (strata.len() < MAX_STRATA).then(|| {
            let (route, size) = (sample.route.clone(), sample.size);
            strata.push(StratumCounts { route, size, ..StratumCounts::default() });
            strata.len() - 1
        })
    })?;
    Some(&mut strata[index])
}

fn add(stratum: &mut StratumCounts, sample: &AnswerSample<'_>) {
    if sample.end != AnswerEnd::Abandoned {
        stratum.answers = stratum.answers.saturating_add(1);
    }
    if sample.end == AnswerEnd::Failed {
        stratum.failures = stratum.failures.saturating_add(1);
    }
    if !sample.is_timed {
        return;
    }
    if let Some(first) = sample.first {
        stratum.first.record(first);
    }
    if let Some(pause) = sample.pause {
        stratum.pauses.record(pause);
    }
    if sample.end == AnswerEnd::Whole {
        stratum.whole.record(sample.whole);
    }
}
