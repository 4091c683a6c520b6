//! Parses a settings document from JSON and reports all faults, whereas serde stops at the first
//! one.

use serde_json::Value;
use sill_base::{Findings, Name};

use crate::document::{
    Account, CallRule, Document, KeyHash, LatencyTarget, Limit, Placement, Service,
};
use crate::object::{self, Object, Place};
use crate::read_route;

/// Names of the priorities, lowest first.
pub const PRIORITIES: [&str; 3] = ["low", "normal", "high"];

/// Methods that a call rule may have.
const METHODS: [&str; 8] = ["*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Parses the document of a subtree without the checks that need the rest of the tree.
///
/// # Errors
///
/// Returns every finding with its place.
pub fn standalone_document(path: &str, value: &Value) -> Result<Document, Findings> {
    let mut findings = Findings::new();
    let document = document(path, value, &mut findings);
    findings.into_result(document)
}

/// Parses the document of a subtree. Values that can't be parsed are left out, each with a finding.
pub fn document(path: &str, value: &Value, findings: &mut Findings) -> Document {
    let mut document = Document::default();
    let Some(mut fields) = Object::open(value, Place::top(path), findings) else {
        return document;
    };
    document.owner = fields.read("owner", findings, key_hash);
    document.latency = fields.read("latency", findings, latency);
    document.price_cap = fields.read("price_cap", findings, object::integer);
    document.placement = fields.read("placement", findings, placement);
    document.deadline_ms = fields.read("deadline_ms", findings, object::millis);
    document.limit = fields.read("limit", findings, limit);
    document.services.extend(fields.entries_by_name(
        "services",
        findings,
        |value, place, findings| {
            // Keep the name of a service that can't be parsed, so that references to it cause no
            // further findings.
            let placeholder = Service::Plain { non_idempotent: Vec::new(), min_endpoints: 0 };
            Some(service(value, place, findings).unwrap_or(placeholder))
        },
    ));
    document.accounts.extend(fields.entries_by_name("accounts", findings, account));
    document.routes.extend(fields.entries_by_name("routes", findings, read_route::route));
    document.caller_bounds = fields.read("caller_bounds", findings, read_route::caller_bounds);
    fields.reject_unknown_fields(findings);
    document
}

fn service(value: &Value, place: Place<'_>, findings: &mut Findings) -> Option<Service> {
    let mut fields = Object::open(value, place, findings)?;
    let kind = fields.required("kind", findings, object::text)?;
    let service = match kind.as_str() {
        "model" => Service::Model {
            version: fields.read("version", findings, version).unwrap_or_default(),
            adapters: unique_list(&mut fields, "adapters", findings, object::name),
            min_endpoints: fields
                .read("min_endpoints", findings, object::integer_u32)
                .unwrap_or_default(),
            latency: fields.read("latency", findings, latency),
        },
        "plain" => Service::Plain {
            non_idempotent: fields.list("non_idempotent", findings, call_rule),
            min_endpoints: fields
                .read("min_endpoints", findings, object::integer_u32)
                .unwrap_or_default(),
        },
        "pool" => Service::Pool(read_route::pool(&mut fields, findings)),
        other => {
            let reason = format!("expected `model`, `plain` or `pool`, found {other:?}");
            findings.add(fields.place("kind").text(), reason);
            return None;
        }
    };
    fields.reject_unknown_fields(findings);
    Some(service)
}

fn account(value: &Value, place: Place<'_>, findings: &mut Findings) -> Option<Account> {
    let mut fields = Object::open(value, place, findings)?;
    let account = Account {
        keys: unique_list(&mut fields, "keys", findings, key_hash),
        limit: fields.read("limit", findings, limit),
        weight: fields.read("weight", findings, weight),
        priority: fields.read("priority", findings, priority),
        max_priority: fields.read("max_priority", findings, priority),
        services: unique_list(&mut fields, "services", findings, object::name),
        urgency: fields.read("urgency", findings, read_route::urgency),
        burst: fields.read("burst", findings, read_route::non_negative),
        default_tokens: fields.read("default_tokens", findings, object::integer),
    };
    let rank = |name: &Option<Name>| PRIORITIES.iter().position(|p| Some(*p) == name.as_deref());
    if let (Some(default), Some(highest)) = (rank(&account.priority), rank(&account.max_priority))
        && default > highest
    {
        findings.add(fields.place("priority").text(), "higher than max_priority");
    }
    fields.reject_unknown_fields(findings);
    Some(account)
}

/// Parses a version, which is empty if none is required.
fn version(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Name> {
    match value.as_str() {
        Some("") => Some(Name::default()),
        _ => object::name(value, place, findings),
    }
}

fn weight(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<u32> {
    let weight = object::integer_u32(value, place, findings)?;
    if weight == 0 {
        findings.add(place.text(), "expected at least 1");
    }
    Some(weight)
}

fn priority(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Name> {
    let text = object::text(value, place, findings)?;
    if !PRIORITIES.contains(&text.as_str()) {
        let known = PRIORITIES.join(", ");
        findings.add(place.text(), format!("unknown priority {text:?}; expected one of {known}"));
    }
    Some(text.into())
}

fn latency(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<LatencyTarget> {
    let mut fields = Object::open(value, *place, findings)?;
    let ttft_ms = fields.required("ttft_ms", findings, object::millis);
    let between_tokens_ms = fields.required("between_tokens_ms", findings, object::millis);
    fields.reject_unknown_fields(findings);
    Some(LatencyTarget { ttft_ms: ttft_ms?, between_tokens_ms: between_tokens_ms? })
}

fn limit(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Limit> {
    let mut fields = Object::open(value, *place, findings)?;
    let limit = Limit {
        requests_per_s: fields.read("requests_per_s", findings, object::rate),
        tokens_per_s: fields.read("tokens_per_s", findings, object::rate),
    };
    fields.reject_unknown_fields(findings);
    Some(limit)
}

fn placement(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Placement> {
    let mut fields = Object::open(value, *place, findings)?;
    let placement = Placement {
        domains: unique_list(&mut fields, "domains", findings, object::name),
        classes: unique_list(&mut fields, "classes", findings, object::name),
        reclaimable: fields.read("reclaimable", findings, object::boolean),
    };
    fields.reject_unknown_fields(findings);
    Some(placement)
}

fn call_rule(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<CallRule> {
    let mut fields = Object::open(value, *place, findings)?;
    let method = fields.required("method", findings, method);
    let path = fields.required("path", findings, call_path);
    fields.reject_unknown_fields(findings);
    Some(CallRule { method: method?, path: path? })
}

fn method(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<Name> {
    let text = object::text(value, place, findings)?;
    if !METHODS.contains(&text.as_str()) {
        let known = METHODS.join(", ");
        findings.add(place.text(), format!("unknown method {text:?}; expected one of {known}"));
    }
    Some(text.into())
}

fn call_path(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<String> {
    let text = object::text(value, place, findings)?;
    if !text.starts_with('/') || text.contains(['?', '#']) {
        findings.add(place.text(), "expected a path that starts with `/`, without `?` and `#`");
    }
    Some(text)
}

/// Parses a hash. A secret key in place of its hash is rejected, and the finding must not repeat
/// it.
fn key_hash(value: &Value, place: &Place<'_>, findings: &mut Findings) -> Option<KeyHash> {
    let text = object::text(value, place, findings)?;
    let hash = KeyHash(text.into());
    if !hash.is_well_formed() {
        let reason = "expected `blake3:` and 64 hexadecimal digits, as `sill hash` prints them";
        findings.add(place.text(), reason);
    }
    Some(hash)
}

/// Parses a list and adds a finding for each duplicate element.
fn unique_list<'a, T, F>(
    fields: &mut Object<'a>,
    name: &'static str,
    findings: &mut Findings,
    reader: F,
) -> Vec<T>
where
    T: PartialEq,
    F: FnMut(&'a Value, &Place<'_>, &mut Findings) -> Option<T>,
{
    let list = fields.list(name, findings, reader);
    let place = fields.place(name);
    for (i, element) in list.iter().enumerate() {
        if list[..i].contains(element) {
            findings.add(place.element(i).text(), "stands in the list twice");
        }
    }
    list
}
