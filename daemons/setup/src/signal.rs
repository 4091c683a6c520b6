//! Stop signals of a process, with the time at which each was received.

use std::io;
use std::thread;

use eyre::Result;
use sill_base::{Clock, Millis, event};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;

/// The stop signals of a process, received on a dedicated thread.
///
/// A program creates it before anything else. Until the handlers are set, a signal kills the
/// process immediately, with any requests in flight. The thread does nothing else, so that the time
/// at which a signal was received is known even if the program's own threads are busy.
#[derive(Debug)]
pub struct StopSignals {
    rx: mpsc::UnboundedReceiver<ReceivedSignal>,
    clock: Clock,
}

/// A signal and the time at which it was received.
#[derive(Debug, Clone, Copy)]
struct ReceivedSignal {
    kind: HandledSignal,
    received_at: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum HandledSignal {
    Terminate,
    Interrupt,
    Hangup,
}

/// Handlers of the signals that would otherwise kill the process.
struct SignalHandlers {
    terminate: Signal,
    interrupt: Signal,
    /// Without a handler, a SIGHUP kills the process immediately and cuts the requests in flight.
    /// It is sent when a terminal closes, and by supervisors to have settings reloaded.
    hangup: Signal,
}

impl StopSignals {
    /// Sets the signal handlers and starts the thread that receives the signals.
    ///
    /// # Errors
    ///
    /// Fails if the handlers can't be set or the thread can't be started.
    pub fn listen() -> Result<Self> {
        let runtime = Builder::new_current_thread().enable_io().build()?;
        let handlers = {
            let _guard = runtime.enter();
            SignalHandlers::set()?
        };
        let (clock, (tx, rx)) = (Clock::start(), mpsc::unbounded_channel());
        let run = move || forward_signals(&runtime, handlers, clock, &tx);
        thread::Builder::new().name("signals".into()).spawn(run)?;
        Ok(Self { rx, clock })
    }

    /// Waits for the next SIGTERM or SIGINT, and returns how long ago it was received.
    ///
    /// The sender counts from then until it kills the process. A program that is still starting, or
    /// whose tasks compete for a small share of a core, handles the signal late.
    pub async fn next(&mut self) -> Millis {
        let signal = self.next_signal().await;
        self.clock.now() - signal.received_at
    }

    /// Waits for the next SIGINT, with which an operator at a terminal ends a stop early.
    ///
    /// A further SIGTERM does not end it: platforms and supervisors repeat SIGTERM while a process
    /// still runs, and requests in flight would be cut although there is time left for them.
    pub async fn interrupted(&mut self) {
        while self.next_signal().await.kind != HandledSignal::Interrupt {}
    }

    async fn next_signal(&mut self) -> ReceivedSignal {
        match self.rx.recv().await {
            Some(signal) => signal,
            None => std::future::pending().await,
        }
    }
}

impl SignalHandlers {
    fn set() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

impl HandledSignal {
    const fn name(self) -> &'static str {
        match self {
            Self::Terminate => "SIGTERM",
            Self::Interrupt => "SIGINT",
            Self::Hangup => "SIGHUP",
        }
    }
}

/// Sends the stop signals to `tx` until its receiver is dropped. SIGHUP is only logged.
fn forward_signals(
    runtime: &Runtime,
    mut handlers: SignalHandlers,
    clock: Clock,
    tx: &mpsc::UnboundedSender<ReceivedSignal>,
) {
    runtime.block_on(async {
        loop {
            let kind = tokio::select! {
                _ = handlers.terminate.recv() => HandledSignal::Terminate,
                _ = handlers.interrupt.recv() => HandledSignal::Interrupt,
                _ = handlers.hangup.recv() => HandledSignal::Hangup,
                () = tx.closed() => return,
            };
            let received_at = clock.now();
            event!(Info, "signal", name = kind.name());
            if kind != HandledSignal::Hangup
                && tx.send(ReceivedSignal { kind, received_at }).is_err()
            {
                return;
            }
        }
    });
}
