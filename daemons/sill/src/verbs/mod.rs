//! The verbs, a module each.

mod apply;
mod audit;
mod check;
mod diff;
mod drain;
mod explain;
mod get;
mod hash;
mod replay;
mod status;
pub mod timeline;
mod try_it;
mod watch;

use std::future::Future;

use eyre::{Result, bail};
use ntex::rt::{DefaultRuntime, System};
use sill_setup::{Program, Values};

const USAGE: &str = "\
sill: the operators' command line of buckthornsill

Usage: sill VERB [FLAGS] …; `sill VERB --help` tells more.

  try       run the whole system in one process, for a first look

  check     report every fault of settings files
  diff      print what a settings file would change
  apply     put a settings file in place of a subtree
  get       print a subtree
  watch     print each new revision of a subtree
  audit     print who changed or ordered what, when and why
  status    print who leads, who lags behind, and the endpoints
  drain     note that an endpoint is to be drained; nothing carries it out yet
  explain   tell what became of a request, and why
  replay    run recorded traces of decision cores and compare the stated outcomes
  hash      print the hash of a key or token for a settings file

  entry, gateway, control, standin, load
            run what the program of that name runs
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
        "apply" => with_values(&apply::PROGRAM, words, apply::run),
        "audit" => with_values(&audit::PROGRAM, words, audit::run),
        "check" => with_values(&check::PROGRAM, words, check::run),
        "diff" => with_values(&diff::PROGRAM, words, diff::run),
        "drain" => with_values(&drain::PROGRAM, words, drain::run),
        "explain" => with_values(&explain::PROGRAM, words, explain::run),
        "get" => with_values(&get::PROGRAM, words, get::run),
        "hash" => with_values(&hash::PROGRAM, words, hash::run),
        "replay" => with_values(&replay::PROGRAM, words, replay::run),
        "status" => with_values(&status::PROGRAM, words, status::run),
        "watch" => with_values(&watch::PROGRAM, words, watch::run),
        "try" => with_values(&try_it::PROGRAM, words, try_it::run),
        "entry" => sill_entry::cli::run(words),
        "gateway" => sill_gateway::cli::run(words),
        "control" => sill_control::cli::run(words),
        "standin" => sill_standin::cli::run(words),
        "load" => sill_load::cli::run(words),
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
    let Some(values) = program.values_or_help(words)? else {
        return Ok(());
    };
    let system = System::build().name("sill").build(DefaultRuntime);
    system.block_on(async move { verb(values).await })
}
