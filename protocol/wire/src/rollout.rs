//! Roll-outs of software versions of a service: what entry instances are told, and what they report.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::software::Software;

/// Upper bound on the rejected versions of a service that are kept.
pub const MAX_REJECTED: usize = 8;

/// The phase of an order while it is in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// A bounded part of the requests goes to a few endpoints of the candidate.
    Probing,
    /// A part of the requests goes to all endpoints of the candidate.
    Shifting,
    /// All new requests go to the candidate; the version in force finishes what it runs.
    Draining,
}

/// The version that a service is moved to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The order: the index of its entry in the replicated log.
    pub order: u64,
    /// The version.
    pub software: Software,
    /// The phase of the order.
    pub phase: RolloutPhase,
    /// The part of the requests that it may get, from 0 to 1.
    pub share: f64,
    /// Number of its endpoints that are used while probing, the first by [`probe_rank`].
    pub endpoints: u32,
}

/// Which versions of a service entry instances may send requests to.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceVersions {
    /// The service.
    pub service: Name,
    /// The log index of the newest decision; the entry with the highest one holds.
    pub step: u64,
    /// The version in force, once one was established.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stable: Option<Software>,
    /// The version that is being rolled out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub candidate: Option<Candidate>,
    /// Versions that were reverted, the newest last.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub rejected: Vec<Software>,
}

/// Counts of durations. Bucket `i` holds those of up to 2^(i/2) ms that are in no lower bucket.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Durations(
    /// Pairs of bucket and count, by bucket; buckets without durations are left out.
    pub Vec<(u8, u32)>,
);

/// Answers of one version on one route and of one size, counted since the order.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StratumCounts {
    /// The route.
    #[serde(rename = "r")]
    pub route: Name,
    /// The size class of the requests.
    #[serde(rename = "s", default)]
    pub size: u8,
    /// Number of answers that ended, failed ones included.
    #[serde(rename = "n", default)]
    pub answers: u32,
    /// Number of answers that failed.
    #[serde(rename = "f", default)]
    pub failures: u32,
    /// Times to the first part of an answer.
    #[serde(rename = "t", default, skip_serializing_if = "is_empty")]
    pub first: Durations,
    /// Longest pauses between two parts of each stream.
    #[serde(rename = "p", default, skip_serializing_if = "is_empty")]
    pub pauses: Durations,
    /// Durations of whole answers.
    #[serde(rename = "w", default, skip_serializing_if = "is_empty")]
    pub whole: Durations,
}

/// Answers of one endpoint of a candidate, counted since the order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointCounts {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: Name,
    /// Its incarnation.
    #[serde(rename = "b", default)]
    pub incarnation: Incarnation,
    /// Its answers by route and size.
    #[serde(rename = "c")]
    pub strata: Vec<StratumCounts>,
}

/// What an entry instance counted for one service since it learned of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// The order that the counts belong to.
    pub order: u64,
    /// The newest decision on the service that the instance has applied.
    pub step: u64,
    /// Number of requests whose answers began, at endpoints of any version.
    pub sent: u64,
    /// Number of requests that were sent to endpoints of the candidate.
    pub sent_to_candidate: u64,
    /// Number of the instance's requests in flight at endpoints of other versions than the candidate.
    pub running_elsewhere: u32,
    /// Number of the instance's requests in flight at endpoints of the candidate.
    pub running_at_candidate: u32,
    /// Answers of all other versions, by route and size.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub stable: Vec<StratumCounts>,
    /// Answers of the candidate, by endpoint.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub candidate: Vec<EndpointCounts>,
}

fn is_empty(durations: &Durations) -> bool {
    durations.0.is_empty()
}

impl Durations {
    /// Returns the bucket of a duration.
    pub fn bucket_of(duration: Millis) -> u8 {
        let exponent = (duration.0.max(1) as f64).log2() * 2.0;
        (exponent - 1e-9).ceil().clamp(0.0, f64::from(u8::MAX)) as u8
    }

    /// Returns the longest duration of a bucket, in milliseconds.
    pub fn upper_ms(bucket: u8) -> f64 {
        (f64::from(bucket) / 2.0).exp2()
    }

    /// Counts a duration.
    pub fn record(&mut self, duration: Millis) {
        self.add(Self::bucket_of(duration), 1);
    }

    /// Adds a number of durations to a bucket.
    pub fn add(&mut self, bucket: u8, count: u32) {
        match self.0.binary_search_by_key(&bucket, |(bucket, _)| *bucket) {
            Ok(i) => self.0[i].1 = self.0[i].1.saturating_add(count),
            Err(i) => self.0.insert(i, (bucket, count)),
        }
    }

    /// Returns the number of durations.
    pub fn total(&self) -> u64 {
        self.0.iter().map(|(_, count)| u64::from(*count)).sum()
    }
}

/// Returns the rank of an endpoint among those of its version; the lowest ones are used while
/// probing. All instances agree on it.
pub fn probe_rank(endpoint: &Name) -> u64 {
    // FNV-1a: the rank has to be the same in processes of different builds.
    endpoint.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
