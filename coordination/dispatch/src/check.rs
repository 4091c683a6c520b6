//! Decides whether an endpoint runs or has ended, from what several entry instances see of it.
//!
//! To one instance a partition looks like the end of an endpoint, and a busy instance connects too
//! late. A connection that opens is no sign of the process: its host or a proxy may accept it.

use sill_base::Millis;
use sill_wire::probe::{EndpointProbe, ProbeEndpointReply};

/// What one entry instance sees of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointSign {
    /// Its process has sent something, on a connection that was opened at this time. Another process at
    /// its address can't reply on connections from before its start.
    Heard(Millis),
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
            Self::Heard(_) => "Heard",
            Self::Open => "Open",
            Self::Closed => "Closed",
            Self::Unclear => "Unclear",
        }
    }

    /// Reads the reply of another entry instance that arrived at `now`.
    pub fn of_reply(now: Millis, reply: ProbeEndpointReply) -> Self {
        match (reply.heard_on, reply.probe) {
            (Some(age), _) => Self::Heard(now - age),
            (None, EndpointProbe::Open) => Self::Open,
            (None, EndpointProbe::Closed) => Self::Closed,
            (None, EndpointProbe::Unclear) => Self::Unclear,
        }
    }

    /// Returns when the connection was opened on which the process was heard.
    pub const fn opened_at(self) -> Option<Millis> {
        match self {
            Self::Heard(at) => Some(at),
            _ => None,
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
    let is_heard = replies.iter().chain([&own]).any(|sign| sign.opened_at().is_some());
    let closed = replies.iter().filter(|reply| **reply == EndpointSign::Closed).count();
    if is_heard {
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
