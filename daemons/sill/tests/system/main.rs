//! Tests of the whole system with real processes on loopback.

mod control;
mod control_cluster;
mod harness;
mod product;
mod thin_path;
mod verbs;
