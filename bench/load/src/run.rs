//! Sends a load from several threads, at a fixed rate or with a fixed number of requests in flight.

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

/// Maximum connections of each sending thread.
const CONNECTIONS_PER_THREAD: usize = 16_384;

/// How requests are paced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Pace {
    /// Requests per second, whether or not earlier ones were answered.
    Rate(f64),
    /// Requests in flight at once; the next one is sent when one ends.
    Concurrency(usize),
}

/// Settings of a load.
#[derive(Debug, Clone)]
pub struct LoadCfg {
    /// Entry instances, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// API key of the caller.
    pub key: Secret,
    /// Fixed rate or fixed concurrency.
    pub pace: Pace,
    /// How long requests are sent.
    pub length: Millis,
    /// Kinds of requests and their weights.
    pub mix: Mix,
    /// Number of sending threads.
    pub threads: usize,
}

/// State shared by the sending threads.
#[derive(Debug)]
struct SharedLoad {
    cfg: LoadCfg,
    run: u64,
    next_number: AtomicU64,
    ended_count: AtomicU64,
    started_at: Instant,
}

/// Sends a load and waits until all its requests have ended.
///
/// # Errors
///
/// Fails when a thread or its client can't be started.
pub fn run(cfg: LoadCfg) -> Result<Report> {
    let threads = cfg.threads;
    let load = Arc::new(SharedLoad {
        cfg,
        run: Millis::wall().0,
        next_number: AtomicU64::new(0),
        ended_count: AtomicU64::new(0),
        started_at: Instant::now(),
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
        record.merge(
            &sender.join().map_err(|_| eyre!("a thread of the load generator panicked"))??,
        )?;
    }
    Ok(record.report(load.started_at.elapsed()))
}

fn send_on_one_thread(load: &Arc<SharedLoad>, thread: usize) -> Result<Record> {
    let system = System::build().name("load").build(DefaultRuntime);
    system.block_on({
        let load = load.clone();
        async move {
            let sender = Rc::new(Sender {
                http: client::streaming(CONNECTIONS_PER_THREAD).await?,
                record: RefCell::new(Record::new()?),
                load: load.clone(),
            });
            match load.cfg.pace {
                Pace::Rate(rate) => send_at_rate(&sender, rate, thread).await,
                Pace::Concurrency(count) => {
                    send_concurrently(&sender, share_of_thread(count, &load, thread)).await
                }
            }
            let record = sender.record.borrow().clone();
            Ok(record)
        }
    })
}

fn share_of_thread(count: usize, load: &SharedLoad, thread: usize) -> usize {
    count / load.cfg.threads + usize::from(thread < count % load.cfg.threads)
}

/// Sends each request when it is due and measures its latency from then. Waiting for a slow answer
/// before the next request is sent would omit exactly the requests that had to wait.
async fn send_at_rate(sender: &Rc<Sender>, rate: f64, thread: usize) {
    let load = &sender.load;
    let step = load.cfg.threads as f64 / rate;
    let mut in_flight = Vec::new();
    for turn in 0.. {
        let due =
            Duration::from_secs_f64(step * (turn as f64 + thread as f64 / load.cfg.threads as f64));
        if Millis::from(due) >= load.cfg.length {
            break;
        }
        let due = load.started_at + due;
        sleep_until(due).await;
        let sender = sender.clone();
        in_flight.push(ntex::rt::spawn(async move { sender.send(due).await }));
    }
    join_all(in_flight).await;
}

async fn send_concurrently(sender: &Rc<Sender>, count: usize) {
    let load = &sender.load;
    let send_in_turn = |_| async {
        while Millis::from(load.started_at.elapsed()) < load.cfg.length {
            sender.send(Instant::now()).await;
        }
    };
    join_all((0..count).map(send_in_turn)).await;
}

async fn sleep_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if !left.is_zero() {
        tokio::time::sleep(left).await;
    }
}

/// Sends the requests of one thread.
struct Sender {
    load: Arc<SharedLoad>,
    http: Client,
    record: RefCell<Record>,
}

impl Sender {
    async fn send(&self, due: Instant) {
        let SharedLoad { cfg, run, next_number, ended_count, .. } = &*self.load;
        let number = next_number.fetch_add(1, Ordering::Relaxed);
        let entry = cfg.entries[number as usize % cfg.entries.len()];
        let request = cfg.mix.request(*run, number);
        let exchange = exchange::run(&self.http, entry, &cfg.key, &request, due).await;
        self.record.borrow_mut().add(&exchange);
        ended_count.fetch_add(1, Ordering::Relaxed);
    }
}

/// Shows progress if stderr is a terminal.
fn show_progress(load: &SharedLoad, is_finished: impl Fn() -> bool) {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    const POLLS_PER_UPDATE: u32 = 25;
    let mut err = io::stderr();
    let is_terminal = err.is_terminal();
    let mut polls = 0_u32;
    while !is_finished() {
        thread::sleep(POLL_INTERVAL);
        polls += 1;
        if is_terminal && polls.is_multiple_of(POLLS_PER_UPDATE) {
            let (sent, ended_count) = (
                load.next_number.load(Ordering::Relaxed),
                load.ended_count.load(Ordering::Relaxed),
            );
            let secs = load.started_at.elapsed().as_secs();
            let _ = write!(err, "\r{secs} s: {sent} sent, {ended_count} ended ");
        }
    }
    if is_terminal {
        let _ = writeln!(err);
    }
}
