//! What log files tell of one request, put together in the order of time.

use std::fmt::{self, Display, Formatter};

use sill_base::Millis;

/// How long before and after its own lines an endpoint's lines count. An endpoint is heard of every second
/// or so; one that leaves takes calls for two seconds more.
const AROUND: Millis = Millis(3000);

/// A log file's text.
#[derive(Debug, Clone)]
pub struct Log {
    /// Its name, as it is shown.
    pub name: String,
    /// Its lines.
    pub text: String,
}

/// A line that matters.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The time of day at the instance that wrote it.
    pub at: Millis,
    /// The log file.
    pub log: String,
    /// The rest of the line.
    pub text: String,
}

/// The lines of one log that tell of the request, and all others.
struct Line<'a> {
    at: Millis,
    log: &'a str,
    text: &'a str,
}

impl Display for Entry {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.at, self.log, self.text)
    }
}

/// Returns the lines that name the request or another try at the same stream, and those on the endpoints
/// that they were sent to, about the time at which they ran.
pub fn timeline(id: &str, logs: &[Log]) -> Vec<Entry> {
    let lines: Vec<Line<'_>> = logs.iter().flat_map(lines_of).collect();
    let tries = tries_of_stream(id, &lines);
    let is_own = |line: &&Line<'_>| {
        value(line.text, "id").is_some_and(|other| tries.iter().any(|id| names(other, id)))
    };
    let own: Vec<&Line<'_>> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) =
        (own.iter().map(|line| line.at).min(), own.iter().map(|line| line.at).max())
    else {
        return Vec::new();
    };
    let endpoints: Vec<&str> = own.iter().filter_map(|line| endpoint(line.text)).collect();
    let tells_of_endpoint = |line: &&Line<'_>| {
        let is_belief = matches!(value(line.text, "event"), Some("endpoint" | "endpoint_heard"));
        let is_about_then = line.at + AROUND >= first && line.at <= last + AROUND;
        is_belief && is_about_then && endpoint(line.text).is_some_and(|e| endpoints.contains(&e))
    };
    let matter = lines.iter().filter(|line| is_own(line) || tells_of_endpoint(line));
    let mut entries: Vec<Entry> = matter
        .map(|line| Entry { at: line.at, log: line.log.to_owned(), text: line.text.to_owned() })
        .collect();
    entries.sort_by_key(|entry| entry.at);
    entries
}

/// Returns the ids of all tries at the stream to which a request belongs, the request itself among them.
fn tries_of_stream<'a>(id: &'a str, lines: &[Line<'a>]) -> Vec<&'a str> {
    let resumes = |line: &Line<'a>| value(line.text, "resumes").filter(|first| !first.is_empty());
    let is_own = |line: &&Line<'a>| value(line.text, "id") == Some(id);
    let first = lines.iter().filter(is_own).find_map(resumes).unwrap_or(id);
    let is_later = |line: &&Line<'a>| resumes(line) == Some(first);
    let later = lines.iter().filter(is_later).filter_map(|line| value(line.text, "id"));
    [id, first].into_iter().chain(later).collect()
}

fn lines_of(log: &Log) -> impl Iterator<Item = Line<'_>> {
    log.text.lines().filter_map(|line| {
        // Whatever stands before belongs to who collected the log.
        let text = &line[line.find("at=")?..];
        let at = value(text, "at")?.parse().ok().map(Millis)?;
        Some(Line { at, log: &log.name, text: text.split_once(' ')?.1 })
    })
}

/// Returns whether a line's id is that of the request or of one of its attempts, as `ID/2`.
fn names(other: &str, id: &str) -> bool {
    let rest = other.strip_prefix(id);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn endpoint(text: &str) -> Option<&str> {
    value(text, "endpoint").filter(|endpoint| !endpoint.is_empty())
}

/// Returns the value of a key; one that needs quotes is returned without them.
fn value<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let is_start = |at: usize| at == 0 || text.as_bytes()[at - 1] == b' ';
    let found = text
        .match_indices(key)
        .find(|(at, _)| is_start(*at) && text.as_bytes().get(at + key.len()) == Some(&b'='));
    let rest = &text[found?.0 + key.len() + 1..];
    match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next(),
        None => rest.split(' ').next(),
    }
}
