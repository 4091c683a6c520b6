//! Signals that ask a program to stop.

use std::io;
use std::thread;

use eyre::Result;
use sill_base::{Clock, Millis, event};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

/// The stop signals of a process, heard on a thread of their own.
///
/// A program makes it before anything else. Until the handlers are set, a signal ends the process on the
/// spot, with whatever it has taken on by then. The thread does nothing else, so that the time at which a
/// signal came is known also where the program's own threads are busy.
#[derive(Debug)]
pub struct StopSignals {
    heard: mpsc::UnboundedReceiver<Heard>,
    clock: Clock,
}

/// A signal that came.
#[derive(Debug, Clone, Copy)]
struct Heard {
    kind: Kind,
    at: Millis,
}

/// What a process is told by a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Terminate,
    Interrupt,
    Hangup,
}

/// The handlers.
struct Handlers {
    terminate: Signal,
    interrupt: Signal,
    /// Without a handler a hang-up ends the process on the spot, and what is in flight is cut. It comes
    /// when a terminal closes, and from supervisors that want settings read anew.
    hangup: Signal,
}

impl StopSignals {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Fails when the handlers can't be set or the thread can't be started.
    pub fn listen() -> Result<Self> {
        let runtime = Builder::new_current_thread().enable_io().build()?;
        let handlers = {
            let _guard = runtime.enter();
            Handlers::set()?
        };
        let (clock, (tx, heard)) = (Clock::start(), mpsc::unbounded_channel());
        let hear = move || hear(&runtime, handlers, clock, &tx);
        thread::Builder::new().name("signals".into()).spawn(hear)?;
        Ok(Self { heard, clock })
    }

    /// Waits for the next SIGTERM or SIGINT, and returns how long ago it came.
    ///
    /// Whoever sent it counts from there until it kills the process. A program that was still starting, or
    /// whose tasks wait for each other on a small part of a core, comes to it late.
    pub async fn next(&mut self) -> Millis {
        let heard = self.next_heard().await;
        self.clock.now() - heard.at
    }

    /// Waits for the next SIGINT, with which an operator at a terminal cuts a stop short.
    ///
    /// A further SIGTERM does not: platforms and supervisors repeat it while a process still runs, and what
    /// is in flight would be cut though there was time left for it.
    pub async fn interrupted(&mut self) {
        while self.next_heard().await.kind != Kind::Interrupt {}
    }

    async fn next_heard(&mut self) -> Heard {
        match self.heard.recv().await {
            Some(heard) => heard,
            None => std::future::pending().await,
        }
    }
}

impl Handlers {
    fn set() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

impl Kind {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::Hangup => "SIGHUP",
        }
    }
}

/// Passes signals on until nobody listens any more.
fn hear(
    runtime: &Runtime,
    mut handlers: Handlers,
    clock: Clock,
    tx: &mpsc::UnboundedSender<Heard>,
) {
    runtime.block_on(async {
        loop {
            let kind = tokio::select! {
                _ = handlers.terminate.recv() => Kind::Terminate,
                _ = handlers.interrupt.recv() => Kind::Interrupt,
                _ = handlers.hangup.recv() => Kind::Hangup,
                () = tx.closed() => return,
            };
            let at = clock.now();
            event!(Info, "signal", name = kind.name());
            if kind != Kind::Hangup && tx.send(Heard { kind, at }).is_err() {
                return;
            }
        }
    });
}
