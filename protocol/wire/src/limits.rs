//! What entry instances tell each other about the demand of client accounts.

use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};

use crate::announce::Incarnation;
use crate::call::Call;

/// Demand of one client account at one place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountDemand {
    /// The client account.
    pub account: Name,
    /// Requests asked for in a second, admitted or not.
    pub requests_per_s: f64,
    /// Tokens asked for in a second, admitted or not.
    pub tokens_per_s: f64,
    /// Entry instances that the figures add up.
    pub entries: u32,
}

/// The demand at an entry instance, or summed over a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandReport {
    /// Who reports.
    pub entry: Name,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: Name,
    /// Grows with each report.
    pub sequence: u64,
    /// How old the oldest figure in it is.
    pub age: Millis,
    /// Accounts with any demand.
    pub accounts: Vec<AccountDemand>,
}

/// Gives a report and asks for the ones of all others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandExchange {
    /// The reports that the caller passes on, its own first.
    pub reports: Vec<DemandReport>,
    /// Whether it was passed on to the one that adds up its failure domain, which must not pass it
    /// on again.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub forwarded: bool,
}

/// The reports that the called entry knows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandReply {
    /// Its own first.
    pub reports: Vec<DemandReport>,
}

impl Call for DemandExchange {
    type Reply = DemandReply;

    const METHOD: &'static str = "demand_exchange";
}
