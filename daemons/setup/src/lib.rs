//! Start-up of the programs: flags and environment variables, logging, stop signals and exit codes.

pub mod flags;
pub mod logs;
pub mod queue;
pub mod rollout_flags;
pub mod signal;
pub mod start;

pub use flags::{Flag, FlagKind, Outcome, Program, Values, Variables};

/// The exit code for invalid flags, environment variables or settings files.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// Converts the result of a program to its exit code. Prints the error on standard error, and waits
/// until the last log lines are written.
pub fn exit_code(result: eyre::Result<()>) -> std::process::ExitCode {
    logs::flush();
    match result {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            let is_bad_settings = err.downcast_ref::<sill_base::Findings>().is_some();
            std::process::ExitCode::from(if is_bad_settings { EXIT_BAD_SETTINGS } else { 1 })
        }
    }
}
