//! Sends requests to endpoints, on own connections or in tunnels through other entry instances.
//!
//! `docs/design/reachability.md` describes how a lost path is noticed. Admission, limits, deadlines
//! and retries stay with the entry instance that a call came to; the other one only passes bytes on.

mod exchange;
mod monitor;
mod ping;
mod signs;

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use parking_lot::Mutex;
use sill_base::{Clock, Map, Millis, Name, Secret, Set, event};
use sill_dispatch::{EndpointSigns, Path, PathRequest, Paths, Placement, RelayList, longest_wait};
use sill_net::h1::{
    Answer, Connection, ConnectionPool, KeptOutcome, MAX_FETCHED_BYTES, SendFailure, Target,
    TunnelFailure, TunnelRequest,
};
use sill_wire::Incarnation;
use sill_wire::link::RelayOffer;
use tokio::sync::watch;

use self::ping::Pings;
use self::signs::{LifeSign, LifeSigns};
use crate::cfg::GatewayCfg;
use crate::metrics::Metrics;

/// Time after which a tunnel is tried beside a connection that has not opened yet. Between failure
/// domains one opens in 3 ms.
const STAGGER: Millis = Millis(60);

/// Time for another entry instance to open a tunnel.
const TUNNEL_TIMEOUT: Millis = Millis(400);

/// Number of entry instances that are asked for a tunnel to one endpoint.
const MAX_RELAYS: usize = 3;

/// Time for an answer on a path that failed before.
const TRIAL_TIMEOUT: Millis = Millis(300);

/// Time within which a proxy in front of an endpoint that can't be reached closes a connection.
const CLOSE_TIME: Millis = Millis(20);

/// Why a request is not sent on a connection that was opened for it.
const PAUSED: &str = "the endpoint has asked for a pause";

/// An incarnation of an endpoint and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The endpoint.
    pub endpoint: Name,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its address.
    pub address: SocketAddr,
}

impl From<&Placement> for Destination {
    fn from(placement: &Placement) -> Self {
        let Placement { endpoint, incarnation, address, .. } = placement;
        Self { endpoint: endpoint.clone(), incarnation: *incarnation, address: *address }
    }
}

/// How a request may be sent.
#[derive(Clone, Copy)]
pub struct SendOptions<'a> {
    /// The id of the request in log lines.
    pub id: &'a Name,
    /// Longest time that a connection may have been idle.
    pub max_idle: Millis,
    /// Whether the request can be sent again if it gets no answer.
    pub may_repeat: bool,
    /// Whether the request may find out whether a path works again.
    pub may_try: bool,
    /// Whether the endpoint is a model engine, which may be silent for long.
    pub is_engine: bool,
    /// Returns whether the endpoint still takes requests. It may have asked for a pause while a
    /// connection was opened.
    pub may_send: &'a (dyn Fn() -> bool + Sync),
    /// Takes a retry from the budget of the service; returns false if it is used up.
    pub take_retry: &'a (dyn Fn() -> bool + Sync),
    /// Called if the request can be sent again and its path is lost. Its answer is still waited for.
    pub on_stuck: &'a (dyn Fn() + Sync),
}

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request may have been run.
    Unknown(String),
    /// The request may have been run. It was sent to find out whether a path works again, and the
    /// retry is taken from the budget already; the endpoint may be reached in a tunnel.
    TrialFailed(String),
}

impl From<SendFailure> for SendError {
    fn from(failure: SendFailure) -> Self {
        match failure {
            SendFailure::NotSent(reason) => Self::NotSent(reason),
            SendFailure::Unknown(reason) => Self::Unknown(reason),
        }
    }
}

/// The tunnel that carries a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Via {
    /// The entry instance that carries the tunnel.
    pub entry: Name,
    /// The address at which it accepts tunnels.
    pub address: SocketAddr,
}

/// A request in flight. On an own connection it counts towards the endpoint's silence until dropped.
#[derive(Debug)]
pub struct Exchange {
    egress: Arc<Egress>,
    address: SocketAddr,
    via: Option<Via>,
    /// The id of the request.
    id: Name,
    sent_at: Millis,
    /// When the connection was opened, in milliseconds.
    opened_at: u64,
    is_sent: bool,
    is_answered: bool,
    /// Set when bytes arrive, for the own path or for the tunnel's relay.
    heard: Arc<AtomicU64>,
    sign: LifeSign,
}

