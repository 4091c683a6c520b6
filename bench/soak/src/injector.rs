//! Injects one fault and reverts it.

use std::sync::Arc;

use eyre::{Result, bail};
use sill_base::Millis;
use sill_standin::program::is_stop_signal;
use tokio::task::JoinSet;

use crate::backend::LEAVE_NOTICE;
use crate::cluster::{Cluster, STOP_LIMIT};
use crate::journal::{Event, Journal};
use crate::plan::{Crash, Fault, LinkFault, ProcessFault, Remains, Series};
use crate::process::Process;

/// Time that a program may take to exit after SIGTERM before it is killed.
const STOP_TIMEOUT: Millis = Millis(STOP_LIMIT.0 * 2);

/// How often the injector checks whether a stopping process has exited.
const STOP_POLL_INTERVAL: Millis = Millis(10);

/// Longest time between the exit of a process and its detection on a busy machine.
const EXIT_DETECTION_DELAY: Millis = Millis(300);

/// How long after a link fault held-back bytes may still break a request.
const CUT_GRACE: Millis = Millis(1000);

/// Time between the announcement of an endpoint that it is leaving and its crash.
const ANNOUNCED_BEFORE: Millis = Millis(300);

/// Injects faults into a cluster and notes them in the journal.
#[derive(Debug, Clone)]
pub struct FaultInjector {
    /// The cluster under test.
    pub cluster: Arc<tokio::sync::Mutex<Cluster>>,
    /// Receives the time span of each fault that can break requests.
    pub journal: Arc<Journal>,
}

/// Identifies a process of the cluster by its index.
#[derive(Debug, Clone, Copy)]
enum Target {
    Control(usize),
    Entry(usize),
}

impl Target {
    fn process_mut(self, cluster: &mut Cluster) -> &mut Process {
        match self {
            Self::Control(i) => &mut cluster.controls[i],
            Self::Entry(i) => &mut cluster.entries[i],
        }
    }
}

