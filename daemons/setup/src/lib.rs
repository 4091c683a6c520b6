//! What every program needs to start: checked flags and variables, logs, signals.

pub mod flags;
pub mod logs;
pub mod queue;
pub mod signal;

pub use flags::{Flag, FlagKind, Outcome, Program, Values, Variables};

/// The exit code for wrong flags, variables or files.
pub const EXIT_BAD_SETTINGS: u8 = 2;

/// Turns the result of a program into its exit code, prints what went wrong, and has the last lines of the
/// log written.
pub fn exit_code(result: eyre::Result<()>) -> std::process::ExitCode {
    logs::flush();
    match result {
        Ok(()) => std::process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            let bad_settings = err.downcast_ref::<sill_base::Findings>().is_some();
            std::process::ExitCode::from(if bad_settings { EXIT_BAD_SETTINGS } else { 1 })
        }
    }
}