/// What was last known of the endpoint at an address.
#[derive(Debug)]
struct Contact {
    destination: Destination,
    /// One more than the time at which the newest connection was opened on which bytes arrived
    /// since the last tick; 0 for none.
    heard: Arc<AtomicU64>,
}

/// The connections of an entry instance to endpoints.
#[derive(Debug)]
pub struct Egress {
    name: Name,
    domain: Name,
    key: Secret,
    clock: Clock,
    pool: ConnectionPool,
    paths: Mutex<Paths>,
    relays: Mutex<Relays>,
    contacts: Mutex<Map<SocketAddr, Contact>>,
    signs: LifeSigns,
    pings: Mutex<Map<(Name, Incarnation), Arc<Pings>>>,
    /// Time for which a reply to a ping is waited for: the longest for which an end is in doubt.
    late_time: Millis,
    /// Changes while paths are in doubt or lost.
    lost: watch::Sender<()>,
    tunnel_count: AtomicU64,
    /// Whether parts of answers have arrived in tunnels since the last tick.
    is_tunnel_heard: AtomicBool,
    metrics: Metrics,
}

/// Offers of tunnels, by the control instance that sent them.
#[derive(Debug, Default)]
struct Relays {
    by_control: Map<SocketAddr, Vec<RelayOffer>>,
    list: RelayList,
    /// 1 for each relay through which bytes have arrived since the last tick, else 0.
    heard: Map<SocketAddr, Arc<AtomicU64>>,
}

impl Relays {
    /// Records that a request is sent through a relay; returns what is set when bytes arrive.
    fn record_sent(&mut self, relay: SocketAddr, endpoint: SocketAddr) -> Arc<AtomicU64> {
        self.list.health.record_sent(relay, endpoint);
        self.heard.entry(relay).or_default().clone()
    }

    /// Counts a tick; returns the relays that have become silent.
    fn tick(&mut self, now: Millis) -> Vec<SocketAddr> {
        for (relay, heard) in &self.heard {
            if heard.swap(0, Ordering::Relaxed) > 0 {
                self.list.health.record_heard(*relay);
            }
        }
        // Only requests in flight hold others of these.
        self.heard.retain(|_, heard| Arc::strong_count(heard) > 1);
        self.list.health.tick(now)
    }
}

/// Endpoints to which connections are opened without a request, to find out which paths work.
struct Checks {
    /// Those to which the own path is checked.
    direct: Vec<SocketAddr>,
    /// One to which a tunnel is opened.
    tunnel: Option<SocketAddr>,
}

/// A connection that was opened, and the tunnel if it is one.
type Opened = (Connection, Option<Via>);

/// An attempt to open a connection.
type Opening = BoxFuture<'static, Result<Opened, OpenFailure>>;

/// Why a connection was not opened.
struct OpenFailure {
    reason: String,
    /// The relay that was asked and does not reach the endpoint.
    unreached_by: Option<SocketAddr>,
}

impl Egress {
    /// Creates an egress without connections.
    pub fn new(cfg: &GatewayCfg, pool: ConnectionPool, clock: Clock, metrics: Metrics) -> Self {
        Self {
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            key: cfg.cluster_key.clone(),
            clock,
            pool,
            paths: Mutex::default(),
            relays: Mutex::default(),
            contacts: Mutex::default(),
            signs: LifeSigns::default(),
            pings: Mutex::default(),
            late_time: longest_wait(cfg.endpoint_heartbeat),
            lost: watch::Sender::default(),
            tunnel_count: AtomicU64::new(0),
            is_tunnel_heard: AtomicBool::new(false),
            metrics,
        }
    }

    /// Replaces the offers of tunnels that a control instance has sent.
    pub fn set_offers(&self, from: SocketAddr, offers: Vec<RelayOffer>) {
        let mut relays = self.relays.lock();
        relays.by_control.insert(from, offers);
        self.apply_offers(&mut relays);
    }

