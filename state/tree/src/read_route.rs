//! Parses routes and pools from JSON and reports all faults.

use serde_json::Value;
use sill_base::{Findings, Millis, Name};

use crate::object::{self, Object, Place};
use crate::route::{CallerBounds, CapacityRange, Engine, Pool, Route, RouteKind, Share};

/// Maximum number of attempts of a route that doesn't set one.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;

/// Parses a route. Its references to services are checked with the whole tree.
pub fn route(value: &Value, place: Place<'_>, findings: &mut Findings) -> Option<Route> {
    let mut fields = Object::open(value, place, findings)?;
    let route = Route {
        host: fields.required("host", findings, text).unwrap_or_default(),
        path: fields.required("path", findings, path).unwrap_or_default(),
        kind: fields.required("kind", findings, kind).unwrap_or_default(),
        timeout_ms: fields.required("timeout_ms", findings, object::millis).unwrap_or_default(),
        target_ms: fields.read("target_ms", findings, object::millis),
        interval_ms: fields.read("interval_ms", findings, object::millis),
        urgency: fields.read("urgency", findings, urgency).unwrap_or_default(),
        split: fields.list("split", findings, share),
        max_attempts: fields
            .read("max_attempts", findings, object::integer_u32)
            .unwrap_or(DEFAULT_MAX_ATTEMPTS),
        anonymous: fields.read("anonymous", findings, object::boolean).unwrap_or_default(),
    };
    if route.split.iter().all(|share| share.weight == 0) {
        findings.add(fields.place("split").text(), "the weights add up to 0");
    }
    fields.reject_unknown_fields(findings);
    Some(route)
}

/// Parses the fields of a pool, after the caller has parsed its `kind`.
pub fn pool(fields: &mut Object<'_>, findings: &mut Findings) -> Pool {
    Pool {
        health_path: fields.read("health_path", findings, text),
        max_connections: fields.read("max_connections", findings, object::integer_u32),
        engine: fields.read("engine", findings, engine),
        capacity: fields.read("capacity", findings, capacity),
    }
}

/// Parses the bounds on requests and connections of callers.
pub fn caller_bounds(
    value: &Value,
    place: &Place<'_>,
    findings: &mut Findings,
) -> Option<CallerBounds> {
    let mut fields = Object::open(value, *place, findings)?;
    let bounds = CallerBounds {
        header_bytes: fields.read("header_bytes", findings, object::integer),
        body_bytes: fields.read("body_bytes", findings, object::integer),
        idle_ms: fields.read("idle_ms", findings, object::millis),
    };
    fields.reject_unknown_fields(findings);
    Some(bounds)
}

/// Parses the urgency of an account or a route.
pub fn urgency(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<u8> {
    let number = object::integer(value, place, findings)?;
    let converted = u8::try_from(number).ok();
    if converted.is_none() {
        findings.add(place.text(), format!("{number} is more than {}", u8::MAX));
    }
    converted
}

/// Parses a number of at least 0.
pub fn non_negative(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<f64> {
    let number = value.as_f64().filter(|number| *number >= 0.0);
    if number.is_none() {
        findings.add(place.text(), "expected a number of at least 0");
    }
    number
}

fn engine(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Engine> {
    let mut fields = Object::open(value, *place, findings)?;
    let engine = Engine {
        slots: fields.read("slots", findings, object::integer_u32).unwrap_or_default(),
        cache_tokens: fields.read("cache_tokens", findings, object::integer).unwrap_or_default(),
        moves: fields.read("moves", findings, object::boolean).unwrap_or_default(),
        backups: fields.read("backups", findings, object::boolean).unwrap_or_default(),
    };
    fields.reject_unknown_fields(findings);
    Some(engine)
}

fn capacity(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<CapacityRange> {
    let mut fields = Object::open(value, *place, findings)?;
    let range = CapacityRange {
        min: fields.read("min", findings, object::integer_u32).unwrap_or_default(),
        max: fields.required("max", findings, object::integer_u32).unwrap_or_default(),
        boot_ms: fields.read("boot_ms", findings, millis_or_zero).unwrap_or_default(),
        reclaimable_price: fields.read("reclaimable_price", findings, non_negative),
        prices: fields
            .entries_by_name("prices", findings, |value, place, findings| {
                non_negative(value, &place, findings)
            })
            .into_iter()
            .collect(),
    };
    if range.min > range.max {
        findings.add(fields.place("min").text(), "more than max");
    }
    fields.reject_unknown_fields(findings);
    Some(range)
}

/// Parses a duration in milliseconds, which may be 0.
fn millis_or_zero(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Millis> {
    object::integer(value, place, findings).map(Millis)
}

fn share(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Share> {
    let mut fields = Object::open(value, *place, findings)?;
    let service = fields.required("service", findings, text);
    let weight = fields.required("weight", findings, object::integer_u32);
    fields.reject_unknown_fields(findings);
    Some(Share { service: service?, weight: weight? })
}

fn kind(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<RouteKind> {
    let text = object::text(value, place, findings)?;
    let entry = RouteKind::NAMES.iter().find(|(_, name)| *name == text);
    if entry.is_none() {
        let names: Vec<&str> = RouteKind::NAMES.iter().map(|(_, name)| *name).collect();
        let reason = format!("unknown kind {text:?}; expected one of {}", names.join(", "));
        findings.add(place.text(), reason);
    }
    entry.map(|(kind, _)| *kind)
}

fn text(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Name> {
    object::text(value, place, findings).map(Name::from)
}

/// Parses the path prefix of a route.
fn path(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Name> {
    let path = text(value, place, findings)?;
    if !path.starts_with('/') || !path.ends_with('/') {
        findings.add(place.text(), "expected a path that begins and ends with `/`");
    }
    Some(path)
}
