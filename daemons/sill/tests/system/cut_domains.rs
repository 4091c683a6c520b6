//! Whole failure domains whose connections to endpoints fail while those of others work.

use std::thread;
use std::time::{Duration, Instant};

use sill_base::Map;

use crate::cuts::{CONTACT_TIME, CUT_TIME, Cut, DEADLINE, ENDPOINTS, Layout, Record, System};

/// Part of the calls that is to be answered, at instances that are cut off from endpoints.
const SERVED: f64 = 0.97;

/// Time after the start of the cut at which the first endpoint is replaced.
const REPLACED_FROM: Duration = Duration::from_millis(2200);

/// Time between the replacements of two endpoints.
const REPLACED_EACH: Duration = Duration::from_millis(160);

/// A cut of entry instances from all endpoints.
struct Case {
    name: &'static str,
    path: &'static str,
    cut: Cut,
    cut_off: &'static [usize],
    /// Whether all endpoints are replaced during the cut.
    is_replaced: bool,
    layout: Layout,
}

const ALL_BUSY: Layout =
    Layout { gateways: 9, per_domain: 3, callers: &[4, 4, 4, 2, 2, 2, 2, 2, 2], is_engine: true };

/// Only one of the instances that are cut off has callers.
const CUT_OFF_IDLE: Layout =
    Layout { gateways: 9, per_domain: 3, callers: &[4, 0, 0, 0, 2, 2, 2, 2, 2], is_engine: false };

/// Plays a case; returns what failed.
fn play(case: &Case) -> Option<String> {
    let Case { name, path, cut, cut_off, is_replaced, layout } = case;
    let system = System::start_with(name, path, *layout);
    let began = Instant::now();
    system.endpoints.set_cuts(cut_off, ENDPOINTS, *cut);
    if *is_replaced {
        thread::sleep(REPLACED_FROM);
        for endpoint in 0..ENDPOINTS {
            system.replace(endpoint);
            thread::sleep(REPLACED_EACH);
        }
    }
    thread::sleep(CUT_TIME.saturating_sub(began.elapsed()));
    let ended = Instant::now();
    system.endpoints.set_cuts(cut_off, ENDPOINTS, Cut::None);
    thread::sleep(DEADLINE);
    let records = system.records();
    let is_judged = |r: &&Record| r.at >= began + CONTACT_TIME && r.at + DEADLINE <= ended;
    let (cut, others): (Vec<&Record>, Vec<&Record>) =
        records.iter().filter(is_judged).partition(|r| cut_off.contains(&r.gateway));
    let served = |records: &[&Record]| records.iter().filter(|r| r.is_served()).count();
    let mut failures: Map<Option<(u16, &str)>, usize> = Map::default();
    for record in cut.iter().filter(|r| !r.is_served()) {
        let answer = record.answer.as_ref().map(|answer| (answer.status, answer.body.as_str()));
        let code = answer.map(|(status, body)| (status, body.split('"').nth(5).unwrap_or(body)));
        *failures.entry(code).or_default() += 1;
    }
    let counts = format!(
        "{name}: {} of {} answered at the instances cut off, {} of {} at the others; {failures:?}",
        served(&cut),
        cut.len(),
        served(&others),
        others.len()
    );
    println!("{counts}");
    let is_met = |records: &[&Record]| served(records) as f64 >= SERVED * records.len() as f64;
    if *path == "booked" {
        system.check_runs();
    }
    if is_met(&cut) && is_met(&others) {
        assert!(cut.len() >= 40, "too few calls: {counts}");
        return None;
    }
    let failed: Vec<&&Record> = cut.iter().filter(|r| !r.is_served()).take(10).collect();
    Some(format!("{counts}; {failed:?}\n{}", system.log_of_paths(cut_off[0])))
}

fn check(cases: &[Case]) {
    let failures: Vec<String> = cases.iter().filter_map(play).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// A failure domain is cut off, and takes itself for connected again as the endpoints end that it knew.
#[test]
fn calls_in_a_failure_domain_cut_off_are_served_while_endpoints_are_replaced() {
    let case = |name, path, cut| Case {
        name,
        path,
        cut,
        cut_off: &[0, 1, 2],
        is_replaced: true,
        layout: ALL_BUSY,
    };
    check(&[
        case("replaced", "looked-up", Cut::Hang),
        case("replaced-once", "booked", Cut::Hang),
        case("replaced-reset", "looked-up", Cut::Reset),
    ]);
}

/// Entry instances that are cut off as well and have no calls of their own, so that they don't notice,
/// are asked for tunnels again and again.
#[test]
fn calls_are_not_sent_through_idle_instances_that_are_cut_off_as_well() {
    let case = |name, path, cut| Case {
        name,
        path,
        cut,
        cut_off: &[0, 1, 2, 3],
        is_replaced: false,
        layout: CUT_OFF_IDLE,
    };
    check(&[
        case("idle", "looked-up", Cut::Hang),
        case("idle-once", "booked", Cut::Hang),
        case("idle-reset", "looked-up", Cut::Reset),
        case("idle-reset-once", "booked", Cut::Reset),
    ]);
}