    /// Drops the offers of a control instance that is no longer followed, if there are others.
    pub fn drop_offers(&self, from: SocketAddr) {
        let mut relays = self.relays.lock();
        if relays.by_control.iter().any(|(other, offers)| *other != from && !offers.is_empty()) {
            relays.by_control.remove(&from);
            self.apply_offers(&mut relays);
        }
    }

    fn apply_offers(&self, relays: &mut Relays) {
        let mut offers: Vec<RelayOffer> = relays.by_control.values().flatten().cloned().collect();
        offers.retain(|offer| offer.entry != self.name);
        offers.sort();
        offers.dedup();
        for withdrawn in relays.list.set_offers(offers) {
            self.pool.close_tunnels(withdrawn);
        }
    }

    /// Returns the addresses of the entry instances that offer tunnels.
    pub fn relay_addresses(&self) -> Vec<SocketAddr> {
        self.relays.lock().list.addresses()
    }

    /// Returns whether own connections to an endpoint open and are not reset, as far as known.
    pub fn is_connectable(&self, address: SocketAddr) -> bool {
        self.paths.lock().is_connectable(address)
    }

    /// Returns the time since an endpoint was last heard on an own connection.
    pub fn answered_age(&self) -> Millis {
        self.paths.lock().heard_age(self.clock.now())
    }

    /// Returns for how long no endpoint has sent anything although requests were in flight.
    pub fn silence(&self) -> Millis {
        self.paths.lock().silence()
    }

    /// Returns what is known of an endpoint without a check, from connections that were opened by
    /// `opened_by`.
    pub fn signs_of(&self, to: &Destination, opened_by: Millis) -> EndpointSigns {
        self.signs.of(to, opened_by)
    }

    /// Returns when the oldest connection was opened on which an endpoint was heard later than `since`.
    pub fn heard_on(&self, to: &Destination, since: Millis) -> Option<Millis> {
        self.signs.heard_on(to, since)
    }

    /// Returns whether no endpoint is reached on own connections.
    pub fn is_cut_off(&self) -> bool {
        self.paths.lock().is_cut_off()
    }

    /// Returns whether a failure at an endpoint is one of the path to it.
    pub fn is_path_lost(&self, address: SocketAddr) -> bool {
        let paths = self.paths.lock();
        paths.is_cut_off() || paths.is_lost(address)
    }

    /// Drops idle connections that have expired; returns how many remain.
    pub fn expire(&self) -> usize {
        self.pool.expire()
    }

    /// Returns the addresses to which a connection has been idle for at most `max_idle`.
    pub fn idle_addresses(&self, max_idle: Millis) -> Set<SocketAddr> {
        self.pool.idle_addresses(max_idle)
    }

    /// Drops idle connections to an address.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Forgets an endpoint that has ended.
    pub fn forget(&self, address: SocketAddr) {
        self.pool.close_idle(address);
        self.contacts.lock().remove(&address);
        self.paths.lock().forget(address);
    }

    /// Forgets the endpoints that are not among `alive`.
    pub fn retain(&self, alive: &Set<SocketAddr>) {
        self.paths.lock().retain(alive);
        self.contacts.lock().retain(|address, _| alive.contains(address));
    }

    /// Sends a request, at most once, and returns once the head of the answer has arrived.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is reached on no path or the head does not arrive.
    pub async fn send(
        self: &Arc<Self>,
        to: &Destination,
        req: Request<Full<Bytes>>,
        options: SendOptions<'_>,
    ) -> Result<(Answer, Exchange), SendError> {
        let now = self.clock.now();
        let has_relay = self.relays.lock().list.has_usable(now);
        let SendOptions { may_repeat, may_try, .. } = options;
        let path_req = PathRequest { address: to.address, may_repeat, may_try, has_relay };
        let path = self.paths.lock().choose(now, path_req);
        let sent = match path {
            Path::Direct => self.send_direct(to, req, options).await,
            Path::Trial if may_repeat && !(options.take_retry)() => {
                self.send_in_tunnel(to, req, options).await
            }
            Path::Trial => return self.send_trial(to, req, options, has_relay).await,
            Path::Tunnel => self.send_in_tunnel(to, req, options).await,
            Path::None => Err(SendFailure::NotSent("no path to the endpoint works".to_owned())),
        };
        sent.map_err(SendError::from)
    }

