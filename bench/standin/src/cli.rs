//! Command line of the stand-ins.

use std::net::SocketAddr;
use std::sync::Arc;

use eyre::{Result, bail};
use sill_base::{Findings, Millis, Name};
use sill_setup::{Flag, Program, Values};
use sill_wire::Servable;

use crate::cloud::{self, Cloud, Offer};
use crate::endpoint::{Endpoint, EndpointCfg};
use crate::weights::{self, Store, StoreCfg};

/// Price of an on-demand instance, which is never reclaimed, as a multiple of a reclaimable one.
const ON_DEMAND_PRICE_FACTOR: u64 = 4;

/// Flags and help text of `sill-standin endpoint`.
pub const ENDPOINT: Program = Program {
    name: "sill-standin endpoint",
    about: "a stand-in for a model engine or a plain service",
    operands: "",
    flags: &[
        Flag::one("name", "NAME", "name of the endpoint"),
        Flag::one("domain", "NAME", "failure domain of the endpoint"),
        Flag::with_default("listen", "IP:PORT", "127.0.0.1:0", "address to listen on"),
        Flag::many("entry", "IP:PORT", "entry instance to announce itself to"),
        Flag::one("join-token-file", "FILE", "file with the join token"),
        Flag::with_default("model", "NAME", "desk-7b", "model to serve"),
        Flag::one("service", "NAME", "plain service to serve instead of a model"),
        Flag::with_default("slots", "N", "8", "requests that run concurrently"),
        Flag::with_default(
            "prefill-us-per-token",
            "N",
            "50",
            "microseconds to compute one prompt token",
        ),
        Flag::with_default(
            "kv-us-per-token",
            "N",
            "2",
            "microseconds to transfer the KV cache of one token",
        ),
        Flag::with_default("decode-ms", "N", "10", "milliseconds between two tokens of an answer"),
        Flag::with_default("cache-tokens", "N", "65536", "capacity of the prefix cache in tokens"),
        Flag::with_default(
            "lag-ms",
            "N",
            "200",
            "age in milliseconds of load reports and cache events when sent",
        ),
        Flag::with_default(
            "lose-events",
            "PERCENT",
            "0",
            "percentage of cache event batches to drop",
        ),
        Flag::with_default("class", "NAME", "standard", "machine class"),
        Flag::with_default(
            "price",
            "N",
            "1000",
            "price in thousandths of a currency unit per hour",
        ),
        Flag::switch("on-demand", "instance that the platform never reclaims"),
        Flag::switch("no-fencing", "execute orders with an outdated fencing token"),
    ],
};

/// Flags and help text of `sill-standin cloud`.
pub const CLOUD: Program = Program {
    name: "sill-standin cloud",
    about: "a stand-in for the platform's cloud API; PUT /offers replaces its offers",
    operands: "",
    flags: &[
        Flag::with_default("listen", "IP:PORT", "127.0.0.1:0", "address to listen on"),
        Flag::many("domain", "NAME", "failure domain to offer instances in"),
        Flag::with_default("class", "NAME", "standard", "machine class"),
        Flag::with_default(
            "price",
            "N",
            "300",
            "price of a reclaimable instance; on-demand instances cost four times as much",
        ),
        Flag::with_default("left", "N", "10", "instances available per failure domain and kind"),
    ],
};

/// Flags and help text of `sill-standin weights`.
pub const WEIGHTS: Program = Program {
    name: "sill-standin weights",
    about: "a stand-in for the weights store; all reads share one bandwidth",
    operands: "",
    flags: &[
        Flag::with_default("listen", "IP:PORT", "127.0.0.1:0", "address to listen on"),
        Flag::with_default("size", "BYTES", "16000000000", "size of a model's weights"),
        Flag::with_default("rate", "BYTES", "2000000000", "bytes per second over all reads"),
        Flag::with_default(
            "waiting",
            "N",
            "16",
            "reads in progress or queued before further ones are refused",
        ),
    ],
};

