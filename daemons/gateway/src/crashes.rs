//! Records crashes of endpoints, and blocks requests under which endpoints crash, and those with parts
//! in their prompts under which endpoints crash.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use prometheus::{IntCounter, IntGauge};
use sill_base::{Clock, Map, Millis, Name, event};
use sill_dispatch::{
    BlockChange, BrokenAnswer, BrokenAnswers, BrokenRequest, CrashLog, EndpointCheck, KnownCrash,
    PartBlock, Placement, is_assigned,
};
use sill_wire::{
    CompletedRequest, CrashUpdate, EndpointCrash, Incarnation, RequestKey, SharedParts,
};

use crate::egress::Destination;
use crate::metrics::Metrics;
use crate::state::State;

/// Pauses before the checks whether an endpoint has crashed, after an answer of it broke off. A
/// process may close its connections before its listener.
const CHECK_PAUSES: [Millis; 3] = [Millis(5), Millis(60), Millis(400)];

/// Time after which another request may test blocked parts if it is unknown what became of the last.
const TRIAL_TIMEOUT: Millis = Millis(30_000);

/// Time within which a proxy in front of an endpoint that has ended closes a connection.
pub const REFUSAL_TIME: Millis = Millis(20);

/// Time after which an answer that is still being written shows that its prompt does not crash the
/// endpoint, which it would do as the answer begins.
pub const PROVEN_AFTER: Millis = Millis(1000);

/// Crashes of endpoints that this instance has noticed or heard of.
#[derive(Debug)]
pub struct Crashes {
    clock: Clock,
    log: Mutex<CrashLog>,
    /// When this instance last tested whether blocked parts still crash endpoints.
    trials: Mutex<Map<SharedParts, Millis>>,
    broken: Mutex<BrokenAnswers>,
    crash_count: IntCounter,
    blocked_requests: IntGauge,
    blocked_parts: IntGauge,
}

/// What shows that an endpoint has ended without notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSign {
    /// It accepts no connections.
    Refusal,
    /// No heartbeat of it has arrived for long.
    Silence,
    /// It has started again.
    Restart,
    /// Another endpoint has its address, by that one's heartbeats.
    Replacement,
    /// Another endpoint has its address, by that one's answer.
    WrongEndpoint,
    /// An earlier one, as another answer of it broke off.
    Known,
}

impl CrashSign {
    /// Returns the name for log lines.
    const fn name(self) -> &'static str {
        match self {
            Self::Refusal => "refusal",
            Self::Silence => "silence",
            Self::Restart => "restart",
            Self::Replacement => "replacement",
            Self::WrongEndpoint => "wrong_endpoint",
            Self::Known => "known",
        }
    }
}

/// A blocked request.
#[derive(Debug, Clone, Copy)]
pub struct Block {
    /// The time until the block ends.
    pub time_left: Millis,
    /// The number of endpoints that crashed while they ran the request.
    pub crashes: usize,
}

impl Crashes {
    /// Creates an empty record.
    pub fn new(clock: Clock, metrics: &Metrics) -> Self {
        Self {
            clock,
            log: Mutex::default(),
            trials: Mutex::default(),
            broken: Mutex::default(),
            crash_count: metrics.endpoint_crashes.clone(),
            blocked_requests: metrics.blocked_requests.clone(),
            blocked_parts: metrics.blocked_parts.clone(),
        }
    }

    /// Returns what was recorded after the sequence number `seen`, and the sequence number to pass
    /// the next time.
    pub fn newer_than(&self, seen: u64) -> (u64, CrashUpdate) {
        self.log.lock().newer_than(self.clock.now(), seen)
    }

    /// Records what a control instance has reported.
    pub fn apply(&self, from: SocketAddr, update: &CrashUpdate) {
        if update.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut log = self.log.lock();
        for crash in &update.crashes {
            if log.record(now, crash) {
                event!(
                    Info,
                    "endpoint_crash_heard",
                    endpoint = crash.endpoint,
                    born = crash.incarnation.0,
                    requests = crash.requests.len(),
                    prompts = crash.prompts.len(),
                    from = from,
                    age_ms = crash.age
                );
            }
        }
        for completed in &update.completed {
            log.record_completed(now, *completed);
        }
        for answered in &update.answered {
            log.record_answered(now, answered);
        }
        self.review(&mut log);
    }

    /// Returns the block of a request, if it is blocked. The key is computed only if any request
    /// is.
    pub fn block_of<F>(&self, key: F) -> Option<Block>
    where
        F: FnOnce() -> RequestKey,
    {
        let mut log = self.log.lock();
        if log.is_empty() {
            return None;
        }
        self.review(&mut log);
        if log.blocked_count() == 0 {
            return None;
        }
        let key = key();
        let time_left = log.blocked_for(self.clock.now(), key)?;
        Some(Block { time_left, crashes: log.crash_count(key) })
    }

    /// Returns the block of a request with these parts in its prompt, if it is blocked.
    pub fn block_of_parts(&self, parts: &SharedParts) -> Option<PartBlock> {
        let mut log = self.log.lock();
        if parts.is_empty() || log.is_empty() {
            return None;
        }
        self.review(&mut log);
        log.block_of_parts(parts).cloned()
    }

