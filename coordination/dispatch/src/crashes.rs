//! Finds requests under which endpoints crash, so that they are not sent to further endpoints.
//!
//! An endpoint that crashes takes down all requests that it runs, and only one of them may be the
//! cause. A request is blamed for a crash if it was running in more crashes than any other request
//! that ran beside it. A complete answer proves that a request does not crash its endpoint.
//!
//! Requests that have one part of their prompts in common may all crash endpoints; see
//! [`part_blame`](crate::part_blame).

use sill_base::{Map, Millis, Name, Set};
use sill_wire::{
    AnsweredPart, CompletedRequest, CrashUpdate, EndpointCrash, Incarnation, PartId, RequestKey,
    SharedParts,
};

use crate::part_blame::{PartBlock, PromptCrash, blocked_parts};

/// Number of crashes for which a request is blamed before it is blocked.
const MAX_BLAMED_CRASHES: usize = 3;

/// How long a crash counts.
pub(crate) const CRASH_TTL: Millis = Millis(600_000);

/// Age from which a crash counts. By then other entry instances have reported the requests that ran
/// beside, and complete answers; without the delay, a request that many callers send could be
/// blocked by a few reports that arrive together.
const SETTLE_TIME: Millis = Millis(1000);

/// How long a complete answer is kept for a crash that is reported late.
const COMPLETED_TTL: Millis = Millis(10_000);

/// Upper bound on the crashes that are kept.
const MAX_CRASHES: usize = 256;

/// Upper bound on the requests that are kept for one crash.
const MAX_REQUESTS: usize = 128;

/// Upper bound on the complete answers that are kept.
const MAX_COMPLETED: usize = 1024;

/// Upper bound on the parts of prompts of which it is kept when they were answered.
const MAX_ANSWERED_PARTS: usize = 1024;

/// Upper bound on the parts of prompts of which it is kept when they were answered here.
const MAX_PARTS_ANSWERED_HERE: usize = 4096;

/// Upper bound on the crashes, on the complete answers, and on the answered parts in one update.
const MAX_UPDATE_ENTRIES: usize = 32;

/// Identifies an incarnation of an endpoint.
type IncarnationKey = (Name, Incarnation);

/// Known crashes of endpoints and the requests that are blocked because of them.
#[derive(Debug, Default)]
pub struct CrashLog {
    crashes: Map<IncarnationKey, Crash>,
    completed: Map<RequestKey, Completion>,
    /// Number of crashes since its last complete answer in which a request was running.
    counts: Map<RequestKey, usize>,
    blocked: Map<RequestKey, Millis>,
    /// The last answer to a prompt with a part, of those that were in crashes.
    answered: Map<PartId, Completion>,
    /// Expiry of the last answer here to a prompt with a part, of all parts.
    answered_here: Map<PartId, Millis>,
    /// Expiry of the last crash under a prompt with a part.
    part_crashes: Map<PartId, Millis>,
    part_blocks: Vec<PartBlock>,
    /// Incarnations that were silent and have returned, with the expiry of a crash at that time.
    returned: Map<IncarnationKey, Millis>,
    sequence: u64,
    /// When blocks have to be determined again.
    review_at: Option<Millis>,
}

#[derive(Debug)]
struct Crash {
    /// When the crash expires, [`CRASH_TTL`] after it happened.
    expires_at: Millis,
    settles_at: Millis,
    requests: Vec<RequestKey>,
    prompts: Vec<SharedParts>,
    /// Whether it is concluded from silence alone.
    is_presumed: bool,
    sequence: u64,
}

#[derive(Debug, Clone, Copy)]
struct Completion {
    /// [`CRASH_TTL`] after the end of the answer, to be compared with the expiry of crashes.
    expires_at: Millis,
    sequence: u64,
}

/// What is known of a crash of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownCrash {
    /// The endpoint is shown to have ended.
    Confirmed,
    /// It is silent.
    Presumed,
}

/// A change of the blocked requests, or of the blocked parts of prompts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BlockChange {
    /// The request is blocked until a point in time.
    Blocked(RequestKey, Millis),
    /// The request is no longer blocked.
    Lifted(RequestKey),
    /// Requests with these parts in their prompts are blocked.
    PartsBlocked(PartBlock),
    /// They are no longer blocked.
    PartsLifted(SharedParts),
}

