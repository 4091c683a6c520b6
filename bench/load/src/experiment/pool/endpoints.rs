//! What endpoints say to entry instances, late and with losses, and what befalls them.

use rand::Rng as _;
use sill_base::{Machine, Millis, Name};
use sill_route::{Event, Outcome};
use sill_wire::endpoint::CacheEvents;
use sill_wire::{Announcement, Incarnation, Load};

use super::{Due, MILLI, Pool, SECOND, domain_name};
use crate::experiment::model::Micros;

/// How often endpoints announce themselves, and how old the load in it is.
pub(super) const ANNOUNCE_EVERY: Micros = SECOND;
const LOAD_AGE: Micros = SECOND / 2;

/// How late cache events come, how often, and how many batches are lost, in percent.
const EVENTS_EVERY: Micros = SECOND / 2;
const EVENTS_LATE: Micros = SECOND / 5;
const EVENTS_LOST: u32 = 5;

/// What reaches an entry instance later.
#[derive(Debug)]
pub(super) enum Message {
    Announced(Announcement, Micros),
    Cache(CacheEvents, usize),
    Gone(Name, Incarnation),
}

impl Pool {
    pub(super) fn announce(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].up {
            let load = self.endpoints[endpoint].load();
            self.figures.sampled(self.now, load.running, self.endpoints[endpoint].spec.slots);
            self.announce_load(endpoint, load, LOAD_AGE);
        }
        self.at(self.now + ANNOUNCE_EVERY, Due::Announce(endpoint));
    }

    /// Sends an announcement whose load was sampled now and which leaves after `age`.
    pub(super) fn announce_load(&mut self, endpoint: usize, load: Load, age: Micros) {
        let domain = domain_name(self.endpoints[endpoint].spec.domain);
        let load = Load { age: Millis(age / MILLI), ..load };
        let said = self.endpoints[endpoint].announcement(self.now, load, domain);
        let sent = self.now + age;
        let spread = self.rng.random_range(0..200 * MILLI);
        self.post(sent + spread, Message::Announced(said, sent));
    }

    pub(super) fn publish_events(&mut self, endpoint: usize) {
        let model = &mut self.endpoints[endpoint];
        let events = std::mem::take(&mut model.events);
        let sequence = model.next_event;
        model.next_event += events.len() as u64;
        if model.up && !events.is_empty() && self.rng.random_range(0..100) >= EVENTS_LOST {
            let incarnation = Incarnation(model.incarnation);
            let batch = CacheEvents { name: model.name.clone(), incarnation, sequence, events };
            let domain = model.spec.domain;
            self.post(self.now + EVENTS_LATE, Message::Cache(batch, domain));
        }
        self.at(self.now + EVENTS_EVERY, Due::PublishEvents(endpoint));
    }

    pub(super) fn notice(&mut self, endpoint: usize, end: Micros) {
        if end > self.now {
            self.endpoints[endpoint].leaving = Some(end);
            let load = self.endpoints[endpoint].load();
            self.announce_load(endpoint, load, 0);
        }
    }

    pub(super) fn death(&mut self, endpoint: usize) {
        let announced = self.endpoints[endpoint].leaving.is_some();
        let incarnation = Incarnation(self.endpoints[endpoint].incarnation);
        let lost = self.endpoints[endpoint].die(self.now);
        let name = self.endpoints[endpoint].name.clone();
        self.post(self.now + 3 * SECOND, Message::Gone(name, incarnation));
        for (run, sent) in lost {
            let job = &mut self.jobs[run.job];
            let resumed = job.first_token.is_some() || announced;
            job.emitted += sent;
            if resumed {
                self.ended(run.job, endpoint, Outcome::Failed);
                self.move_job(run.job);
            } else {
                self.failed(run.job, endpoint);
            }
        }
    }

    pub(super) fn post(&mut self, at: Micros, message: Message) {
        self.messages.push(Some(message));
        self.at(at, Due::Deliver(self.messages.len() - 1));
    }

    /// Announcements reach every entry instance; cache events only one of the endpoint's domain.
    pub(super) fn deliver(&mut self, message: usize) {
        let now = self.millis();
        match self.messages[message].take().expect("delivered once") {
            Message::Announced(announcement, sent) => {
                let age = Millis((self.now - sent) / MILLI);
                for router in &mut self.routers {
                    let announcement = announcement.clone();
                    router.step(now, Event::Announced { announcement, age }, &mut Vec::new());
                }
            }
            Message::Cache(batch, domain) => self.tell(domain, Event::Cache(batch)),
            Message::Gone(endpoint, incarnation) => {
                for router in &mut self.routers {
                    let endpoint = endpoint.clone();
                    router.step(now, Event::Gone { endpoint, incarnation }, &mut Vec::new());
                }
            }
        }
    }
}
