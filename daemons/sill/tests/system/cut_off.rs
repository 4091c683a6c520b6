//! Entry instances whose connections to endpoints fail while those of others work.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::cuts::{CONTACT_TIME, Cut, DEADLINE, ENDPOINTS, Record, System, UNPOISONED};

const GATEWAYS: usize = 3;

/// Part of the calls that is to be answered, at instances that are cut off from endpoints.
const SERVED: f64 = 0.97;

/// Time without heartbeats after which endpoints count as ended, and more.
const SILENCE: Duration = Duration::from_millis(4500);

/// A cut, and the calls that are made meanwhile.
struct Case {
    name: &'static str,
    path: &'static str,
    cut: Cut,
    gateways: &'static [usize],
    endpoints: usize,
}

fn check(case: &Case) {
    let Case { name, path, cut, gateways, endpoints } = case;
    let system = System::start(name, path);
    let records = system.cut(gateways, *endpoints, *cut);
    let (cut_off, others): (Vec<_>, Vec<_>) =
        records.into_iter().partition(|record| gateways.contains(&record.gateway));
    let served = |records: &[Record]| records.iter().filter(|r| r.is_served()).count();
    let counts = format!(
        "{name}: {} of {} answered at the instances cut off, {} of {} at the others",
        served(&cut_off),
        cut_off.len(),
        served(&others),
        others.len()
    );
    println!("{counts}");
    let failed: Vec<&Record> = cut_off.iter().filter(|r| !r.is_served()).take(3).collect();
    assert!(served(&cut_off) as f64 >= SERVED * cut_off.len() as f64, "{counts}; {failed:?}");
    assert!(cut_off.len() >= 40, "too few calls: {counts}");
    assert_eq!(served(&others), others.len(), "{counts}");
    gateways.iter().for_each(|gateway| system.wait_until_direct(*gateway));
    system.check_no_crash();
    if *path == "booked" {
        system.check_runs();
    }
}

/// An entry instance that loses its connections to all endpoints fails calls that the other entry
/// instances serve.
#[test]
fn calls_at_an_entry_instance_cut_off_from_all_endpoints_are_served() {
    let cases = [
        Case { name: "hang", path: "looked-up", cut: Cut::Hang, gateways: &[0], endpoints: 8 },
        Case { name: "reset", path: "looked-up", cut: Cut::Reset, gateways: &[0], endpoints: 8 },
        Case { name: "new", path: "looked-up", cut: Cut::ResetNew, gateways: &[0], endpoints: 8 },
    ];
    cases.iter().for_each(check);
}

/// The same where two of three entry instances are cut off, and the third serves for all.
#[test]
fn calls_at_most_entry_instances_cut_off_from_all_endpoints_are_served() {
    let cases = [
        Case { name: "two", path: "looked-up", cut: Cut::Hang, gateways: &[0, 1], endpoints: 8 },
        Case { name: "both", path: "booked", cut: Cut::Reset, gateways: &[1, 2], endpoints: 8 },
    ];
    cases.iter().for_each(check);
}

