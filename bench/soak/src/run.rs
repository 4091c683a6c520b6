//! One run: starts the cluster, injects faults, waits for recovery and checks the records.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, bail};
use parking_lot::Mutex;
use rand::Rng as _;
use sill_base::Millis;
use sill_base::random::seeded;
use sill_standin::program;
use tokio::runtime;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::backend::{Endpoint, Ledger};
use crate::caller::{self, CLERKS, CallerCfg, GUESTS, Kind, Record};
use crate::cluster::Cluster;
use crate::exchange;
use crate::injector::FaultInjector;
use crate::journal::{Event, Journal};
use crate::operator::{Observations, Operator};
use crate::plan::{self, Sizes};
use crate::rollouts::{self, RolloutOperator};
use crate::verdict::{self, Verdict};

/// Default number of processes of each kind: a few dozen processes and links in total.
pub const SIZES: Sizes = Sizes { controls: 3, entries: 3, endpoints: 4 };

/// Number of callers per entry instance, each with one connection. Half of them request streams.
const CALLERS_PER_ENTRY: usize = 6;

/// Maximum number of callers. All requests are kept in memory until the verdict: with 1,500 callers
/// the soak test itself used 22 GB within a minute and a half, on shared machines.
const MAX_CALLERS: usize = 200;

/// One in this many callers uses the account with a rate limit.
const LIMITED_EVERY: usize = 6;

/// One in this many callers uses a single entry instance.
const PINNED_EVERY: usize = 3;

/// Timeout for the cluster to serve, at the start and after the faults. It bounds no measured
/// figure: a run that reaches it has hung.
const HANG_TIMEOUT: Millis = Millis(40_000);

/// Number of consecutive requests that each entry instance must answer to count as serving.
const REQUIRED_ANSWERS: usize = 10;

/// Time for requests that are still in flight when callers stop: the timeout of callers, and the
/// rest of a pause of a process.
const SETTLE_TIME: Duration = Duration::from_millis(4500);

/// How long an endpoint is down after a crash.
const DOWN_TIME: Duration = Duration::from_millis(700);

/// Longest time between a crash and its detection on a busy machine.
const CRASH_DETECTION_DELAY: Millis = Millis(300);

/// How often a request may still reach endpoints once all entry instances can know of three
/// crashes, as the requirements state it.
const MAX_LATE_RUNS: usize = 3;

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakCfg {
    /// Path of the `sill` program.
    pub sill: PathBuf,
    /// Seed of the faults, the callers and the operator.
    pub seed: u64,
    /// Duration of fault injection in seconds.
    pub seconds: u64,
    /// Number of entry instances.
    pub entries: usize,
    /// Whether endpoints also crash, alone and under one request, and end answers with their
    /// connections.
    pub crashes: bool,
    /// Whether entry instances also lose their links to endpoints.
    pub cuts: bool,
    /// Whether the operator also orders roll-outs.
    pub rollouts: bool,
    /// Whether planned work takes the place of the usual faults. Endpoints then end their answers in
    /// different ways, and a part of the deadlines are near.
    pub planned: bool,
    /// Folder that keeps the logs of runs with findings.
    pub logs: PathBuf,
}

/// Seed and duration of a short run.
#[derive(Debug, Clone, Copy)]
pub struct ShortRun {
    /// Seed of the run.
    pub seed: u64,
    /// Duration of fault injection in seconds.
    pub seconds: u64,
}

/// The run in CI, which is short and still has a fault for each guarantee.
pub const SHORT_RUN: ShortRun = ShortRun { seed: 163, seconds: 10 };

/// The run in CI in which endpoints crash.
pub const SHORT_CRASH_RUN: ShortRun = ShortRun { seed: 4301, seconds: 10 };

/// The run in CI in which entry instances lose their links to endpoints.
pub const SHORT_CUT_RUN: ShortRun = ShortRun { seed: 4701, seconds: 12 };

/// The run in CI with planned work alone.
pub const SHORT_PLANNED_RUN: ShortRun = ShortRun { seed: 850_001, seconds: 12 };

/// The run in CI with roll-outs.
pub const SHORT_ROLLOUT_RUN: ShortRun = ShortRun { seed: 7301, seconds: 14 };

/// The fault injector of a run and the findings collected so far.
struct Run {
    injector: FaultInjector,
    findings: Arc<Mutex<Vec<String>>>,
}

