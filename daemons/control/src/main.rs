//! The binary of the control daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(sill_control::cli::run(std::env::args().skip(1).collect()))
}