    async fn send_direct(
        self: &Arc<Self>,
        to: &Destination,
        req: Request<Full<Bytes>>,
        options: SendOptions<'_>,
    ) -> Result<(Answer, Exchange), SendFailure> {
        let exchange = self.begin(to, options, None);
        let target = Target { address: to.address, via: None };
        let sending = self.pool.send_kept(target, req, options.max_idle);
        let req = match self.answered(to, options, sending).await {
            KeptOutcome::Answered(answer) => return Ok(exchange.answered(answer)),
            KeptOutcome::Unknown(reason) => return Err(SendFailure::Unknown(reason)),
            KeptOutcome::NoConnection(req) => req,
        };
        drop(exchange);
        let opened = self.open(to, true, options.may_repeat).await?;
        self.send_on(to, opened, req, options).await
    }

    /// Sends a request on a new connection of its own, to find out whether the path works again.
    async fn send_trial(
        self: &Arc<Self>,
        to: &Destination,
        req: Request<Full<Bytes>>,
        options: SendOptions<'_>,
        has_relay: bool,
    ) -> Result<(Answer, Exchange), SendError> {
        let connection = match self.clone().connect_direct(to.clone()).await {
            Ok(connection) => connection,
            Err(_) if options.may_repeat && has_relay => {
                return Ok(self.send_in_tunnel(to, req, options).await?);
            }
            Err(reason) => return Err(SendError::NotSent(reason)),
        };
        if !(options.may_send)() {
            self.pool.keep_unused(connection);
            return Err(SendError::NotSent(PAUSED.to_owned()));
        }
        let exchange = self.begin(to, options, None);
        let sending = self.pool.send_on(connection, req);
        let sent = match options.may_repeat {
            true => tokio::time::timeout(TRIAL_TIMEOUT.into(), sending).await,
            false => Ok(sending.await),
        };
        let now = self.clock.now();
        match sent {
            Ok(Ok(answer)) => Ok(exchange.answered(answer)),
            Ok(Err(SendFailure::NotSent(reason))) => Err(SendError::NotSent(reason)),
            Ok(Err(SendFailure::Unknown(reason))) => {
                self.paths.lock().record_reset(now, to.address);
                Err(match options.may_repeat {
                    true => SendError::TrialFailed(reason),
                    false => SendError::Unknown(reason),
                })
            }
            Err(_) => {
                self.paths.lock().record_unanswered(now, to.address);
                Err(SendError::TrialFailed(format!("no answer within {TRIAL_TIMEOUT} ms")))
            }
        }
    }

    async fn send_in_tunnel(
        self: &Arc<Self>,
        to: &Destination,
        mut req: Request<Full<Bytes>>,
        options: SendOptions<'_>,
    ) -> Result<(Answer, Exchange), SendFailure> {
        for offer in self.best_candidates(to, options.may_repeat) {
            let relay = offer.address;
            let via = Via { entry: offer.entry, address: relay };
            let target = Target { address: to.address, via: Some(relay) };
            let exchange = self.begin(to, options, Some(via));
            let sending = self.pool.send_kept(target, req, options.max_idle);
            match self.answered_through(relay, options, sending).await {
                KeptOutcome::Answered(answer) => return Ok(exchange.answered(answer)),
                KeptOutcome::Unknown(reason) => {
                    self.record_broken_tunnel(relay);
                    return Err(SendFailure::Unknown(reason));
                }
                KeptOutcome::NoConnection(unsent) => {
                    exchange.withdraw();
                    req = unsent;
                }
            }
        }
        let opened = self.open(to, false, options.may_repeat).await?;
        self.send_on(to, opened, req, options).await
    }

