//! Simple model of an endpoint in virtual time: slots, serial prefill, decode, a prefix cache.
//!
//! Decoding requests share the accelerator with the prefill of others and with each other, so the
//! prefill of an uncached prompt also slows down the decoding requests.

use std::collections::VecDeque;
use std::sync::Arc;

use sill_base::{Millis, Name};
use sill_standin::cache::PrefixCache;
use sill_wire::endpoint::CacheEvent;
use sill_wire::prefix::BLOCK_TOKENS;
use sill_wire::{Announcement, Incarnation, Load, Priority, Role, Servable};

/// Name of the language model that every endpoint serves.
pub const MODEL: &str = "m";

/// Share of the accelerator that a prefill takes from decoding requests.
const PREFILL_SHARE: f64 = 0.4;

/// Relative slowdown of decode in a full batch, compared to a single request.
const BATCH_SLOWDOWN: f64 = 0.3;

/// Virtual time in microseconds.
pub type Micros = u64;

/// Properties of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    /// Number of its failure domain.
    pub domain: usize,
    /// Requests that run concurrently.
    pub slots: u32,
    /// Prompt tokens computed per second.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of a request that decodes alone, in milliseconds.
    pub decode_ms: u32,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Whether the platform may reclaim the instance.
    pub reclaimable: bool,
    /// Price per hour in thousandths of a currency unit.
    pub price: u64,
}

/// One attempt of a job at an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    /// Index of the job.
    pub job: usize,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Ids of the prompt's complete blocks.
    pub blocks: Arc<[u64]>,
    /// Prompt tokens, cached or not.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub tokens: u32,
    /// Priority in the endpoint's queue.
    pub priority: Priority,
}

/// Event at an endpoint as time advances.
#[derive(Debug)]
pub enum EndpointEvent {
    /// A prefill started.
    Prefill {
        /// The attempt whose prompt is computed.
        run: Run,
        /// Number of its blocks found in the cache.
        cached_blocks: usize,
    },
    /// The first token was sent.
    FirstToken(Run),
    /// The last token was sent.
    Finished(Run),
}

/// State of a simulated endpoint.
#[derive(Debug)]
pub struct EndpointModel {
    /// Fixed properties.
    pub spec: EndpointSpec,
    /// Name in announcements.
    pub name: Name,
    /// Whether its instance runs.
    pub is_up: bool,
    /// Time at which its instance will be reclaimed, once it has notice.
    pub leaves_at: Option<Micros>,
    /// Prefix cache.
    pub cache: PrefixCache,
    /// Cache events not published yet.
    pub events: Vec<CacheEvent>,
    /// Sequence number of the next cache event to publish.
    pub next_event: u64,
    /// Incarnation; each restart increments it.
    pub incarnation: u64,
    sequence: u64,
    waiting: VecDeque<Run>,
    admitted: VecDeque<Run>,
    prefill: Option<Prefill>,
    decoding: Vec<Decoding>,
    progress_ms: f64,
    progress_at: Micros,
}

#[derive(Debug)]
struct Prefill {
    run: Run,
    ends_at: Micros,
}

#[derive(Debug)]
struct Decoding {
    run: Run,
    ends_at_progress: f64,
}

impl EndpointModel {
    /// Creates a running endpoint with an empty cache.
    pub fn new(number: usize, spec: EndpointSpec) -> Self {
        Self {
            name: format!("lm-{number}").into(),
            cache: PrefixCache::new(spec.cache_tokens),
            spec,
            is_up: true,
            leaves_at: None,
            events: Vec::new(),
            next_event: 1,
            incarnation: 1,
            sequence: 0,
            waiting: VecDeque::new(),
            admitted: VecDeque::new(),
            prefill: None,
            decoding: Vec::new(),
            progress_ms: 0.0,
            progress_at: 0,
        }
    }

    /// Starts a new incarnation with an empty cache.
    pub fn restart(&mut self, now: Micros) {
        self.cache = PrefixCache::new(self.spec.cache_tokens);
        self.events.clear();
        self.next_event = 1;
        self.incarnation += 1;
        self.sequence = 0;
        self.is_up = true;
        self.leaves_at = None;
        self.progress_at = now;
    }

    /// Stops the endpoint and returns its requests, each with the number of tokens already sent.
    pub fn stop(&mut self, now: Micros) -> Vec<(Run, u32)> {
        self.advance(now);
        self.is_up = false;
        let progress = self.progress_ms;
        let decode_ms = f64::from(self.spec.decode_ms);
        let mut lost: Vec<(Run, u32)> = Vec::new();
        for decoding in self.decoding.drain(..) {
            let left = ((decoding.ends_at_progress - progress) / decode_ms).ceil().max(1.0) as u32;
            let sent = decoding.run.tokens.saturating_sub(left);
            lost.push((decoding.run, sent));
        }
        lost.extend(self.prefill.take().map(|p| (p.run, 0)));
        lost.extend(self.admitted.drain(..).map(|run| (run, 0)));
        lost.extend(self.waiting.drain(..).map(|run| (run, 0)));
        lost
    }

    /// Queues a request, behind those of the same or a higher priority.
    pub fn enqueue(&mut self, run: Run) {
        let behind = self.waiting.iter().position(|other| other.priority < run.priority);
        self.waiting.insert(behind.unwrap_or(self.waiting.len()), run);
    }