impl CrashLog {
    /// Returns whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Returns whether an incarnation of an endpoint is known to have crashed after `since`. One that
    /// has restarted may keep its incarnation.
    pub fn has_crashed_since(
        &self,
        since: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
    ) -> bool {
        self.crash_since(since, endpoint, incarnation).is_some()
    }

    /// Returns what is known of a crash of an incarnation of an endpoint after `since`, if anything is.
    pub fn crash_since(
        &self,
        since: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
    ) -> Option<KnownCrash> {
        let crash = self.crashes.get(&(endpoint.clone(), incarnation))?;
        let known = if crash.is_presumed { KnownCrash::Presumed } else { KnownCrash::Confirmed };
        (crash.expires_at > since + CRASH_TTL).then_some(known)
    }

    /// Records a crash, and returns whether anything in it is new.
    pub fn record(&mut self, now: Millis, crash: &EndpointCrash) -> bool {
        if crash.age >= CRASH_TTL {
            return false;
        }
        let key = (crash.endpoint.clone(), crash.incarnation);
        let has_returned =
            self.returned.get(&key).is_some_and(|returned| expiry(now, crash.age) <= *returned);
        if crash.is_presumed && has_returned {
            return false;
        }
        let is_known = self.crashes.contains_key(&key);
        let (completed, counts) = (&self.completed, &mut self.counts);
        let known = self.crashes.entry(key).or_insert_with(|| Crash {
            expires_at: expiry(now, crash.age),
            settles_at: now + (SETTLE_TIME - crash.age),
            requests: Vec::new(),
            prompts: Vec::new(),
            is_presumed: crash.is_presumed,
            sequence: 0,
        });
        let before = (known.requests.len(), known.prompts.len(), known.is_presumed);
        known.is_presumed &= crash.is_presumed;
        for request in &crash.requests {
            if known.requests.len() < MAX_REQUESTS && !known.requests.contains(request) {
                known.requests.push(*request);
                if !is_completed_after(completed, *request, known.expires_at) {
                    *counts.entry(*request).or_insert(0) += 1;
                }
            }
        }
        let mut new_prompts = Vec::new();
        for prompt in crash.prompts.iter().filter(|prompt| !prompt.is_empty()) {
            if known.prompts.len() < MAX_REQUESTS && !known.prompts.contains(prompt) {
                known.prompts.push(prompt.clone());
                new_prompts.push(prompt);
            }
        }
        let expires_at = known.expires_at;
        if is_known && (known.requests.len(), known.prompts.len(), known.is_presumed) == before {
            return false;
        }
        self.sequence += 1;
        known.sequence = self.sequence;
        for part in new_prompts.into_iter().flat_map(SharedParts::iter) {
            let last = self.part_crashes.entry(part.clone()).or_default();
            *last = expires_at.max(*last);
            if let Some(answered_at) = self.answered_here.get(part).copied() {
                self.add_answer(now, part, answered_at);
            }
        }
        if self.crashes.len() > MAX_CRASHES {
            self.evict();
        }
        self.review_at = Some(now);
        true
    }

    /// Records that an incarnation of an endpoint that was silent has returned, so it has not crashed.
    /// Returns whether a crash is withdrawn for it.
    pub fn record_return(
        &mut self,
        now: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
    ) -> bool {
        let key = (endpoint.clone(), incarnation);
        self.returned.retain(|_, expires_at| now < *expires_at);
        // Others may still report the crash.
        self.returned.insert(key.clone(), expiry(now, Millis::ZERO));
        if !self.crashes.get(&key).is_some_and(|crash| crash.is_presumed) {
            return false;
        }
        self.remove(&key);
        self.part_crashes.clear();
        for crash in self.crashes.values() {
            for part in crash.prompts.iter().flat_map(SharedParts::iter) {
                let last = self.part_crashes.entry(part.clone()).or_default();
                *last = crash.expires_at.max(*last);
            }
        }
        self.review_at = Some(now);
        true
    }

