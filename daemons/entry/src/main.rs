//! Binary of the entry daemon `sill-entry`.

use std::process::ExitCode;

fn main() -> ExitCode {
    sill_setup::exit_code(sill_entry::cli::run(std::env::args().skip(1).collect()))
}
