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
}

/// Draws the faults of a run, in the order of their times.
pub fn plan(seed: u64, span: Millis, sizes: Sizes) -> Vec<Planned> {
    let mut rng = seeded(seed);
    let mut all = Vec::new();
    track(&mut rng, span, &mut all, |rng| control_fault(rng, sizes));
    track(&mut rng, span, &mut all, |rng| entry_fault(rng, sizes));
    track(&mut rng, span, &mut all, |rng| endpoint_fault(rng, sizes));
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