    /// Records a complete answer to a request, and returns whether it matters.
    pub fn record_completed(&mut self, now: Millis, completed: CompletedRequest) -> bool {
        let expires_at = expiry(now, completed.age);
        let known = self.completed.get(&completed.request).map(|known| known.expires_at);
        let is_late = completed.age >= COMPLETED_TTL && !self.is_suspect(completed.request);
        if is_late || known.is_some_and(|known| known >= expires_at) {
            return false;
        }
        self.sequence += 1;
        let completion = Completion { expires_at, sequence: self.sequence };
        self.completed.insert(completed.request, completion);
        if self.completed.len() > MAX_COMPLETED {
            let oldest = self.completed.iter().min_by_key(|(_, known)| known.expires_at);
            if let Some(oldest) = oldest.map(|(request, _)| *request) {
                self.completed.remove(&oldest);
            }
        }
        let crashes = self.crashes.values().filter(|crash| crash.expires_at > expires_at);
        match crashes.filter(|crash| crash.requests.contains(&completed.request)).count() {
            0 => _ = self.counts.remove(&completed.request),
            count => _ = self.counts.insert(completed.request, count),
        }
        self.review_at = Some(now);
        true
    }

    /// Records that an endpoint has answered a prompt with these parts here, or has written the answer
    /// for long enough.
    pub fn record_answered_here(&mut self, now: Millis, parts: &SharedParts) {
        let expires_at = expiry(now, Millis::ZERO);
        for part in parts.iter() {
            if self.is_suspect_part(part) {
                self.add_answer(now, part, expires_at);
            }
            self.answered_here.insert(part.clone(), expires_at);
        }
        if self.answered_here.len() > MAX_PARTS_ANSWERED_HERE {
            let mut times: Vec<Millis> = self.answered_here.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_PARTS_ANSWERED_HERE / 2);
            let median = *median;
            self.answered_here.retain(|_, expires_at| *expires_at > median);
        }
    }

    /// Records what another instance has said of an answer to a prompt with a part.
    pub fn record_answered(&mut self, now: Millis, answered: &AnsweredPart) {
        if answered.age < CRASH_TTL {
            self.add_answer(now, &answered.part, expiry(now, answered.age));
        }
    }

    fn add_answer(&mut self, now: Millis, part: &PartId, expires_at: Millis) {
        let known = self.answered.get(part).map(|known| known.expires_at);
        if known.is_some_and(|known| known >= expires_at) {
            return;
        }
        self.sequence += 1;
        self.answered.insert(part.clone(), Completion { expires_at, sequence: self.sequence });
        if self.answered.len() > MAX_ANSWERED_PARTS {
            let oldest = self.answered.iter().min_by_key(|(_, known)| known.expires_at);
            if let Some(oldest) = oldest.map(|(part, _)| part.clone()) {
                self.answered.remove(&oldest);
            }
        }
        self.review_at = Some(now);
    }

    /// Returns whether an endpoint crashed under a prompt with a part since the part was last
    /// answered.
    fn is_suspect_part(&self, part: &PartId) -> bool {
        let answered = self.answered.get(part).map(|known| known.expires_at);
        let crash = self.part_crashes.get(part);
        crash.is_some_and(|crash| answered.is_none_or(|answered| answered < *crash))
    }

    /// Returns the block of a request with these parts in its prompt, if it is blocked.
    ///
    /// [`CrashLog::review`] determines which parts are blocked.
    pub fn block_of_parts(&self, parts: &SharedParts) -> Option<&PartBlock> {
        self.part_blocks.iter().find(|block| parts.contains_all(&block.parts))
    }

    /// Returns the number of blocks of parts.
    pub fn part_block_count(&self) -> usize {
        self.part_blocks.len()
    }

    /// Returns whether a request was running in a crash since its last complete answer.
    pub fn is_suspect(&self, request: RequestKey) -> bool {
        self.counts.contains_key(&request)
    }

    /// Returns the time for which a request is still blocked.
    ///
    /// [`CrashLog::review`] determines which requests are blocked.
    pub fn blocked_for(&self, now: Millis, request: RequestKey) -> Option<Millis> {
        self.blocked.get(&request).map(|until| *until - now)
    }

    /// Returns the number of blocked requests.
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Returns the number of crashes in which a request was running since its last complete answer.
    pub fn crash_count(&self, request: RequestKey) -> usize {
        self.counts.get(&request).copied().unwrap_or_default()
    }

    /// Determines which requests are blocked, if that may have changed, and returns the changes.
    pub fn review(&mut self, now: Millis) -> Vec<BlockChange> {
        if self.review_at.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.expire(now);
        let blocked = self.blocked_requests(now);
        let is_new = |(request, _): &(&RequestKey, &Millis)| !self.blocked.contains_key(request);
        let lifted = self.blocked.keys().filter(|request| !blocked.contains_key(request));
        let mut changes: Vec<BlockChange> =
            lifted.map(|request| BlockChange::Lifted(*request)).collect();
        let new = blocked.iter().filter(is_new);
        changes.extend(new.map(|(request, until)| BlockChange::Blocked(*request, *until)));
        self.blocked = blocked;
        changes.extend(self.review_parts(now));
        self.review_at = self.next_review(now);
        changes
    }

    fn review_parts(&mut self, now: Millis) -> Vec<BlockChange> {
        let crashes = self.crashes.values().filter(|crash| !crash.prompts.is_empty());
        let crashes: Vec<PromptCrash<'_>> = crashes
            .map(|crash| PromptCrash {
                expires_at: crash.expires_at,
                is_settled: now >= crash.settles_at,
                prompts: &crash.prompts,
            })
            .collect();
        let answered = self.answered.iter();
        let answered = answered.map(|(part, known)| (part.clone(), known.expires_at)).collect();
        let blocks = blocked_parts(&crashes, &answered);
        let is_in = |blocks: &[PartBlock], parts: &SharedParts| {
            blocks.iter().any(|block| block.parts == *parts)
        };
        let lifted = self.part_blocks.iter().filter(|block| !is_in(&blocks, &block.parts));
        let lifted = lifted.map(|block| BlockChange::PartsLifted(block.parts.clone()));
        let new = blocks.iter().filter(|block| !is_in(&self.part_blocks, &block.parts));
        let changes = lifted.chain(new.cloned().map(BlockChange::PartsBlocked)).collect();
        self.part_blocks = blocks;
        changes
    }

    /// Returns the crashes and complete answers after the sequence number `seen`, and the sequence
    /// number to pass the next time.
    pub fn newer_than(&self, now: Millis, seen: u64) -> (u64, CrashUpdate) {
        let mut crashes: Vec<(&IncarnationKey, &Crash)> =
            self.crashes.iter().filter(|(_, crash)| crash.sequence > seen).collect();
        let mut completed: Vec<(&RequestKey, &Completion)> =
            self.completed.iter().filter(|(_, known)| known.sequence > seen).collect();
        crashes.sort_unstable_by_key(|(_, crash)| crash.sequence);
        completed.sort_unstable_by_key(|(_, known)| known.sequence);
        let mut answered: Vec<(&PartId, &Completion)> =
            self.answered.iter().filter(|(_, known)| known.sequence > seen).collect();
        answered.sort_unstable_by_key(|(_, known)| known.sequence);
        // What is left out is sent the next time.
        let first_left_out = [
            crashes.get(MAX_UPDATE_ENTRIES).map(|(_, crash)| crash.sequence),
            completed.get(MAX_UPDATE_ENTRIES).map(|(_, known)| known.sequence),
            answered.get(MAX_UPDATE_ENTRIES).map(|(_, known)| known.sequence),
        ];
        let last = first_left_out.into_iter().flatten().min().map_or(self.sequence, |at| at - 1);
        let crashes = crashes.into_iter().filter(|(_, crash)| crash.sequence <= last);
        let completed = completed.into_iter().filter(|(_, known)| known.sequence <= last);
        let answered = answered.into_iter().filter(|(_, known)| known.sequence <= last);
        let update = CrashUpdate {
            crashes: crashes
                .map(|((endpoint, incarnation), crash)| EndpointCrash {
                    endpoint: endpoint.clone(),
                    incarnation: *incarnation,
                    requests: crash.requests.clone(),
                    prompts: crash.prompts.clone(),
                    age: age(now, crash.expires_at),
                    is_presumed: crash.is_presumed,
                })
                .collect(),
            completed: completed
                .map(|(request, known)| CompletedRequest {
                    request: *request,
                    age: age(now, known.expires_at),
                })
                .collect(),
            answered: answered
                .map(|(part, known)| AnsweredPart {
                    part: part.clone(),
                    age: age(now, known.expires_at),
                })
                .collect(),
        };
        (last, update)
    }

    /// Removes crashes and complete answers that are too old.
    pub fn expire(&mut self, now: Millis) {
        let expired: Vec<IncarnationKey> = self
            .crashes
            .iter()
            .filter(|(_, crash)| now >= crash.expires_at)
            .map(|(key, _)| key.clone())
            .collect();
        expired.iter().for_each(|key| self.remove(key));
        let needed: Set<RequestKey> =
            self.crashes.values().flat_map(|crash| crash.requests.iter().copied()).collect();
        self.completed.retain(|request, known| {
            age(now, known.expires_at) < COMPLETED_TTL || needed.contains(request)
        });
        self.answered.retain(|_, known| now < known.expires_at);
        self.answered_here.retain(|_, expires_at| now < *expires_at);
        self.part_crashes.retain(|_, expires_at| now < *expires_at);
    }

    fn remove(&mut self, key: &IncarnationKey) {
        let Some(crash) = self.crashes.remove(key) else { return };
        for request in &crash.requests {
            if is_completed_after(&self.completed, *request, crash.expires_at) {
                continue;
            }
            if let Some(count) = self.counts.get_mut(request) {
                *count -= 1;
                if *count == 0 {
                    self.counts.remove(request);
                }
            }
        }
    }

    /// Returns the requests of a crash that had no complete answer after it.
    fn suspects(&self, crash: &Crash) -> impl Iterator<Item = RequestKey> {
        let expires_at = crash.expires_at;
        let is_suspect =
            move |request: &RequestKey| !is_completed_after(&self.completed, *request, expires_at);
        crash.requests.iter().copied().filter(is_suspect)
    }

    /// Returns the request that was running in more crashes than all that ran beside it.
    fn blamed(&self, crash: &Crash) -> Option<RequestKey> {
        let mut blamed = None;
        let mut most = 0;
        for request in self.suspects(crash) {
            let count = self.crash_count(request);
            if count > most {
                (blamed, most) = (Some(request), count);
            } else if count == most {
                blamed = None;
            }
        }
        blamed
    }

    fn blocked_requests(&self, now: Millis) -> Map<RequestKey, Millis> {
        let mut blamed: Map<RequestKey, Vec<Millis>> = Map::default();
        for crash in self.crashes.values().filter(|crash| now >= crash.settles_at) {
            if let Some(request) = self.blamed(crash) {
                blamed.entry(request).or_default().push(crash.expires_at);
            }
        }
        let blocked = blamed.into_iter().filter_map(|(request, mut crashes)| {
            crashes.sort_unstable_by(|a, b| b.cmp(a));
            let until = crashes.get(MAX_BLAMED_CRASHES - 1)?;
            Some((request, *until))
        });
        blocked.collect()
    }

    fn next_review(&self, now: Millis) -> Option<Millis> {
        let times = self.crashes.values().map(|crash| match now < crash.settles_at {
            true => crash.settles_at,
            false => crash.expires_at,
        });
        times.min()
    }

    /// Removes the oldest crash, preferably one without a blocked request.
    fn evict(&mut self) {
        let is_decisive = |crash: &Crash| {
            crash.requests.iter().any(|r| self.blocked.contains_key(r))
                || crash.prompts.iter().any(|prompt| self.block_of_parts(prompt).is_some())
        };
        let oldest =
            self.crashes.iter().min_by_key(|(_, crash)| (is_decisive(crash), crash.expires_at));
        if let Some(oldest) = oldest.map(|(key, _)| key.clone()) {
            self.remove(&oldest);
        }
    }
}

