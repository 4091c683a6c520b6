//! Dispatch decisions for calls on routes: route and account lookup, admission, endpoint choice,
//! retries, and the reports that control instances aggregate.

pub mod assignment;
pub mod attempt;
pub mod average;
mod brittle;
pub mod budget;
pub mod buffers;
pub mod check;
pub mod crashes;
pub mod end_log;
pub mod events;
mod held_versions;
pub mod loads;
pub mod part_blame;
pub mod paths;
mod pauses;
pub mod pool;
pub mod registry;
mod relay_health;
pub mod relays;
mod request_limits;
mod route_history;
pub mod settings;
pub mod share;
pub mod speed;
pub mod stopping;
pub mod stream_end;
pub mod streams;
pub mod table;
mod take_up;
pub mod totals;
pub mod true_time;
mod tunnel_health;
pub mod usage;

pub use assignment::{RestrictedEndpoint, assigned, is_assigned};
pub use attempt::{AttemptOutcome, CallProgress, NextStep};
pub use average::MovingAverage;
pub use budget::{RetryBounds, RetryBudgets};
pub use buffers::{BufferBudget, Reservation};
pub use check::{EndpointCheck, EndpointSign};
pub use crashes::{BlockChange, BrokenAnswer, BrokenAnswers, BrokenRequest, CrashLog, KnownCrash};
pub use end_log::EndLog;
pub use events::{EventTracker, HoldEnd};
pub use held_versions::{HOLD_TIME, HeldVersions, ReleasedVersions};
pub use loads::EndpointLoads;
pub use part_blame::PartBlock;
pub use paths::{Doubt, Path, PathChange, PathRequest, Paths, Reconnection, TICK};
pub use pool::{
    BrittleCounts, FactUpdate, Placement, PlacementDecision, PlacementRequest, Pool, PoolCfg,
    Prompt, PromptPart,
};
pub use registry::Registry;
pub use relay_health::RelayHealth;
pub use relays::{RelayList, RelayLoad, RelayStanding};
pub use route_history::{OriginServices, RouteHistory};
pub use settings::{CompleteSettings, PieceError, SettingsAssembly};
pub use share::{
    AdmittedByReason, LimitBounds, LimitEstimate, LimitShares, MAX_TOTALS_AGE, OverLimit,
};
pub use speed::{SpeedMeter, median_speed, presumed_speed};
pub use stopping::{
    AnswerMode, CallTimes, OpenCalls, StopPhase, StopPlan, StopTimes, StreamForecast,
};
pub use stream_end::{
    EndChecks, EndInDoubt, EndKind, EndStep, EndVerdict, EndpointSigns, Proof, ProofKind,
    ResumeChecks, longest_wait,
};
pub use table::{AccountEntry, RouteEntry, RouteTable, TablePart};
pub use take_up::Inquiry;
pub use totals::{EntryCounts, TotalsAggregator};
pub use true_time::TrueTime;
pub use usage::{ReportStore, UsageCounter};