/// Runs the soak test once with the given seed. All processes that it has started have ended when it
/// returns or panics.
///
/// # Errors
///
/// Fails when a program can't be started or the cluster never acknowledges a change. A violated
/// guarantee is no error but a finding of the verdict.
pub fn run_once(cfg: &SoakCfg) -> Result<Verdict> {
    let folder = cfg.logs.join(format!("seed-{}", cfg.seed));
    if folder.exists() {
        fs::remove_dir_all(&folder)?;
    }
    fs::create_dir_all(&folder)?;
    let folder = folder.canonicalize()?;
    let runtime = runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let verdict = runtime.block_on(async {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        tokio::select! {
            verdict = soak(cfg, &folder) => verdict,
            _ = interrupt.recv() => bail!("interrupted by SIGINT"),
            _ = terminate.recv() => bail!("interrupted by SIGTERM"),
        }
    });
    // All tasks share the cluster, and its processes end with the last of them.
    drop(runtime);
    let panics = find_panics(&folder)?;
    let mut verdict = match verdict {
        Ok(verdict) => verdict,
        Err(err) if panics.is_empty() => return Err(err),
        Err(err) => return Err(err.wrap_err(panics.join("\n"))),
    };
    verdict.findings.extend(panics);
    if verdict.findings.is_empty() {
        fs::remove_dir_all(&folder)?;
    }
    Ok(verdict)
}

/// Returns a finding for each panic in the logs of a folder.
fn find_panics(folder: &Path) -> Result<Vec<String>> {
    let mut findings = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        if entry.path().extension().is_some_and(|extension| extension == "log") {
            let lines = program::panics(&fs::read(entry.path())?);
            let log = entry.file_name();
            findings.extend(lines.iter().map(|line| format!("panic: {}: {line}", log.display())));
        }
    }
    Ok(findings)
}

async fn soak(cfg: &SoakCfg, folder: &Path) -> Result<Verdict> {
    let journal: Arc<Journal> = Arc::default();
    let ledger = Arc::new(Ledger::new(journal.clone()));
    let sizes = cfg.sizes();
    let mut cluster = Cluster::start(&cfg.sill, folder, sizes, cfg.rollouts, &ledger).await?;
    if cfg.planned {
        cluster.endpoints.iter_mut().for_each(Endpoint::mix_framings);
    }
    let (entries, controls) = (cluster.entry_addresses.clone(), cluster.control_addresses.clone());
    let cluster = Arc::new(tokio::sync::Mutex::new(cluster));
    let injector = FaultInjector { cluster, journal: journal.clone() };
    let run = Run { injector, findings: Arc::default() };
    let observations: Arc<Mutex<Observations>> = Arc::default();
    let mut operator = Operator::new(cfg.seed, controls.clone(), observations.clone());
    let began = journal.now();
    while !operator.change().await {
        if journal.now() - began > HANG_TIMEOUT {
            run.note_exits().await;
            bail!(
                "no settings change was acknowledged within {HANG_TIMEOUT} ms; see the logs in {}; \
                 findings: {:?}",
                folder.display(),
                run.findings.lock()
            );
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
    if cfg.crashes {
        run.watch_crashes(sizes.endpoints).await;
        callers.spawn(send_crashing(cfg.seed, entries.clone(), stopped.clone()));
    }
    let operating = tokio::spawn(operator.run(stopped));
    let (end_orders, no_more_orders) = watch::channel(!cfg.rollouts);
    let ordering = RolloutOperator::new(cfg.seed, controls, &run.injector, &ledger);
    let ordering = tokio::spawn(ordering.run(no_more_orders));
    let faults = run.inject_faults(cfg).await;
    end_orders.send_replace(true);
    let (orders, rollout_findings) = ordering.await?;
    run.wait_until_served(&entries, "end").await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    let mut operator = operating.await?;
    tokio::time::sleep(SETTLE_TIME).await;
    if cfg.crashes {
        run.check_blocked(&entries, &ledger).await;
    }
    run.wait_until_read(&mut operator).await;
    run.note_exits().await;
    let records = records.lock();
    let mut findings = verdict::check(&records, &ledger, &journal);
    findings.extend(ledger.pauses.check(&records, &journal));
    let arrivals = ledger.versions.arrivals();
    findings.extend(rollout_findings);
    findings.extend(rollouts::check(&orders, &arrivals, &journal));
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
        pauses: ledger.pauses.count(),
        cut: verdict::count_cuts(&records, &ledger, &journal),
        near: verdict::count_near(&records, &ledger),
        faults,
        changes: observations.lock().changes,
        rollouts: orders.iter().map(|order| order.summary(&arrivals)).collect(),
        findings,
    })
}