/// Returns when something of this age expires. Times before the start of the process can't be told
/// apart, their expiries can.
fn expiry(now: Millis, age: Millis) -> Millis {
    now + (CRASH_TTL - age)
}

fn age(now: Millis, expires_at: Millis) -> Millis {
    now + CRASH_TTL - expires_at
}

fn is_completed_after(
    completed: &Map<RequestKey, Completion>,
    request: RequestKey,
    expires_at: Millis,
) -> bool {
    completed.get(&request).is_some_and(|known| known.expires_at >= expires_at)
}

/// How long a broken answer waits for the confirmation that its endpoint has crashed. Three missed
/// heartbeats take four seconds; an endpoint that ends later has not broken off the answer.
const CONFIRMATION_TTL: Millis = Millis(5000);

/// Answers that break off within this time of the last one broke off in the same crash.
const CRASH_SPAN: Millis = Millis(1000);

/// Broken answers of endpoints of which it is unknown whether they have crashed.
///
/// A connection may also break because of the network, or because an endpoint breaks off a single
/// answer.
#[derive(Debug, Default)]
pub struct BrokenAnswers {
    endpoints: Map<IncarnationKey, BrokenEndpoint>,
}

#[derive(Debug, Default)]
struct BrokenEndpoint {
    last_at: Millis,
    is_checked: bool,
    has_crashed: bool,
    /// Whether that is concluded from its silence alone.
    is_presumed: bool,
    requests: Vec<(BrokenRequest, Millis)>,
}

