//! The entry instance for routes: accepts callers' requests, sends them to endpoints of the route's
//! service, and relays the answers byte for byte as they arrive.
//!
//! [`serve`] reads and admits a call, [`dispatch`] chooses an endpoint and sends the attempts, and `kept` holds those whose paths are lost.
//! [`answer`] and [`relay`] relay the answer, `hedge` makes a second attempt beside it, `resume` continues it there, and [`stream_end`]
//! judges ends without a mark. [`migration`] moves runs off reclaimed engines.
//! [`link`] polls the control instances, and [`settings_fetcher`] fetches settings from them.
//! [`egress`] sends requests to endpoints, and [`tunnels`] carries those of entry instances that do not reach them.
//! [`streams`] remembers which version began each stream, for callers that take theirs up elsewhere.
//! [`rollouts`] bounds what a new version of the endpoints' software gets, and counts its answers.
//! [`waiting`] has calls wait for capacity in their turn.
//! [`crashes`] blocks requests under which endpoints crash. [`planned_stop`] and [`termination`] bound calls during a stop.

pub mod answer;
pub mod cfg;
pub mod cli;
pub mod crashes;
mod cut;
pub mod daemon;
pub mod dialect;
pub mod dispatch;
pub mod egress;
pub mod endpoint_check;
pub mod failure;
mod hedge;
mod kept;
pub mod link;
pub mod metrics;
pub mod migration;
mod pause_notice;
pub mod planned_stop;
pub mod relay;
mod resume;
pub mod rollouts;
pub mod serve;
pub mod settings_fetcher;
pub mod sill_dialect;
pub mod state;
pub mod stream_end;
pub mod streams;
pub mod summary;
pub mod termination;
pub mod tunnels;
pub mod waiting;

pub use cfg::GatewayCfg;
pub use daemon::Gateway;
pub use dialect::{AnswerClass, CallHead, Dialect, Forward, MigratedMemory};
pub use failure::Failure;
pub use sill_dialect::SillDialect;
