//! Which faults come when, drawn from a seed.
//!
//! Each kind of thing has a track of its own, so that faults of several kinds overlap. On the track of
//! control instances at most one of them is out at a time, unless all are killed together: a quorum is
//! promised as long as one of three is lost, and a disk may be lost only while the others have theirs.

use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::{Rng, seeded};

/// Time that a control instance gets to come back in full before the next one is hit. One that lost its
/// disk takes everything anew and becomes a voter again.
const CATCH_UP_MS: u64 = 5000;

/// Whether processes get SIGHUP. To be switched on with programs that don't end by it.
const SENDS_SIGHUP: bool = false;

/// How many there are of each.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Control instances.
    pub controls: usize,
    /// Entry instances.
    pub entries: usize,
    /// Endpoints.
    pub endpoints: usize,
}

/// A fault with its time.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledFault {
    /// When, from the start of the faults.
    pub at: Millis,
    /// What.
    pub fault: Fault,
}

/// Something that happens to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// It is killed and started again.
    Kill,
    /// It stands still and goes on.
    Pause,
    /// It is asked to stop, and started again once it has.
    Stop,
    /// It is killed, loses its disk, and is started again.
    LoseDisk,
    /// It gets SIGHUP, which must not end it.
    Hangup,
}

/// What befalls a way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes come late.
    Delay(Millis),
    /// Nothing passes, and nobody is told.
    Silent,
    /// Nothing passes towards the one that was called.
    SilentThere,
    /// Nothing passes back to the caller.
    SilentBack,
    /// Open connections are reset, and new ones refused.
    Reset,
}

/// What an endpoint does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehavior {
    /// It runs a request and resets the connection.
    LoseAnswer,
    /// It breaks its answer off.
    CutAnswer,
    /// It says that it has no room.
    Full,
    /// It takes its time.
    Slow,
    /// It runs a request and never answers.
    Hang,
}

/// One fault.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A control instance is hit, for a while.
    Control(usize, ProcessFault, Millis),
    /// All control instances are killed, and started again after a while.
    AllControls(Millis),
    /// An entry instance is hit, for a while.
    Entry(usize, ProcessFault, Millis),
    /// The ways of a control instance are in trouble.
    ControlLinks(usize, LinkFault, Millis),
    /// The ways from an entry instance to control instances are in trouble.
    EntryLinks(usize, LinkFault, Millis),
    /// The way to an endpoint is in trouble.
    EndpointLink(usize, LinkFault, Millis),
    /// An endpoint does something wrong.
    Endpoint(usize, Misbehavior, Millis),
    /// An endpoint says that it leaves, ends, and another one starts.
    Replace(usize),
    /// Entry instances are asked to stop, one after the other.
    Stops(Series),
}

/// Planned stops of entry instances, each of which is started again once it has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Series {
    /// The first one.
    pub first: usize,
    /// How many.
    pub count: usize,
    /// How many there are; after the last one it goes on with the first.
    pub of: usize,
    /// Time from one signal to the next one's.
    pub gap: Millis,
    /// Time until each gets a second signal.
    pub again: Option<Millis>,
    /// How long each stays away.
    pub away: Millis,
}

impl Series {
    /// Returns the entry instances in their order.
    pub fn instances(self) -> impl Iterator<Item = usize> {
        (0..self.count).map(move |i| (self.first + i) % self.of)
    }
}

/// Draws the faults of a run, in the order of their times.
pub fn plan(seed: u64, span: Millis, sizes: Sizes) -> Vec<ScheduledFault> {
    let mut rng = seeded(seed);
    let mut faults = Vec::new();
    track(&mut rng, span, &mut faults, |rng| control_fault(rng, sizes));
    track(&mut rng, span, &mut faults, |rng| entry_fault(rng, sizes));
    track(&mut rng, span, &mut faults, |rng| endpoint_fault(rng, sizes));
    track(&mut rng, span, &mut faults, |rng| stop_series(rng, sizes));
    faults.sort_by_key(|scheduled| scheduled.at);
    faults
}

