//! One run: start, faults, recovery, verdict.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, bail};
use parking_lot::Mutex;
use sill_base::Millis;
use tokio::runtime;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::backend::Ledger;
use crate::caller::{self, CLERKS, CallerCfg, GUESTS, Kind, Record};
use crate::cluster::Cluster;
use crate::exchange;
use crate::injector::FaultInjector;
use crate::journal::Journal;
use crate::operator::{Observations, Operator};
use crate::plan::{self, Sizes};
use crate::verdict::{self, Verdict};

/// How many there are of each by default: a few dozen processes and ways in all.
pub const SIZES: Sizes = Sizes { controls: 3, entries: 3, endpoints: 4 };

/// Callers for each entry instance, each with one connection. Half of them ask for streams.
const CALLERS_PER_ENTRY: usize = 6;

/// Callers at most. All requests are kept until the verdict: with 1,500 callers the soak itself took 22 GB
/// within a minute and a half, on machines that others use as well.
const MAX_CALLERS: usize = 200;

/// One caller in so many has an account with a limit.
const LIMITED_EVERY: usize = 6;

/// One caller in so many comes to one entry instance only.
const PINNED_EVERY: usize = 3;

/// How long everything may take to serve, at the start and after the faults. No figure is measured by
/// it; a run that reaches it has hung.
const HANG_TIMEOUT: Millis = Millis(40_000);

/// Requests in a row that each entry instance must answer at the end.
const REQUIRED_ANSWERS: usize = 10;

/// Time for what is still on its way when callers stop: their patience, and a paused process.
const SETTLE_TIME: Duration = Duration::from_millis(4500);

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakCfg {
    /// The program to run.
    pub sill: PathBuf,
    /// The seed.
    pub seed: u64,
    /// How long faults go on.
    pub seconds: u64,
    /// How many entry instances there are.
    pub entries: usize,
    /// Where the logs of a run with findings stay.
    pub logs: PathBuf,
}

/// The seed and length of a run that is short and still has a fault for each promise.
#[derive(Debug, Clone, Copy)]
pub struct ShortRun {
    /// The seed.
    pub seed: u64,
    /// How long faults go on.
    pub seconds: u64,
}

/// The run that CI plays.
pub const SHORT_RUN: ShortRun = ShortRun { seed: 163, seconds: 10 };

/// What a run goes through.
struct Run {
    injector: FaultInjector,
    findings: Arc<Mutex<Vec<String>>>,
}

/// Runs once.
///
/// # Errors
///
/// Fails when a program can't be started; what breaks a promise is a finding of the verdict.
pub fn run_once(cfg: &SoakCfg) -> Result<Verdict> {
    let folder = cfg.logs.join(format!("seed-{}", cfg.seed));
    if folder.exists() {
        fs::remove_dir_all(&folder)?;
    }
    fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let verdict = runtime.block_on(soak(cfg, &folder))?;
    runtime.shutdown_background();
    if verdict.findings.is_empty() {
        fs::remove_dir_all(&folder)?;
    }
    Ok(verdict)
}

async fn soak(cfg: &SoakCfg, folder: &Path) -> Result<Verdict> {
    let ledger = Arc::new(Ledger::default());
    let sizes = cfg.sizes();
    let cluster = Cluster::start(&cfg.sill, folder, sizes, &ledger).await?;
    let (entries, controls) = (cluster.entry_addresses.clone(), cluster.control_addresses.clone());
    let cluster = Arc::new(tokio::sync::Mutex::new(cluster));
    let journal: Arc<Journal> = Arc::default();
    let injector = FaultInjector { cluster, journal: journal.clone() };
    let run = Run { injector, findings: Arc::default() };
    let observations: Arc<Mutex<Observations>> = Arc::default();
    let mut operator = Operator::new(cfg.seed, controls, observations.clone());
    let began = journal.now();
    while !operator.change().await {
        if journal.now() - began > HANG_TIMEOUT {
            bail!("no change was acknowledged; see {}", folder.display());
        }
    }
    run.wait_until_served(&entries, "start").await;
    let (stop, stopped) = watch::channel(false);
    let records: Arc<Mutex<Vec<Record>>> = Arc::default();
    let mut callers = JoinSet::new();
    for i in 0..MAX_CALLERS.min(CALLERS_PER_ENTRY * sizes.entries) {
        let caller = caller_cfg(cfg, i, entries.clone());
        callers.spawn(caller::run(caller, journal.clone(), records.clone(), stopped.clone()));
    }
    let operating = tokio::spawn(operator.run(stopped));
    let faults = run.inject_faults(cfg).await;
    run.wait_until_served(&entries, "end").await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    let mut operator = operating.await?;
    tokio::time::sleep(SETTLE_TIME).await;
    run.wait_until_read(&mut operator).await;
    run.note_exits().await;
    let records = records.lock();
    let mut findings = verdict::check(&records, &ledger, &journal);
    findings.append(&mut run.findings.lock());
    findings.append(&mut observations.lock().findings);
    let answers = || records.iter().filter_map(|record| record.answer.as_ref());
    Ok(Verdict {
        seed: cfg.seed,
        requests: records.len(),
        answered: answers().filter(|a| a.status == 200 && a.body.is_some()).count(),
        refused: answers().filter(|a| verdict::is_refusal(a)).count(),
        limit_used: verdict::limit_used(&GUESTS, &records, &ledger),
        limit_most: verdict::limit_most(&GUESTS, &records, &ledger),
        cut: verdict::count_cuts(&records, &ledger, &journal),
        faults,
        changes: observations.lock().changes,
        findings,
    })
}

