//! What an entry instance finds out about a stream that a call takes up.
//!
//! What it heard before may no longer be true: it may be cut off, or have stood still, alone or with
//! others. So a stream that nobody knows continues by a conclusion only if others confirm it now.

use sill_base::Name;
use sill_wire::Software;
use sill_wire::control::Revision;
use sill_wire::streams::{
    ConfirmVersionsReply, EntryPeer, FindStreamReply, StreamOrigin, VersionView,
};

use crate::route_history::OriginServices;
use crate::streams::{HOLDERS, KnownStream, TakeUp, combine_views, decide};

/// The replies of others about a stream.
#[derive(Debug, Clone)]
pub struct Inquiry {
    known: Option<KnownStream>,
    view: VersionView,
    /// Instances that keep the record of the stream, if others do. One of them has to reply.
    holders: Vec<Name>,
    has_holder_replied: bool,
    is_confirmed: bool,
    /// The versions in the replicated log, if it goes back far enough.
    recorded: Option<Vec<Software>>,
}

impl Inquiry {
    /// Creates an inquiry of the instance `own` without replies. `asked` are those that are asked for
    /// the stream, with the own one, in the order of [`holders`](crate::streams::holders).
    pub fn new(own: &Name, domain: &Name, asked: &[EntryPeer], view: VersionView) -> Self {
        let keepers = asked.iter().take(HOLDERS).filter(|peer| peer.entry != *own);
        let mut holders: Vec<&EntryPeer> = keepers.collect();
        // The own failure domain may be cut off as a whole.
        if holders.iter().any(|peer| peer.domain != *domain) {
            holders.retain(|peer| peer.domain != *domain);
        }
        let holders: Vec<Name> = holders.into_iter().map(|peer| peer.entry.clone()).collect();
        let has_holder_replied = holders.is_empty();
        Self { known: None, view, holders, has_holder_replied, is_confirmed: false, recorded: None }
    }

    /// Records the reply of an entry instance.
    pub fn record_reply(&mut self, from: &Name, reply: FindStreamReply) {
        let FindStreamReply { origin, view } = reply;
        self.has_holder_replied |= self.holders.contains(from);
        self.add_view(view);
        let known = |origin| KnownStream { origin, from: Some(from.clone()) };
        self.known = self.known.take().or(origin.map(known));
    }

    /// Records that the process of an entry instance has ended, so that it can't reply.
    pub fn record_end(&mut self, of: &Name) {
        self.holders.retain(|holder| holder != of);
        self.has_holder_replied |= self.holders.is_empty();
    }

    /// Records the reply of a control instance, which was asked after the call had arrived; `revision`
    /// of the settings is in force here.
    pub fn record_confirmation(&mut self, revision: u64, reply: ConfirmVersionsReply) {
        let ConfirmVersionsReply { has_leader, versions, revision: newest, recorded } = reply;
        self.add_view(VersionView { versions, is_complete: false });
        if has_leader && newest == Some(Revision(revision)) {
            self.is_confirmed = true;
            self.recorded = self.recorded.take().or(recorded);
        }
    }

    fn add_view(&mut self, view: VersionView) {
        self.view = combine_views([std::mem::take(&mut self.view), view]);
    }

    /// Returns the origin of the stream, if an instance knows it.
    pub fn known(&self) -> Option<&StreamOrigin> {
        self.known.as_ref().map(|known| &known.origin)
    }

    /// Returns the versions known of.
    pub fn view(&self) -> &VersionView {
        &self.view
    }

    /// Returns the versions that the replicated log has, if it goes back far enough.
    pub fn recorded(&self) -> Option<&[Software]> {
        self.recorded.as_deref()
    }

    /// Returns whether an instance has replied that would know the stream, or none runs.
    pub fn has_holder_replied(&self) -> bool {
        self.has_holder_replied
    }

    /// Returns whether a control instance has confirmed the services and versions.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns whether those have replied without whom nothing is concluded.
    pub fn may_conclude(&self) -> bool {
        self.has_holder_replied && self.is_confirmed
    }

    /// Decides where the stream continues, by the services that may have begun it.
    pub fn decide(&self, origins: &OriginServices) -> TakeUp {
        let mut view = self.view.clone();
        // Instances that run for long enough have forgotten versions that the log may still have.
        if let Some(recorded) = self.recorded.clone().filter(|_| !view.is_complete) {
            view = combine_views([view, VersionView { versions: recorded, is_complete: true }]);
        }
        view.is_complete &= self.may_conclude();
        decide(self.known.clone(), origins, [view])
    }
}
