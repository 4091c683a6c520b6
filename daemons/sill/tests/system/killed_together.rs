//! Streams that callers take up after all processes were killed together.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::serving::{SERVICE, Serving, announce_version};
use crate::versions::{Stream, read_stream, serve_until};

const GATEWAYS: usize = 3;
const ENDPOINTS: usize = 4;
const STREAMS: usize = 12;

/// Events of each stream before the kill.
const BEGUN: usize = 3;

/// Time after the start in which all endpoints are heard of.
const NEWS_TIME: Duration = Duration::from_millis(2500);

/// Pause of a caller after a refusal.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Tries of a caller to take its stream up.
const TRIES: usize = 10;

/// Whether the streams go on, each at the version that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    All,
    /// Nobody knows what began them.
    None,
}

struct Case {
    name: &'static str,
    /// The version of each endpoint before the kill, and after it.
    before: [&'static str; ENDPOINTS],
    after: [&'static str; ENDPOINTS],
    /// Number of changes of the settings before the kill that leave the routes as they are.
    changes: usize,
    expected: Expected,
}

const V1: [&str; ENDPOINTS] = ["v1"; ENDPOINTS];
const BOTH: [&str; ENDPOINTS] = ["v1", "v1", "v2", "v2"];

/// An endpoint that runs until it is told to end, and announces itself.
struct Endpoint {
    has_ended: Arc<AtomicBool>,
}

impl Endpoint {
    fn start(serving: &Serving, i: usize, incarnation: u64, version: &'static str) -> Self {
        let (address, control) = (serving.endpoint(i), serving.control());
        let has_ended = Arc::<AtomicBool>::default();
        let ended = has_ended.clone();
        thread::spawn(move || {
            // The predecessor may still listen.
            let listener = loop {
                match TcpListener::bind(address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(10)),
                }
            };
            let name = format!("e{i}.{incarnation}");
            serve_until(&listener, &name, version, || ended.load(Ordering::Relaxed));
        });
        let ended = has_ended.clone();
        thread::spawn(move || {
            for sequence in 1.. {
                if ended.load(Ordering::Relaxed) {
                    return;
                }
                announce_version(control, i, incarnation, sequence, address, version);
                thread::sleep(Duration::from_millis(200));
            }
        });
        Self { has_ended }
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.has_ended.store(true, Ordering::Relaxed);
    }
}

/// Begins streams, kills everything, and takes the streams up.
fn play(case: &Case) -> Vec<Stream> {
    let mut serving = Serving::start(case.name, GATEWAYS, ENDPOINTS);
    let start = |serving: &Serving, i, incarnation, version| {
        Endpoint::start(serving, i, incarnation, version)
    };
    let mut endpoints: Vec<Endpoint> =
        (0..ENDPOINTS).map(|i| start(&serving, i, 1, case.before[i])).collect();
    for change in 0..case.changes {
        serving.move_routes(&format!("change-{change}"), &[SERVICE]);
    }
    serving.start_gateways();
    thread::sleep(NEWS_TIME);
    let gateways: Vec<SocketAddr> = (0..GATEWAYS).map(|i| serving.gateway(i)).collect();
    let mut streams = vec![Stream::default(); STREAMS];
    for (i, stream) in streams.iter_mut().enumerate() {
        let id = format!("{}-{i}", case.name);
        let status = read_stream(gateways[i % GATEWAYS], &id, stream, BEGUN);
        assert_eq!((status, stream.events.len()), (Some(200), BEGUN), "{}", case.name);
        stream.tries.push(id);
    }
    serving.kill_gateways();
    serving.kill_control();
    for (i, version) in case.after.into_iter().enumerate() {
        if version != case.before[i] {
            endpoints[i] = start(&serving, i, 2, version);
        }
    }
    serving.start_control_again();
    serving.start_gateways();
    thread::sleep(NEWS_TIME);
    thread::scope(|scope| {
        for (i, stream) in streams.iter_mut().enumerate() {
            let gateways = &gateways;
            scope.spawn(move || {
                for attempt in 1..=TRIES {
                    let id = format!("{}-{i}-{attempt}", case.name);
                    let gateway = gateways[(i + attempt) % GATEWAYS];
                    if read_stream(gateway, &id, stream, BEGUN + 2) == Some(200) {
                        return;
                    }
                    thread::sleep(RETRY_PAUSE);
                }
            });
        }
    });
    streams
}

/// Callers lose their streams for a minute, as no process remembers that there was a single version; or
/// get events of another version, as a record is taken for more than it is.
#[test]
fn streams_go_on_at_their_version_after_all_processes_were_killed() {
    let case =
        |name, before, after, changes, expected| Case { name, before, after, changes, expected };
    let cases = [
        case("killed-one", V1, V1, 0, Expected::All),
        case("killed-changed", V1, V1, 3, Expected::All),
        case("killed-two", BOTH, BOTH, 0, Expected::None),
        case("killed-gone", BOTH, V1, 0, Expected::None),
        case("killed-new", V1, ["v1", "v1", "v1", "v2"], 0, Expected::None),
    ];
    thread::scope(|scope| {
        for case in &cases {
            scope.spawn(move || {
                let streams = play(case);
                let went_on = streams.iter().filter(|s| s.events.len() > BEGUN).count();
                let mixed: Vec<&Stream> = streams.iter().filter(|s| s.is_mixed()).collect();
                println!("{}: {went_on} of {STREAMS} go on", case.name);
                assert!(mixed.is_empty(), "{}: {mixed:?}", case.name);
                let expected = if case.expected == Expected::All { STREAMS } else { 0 };
                assert_eq!(went_on, expected, "{}", case.name);
            });
        }
    });
}
