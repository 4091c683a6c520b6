//! Command line of the load generator.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use eyre::{Context, Result, bail};
use sill_base::{Findings, Millis, Secret};
use sill_setup::{Flag, Program, Values};

use crate::experiment;
use crate::fleet;
use crate::mix::{Chat, Mix};
use crate::plot;
use crate::report::Report;
use crate::run::{self, LoadCfg, Pace};

/// Requests in flight when neither `--rate` nor `--concurrency` is given.
const DEFAULT_CONCURRENCY: usize = 8;

/// Flags and help of `sill-load`.
pub const LOAD: Program = Program {
    name: "sill-load",
    about: "sends requests and checks every answer; `plot F.json` draws a report into F.svg",
    operands: "[plot F.json]",
    flags: &[
        Flag::many("entry", "IP:PORT", "entry instance to send to"),
        Flag::one("key", "KEY", "the caller's key; others on the machine can read it here"),
        Flag::one("key-file", "FILE", "file with the caller's key"),
        Flag::one("rate", "R", "requests per second, whether or not earlier ones were answered"),
        Flag::one("concurrency", "N", "requests in flight at once, instead of a rate"),
        Flag::with_default("seconds", "S", "10", "how long to send requests"),
        Flag::one("mix", "FILE", "JSON file with the kinds of requests and their weights"),
        Flag::one("json", "FILE", "file to write the report to"),
        Flag::with_default("threads", "N", "1", "number of sending threads"),
        Flag::with_default("model", "NAME", "desk-7b", "requested model, unless --mix is given"),
        Flag::with_default("max-tokens", "N", "32", "tokens per answer, unless --mix is given"),
        Flag::with_default("prompt-words", "N", "100", "words per prompt, unless --mix is given"),
    ],
};

fn load_cfg(values: &mut Values) -> Result<LoadCfg, Findings> {
    let entries: Vec<SocketAddr> = values.many("entry");
    let key = key(values);
    let pace = pace(values);
    let seconds: Option<f64> = values.required("seconds");
    let mix = mix(values);
    let threads: Option<usize> = values.required("threads");
    if entries.is_empty() {
        values.add_finding("entry", "missing");
    }
    if seconds.is_some_and(|seconds| !(seconds > 0.0 && seconds < 1e6)) {
        values.add_finding("seconds", "expected more than 0");
    }
    if threads == Some(0) {
        values.add_finding("threads", "expected at least 1");
    }
    values.finish()?;
    let checked = "present once the check succeeded";
    Ok(LoadCfg {
        entries,
        key: key.expect(checked),
        pace: pace.expect(checked),
        length: Millis((seconds.expect(checked) * 1000.0) as u64),
        mix: mix.expect(checked),
        threads: threads.expect(checked),
    })
}

fn key(values: &mut Values) -> Option<Secret> {
    let key: Option<String> = values.optional("key");
    let file: Option<String> = values.optional("key-file");
    match (key, file) {
        (Some(key), None) => Some(Secret::new(&key)),
        (None, Some(_)) => values.secret("key-file"),
        (Some(_), Some(_)) => {
            values.add_finding("key-file", "expected either this or --key");
            None
        }
        (None, None) => {
            values.add_finding("key-file", "missing, and no --key (SILL_KEY) either");
            None
        }
    }
}

fn pace(values: &mut Values) -> Option<Pace> {
    let rate: Option<f64> = values.optional("rate");
    let concurrency: Option<usize> = values.optional("concurrency");
    match (rate, concurrency) {
        (Some(rate), None) if rate > 0.0 && rate.is_finite() => Some(Pace::Rate(rate)),
        (Some(_), None) => {
            values.add_finding("rate", "expected more than 0");
            None
        }
        (None, Some(0)) => {
            values.add_finding("concurrency", "expected at least 1");
            None
        }
        (None, concurrency) => Some(Pace::Concurrency(concurrency.unwrap_or(DEFAULT_CONCURRENCY))),
        (Some(_), Some(_)) => {
            values.add_finding("rate", "expected either this or --concurrency");
            None
        }
    }
}

fn mix(values: &mut Values) -> Option<Mix> {
    let file: Option<String> = values.optional("mix");
    let model: Option<String> = values.required("model");
    let max_tokens: Option<u32> = values.required("max-tokens");
    let prompt_words: Option<usize> = values.required("prompt-words");
    let Some(file) = file else {
        let chat = Chat {
            model: model?,
            max_tokens: max_tokens?,
            prompt_words: prompt_words?,
            ..Chat::default()
        };
        return Some(Mix::halves(&chat));
    };
    let read = fs::read_to_string(&file).map_err(|err| Findings::one("file", err.to_string()));
    match read.and_then(|text| Mix::read(&text)) {
        Ok(mix) => Some(mix),
        Err(findings) => {
            for finding in findings.iter() {
                let reason = format!("{file}: {}: {}", finding.place, finding.reason);
                values.add_finding("mix", reason);
            }
            None
        }
    }
}

/// Runs the load generator, or the subcommand `fleet` or `experiment`.
///
/// # Errors
///
/// Fails when a flag is invalid, a file can't be read or written, or the answer to an accepted
/// request was truncated or wrong.
pub fn run(words: Vec<String>) -> Result<()> {
    match words.first().map(String::as_str) {
        Some("fleet") => return fleet::run(words[1..].to_vec()),
        Some("experiment") => return experiment::cli::run(words[1..].to_vec()),
        _ => {}
    }
    let Some(mut values) = LOAD.values_or_help(words)? else {
        return Ok(());
    };
    match values.operands.as_slice() {
        [] => {}
        [verb, file] if verb == "plot" => return plot_file(&file.clone()),
        _ => bail!("expected flags alone, or `plot F.json`"),
    }
    let json: Option<PathBuf> = values.optional("json");
    let report = run::run(load_cfg(&mut values)?)?;
    print!("{}", report.text());
    if let Some(file) = json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(&file, text).wrap_err_with(|| file.display().to_string())?;
    }
    if report.broken() > 0 {
        bail!("{} accepted requests got a truncated or wrong answer", report.broken());
    }
    Ok(())
}

fn plot_file(file: &str) -> Result<()> {
    let text = fs::read_to_string(file).wrap_err_with(|| file.to_owned())?;
    let report: Report = serde_json::from_str(&text).wrap_err_with(|| file.to_owned())?;
    let picture = Path::new(file).with_extension("svg");
    plot::draw(&report, &picture)?;
    println!("{}", picture.display());
    Ok(())
}
