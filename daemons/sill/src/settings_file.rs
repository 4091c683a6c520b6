//! Settings files, one a subtree.

use std::fs;

use serde_json::Value;
use sill_base::Findings;
use sill_tree::read_json;

/// Reads a settings file for a subtree.
///
/// # Errors
///
/// Returns every finding with the file, the place and the reason.
pub fn read(file: &str, path: &str) -> Result<Value, Findings> {
    let text = fs::read(file).map_err(|err| Findings::one(file, err.to_string()))?;
    let checked = read_json(path, &text).and_then(|value| {
        // What can be told from the file alone is told before any other process is asked.
        sill_tree::read::standalone_document(path, &value).map(|_| value)
    });
    checked.map_err(|findings| in_file(file, &findings))
}

/// Puts the file's name before each place.
pub fn in_file(file: &str, findings: &Findings) -> Findings {
    let mut named = Findings::new();
    for finding in findings.iter() {
        named.add(format!("{file}: {}", finding.place), &finding.reason);
    }
    named
}
