//! Changes by announcements, leaving notices and replies.

use std::collections::BTreeSet;

use sill_base::{Millis, Name};
use sill_wire::announce::AnnounceReply;
use sill_wire::member::{LeavingNotice, MemberReply};
use sill_wire::{Announcement, Incarnation};

use super::{MAX_ANNOUNCE_ENTRIES, MAX_PUSHES, Members, Push, RequestKind};
use crate::cfg::Weakening;
use crate::endpoints::{ApplyOutcome, Source};
use crate::entries::rank;
use crate::event::{Action, Report};

impl Members {
    pub(super) fn handle_announcement(
        &mut self,
        now: Millis,
        announcement: Announcement,
        out: &mut Vec<Action>,
    ) {
        // The endpoint may belong to another domain, if all entry instances of its own are down.
        let name = announcement.name.clone();
        let incarnation = announcement.incarnation;
        let time_left = announcement.leaving;
        // Right after a start or a freeze, the announcement may have been in a buffer for long, and
        // a peer may have a newer one.
        let may_be_buffered = now - self.confirmation.resumed_at < self.cfg.buffer_delay;
        let is_fresh = (!may_be_buffered && self.is_settled(now))
            || self.cfg.weakening == Weakening::StaleTrusted;
        let source = if is_fresh { Source::Direct } else { Source::Relayed(Millis::ZERO) };
        if time_left.is_none() && self.cfg.weakening == Weakening::LeavingNotSticky {
            self.endpoints.remove_leaving(&announcement);
        }
        let outcome = self.endpoints.apply(now, announcement, source, &self.cfg);
        if let ApplyOutcome::NameInUse(winner) = outcome {
            let endpoint = name;
            let reason = format!("incarnation {} of this name is in use", winner.0);
            let report = Report::NameClaimedTwice { endpoint, winner, refused: incarnation };
            out.push(Action::Report(report));
            return self.reply_to_endpoint(now, Some(reason), out);
        }
        if let Some(left) = time_left {
            let notice = LeavingNotice { name: name.clone(), incarnation, left };
            self.start_push(now, notice, out);
        }
        self.update_router(now, &name, out);
        // An instance that doesn't know its peers yet can't push the notice to them, so the
        // endpoint has to announce itself to another instance.
        let cannot_push = time_left.is_some() && !self.is_settled(now);
        let reason = cannot_push.then(|| "no peer of the failure domain was heard yet".to_owned());
        self.reply_to_endpoint(now, reason, out);
    }

    /// Records a leaving notice from the endpoint itself and pushes it to all peers at once.
    ///
    /// A peer that received it only by its next gossip request would send new requests to the
    /// endpoint for seconds. The instance that received the notice from the endpoint pushes it to
    /// all peers; if that instance dies first, the endpoint announces itself to another one.
    pub(super) fn start_push(&mut self, now: Millis, notice: LeavingNotice, out: &mut Vec<Action>) {
        self.endpoints.record_leaving(now, &notice);
        let key = (notice.name, notice.incarnation);
        if self.pushes.contains_key(&key) {
            return;
        }
        self.pushes.insert(key, Push { acknowledged_by: BTreeSet::new(), pushes_left: MAX_PUSHES });
        if now >= self.next_push {
            self.push_notices(now, out);
        }
    }

    /// Replies to an announcement: accepts it, or refuses it with a reason.
    pub(super) fn reply_to_endpoint(
        &self,
        now: Millis,
        reason: Option<String>,
        out: &mut Vec<Action>,
    ) {
        let ranked = rank(&self.own.name, self.live_entries(now));
        let entries =
            ranked.into_iter().take(MAX_ANNOUNCE_ENTRIES).map(|info| info.address.clone());
        let accepted = reason.is_none();
        out.push(Action::AnnounceReply(AnnounceReply {
            accepted,
            reason,
            entries: entries.collect(),
        }));
    }