    async fn send_on(
        self: &Arc<Self>,
        to: &Destination,
        (connection, via): Opened,
        req: Request<Full<Bytes>>,
        options: SendOptions<'_>,
    ) -> Result<(Answer, Exchange), SendFailure> {
        if !(options.may_send)() {
            self.pool.keep_unused(connection);
            return Err(SendFailure::NotSent(PAUSED.to_owned()));
        }
        let relay = via.as_ref().map(|via| via.address);
        let exchange = self.begin(to, options, via);
        let sending = self.pool.send_on(connection, req);
        if let Some(relay) = relay {
            return match self.answered_through(relay, options, sending).await {
                Ok(answer) => Ok(exchange.answered(answer)),
                Err(SendFailure::NotSent(reason)) => {
                    exchange.withdraw();
                    Err(SendFailure::NotSent(reason))
                }
                Err(SendFailure::Unknown(reason)) => {
                    self.record_broken_tunnel(relay);
                    Err(SendFailure::Unknown(reason))
                }
            };
        }
        match self.answered(to, options, sending).await {
            Ok(answer) => Ok(exchange.answered(answer)),
            Err(failure) => {
                if matches!(failure, SendFailure::Unknown(_)) {
                    self.paths.lock().record_reset(self.clock.now(), to.address);
                }
                Err(failure)
            }
        }
    }

