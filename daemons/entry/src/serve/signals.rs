//! What concerns requests in flight all at once: endpoints that are leaving, this instance's end.

use std::sync::Arc;

use parking_lot::RwLock;
use sill_base::{Map, Millis, Name};
use sill_flight::handoff::HandOffRun;
use sill_wire::{Announcement, Incarnation};
use tokio::sync::{mpsc, oneshot, watch};

use crate::daemon::Shared;

/// How often membership is asked which endpoints are leaving.
const POLL_INTERVAL: Millis = Millis(50);

/// A notice that moved by less is no news.
const MIN_NOTICE_CHANGE: Millis = Millis(500);

/// Notices of endpoints, and the hand-off of this instance.
#[derive(Debug)]
pub struct Signals {
    notices: RwLock<Map<Name, Notice>>,
    hand_off: RwLock<Option<mpsc::UnboundedSender<Offer>>>,
    changes: watch::Sender<u64>,
}

/// The notice of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Notice {
    /// Which life of it.
    pub incarnation: Incarnation,
    /// When it will be gone, on the entry's clock.
    pub gone_at: Millis,
}

/// A request that wants to be taken over; the answer tells whether a peer has it.
#[derive(Debug)]
pub struct Offer {
    /// The request.
    pub run: HandOffRun,
    /// Where the answer goes.
    pub accepted_by: oneshot::Sender<Option<Name>>,
}

impl Signals {
    /// Starts with no notice.
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

    /// Takes in which endpoints are leaving now.
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
        // An endpoint's own time left counts down, so that the earliest time heard is kept.
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

    /// Returns the notice of a life of an endpoint.
    pub fn notice(&self, endpoint: &str, incarnation: Incarnation) -> Option<Notice> {
        let notices = self.notices.read();
        notices.get(endpoint).copied().filter(|n| n.incarnation == incarnation)
    }

    /// Asks every request in flight to offer itself to a peer.
    pub fn begin_hand_off(&self) -> mpsc::UnboundedReceiver<Offer> {
        let (tx, rx) = mpsc::unbounded_channel();
        *self.hand_off.write() = Some(tx);
        self.changes.send_modify(|n| *n += 1);
        rx
    }

    /// Returns where to offer requests, once this instance is leaving.
    pub fn offers(&self) -> Option<mpsc::UnboundedSender<Offer>> {
        self.hand_off.read().clone()
    }

    /// Stops taking offers; requests in flight end here.
    pub fn end_hand_off(&self) {
        *self.hand_off.write() = None;
    }
}

impl Default for Signals {
    fn default() -> Self {
        Self::new()
    }
}

/// Passes on which endpoints are leaving, until the process ends.
pub async fn watch(app: Arc<Shared>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL.into()).await;
        app.signals.update_notices(app.clock.now(), &app.members.leaving());
    }
}
