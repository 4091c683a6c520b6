//! One run: start, faults, recovery, verdict.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, bail};
use parking_lot::Mutex;
use sill_base::{Clock, Millis};
use tokio::runtime;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::backend::{Ledger, NOTICE};
use crate::caller::{self, Kind, Record};
use crate::cluster::Cluster;
use crate::exchange;
use crate::operator::{Operator, Seen};
use crate::plan::{self, Fault, Hit, Sizes};
use crate::process::Process;
use crate::verdict::{self, Verdict};

/// How many there are of each: a few dozen processes and ways in all.
const SIZES: Sizes = Sizes { controls: 3, entries: 3, endpoints: 4 };

/// Callers, each with one connection.
const CALLERS: usize = 8;

/// How long everything may take to serve, at the start and after the faults. No figure is measured by
/// it; a run that reaches it has hung.
const HUNG: Millis = Millis(40_000);

/// Requests in a row that each entry instance must answer at the end.
const IN_A_ROW: usize = 10;

/// Time for what is still on its way when callers stop: their patience, and a paused process.
const SETTLE: Duration = Duration::from_millis(3500);

/// How long a program may take to stop when asked; it is killed then.
const STOP: Millis = Millis(6000);

/// Settings of a run.
#[derive(Debug, Clone)]
pub struct SoakCfg {
    /// The program to run.
    pub sill: PathBuf,
    /// The seed.
    pub seed: u64,
    /// How long faults go on.
    pub seconds: u64,
    /// Where the logs of a run with findings stay.
    pub logs: PathBuf,
}

/// The seed and length of a run that is short and still has a fault for each promise.
#[derive(Debug, Clone, Copy)]
pub struct Short {
    /// The seed.
    pub seed: u64,
    /// How long faults go on.
    pub seconds: u64,
}

/// The run that CI plays.
pub const SHORT: Short = Short { seed: 27, seconds: 8 };

/// What a run goes through.
struct Run {
    cluster: Arc<tokio::sync::Mutex<Cluster>>,
    clock: Clock,
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
    let cluster = Cluster::start(&cfg.sill, folder, SIZES, &ledger).await?;
    let (entries, controls) = (cluster.entry_addresses.clone(), cluster.control_addresses.clone());
    let run = Run {
        cluster: Arc::new(tokio::sync::Mutex::new(cluster)),
        clock: Clock::start(),
        findings: Arc::default(),
    };
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let mut operator = Operator::new(cfg.seed, controls, seen.clone());
    let began = run.clock.now();
    while !operator.change().await {
        if run.clock.now() - began > HUNG {
            bail!("no change was acknowledged; see {}", folder.display());
        }
    }
    run.wait_until_served(&entries, "start").await;
    let (stop, stopped) = watch::channel(false);
    let records: Arc<Mutex<Vec<Record>>> = Arc::default();
    let mut callers = JoinSet::new();
    for i in 0..CALLERS {
        let (name, seed) = (format!("r{i}"), cfg.seed * 1000 + i as u64);
        let (entries, records) = (entries.clone(), records.clone());
        callers.spawn(caller::run(name, seed, entries, records, stopped.clone()));
    }
    let operating = tokio::spawn(operator.run(stopped));
    let faults = run.bring_about(cfg).await;
    run.wait_until_served(&entries, "end").await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    let mut operator = operating.await?;
    tokio::time::sleep(SETTLE).await;
    run.wait_until_read(&mut operator).await;
    run.note_ended().await;
    let records = records.lock();
    let mut findings = verdict::check(&records, &ledger);
    findings.append(&mut run.findings.lock());
    findings.append(&mut seen.lock().findings);
    let answers = || records.iter().filter_map(|record| record.answer.as_ref());
    Ok(Verdict {
        seed: cfg.seed,
        requests: records.len(),
        answered: answers().filter(|a| a.status == 200 && a.body.is_some()).count(),
        refused: answers().filter(|a| verdict::is_refusal(a)).count(),
        faults,
        changes: seen.lock().changes,
        findings,
    })
}

impl Run {
    /// Carries out the plan, and waits until all faults are over.
    async fn bring_about(&self, cfg: &SoakCfg) -> usize {
        let plan = plan::plan(cfg.seed, Millis::from_secs(cfg.seconds), SIZES);
        let (count, began) = (plan.len(), self.clock.now());
        let mut under_way = JoinSet::new();
        for planned in plan {
            let until = (began + planned.at).since(self.clock.now());
            tokio::time::sleep(until.into()).await;
            self.note_ended().await;
            println!("at={} fault={:?}", planned.at, planned.fault);
            let (cluster, findings) = (self.cluster.clone(), self.findings.clone());
            under_way.spawn(async move {
                if let Err(err) = carry_out(&cluster, planned.fault).await {
                    findings.lock().push(format!("soak: {err:#}"));
                }
            });
        }
        while under_way.join_next().await.is_some() {}
        count
    }

