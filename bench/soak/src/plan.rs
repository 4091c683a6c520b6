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
const CATCH_UP: u64 = 5000;

/// Whether processes get SIGHUP. To be switched on with programs that don't end by it.
const HANGS_UP: bool = false;

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
pub struct Planned {
    /// When, from the start of the faults.
    pub at: Millis,
    /// What.
    pub fault: Fault,
}

/// Something that happens to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hit {
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
pub enum Trouble {
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
pub enum Habit {
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
    Control(usize, Hit, Millis),
    /// All control instances are killed, and started again after a while.
    AllControls(Millis),
    /// An entry instance is hit, for a while.
    Entry(usize, Hit, Millis),
    /// The ways of a control instance are in trouble.
    ControlLinks(usize, Trouble, Millis),
    /// The ways from an entry instance to control instances are in trouble.
    EntryLinks(usize, Trouble, Millis),
    /// The way to an endpoint is in trouble.
    EndpointLink(usize, Trouble, Millis),
    /// An endpoint does something wrong.
    Endpoint(usize, Habit, Millis),
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
pub fn plan(seed: u64, span: Millis, sizes: Sizes) -> Vec<Planned> {
    let mut rng = seeded(seed);
    let mut all = Vec::new();
    track(&mut rng, span, &mut all, |rng| control_fault(rng, sizes));
    track(&mut rng, span, &mut all, |rng| entry_fault(rng, sizes));
    track(&mut rng, span, &mut all, |rng| endpoint_fault(rng, sizes));
    track(&mut rng, span, &mut all, |rng| stops(rng, sizes));
    all.sort_by_key(|planned| planned.at);
    all
}

/// Fills the span with faults one after the other; each comes with the time until the next.
fn track<F>(rng: &mut Rng, span: Millis, all: &mut Vec<Planned>, mut draw: F)
where
    F: FnMut(&mut Rng) -> (Fault, u64),
{
    let mut at = rng.random_range(0..1500);
    while at < span.0 {
        let (fault, takes) = draw(rng);
        all.push(Planned { at: Millis(at), fault });
        at += takes + rng.random_range(100..1200);
    }
}

fn control_fault(rng: &mut Rng, sizes: Sizes) -> (Fault, u64) {
    let i = rng.random_range(0..sizes.controls);
    let span = rng.random_range(200..3000);
    match rng.random_range(0..10) {
        0..3 => (Fault::Control(i, Hit::Kill, Millis(span)), span + CATCH_UP / 2),
        6 if HANGS_UP => (Fault::Control(i, Hit::Hangup, Millis(span)), span),
        3 => (Fault::Control(i, Hit::Pause, Millis(span)), span + CATCH_UP / 2),
        4 => (Fault::Control(i, Hit::LoseDisk, Millis(span)), span + CATCH_UP),
        5 => (Fault::AllControls(Millis(span)), span + CATCH_UP),
        _ => (Fault::ControlLinks(i, trouble(rng), Millis(span)), span + CATCH_UP / 2),
    }
}

fn entry_fault(rng: &mut Rng, sizes: Sizes) -> (Fault, u64) {
    let i = rng.random_range(0..sizes.entries);
    let span = rng.random_range(100..2500);
    let fault = match rng.random_range(0..6) {
        0 => Fault::Entry(i, Hit::Kill, Millis(span)),
        1 => Fault::Entry(i, Hit::Pause, Millis(span)),
        2 => Fault::Entry(i, Hit::Stop, Millis(span)),
        3 if HANGS_UP => Fault::Entry(i, Hit::Hangup, Millis(span)),
        _ => Fault::EntryLinks(i, trouble(rng), Millis(span)),
    };
    (fault, span)
}

fn endpoint_fault(rng: &mut Rng, sizes: Sizes) -> (Fault, u64) {
    let i = rng.random_range(0..sizes.endpoints);
    let span = rng.random_range(200..2500);
    let fault = match rng.random_range(0..8) {
        0 => Fault::Replace(i),
        1 | 2 => Fault::EndpointLink(i, trouble(rng), Millis(span)),
        _ => Fault::Endpoint(i, habit(rng), Millis(span)),
    };
    (fault, span)
}

/// Most of them at once, or one after the other with pauses in which each has not ended yet or has. The
/// next series may begin while the last instances of one still stop.
fn stops(rng: &mut Rng, sizes: Sizes) -> (Fault, u64) {
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

fn trouble(rng: &mut Rng) -> Trouble {
    match rng.random_range(0..6) {
        0 => Trouble::Delay(Millis(rng.random_range(20..400))),
        1 => Trouble::SilentThere,
        2 => Trouble::SilentBack,
        3 => Trouble::Reset,
        _ => Trouble::Silent,
    }
}

fn habit(rng: &mut Rng) -> Habit {
    match rng.random_range(0..5) {
        0 => Habit::LoseAnswer,
        1 => Habit::CutAnswer,
        2 => Habit::Full,
        3 => Habit::Hang,
        _ => Habit::Slow,
    }
}
