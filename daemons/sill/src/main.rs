//! The operators' command line.

mod operator;
mod verbs;

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(verbs::run(std::env::args().skip(1).collect()))
}
