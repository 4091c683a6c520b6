//! Keys and tokens that must not appear in logs, errors or process lists.

use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;

use subtle::ConstantTimeEq;

/// A key or token. `Debug` does not show it, and it has no `Display`.
#[derive(Clone)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Creates a secret from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the secret text, for sending it in a request.
    pub fn reveal(&self) -> &str {
        &self.0
    }

    /// Returns whether the text equals the secret. The comparison takes constant time, so that its
    /// duration does not show where the two differ.
    pub fn matches(&self, other: &str) -> bool {
        self.0.as_bytes().ct_eq(other.as_bytes()).into()
    }

    /// Returns whether an `Authorization` header carries this secret as a bearer token.
    pub fn is_bearer(&self, header: &str) -> bool {
        header.strip_prefix("Bearer ").is_some_and(|token| self.matches(token.trim()))
    }
}

impl Debug for Secret {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}
