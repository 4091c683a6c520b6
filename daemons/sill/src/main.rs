//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(sill::verbs::run(std::env::args().skip(1).collect()))
}
