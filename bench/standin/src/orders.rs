//! Executes orders of control instances, with or without a check of fencing tokens.

use std::sync::Arc;

use ntex::web::{self, HttpResponse};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use sill_base::Name;
use sill_net::http::{self, Failure};
use sill_wire::endpoint::{Order, OrderAction};
use sill_wire::{ErrorCode, Role, Servable};

use crate::endpoint::Shared;

/// Models and role of an endpoint as changed by orders, and all orders received.
#[derive(Debug)]
pub struct Orders(Mutex<State>);

#[derive(Debug)]
struct State {
    highest: Fence,
    serves: Vec<Servable>,
    role: Role,
    records: Vec<OrderRecord>,
}

/// A received order and whether it was executed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order as received.
    pub order: Order,
    /// Whether the order was executed; `false` if its fencing token was outdated.
    pub done: bool,
}

#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Fence {
    term: u64,
    sequence: u64,
}

impl Orders {
    /// Creates the state of an endpoint that has received no orders.
    pub fn new(serves: Vec<Servable>) -> Self {
        let (highest, role, records) = (Fence::default(), Role::default(), Vec::new());
        Self(Mutex::new(State { highest, serves, role, records }))
    }

    /// Returns the models or services that the endpoint serves.
    pub fn serves(&self) -> Vec<Servable> {
        self.0.lock().serves.clone()
    }

    /// Returns the current role of the endpoint.
    pub fn role(&self) -> Role {
        self.0.lock().role
    }

    /// Returns all received orders in order of arrival.
    pub fn records(&self) -> Vec<OrderRecord> {
        self.0.lock().records.clone()
    }

    /// Executes an order and returns `true`, unless `checks_fencing` is set and an order with a
    /// newer fencing token was executed before. A repeated order is executed again, which changes
    /// nothing.
    pub fn receive(&self, order: Order, checks_fencing: bool) -> bool {
        let mut state = self.0.lock();
        let fence = Fence { term: order.term, sequence: order.sequence };
        let done = !checks_fencing || fence >= state.highest;
        if done {
            state.highest = state.highest.max(fence);
            state.apply(&order.action);
        }
        state.records.push(OrderRecord { order, done });
        done
    }
}

impl State {
    fn apply(&mut self, action: &OrderAction) {
        match action {
            OrderAction::LoadModel { model, version } => {
                self.unload(model);
                self.serves.push(Servable::Model {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: Vec::new(),
                });
            }
            OrderAction::UnloadModel { model } => self.unload(model),
            OrderAction::LoadAdapter { model: base_model, adapter } => {
                for served in &mut self.serves {
                    if let Servable::Model { model, adapters, .. } = served
                        && model == base_model
                        && !adapters.contains(adapter)
                    {
                        adapters.push(adapter.clone());
                    }
                }
            }
            OrderAction::ChangeRole { role } => self.role = *role,
            OrderAction::Drain => self.role = Role::Standby,
        }
    }

    fn unload(&mut self, model_name: &Name) {
        self.serves.retain(|s| !matches!(s, Servable::Model { model, .. } if model == model_name));
    }
}

/// `POST /orders`: executes an order.
pub(crate) async fn order(
    app: web::types::State<Arc<Shared>>,
    order: web::types::Json<Order>,
) -> HttpResponse {
    if app.orders.receive(order.into_inner(), app.cfg.checks_fencing) {
        return HttpResponse::NoContent().finish();
    }
    Failure::new(ErrorCode::Forbidden, "a newer order came before").response(&Name::default())
}

/// `GET /orders`: returns all received orders.
pub(crate) async fn list(app: web::types::State<Arc<Shared>>) -> HttpResponse {
    http::json(200, &app.orders.records())
}