/// A request whose answer broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BrokenRequest {
    /// The request.
    pub request: RequestKey,
    /// The parts of its prompt, if the endpoint had just begun to answer it, or had not begun.
    pub prompt: Option<SharedParts>,
}

/// What follows from a broken answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BrokenAnswer {
    /// The endpoint has to be checked.
    Check,
    /// The endpoint is being checked.
    Pending,
    /// The endpoint is known to have crashed.
    Crash(EndpointCrash),
}

impl BrokenAnswers {
    /// Records that an answer broke off.
    pub fn record(
        &mut self,
        now: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
        request: BrokenRequest,
    ) -> BrokenAnswer {
        self.endpoints.retain(|_, broken| now - broken.last_at < CONFIRMATION_TTL);
        let broken = self.endpoints.entry((endpoint.clone(), incarnation)).or_default();
        broken.last_at = now;
        if broken.has_crashed {
            return BrokenAnswer::Crash(EndpointCrash {
                endpoint: endpoint.clone(),
                incarnation,
                requests: vec![request.request],
                prompts: request.prompt.into_iter().collect(),
                age: Millis::ZERO,
                is_presumed: broken.is_presumed,
            });
        }
        broken.requests.retain(|(_, at)| now - *at < CRASH_SPAN);
        if broken.requests.len() < MAX_REQUESTS {
            broken.requests.push((request, now));
        }
        match std::mem::replace(&mut broken.is_checked, true) {
            false => BrokenAnswer::Check,
            true => BrokenAnswer::Pending,
        }
    }

