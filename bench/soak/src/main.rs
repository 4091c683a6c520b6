//! The `sill-soak` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(sill_soak::cli::run(std::env::args().skip(1).collect()))
}
