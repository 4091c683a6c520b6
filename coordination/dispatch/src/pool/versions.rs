//! The versions of the software of a pool's endpoints.

use std::sync::Arc;

use sill_base::{Map, Millis, Name};
use sill_rollout::{Admission, EndpointSubset, ReadyVersion, probed};
use sill_route::AdmittedEndpoints;
use sill_wire::link::{EndpointFact, EndpointState};
use sill_wire::{Incarnation, Software, SoftwareFilter};

use super::{EndpointEntry, Pool};

impl Pool {
    /// Returns the versions of all endpoints that were there within
    /// [`STREAM_LIFETIME`](crate::streams::STREAM_LIFETIME), each once.
    pub fn versions(&mut self, now: Millis) -> Vec<Software> {
        self.expire_tombstones(now);
        let present = self.endpoints.values().map(|entry| &entry.fact.software);
        let mut versions: Vec<Software> =
            present.chain(self.former_versions.keys()).cloned().collect();
        versions.sort_unstable();
        versions.dedup();
        versions
    }

    /// Returns whether an endpoint has reported several versions in its present incarnation.
    pub fn is_ambiguous(&self, endpoint: &Name) -> bool {
        self.endpoints.get(endpoint).is_some_and(|k| k.fact.software.is_ambiguous())
    }

    /// Returns whether an endpoint of a version accepts requests.
    pub fn is_served_by(&self, software: &Software) -> bool {
        let is_ready = |fact: &EndpointFact| fact.state == EndpointState::Ready;
        self.facts().any(|fact| is_ready(fact) && fact.software.is_compatible(software))
    }

    /// Returns whether another endpoint than `endpoint` may go on with a stream of a version.
    pub fn is_served_beside(&self, endpoint: &Name, software: &Software) -> bool {
        let may_go_on = |fact: &&EndpointFact| {
            fact.state == EndpointState::Ready
                && fact.endpoint != *endpoint
                && fact.software.is_compatible(software)
        };
        self.facts().any(|fact| may_go_on(&fact))
    }

    /// Returns the versions with ready endpoints.
    pub fn ready_versions(&mut self) -> Arc<[ReadyVersion]> {
        if let Some(known) = &self.ready_versions {
            return known.clone();
        }
        let mut started: Map<&Software, Incarnation> = Map::default();
        for fact in self.facts().filter(|fact| fact.state == EndpointState::Ready) {
            let first = started.entry(&fact.software).or_insert(fact.incarnation);
            *first = fact.incarnation.min(*first);
        }
        let version = |(software, first_started): (&Software, Incarnation)| ReadyVersion {
            software: software.clone(),
            first_started,
        };
        let versions: Arc<[ReadyVersion]> = started.into_iter().map(version).collect();
        self.ready_versions = Some(versions.clone());
        versions
    }

    /// Returns the endpoints that an admission means at present.
    pub fn admitted(&self, now: Millis, admission: &Admission) -> AdmittedEndpoints {
        let software = admission.software.clone();
        let only = match admission.endpoints {
            EndpointSubset::All => None,
            EndpointSubset::Probed(count) => Some(self.probed(now, &software, count)),
        };
        AdmittedEndpoints { software, only }
    }

    /// Returns those of the first `count` ready endpoints that are warm. A cold one is not replaced
    /// by the next, so that all instances probe the same endpoints.
    fn probed(&self, now: Millis, software: &SoftwareFilter, count: u32) -> Arc<[Name]> {
        let is_usable = |fact: &&EndpointFact| {
            fact.state == EndpointState::Ready && software.admits(&fact.software)
        };
        let usable = self.facts().filter(is_usable).map(|fact| &fact.endpoint);
        let first = probed(usable, count).into_iter();
        first.filter(|endpoint| !self.is_cold(now, endpoint)).cloned().collect()
    }

    /// Returns whether an endpoint is slower than usual after its start.
    pub fn is_cold(&self, now: Millis, endpoint: &Name) -> bool {
        self.endpoints.get(endpoint).is_some_and(|entry| now < entry.cold_until)
    }

    /// Returns whether one of these endpoints runs a version.
    pub fn has_version(&self, endpoints: &[Name], software: &Software) -> bool {
        let runs = |entry: &EndpointEntry| entry.fact.software == *software;
        endpoints.iter().any(|endpoint| self.endpoints.get(endpoint).is_some_and(runs))
    }

    /// Returns the number of requests from this entry instance in flight at endpoints of a version.
    pub fn running_at(&self, software: &Software) -> u32 {
        let of_version = self.endpoints.values().filter(|e| e.fact.software == *software);
        of_version.map(|entry| entry.own_requests).sum()
    }
}
