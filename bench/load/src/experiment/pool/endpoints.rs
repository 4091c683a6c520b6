//! Delayed and lossy messages from endpoints to entry instances, and reclaims of endpoints.

use rand::Rng as _;
use sill_base::{Machine, Millis, Name};
use sill_route::{Event, Outcome};
use sill_wire::endpoint::CacheEvents;
use sill_wire::{Announcement, Incarnation, Load};

use super::{MILLISECOND_US, Pool, SECOND_US, ScheduledEvent, domain_name};
use crate::experiment::model::Micros;

/// Interval between the announcements of an endpoint.
pub(super) const ANNOUNCE_INTERVAL: Micros = SECOND_US;

/// Age of the load in an announcement when it is sent.
const LOAD_AGE: Micros = SECOND_US / 2;

/// Interval between the batches of cache events of an endpoint.
const CACHE_EVENT_INTERVAL: Micros = SECOND_US / 2;

/// Delay between sending and delivering a batch of cache events.
const CACHE_EVENT_DELAY: Micros = SECOND_US / 5;

/// Share of the batches of cache events that are lost, in percent.
const CACHE_EVENT_LOSS_PERCENT: u32 = 5;

/// A message delivered to entry instances after a delay.
#[derive(Debug)]
pub(super) enum Message {
    Announcement(Announcement, Micros),
    CacheEvents(CacheEvents, usize),
    EndpointGone(Name, Incarnation),
}

impl Pool {
    pub(super) fn announce(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].is_up {
            let load = self.endpoints[endpoint].load();
            self.figures.record_load(self.now, load.running, self.endpoints[endpoint].spec.slots);
            self.announce_load(endpoint, load, LOAD_AGE);
        }
        self.schedule(self.now + ANNOUNCE_INTERVAL, ScheduledEvent::Announce(endpoint));
    }

    /// Schedules an announcement that samples the load now and is sent after `age`.
    pub(super) fn announce_load(&mut self, endpoint: usize, load: Load, age: Micros) {
        let domain = domain_name(self.endpoints[endpoint].spec.domain);
        let load = Load { age: Millis(age / MILLISECOND_US), ..load };
        let announcement = self.endpoints[endpoint].announcement(self.now, load, domain);
        let sent = self.now + age;
        let spread = self.rng.random_range(0..200 * MILLISECOND_US);
        self.send_message(sent + spread, Message::Announcement(announcement, sent));
    }

    pub(super) fn publish_events(&mut self, endpoint: usize) {
        let model = &mut self.endpoints[endpoint];
        let events = std::mem::take(&mut model.events);
        let sequence = model.next_event;
        model.next_event += events.len() as u64;
        if model.is_up
            && !events.is_empty()
            && self.rng.random_range(0..100) >= CACHE_EVENT_LOSS_PERCENT
        {
            let incarnation = Incarnation(model.incarnation);
            let batch = CacheEvents { name: model.name.clone(), incarnation, sequence, events };
            let domain = model.spec.domain;
            self.send_message(self.now + CACHE_EVENT_DELAY, Message::CacheEvents(batch, domain));
        }
        self.schedule(self.now + CACHE_EVENT_INTERVAL, ScheduledEvent::PublishEvents(endpoint));
    }

    pub(super) fn give_notice(&mut self, endpoint: usize, end: Micros) {
        if end > self.now {
            self.endpoints[endpoint].leaves_at = Some(end);
            let load = self.endpoints[endpoint].load();
            self.announce_load(endpoint, load, 0);
        }
    }

    pub(super) fn stop_endpoint(&mut self, endpoint: usize) {
        let had_notice = self.endpoints[endpoint].leaves_at.is_some();
        let incarnation = Incarnation(self.endpoints[endpoint].incarnation);
        let lost = self.endpoints[endpoint].stop(self.now);
        let name = self.endpoints[endpoint].name.clone();
        self.send_message(self.now + 3 * SECOND_US, Message::EndpointGone(name, incarnation));
        for (run, sent) in lost {
            let job = &mut self.jobs[run.job];
            let is_resumed = job.first_token.is_some() || had_notice;
            job.emitted_tokens += sent;
            if is_resumed {
                self.report_end(run.job, endpoint, Outcome::Failed);
                self.move_job(run.job);
            } else {
                self.fail_attempt(run.job, endpoint);
            }
        }
    }

    pub(super) fn send_message(&mut self, at: Micros, message: Message) {
        self.messages.push(Some(message));
        self.schedule(at, ScheduledEvent::Deliver(self.messages.len() - 1));
    }

    /// Delivers a message: announcements and stops to every entry instance, cache events to only one
    /// in the endpoint's failure domain.
    pub(super) fn deliver(&mut self, message: usize) {
        let now = self.now_millis();
        match self.messages[message].take().expect("each message is delivered only once") {
            Message::Announcement(announcement, sent) => {
                let age = Millis((self.now - sent) / MILLISECOND_US);
                for router in &mut self.routers {
                    let announcement = announcement.clone();
                    router.step(now, Event::Announced { announcement, age }, &mut Vec::new());
                }
            }
            Message::CacheEvents(batch, domain) => self.step_router(domain, Event::Cache(batch)),
            Message::EndpointGone(endpoint, incarnation) => {
                for router in &mut self.routers {
                    let endpoint = endpoint.clone();
                    router.step(now, Event::Gone { endpoint, incarnation }, &mut Vec::new());
                }
            }
        }
    }
}