/// Parses the settings of a stand-in endpoint.
///
/// # Errors
///
/// Returns all findings, each with its flag and environment variable.
pub fn endpoint_cfg(values: &mut Values) -> Result<EndpointCfg, Findings> {
    let name = values.name("name");
    let domain = values.name("domain");
    let listen = values.required("listen");
    let entries: Vec<SocketAddr> = values.many("entry");
    let join_token = values.secret("join-token-file");
    let model: Option<String> = values.required("model");
    let service: Option<String> = values.optional("service");
    let slots = values.required("slots");
    let prefill = values.required("prefill-us-per-token");
    let kv = values.required("kv-us-per-token");
    let decode = values.required("decode-ms");
    let cache_tokens = values.required("cache-tokens");
    let lag = values.required("lag-ms");
    let lose_events: Option<u8> = values.required("lose-events");
    let class: Option<String> = values.required("class");
    let price = values.required("price");
    let reclaimable = !values.switch("on-demand");
    let checks_fencing = !values.switch("no-fencing");
    if lose_events.is_some_and(|percent| percent > 100) {
        values.add_finding("lose-events", "expected at most 100");
    }
    values.finish()?;
    let defaults = EndpointCfg::default();
    let served = match service {
        Some(service) => Servable::Service { service: service.into() },
        None => Servable::Model {
            model: model.unwrap_or_default().into(),
            version: Name::default(),
            adapters: Vec::new(),
        },
    };
    Ok(EndpointCfg {
        name: name.unwrap_or(defaults.name),
        domain: domain.unwrap_or(defaults.domain),
        listen: listen.unwrap_or(defaults.listen),
        entries,
        join_token: join_token.unwrap_or(defaults.join_token),
        serves: vec![served],
        slots: slots.unwrap_or(defaults.slots),
        prefill_us_per_token: prefill.unwrap_or(defaults.prefill_us_per_token),
        kv_us_per_token: kv.unwrap_or(defaults.kv_us_per_token),
        decode: decode.map_or(defaults.decode, Millis),
        cache_tokens: cache_tokens.unwrap_or(defaults.cache_tokens),
        lag: lag.map_or(defaults.lag, Millis),
        lose_events: lose_events.unwrap_or(defaults.lose_events),
        class: class.map_or(defaults.class, Name::from),
        price: price.unwrap_or(defaults.price),
        reclaimable,
        checks_fencing,
        exit_on_death: true,
    })
}

/// Starts the stand-in that the first argument names and runs it until the process is terminated.
///
/// # Errors
///
/// Fails when a flag is invalid or the address can't be bound.
pub fn run(mut args: Vec<String>) -> Result<()> {
    let kind = if args.is_empty() { String::new() } else { args.remove(0) };
    let program = match kind.as_str() {
        "endpoint" => &ENDPOINT,
        "cloud" => &CLOUD,
        "weights" => &WEIGHTS,
        _ => bail!("expected `endpoint`, `cloud` or `weights` and its flags; each has `--help`"),
    };
    let Some(mut values) = program.values_or_help(args)? else {
        return Ok(());
    };
    let address = match kind.as_str() {
        "endpoint" => {
            let cfg = endpoint_cfg(&mut values)?;
            sill_setup::logs::start(log::LevelFilter::Info)?;
            Endpoint::start(cfg)?.address
        }
        "cloud" => start_cloud(&mut values)?,
        _ => start_weights(&mut values)?,
    };
    sill_base::event!(Info, "standin_listens", kind = kind, address = address);
    loop {
        std::thread::park();
    }
}

fn start_cloud(values: &mut Values) -> Result<SocketAddr> {
    let listen = values.required("listen");
    let domains: Vec<String> = values.many("domain");
    let class: Option<String> = values.required("class");
    let price: Option<u64> = values.required("price");
    let left: Option<u32> = values.required("left");
    values.finish()?;
    sill_setup::logs::start(log::LevelFilter::Info)?;
    let class = Name::from(class.unwrap_or_default());
    let price = price.unwrap_or_default();
    let offers = domains.iter().flat_map(|domain| {
        [(true, price), (false, price * ON_DEMAND_PRICE_FACTOR)].map(|(reclaimable, price)| Offer {
            domain: domain.as_str().into(),
            class: class.clone(),
            reclaimable,
            price,
            left: left.unwrap_or_default(),
        })
    });
    let cloud = Arc::new(Cloud::new(offers.collect()));
    cloud::serve(cloud, listen.unwrap_or(EndpointCfg::default().listen))
}

fn start_weights(values: &mut Values) -> Result<SocketAddr> {
    let listen = values.required("listen");
    let size: Option<u64> = values.required("size");
    let rate: Option<u64> = values.required("rate");
    let waiting: Option<u32> = values.required("waiting");
    values.finish()?;
    sill_setup::logs::start(log::LevelFilter::Info)?;
    let cfg = StoreCfg {
        size: size.unwrap_or_default(),
        rate: rate.unwrap_or_default(),
        waiting: waiting.unwrap_or_default(),
    };
    let store = Arc::new(Store::new(cfg));
    weights::serve(store, listen.unwrap_or(EndpointCfg::default().listen))
}
