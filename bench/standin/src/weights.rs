//! A stand-in for the weights store, whose reads share one bandwidth.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use ntex::util::Bytes;
use ntex::web::{self, App, HttpResponse, HttpServer};
use parking_lot::Mutex;
use sill_base::{Clock, Millis, Name};
use sill_net::http::{self, Failure};
use sill_wire::ErrorCode;

use crate::endpoint::pause;

/// Settings of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoreCfg {
    /// Size of each model's weights in bytes.
    pub size: u64,
    /// Bandwidth in bytes per second over all reads.
    pub rate: u64,
    /// Maximum number of reads in progress or queued; further ones are refused.
    pub waiting: u32,
}

/// The store, which serves reads one at a time at its full bandwidth.
#[derive(Debug)]
pub struct Store {
    cfg: StoreCfg,
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    free_at: Millis,
    waiting: u32,
}

impl Store {
    /// Creates a store without reads.
    pub fn new(cfg: StoreCfg) -> Self {
        Self { cfg, clock: Clock::start(), state: Mutex::default() }
    }

    /// Queues a read and returns the time until it is complete, or `None` if the queue is full.
    pub fn reserve(&self, now: Millis) -> Option<Millis> {
        let mut state = self.state.lock();
        if state.waiting >= self.cfg.waiting {
            return None;
        }
        let span = Millis(self.cfg.size.saturating_mul(1000) / self.cfg.rate.max(1));
        state.free_at = state.free_at.max(now) + span;
        state.waiting += 1;
        Some(state.free_at - now)
    }

    /// Removes a completed read from the queue.
    pub fn release(&self) {
        let mut state = self.state.lock();
        state.waiting = state.waiting.saturating_sub(1);
    }
}

/// Serves the store on a new thread and returns its address.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn serve(store: Arc<Store>, listen: SocketAddr) -> Result<SocketAddr> {
    let listener = http::bind(listen)?;
    let address = listener.local_addr()?;
    http::spawn_system("weights", move || async move {
        HttpServer::new(async move || {
            let weights = web::resource("/weights/{model}").route(web::get().to(read));
            App::new().state(store.clone()).service(weights)
        })
        .workers(1)
        .disable_signals()
        .listen(listener)?
        .run()
        .await
    })?;
    Ok(address)
}

/// `GET /weights/MODEL`: answers after the time that reading the weights takes, without sending
/// them.
async fn read(store: web::types::State<Arc<Store>>, model: web::types::Path<Name>) -> HttpResponse {
    let Some(span) = store.reserve(store.clock.now()) else {
        return Failure { retry_after: Some(1), ..Failure::new(ErrorCode::NoCapacity, "busy") }
            .response(&model);
    };
    pause(span).await;
    store.release();
    HttpResponse::Ok().body(Bytes::from(format!("weights of {}\n", *model)))
}