    /// Removes the request of a job whose caller has timed out.
    pub fn cancel(&mut self, now: Micros, job: usize) {
        self.advance(now);
        self.waiting.retain(|run| run.job != job);
        self.admitted.retain(|run| run.job != job);
        self.decoding.retain(|d| d.run.job != job);
        if self.prefill.as_ref().is_some_and(|p| p.run.job == job) {
            self.prefill = None;
        }
    }

    /// Returns the number of running and queued requests.
    pub fn active(&self) -> usize {
        self.running() + self.waiting.len()
    }

    /// Processes everything due at `now` and returns the time at which something is due next.
    pub fn work(&mut self, now: Micros, out: &mut Vec<EndpointEvent>) -> Option<Micros> {
        self.advance(now);
        if self.prefill.as_ref().is_some_and(|p| p.ends_at <= now) {
            let run = self.prefill.take().expect("a prefill is running").run;
            self.events.extend(self.cache.insert(&run.blocks));
            let span = f64::from(run.tokens.max(1) - 1) * f64::from(self.spec.decode_ms);
            let ends_at_progress = self.progress_ms + span;
            out.push(EndpointEvent::FirstToken(run.clone()));
            self.decoding.push(Decoding { run, ends_at_progress });
        }
        const ROUNDING_MS: f64 = 0.002;
        let progress = self.progress_ms + ROUNDING_MS;
        for ended in self.decoding.extract_if(.., |d| d.ends_at_progress <= progress) {
            out.push(EndpointEvent::Finished(ended.run));
        }
        while self.running() < self.spec.slots as usize {
            let Some(run) = self.waiting.pop_front() else {
                break;
            };
            self.admitted.push_back(run);
        }
        if self.prefill.is_none() {
            self.start_prefill(now, out);
        }
        self.next_due(now)
    }

    /// Returns the next announcement.
    pub fn announcement(&mut self, now: Micros, load: Load, domain: Name) -> Announcement {
        self.sequence += 1;
        Announcement {
            name: self.name.clone(),
            incarnation: Incarnation(self.incarnation),
            sequence: self.sequence,
            address: self.name.clone(),
            domain,
            class: Name::default(),
            reclaimable: self.spec.reclaimable,
            price: self.spec.price,
            serves: vec![Servable::Model {
                model: MODEL.into(),
                version: Name::default(),
                adapters: Vec::new(),
            }],
            role: Role::Mixed,
            slots: self.spec.slots,
            prefill_tokens_per_s: self.spec.prefill_tokens_per_s,
            decode_ms: self.spec.decode_ms,
            cache_tokens: self.spec.cache_tokens,
            load,
            leaving: self.leaves_at.map(|at| Millis(at.saturating_sub(now) / 1000)),
            checks_fencing: true,
            software: Default::default(),
        }
    }

    /// Returns the load to report now.
    pub fn load(&self) -> Load {
        let waiting = self.waiting.iter().chain(&self.admitted);
        Load {
            running: self.running() as u32,
            queued: self.waiting.len() as u32,
            queued_tokens: waiting.map(|run| self.uncached_tokens(run)).sum(),
            cached_tokens: self.cache.tokens(),
            age: Millis::ZERO,
        }
    }

    fn running(&self) -> usize {
        self.admitted.len() + usize::from(self.prefill.is_some()) + self.decoding.len()
    }

    fn uncached_tokens(&self, run: &Run) -> u64 {
        let cached = self.cache.longest_prefix(&run.blocks) * BLOCK_TOKENS;
        run.prompt_tokens.saturating_sub(cached as u64)
    }

    fn start_prefill(&mut self, now: Micros, out: &mut Vec<EndpointEvent>) {
        let Some(run) = self.admitted.pop_front() else {
            return;
        };
        let cached_blocks = self.cache.longest_prefix(&run.blocks);
        let tokens = self.uncached_tokens(&run).max(1);
        let span = tokens * 1_000_000 / u64::from(self.spec.prefill_tokens_per_s);
        out.push(EndpointEvent::Prefill { run: run.clone(), cached_blocks });
        self.prefill = Some(Prefill { run, ends_at: now + span });
    }

    /// Returns the decode speed relative to a request that decodes alone, per request.
    fn decode_speed(&self) -> f64 {
        let batch = self.decoding.len() as f64 / f64::from(self.spec.slots);
        let share = if self.prefill.is_some() { 1.0 - PREFILL_SHARE } else { 1.0 };
        share / (1.0 + BATCH_SLOWDOWN * batch)
    }

    fn advance(&mut self, now: Micros) {
        self.progress_ms += (now - self.progress_at) as f64 / 1000.0 * self.decode_speed();
        self.progress_at = now;
    }

    fn next_due(&self, now: Micros) -> Option<Micros> {
        let first = self.decoding.iter().map(|d| d.ends_at_progress).reduce(f64::min);
        let decode_end = first.map(|ends| {
            let left_ms = (ends - self.progress_ms).max(0.0) / self.decode_speed();
            now + (left_ms * 1000.0).ceil() as Micros + 1
        });
        let prefill_end = self.prefill.as_ref().map(|p| p.ends_at);
        decode_end.into_iter().chain(prefill_end).min()
    }
}
