//! A soak test: runs the real programs as separate processes and injects random faults from
//! outside.
//!
//! Traffic to control instances and endpoints passes through loopback proxies, which delay it, drop
//! it in one or both directions, or reset connections. Processes are killed, stopped, paused and
//! restarted, and lose their disks. Afterwards the records of callers, endpoints and the operator
//! are checked against the guarantees of the system.

pub mod backend;
pub mod caller;
pub mod cli;
pub mod cluster;
pub mod exchange;
pub mod injector;
pub mod journal;
pub mod link;
pub mod operator;
pub mod pauses;
pub mod plan;
pub mod process;
pub mod rollouts;
pub mod run;
pub mod stream;
pub mod verdict;