    pub(super) fn handle_reply(
        &mut self,
        now: Millis,
        id: u64,
        reply: MemberReply,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.pending.remove(&id) else { return };
        // The reply may have been in flight for the whole time since the request was sent.
        let transit = match self.cfg.weakening {
            Weakening::TransitIgnored => Millis::ZERO,
            _ => now - request.sent_at,
        };
        for summary in reply.summaries {
            let is_whole = !request.is_filtered;
            self.foreign.apply(now, summary, transit, is_whole, &self.cfg, out);
        }
        if reply.from.domain != self.own.domain {
            return self.foreign.record_contact(now, &reply.from);
        }
        if reply.from.name == self.own.name {
            return;
        }
        for notice in &reply.leaving {
            self.apply_notice(now, notice, out);
        }
        if let RequestKind::Push(keys) = &request.kind {
            self.acknowledge(&request.peer, keys);
        }
        self.entries.record_reply(&reply.from.name);
        self.entries.apply(now, reply.from, transit, out);
        for entry in reply.entries.into_iter().filter(|e| e.info.name != self.own.name) {
            self.entries.apply(now, entry.info, entry.age + transit, out);
        }
        self.entries.apply_heartbeats(now, request.salt, &reply.heartbeats, transit);
        let mut changed: BTreeSet<Name> = reply.leaving.iter().map(|n| n.name.clone()).collect();
        for relayed in reply.endpoints {
            changed.insert(relayed.announcement.name.clone());
            let source = Source::Relayed(relayed.age + transit);
            self.endpoints.apply(now, relayed.announcement, source, &self.cfg);
        }
        if !reply.loads.is_empty() {
            let names = self.endpoints.names_by_hash(request.salt);
            for load in &reply.loads {
                let Some(name) = names.get(&load.hash) else { continue };
                self.endpoints.apply_load(now, name, load, transit);
                changed.insert(name.clone());
            }
        }
        let may_confirm =
            reply.settled || now - self.confirmation.resumed_at >= self.cfg.settle_timeout;
        let is_sent_since_resume = request.sent_at >= self.confirmation.resumed_at;
        if matches!(request.kind, RequestKind::Sync | RequestKind::Probe)
            && may_confirm
            && is_sent_since_resume
        {
            let sent_at = request.sent_at;
            let confirmed_at =
                self.confirmation.confirmed_at.map_or(sent_at, |before| before.max(sent_at));
            self.confirmation.confirmed_at = Some(confirmed_at);
        }
        for name in &changed {
            self.update_router(now, name, out);
        }
    }

    /// Records a leaving notice from a peer. It is not pushed on, as its first receiver does that.
    pub(super) fn apply_notice(
        &mut self,
        now: Millis,
        notice: &LeavingNotice,
        out: &mut Vec<Action>,
    ) {
        if self.endpoints.record_leaving(now, notice) {
            self.update_router(now, &notice.name, out);
        }
    }

    /// Records that a peer acknowledged the push of these leaving notices.
    pub(super) fn acknowledge(&mut self, peer: &Name, keys: &[(Name, Incarnation)]) {
        for key in keys {
            if let Some(push) = self.pushes.get_mut(key) {
                push.acknowledged_by.insert(peer.clone());
            }
        }
    }

    pub(super) fn handle_failure(&mut self, now: Millis, id: u64, out: &mut Vec<Action>) {
        let Some(request) = self.pending.remove(&id) else { return };
        match request.kind {
            RequestKind::Sync => {
                self.entries.record_failure(now, &request.peer);
                // Waiting for the next sync interval would leave this instance without
                // confirmation.
                if self.retries_left > 0 {
                    self.retries_left -= 1;
                    self.sync_with_peer(now, out);
                }
            }
            RequestKind::Summary => self.foreign.record_failure(&request.peer),
            RequestKind::Probe | RequestKind::Push(_) => {}
        }
    }
}
