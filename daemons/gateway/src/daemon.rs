//! Starts the parts of an entry instance for routes, and stops them; `docs/design/stops.md` has the phases of a stop.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use http::StatusCode;
use sill_base::{Millis, event};
use sill_dispatch::{StopPhase, StopPlan, StopTimes};
use sill_net::h1::{self, Page, ServerCfg, Stop};
use sill_net::http::bind;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::cfg::GatewayCfg;
use crate::ending::{ByStop, Phase};
use crate::feed::Feed;
use crate::link::{FOLLOWED, Link};
use crate::serve;
use crate::state::State;

/// Bytes of a caller's headers. Settings may ask for less, which the library cannot follow later.
const HEADER_BYTES: usize = 32 << 10;

/// Time that a caller's connection may stay unused. Callers use them for up to 12 s.
const CALLER_IDLE: Millis = Millis(15_000);

/// Time after which a caller's connection is given up that no longer acknowledges.
const CALLER_SILENT: Millis = Millis(10_000);

/// How often unused connections are looked at.
const TIDY: Millis = Millis(1000);

/// How often a stop looks whether all is done.
const LOOK: Millis = Millis(50);

/// Time before the end of a stop at which calls that still wait for their answers are answered, so that
/// these can be written on an instance with a twelfth of a core.
const LAST_ANSWERS: Millis = Millis(200);

/// Time after the end of a stop in which what is cut may be told; it is used only while connections are
/// open. 320 streams were cut and told within 54 ms by a debug build on a busy machine; an instance with
/// a twelfth of a core needs longer.
const TELL: Millis = Millis(250);

/// A running entry instance.
#[derive(Debug)]
pub struct Gateway {
    /// Where callers reach it.
    pub address: SocketAddr,
    /// Where the balancer asks.
    pub ready_address: SocketAddr,
    state: Arc<State>,
    link: Arc<Link>,
    stop: watch::Sender<Stop>,
    listening: JoinHandle<()>,
}

impl Gateway {
    /// Starts to serve; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be used.
    pub fn start(cfg: GatewayCfg) -> Result<Self> {
        let listener = TcpListener::from_std(bind(cfg.listen)?)?;
        let ready = TcpListener::from_std(bind(cfg.listen_ready)?)?;
        let metrics = TcpListener::from_std(bind(cfg.listen_metrics)?)?;
        let (address, ready_address) = (listener.local_addr()?, ready.local_addr()?);
        let state = Arc::new(State::new(cfg)?);
        let link = Arc::new(Link::new(state.clone()));
        let (stop, _) = watch::channel(Stop::No);
        for turn in 0..FOLLOWED {
            tokio::spawn(link.clone().follow(turn));
        }
        tokio::spawn(Feed::new(state.clone(), link.clone()).run());
        let listening = tokio::spawn(callers(state.clone(), listener, stop.subscribe()));
        tokio::spawn(internal(state.clone(), ready));
        tokio::spawn(internal(state.clone(), metrics));
        tokio::spawn(tidy(state.clone()));
        event!(
            Info,
            "gateway_started",
            name = state.cfg.name,
            domain = state.cfg.domain,
            address = address,
            incarnation = state.incarnation.0
        );
        Ok(Self { address, ready_address, state, link, stop, listening })
    }

