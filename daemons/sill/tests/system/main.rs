//! Tests of the whole system with real processes on loopback.

mod harness;
mod product;
mod thin_path;
mod verbs;
