//! Signals to all requests in flight: reclaim notices of endpoints, and the hand-off of this
//! instance.

use std::sync::Arc;

use parking_lot::RwLock;
use sill_base::{Map, Millis, Name};
use sill_flight::handoff::HandOffRun;
use sill_wire::{Announcement, Incarnation};
use tokio::sync::{mpsc, oneshot, watch};

use crate::daemon::Shared;

/// How often the leaving endpoints are read from membership.
const POLL_INTERVAL: Millis = Millis(50);

/// A notice whose time moved forward by no more than this wakes no request.
const MIN_NOTICE_CHANGE: Millis = Millis(500);

/// Reclaim notices of endpoints, and the hand-off of this instance.
#[derive(Debug)]
pub struct Signals {
    notices: RwLock<Map<Name, Notice>>,
    hand_off: RwLock<Option<mpsc::UnboundedSender<Offer>>>,
    changes: watch::Sender<u64>,
}

/// The reclaim notice of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// The endpoint's incarnation that received the notice.
    pub incarnation: Incarnation,
    /// When the endpoint will be gone, on the entry instance's clock.
    pub gone_at: Millis,
}

/// A request offered to peers for take-over.
#[derive(Debug)]
pub struct Offer {
    /// The request with its state so far.
    pub run: HandOffRun,
    /// Receives the address of the peer that accepted the request; dropped if none did.
    pub accepted_by: oneshot::Sender<Option<Name>>,
}

impl Signals {
    /// Creates signals without notices and without a hand-off.
    pub fn new() -> Self {
        Self {
            notices: RwLock::default(),
            hand_off: RwLock::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns a receiver that wakes at each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Replaces the notices by those of the endpoints that are leaving now.
    pub fn update_notices(&self, now: Millis, leaving: &[Announcement]) {
        let mut notices = Map::default();
        for announcement in leaving {
            let gone_at = now + announcement.leaving.unwrap_or_default();
            let notice = Notice { incarnation: announcement.incarnation, gone_at };
            notices.insert(announcement.name.clone(), notice);
        }
        let mut previous = self.notices.write();
        let is_changed = notices.iter().any(|(name, notice)| {
            !previous.get(name).is_some_and(|p| {
                p.incarnation == notice.incarnation
                    && p.gone_at <= notice.gone_at + MIN_NOTICE_CHANGE
            })
        });
        // An endpoint announces its remaining time, which counts down. A late announcement gives a
        // later end, so the earliest one received is kept.
        for (name, notice) in &mut notices {
            if let Some(earlier) = previous.get(name)
                && earlier.incarnation == notice.incarnation
            {
                notice.gone_at = notice.gone_at.min(earlier.gone_at);
            }
        }
        *previous = notices;
        drop(previous);
        if is_changed {
            self.changes.send_modify(|n| *n += 1);
        }
    }

    /// Returns the notice of an endpoint, if it was for this incarnation.
    pub fn notice(&self, endpoint: &str, incarnation: Incarnation) -> Option<Notice> {
        let notices = self.notices.read();
        notices.get(endpoint).copied().filter(|n| n.incarnation == incarnation)
    }

    /// Asks every request in flight to offer itself on the returned channel.
    pub fn begin_hand_off(&self) -> mpsc::UnboundedReceiver<Offer> {
        let (tx, rx) = mpsc::unbounded_channel();
        *self.hand_off.write() = Some(tx);
        self.changes.send_modify(|n| *n += 1);
        rx
    }

    /// Returns the channel for offers during a hand-off.
    pub fn offers(&self) -> Option<mpsc::UnboundedSender<Offer>> {
        self.hand_off.read().clone()
    }

    /// Stops accepting offers; the remaining requests in flight end at this instance.
    pub fn end_hand_off(&self) {
        *self.hand_off.write() = None;
    }
}

impl Default for Signals {
    fn default() -> Self {
        Self::new()
    }
}

/// Updates the notices from membership until the process ends.
pub async fn watch(app: Arc<Shared>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL.into()).await;
        app.signals.update_notices(app.clock.now(), &app.members.leaving());
    }
}