fn caller_cfg(cfg: &SoakCfg, i: usize, entries: Vec<SocketAddr>) -> CallerCfg {
    CallerCfg {
        name: format!("r{i}"),
        seed: cfg.seed * 1000 + i as u64,
        client: if i % LIMITED_EVERY == 2 { &GUESTS } else { &CLERKS },
        is_streaming: i % 2 == 1,
        has_near_deadlines: cfg.planned,
        pinned_entry: i.is_multiple_of(PINNED_EVERY).then_some(i / PINNED_EVERY % entries.len()),
        entries,
    }
}

impl SoakCfg {
    fn sizes(&self) -> Sizes {
        let endpoints = if self.rollouts { rollouts::ENDPOINTS } else { SIZES.endpoints };
        Sizes { entries: self.entries, endpoints, ..SIZES }
    }
}

impl Run {
    /// Injects all faults of the plan and waits until they are over. Returns the number of faults.
    async fn inject_faults(&self, cfg: &SoakCfg) -> usize {
        let span = Millis::from_secs(cfg.seconds);
        let base = if cfg.planned { plan::planned_work } else { plan::plan };
        let mut plan = base(cfg.seed, span, cfg.sizes());
        if cfg.crashes {
            plan.extend(plan::unframed_plan(cfg.seed, span, cfg.sizes()));
            plan.extend(plan::crash_plan(cfg.seed, span, cfg.sizes()));
        }
        if cfg.cuts {
            plan.extend(plan::cut_off_plan(cfg.seed, span, cfg.sizes()));
        }
        plan.sort_by_key(|scheduled| scheduled.at);
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

    /// Crashes each endpoint that runs the request that crashes them, and restarts it.
    async fn watch_crashes(&self, endpoints: usize) {
        for i in 0..endpoints {
            let FaultInjector { cluster, journal } = self.injector.clone();
            let signal = cluster.lock().await.endpoints[i].crash_signal();
            let findings = self.findings.clone();
            tokio::spawn(async move {
                loop {
                    signal.notified().await;
                    let from = journal.now() - CRASH_DETECTION_DELAY;
                    cluster.lock().await.endpoints[i].crash().await;
                    tokio::time::sleep(DOWN_TIME).await;
                    if let Err(err) = cluster.lock().await.endpoints[i].restart().await {
                        findings.lock().push(format!("soak: {err:#}"));
                    }
                    journal.note_since(from, Event::EndpointOutage(i));
                }
            });
        }
    }

    /// Checks, after all faults, that the request that crashes endpoints is sent to no more than
    /// [`MAX_LATE_RUNS`] once all entry instances can know of three crashes.
    async fn check_blocked(&self, entries: &[SocketAddr], ledger: &Ledger) {
        let before = ledger.crashing_runs();
        if before < 3 {
            return;
        }
        for number in 0..4 * entries.len() {
            caller::send_crashing(entries[number % entries.len()], number).await;
        }
        let late = ledger.crashing_runs() - before;
        if late > MAX_LATE_RUNS {
            let what = format!("blocked: {late} runs of a request after {before} crashes");
            self.findings.lock().push(what);
        }
    }

    /// Adds a finding for each process that ended by itself.
    async fn note_exits(&self) {
        let mut cluster = self.injector.cluster.lock().await;
        let Cluster { controls, entries, .. } = &mut *cluster;
        for process in controls.iter_mut().chain(entries) {
            self.findings.lock().extend(process.take_own_ends());
        }
    }

    /// Waits until each entry instance answers consecutive requests. One that does not within
    /// `HANG_TIMEOUT` is a finding.
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
                let what = format!(
                    "recovery: g{i} doesn't serve at the {when} of the run within {HANG_TIMEOUT} ms"
                );
                self.findings.lock().push(what);
            }
        }
    }

    /// Waits until one more read returns settings that are not marked as stale. The operator checks
    /// them against the acknowledged changes.
    async fn wait_until_read(&self, operator: &mut Operator) {
        let began = self.injector.journal.now();
        while !operator.read().await {
            if self.injector.journal.now() - began > HANG_TIMEOUT {
                return self
                    .findings
                    .lock()
                    .push("recovery: no control instance returns current settings".to_owned());
            }
        }
    }
}

/// Sends the request that crashes endpoints to any entry instance, again and again.
async fn send_crashing(seed: u64, entries: Vec<SocketAddr>, stop: watch::Receiver<bool>) {
    let mut rng = seeded(seed);
    for number in 0.. {
        if *stop.borrow() {
            return;
        }
        let entry = entries[rng.random_range(0..entries.len())];
        caller::send_crashing(entry, number).await;
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..600))).await;
    }
}

/// Returns once an entry instance has answered `REQUIRED_ANSWERS` consecutive requests.
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
