//! A stand-in for the platform's cloud API: prices, starts that may be refused, and reclaim
//! notices.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use eyre::Result;
use ntex::web::{self, App, HttpResponse, HttpServer, ServiceConfig};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use sill_base::{Millis, Name};
use sill_net::http::{self, Failure};
use sill_wire::ErrorCode;

/// One kind of instance that the platform offers in a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Offer {
    /// Failure domain of the instances.
    pub domain: Name,
    /// Machine class of the instances.
    pub class: Name,
    /// Whether the platform may reclaim the instances.
    pub reclaimable: bool,
    /// Price in thousandths of a currency unit per hour.
    pub price: u64,
    /// Number of instances still available; at 0, starts are refused.
    pub left: u32,
}

/// A request to start an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StartInstance {
    /// Failure domain in which to start the instance.
    pub domain: Name,
    /// Machine class of the instance.
    pub class: Name,
    /// Whether the platform may reclaim the instance.
    pub reclaimable: bool,
    /// Idempotency key: a retry with the same value returns the same instance.
    pub start: Name,
}

/// A running instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Instance {
    /// Name assigned by the platform.
    pub name: Name,
    /// The request that started the instance.
    pub wanted: StartInstance,
}

/// A reclaim notice for one instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// Name of the instance.
    pub instance: Name,
    /// Time until the instance is reclaimed.
    pub in_ms: Millis,
}

/// A request to reclaim all reclaimable instances of a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReclaimDomain {
    /// Failure domain whose instances are reclaimed.
    pub domain: Name,
    /// Time until the instances are reclaimed.
    pub in_ms: Millis,
}

/// The platform with its offers, running instances and reclaim notices.
#[derive(Debug, Default)]
pub struct Cloud(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    offers: Vec<Offer>,
    instances: BTreeMap<Name, Instance>,
    notices: Vec<Notice>,
    started: u64,
}

impl Cloud {
    /// Creates a platform with these offers and no instances.
    pub fn new(offers: Vec<Offer>) -> Self {
        Self(Mutex::new(State { offers, ..State::default() }))
    }

    /// Returns the current offers.
    pub fn offers(&self) -> Vec<Offer> {
        self.0.lock().offers.clone()
    }

    /// Replaces the offers, for example after a change of prices or to restore capacity.
    pub fn set_offers(&self, offers: Vec<Offer>) {
        self.0.lock().offers = offers;
    }

    /// Starts an instance, or returns `None` if no matching one is available. A retry with the same
    /// `start` key returns the same instance.
    pub fn start(&self, request: StartInstance) -> Option<Instance> {
        let mut state = self.0.lock();
        if let Some(existing) = state.instances.values().find(|i| i.wanted.start == request.start) {
            return Some(existing.clone());
        }
        let offer = state.offers.iter_mut().find(|offer| {
            offer.domain == request.domain
                && offer.class == request.class
                && offer.reclaimable == request.reclaimable
        })?;
        offer.left = offer.left.checked_sub(1)?;
        state.started += 1;
        let name: Name = format!("i-{}", state.started).into();
        let instance = Instance { name: name.clone(), wanted: request };
        state.instances.insert(name, instance.clone());
        Some(instance)
    }

    /// Stops an instance and makes its capacity available again. Returns whether it existed.
    pub fn stop(&self, name: &str) -> bool {
        let mut state = self.0.lock();
        let Some(instance) = state.instances.remove(name) else {
            return false;
        };
        let request = instance.wanted;
        for offer in &mut state.offers {
            if offer.domain == request.domain
                && offer.class == request.class
                && offer.reclaimable == request.reclaimable
            {
                offer.left += 1;
            }
        }
        true
    }

    /// Returns all running instances.
    pub fn instances(&self) -> Vec<Instance> {
        self.0.lock().instances.values().cloned().collect()
    }

    /// Adds a notice for each reclaimable instance of a failure domain, and sets the capacity for
    /// more of them there to 0. Returns the number of notices.
    pub fn reclaim(&self, request: &ReclaimDomain) -> usize {
        let mut state = self.0.lock();
        let is_affected =
            |domain: &Name, reclaimable: bool| reclaimable && *domain == request.domain;
        for offer in &mut state.offers {
            if is_affected(&offer.domain, offer.reclaimable) {
                offer.left = 0;
            }
        }
        let affected = state.instances.values();
        let affected = affected.filter(|i| is_affected(&i.wanted.domain, i.wanted.reclaimable));
        let notices: Vec<Notice> =
            affected.map(|i| Notice { instance: i.name.clone(), in_ms: request.in_ms }).collect();
        let count = notices.len();
        state.notices.extend(notices);
        count
    }

    /// Returns all notices from index `from` on.
    pub fn notices(&self, from: usize) -> Vec<Notice> {
        self.0.lock().notices.iter().skip(from).cloned().collect()
    }
}

type AppState = web::types::State<Arc<Cloud>>;

/// Serves the platform's API on a new thread and returns its address.
///
/// # Errors
///
/// Fails when the address can't be bound.
pub fn serve(cloud: Arc<Cloud>, listen: SocketAddr) -> Result<SocketAddr> {
    let listener = http::bind(listen)?;
    let address = listener.local_addr()?;
    http::spawn_system("cloud", move || async move {
        HttpServer::new(async move || App::new().state(cloud.clone()).configure(routes))
            .workers(1)
            .disable_signals()
            .listen(listener)?
            .run()
            .await
    })?;
    Ok(address)
}

fn routes(cfg: &mut ServiceConfig) {
    cfg.service((
        web::resource("/offers")
            .route(web::get().to(async |cloud: AppState| http::json(200, &cloud.offers())))
            .route(web::put().to(set_offers)),
        web::resource("/instances")
            .route(web::get().to(async |cloud: AppState| http::json(200, &cloud.instances())))
            .route(web::post().to(start)),
        web::resource("/instances/{name}").route(web::delete().to(stop)),
        web::resource("/reclaim").route(web::post().to(reclaim)),
        web::resource("/notices/{from}").route(web::get().to(notices)),
    ));
}

async fn set_offers(cloud: AppState, offers: web::types::Json<Vec<Offer>>) -> HttpResponse {
    cloud.set_offers(offers.into_inner());
    HttpResponse::NoContent().finish()
}

async fn start(cloud: AppState, wanted: web::types::Json<StartInstance>) -> HttpResponse {
    match cloud.start(wanted.into_inner()) {
        Some(instance) => http::json(201, &instance),
        None => Failure::new(ErrorCode::NoCapacity, "none left").response(&Name::default()),
    }
}

async fn stop(cloud: AppState, name: web::types::Path<Name>) -> HttpResponse {
    if cloud.stop(&name) {
        return HttpResponse::NoContent().finish();
    }
    Failure::new(ErrorCode::NotFound, "no such instance").response(&Name::default())
}

async fn reclaim(cloud: AppState, request: web::types::Json<ReclaimDomain>) -> HttpResponse {
    let count = cloud.reclaim(&request);
    http::json(200, &serde_json::json!({ "notices": count }))
}

async fn notices(cloud: AppState, from: web::types::Path<usize>) -> HttpResponse {
    http::json(200, &cloud.notices(from.into_inner()))
}
