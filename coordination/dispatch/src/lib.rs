//! Decisions on calls of routes: which route and account, whether a call is admitted, where it goes,
//! what follows from an attempt, and what is reported of it.

pub mod attempt;
pub mod average;
pub mod budget;
pub mod events;
pub mod loads;
pub mod pool;
pub mod registry;
pub mod settings;
pub mod share;
pub mod speed;
pub mod stopping;
pub mod table;
pub mod totals;
pub mod true_time;
pub mod usage;

pub use attempt::{AttemptOutcome, Next, Progress};
pub use average::Average;
pub use budget::{Budgets, RetryBounds};
pub use events::EventTracker;
pub use loads::Loads;
pub use pool::{Heard, Place, PlaceAsk, Placed, Pool, PoolCfg, Prompt, PromptPart};
pub use registry::Registry;
pub use settings::{Assembly, PieceFault, Whole};
pub use share::{FRESH, LetIn, LimitBelief, LimitBounds, OverLimit, Shares};
pub use speed::{SpeedMeter, middle_speed, presumed_speed};
pub use stopping::{Begin, CallTimes, OpenCalls, Rest, StopPhase, StopPlan, StopTimes};
pub use table::{AccountEntry, RouteEntry, RouteTable, TablePart};
pub use totals::{Adder, Counted};
pub use true_time::TrueTime;
pub use usage::{Ledger, UsageCounter};