fn caller_cfg(cfg: &SoakCfg, i: usize, entries: Vec<SocketAddr>) -> CallerCfg {
    CallerCfg {
        name: format!("r{i}"),
        seed: cfg.seed * 1000 + i as u64,
        client: if i % LIMITED_EVERY == 2 { &GUESTS } else { &CLERKS },
        is_streaming: i % 2 == 1,
        pinned_entry: i.is_multiple_of(PINNED_EVERY).then_some(i / PINNED_EVERY % entries.len()),
        entries,
    }
}

impl SoakCfg {
    fn sizes(&self) -> Sizes {
        Sizes { entries: self.entries, ..SIZES }
    }
}

impl Run {
    /// Carries out the plan, and waits until all faults are over.
    async fn inject_faults(&self, cfg: &SoakCfg) -> usize {
        let plan = plan::plan(cfg.seed, Millis::from_secs(cfg.seconds), cfg.sizes());
        let journal = &self.injector.journal;
        let (count, began) = (plan.len(), journal.now());
        let mut tasks = JoinSet::new();
        for scheduled in plan {
            let until = (began + scheduled.at).since(journal.now());
            tokio::time::sleep(until.into()).await;
            self.note_exits().await;
            println!("at={} now={} fault={:?}", scheduled.at, journal.now(), scheduled.fault);
            let (injector, findings) = (self.injector.clone(), self.findings.clone());
            tasks.spawn(async move {
                if let Err(err) = injector.inject(scheduled.fault).await {
                    findings.lock().push(format!("soak: {err:#}"));
                }
            });
        }
        while tasks.join_next().await.is_some() {}
        count
    }

    /// Notes programs that ended by themselves, as when an invariant did not hold.
    async fn note_exits(&self) {
        let mut cluster = self.injector.cluster.lock().await;
        let Cluster { controls, entries, .. } = &mut *cluster;
        for process in controls.iter_mut().chain(entries) {
            if process.is_expected_running()
                && let Some(status) = process.take_exit_status()
            {
                self.findings.lock().push(format!("process: {} ended, {status}", process.name));
            }
        }
    }

    /// Waits until each entry instance answers several requests in a row.
    async fn wait_until_served(&self, entries: &[SocketAddr], when: &str) {
        let mut waits = JoinSet::new();
        for (i, entry) in entries.iter().copied().enumerate() {
            let name = format!("{when}-{i}");
            waits.spawn(async move {
                let served =
                    tokio::time::timeout(HANG_TIMEOUT.into(), wait_until_serving(entry, name))
                        .await;
                served.err().map(|_| i)
            });
        }
        while let Some(waited) = waits.join_next().await {
            if let Ok(Some(i)) = waited {
                let what = format!("recovery: g{i} doesn't serve at the {when}");
                self.findings.lock().push(what);
            }
        }
    }

    /// Waits until the settings are read as new once more; they are checked on the way.
    async fn wait_until_read(&self, operator: &mut Operator) {
        let began = self.injector.journal.now();
        while !operator.read().await {
            if self.injector.journal.now() - began > HANG_TIMEOUT {
                return self.findings.lock().push("recovery: no settings are read".to_owned());
            }
        }
    }
}

/// Returns once an entry instance has answered several requests in a row.
async fn wait_until_serving(entry: SocketAddr, name: String) {
    let mut in_a_row = 0;
    for number in 0.. {
        let probe = Record::new(format!("{name}-{number}"), Kind::Idempotent);
        let sent = exchange::send_once(entry, caller::request(&probe), Millis(2000)).await;
        in_a_row = match sent {
            Ok(got) if got.status == 200 => in_a_row + 1,
            _ => 0,
        };
        if in_a_row == REQUIRED_ANSWERS {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
