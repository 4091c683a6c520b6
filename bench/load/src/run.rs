//! Sends a load over several threads, at a fixed rate or with a fixed number of requests under way.

use std::cell::RefCell;
use std::io::{self, IsTerminal, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use futures_util::future::join_all;
use ntex::client::Client;
use ntex::rt::{DefaultRuntime, System};
use sill_base::{Millis, Secret};
use sill_net::client;

use crate::exchange;
use crate::mix::Mix;
use crate::report::{Record, Report};

/// Connections of a thread that sends at a fixed rate.
const CONNECTIONS: usize = 16_384;

/// How requests follow each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pace {
    /// That many a second, whether or not earlier ones are answered.
    Rate(f64),
    /// That many under way, each followed by the next when it has ended.
    Concurrency(usize),
}

/// What to send.
#[derive(Debug, Clone)]
pub struct LoadCfg {
    /// Entry instances, taken in turn.
    pub entries: Vec<SocketAddr>,
    /// The caller's key.
    pub key: Secret,
    /// How requests follow each other.
    pub pace: Pace,
    /// How long to send.
    pub length: Millis,
    /// What to send.
    pub mix: Mix,
    /// Threads that send.
    pub threads: usize,
}

/// What the threads of a load share.
#[derive(Debug)]
struct Load {
    cfg: LoadCfg,
    run: u64,
    next: AtomicU64,
    ended: AtomicU64,
    began: Instant,
}

/// Runs a load to its end.
///
/// # Errors
///
/// Fails when a thread or its client can't be started.
pub fn run(cfg: LoadCfg) -> Result<Report> {
    let threads = cfg.threads;
    let load = Arc::new(Load {
        cfg,
        run: Millis::wall().0,
        next: AtomicU64::new(0),
        ended: AtomicU64::new(0),
        began: Instant::now(),
    });
    let mut senders = Vec::new();
    for thread in 0..threads {
        let load = load.clone();
        let sender = thread::Builder::new().name(format!("load-{thread}"));
        senders.push(sender.spawn(move || send_on_one_thread(&load, thread))?);
    }
    show_progress(&load, || senders.iter().all(thread::JoinHandle::is_finished));
    let mut record = Record::new()?;
    for sender in senders {
        record.merge(&sender.join().map_err(|_| eyre!("a sending thread panicked"))??)?;
    }
    Ok(record.report(load.began.elapsed()))
}

fn send_on_one_thread(load: &Arc<Load>, thread: usize) -> Result<Record> {
    let system = System::build().name("load").build(DefaultRuntime);
    system.block_on({
        let load = load.clone();
        async move {
            let sender = Rc::new(Sender {
                http: client::streaming(CONNECTIONS).await?,
                record: RefCell::new(Record::new()?),
                load: load.clone(),
            });
            match load.cfg.pace {
                Pace::Rate(rate) => at_rate(&sender, rate, thread).await,
                Pace::Concurrency(count) => under_way(&sender, share(count, &load, thread)).await,
            }
            let record = sender.record.borrow().clone();
            Ok(record)
        }
    })
}

fn share(count: usize, load: &Load, thread: usize) -> usize {
    count / load.cfg.threads + usize::from(thread < count % load.cfg.threads)
}

/// Sends each request at its own time, and counts its times from then. A tool that waits for a slow
/// answer before it sends the next request would leave out just the requests that had to wait.
async fn at_rate(sender: &Rc<Sender>, rate: f64, thread: usize) {
    let load = &sender.load;
    let step = load.cfg.threads as f64 / rate;
    let mut under_way = Vec::new();
    for turn in 0.. {
        let due =
            Duration::from_secs_f64(step * (turn as f64 + thread as f64 / load.cfg.threads as f64));
        if Millis::from(due) >= load.cfg.length {
            break;
        }
        let due = load.began + due;
        sleep_until(due).await;
        let sender = sender.clone();
        under_way.push(ntex::rt::spawn(async move { sender.send(due).await }));
    }
    join_all(under_way).await;
}

async fn under_way(sender: &Rc<Sender>, count: usize) {
    let load = &sender.load;
    let one = |_| async {
        while Millis::from(load.began.elapsed()) < load.cfg.length {
            sender.send(Instant::now()).await;
        }
    };
    join_all((0..count).map(one)).await;
}

async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        tokio::time::sleep(left).await;
    }
}

/// Sends requests of one thread.
struct Sender {
    load: Arc<Load>,
    http: Client,
    record: RefCell<Record>,
}

impl Sender {
    async fn send(&self, due: Instant) {
        let Load { cfg, run, next, ended, .. } = &*self.load;
        let number = next.fetch_add(1, Ordering::Relaxed);
        let entry = cfg.entries[number as usize % cfg.entries.len()];
        let request = cfg.mix.request(*run, number);
        let exchange = exchange::run(&self.http, entry, &cfg.key, &request, due).await;
        self.record.borrow_mut().add(&exchange);
        ended.fetch_add(1, Ordering::Relaxed);
    }
}

/// Shows progress on a terminal, and nothing where the output goes into a file.
fn show_progress(load: &Load, is_over: impl Fn() -> bool) {
    const POLL: Duration = Duration::from_millis(20);
    const SHOW_EVERY: u32 = 25;
    let mut err = io::stderr();
    let is_terminal = err.is_terminal();
    let mut polls = 0_u32;
    while !is_over() {
        thread::sleep(POLL);
        polls += 1;
        if is_terminal && polls.is_multiple_of(SHOW_EVERY) {
            let (sent, ended) =
                (load.next.load(Ordering::Relaxed), load.ended.load(Ordering::Relaxed));
            let secs = load.began.elapsed().as_secs();
            let _ = write!(err, "\r{secs} s: {sent} sent, {ended} ended ");
        }
    }
    if is_terminal {
        let _ = writeln!(err);
    }
}
