//! Versions of the software of endpoints.

use std::fmt;

use serde::{Deserialize, Serialize};
use sill_base::Name;

/// The version of an endpoint's software, as the endpoint reports it.
///
/// Versions have no order; they are equal or different. What endpoints of different versions write
/// does not fit together, so a stream continues only at the version that began it. Endpoints that
/// report no version count as one version of their own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Software(Option<Name>);

/// Versions that may serve a request.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SoftwareFilter {
    /// All versions.
    #[default]
    Any,
    /// This version.
    Only(Software),
    /// All others than these. An endpoint of which the version is not known may run one of them, so
    /// it is left out as well.
    Except(Vec<Software>),
}

impl SoftwareFilter {
    /// Returns whether an endpoint of this version may serve the request.
    pub fn admits(&self, software: &Software) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => software.is_compatible(only),
            Self::Except(excluded) => !software.is_ambiguous() && !excluded.contains(software),
        }
    }

    /// Returns whether it is the filter that admits all versions.
    pub const fn is_any(&self) -> bool {
        matches!(self, Self::Any)
    }
}

impl Software {
    /// The version of an endpoint that has reported different ones in the same incarnation.
    pub const AMBIGUOUS: Self = Self(None);

    /// Returns the version with this name; an empty name means that none was reported.
    pub fn named(name: Name) -> Self {
        Self(Some(name))
    }

    /// Returns whether it is not known which version the endpoint runs.
    pub const fn is_ambiguous(&self) -> bool {
        self.0.is_none()
    }

    /// Returns whether an endpoint of this version may continue a stream that one of version
    /// `other` began.
    pub fn is_compatible(&self, other: &Self) -> bool {
        !self.is_ambiguous() && self == other
    }

    /// Combines two reports of the same incarnation. A report without a version changes nothing:
    /// older processes leave it out when they pass facts on.
    pub fn combine(&self, other: &Self) -> Self {
        let unnamed = Self::default();
        match (self, other) {
            (known, other) if known == other || *other == unnamed => known.clone(),
            (known, other) if *known == unnamed => other.clone(),
            _ => Self::AMBIGUOUS,
        }
    }

    /// Returns whether no version was reported.
    pub fn is_unnamed(&self) -> bool {
        self.0.as_ref().is_some_and(|name| name.is_empty())
    }
}

impl Default for Software {
    fn default() -> Self {
        Self(Some(Name::default()))
    }
}

impl From<&str> for Software {
    fn from(name: &str) -> Self {
        Self::named(name.into())
    }
}

impl fmt::Display for Software {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(name) => name.fmt(f),
            None => f.write_str("ambiguous"),
        }
    }
}
