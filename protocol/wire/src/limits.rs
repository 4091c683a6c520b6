//! Calls by which entry instances exchange the demand of client accounts.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;

/// The demand of one client account, at one entry instance or summed over several.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountDemand {
    /// The client account.
    pub account: Name,
    /// Requested requests per second, admitted or not.
    pub requests_per_s: f64,
    /// Requested tokens per second, admitted or not.
    pub tokens_per_s: f64,
    /// Number of entry instances that the rates are summed over.
    pub entries: u32,
}

/// The demand of client accounts at an entry instance, or summed over a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The reporting entry instance.
    pub entry: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Grows with each report.
    pub sequence: u64,
    /// Age of the oldest rate in the report.
    pub age: Millis,
    /// The accounts with any demand.
    pub accounts: Vec<AccountDemand>,
}

/// Sends demand reports and requests those that the called entry instance has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandExchange {
    /// The reports that the caller relays, its own first.
    pub reports: Vec<DemandReport>,
    /// Whether the call was forwarded to the entry instance that sums up its failure domain, which
    /// must not forward it again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub forwarded: bool,
}

/// The demand reports that the called entry instance has.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandReply {
    /// The reports, that of the called entry instance first.
    pub reports: Vec<DemandReport>,
}

impl Call for DemandExchange {
    type Reply = DemandReply;

    const METHOD: &'static str = "demand_exchange";
}
