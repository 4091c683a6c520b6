//! The command line of the load tool.

use std::net::SocketAddr;

use eyre::{Result, bail};
use ntex::rt::{DefaultRuntime, System};
use sill_base::{Findings, Millis, Secret};
use sill_setup::{Flag, Outcome, Program, Values};

use crate::run::{self, LoadCfg};

/// `sill-load`.
pub const LOAD: Program = Program {
    name: "sill-load",
    about: "sends requests and checks every answer",
    operands: "",
    flags: &[
        Flag::many("entry", "IP:PORT", "entry instance to send to"),
        Flag::one("key", "KEY", "the caller's key"),
        Flag::with_default("model", "NAME", "desk-7b", "the model asked for"),
        Flag::with_default("concurrency", "N", "8", "requests under way at once"),
        Flag::with_default("seconds", "N", "10", "how long to send"),
        Flag::with_default("max-tokens", "N", "32", "tokens of an answer"),
        Flag::with_default("prompt-words", "N", "100", "words of a prompt"),
    ],
};

fn load_cfg(values: &mut Values) -> Result<LoadCfg, Findings> {
    let entries: Vec<SocketAddr> = values.many("entry");
    let key: Option<String> = values.required("key");
    let model = values.required("model");
    let concurrency = values.required("concurrency");
    let seconds: Option<u64> = values.required("seconds");
    let max_tokens = values.required("max-tokens");
    let prompt_words = values.required("prompt-words");
    if entries.is_empty() {
        values.finding("entry", "missing");
    }
    values.finish()?;
    let checked = "present once the check succeeded";
    Ok(LoadCfg {
        entries,
        key: Secret::new(&key.expect(checked)),
        model: model.expect(checked),
        concurrency: concurrency.expect(checked),
        length: Millis::from_secs(seconds.expect(checked)),
        max_tokens: max_tokens.expect(checked),
        prompt_words: prompt_words.expect(checked),
    })
}

/// Runs the tool.
///
/// # Errors
///
/// Fails when a flag is wrong or an answer was not whole.
pub fn run(words: Vec<String>) -> Result<()> {
    if words.first().is_some_and(|word| word == "experiment") {
        return crate::experiment::cli::run(words[1..].to_vec());
    }
    let mut values = match LOAD.read(words)? {
        Outcome::Help(text) => {
            print!("{text}");
            return Ok(());
        }
        Outcome::Values(values) => values,
    };
    let cfg = load_cfg(&mut values)?;
    let system = System::build().name("load").build(DefaultRuntime);
    let report = system.block_on(run::run(cfg))?;
    let at = |quantile| report.total_us.value_at_quantile(quantile) as f64 / 1000.0;
    println!("whole {}, broken {}, refused {}", report.whole, report.broken, report.refused);
    println!("total time p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms", at(0.5), at(0.95), at(0.99));
    if report.broken > 0 {
        bail!("{} answers were not whole", report.broken);
    }
    Ok(())
}
