//! The `sill-load` binary: load generator and experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(sill_load::cli::run(std::env::args().skip(1).collect()))
}
