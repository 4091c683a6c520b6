//! `sill check`.

use std::path::Path;

use eyre::Result;
use sill_base::Findings;
use sill_setup::{Flag, Program, Values};
use sill_tree::Tree;

use crate::settings_file;

/// The verb and its flags.
pub const PROGRAM: Program = Program {
    name: "sill check",
    about: "report every fault of settings files, without any other process",
    operands: "[PATH=]FILE…",
    flags: &[Flag::one("path", "PATH", "the subtree of a file that names none")],
};

/// A settings file and its subtree.
struct Settings {
    path: String,
    file: String,
}

/// Runs the verb. Files that are given together are checked as one tree, those of upper subtrees
/// first; a file that names no subtree stands for the one of its own name.
///
/// # Errors
///
/// Returns every finding with file, path and reason.
pub async fn run(mut values: Values) -> Result<()> {
    let path: Option<String> = values.optional("path");
    values.finish()?;
    if values.operands.is_empty() {
        return Err(Findings::one("command line", "expected at least one FILE").into());
    }
    let mut all: Vec<Settings> =
        values.operands.iter().map(|operand| Settings::read(operand, path.as_deref())).collect();
    all.sort_by(|a, b| a.path.cmp(&b.path));
    let mut tree = Tree::default();
    let mut findings = Findings::new();
    for (i, settings) in all.iter().enumerate() {
        if let Err(found) = add(&mut tree, settings, i as u64 + 1) {
            findings.extend(found);
        }
    }
    findings.into_result(())?;
    for settings in all {
        println!("{}: sound, as subtree {:?}", settings.file, settings.path);
    }
    Ok(())
}

impl Settings {
    fn read(operand: &str, path: Option<&str>) -> Self {
        if let Some((path, file)) = operand.split_once('=') {
            return Self { path: path.to_owned(), file: file.to_owned() };
        }
        let stem = Path::new(operand).file_stem().and_then(|stem| stem.to_str());
        let path = path.or(stem).unwrap_or_default().to_owned();
        Self { path, file: operand.to_owned() }
    }
}

fn add(tree: &mut Tree, settings: &Settings, revision: u64) -> Result<(), Findings> {
    let Settings { path, file } = settings;
    let value = settings_file::read(file, path)?;
    let document =
        tree.check_value(path, &value).map_err(|found| settings_file::in_file(file, &found))?;
    tree.put(path.as_str().into(), revision, "check".into(), document);
    Ok(())
}
