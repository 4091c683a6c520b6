//! Tests of the whole system with real processes on loopback.

mod flight;
mod harness;
mod thin_path;
