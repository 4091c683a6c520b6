//! Tests of the whole system with real processes on loopback.

mod harness;
mod member;
mod thin_path;
