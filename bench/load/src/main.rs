//! The load and experiment tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(sill_load::cli::run(std::env::args().skip(1).collect()))
}