    /// Notes programs that ended by themselves, as when an invariant did not hold.
    async fn note_ended(&self) {
        let mut cluster = self.cluster.lock().await;
        let Cluster { controls, entries, .. } = &mut *cluster;
        for process in controls.iter_mut().chain(entries) {
            if process.is_expected()
                && let Some(status) = process.ended()
            {
                self.findings.lock().push(format!("process: {} ended, {status}", process.name));
            }
        }
    }

    /// Waits until each entry instance answers several requests in a row.
    async fn wait_until_served(&self, entries: &[SocketAddr], when: &str) {
        let began = self.clock.now();
        for (i, entry) in entries.iter().enumerate() {
            let mut in_a_row = 0;
            for number in 0.. {
                if in_a_row == IN_A_ROW {
                    break;
                }
                if self.clock.now() - began > HUNG {
                    let what = format!("recovery: g{i} doesn't serve at the {when}");
                    return self.findings.lock().push(what);
                }
                let id = format!("{when}-{i}-{number}");
                let probe =
                    Record { id, kind: Kind::Idempotent, body: Default::default(), answer: None };
                let sent = exchange::once(*entry, caller::request(&probe), Millis(2000)).await;
                in_a_row = match sent {
                    Ok(got) if got.status == 200 => in_a_row + 1,
                    _ => 0,
                };
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }

    /// Waits until the settings are read as new once more; they are checked on the way.
    async fn wait_until_read(&self, operator: &mut Operator) {
        let began = self.clock.now();
        while !operator.read().await {
            if self.clock.now() - began > HUNG {
                return self.findings.lock().push("recovery: no settings are read".to_owned());
            }
        }
    }
}

async fn carry_out(cluster: &tokio::sync::Mutex<Cluster>, fault: Fault) -> Result<()> {
    match fault {
        Fault::Control(i, hit, span) => hit_process(cluster, Place::Control(i), hit, span).await,
        Fault::Entry(i, hit, span) => hit_process(cluster, Place::Entry(i), hit, span).await,
        Fault::AllControls(span) => {
            cluster.lock().await.controls.iter_mut().for_each(|control| control.kill());
            tokio::time::sleep(span.into()).await;
            cluster.lock().await.controls.iter_mut().try_for_each(|control| control.start())
        }
        Fault::ControlLinks(i, trouble, span) => {
            for_a_while(cluster, span, |c, on| c.trouble_control(i, on.then_some(trouble))).await
        }
        Fault::EntryLinks(i, trouble, span) => {
            for_a_while(cluster, span, |c, on| c.trouble_entry(i, on.then_some(trouble))).await
        }
        Fault::EndpointLink(i, trouble, span) => {
            for_a_while(cluster, span, |c, on| c.trouble_endpoint(i, on.then_some(trouble))).await
        }
        Fault::Endpoint(i, habit, span) => {
            for_a_while(cluster, span, |c, on| c.endpoints[i].set_habit(on.then_some(habit))).await
        }
        Fault::Replace(i) => {
            cluster.lock().await.endpoints[i].leave();
            tokio::time::sleep(NOTICE.into()).await;
            cluster.lock().await.endpoints[i].replace().await
        }
    }
}

/// Sets something, and takes it back after a while.
async fn for_a_while<F>(cluster: &tokio::sync::Mutex<Cluster>, span: Millis, set: F) -> Result<()>
where
    F: Fn(&Cluster, bool),
{
    set(&*cluster.lock().await, true);
    tokio::time::sleep(span.into()).await;
    set(&*cluster.lock().await, false);
    Ok(())
}

/// A process by its place.
#[derive(Debug, Clone, Copy)]
enum Place {
    Control(usize),
    Entry(usize),
}

impl Place {
    fn of(self, cluster: &mut Cluster) -> &mut Process {
        match self {
            Self::Control(i) => &mut cluster.controls[i],
            Self::Entry(i) => &mut cluster.entries[i],
        }
    }
}

async fn hit_process(
    cluster: &tokio::sync::Mutex<Cluster>,
    place: Place,
    hit: Hit,
    span: Millis,
) -> Result<()> {
    match hit {
        Hit::Pause => {
            place.of(&mut *cluster.lock().await).pause();
            tokio::time::sleep(span.into()).await;
            place.of(&mut *cluster.lock().await).go_on();
            return Ok(());
        }
        Hit::Kill => place.of(&mut *cluster.lock().await).kill(),
        Hit::LoseDisk => place.of(&mut *cluster.lock().await).lose_disk()?,
        Hit::Stop => stop(cluster, place).await,
    }
    tokio::time::sleep(span.into()).await;
    place.of(&mut *cluster.lock().await).start()
}

async fn stop(cluster: &tokio::sync::Mutex<Cluster>, place: Place) {
    const LOOK: Millis = Millis(50);
    place.of(&mut *cluster.lock().await).ask_to_stop();
    for _ in 0..STOP.0 / LOOK.0 {
        if place.of(&mut *cluster.lock().await).ended().is_some() {
            return;
        }
        tokio::time::sleep(LOOK.into()).await;
    }
    place.of(&mut *cluster.lock().await).kill();
}
