//! Simulation of replicas with random faults in virtual time.

mod history;
mod losses;
mod node;
mod rules;
mod runs;
mod schedule;
mod world;
