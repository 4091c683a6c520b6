//! A simple endpoint in virtual time: slots, serial prefill, decoding, a prefix cache.
//!
//! Decoding requests share the accelerator with the prefill of others and with each other, so a
//! prompt that has to be computed also slows the answers that run.

use std::collections::VecDeque;
use std::sync::Arc;

use sill_base::{Millis, Name};
use sill_standin::cache::PrefixCache;
use sill_wire::endpoint::CacheEvent;
use sill_wire::prefix::BLOCK_TOKENS;
use sill_wire::{Announcement, Incarnation, Load, Priority, Role, Servable};

/// The model that every endpoint serves.
pub const MODEL: &str = "m";

/// Share of the accelerator that a prefill takes from the answers that run.
const PREFILL_SHARE: f64 = 0.4;

/// How much slower a full batch decodes than a single answer.
const BATCH_SLOWDOWN: f64 = 0.3;

/// Virtual time in microseconds.
pub type Micros = u64;

/// What an endpoint is.
#[derive(Debug, Clone)]
pub struct EndpointSpec {
    /// Its failure domain.
    pub domain: usize,
    /// Requests side by side.
    pub slots: u32,
    /// Prompt tokens computed in a second.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of an answer that runs alone, in milliseconds.
    pub decode_ms: u32,
    /// Tokens that the prefix cache holds.
    pub cache_tokens: u64,
    /// Whether the platform may take it back.
    pub reclaimable: bool,
    /// Price an hour in thousandths.
    pub price: u64,
}

/// A request at an endpoint.
#[derive(Debug, Clone)]
pub struct Run {
    /// The number of the job.
    pub job: usize,
    /// Which attempt of the job.
    pub attempt: u32,
    /// Its whole blocks.
    pub blocks: Arc<[u64]>,
    /// Tokens to compute or find in the cache.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub tokens: u32,
    /// Its priority.
    pub priority: Priority,
}

/// What came of the passing of time.
#[derive(Debug)]
pub enum EndpointEvent {
    /// A prefill began.
    Prefill {
        /// The request.
        run: Run,
        /// Blocks that were found in the cache.
        cached_blocks: usize,
    },
    /// The first token was sent.
    FirstToken(Run),
    /// The last token was sent.
    Finished(Run),
}

/// An endpoint.
#[derive(Debug)]
pub struct EndpointModel {
    /// What it is.
    pub spec: EndpointSpec,
    /// Its name.
    pub name: Name,
    /// Whether it runs.
    pub is_up: bool,
    /// When it goes, once it knows.
    pub leaves_at: Option<Micros>,
    /// Its cache.
    pub cache: PrefixCache,
    /// Cache events that were not published yet.
    pub events: Vec<CacheEvent>,
    /// The number of the next cache event.
    pub next_event: u64,
    /// Its life.
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
    /// Makes an endpoint with an empty cache.
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

    /// Starts a new life.
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

    /// Dies, and returns the requests that it held, each with the tokens already sent.
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

    /// Takes a request.
    pub fn enqueue(&mut self, run: Run) {
        let behind = self.waiting.iter().position(|other| other.priority < run.priority);
        self.waiting.insert(behind.unwrap_or(self.waiting.len()), run);
    }

    /// Drops a request whose caller went away.
    pub fn cancel(&mut self, now: Micros, job: usize) {
        self.advance(now);
        self.waiting.retain(|run| run.job != job);
        self.admitted.retain(|run| run.job != job);
        self.decoding.retain(|d| d.run.job != job);
        if self.prefill.as_ref().is_some_and(|p| p.run.job == job) {
            self.prefill = None;
        }
    }

    /// Returns the requests that it holds.
    pub fn active(&self) -> usize {
        self.running() + self.waiting.len()
    }

    /// Carries out all that is due, and returns when something is due next.
    pub fn work(&mut self, now: Micros, out: &mut Vec<EndpointEvent>) -> Option<Micros> {
        self.advance(now);
        if self.prefill.as_ref().is_some_and(|p| p.ends_at <= now) {
            let run = self.prefill.take().expect("checked").run;
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

    /// Returns its announcement.
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
        }
    }

    /// Returns its load as it would report it now.
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

    /// Milliseconds of undisturbed decoding done in a millisecond.
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
