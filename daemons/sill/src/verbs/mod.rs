//! The verbs, a module each.

mod apply;
mod get;
mod hash;
mod try_it;

use std::future::Future;

use eyre::{Result, bail};
use ntex::rt::{DefaultRuntime, System};
use sill_setup::{Outcome, Program, Values};

const USAGE: &str = "\
sill: the operators' command line of buckthornsill

Usage: sill VERB [FLAGS] …; `sill VERB --help` tells more.

  try       run the whole system in one process, for a first look
  get       print a subtree
  entry, control, standin, load
            run what the program of that name runs
  hash      print the hash of a key or token for a settings file
  apply     put a settings file in place of a subtree
";

/// Runs the verb that the words ask for.
///
/// # Errors
///
/// Fails when the verb is unknown, a flag is wrong, or the verb itself fails.
pub fn run(mut words: Vec<String>) -> Result<()> {
    if words.is_empty() {
        bail!("{USAGE}");
    }
    let verb = words.remove(0);
    match verb.as_str() {
        "get" => with_values(&get::PROGRAM, words, get::run),
        "apply" => with_values(&apply::PROGRAM, words, apply::run),
        "entry" => sill_entry::cli::run(words),
        "control" => sill_control::cli::run(words),
        "standin" => sill_standin::cli::run(words),
        "load" => sill_load::cli::run(words),
        "try" => with_values(&try_it::PROGRAM, words, try_it::run),
        "hash" => with_values(&hash::PROGRAM, words, hash::run),
        "help" | "--help" | "-h" => {
            print!("{USAGE}");
            Ok(())
        }
        _ => bail!("unknown verb {verb:?}\n\n{USAGE}"),
    }
}

fn with_values<F, Fut>(program: &'static Program, words: Vec<String>, verb: F) -> Result<()>
where
    F: FnOnce(Values) -> Fut + 'static,
    Fut: Future<Output = Result<()>> + 'static,
{
    match program.read(words)? {
        Outcome::Help(text) => {
            print!("{text}");
            Ok(())
        }
        Outcome::Values(values) => System::build()
            .name("sill")
            .build(DefaultRuntime)
            .block_on(async move { verb(values).await }),
    }
}