/// Nothing is served for a moment while entry instances are cut off, and they refuse all calls until
/// the cut is over.
#[test]
fn calls_at_entry_instances_cut_off_are_served_after_all_endpoints_stood_still() {
    struct Standstill {
        name: &'static str,
        path: &'static str,
        cut: Cut,
        from_ms: u64,
        to_ms: u64,
    }
    let cases = [
        Standstill { name: "still", path: "looked-up", cut: Cut::Hang, from_ms: 700, to_ms: 2900 },
        Standstill { name: "once", path: "booked", cut: Cut::Hang, from_ms: 700, to_ms: 2900 },
        Standstill { name: "reset", path: "booked", cut: Cut::Reset, from_ms: 700, to_ms: 2900 },
    ];
    let mut failures = Vec::new();
    for Standstill { name, path, cut, from_ms, to_ms } in cases {
        let system = System::start(name, path);
        let (from, to) = (Duration::from_millis(from_ms), Duration::from_millis(to_ms));
        let records = system.cut_with_standstill(cut, from, to);
        let (cut_off, others): (Vec<_>, Vec<_>) = records.into_iter().partition(|r| r.gateway < 2);
        let served = |records: &[Record]| records.iter().filter(|r| r.is_served()).count();
        let counts = format!(
            "{name}: {} of {} answered at the instances cut off, {} of {} at the other",
            served(&cut_off),
            cut_off.len(),
            served(&others),
            others.len()
        );
        println!("{counts}");
        let is_met = |records: &[Record]| served(records) as f64 >= SERVED * records.len() as f64;
        if !is_met(&cut_off) || !is_met(&others) || cut_off.len() < 40 {
            let failed: Vec<&Record> = cut_off.iter().filter(|r| !r.is_served()).take(10).collect();
            failures.push(format!(
                "{counts}; {failed:?}\n{}\n{}",
                system.log_of_paths(0),
                system.log_of_paths(2)
            ));
        }
        if path == "booked" {
            system.check_runs();
        }
    }
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

/// A call that must not run twice is lost or run twice when the connections of its entry instance
/// fail.
#[test]
fn calls_that_must_not_run_twice_are_served_once_over_a_cut() {
    let cases =
        [Case { name: "once", path: "booked", cut: Cut::Hang, gateways: &[0], endpoints: 8 }];
    cases.iter().for_each(check);
}

/// An entry instance that reaches half of the endpoints tries the others again and again.
#[test]
fn calls_at_an_entry_instance_cut_off_from_half_of_the_endpoints_are_served() {
    let cases = [
        Case { name: "half", path: "looked-up", cut: Cut::Hang, gateways: &[0], endpoints: 4 },
        Case { name: "half-new", path: "booked", cut: Cut::ResetNew, gateways: &[0], endpoints: 4 },
    ];
    cases.iter().for_each(check);
}

/// The same entry instance is cut off again and again, each time before the last cut is forgotten.
#[test]
fn calls_over_cuts_in_series_are_served() {
    let system = System::start("series", "looked-up");
    for cut in [Cut::Hang, Cut::Reset, Cut::Hang] {
        let records = system.cut(&[0], ENDPOINTS, cut);
        let cut_off: Vec<&Record> = records.iter().filter(|r| r.gateway == 0).collect();
        let served = cut_off.iter().filter(|r| r.is_served()).count();
        println!("{cut:?}: {served} of {} answered", cut_off.len());
        assert!(served as f64 >= SERVED * cut_off.len() as f64, "{served} of {}", cut_off.len());
        assert!(cut_off.len() >= 40, "{cut:?}: too few calls: {}", cut_off.len());
    }
    system.check_no_crash();
}

/// When no entry instance reaches an endpoint, callers wait for their whole deadlines although
/// nobody can serve them.
#[test]
fn calls_that_no_entry_instance_can_serve_are_refused_at_once() {
    let system = System::start("all", "looked-up");
    let records = system.cut(&[0, 1, 2], ENDPOINTS, Cut::Hang);
    let refused = records.iter().filter(|record| {
        let Some(answer) = &record.answer else { return false };
        let is_refusal = answer.status == 503 && answer.head.contains("sill-not-run: true");
        is_refusal && answer.head.contains("retry-after: ") && record.took < DEADLINE / 3
    });
    let refused = refused.count();
    println!("all: {refused} of {} refused at once", records.len());
    assert!(refused as f64 >= 0.9 * records.len() as f64, "{refused} of {}", records.len());
    (0..GATEWAYS).for_each(|gateway| system.wait_until_direct(gateway));
    let twice = records.iter().filter(|r| r.answer.is_none()).map(|r| &r.id).collect::<Vec<_>>();
    assert!(twice.is_empty(), "closed without an answer: {twice:?}");
}

/// Endpoints stand still so long that they count as ended, and the requests that wait there are refused
/// for ten minutes as if they had crashed them.
#[test]
fn calls_are_served_after_endpoints_stood_still_longer_than_their_heartbeats() {
    let system = System::start("silent", "looked-up");
    let still = |is_still: bool| {
        system.endpoints.is_silent.store(is_still, Ordering::Relaxed);
        let cut = if is_still { Cut::Hang } else { Cut::None };
        system.endpoints.set_cuts(&[1, 2], ENDPOINTS, cut);
    };
    system.endpoints.set_cuts(&[0], ENDPOINTS, Cut::Hang);
    thread::sleep(Duration::from_millis(900));
    still(true);
    thread::sleep(SILENCE);
    still(false);
    let is_noticed = |i| system.log_of_paths(i).contains("event=endpoint_crashed");
    assert!((0..GATEWAYS).any(is_noticed), "no endpoint counts as ended");
    thread::sleep(CONTACT_TIME);
    let from = Instant::now();
    thread::sleep(Duration::from_secs(2));
    system.endpoints.set_cuts(&[0], ENDPOINTS, Cut::None);
    let records = system.records.lock().expect(UNPOISONED).clone();
    let later: Vec<Record> = records.into_iter().filter(|r| r.at >= from).collect();
    let served = later.iter().filter(|r| r.is_served()).count();
    println!("silent: {served} of {} served", later.len());
    let blocked = |r: &&Record| {
        r.answer.as_ref().is_some_and(|answer| answer.body.contains("request_blocked"))
    };
    assert_eq!(later.iter().filter(blocked).count(), 0, "of {}", later.len());
    assert!(served as f64 >= SERVED * later.len() as f64, "{served} of {}", later.len());
    assert!(later.len() > 100, "too few calls: {}", later.len());
}
