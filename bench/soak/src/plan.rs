//! The schedule of faults, generated from a seed.
//!
//! Control instances, entry instances, endpoints and planned stops have separate tracks, so that
//! faults of several kinds overlap. At most one control instance is down at a time, unless all are
//! killed together: a quorum is guaranteed only while at most one of three is lost, and a disk may
//! be lost only while the others keep theirs.

use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::{Rng, seeded};

use crate::backend::LEAVE_NOTICE;

/// Recovery time of a control instance before the next fault on its track. An instance that lost
/// its disk fetches all data again and is readmitted as a voter.
const CATCH_UP_MS: u64 = 5000;

/// Whether processes are sent SIGHUP beside other faults. Only to be enabled for programs that it does
/// not terminate.
const SENDS_SIGHUP: bool = false;

/// Number of processes of each kind in a run.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Number of control instances.
    pub controls: usize,
    /// Number of entry instances.
    pub entries: usize,
    /// Number of endpoints.
    pub endpoints: usize,
}

/// A fault and the time at which it starts.
#[derive(Debug, Clone, PartialEq)]
pub struct ScheduledFault {
    /// Time since the start of fault injection.
    pub at: Millis,
    /// The fault to inject.
    pub fault: Fault,
}

/// A fault of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessFault {
    /// Kills the process and restarts it.
    Kill,
    /// Suspends the process and resumes it.
    Pause,
    /// Sends SIGTERM and restarts the process once it has exited.
    Stop,
    /// Kills the process, removes its data folder and restarts it.
    LoseDisk,
    /// Sends SIGHUP, which must not terminate the process.
    Hangup,
}

/// A fault of a network link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// Delays all bytes by this time.
    Delay(Millis),
    /// Holds back all bytes in both directions and signals no error.
    Silent,
    /// Holds back all bytes towards the called process.
    SilentThere,
    /// Holds back all bytes towards the calling process.
    SilentBack,
    /// Resets open connections and new ones.
    Reset,
}

/// A fault of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Misbehavior {
    /// Runs the request and drops the connection without an answer.
    LoseAnswer,
    /// Runs the request and truncates the answer.
    CutAnswer,
    /// Rejects requests with status 503, and asks for a pause.
    Full,
    /// Answers slowly.
    Slow,
    /// Runs the request and never answers.
    Hang,
    /// Marks the end of an answer only by closing the connection.
    Unframed,
    /// Does the same, and ends streams inside an event.
    UnframedCut,
}

/// What the address of an endpoint shows after a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Remains {
    /// Connections are refused.
    Refusal,
    /// The kernel accepts connections, and nobody reads from them.
    Listener,
    /// The accept queue is full, so that connections time out.
    FullQueue,
}

/// A crash of an endpoint in the middle of its streams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Crash {
    /// Time before the crash in which a part of the streams begin without chunks.
    pub lead: Millis,
    /// Whether the endpoint announces shortly before the crash that it is leaving.
    pub is_announced: bool,
    /// What its address shows afterwards.
    pub remains: Remains,
    /// Time until it is restarted.
    pub down: Millis,
}

/// A fault with its target and, where it has one, its duration.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// A process fault of one control instance.
    Control(usize, ProcessFault, Millis),
    /// Kills all control instances and restarts them after this time.
    AllControls(Millis),
    /// A process fault of one entry instance.
    Entry(usize, ProcessFault, Millis),
    /// A fault of all links from and to one control instance.
    ControlLinks(usize, LinkFault, Millis),
    /// A fault of the links from one entry instance to all control instances.
    EntryLinks(usize, LinkFault, Millis),
    /// A fault of the links from one entry instance to the first of the endpoints, as many as given.
    EntryCutOff(usize, usize, LinkFault, Millis),
    /// A fault of the link to one endpoint.
    EndpointLink(usize, LinkFault, Millis),
    /// Incorrect or slow answers from one endpoint.
    Endpoint(usize, Misbehavior, Millis),
    /// One endpoint announces that it is leaving, ends, and is replaced by a new incarnation.
    Replace(usize),
    /// The same, as planned work: no answer may be cut by it.
    Leave(usize),
    /// One endpoint crashes, and is restarted as a new incarnation.
    Crash(usize, Crash),
    /// Sends SIGTERM to several entry instances in turn.
    Stops(Series),
}

/// Graceful stops of several entry instances, each of which is restarted after it has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Series {
    /// Index of the first entry instance to stop.
    pub first: usize,
    /// Number of entry instances to stop.
    pub count: usize,
    /// Number of entry instances in the run; indexes wrap around at this number.
    pub of: usize,
    /// Time between the signals to two successive instances.
    pub gap: Millis,
    /// Time after which each instance is sent a second signal, if any.
    pub again: Option<Millis>,
    /// Time between the exit of an instance and its restart.
    pub away: Millis,
}

impl Series {
    /// Returns the indexes of the entry instances in the order in which they are stopped.
    pub fn instances(self) -> impl Iterator<Item = usize> {
        (0..self.count).map(move |i| (self.first + i) % self.of)
    }
}

