//! Compares cost and recomputed tokens of fleet policies during a reclaim wave, in virtual time.

mod plot;
mod report;
mod sizes;
mod world;

use std::fs;
use std::path::PathBuf;

use eyre::Result;
use sill_fleet::Policy;
use sill_setup::{Flag, Program};

use sizes::SIZES;
use world::{Totals, World};

/// Flags and help of `sill-load fleet`.
pub const FLEET: Program = Program {
    name: "sill-load fleet",
    about: "compares the fleet policies during a reclaim wave, in virtual time",
    operands: "",
    flags: &[
        Flag::with_default("seeds", "N", "5", "number of runs per policy, with seeds 1 to N"),
        Flag::one("report", "DIR", "directory to write the report and its plots to"),
    ],
};

/// Compared policies; the first is the one in use.
pub const POLICIES: [Policy; 4] = [
    Policy::CheapestSurviving,
    Policy::AllOnDemand,
    Policy::CheapestReclaimable,
    Policy::FixedShares,
];

/// Results of one policy at one pool size, over all seeds.
#[derive(Debug, Clone)]
pub struct Row {
    /// Name of the pool size.
    pub size: &'static str,
    /// Policy of the fleet in these runs.
    pub policy: Policy,
    /// Totals of all runs.
    pub totals: Totals,
    /// Wanted and ready slots over time, in the run with seed 1.
    pub trace: Vec<world::Sample>,
}

/// Runs the comparison and prints its report.
///
/// # Errors
///
/// Fails when a flag is invalid or the report can't be written.
pub fn run(words: Vec<String>) -> Result<()> {
    let Some(mut values) = FLEET.values_or_help(words)? else {
        return Ok(());
    };
    let seeds: Option<u64> = values.required("seeds");
    let folder: Option<PathBuf> = values.optional("report");
    values.finish()?;
    let seeds = seeds.unwrap_or(1).max(1);
    let rows = rows(seeds);
    let text = report::text(&rows, seeds);
    print!("{text}");
    if let Some(folder) = folder {
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("fleet.md"), text)?;
        for size in SIZES {
            plot::capacity(&folder.join(format!("fleet-{}.svg", size.name)), size, &rows)?;
        }
    }
    Ok(())
}

fn rows(seeds: u64) -> Vec<Row> {
    let mut rows = Vec::new();
    for size in SIZES {
        for policy in POLICIES {
            let mut totals = Totals::default();
            let mut trace = Vec::new();
            for seed in 1..=seeds {
                let mut world = World::new(size, policy, seed);
                world.run();
                totals.add(&world.totals);
                if seed == 1 {
                    trace = world.trace;
                }
            }
            rows.push(Row { size: size.name, policy, totals, trace });
        }
    }
    rows
}
