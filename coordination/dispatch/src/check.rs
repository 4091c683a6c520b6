//! Decides whether an endpoint runs or has ended, from what several entry instances see of it.
//!
//! To one instance a partition looks like the end of an endpoint, and a busy instance connects too
//! late. A connection that opens is no sign of the process: its host or a proxy may accept it.

use sill_wire::probe::{EndpointProbe, ProbeEndpointReply};

/// What one entry instance sees of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointSign {
    /// Its process has sent something.
    Heard,
    /// A connection stays open.
    Open,
    /// Connections are refused, or accepted and closed.
    Closed,
    /// None of these.
    Unclear,
}

/// What is known of an endpoint of which an answer has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointCheck {
    /// Its process is shown to run.
    Running,
    /// It accepts connections, and must not be asked for a reply.
    Open,
    /// Nothing shows that it runs or that it has ended.
    Silent,
    /// It accepts no connections, at this instance and at all others that were asked.
    Ended,
    /// Some instances see that it accepts no connections, and the others don't know.
    Unclear,
}

impl EndpointSign {
    /// Returns the name for log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Heard => "Heard",
            Self::Open => "Open",
            Self::Closed => "Closed",
            Self::Unclear => "Unclear",
        }
    }
}

impl From<ProbeEndpointReply> for EndpointSign {
    fn from(reply: ProbeEndpointReply) -> Self {
        match reply.probe {
            _ if reply.is_heard => Self::Heard,
            EndpointProbe::Open => Self::Open,
            EndpointProbe::Closed => Self::Closed,
            EndpointProbe::Unclear => Self::Unclear,
        }
    }
}

impl EndpointCheck {
    /// Returns the name for log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Open => "open",
            Self::Silent => "silent",
            Self::Ended => "ended",
            Self::Unclear => "unclear",
        }
    }
}

/// Decides from what this instance has seen, and from the replies of `asked` others.
pub fn check_endpoint(own: EndpointSign, asked: usize, replies: &[EndpointSign]) -> EndpointCheck {
    let is_seen = |sign: EndpointSign| own == sign || replies.contains(&sign);
    let closed = replies.iter().filter(|reply| **reply == EndpointSign::Closed).count();
    if is_seen(EndpointSign::Heard) {
        EndpointCheck::Running
    } else if is_seen(EndpointSign::Open) || !is_seen(EndpointSign::Closed) {
        // One connection that is not accepted in time shows nothing.
        EndpointCheck::Silent
    } else if closed == asked {
        EndpointCheck::Ended
    } else {
        EndpointCheck::Unclear
    }
}
