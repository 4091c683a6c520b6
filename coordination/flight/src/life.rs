//! The life of a request by typestate: received, admitted, claimed, dispatched, answered.
//!
//! A refusal that certifies not-run is a [`NotRun`], and only the states in which no byte has left
//! make one. A caller who is told not-run sends the request again, so a false certificate means
//! that the same notice is sent twice; the compiler refuses it:
//!
//! ```compile_fail,E0599
//! use sill_flight::life::Life;
//! use sill_wire::ErrorCode;
//!
//! let dispatched = Life::received("r1".into()).admit().dispatch();
//! dispatched.refuse(ErrorCode::NoCapacity, "full", None);
//! ```
//!
//! Before the dispatch it is allowed:
//!
//! ```
//! use sill_flight::life::Life;
//! use sill_wire::ErrorCode;
//!
//! let admitted = Life::received("r1".into()).admit();
//! let refusal = admitted.refuse(ErrorCode::NoCapacity, "full", None);
//! assert_eq!(refusal.code(), ErrorCode::NoCapacity);
//! ```
//!
//! Nor can a certificate be written by hand:
//!
//! ```compile_fail,E0451
//! use sill_flight::life::NotRun;
//! use sill_wire::ErrorCode;
//!
//! let forged = NotRun {
//!     request: "r1".into(),
//!     code: ErrorCode::NoCapacity,
//!     message: String::new(),
//!     retry_after: None,
//! };
//! ```

use sill_base::{Millis, Name};
use sill_wire::ErrorCode;

/// A request in one state of its life.
#[derive(Debug)]
pub struct Life<S> {
    request: Name,
    state: S,
}

/// It was read, and nothing is decided.
#[derive(Debug)]
pub struct Received(());

/// Its account is within its limit.
#[derive(Debug)]
pub struct Admitted(());

/// This entry instance owns the claim on its key.
#[derive(Debug)]
pub struct Claimed(());

/// It was handed to the network for an endpoint.
#[derive(Debug)]
pub struct Dispatched {
    /// Whether a byte may have left.
    left: bool,
    claimed: bool,
}

/// Its whole answer came.
#[derive(Debug)]
pub struct Answered(());

/// States in which no byte of the request has left for an endpoint.
pub trait Unsent: sealed::Unsent {}

/// States from which a request may be sent.
pub trait Sendable: Unsent {
    /// Whether a claim is held.
    const CLAIMED: bool;
}

mod sealed {
    pub trait Unsent {}
}

/// A certified refusal: no byte of the request has left for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRun {
    request: Name,
    code: ErrorCode,
    message: String,
    retry_after: Option<Millis>,
}

/// An answer that says nothing on whether the request was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failed {
    /// The request.
    pub request: Name,
    /// For programs.
    pub code: ErrorCode,
    /// For people.
    pub message: String,
    /// When to come back.
    pub retry_after: Option<Millis>,
}

/// What a request is after an attempt that could not connect.
#[derive(Debug)]
pub enum AfterConnect {
    /// No byte has left; the request is admitted only.
    Admitted(Life<Admitted>),
    /// No byte has left; the claim is held still.
    Claimed(Life<Claimed>),
    /// Bytes of an earlier attempt have left.
    Dispatched(Life<Dispatched>),
}

impl Life<Received> {
    /// Begins the life of a request.
    pub fn received(request: Name) -> Self {
        Self { request, state: Received(()) }
    }

    /// Goes on once the limits let it in.
    pub fn admit(self) -> Life<Admitted> {
        self.to(Admitted(()))
    }
}

impl Life<Admitted> {
    /// Goes on once the claim was granted.
    pub fn claim(self) -> Life<Claimed> {
        self.to(Claimed(()))
    }
}

impl<S> Life<S>
where
    S: Unsent,
{
    /// Refuses the request for good, and certifies that it was not run.
    pub fn refuse<M>(self, code: ErrorCode, message: M, retry_after: Option<Millis>) -> NotRun
    where
        M: Into<String>,
    {
        NotRun { request: self.request, code, message: message.into(), retry_after }
    }

    /// Ends the request without a certificate, as where the same key was run before.
    pub fn fail_unsent<M>(self, code: ErrorCode, message: M, retry_after: Option<Millis>) -> Failed
    where
        M: Into<String>,
    {
        Failed { request: self.request, code, message: message.into(), retry_after }
    }
}

impl<S> Life<S>
where
    S: Sendable,
{
    /// Hands the request to the network; from here on bytes may have left.
    pub fn dispatch(self) -> Life<Dispatched> {
        self.to(Dispatched { left: false, claimed: S::CLAIMED })
    }
}

impl Life<Dispatched> {
    /// Takes over a request that another entry instance dispatched.
    pub fn taken_over(request: Name) -> Self {
        Life { request, state: Dispatched { left: true, claimed: false } }
    }

    /// Returns whether a byte of an attempt before this one may have left.
    pub fn has_left(&self) -> bool {
        self.state.left
    }

    /// Notes that the attempt is over and that its bytes may have left.
    pub fn attempt_over(mut self) -> Self {
        self.state.left = true;
        self
    }

    /// Goes back after an attempt that never had a connection.
    pub fn not_connected(self) -> AfterConnect {
        match self.state {
            Dispatched { left: true, .. } => AfterConnect::Dispatched(self),
            Dispatched { claimed: true, .. } => AfterConnect::Claimed(self.to(Claimed(()))),
            Dispatched { claimed: false, .. } => AfterConnect::Admitted(self.to(Admitted(()))),
        }
    }

    /// Gives the request up.
    pub fn fail<M>(self, code: ErrorCode, message: M, retry_after: Option<Millis>) -> Failed
    where
        M: Into<String>,
    {
        Failed { request: self.request, code, message: message.into(), retry_after }
    }

    /// Ends it with its whole answer.
    pub fn answer(self) -> Life<Answered> {
        self.to(Answered(()))
    }
}

impl<S> Life<S> {
    /// Returns the request's name.
    pub fn request(&self) -> &Name {
        &self.request
    }

    fn to<T>(self, state: T) -> Life<T> {
        Life { request: self.request, state }
    }
}

impl NotRun {
    /// Returns the code for programs.
    pub fn code(&self) -> ErrorCode {
        self.code
    }

    /// Returns the message for people.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns when to come back.
    pub fn retry_after(&self) -> Option<Millis> {
        self.retry_after
    }

    /// Returns the request's name.
    pub fn request(&self) -> &Name {
        &self.request
    }
}

impl sealed::Unsent for Received {}
impl sealed::Unsent for Admitted {}
impl sealed::Unsent for Claimed {}

impl Unsent for Received {}
impl Unsent for Admitted {}
impl Unsent for Claimed {}

impl Sendable for Admitted {
    const CLAIMED: bool = false;
}

impl Sendable for Claimed {
    const CLAIMED: bool = true;
}