impl FaultInjector {
    /// Injects a fault and returns once it is over.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started, or does not exit in time after SIGTERM.
    pub async fn inject(self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Control(i, fault, span) => {
                let from = self.journal.now();
                let injected = self.inject_into_process(Target::Control(i), fault, span).await;
                self.journal.note_since(from, Event::ControlOutage(i));
                injected
            }
            Fault::Entry(i, fault, span) => {
                self.inject_into_process(Target::Entry(i), fault, span).await
            }
            Fault::AllControls(span) => {
                let from = self.journal.now();
                self.cluster.lock().await.controls.iter_mut().for_each(Process::kill);
                tokio::time::sleep(span.into()).await;
                let mut cluster = self.cluster.lock().await;
                let outages = (0..cluster.controls.len()).map(Event::ControlOutage);
                outages.for_each(|outage| self.journal.note_since(from, outage));
                cluster.controls.iter_mut().try_for_each(Process::start)
            }
            Fault::ControlLinks(i, fault, span) => {
                let from = self.journal.now();
                self.set_for(span, |c, on| c.set_control_links(i, on.then_some(fault))).await?;
                if !matches!(fault, LinkFault::Delay(_)) {
                    self.journal.note_since(from, Event::ControlOutage(i));
                }
                Ok(())
            }
            Fault::EntryLinks(i, fault, span) => {
                self.set_for(span, |c, on| c.set_entry_links(i, on.then_some(fault))).await
            }
            Fault::EntryCutOff(i, count, fault, span) => {
                let from = self.journal.now();
                let cut = self.cluster.lock().await.cut_entry_off(i, count, fault);
                tokio::time::sleep(span.into()).await;
                self.cluster.lock().await.reconnect_entry(cut);
                // Answers that were held back may still be late at the entry instance.
                self.note_disruption(Target::Entry(i), from, self.journal.now() + CUT_GRACE);
                Ok(())
            }
            Fault::EndpointLink(i, fault, span) => {
                let from = self.journal.now();
                self.set_for(span, |c, on| c.set_endpoint_link(i, on.then_some(fault))).await?;
                if !matches!(fault, LinkFault::Delay(_)) {
                    let until = self.journal.now() + CUT_GRACE;
                    self.journal.note(Event::EndpointOutage(i), from, until);
                }
                Ok(())
            }
            Fault::Endpoint(i, misbehavior, span) => {
                let from = self.journal.now();
                let set = self.set_for(span, |c, on| {
                    c.endpoints[i].set_misbehavior(on.then_some(misbehavior))
                });
                set.await?;
                self.journal.note_since(from, Event::Misbehavior(i));
                Ok(())
            }
            Fault::Replace(i) => {
                self.cluster.lock().await.endpoints[i].start_leaving();
                tokio::time::sleep(LEAVE_NOTICE.into()).await;
                let mut cluster = self.cluster.lock().await;
                let from = self.journal.now();
                let replaced = cluster.endpoints[i].replace().await;
                self.journal.note_since(from, Event::EndpointOutage(i));
                replaced
            }
            Fault::Leave(i) => {
                self.cluster.lock().await.endpoints[i].start_leaving();
                tokio::time::sleep(LEAVE_NOTICE.into()).await;
                self.cluster.lock().await.endpoints[i].replace().await
            }
            Fault::Crash(i, crash) => self.crash_endpoint(i, crash).await,
            Fault::Stops(series) => self.stop_in_series(series).await,
        }
    }

    /// Calls `set` with `true`, and with `false` once the span is over.
    async fn set_for<F>(&self, span: Millis, set: F) -> Result<()>
    where
        F: Fn(&Cluster, bool),
    {
        set(&*self.cluster.lock().await, true);
        tokio::time::sleep(span.into()).await;
        set(&*self.cluster.lock().await, false);
        Ok(())
    }

    async fn crash_endpoint(&self, i: usize, crash: Crash) -> Result<()> {
        self.cluster.lock().await.endpoints[i].vary_framing();
        tokio::time::sleep(crash.lead.into()).await;
        if crash.is_announced {
            self.cluster.lock().await.endpoints[i].start_leaving();
            tokio::time::sleep(ANNOUNCED_BEFORE.into()).await;
        }
        let mut cluster = self.cluster.lock().await;
        let from = self.journal.now();
        let crashed = cluster.endpoints[i].crash_in_streams(crash.remains).await;
        cluster.set_endpoint_full(i, crash.remains == Remains::FullQueue);
        drop(cluster);
        tokio::time::sleep(crash.down.into()).await;
        let mut cluster = self.cluster.lock().await;
        cluster.set_endpoint_full(i, false);
        let restarted = cluster.endpoints[i].restart().await;
        self.journal.note(Event::EndpointOutage(i), from, self.journal.now() + CUT_GRACE);
        crashed.and(restarted)
    }

    async fn inject_into_process(
        &self,
        target: Target,
        fault: ProcessFault,
        span: Millis,
    ) -> Result<()> {
        match fault {
            ProcessFault::Pause => return self.pause(target, span).await,
            ProcessFault::Hangup => {
                target.process_mut(&mut *self.cluster.lock().await).send_sighup();
                return Ok(());
            }
            ProcessFault::Kill => self.kill(target).await,
            ProcessFault::LoseDisk => {
                target.process_mut(&mut *self.cluster.lock().await).lose_disk()?
            }
            ProcessFault::Stop => self.stop(target, None).await?,
        }
        tokio::time::sleep(span.into()).await;
        target.process_mut(&mut *self.cluster.lock().await).start()
    }

    async fn kill(&self, target: Target) {
        let mut cluster = self.cluster.lock().await;
        let from = self.journal.now();
        target.process_mut(&mut cluster).kill();
        self.note_disruption(target, from, self.journal.now());
    }

    /// Pauses a process. Timeouts that expired during the pause may fire once it resumes, so the
    /// disruption is noted for one `STOP_LIMIT` longer.
    async fn pause(&self, target: Target, span: Millis) -> Result<()> {
        let from = self.journal.now();
        target.process_mut(&mut *self.cluster.lock().await).pause();
        tokio::time::sleep(span.into()).await;
        target.process_mut(&mut *self.cluster.lock().await).resume();
        self.note_disruption(target, from, self.journal.now() + STOP_LIMIT);
        Ok(())
    }

    fn note_disruption(&self, target: Target, from: Millis, until: Millis) {
        if let Target::Entry(i) = target {
            self.journal.note(Event::Disruption(i), from, until);
        }
    }

    /// Stops entry instances at the intervals of the series, and restarts each once it has exited.
    async fn stop_in_series(&self, series: Series) -> Result<()> {
        let mut tasks = JoinSet::new();
        for i in series.instances() {
            let injector = self.clone();
            tasks.spawn(async move {
                injector.stop(Target::Entry(i), series.again).await?;
                tokio::time::sleep(series.away.into()).await;
                injector.cluster.lock().await.entries[i].start()
            });
            tokio::time::sleep(series.gap.into()).await;
        }
        while let Some(stopped) = tasks.join_next().await {
            stopped??;
        }
        Ok(())
    }

    /// Sends SIGTERM to a process and waits until that child has exited, on its own or by another
    /// fault.
    async fn stop(&self, target: Target, again: Option<Millis>) -> Result<()> {
        let from = self.journal.now();
        let stopped_id = target.process_mut(&mut *self.cluster.lock().await).ask_to_stop();
        let Some(id) = stopped_id else { return Ok(()) };
        let mut again = again;
        while target.process_mut(&mut *self.cluster.lock().await).is_running(id) {
            let took = self.journal.now() - from;
            if again.is_some_and(|again| took >= again) {
                again = None;
                target.process_mut(&mut *self.cluster.lock().await).ask_to_stop();
            }
            if took >= STOP_TIMEOUT {
                return self.kill_overdue(target, from).await;
            }
            tokio::time::sleep(STOP_POLL_INTERVAL.into()).await;
        }
        if let Target::Entry(i) = target {
            self.journal.note_since(from, Event::GracefulStop(i));
            self.journal.note_since(self.journal.now() - EXIT_DETECTION_DELAY, Event::Exit(i));
        }
        let mut cluster = self.cluster.lock().await;
        let process = target.process_mut(&mut cluster);
        match process.take_exit_status() {
            // A signal that arrives before the handlers are installed terminates the process at
            // once, which is no failure: it has accepted no request by then.
            Some(status) if !status.success() && !is_stop_signal(status) => {
                bail!("{} exited with {status} after SIGTERM", process.name)
            }
            _ => Ok(()),
        }
    }

    /// Kills a process whose stop timed out. That is a finding only for an entry instance that no
    /// other fault disrupted meanwhile.
    async fn kill_overdue(&self, target: Target, from: Millis) -> Result<()> {
        let now = self.journal.now();
        let is_late = match target {
            Target::Entry(i) => !self.journal.overlaps(Event::Disruption(i), from, now),
            Target::Control(_) => false,
        };
        self.kill(target).await;
        if is_late {
            bail!("graceful_stop: {target:?} did not exit within {STOP_TIMEOUT} ms after SIGTERM");
        }
        Ok(())
    }
}
