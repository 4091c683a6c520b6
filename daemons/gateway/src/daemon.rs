//! Starts the parts of an entry instance for routes, and stops them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use eyre::Result;
use http::StatusCode;
use sill_base::{Millis, event};
use sill_dispatch::StopTimes;
use sill_net::h1::{self, Page, ServerCfg, Stop};
use sill_net::http::bind;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::cfg::GatewayCfg;
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
    accepts: JoinHandle<()>,
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
        let accepts = tokio::spawn(callers(state.clone(), listener, stop.subscribe()));
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
        Ok(Self { address, ready_address, state, link, stop, accepts })
    }

    /// Takes in other seeds.
    pub fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        event!(Info, "seeds_changed", seeds = seeds.len());
        self.link.set_seeds(seeds);
    }

    /// Stops without cutting off a call, as long as the limit allows.
    pub async fn stop(self) {
        let began = self.state.clock.now();
        let cfg = self.state.cfg.stop;
        let open = || self.state.callers.load(Ordering::Relaxed);
        event!(Info, "gateway_stops", connections = open());
        let (noticed_at, ends_at) = (began + cfg.notice, began + cfg.limit);
        self.state.begin_to_stop(StopTimes { noticed_at, ends_at });
        // New connections still come until the balancer has asked again; refused, they would fail.
        tokio::time::sleep(cfg.notice.into()).await;
        self.stop.send_replace(Stop::Closing);
        wait_until_idle(&self.state, ends_at).await;
        // A connection that is taken after the last look would be read, its call sent on, and cut: it has
        // run, and its caller got no answer. So none is taken before the look that counts.
        self.stop.send_replace(Stop::Closed);
        let _ = self.accepts.await;
        wait_until_idle(&self.state, ends_at).await;
        let took = self.state.clock.now() - began;
        event!(Info, "gateway_stopped", ms = took, cut = open());
    }
}

/// Waits until no caller's connection is open, or the time is over.
async fn wait_until_idle(state: &State, ends_at: Millis) {
    while state.callers.load(Ordering::Relaxed) > 0 && state.clock.now() < ends_at {
        tokio::time::sleep(LOOK.into()).await;
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
    state.metrics.callers.set(state.callers.load(Ordering::Relaxed) as i64);
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