    /// Waits for an answer, and says once if the path is lost.
    async fn answered<F>(&self, to: &Destination, options: SendOptions<'_>, sending: F) -> F::Output
    where
        F: Future,
    {
        watched(sending, options, self.wait_until_stuck(to.address)).await
    }

    /// Waits for an answer in a tunnel, and says once if requests are answered through other relays
    /// only.
    async fn answered_through<F>(
        &self,
        relay: SocketAddr,
        options: SendOptions<'_>,
        sending: F,
    ) -> F::Output
    where
        F: Future,
    {
        let is_stuck = || self.relays.lock().list.health.is_stuck(relay, options.is_engine);
        watched(sending, options, self.wait_until(is_stuck)).await
    }

    async fn wait_until_stuck(&self, address: SocketAddr) {
        self.wait_until(|| self.paths.lock().is_stuck(address)).await;
    }

    /// Waits for a condition that changes only in a tick during which paths are in doubt.
    async fn wait_until<F>(&self, is_met: F)
    where
        F: Fn() -> bool,
    {
        let mut lost = self.lost.subscribe();
        while !is_met() {
            if lost.changed().await.is_err() {
                return std::future::pending().await;
            }
        }
    }

    /// Records that a tunnel broke off before the answer to a request in it.
    fn record_broken_tunnel(&self, relay: SocketAddr) {
        self.relays.lock().list.health.record_failure(self.clock.now(), relay);
    }

    fn begin(
        self: &Arc<Self>,
        to: &Destination,
        options: SendOptions<'_>,
        via: Option<Via>,
    ) -> Exchange {
        let heard = {
            let mut contacts = self.contacts.lock();
            let contact = contacts
                .entry(to.address)
                .or_insert_with(|| Contact { destination: to.clone(), heard: Arc::default() });
            if contact.destination != *to {
                contact.destination = to.clone();
            }
            contact.heard.clone()
        };
        let heard = match &via {
            Some(via) => {
                self.paths.lock().record_tunnel_sent();
                self.relays.lock().record_sent(via.address, to.address)
            }
            None => {
                self.paths.lock().record_sent(to.address, options.is_engine);
                heard
            }
        };
        Exchange {
            egress: self.clone(),
            address: to.address,
            via,
            id: options.id.clone(),
            sent_at: self.clock.now(),
            opened_at: 0,
            is_sent: true,
            is_answered: false,
            heard,
            sign: self.signs.begin(to),
        }
    }

    fn candidates(&self, to: &Destination, may_repeat: bool) -> Vec<RelayOffer> {
        let now = self.clock.now();
        if !self.paths.lock().may_tunnel(now, to.address) {
            return Vec::new();
        }
        let relays = self.relays.lock();
        relays.list.candidates(now, &self.domain, &to.endpoint, may_repeat, MAX_RELAYS)
    }

    /// Returns the relays of the best standing: kept tunnels through the others are not used.
    fn best_candidates(&self, to: &Destination, may_repeat: bool) -> Vec<RelayOffer> {
        let mut offers = self.candidates(to, may_repeat);
        let (now, relays) = (self.clock.now(), self.relays.lock());
        let standing = |offer: &RelayOffer| relays.list.standing(now, offer.address, may_repeat);
        let best = offers.first().map(standing);
        offers.retain(|offer| Some(standing(offer)) == best);
        offers
    }

    /// Opens a connection to an endpoint, on whichever path accepts one first. The next path is
    /// tried once the last has failed or is slow; `direct_first` says where to begin.
    async fn open(
        self: &Arc<Self>,
        to: &Destination,
        direct_first: bool,
        may_repeat: bool,
    ) -> Result<Opened, SendFailure> {
        let direct = |egress: &Arc<Self>| -> Opening {
            let connecting = egress.clone().connect_direct(to.clone());
            Box::pin(async {
                let connected = connecting.await.map(|connection| (connection, None));
                connected.map_err(|reason| OpenFailure { reason, unreached_by: None })
            })
        };
        let mut waiting: Vec<Opening> = Vec::new();
        if !direct_first {
            waiting.push(direct(self));
        }
        for offer in self.candidates(to, may_repeat).into_iter().rev() {
            waiting.push(self.open_through(to, offer));
        }
        if direct_first {
            waiting.push(direct(self));
        }
        let mut running = FuturesUnordered::new();
        let mut failures: Vec<OpenFailure> = Vec::new();
        // Opened through a relay that may have lost its paths: used if no other one opens.
        let mut unproven: Option<Opened> = None;
        let after_tunnels = usize::from(!direct_first);
        loop {
            if running.is_empty()
                && waiting.len() <= after_tunnels
                && let Some(opened) = unproven.take()
            {
                self.finish_opening(running, failures);
                return Ok(opened);
            }
            running.extend(waiting.pop());
            if running.is_empty() {
                if failures.iter().any(|failure| failure.unreached_by.is_some()) {
                    self.paths.lock().record_no_tunnel(self.clock.now(), to.address);
                }
                let first = failures.into_iter().next();
                let reason = first.map(|failure| failure.reason).unwrap_or_default();
                return Err(SendFailure::NotSent(reason));
            }
            tokio::select! {
                biased;
                Some(opened) = running.next() => match opened {
                    Ok(opened) if self.is_unproven(&opened) => {
                        let surplus = unproven.replace(opened);
                        surplus.into_iter().for_each(|(other, _)| self.pool.keep_unused(other));
                    }
                    Ok(opened) => {
                        // The own path is tried after tunnels only if it is in doubt.
                        let is_last_resort = opened.1.is_none() && !direct_first;
                        let (chosen, other) = match unproven {
                            Some(tunnel) if is_last_resort => (tunnel, Some(opened)),
                            other => (opened, other),
                        };
                        other.into_iter().for_each(|(other, _)| self.pool.keep_unused(other));
                        self.finish_opening(running, failures);
                        return Ok(chosen);
                    }
                    Err(failure) => failures.push(failure),
                },
                () = tokio::time::sleep(STAGGER.into()), if !waiting.is_empty() => {}
            }
        }
    }

    fn is_unproven(&self, (_, via): &Opened) -> bool {
        let (now, relays) = (self.clock.now(), self.relays.lock());
        via.as_ref().is_some_and(|via| relays.list.health.is_unproven(now, via.address))
    }

    fn open_through(self: &Arc<Self>, to: &Destination, offer: RelayOffer) -> Opening {
        let relay = offer.address;
        let connecting = self.clone().connect_tunnel(to.clone(), offer);
        Box::pin(async move {
            connecting.await.map_err(|failure| OpenFailure {
                unreached_by: (failure == TunnelFailure::Endpoint).then_some(relay),
                reason: format!("{failure:?}"),
            })
        })
    }

    /// Lets the other attempts end by themselves: whether they succeed says which paths work. Other
    /// relays are preferred from now on to those that did not reach the endpoint.
    fn finish_opening(
        self: &Arc<Self>,
        mut running: FuturesUnordered<Opening>,
        failures: Vec<OpenFailure>,
    ) {
        failures.iter().for_each(|failure| self.record_unreached(failure));
        if running.is_empty() {
            return;
        }
        let egress = self.clone();
        tokio::spawn(async move {
            while let Some(opened) = running.next().await {
                match opened {
                    Ok((connection, _)) => egress.pool.keep_unused(connection),
                    Err(failure) => egress.record_unreached(&failure),
                }
            }
        });
    }

    /// Records that a relay did not reach an endpoint that is reached on another path.
    fn record_unreached(&self, failure: &OpenFailure) {
        if let Some(relay) = failure.unreached_by {
            self.relays.lock().list.health.record_failure(self.clock.now(), relay);
        }
    }

    async fn connect_direct(self: Arc<Self>, to: Destination) -> Result<Connection, String> {
        let connected = self.pool.connect(to.address).await;
        let (now, mut paths) = (self.clock.now(), self.paths.lock());
        match connected {
            Ok(connection) => {
                paths.record_connected(now, to.address);
                Ok(connection)
            }
            Err(err) => {
                paths.record_connect_failed(now, to.address, err.is_refused);
                Err(err.reason)
            }
        }
    }

    async fn connect_tunnel(
        self: Arc<Self>,
        to: Destination,
        offer: RelayOffer,
    ) -> Result<Opened, TunnelFailure> {
        let number = self.tunnel_count.fetch_add(1, Ordering::Relaxed) + 1;
        let req = TunnelRequest {
            tunnel: format!("{}-{number}", self.name).into(),
            entry: self.name.clone(),
            endpoint: to.endpoint.clone(),
            incarnation: to.incarnation,
            address: to.address,
            key: self.key.clone(),
        };
        let opened = self.pool.connect_through(offer.address, &req, TUNNEL_TIMEOUT).await;
        let now = self.clock.now();
        let result = match &opened {
            Ok(_) => "opened",
            Err(TunnelFailure::Endpoint) => "endpoint_unreachable",
            Err(TunnelFailure::Declined(_)) => "declined",
            Err(TunnelFailure::Relay(_)) => "relay_unreachable",
        };
        self.metrics.tunnels.with_label_values(&[result]).inc();
        event!(
            Debug,
            "tunnel_asked",
            tunnel = req.tunnel,
            via = offer.entry,
            endpoint = to.endpoint,
            address = to.address,
            result = result
        );
        match &opened {
            Ok(tunnel) => {
                let mut relays = self.relays.lock();
                relays.list.record_success(offer.address);
                let age = tunnel.answered_age.unwrap_or_default();
                relays.list.health.record_opened(now, offer.address, age);
                drop(relays);
                self.paths.lock().record_tunnel(now, to.address, false);
            }
            Err(TunnelFailure::Endpoint | TunnelFailure::Declined(StatusCode::NOT_FOUND)) => {}
            Err(_) => self.relays.lock().list.record_failure(now, offer.address),
        }
        let via = Via { entry: offer.entry, address: offer.address };
        opened.map(|tunnel| (tunnel.connection, Some(via)))
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// Fails if the answer does not arrive completely or is longer than 64 KiB.
    pub async fn fetch(
        self: &Arc<Self>,
        to: &Destination,
        req: Request<Full<Bytes>>,
        id: &Name,
        max_idle: Millis,
    ) -> Result<(StatusCode, Bytes), String> {
        let options = SendOptions {
            id,
            max_idle,
            may_repeat: false,
            may_try: true,
            is_engine: true,
            may_send: &|| true,
            take_retry: &|| false,
            on_stuck: &|| {},
        };
        let sent = self.send(to, req, options).await;
        let (answer, exchange) = sent.map_err(|err| format!("{err:?}"))?;
        let (response, connection) = answer.into_parts();
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_FETCHED_BYTES).collect().await;
        let body = body.map_err(|err| err.to_string())?;
        exchange.record_heard();
        if let Some(connection) = connection {
            connection.release();
        }
        Ok((status, body.to_bytes()))
    }
}

/// Waits for an answer; calls `on_stuck` once `lost` resolves if the request can be sent again.
async fn watched<F, S>(sending: F, options: SendOptions<'_>, lost: S) -> F::Output
where
    F: Future,
    S: Future<Output = ()>,
{
    let mut sending = pin!(sending);
    if options.may_repeat {
        tokio::select! {
            biased;
            sent = &mut sending => return sent,
            () = lost => (options.on_stuck)(),
        }
    }
    sending.await
}
