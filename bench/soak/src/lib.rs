//! A soak: the real programs as separate processes under random faults from outside them.
//!
//! Control instances, entry instances for routes, endpoints and callers talk through loopback proxies,
//! which delay, hold back, cut one way and reset. Processes are killed, stopped, paused, restarted, and
//! lose their disks. What callers, endpoints and the operator saw is then held against the promises.

pub mod backend;
pub mod caller;
pub mod cli;
pub mod cluster;
pub mod exchange;
pub mod injector;
pub mod journal;
pub mod link;
pub mod operator;
pub mod plan;
pub mod process;
pub mod run;
pub mod stream;
pub mod verdict;
