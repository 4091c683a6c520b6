//! Brings one fault about, and takes it back.

use std::sync::Arc;

use eyre::{Result, bail};
use sill_base::Millis;
use tokio::task::JoinSet;

use crate::backend::LEAVE_NOTICE;
use crate::cluster::{Cluster, STOP_LIMIT};
use crate::journal::{Event, Journal};
use crate::plan::{Fault, LinkFault, ProcessFault, Series};
use crate::process::Process;

/// How long a program may take to stop when asked; it is killed then.
const STOP_TIMEOUT: Millis = Millis(STOP_LIMIT.0 * 2);

/// How often a stop is looked at.
const STOP_POLL_INTERVAL: Millis = Millis(10);

/// How long ago a process may have ended when that is noticed, on a busy machine.
const EXIT_DETECTION_DELAY: Millis = Millis(300);

/// How long a cut on a way may be noticed afterwards, by bytes that were held back.
const CUT_GRACE: Millis = Millis(1000);

/// What faults are brought about on, and where they are noted.
#[derive(Debug, Clone)]
pub struct FaultInjector {
    /// The system under test.
    pub cluster: Arc<tokio::sync::Mutex<Cluster>>,
    /// The faults.
    pub journal: Arc<Journal>,
}

/// A process by its target.
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
    /// Brings a fault about, and returns once it is over.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started, or does not stop when asked.
    pub async fn inject(self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Control(i, fault, span) => {
                self.inject_into_process(Target::Control(i), fault, span).await
            }
            Fault::Entry(i, fault, span) => {
                self.inject_into_process(Target::Entry(i), fault, span).await
            }
            Fault::AllControls(span) => {
                self.cluster.lock().await.controls.iter_mut().for_each(Process::kill);
                tokio::time::sleep(span.into()).await;
                self.cluster.lock().await.controls.iter_mut().try_for_each(Process::start)
            }
            Fault::ControlLinks(i, fault, span) => {
                self.set_for(span, |c, on| c.set_control_links(i, on.then_some(fault))).await
            }
            Fault::EntryLinks(i, fault, span) => {
                self.set_for(span, |c, on| c.set_entry_links(i, on.then_some(fault))).await
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
                self.set_for(span, |c, on| {
                    c.endpoints[i].set_misbehavior(on.then_some(misbehavior))
                })
                .await
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
            Fault::Stops(series) => self.stop_in_series(series).await,
        }
    }

    /// Sets something, and takes it back after a while.
    async fn set_for<F>(&self, span: Millis, set: F) -> Result<()>
    where
        F: Fn(&Cluster, bool),
    {
        set(&*self.cluster.lock().await, true);
        tokio::time::sleep(span.into()).await;
        set(&*self.cluster.lock().await, false);
        Ok(())
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

    /// What stood still may find its time over when it goes on, until its next planned stop has ended.
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

    /// Stops entry instances one after the other, and starts each again after a while.
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

    /// Asks a process to stop, and waits until that start of it has ended, by itself or by another fault.
    async fn stop(&self, target: Target, again: Option<Millis>) -> Result<()> {
        let from = self.journal.now();
        let asked = target.process_mut(&mut *self.cluster.lock().await).ask_to_stop();
        let Some(id) = asked else { return Ok(()) };
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
            // Before it has set its handlers, the signal ends it at once; it has taken nothing then.
            Some(status) if !status.success() && status.code().is_some() => {
                bail!("{} was asked to stop and ended with {status}", process.name)
            }
            _ => Ok(()),
        }
    }

    async fn kill_overdue(&self, target: Target, from: Millis) -> Result<()> {
        let now = self.journal.now();
        let is_late = match target {
            Target::Entry(i) => !self.journal.overlaps(Event::Disruption(i), from, now),
            Target::Control(_) => false,
        };
        self.kill(target).await;
        if is_late {
            bail!("graceful_stop: {target:?} did not end in {STOP_TIMEOUT} ms");
        }
        Ok(())
    }
}
