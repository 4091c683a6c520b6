//! Tests of the whole system with real processes on loopback.

mod bad_input;
mod control;
mod control_cluster;
mod flight;
mod harness;
mod limits;
mod member;
mod product;
mod signals;
mod thin_path;
mod verbs;