    /// Returns whether a request may be sent to test whether the blocked parts still crash endpoints.
    /// Of all entry instances, one may send one.
    pub fn may_test(&self, block: &PartBlock, own: &Name, entries: &[Name]) -> bool {
        let now = self.clock.now();
        if now < block.trial_at || !is_assigned(own, entries, &block.parts.to_string().into()) {
            return false;
        }
        let mut trials = self.trials.lock();
        // A test that fails moves the time of the next one.
        trials.retain(|_, at| now - *at < TRIAL_TIMEOUT);
        let is_first = !trials.contains_key(&block.parts);
        if is_first {
            trials.insert(block.parts.clone(), now);
        }
        is_first
    }

    /// Records that an endpoint has answered a prompt with these parts, or has written the answer for
    /// [`PROVEN_AFTER`].
    pub fn record_answered(&self, parts: &SharedParts) {
        if !parts.is_empty() {
            let mut log = self.log.lock();
            log.record_answered_here(self.clock.now(), parts);
            self.review(&mut log);
        }
    }

    /// Records a complete answer to a request, which proves that it does not crash its endpoint.
    pub fn record_completed<F>(&self, key: F)
    where
        F: FnOnce() -> RequestKey,
    {
        let mut log = self.log.lock();
        if log.is_empty() {
            return;
        }
        let request = key();
        if log.is_suspect(request) {
            let completed = CompletedRequest { request, age: Millis::ZERO };
            log.record_completed(self.clock.now(), completed);
            self.review(&mut log);
        }
    }

    /// Returns what is known of a crash of an incarnation of an endpoint after `since`, if anything is.
    pub fn crash_since(
        &self,
        since: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
    ) -> Option<KnownCrash> {
        self.log.lock().crash_since(since, endpoint, incarnation)
    }

    /// Records that an endpoint that was silent has returned as the same incarnation. What was counted
    /// against requests because of its silence is withdrawn.
    pub fn record_return(&self, endpoint: &Name, incarnation: Incarnation) {
        self.broken.lock().record_return(endpoint, incarnation);
        let mut log = self.log.lock();
        if log.record_return(self.clock.now(), endpoint, incarnation) {
            event!(Info, "endpoint_crash_withdrawn", endpoint = endpoint, born = incarnation.0);
            self.review(&mut log);
        }
    }

    /// Records that an endpoint has ended without notice, which its silence alone makes likely only; answers
    /// that broke off before then count as broken off by the crash.
    pub fn confirm(&self, endpoint: &Name, incarnation: Incarnation, sign: CrashSign) {
        let (now, is_presumed) = (self.clock.now(), sign == CrashSign::Silence);
        let crash = self.broken.lock().confirm(now, endpoint, incarnation, is_presumed);
        if let Some(crash) = crash {
            self.crash_count.inc();
            self.record(&crash, sign);
        }
    }

    fn record(&self, crash: &EndpointCrash, sign: CrashSign) {
        event!(
            Warn,
            "endpoint_crashed",
            endpoint = crash.endpoint,
            born = crash.incarnation.0,
            requests = crash.requests.len(),
            prompts = crash.prompts.len(),
            presumed = crash.is_presumed,
            sign = sign.name(),
            age_ms = crash.age
        );
        let mut log = self.log.lock();
        log.record(self.clock.now(), crash);
        self.review(&mut log);
    }

    fn review(&self, log: &mut CrashLog) {
        let now = self.clock.now();
        for change in log.review(now) {
            match change {
                BlockChange::Blocked(request, until) => event!(
                    Warn,
                    "request_blocked",
                    request = request,
                    crashes = log.crash_count(request),
                    for_ms = until - now
                ),
                BlockChange::Lifted(request) => event!(
                    Info,
                    "request_unblocked",
                    request = request,
                    crashes = log.crash_count(request)
                ),
                BlockChange::PartsBlocked(block) => event!(
                    Warn,
                    "parts_blocked",
                    parts = block.parts,
                    crashes = block.crashes,
                    for_ms = block.until - now,
                    trial_ms = block.trial_at - now
                ),
                BlockChange::PartsLifted(parts) => event!(Info, "parts_unblocked", parts = parts),
            }
        }
        self.blocked_parts.set(log.part_block_count() as i64);
        self.blocked_requests.set(log.blocked_count() as i64);
    }
}

/// Records that an answer of an endpoint broke off, and checks whether the endpoint has crashed.
pub fn record_broken_answer(state: &Arc<State>, placement: &Placement, request: BrokenRequest) {
    let crashes = &state.crashes;
    let Placement { endpoint, incarnation, .. } = placement;
    let broken = crashes.broken.lock().record(crashes.clock.now(), endpoint, *incarnation, request);
    match broken {
        BrokenAnswer::Pending => {}
        BrokenAnswer::Crash(crash) => crashes.record(&crash, CrashSign::Known),
        BrokenAnswer::Check => {
            tokio::spawn(check(state.clone(), Destination::from(placement)));
        }
    }
}

async fn check(state: Arc<State>, to: Destination) {
    for pause in CHECK_PAUSES {
        tokio::time::sleep(pause.into()).await;
        if state.check_endpoint(&to, REFUSAL_TIME).await == EndpointCheck::Ended {
            state.crashes.confirm(&to.endpoint, to.incarnation, CrashSign::Refusal);
            return;
        }
    }
    state.crashes.broken.lock().finish_check(&to.endpoint, to.incarnation);
}
