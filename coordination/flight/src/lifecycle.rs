//! The life of a request by typestate: received, admitted, claimed, dispatched, answered.
//!
//! A refusal that certifies not-run is a [`NotRunRefusal`], and only the states in which no byte has left
//! make one. A caller who is told not-run sends the request again, so a false certificate means
//! that the same notice is sent twice; the compiler refuses it:
//!
//! ```compile_fail,E0599
//! use sill_flight::lifecycle::Lifecycle;
//! use sill_wire::ErrorCode;
//!
//! let dispatched = Lifecycle::new("r1".into()).admit().dispatch();
//! dispatched.refuse(ErrorCode::NoCapacity, "full", None);
//! ```
//!
//! Before the dispatch it is allowed:
//!
//! ```
//! use sill_flight::lifecycle::Lifecycle;
//! use sill_wire::ErrorCode;
//!
//! let admitted = Lifecycle::new("r1".into()).admit();
//! let refusal = admitted.refuse(ErrorCode::NoCapacity, "full", None);
//! assert_eq!(refusal.code(), ErrorCode::NoCapacity);
//! ```
//!
//! Nor can a certificate be written by hand:
//!
//! ```compile_fail,E0451
//! use sill_flight::lifecycle::NotRunRefusal;
//! use sill_wire::ErrorCode;
//!
//! let forged = NotRunRefusal {
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
pub struct Lifecycle<S> {
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
pub trait UnsentState: sealed::Sealed {}

/// States from which a request may be sent.
pub trait SendableState: UnsentState {
    /// Whether a claim is held.
    const CLAIMED: bool;
}

mod sealed {
    pub trait Sealed {}
}

/// A certified refusal: no byte of the request has left for an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRunRefusal {
    request: Name,
    code: ErrorCode,
    message: String,
    retry_after: Option<Millis>,
}

/// An answer that says nothing on whether the request was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFailure {
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
pub enum ConnectFailureState {
    /// No byte has left; the request is admitted only.
    Admitted(Lifecycle<Admitted>),
    /// No byte has left; the claim is held still.
    Claimed(Lifecycle<Claimed>),
    /// Bytes of an earlier attempt have left.
    Dispatched(Lifecycle<Dispatched>),
}

impl Lifecycle<Received> {
    /// Begins the life of a request.
    pub fn new(request: Name) -> Self {
        Self { request, state: Received(()) }
    }

    /// Goes on once the limits let it in.
    pub fn admit(self) -> Lifecycle<Admitted> {
        self.to(Admitted(()))
    }
}

impl Lifecycle<Admitted> {
    /// Goes on once the claim was granted.
    pub fn claim(self) -> Lifecycle<Claimed> {
        self.to(Claimed(()))
    }
}

impl<S> Lifecycle<S>
where
    S: UnsentState,
{
    /// Refuses the request for good, and certifies that it was not run.
    pub fn refuse<M>(
        self,
        code: ErrorCode,
        message: M,
        retry_after: Option<Millis>,
    ) -> NotRunRefusal
    where
        M: Into<String>,
    {
        NotRunRefusal { request: self.request, code, message: message.into(), retry_after }
    }

    /// Ends the request without a certificate, as where the same key was run before.
    pub fn fail_before_send<M>(
        self,
        code: ErrorCode,
        message: M,
        retry_after: Option<Millis>,
    ) -> RequestFailure
    where
        M: Into<String>,
    {
        RequestFailure { request: self.request, code, message: message.into(), retry_after }
    }
}

impl<S> Lifecycle<S>
where
    S: SendableState,
{
    /// Hands the request to the network; from here on bytes may have left.
    pub fn dispatch(self) -> Lifecycle<Dispatched> {
        self.to(Dispatched { left: false, claimed: S::CLAIMED })
    }
}

impl Lifecycle<Dispatched> {
    /// Takes over a request that another entry instance dispatched.
    pub fn from_hand_off(request: Name) -> Self {
        Lifecycle { request, state: Dispatched { left: true, claimed: false } }
    }

    /// Returns whether a byte of an attempt before this one may have left.
    pub fn may_have_sent(&self) -> bool {
        self.state.left
    }

    /// Notes that the attempt is over and that its bytes may have left.
    pub fn mark_sent(mut self) -> Self {
        self.state.left = true;
        self
    }

    /// Goes back after an attempt that never had a connection.
    pub fn revert_failed_connect(self) -> ConnectFailureState {
        match self.state {
            Dispatched { left: true, .. } => ConnectFailureState::Dispatched(self),
            Dispatched { claimed: true, .. } => ConnectFailureState::Claimed(self.to(Claimed(()))),
            Dispatched { claimed: false, .. } => {
                ConnectFailureState::Admitted(self.to(Admitted(())))
            }
        }
    }

    /// Gives the request up.
    pub fn fail<M>(self, code: ErrorCode, message: M, retry_after: Option<Millis>) -> RequestFailure
    where
        M: Into<String>,
    {
        RequestFailure { request: self.request, code, message: message.into(), retry_after }
    }

    /// Ends it with its whole answer.
    pub fn answer(self) -> Lifecycle<Answered> {
        self.to(Answered(()))
    }
}

impl<S> Lifecycle<S> {
    /// Returns the request's name.
    pub fn request(&self) -> &Name {
        &self.request
    }

    fn to<T>(self, state: T) -> Lifecycle<T> {
        Lifecycle { request: self.request, state }
    }
}

impl NotRunRefusal {
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

impl sealed::Sealed for Received {}
impl sealed::Sealed for Admitted {}
impl sealed::Sealed for Claimed {}

impl UnsentState for Received {}
impl UnsentState for Admitted {}
impl UnsentState for Claimed {}

impl SendableState for Admitted {
    const CLAIMED: bool = false;
}

impl SendableState for Claimed {
    const CLAIMED: bool = true;
}
