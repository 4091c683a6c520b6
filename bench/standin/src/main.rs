//! The `sill-standin` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(sill_standin::cli::run(std::env::args().skip(1).collect()))
}
