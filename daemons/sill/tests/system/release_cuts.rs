//! Streams of a new version that break and are taken up at an entry instance that is cut off from the
//! others and from the control instance, but not from endpoints and callers.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::links::LinkCut;
use crate::serving::{OTHER_SERVICE, SERVICE, Serving, ServingCfg, announce_as};
use crate::versions::{Stream, run_stream, serve};

/// Endpoints of each version or service.
const ENDPOINTS: usize = 4;

const CALLERS: usize = 24;

/// Time for entry instances to hear of endpoints.
const NEWS_TIME: Duration = Duration::from_millis(1500);

/// Time for entry instances in step to hear of the change. What the others heard is still young then.
const CHANGE_TIME: Duration = Duration::from_millis(250);

/// How long entry instances are cut off, at the beginning of which the change happens.
const CUT_TIME: Duration = Duration::from_millis(2500);

const UNPOISONED: &str = "no thread panics with the lock";

/// What changes during the cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    None,
    /// Endpoints of another version join.
    Version,
    /// The routes move to another service.
    Service,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    gateways: usize,
    per_domain: usize,
    change: Change,
    cut: LinkCut,
    /// The instances that are cut off, together.
    out: &'static [usize],
}

#[derive(Debug, Clone)]
struct Endpoint {
    service: &'static str,
    name: String,
    /// The version that it announces, and what its events name.
    version: &'static str,
    label: &'static str,
    address: SocketAddr,
}

fn run_endpoint(endpoint: Endpoint, control: SocketAddr, is_over: Arc<AtomicBool>) {
    let Endpoint { service, name, version, label, address } = endpoint;
    let listener = TcpListener::bind(address).expect("the address is reserved");
    let (announced, announced_as) = (is_over.clone(), name.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            if announced.load(Ordering::Relaxed) {
                return;
            }
            announce_as(control, service, &announced_as, (1, sequence), address, version);
            thread::sleep(Duration::from_millis(200));
        }
    });
    for stream in listener.incoming().flatten() {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let name = format!("{name}.1");
        let _ = stream.set_nodelay(true);
        thread::spawn(move || while serve(&stream, &name, label).is_some() {});
    }
}