/// Generates the faults of a run from a seed, ordered by start time.
pub fn plan(seed: u64, span: Millis, sizes: Sizes) -> Vec<ScheduledFault> {
    let mut rng = seeded(seed);
    let mut faults = Vec::new();
    fill_track(&mut rng, span, &mut faults, |rng| control_fault(rng, sizes));
    fill_track(&mut rng, span, &mut faults, |rng| entry_fault(rng, sizes));
    fill_track(&mut rng, span, &mut faults, |rng| endpoint_fault(rng, sizes));
    fill_track(&mut rng, span, &mut faults, |rng| stop_series(rng, sizes));
    faults.sort_by_key(|scheduled| scheduled.at);
    faults
}

/// Generates planned work alone: series of graceful stops, endpoints that leave in order, SIGHUP, and graceful
/// stops of one control instance after the other.
pub fn planned_work(seed: u64, span: Millis, sizes: Sizes) -> Vec<ScheduledFault> {
    const SEED_MASK: u64 = 0x776f_726b;
    let mut rng = seeded(seed ^ SEED_MASK);
    let mut work = Vec::new();
    fill_track(&mut rng, span, &mut work, |rng| stop_series(rng, sizes));
    fill_track(&mut rng, span, &mut work, |rng| {
        (Fault::Leave(rng.random_range(0..sizes.endpoints)), LEAVE_NOTICE.0)
    });
    fill_track(&mut rng, span, &mut work, |rng| {
        let span = Millis(rng.random_range(0..1000));
        let fault = match rng.random() {
            true => Fault::Entry(rng.random_range(0..sizes.entries), ProcessFault::Hangup, span),
            false => {
                Fault::Control(rng.random_range(0..sizes.controls), ProcessFault::Hangup, span)
            }
        };
        (fault, span.0)
    });
    fill_track(&mut rng, span, &mut work, |rng| {
        let (i, away) = (rng.random_range(0..sizes.controls), rng.random_range(0..1500));
        (Fault::Control(i, ProcessFault::Stop, Millis(away)), away + CATCH_UP_MS / 2)
    });
    work.sort_by_key(|scheduled| scheduled.at);
    work
}

/// Generates the faults of answers that end with their connection. They have a generator of their
/// own, so that the other faults of a seed don't depend on them.
pub fn unframed_plan(seed: u64, span: Millis, sizes: Sizes) -> Vec<ScheduledFault> {
    let mut rng = seeded(!seed);
    let mut faults = Vec::new();
    fill_track(&mut rng, span, &mut faults, |rng| {
        let i = rng.random_range(0..sizes.endpoints);
        let span = rng.random_range(200..2500);
        let is_cut = rng.random_bool(0.7);
        let misbehavior = if is_cut { Misbehavior::UnframedCut } else { Misbehavior::Unframed };
        (Fault::Endpoint(i, misbehavior, Millis(span)), span)
    });
    faults
}

/// Generates crashes of endpoints, with a generator of their own.
pub fn crash_plan(seed: u64, span: Millis, sizes: Sizes) -> Vec<ScheduledFault> {
    const SEED_MASK: u64 = 0x656e_6473;
    let mut rng = seeded(seed ^ SEED_MASK);
    let mut faults = Vec::new();
    fill_track(&mut rng, span, &mut faults, |rng| {
        let i = rng.random_range(0..sizes.endpoints);
        let crash = Crash {
            lead: Millis(rng.random_range(200..1500)),
            is_announced: rng.random_bool(0.3),
            remains: match rng.random_range(0..3) {
                0 => Remains::Refusal,
                1 => Remains::Listener,
                _ => Remains::FullQueue,
            },
            down: Millis(rng.random_range(300..2000)),
        };
        (Fault::Crash(i, crash), crash.lead.0 + crash.down.0)
    });
    faults
}

/// Generates the faults by which entry instances lose their links to endpoints, with a generator of
/// their own. The cuts of two tracks overlap.
pub fn cut_off_plan(seed: u64, span: Millis, sizes: Sizes) -> Vec<ScheduledFault> {
    const SEED_MASK: u64 = 0x6375_7473;
    let mut rng = seeded(seed ^ SEED_MASK);
    let mut faults = Vec::new();
    for _ in 0..2 {
        fill_track(&mut rng, span, &mut faults, |rng| {
            let i = rng.random_range(0..sizes.entries);
            let is_whole = rng.random_bool(0.7);
            let count = if is_whole { sizes.endpoints } else { sizes.endpoints / 2 };
            let span = rng.random_range(500..6000);
            (Fault::EntryCutOff(i, count, link_fault(rng), Millis(span)), span)
        });
    }
    faults
}

/// Fills the span with successive faults. `draw` returns a fault and the time that it occupies.
fn fill_track<F>(rng: &mut Rng, span: Millis, faults: &mut Vec<ScheduledFault>, mut draw: F)
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

/// Stops most entry instances nearly at once, or one after another at intervals shorter or longer
/// than a stop takes. The next series may begin while the last instances of the previous one still
/// stop.
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
