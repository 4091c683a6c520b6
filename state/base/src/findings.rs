//! Errors of an input, collected with their place and reported together.

use std::error::Error;
use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// An error of an input and its place.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Finding {
    /// The place of the error: a flag, a path in a document, or a field of a request body.
    pub place: String,
    /// A description of the error and of what was expected.
    pub reason: String,
}

/// All errors of one input, in the order in which they were found.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a list of a single finding.
    pub fn one<P, R>(place: P, reason: R) -> Self
    where
        P: Into<String>,
        R: Into<String>,
    {
        let mut findings = Self::new();
        findings.add(place, reason);
        findings
    }

    /// Appends a finding.
    pub fn add<P, R>(&mut self, place: P, reason: R)
    where
        P: Into<String>,
        R: Into<String>,
    {
        self.0.push(Finding { place: place.into(), reason: reason.into() });
    }

    /// Appends all findings of another list.
    pub fn extend(&mut self, other: Findings) {
        self.0.extend(other.0);
    }

    /// Returns whether there are no findings.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the number of findings.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Iterates over the findings in the order in which they were found.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.0.iter()
    }

    /// Returns `Ok(value)` if the list is empty.
    ///
    /// # Errors
    ///
    /// Returns the list itself if it contains any finding.
    pub fn into_result<T>(self, value: T) -> Result<T, Findings> {
        if self.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl Display for Findings {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (i, finding) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{}: {}", finding.place, finding.reason)?;
        }
        Ok(())
    }
}

impl Error for Findings {}