/// Fills the span with faults one after the other; each comes with the time until the next.
fn track<F>(rng: &mut Rng, span: Millis, faults: &mut Vec<ScheduledFault>, mut draw: F)
where
    F: FnMut(&mut Rng) -> (Fault, u64),
{
    let mut at = rng.random_range(0..1500);
    while at < span.0 {
        let (fault, takes) = draw(rng);
        faults.push(ScheduledFault { at: Millis(at), fault });
        at += takes + rng.random_range(100..1200);
    }
}

fn control_fault(rng: &mut Rng, sizes: Sizes) -> (Fault, u64) {
    let i = rng.random_range(0..sizes.controls);
    let span = rng.random_range(200..3000);
    match rng.random_range(0..10) {
        0..3 => (Fault::Control(i, ProcessFault::Kill, Millis(span)), span + CATCH_UP_MS / 2),
        6 if SENDS_SIGHUP => (Fault::Control(i, ProcessFault::Hangup, Millis(span)), span),
        3 => (Fault::Control(i, ProcessFault::Pause, Millis(span)), span + CATCH_UP_MS / 2),
        4 => (Fault::Control(i, ProcessFault::LoseDisk, Millis(span)), span + CATCH_UP_MS),
        5 => (Fault::AllControls(Millis(span)), span + CATCH_UP_MS),
        _ => (Fault::ControlLinks(i, link_fault(rng), Millis(span)), span + CATCH_UP_MS / 2),
    }
}

fn entry_fault(rng: &mut Rng, sizes: Sizes) -> (Fault, u64) {
    let i = rng.random_range(0..sizes.entries);
    let span = rng.random_range(100..2500);
    let fault = match rng.random_range(0..6) {
        0 => Fault::Entry(i, ProcessFault::Kill, Millis(span)),
        1 => Fault::Entry(i, ProcessFault::Pause, Millis(span)),
        2 => Fault::Entry(i, ProcessFault::Stop, Millis(span)),
        3 if SENDS_SIGHUP => Fault::Entry(i, ProcessFault::Hangup, Millis(span)),
        _ => Fault::EntryLinks(i, link_fault(rng), Millis(span)),
    };
    (fault, span)
}

fn endpoint_fault(rng: &mut Rng, sizes: Sizes) -> (Fault, u64) {
    let i = rng.random_range(0..sizes.endpoints);
    let span = rng.random_range(200..2500);
    let fault = match rng.random_range(0..8) {
        0 => Fault::Replace(i),
        1 | 2 => Fault::EndpointLink(i, link_fault(rng), Millis(span)),
        _ => Fault::Endpoint(i, misbehavior(rng), Millis(span)),
    };
    (fault, span)
}

/// Most of them at once, or one after the other with pauses in which each has not ended yet or has. The
/// next series may begin while the last instances of one still stop.
fn stop_series(rng: &mut Rng, sizes: Sizes) -> (Fault, u64) {
    let is_at_once = rng.random();
    let (count, gap) = match is_at_once {
        true => (rng.random_range(sizes.entries.div_ceil(2)..=sizes.entries), 0..150),
        false => (rng.random_range(1..=sizes.entries), 300..3500),
    };
    let gap = rng.random_range(gap);
    let again = rng.random_bool(0.3).then(|| Millis(rng.random_range(0..3000)));
    let series = Series {
        first: rng.random_range(0..sizes.entries),
        count,
        of: sizes.entries,
        gap: Millis(gap),
        again,
        away: Millis(rng.random_range(0..1500)),
    };
    (Fault::Stops(series), gap * count as u64 + rng.random_range(0..4000))
}

fn link_fault(rng: &mut Rng) -> LinkFault {
    match rng.random_range(0..6) {
        0 => LinkFault::Delay(Millis(rng.random_range(20..400))),
        1 => LinkFault::SilentThere,
        2 => LinkFault::SilentBack,
        3 => LinkFault::Reset,
        _ => LinkFault::Silent,
    }
}

fn misbehavior(rng: &mut Rng) -> Misbehavior {
    match rng.random_range(0..5) {
        0 => Misbehavior::LoseAnswer,
        1 => Misbehavior::CutAnswer,
        2 => Misbehavior::Full,
        3 => Misbehavior::Hang,
        _ => Misbehavior::Slow,
    }
}
