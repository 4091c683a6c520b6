//! Publishes cache events with a delay, and drops some batches.

use std::collections::VecDeque;
use std::sync::Arc;

use ntex::http::Method;
use parking_lot::Mutex;
use sill_base::{Millis, event};
use sill_net::client;
use sill_wire::endpoint::{CacheEvent, CacheEvents};

use crate::endpoint::Shared;

/// Interval between batches in milliseconds.
const PUBLISH_INTERVAL_MS: u32 = 100;

/// Maximum number of pending events. Beyond it the oldest are dropped.
const MAX_PENDING_EVENTS: usize = 65_536;

/// Cache events that are to be published.
#[derive(Debug, Default)]
pub struct Outbox(Mutex<Queue>);

#[derive(Debug, Default)]
struct Queue {
    events: VecDeque<PendingEvent>,
    next_sequence: u64,
    batches: u64,
}

#[derive(Debug, Clone, Copy)]
struct PendingEvent {
    at: Millis,
    event: CacheEvent,
}

impl Outbox {
    /// Adds events that are to be published from the time `at` on.
    pub fn add(&self, at: Millis, events: Vec<CacheEvent>) {
        let mut queue = self.0.lock();
        queue.events.extend(events.into_iter().map(|event| PendingEvent { at, event }));
        while queue.events.len() > MAX_PENDING_EVENTS {
            queue.events.pop_front();
            queue.next_sequence += 1;
        }
    }

    /// Removes all due events. Returns them with the sequence number of the first, or `None` if the
    /// batch is dropped; the sequence number advances in both cases.
    fn take_due(&self, now: Millis, lose_percent: u8) -> Option<Batch> {
        let mut queue = self.0.lock();
        let due = queue.events.iter().take_while(|due| due.at <= now).count();
        if due == 0 {
            return None;
        }
        let sequence = queue.next_sequence;
        queue.next_sequence += due as u64;
        queue.batches += 1;
        let events = queue.events.drain(..due).map(|due| due.event).collect();
        // Dropped batches are spread evenly and deterministically, so that a run is reproducible.
        let sample = (queue.batches * 37) % 100;
        (sample >= u64::from(lose_percent)).then_some(Batch { sequence, events })
    }
}

struct Batch {
    sequence: u64,
    events: Vec<CacheEvent>,
}

/// Publishes batches until the endpoint is dead. After a failure it uses the next entry instance.
pub(crate) async fn publish(shared: Arc<Shared>) {
    const TIMEOUT: Millis = Millis(500);
    let Ok(http) = client::streaming(2).await else {
        return;
    };
    let mut entry_index = 0;
    while !shared.is_dead() {
        ntex::time::sleep(ntex::time::Millis(PUBLISH_INTERVAL_MS)).await;
        let Some(batch) = shared.outbox.take_due(shared.clock.now(), shared.cfg.lose_events) else {
            continue;
        };
        let Some(entry) = shared.cfg.entries.get(entry_index % shared.cfg.entries.len().max(1))
        else {
            continue;
        };
        let url = format!("http://{entry}/events");
        let events = CacheEvents {
            name: shared.cfg.name.clone(),
            incarnation: shared.incarnation,
            sequence: batch.sequence,
            events: batch.events,
        };
        let token = Some(&shared.cfg.join_token);
        let sent = client::send(&http, Method::POST, &url, token, &[], Some(&events), TIMEOUT);
        if !sent.await.is_ok_and(|reply| reply.is_ok()) {
            event!(Debug, "events_lost", name = shared.cfg.name, entry = entry);
            entry_index += 1;
        }
    }
}