    /// Takes in other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        event!(Info, "seeds_changed", seeds = seeds.len());
        self.link.set_seeds(seeds);
    }

    /// Stops without cutting off a call, as long as the limit allows.
    pub async fn stop(self) {
        self.stop_late(Millis::ZERO).await;
    }

    /// Does the same for a signal that came a while ago.
    ///
    /// Whoever sent it kills the process some time after the signal. Were the limit counted from now, a
    /// stop that begins late would be ended by the kill, and calls be cut that were begun in the belief that
    /// there was time for them.
    pub async fn stop_late(mut self, late: Millis) {
        let began = self.state.clock.now();
        let cfg = self.state.cfg.stop;
        let left = cfg.limit - late;
        // The balancer notices from now on; it could not before.
        let notice = cfg.notice.min(left);
        let cut_at = began + left;
        // What is admitted has all of its time until it is answered in any case.
        let times = StopTimes { noticed_at: began + notice, ends_at: cut_at - LAST_ANSWERS };
        let open = self.state.open_calls().older;
        event!(Info, "gateway_stops", connections = open, late_ms = late);
        self.state.stopping.start(times);
        self.take_what_fits(times).await;
        self.close().await;
        // Those that came with the last look.
        self.done_by(times.ends_at).await;
        self.state.ending.begin(Phase::LastAnswers);
        self.done_by(self.state.clock.now() + LAST_ANSWERS).await;
        self.state.ending.begin(Phase::Cut);
        self.done_by(cut_at + TELL).await;
        self.tell_end(began);
    }

    /// Takes and ends calls until nothing is open, or the time is up.
    async fn take_what_fits(&self, times: StopTimes) {
        let mut plan = StopPlan::new(times);
        loop {
            match plan.step(self.state.clock.now(), self.state.open_calls()) {
                StopPhase::Announcing => {}
                StopPhase::Draining => self.tell(Stop::Closing),
                StopPhase::Refusing => {
                    self.state.stopping.take_no_more();
                    self.tell(Stop::Leaving);
                }
                StopPhase::Ended => return,
            }
            tokio::time::sleep(LOOK.into()).await;
        }
    }

    /// Closes the listener. A connection that comes after the last look would be cut with its call read
    /// and sent on.
    async fn close(&mut self) {
        self.state.stopping.take_no_more();
        self.tell(Stop::Over);
        let _ = (&mut self.listening).await;
    }

    fn tell(&self, stop: Stop) {
        self.stop.send_if_modified(|told| std::mem::replace(told, stop) != stop);
    }

    /// Waits until no caller's connection is open, or until `at`.
    async fn done_by(&self, at: Millis) {
        while self.state.callers.all() > 0 {
            let left = at - self.state.clock.now();
            if left == Millis::ZERO {
                return;
            }
            tokio::time::sleep(left.min(LOOK).into()).await;
        }
    }

    fn tell_end(&self, began: Millis) {
        let ending = &self.state.ending;
        event!(
            Info,
            "gateway_stopped",
            name = self.state.cfg.name,
            ms = self.state.clock.now() - began,
            refused = ending.counted(ByStop::Refused),
            failed = ending.counted(ByStop::Failed),
            cut = ending.counted(ByStop::Cut),
            without_line = ending.without_line(),
            connections = self.state.callers.all()
        );
    }
}

async fn callers(state: Arc<State>, listener: TcpListener, stop: watch::Receiver<Stop>) {
    let cfg = ServerCfg { header_bytes: HEADER_BYTES, idle: CALLER_IDLE, silent: CALLER_SILENT };
    let open = state.callers.clone();
    h1::serve(listener, cfg, stop, open, move |req, _| serve::call(state.clone(), req)).await;
}

/// Answers the balancer and whoever reads metrics.
async fn internal(state: Arc<State>, listener: TcpListener) {
    h1::serve_pages(listener, move |path| page(&state, path)).await;
}

fn page(state: &State, path: &str) -> Page {
    if path == state.cfg.ready_path.as_str() {
        return match state.is_ready() {
            true => Page::new(StatusCode::OK, "ok\n"),
            false => Page::new(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        };
    }
    if path != "/metrics" {
        return Page::new(StatusCode::NOT_FOUND, "");
    }
    state.metrics.callers.set(state.callers.all() as i64);
    match state.metrics.text() {
        Ok(text) => Page::new(StatusCode::OK, text),
        Err(err) => Page::new(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

async fn tidy(state: Arc<State>) {
    loop {
        tokio::time::sleep(TIDY.into()).await;
        state.metrics.idle.set(state.connections.expire() as i64);
    }
}
