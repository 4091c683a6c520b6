//! Streams of a route whose services change, and of services whose events don't fit together.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::serving::{OTHER_SERVICE, SERVICE, Serving, ServingCfg, announce_as};
use crate::versions::{Stream, run_stream, serve};

/// Endpoints of each service.
const ENDPOINTS: usize = 4;

const CALLERS: usize = 24;

/// Pause before the routes are moved, and after.
const MOVE_INTERVAL: Duration = Duration::from_millis(2500);

/// Time for entry instances to hear of endpoints.
const NEWS_TIME: Duration = Duration::from_millis(1500);

const UNPOISONED: &str = "no thread panics with the lock";

/// What happens to the routes.
#[derive(Debug, Clone, Copy)]
struct Case {
    name: &'static str,
    gateways: usize,
    /// The versions of the two services.
    versions: [&'static str; 2],
    /// The services of the routes at first, and those that they are moved to.
    moves: &'static [&'static [&'static str]],
    /// Whether all entry instances are away while the routes are moved.
    are_gateways_killed: bool,
}

fn run_endpoint(
    service: &'static str,
    name: String,
    version: &'static str,
    (address, control): (SocketAddr, SocketAddr),
    is_over: Arc<AtomicBool>,
) {
    let listener = TcpListener::bind(address).expect("the address is reserved");
    let (announced, label) = (is_over.clone(), name.clone());
    thread::spawn(move || {
        for sequence in 1.. {
            if announced.load(Ordering::Relaxed) {
                return;
            }
            announce_as(control, service, &label, (1, sequence), address, version);
            thread::sleep(Duration::from_millis(200));
        }
    });
    for stream in listener.incoming().flatten() {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let name = format!("{name}.1");
        let _ = stream.set_nodelay(true);
        // The events name the service, as both may have the same version.
        thread::spawn(move || while serve(&stream, &name, service).is_some() {});
    }
}

fn play(case: &Case) -> Option<String> {
    let Case { name, gateways, versions, moves, are_gateways_killed } = *case;
    let cfg = ServingCfg { gateways, per_domain: 3, endpoints: 2 * ENDPOINTS, is_engine: false };
    let mut serving = Serving::start_with(name, cfg);
    let is_over = Arc::<AtomicBool>::default();
    for i in 0..2 * ENDPOINTS {
        let (service, version) = ([SERVICE, OTHER_SERVICE][i % 2], versions[i % 2]);
        let addresses = (serving.endpoint(i), serving.control());
        let is_over = is_over.clone();
        thread::spawn(move || {
            run_endpoint(service, format!("e{i}"), version, addresses, is_over);
        });
    }
    serving.move_routes("begin", moves[0]);
    serving.start_gateways();
    thread::sleep(NEWS_TIME);
    let addresses: Vec<SocketAddr> = (0..gateways).map(|i| serving.gateway(i)).collect();
    let (streams, stops) = (Arc::<Mutex<Vec<Stream>>>::default(), Arc::<AtomicBool>::default());
    let callers = (0..CALLERS).map(|i| {
        let (addresses, streams, stops) = (addresses.clone(), streams.clone(), stops.clone());
        thread::spawn(move || {
            for round in 0.. {
                if stops.load(Ordering::Relaxed) {
                    return;
                }
                let stream = run_stream(&addresses, i + round, 2);
                streams.lock().expect(UNPOISONED).push(stream);
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    for (number, services) in moves[1..].iter().enumerate() {
        thread::sleep(MOVE_INTERVAL);
        if are_gateways_killed {
            serving.kill_gateways();
        }
        serving.move_routes(&format!("move-{number}"), services);
        if are_gateways_killed {
            serving.start_gateways();
        }
    }
    thread::sleep(MOVE_INTERVAL);
    stops.store(true, Ordering::Relaxed);
    callers.into_iter().for_each(|caller| caller.join().expect("callers don't panic"));
    is_over.store(true, Ordering::Relaxed);
    let streams = std::mem::take(&mut *streams.lock().expect(UNPOISONED));
    let count = |is: &dyn Fn(&Stream) -> bool| streams.iter().filter(|s| is(s)).count();
    let resumed = count(&|s| s.taken_up > 0);
    let counts = format!(
        "{name}: {} streams, {resumed} taken up, {} joined from two services, {} of them complete, \
         {} refusals",
        streams.len(),
        count(&Stream::is_mixed),
        count(&|s| s.taken_up > 0 && s.is_complete),
        streams.iter().map(|s| s.refusals.len()).sum::<usize>(),
    );
    println!("{counts}");
    assert!(resumed >= CALLERS, "too few are taken up: {counts}");
    (count(&Stream::is_mixed) > 0).then_some(counts)
}

fn check(cases: &[Case]) {
    let failures: Vec<String> = cases.iter().filter_map(play).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

const THERE_AND_BACK: &[&[&str]] =
    &[&[SERVICE], &[OTHER_SERVICE], &[SERVICE], &[OTHER_SERVICE], &[SERVICE]];

/// A stream is taken up after its route was moved, and the instance that is asked knows only the service
/// that the route has now.
#[test]
fn streams_of_a_route_that_is_moved_are_not_continued_by_another_service() {
    let case = |name, gateways, versions| Case {
        name,
        gateways,
        versions,
        moves: THERE_AND_BACK,
        are_gateways_killed: false,
    };
    check(&[case("moved", 9, ["v1", "o1"]), case("moved-same", 9, ["v1", "v1"])]);
}

/// The same while all entry instances are away, so that none has known the former service.
#[test]
fn streams_are_not_continued_by_another_service_after_all_entry_instances_were_killed() {
    let case = |name, versions, moves| Case {
        name,
        gateways: 3,
        versions,
        moves,
        are_gateways_killed: true,
    };
    check(&[
        case("killed", ["v1", "o1"], &[&[SERVICE], &[OTHER_SERVICE]]),
        case("killed-same", ["v1", "v1"], &[&[SERVICE], &[OTHER_SERVICE]]),
        case("killed-one-less", ["v1", "o1"], &[&[SERVICE, OTHER_SERVICE], &[OTHER_SERVICE]]),
    ]);
}
