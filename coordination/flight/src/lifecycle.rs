//! The lifecycle of a request by typestate: received, admitted, claimed, dispatched, answered.
//!
//! A refusal that certifies not-run is a [`NotRunRefusal`], and only the states in which no byte
//! has been sent to an endpoint can make one. A caller resends a request that was certified
//! not-run, so a false certificate makes the request run twice; the compiler rejects it:
//!
//! ```compile_fail,E0599
//! use sill_flight::lifecycle::Lifecycle;
//! use sill_wire::ErrorCode;
//!
//! let dispatched = Lifecycle::new("r1".into()).admit().dispatch();
//! dispatched.refuse(ErrorCode::NoCapacity, "full", None);
//! ```
//!
//! Before the dispatch a refusal is allowed:
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
//! A refusal can't be constructed outside this module either:
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

/// A request in one state of its lifecycle.
#[derive(Debug)]
pub struct Lifecycle<S> {
    request: Name,
    state: S,
}

/// The request was read; limits and claims are not checked yet.
#[derive(Debug)]
pub struct Received(());

/// The client account is within its limit.
#[derive(Debug)]
pub struct Admitted(());

/// This entry instance owns the claim on the idempotency key.
#[derive(Debug)]
pub struct Claimed(());

/// The request was passed to the network for an endpoint.
#[derive(Debug)]
pub struct Dispatched {
    /// Whether an attempt before the current one may have sent a byte.
    may_have_sent: bool,
    is_claimed: bool,
}

/// The complete answer arrived.
#[derive(Debug)]
pub struct Answered(());

/// States in which no byte of the request has been sent to an endpoint.
pub trait UnsentState: sealed::Sealed {}

/// States from which a request may be dispatched.
pub trait SendableState: UnsentState {
    /// Whether the request holds a claim in this state.
    const HAS_CLAIM: bool;
}

mod sealed {
    pub trait Sealed {}
}

/// A refusal that certifies that no byte of the request was sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRunRefusal {
    request: Name,
    code: ErrorCode,
    message: String,
    retry_after: Option<Millis>,
}

/// A failure that leaves open whether the request was run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFailure {
    /// The request's id.
    pub request: Name,
    /// The error code, for programs.
    pub code: ErrorCode,
    /// The error text, for people.
    pub message: String,
    /// When the caller may retry.
    pub retry_after: Option<Millis>,
}

/// The state to which a request returns after an attempt that could not connect.
#[derive(Debug)]
pub enum ConnectFailureState {
    /// No byte was sent, and the request holds no claim.
    Admitted(Lifecycle<Admitted>),
    /// No byte was sent, and the request still holds its claim.
    Claimed(Lifecycle<Claimed>),
    /// An earlier attempt may have sent bytes.
    Dispatched(Lifecycle<Dispatched>),
}

impl Lifecycle<Received> {
    /// Starts the lifecycle of a request that was read.
    pub fn new(request: Name) -> Self {
        Self { request, state: Received(()) }
    }

    /// Moves on once the client account is within its limit.
    pub fn admit(self) -> Lifecycle<Admitted> {
        self.with_state(Admitted(()))
    }
}

impl Lifecycle<Admitted> {
    /// Moves on once the claim is granted.
    pub fn claim(self) -> Lifecycle<Claimed> {
        self.with_state(Claimed(()))
    }
}

impl<S> Lifecycle<S>
where
    S: UnsentState,
{
    /// Refuses the request, and certifies that it was not run.
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

    /// Fails the request without a certificate, as when another request with its key was run.
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
    /// Passes the request to the network; from here on bytes may be sent.
    pub fn dispatch(self) -> Lifecycle<Dispatched> {
        self.with_state(Dispatched { may_have_sent: false, is_claimed: S::HAS_CLAIM })
    }
}

impl Lifecycle<Dispatched> {
    /// Continues a request that another entry instance dispatched.
    pub fn from_hand_off(request: Name) -> Self {
        Lifecycle { request, state: Dispatched { may_have_sent: true, is_claimed: false } }
    }

    /// Returns whether an attempt before the current one may have sent a byte.
    pub fn may_have_sent(&self) -> bool {
        self.state.may_have_sent
    }

    /// Records that the current attempt has ended and may have sent bytes.
    pub fn mark_sent(mut self) -> Self {
        self.state.may_have_sent = true;
        self
    }

    /// Returns to the state before an attempt that never connected.
    pub fn revert_failed_connect(self) -> ConnectFailureState {
        match self.state {
            Dispatched { may_have_sent: true, .. } => ConnectFailureState::Dispatched(self),
            Dispatched { is_claimed: true, .. } => {
                ConnectFailureState::Claimed(self.with_state(Claimed(())))
            }
            Dispatched { is_claimed: false, .. } => {
                ConnectFailureState::Admitted(self.with_state(Admitted(())))
            }
        }
    }

    /// Fails the request; whether it was run stays open.
    pub fn fail<M>(self, code: ErrorCode, message: M, retry_after: Option<Millis>) -> RequestFailure
    where
        M: Into<String>,
    {
        RequestFailure { request: self.request, code, message: message.into(), retry_after }
    }

    /// Ends the request with its complete answer.
    pub fn answer(self) -> Lifecycle<Answered> {
        self.with_state(Answered(()))
    }
}

impl<S> Lifecycle<S> {
    /// Returns the request's id.
    pub fn request(&self) -> &Name {
        &self.request
    }

    fn with_state<T>(self, state: T) -> Lifecycle<T> {
        Lifecycle { request: self.request, state }
    }
}

impl NotRunRefusal {
    /// Returns the error code, for programs.
    pub fn code(&self) -> ErrorCode {
        self.code
    }

    /// Returns the error text, for people.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns when the caller may retry.
    pub fn retry_after(&self) -> Option<Millis> {
        self.retry_after
    }

    /// Returns the request's id.
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
    const HAS_CLAIM: bool = false;
}

impl SendableState for Claimed {
    const HAS_CLAIM: bool = true;
}
