//! The HTTP API for operators and endpoints.

mod announce;
mod audit;
mod caller;
mod drain;
mod health;
mod reply;
mod rollouts;
mod tree;

use ntex::web::{self, ServiceConfig};

/// Adds the routes of the API to a server.
pub fn routes(cfg: &mut ServiceConfig) {
    cfg.service((
        web::resource("/livez").route(web::get().to(health::livez)),
        web::resource("/readyz").route(web::get().to(health::readyz)),
        web::resource("/metrics").route(web::get().to(health::metrics)),
        web::resource("/fleet").route(web::get().to(health::fleet)),
        web::resource("/announce").route(web::post().to(announce::post)),
        web::resource("/audit").route(web::get().to(audit::get)),
        web::resource("/drain/{name}").route(web::post().to(drain::post)),
        web::resource("/rollouts/{service}")
            .route(web::post().to(rollouts::post))
            .route(web::get().to(rollouts::get)),
        web::resource("/tree")
            .route(web::get().to(tree::get_root))
            .route(web::put().to(tree::put_root)),
        web::resource("/tree/{path}*")
            .route(web::get().to(tree::get))
            .route(web::put().to(tree::put))
            .route(web::delete().to(tree::delete)),
    ));
}
