//! The entry instance for routes.

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(sill_gateway::cli::run(std::env::args().skip(1).collect()))
}