    /// Records that a check has not shown that the endpoint has crashed.
    pub fn finish_check(&mut self, endpoint: &Name, incarnation: Incarnation) {
        if let Some(broken) = self.endpoints.get_mut(&(endpoint.clone(), incarnation)) {
            broken.is_checked = false;
        }
    }

    /// Records that an endpoint that was silent has returned.
    pub fn record_return(&mut self, endpoint: &Name, incarnation: Incarnation) {
        let broken = self.endpoints.get_mut(&(endpoint.clone(), incarnation));
        if let Some(broken) = broken.filter(|broken| broken.is_presumed) {
            *broken = BrokenEndpoint { last_at: broken.last_at, ..BrokenEndpoint::default() };
        }
    }

    /// Records that an endpoint has crashed, or that its silence makes that likely if `is_presumed`;
    /// returns the crash if answers had broken off before.
    pub fn confirm(
        &mut self,
        now: Millis,
        endpoint: &Name,
        incarnation: Incarnation,
        is_presumed: bool,
    ) -> Option<EndpointCrash> {
        let broken = self.endpoints.get_mut(&(endpoint.clone(), incarnation))?;
        let age = now - broken.last_at;
        let is_known = broken.has_crashed && (is_presumed || !broken.is_presumed);
        if age >= CONFIRMATION_TTL || is_known {
            return None;
        }
        (broken.has_crashed, broken.is_presumed) = (true, is_presumed);
        let broken = std::mem::take(&mut broken.requests);
        let mut requests: Vec<RequestKey> = broken.iter().map(|(b, _)| b.request).collect();
        requests.sort_unstable();
        requests.dedup();
        let mut prompts: Vec<SharedParts> =
            broken.into_iter().filter_map(|(b, _)| b.prompt).collect();
        prompts.sort_unstable();
        prompts.dedup();
        let endpoint = endpoint.clone();
        Some(EndpointCrash { endpoint, incarnation, requests, prompts, age, is_presumed })
    }
}
