//! Finds the parts of prompts under which endpoints crash.
//!
//! Requests that crash endpoints may differ in all but one part of their prompts. That part is in
//! each crash that it causes. Other parts are there as well, because most prompts have them or by
//! chance, but prompts with them are also answered.

use sill_base::{Map, Millis};
use sill_wire::{PartId, SharedParts};

use crate::crashes::CRASH_TTL;

/// Number of crashes for which a part is blamed before it is blocked, if no prompt with it was ever
/// answered.
const MAX_BLAMED_CRASHES: usize = 3;

/// The same for a part with which prompts were answered before. It is the likelier to be there by
/// chance, and many requests may depend on it.
const MAX_BLAMED_CRASHES_OF_ANSWERED: usize = 9;

/// Crashes within this time count once. Endpoints that are lost at once run prompts with the same
/// parts.
const CRASH_SPACING: Millis = Millis(50);

/// Least time from the first to the last of these crashes. Instances that run late notice crashes
/// that were at once one after the other.
const MIN_CRASH_SPAN: Millis = Millis(500);

/// Time after the last crash until one request may test whether the part still crashes endpoints. It
/// doubles with each test that fails.
const TRIAL_INTERVAL: Millis = Millis(60_000);

/// Upper bound on the time until the next test.
const MAX_TRIAL_INTERVAL: Millis = Millis(600_000);

/// A crash that comes this long after the last one is the failure of a test.
const TRIAL_GAP: Millis = Millis(30_000);

/// A crash with the prompts of requests that the endpoint had just begun to answer, or had not begun.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PromptCrash<'a> {
    /// When the crash expires, [`CRASH_TTL`] after it happened.
    pub(crate) expires_at: Millis,
    /// Whether all entry instances have had time to report it.
    pub(crate) is_settled: bool,
    pub(crate) prompts: &'a [SharedParts],
}

/// Parts that are blocked together: only requests with all of them are refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartBlock {
    /// The parts. There are several if they were in the same prompts in each crash.
    pub parts: SharedParts,
    /// Number of crashes for which they are blamed.
    pub crashes: usize,
    /// When the block ends.
    pub until: Millis,
    /// When one request may test whether the block is still needed.
    pub trial_at: Millis,
}

/// Returns the parts to block. `answered` is the expiry of the last answer to a prompt with a part.
/// Crashes and answers expire [`CRASH_TTL`] after they happened.
pub(crate) fn blocked_parts(
    crashes: &[PromptCrash<'_>],
    answered: &Map<PartId, Millis>,
) -> Vec<PartBlock> {
    let unanswered = |part: &PartId, _| !answered.contains_key(part);
    let mut blocks = blamed_parts(crashes, unanswered, MAX_BLAMED_CRASHES);
    let is_explained = |crash: &PromptCrash<'_>| {
        let is_in = |parts: &SharedParts| crash.prompts.iter().any(|p| p.contains_all(parts));
        blocks.iter().any(|block| is_in(&block.parts))
    };
    let rest: Vec<PromptCrash<'_>> =
        crashes.iter().filter(|crash| !is_explained(crash)).copied().collect();
    let not_since = |part: &PartId, crash| answered.get(part).is_none_or(|last| *last < crash);
    blocks.extend(blamed_parts(&rest, not_since, MAX_BLAMED_CRASHES_OF_ANSWERED));
    blocks
}

/// Returns the parts that are blamed for at least `min_crashes`. `is_suspect` tells whether a part may
/// have caused the crash of an expiry.
fn blamed_parts<F>(crashes: &[PromptCrash<'_>], is_suspect: F, min_crashes: usize) -> Vec<PartBlock>
where
    F: Fn(&PartId, Millis) -> bool,
{
    let suspects = |crash: &PromptCrash<'_>| {
        let expires_at = crash.expires_at;
        let parts = crash.prompts.iter().flat_map(SharedParts::iter).cloned();
        let mut parts: Vec<PartId> = parts.filter(|part| is_suspect(part, expires_at)).collect();
        parts.sort_unstable();
        parts.dedup();
        parts
    };
    let mut times: Map<PartId, Vec<Millis>> = Map::default();
    for crash in crashes {
        suspects(crash)
            .into_iter()
            .for_each(|part| times.entry(part).or_default().push(crash.expires_at));
    }
    let counts = times.into_iter().map(|(part, mut times)| {
        times.sort_unstable();
        (part, count_spaced(&times))
    });
    let counts: Map<PartId, usize> = counts.collect();
    let mut blamed: Map<SharedParts, Vec<Millis>> = Map::default();
    for crash in crashes.iter().filter(|crash| crash.is_settled) {
        let suspects = suspects(crash);
        let most = suspects.iter().map(|part| counts[part]).max().unwrap_or_default();
        let parts: SharedParts = suspects.into_iter().filter(|part| counts[part] == most).collect();
        if !parts.is_empty() && crash.prompts.iter().any(|prompt| prompt.contains_all(&parts)) {
            blamed.entry(parts).or_default().push(crash.expires_at);
        }
    }
    blamed.into_iter().filter_map(|(parts, times)| block(parts, times, min_crashes)).collect()
}

/// Returns the block of parts that are blamed for crashes, if they are for enough of them.
fn block(parts: SharedParts, mut expiries: Vec<Millis>, min_crashes: usize) -> Option<PartBlock> {
    expiries.sort_unstable();
    let (first, last) = (*expiries.first()?, *expiries.last()?);
    if count_spaced(&expiries) < min_crashes || last - first < MIN_CRASH_SPAN {
        return None;
    }
    let failed_trials = expiries.windows(2).filter(|pair| pair[1] - pair[0] >= TRIAL_GAP).count();
    let interval = Millis(TRIAL_INTERVAL.0 << failed_trials.min(8)).min(MAX_TRIAL_INTERVAL);
    Some(PartBlock {
        parts,
        crashes: expiries.len(),
        until: expiries[expiries.len() - min_crashes],
        trial_at: last + interval - CRASH_TTL,
    })
}

/// Returns the number of sorted points in time, of which those within [`CRASH_SPACING`] count once.
fn count_spaced(times: &[Millis]) -> usize {
    let (mut count, mut last) = (0, None);
    for at in times {
        if last.is_none_or(|last| *at - last >= CRASH_SPACING) {
            (count, last) = (count + 1, Some(*at));
        }
    }
    count
}