/// Plays a case; returns what was wrong.
fn play(case: &Case) -> Option<String> {
    let Case { name, gateways, per_domain, change, cut, out } = *case;
    let cfg = ServingCfg { gateways, per_domain, endpoints: 2 * ENDPOINTS, is_engine: false };
    let mut serving = Serving::start_with(name, cfg);
    serving.add_links();
    let is_over = Arc::<AtomicBool>::default();
    let start = |serving: &Serving, i: usize, service, version, label| {
        let (name, address) = (format!("e{i}"), serving.endpoint(i));
        let endpoint = Endpoint { service, name, version, label, address };
        let (control, is_over) = (serving.control(), is_over.clone());
        thread::spawn(move || run_endpoint(endpoint, control, is_over));
    };
    (0..ENDPOINTS).for_each(|i| start(&serving, i, SERVICE, "v1", "old"));
    if change == Change::Service {
        let others = ENDPOINTS..2 * ENDPOINTS;
        others.clone().for_each(|i| start(&serving, i, OTHER_SERVICE, "v1", "new"));
    }
    serving.start_gateways();
    thread::sleep(NEWS_TIME);
    let links = serving.links.as_ref().expect("there are links");
    links.set_cut(cut, out);
    match change {
        Change::None => {}
        Change::Version => {
            let others = ENDPOINTS..2 * ENDPOINTS;
            others.clone().for_each(|i| start(&serving, i, SERVICE, "v2", "new"));
        }
        Change::Service => serving.move_routes("moved", &[OTHER_SERVICE]),
    }
    thread::sleep(CHANGE_TIME);
    let (streams, stops) = (Arc::<Mutex<Vec<Stream>>>::default(), Arc::<AtomicBool>::default());
    let in_step: Vec<usize> = (0..gateways).filter(|i| !out.contains(i)).collect();
    let callers = (0..CALLERS).map(|i| {
        let (streams, stops) = (streams.clone(), stops.clone());
        // Streams begin at an instance in step, and are taken up at one that is cut off, in turns.
        let (from, to) = (in_step[i % in_step.len()], out[i % out.len()]);
        let tried = [serving.gateway(from), serving.gateway(to)];
        thread::spawn(move || {
            while !stops.load(Ordering::Relaxed) {
                let stream = run_stream(&tried, 0, 1);
                streams.lock().expect(UNPOISONED).push(stream);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    thread::sleep(CUT_TIME);
    links.set_cut(LinkCut::None, &[]);
    stops.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("callers don't panic"));
    is_over.store(true, Ordering::Relaxed);
    let streams = std::mem::take(&mut *streams.lock().expect(UNPOISONED));
    let count = |is: &dyn Fn(&Stream) -> bool| streams.iter().filter(|s| is(s)).count();
    let taken_up = count(&|s| s.taken_up > 0);
    // The routes no longer lead to where a stream before their move began.
    let is_served = |s: &Stream| {
        let is_new = s.events.first().is_some_and(|(_, by)| by == "new");
        s.taken_up > 0 && (is_new || change != Change::Service)
    };
    let served = count(&is_served);
    let complete = count(&|s| is_served(s) && s.is_complete);
    let joined = count(&Stream::is_mixed);
    let counts = format!(
        "{name}: {} streams, {taken_up} taken up, {joined} joined, {complete} of {served} complete, \
         {} refusals",
        streams.len(),
        streams.iter().map(|s| s.refusals.len()).sum::<usize>(),
    );
    println!("{counts}");
    assert!(taken_up >= CALLERS && served > 0, "too few are taken up: {counts}");
    let went_on = complete as f64 >= 0.9 * served as f64;
    (joined > 0 || !went_on).then_some(counts)
}

fn check(cases: &[Case]) {
    let failures: Vec<String> = cases.iter().filter_map(play).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

const CUTS: [LinkCut; 3] = [LinkCut::Both, LinkCut::Outbound, LinkCut::Inbound];

/// An instance that is cut off takes the version that it knows for the only one.
#[test]
fn streams_of_a_version_that_joins_are_not_joined_at_an_instance_that_is_cut_off() {
    let name = |cut| match cut {
        LinkCut::Outbound => "release-outbound",
        LinkCut::Inbound => "release-inbound",
        _ => "release-cut",
    };
    let case = |cut| Case {
        name: name(cut),
        gateways: 6,
        per_domain: 2,
        change: Change::Version,
        cut,
        out: &[0],
    };
    check(&CUTS.map(case));
}

/// The same in a failure domain that is cut off as a whole, whose instances confirm each other.
#[test]
fn streams_of_a_version_that_joins_are_not_joined_in_a_failure_domain_that_is_cut_off() {
    check(&[Case {
        name: "release-domain",
        gateways: 6,
        per_domain: 2,
        change: Change::Version,
        cut: LinkCut::Both,
        out: &[0, 1],
    }]);
}

/// The same where a route moves to another service.
#[test]
fn streams_of_a_route_that_is_moved_are_not_joined_at_an_instance_that_is_cut_off() {
    check(&[Case {
        name: "move-cut",
        gateways: 6,
        per_domain: 2,
        change: Change::Service,
        cut: LinkCut::Both,
        out: &[0],
    }]);
}

/// With nothing new and no cut, take-ups are refused although only one version can have begun them.
#[test]
fn streams_of_a_single_version_go_on_at_once_through_proxies() {
    check(&[Case {
        name: "release-none",
        gateways: 6,
        per_domain: 2,
        change: Change::None,
        cut: LinkCut::None,
        out: &[0],
    }]);
}
