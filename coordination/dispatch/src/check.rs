//! Decides whether an endpoint has ended, from what several entry instances see of it.
//!
//! To one instance a partition looks like the end of an endpoint, and a busy instance connects too
//! late.

use sill_wire::probe::EndpointProbe;

/// What is known of an endpoint of which an answer has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointCheck {
    /// An instance reaches it, or nothing shows that it has ended.
    Running,
    /// It accepts no connections, at this instance and at all others that were asked.
    Ended,
    /// It accepts no connections here, and the others don't know.
    Unclear,
}

impl EndpointCheck {
    /// Returns the name for log lines.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Ended => "ended",
            Self::Unclear => "unclear",
        }
    }
}

/// Decides from what this instance has seen, and from the replies of `asked` others.
pub fn check_endpoint(
    own: EndpointProbe,
    asked: usize,
    replies: &[EndpointProbe],
) -> EndpointCheck {
    let closed = replies.iter().filter(|reply| **reply == EndpointProbe::Closed).count();
    if own == EndpointProbe::Open || replies.contains(&EndpointProbe::Open) {
        return EndpointCheck::Running;
    }
    // One connection that is not accepted in time shows nothing.
    let is_shown = own == EndpointProbe::Closed || closed > 0;
    match closed == asked {
        _ if !is_shown => EndpointCheck::Running,
        true => EndpointCheck::Ended,
        false => EndpointCheck::Unclear,
    }
}
