//! Brings one fault about, and takes it back.

use std::sync::Arc;

use eyre::{Result, bail};
use sill_base::Millis;
use tokio::task::JoinSet;

use crate::backend::NOTICE;
use crate::cluster::{Cluster, STOP_LIMIT};
use crate::journal::{Event, Journal};
use crate::plan::{Fault, Hit, Series, Trouble};
use crate::process::Process;

/// How long a program may take to stop when asked; it is killed then.
const STOP: Millis = Millis(STOP_LIMIT.0 * 2);

/// How often a stop is looked at.
const LOOK: Millis = Millis(10);

/// How long ago a process may have ended when that is noticed, on a busy machine.
const NOTICED_LATE: Millis = Millis(300);

/// How long a cut on a way may be noticed afterwards, by bytes that were held back.
const AFTER_CUT: Millis = Millis(1000);

/// What faults are brought about on, and where they are noted.
#[derive(Debug, Clone)]
pub struct Hits {
    /// The system under test.
    pub cluster: Arc<tokio::sync::Mutex<Cluster>>,
    /// The faults.
    pub journal: Arc<Journal>,
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

impl Hits {
    /// Brings a fault about, and returns once it is over.
    ///
    /// # Errors
    ///
    /// Fails when a process can't be started, or does not stop when asked.
    pub async fn carry_out(self, fault: Fault) -> Result<()> {
        match fault {
            Fault::Control(i, hit, span) => self.hit(Place::Control(i), hit, span).await,
            Fault::Entry(i, hit, span) => self.hit(Place::Entry(i), hit, span).await,
            Fault::AllControls(span) => {
                self.cluster.lock().await.controls.iter_mut().for_each(Process::kill);
                tokio::time::sleep(span.into()).await;
                self.cluster.lock().await.controls.iter_mut().try_for_each(Process::start)
            }
            Fault::ControlLinks(i, trouble, span) => {
                self.for_a_while(span, |c, on| c.trouble_control(i, on.then_some(trouble))).await
            }
            Fault::EntryLinks(i, trouble, span) => {
                self.for_a_while(span, |c, on| c.trouble_entry(i, on.then_some(trouble))).await
            }
            Fault::EndpointLink(i, trouble, span) => {
                let from = self.journal.now();
                self.for_a_while(span, |c, on| c.trouble_endpoint(i, on.then_some(trouble)))
                    .await?;
                if !matches!(trouble, Trouble::Delay(_)) {
                    let until = self.journal.now() + AFTER_CUT;
                    self.journal.note(Event::Cut(i), from, until);
                }
                Ok(())
            }
            Fault::Endpoint(i, habit, span) => {
                self.for_a_while(span, |c, on| c.endpoints[i].set_habit(on.then_some(habit))).await
            }
            Fault::Replace(i) => {
                self.cluster.lock().await.endpoints[i].leave();
                tokio::time::sleep(NOTICE.into()).await;
                let mut cluster = self.cluster.lock().await;
                let from = self.journal.now();
                let replaced = cluster.endpoints[i].replace().await;
                self.journal.note_since(from, Event::Cut(i));
                replaced
            }
            Fault::Stops(series) => self.stop_in_series(series).await,
        }
    }

    /// Sets something, and takes it back after a while.
    async fn for_a_while<F>(&self, span: Millis, set: F) -> Result<()>
    where
        F: Fn(&Cluster, bool),
    {
        set(&*self.cluster.lock().await, true);
        tokio::time::sleep(span.into()).await;
        set(&*self.cluster.lock().await, false);
        Ok(())
    }

    async fn hit(&self, place: Place, hit: Hit, span: Millis) -> Result<()> {
        match hit {
            Hit::Pause => return self.pause(place, span).await,
            Hit::Hangup => {
                place.of(&mut *self.cluster.lock().await).hang_up();
                return Ok(());
            }
            Hit::Kill => self.kill(place).await,
            Hit::LoseDisk => place.of(&mut *self.cluster.lock().await).lose_disk()?,
            Hit::Stop => self.stop(place, None).await?,
        }
        tokio::time::sleep(span.into()).await;
        place.of(&mut *self.cluster.lock().await).start()
    }

    async fn kill(&self, place: Place) {
        let mut cluster = self.cluster.lock().await;
        let from = self.journal.now();
        place.of(&mut cluster).kill();
        self.strike(place, from, self.journal.now());
    }

    /// What stood still may find its time over when it goes on, until its next planned stop has ended.
    async fn pause(&self, place: Place, span: Millis) -> Result<()> {
        let from = self.journal.now();
        place.of(&mut *self.cluster.lock().await).pause();
        tokio::time::sleep(span.into()).await;
        place.of(&mut *self.cluster.lock().await).go_on();
        self.strike(place, from, self.journal.now() + STOP_LIMIT);
        Ok(())
    }

    fn strike(&self, place: Place, from: Millis, until: Millis) {
        if let Place::Entry(i) = place {
            self.journal.note(Event::Struck(i), from, until);
        }
    }

    /// Stops entry instances one after the other, and starts each again after a while.
    async fn stop_in_series(&self, series: Series) -> Result<()> {
        let mut under_way = JoinSet::new();
        for i in series.instances() {
            let hits = self.clone();
            under_way.spawn(async move {
                hits.stop(Place::Entry(i), series.again).await?;
                tokio::time::sleep(series.away.into()).await;
                hits.cluster.lock().await.entries[i].start()
            });
            tokio::time::sleep(series.gap.into()).await;
        }
        while let Some(stopped) = under_way.join_next().await {
            stopped??;
        }
        Ok(())
    }

    /// Asks a process to stop, and waits until that start of it has ended, by itself or by another fault.
    async fn stop(&self, place: Place, again: Option<Millis>) -> Result<()> {
        let from = self.journal.now();
        let asked = place.of(&mut *self.cluster.lock().await).ask_to_stop();
        let Some(id) = asked else { return Ok(()) };
        let mut again = again;
        while place.of(&mut *self.cluster.lock().await).runs(id) {
            let took = self.journal.now() - from;
            if again.is_some_and(|again| took >= again) {
                again = None;
                place.of(&mut *self.cluster.lock().await).ask_to_stop();
            }
            if took >= STOP {
                return self.end_late(place, from).await;
            }
            tokio::time::sleep(LOOK.into()).await;
        }
        if let Place::Entry(i) = place {
            self.journal.note_since(from, Event::Stopping(i));
            self.journal.note_since(self.journal.now() - NOTICED_LATE, Event::Ending(i));
        }
        let mut cluster = self.cluster.lock().await;
        let process = place.of(&mut cluster);
        match process.ended() {
            // Before it has set its handlers, the signal ends it at once; it has taken nothing then.
            Some(status) if !status.success() && status.code().is_some() => {
                bail!("{} was asked to stop and ended with {status}", process.name)
            }
            _ => Ok(()),
        }
    }

    async fn end_late(&self, place: Place, from: Millis) -> Result<()> {
        let now = self.journal.now();
        let is_late = match place {
            Place::Entry(i) => !self.journal.overlaps(Event::Struck(i), from, now),
            Place::Control(_) => false,
        };
        self.kill(place).await;
        if is_late {
            bail!("graceful_stop: {place:?} did not end in {STOP} ms");
        }
        Ok(())
    }
}
