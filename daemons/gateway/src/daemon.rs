//! Starts and stops the parts of an entry instance for routes. `docs/design/stops.md` describes the
//! phases of a stop.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use http::StatusCode;
use sill_base::{Millis, event};
use sill_dispatch::{StopPhase, StopPlan, StopTimes};
use sill_net::h1::{self, Page, ServerCfg, ServerPhase};
use sill_net::http::bind;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::cfg::GatewayCfg;
use crate::link::{FOLLOWED_CONTROLS, Link};
use crate::serve;
use crate::settings_fetcher::SettingsFetcher;
use crate::state::State;
use crate::termination::{FinalPhase, StopOutcome};
use crate::{streams, tunnels};

/// Size limit of a caller's headers in bytes. Settings may ask for less, but the HTTP
/// library can't change the limit later.
const MAX_HEADER_BYTES: usize = 32 << 10;

/// Time after which an unused connection of a caller is closed. Callers reuse connections for up to
/// 12 s.
const CALLER_IDLE_TIMEOUT: Millis = Millis(15_000);

/// Time without acknowledgements after which a caller's connection is dropped.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Millis = Millis(10_000);

/// Interval at which expired idle connections are closed.
const IDLE_CLEANUP_INTERVAL: Millis = Millis(1000);

/// Interval at which a stop checks whether all calls have finished.
const STOP_POLL_INTERVAL: Millis = Millis(50);

/// Time before the end of a stop at which calls that still wait for their answers get an error
/// response. It suffices to write these on an instance with a twelfth of a core.
pub const LAST_ANSWERS_TIME: Millis = Millis(200);

/// Time after the end of a stop in which cut connections are closed with an error; it is used only
/// while connections are open. A debug build on a busy machine cut 320 streams within 54 ms; an
/// instance with a twelfth of a core needs longer.
const CUT_NOTIFY_TIME: Millis = Millis(250);

/// A running entry instance.
#[derive(Debug)]
pub struct Gateway {
    /// The address that callers connect to.
    pub address: SocketAddr,
    /// The address of the balancer's readiness checks.
    pub ready_address: SocketAddr,
    /// The address at which other entry instances ask for tunnels and streams.
    pub peer_address: SocketAddr,
    state: Arc<State>,
    link: Arc<Link>,
    stop: watch::Sender<ServerPhase>,
    accept_task: JoinHandle<()>,
}

impl Gateway {
    /// Binds the listeners and starts to serve; must be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub fn start(cfg: GatewayCfg) -> Result<Self> {
        let ready = TcpListener::from_std(bind(cfg.listen_ready)?)?;
        let metrics = TcpListener::from_std(bind(cfg.listen_metrics)?)?;
        let peers = TcpListener::from_std(bind(cfg.listen_peer)?)?;
        // Last, as a start that fails after it would reset the connections of callers.
        let listener = TcpListener::from_std(bind(cfg.listen)?)?;
        let peer_address = peers.local_addr()?;
        let (address, ready_address) = (listener.local_addr()?, ready.local_addr()?);
        let state = Arc::new(State::new(cfg)?);
        let link = Arc::new(Link::new(state.clone()));
        let (stop, _) = watch::channel(ServerPhase::Serving);
        for slot in 0..FOLLOWED_CONTROLS {
            tokio::spawn(link.clone().follow(slot));
        }
        tokio::spawn(SettingsFetcher::new(state.clone(), link.clone()).run());
        let accept_task = tokio::spawn(serve_callers(state.clone(), listener, stop.subscribe()));
        tokio::spawn(serve_internal(state.clone(), ready));
        tokio::spawn(serve_internal(state.clone(), metrics));
        tokio::spawn(expire_connections(state.clone()));
        tokio::spawn(tunnels::serve(state.clone(), peers));
        tokio::spawn(streams::run(state.clone()));
        let watching = state.clone();
        tokio::spawn(state.egress.clone().watch(move |delay| {
            watching.tunnels.record_delay(delay);
            watching.planned_stop.record_silence(watching.egress.silence());
        }));
        event!(
            Info,
            "gateway_started",
            name = state.cfg.name,
            domain = state.cfg.domain,
            address = address,
            peer = peer_address,
            incarnation = state.incarnation.0
        );
        Ok(Self { address, ready_address, peer_address, state, link, stop, accept_task })
    }

    /// Returns the state that the parts of the instance share.
    pub fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Replaces the seed addresses of control instances.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        event!(Info, "seeds_changed", seeds = seeds.len());
        self.link.set_seeds(seeds);
    }

    /// Stops without cutting a call, as far as the time limit allows.
    pub async fn stop(self) {
        self.stop_late(Millis::ZERO).await;
    }

    /// Stops like [`Gateway::stop`] for a signal that arrived `delay` ago.
    ///
    /// The sender of the signal kills the process a fixed time after it. If the limit counted from
    /// now, a stop that starts late would be ended by the kill, and calls that were admitted
    /// because there seemed to be time for them would be cut.
    pub async fn stop_late(mut self, delay: Millis) {
        let started_at = self.state.clock.now();
        let cfg = self.state.cfg.stop;
        let time_left = cfg.limit - delay;
        // The balancer can notice the stop only from now on.
        let notice = cfg.notice.min(time_left);
        let cut_at = started_at + time_left;
        // Admitted calls have until `ends_at` to get their answers, whatever the notice.
        let times =
            StopTimes { noticed_at: started_at + notice, ends_at: cut_at - LAST_ANSWERS_TIME };
        let open = self.state.open_calls().older;
        event!(Info, "gateway_stops", connections = open, late_ms = delay);
        self.state.planned_stop.start(times);
        self.state.termination.enter(FinalPhase::Stopping);
        self.state.close_wait_queues();
        streams::hand_over(&self.state);
        self.drain_calls(times).await;
        self.drain_tunnels(times).await;
        self.close_listener().await;
        // Waits for connections that were accepted since the last check.
        self.wait_until_closed(times.ends_at).await;
        self.state.termination.enter(FinalPhase::LastAnswers);
        self.wait_until_closed(self.state.clock.now() + LAST_ANSWERS_TIME).await;
        self.state.termination.enter(FinalPhase::Cut);
        self.wait_until_closed(cut_at + CUT_NOTIFY_TIME).await;
        self.log_stop(started_at);
    }

    /// Serves open and new calls until no connection is open or the time is up.
    async fn drain_calls(&self, times: StopTimes) {
        let mut plan = StopPlan::new(times);
        loop {
            match plan.step(self.state.clock.now(), self.state.open_calls()) {
                StopPhase::Announcing => {}
                StopPhase::Draining => self.set_stop(ServerPhase::Draining),
                StopPhase::Refusing => {
                    self.state.planned_stop.refuse_all();
                    self.set_stop(ServerPhase::Refusing);
                }
                StopPhase::Ended => return,
            }
            tokio::time::sleep(STOP_POLL_INTERVAL.into()).await;
        }
    }

    /// Waits until no tunnel of another entry instance is open or the time is up. New callers are
    /// still told to retry elsewhere: with the listener closed they would not get an answer.
    async fn drain_tunnels(&self, times: StopTimes) {
        self.state.planned_stop.refuse_all();
        self.set_stop(ServerPhase::Refusing);
        while self.state.tunnels.open_count() > 0 && self.state.clock.now() < times.ends_at {
            tokio::time::sleep(STOP_POLL_INTERVAL.into()).await;
        }
    }

    /// Closes the listener. A connection accepted after the last check would be cut after its call
    /// was read and sent to an endpoint.
    async fn close_listener(&mut self) {
        self.state.planned_stop.refuse_all();
        self.set_stop(ServerPhase::Closed);
        let _ = (&mut self.accept_task).await;
    }

    fn set_stop(&self, stop: ServerPhase) {
        self.stop.send_if_modified(|current| std::mem::replace(current, stop) != stop);
    }

    /// Waits until all callers' connections are closed, at most until `at`.
    async fn wait_until_closed(&self, at: Millis) {
        while self.state.callers.total() > 0 {
            let time_left = at - self.state.clock.now();
            if time_left == Millis::ZERO {
                return;
            }
            tokio::time::sleep(time_left.min(STOP_POLL_INTERVAL).into()).await;
        }
    }

    fn log_stop(&self, started_at: Millis) {
        let termination = &self.state.termination;
        event!(
            Info,
            "gateway_stopped",
            name = self.state.cfg.name,
            ms = self.state.clock.now() - started_at,
            refused = termination.count(StopOutcome::Refused),
            failed = termination.count(StopOutcome::Failed),
            cut = termination.count(StopOutcome::Cut),
            without_line = termination.unlogged(),
            connections = self.state.callers.total()
        );
    }
}

async fn serve_callers(
    state: Arc<State>,
    listener: TcpListener,
    stop: watch::Receiver<ServerPhase>,
) {
    let cfg = ServerCfg {
        max_header_bytes: MAX_HEADER_BYTES,
        idle_timeout: CALLER_IDLE_TIMEOUT,
        unacknowledged_timeout: CALLER_UNACKNOWLEDGED_TIMEOUT,
    };
    let open = state.callers.clone();
    h1::serve(listener, cfg, stop, open, move |req, _| serve::serve_call(state.clone(), req)).await;
}

/// Serves readiness checks and metrics.
async fn serve_internal(state: Arc<State>, listener: TcpListener) {
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
    state.metrics.caller_connections.set(state.callers.total() as i64);
    match state.metrics.text() {
        Ok(text) => Page::new(StatusCode::OK, text),
        Err(err) => Page::new(StatusCode::INTERNAL_SERVER_ERROR, err.to_string()),
    }
}

async fn expire_connections(state: Arc<State>) {
    loop {
        tokio::time::sleep(IDLE_CLEANUP_INTERVAL.into()).await;
        state.metrics.idle_connections.set(state.egress.expire() as i64);
        state.egress.retain(&state.alive_addresses());
    }
}
