//! Machines that take requests get SIGTERM in turn, while streams whose ends are those of their
//! connections are under way.

use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{exchange, Ledger};
use crate::endless::{config_with_reports, KEY};
use crate::http::{Conn, Message};
use crate::servers::{self, After, Server};
use crate::world::{is_ready, Plan, Record, World, ZONES};

/// Length of the traffic.
const DAY: Duration = Duration::from_secs(66);
/// Machines that get SIGTERM, and the time from one to the next: the stop, the start and some calm.
const STOPS: usize = 5;
const STOP_AT: Duration = Duration::from_secs(8);
const STOP_GAP: Duration = Duration::from_millis(11_500);
/// The platform sends SIGKILL so long after SIGTERM.
const GRACE: Duration = Duration::from_secs(8);
/// A request counts if its server ended before the last sixth of that, 6.667 s; with a margin.
const COUNTED_UNTIL: Duration = Duration::from_millis(6640);
/// Clients of a machine.
const CLIENTS: usize = 90;
/// Time between two events, and how many there are: six and a half to ten seconds in all.
const EVENT_GAP: Duration = Duration::from_millis(100);
const EVENTS: (u64, u64) = (65, 100);
/// How long a client waits for the next event: four times the objective of 1,200 ms.
const GAP: Duration = Duration::from_millis(4800);

type Times = Arc<Mutex<BTreeMap<String, Instant>>>;

/// Writes a stream whose end is that of its connection.
fn write_report(
    server: &Server,
    ledger: &Ledger,
    ends: &Times,
    req: &Message,
    conn: &mut Conn,
) -> io::Result<After> {
    let id = req.header("x-buckthornsill-attempt-id").unwrap_or("").to_owned();
    ledger.ran(&id, &server.id);
    let draw = RandomState::new().build_hasher().finish();
    let last = (EVENTS.0 * 100 + draw % ((EVENTS.1 - EVENTS.0) * 100)) as u64;
    let end = Instant::now() + Duration::from_millis(last);
    conn.write(
        format!(
            "{}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n",
            server.head(req, "200 OK")
        )
        .as_bytes(),
    )?;
    let mut i = 0;
    while Instant::now() < end {
        conn.write(format!("id: {i}\ndata: tokens-{i}\n\n").as_bytes())?;
        thread::sleep(EVENT_GAP.min(end.saturating_duration_since(Instant::now())));
        i += 1;
    }
    ends.lock().unwrap().insert(id.clone(), Instant::now());
    ledger.record.say(&format!("server: {id} is answered whole by {}, {i} events", server.id));
    Ok(After::Close)
}

pub fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let ledger = Ledger::new(record.clone());
    let platform_record = record.clone();
    let world = World::start(Plan { edges: 4, cores: 4 }, record.clone(), move |ip| {
        servers::start_platform(ip, platform_record)
    });
    let ends = Times::default();
    for n in 0..8 {
        let (ledger, ends) = (ledger.clone(), ends.clone());
        let handler: servers::Handler = Arc::new(move |server, req, conn| {
            server.running.fetch_add(1, Ordering::SeqCst);
            let after = write_report(server, &ledger, &ends, req, conn);
            server.running.fetch_sub(1, Ordering::SeqCst);
            after
        });
        servers::start(
            &world,
            &format!("i-model-{n}"),
            "clerk-model",
            ZONES[n % 4],
            60 + n as u8,
            64,
            handler,
        );
    }
    if !world.put_config(&config_with_reports(), Duration::from_secs(15))
        || !world.wait_ready(Duration::from_secs(15))
    {
        eprintln!("the deployment does not get ready");
        world.stop();
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let mut clients = Vec::new();
    for edge in world.edges() {
        for n in 0..CLIENTS {
            let (edge, ledger) = (edge.clone(), ledger.clone());
            clients.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(75 * n as u64));
                ask(&edge, &ledger, start);
            }));
        }
    }
    let edges = world.edges();
    let mut stops = Vec::new();
    for n in 0..STOPS {
        thread::sleep((STOP_AT + STOP_GAP * n as u32).saturating_sub(start.elapsed()));
        let name = edges[n % edges.len()].name.clone();
        if has_trouble {
            stops.push((name.clone(), Instant::now()));
            world.signal(&name, "TERM");
            let (world, killed) = (world.clone(), name.clone());
            let before = world.ends.lock().unwrap().len();
            thread::spawn(move || {
                thread::sleep(GRACE);
                let has_ended =
                    world.ends.lock().unwrap()[before..].iter().any(|end| end.machine == killed);
                if !has_ended {
                    world.signal(&killed, "KILL");
                }
            });
        }
    }
    for client in clients {
        let _ = client.join();
    }
    world.stop();
    let ends = ends.lock().unwrap().clone();
    judge(&ledger, &stops, &ends)
}

fn ask(edge: &crate::world::Machine, ledger: &Ledger, start: Instant) {
    let (machine, address): (&str, SocketAddr) = (&edge.name, edge.frontend());
    let mut conn = None;
    while start.elapsed() < DAY {
        // The platform hands new connections only to machines that say they are ready.
        if conn.is_none() && !is_ready(edge) {
            thread::sleep(Duration::from_millis(500));
            continue;
        }
        let id = ledger.new_id();
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("X-Buckthornsill-Attempt-Id", id.clone()),
            ("X-Buckthornsill-Deadline-Ms", "15000".into()),
            ("X-Buckthornsill-Model", "m".into()),
            ("X-Buckthornsill-Token-Usage", "628,400".into()),
            ("X-Buckthornsill-Prompt-Prefix", format!("5c1e07a2:120,{id}:508")),
            ("X-Api-Key", KEY.into()),
        ];
        ledger.sent(&id, "report", machine, conn.is_some());
        match exchange(&mut conn, address, "POST", "/report/1", &headers, b"prompt", GAP) {
            Ok(answer) => ledger.ended(&id, answer.status(), ""),
            Err(err) => {
                if matches!(err.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) {
                    ledger.gave_up(&id);
                }
                ledger.ended(&id, 0, &err.to_string());
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
}

/// LOST, around a SIGTERM: a machine has passed a request on to a server, and the connection ends
/// without a complete answer, though the server had finished before the last sixth of `grace_s`.
fn judge(ledger: &Ledger, stops: &[(String, Instant)], ends: &BTreeMap<String, Instant>) -> i32 {
    let fates = ledger.fates.lock().unwrap();
    let (mut lost, mut lost_late, mut lost_outside) = (0, 0, 0);
    for (id, fate) in fates.iter().filter(|(_, fate)| {
        fate.is_done && fate.status == 0 && !fate.gave_up && !fate.runs.is_empty()
    }) {
        let Some(end) = ends.get(id) else {
            lost_late += 1;
            continue;
        };
        let since = stops
            .iter()
            .filter(|(name, at)| *name == fate.machine && at <= end)
            .map(|(_, at)| *end - *at)
            .min();
        match since {
            Some(since) if since <= COUNTED_UNTIL => {
                lost += 1;
                ledger.record.say(&format!(
                    "verdict: {id} was answered whole by {:?} {} ms after SIGTERM at {}, and its client's connection was closed: {}",
                    fate.runs, since.as_millis(), fate.machine, fate.why
                ));
            }
            Some(since) if since <= GRACE => lost_late += 1,
            _ => lost_outside += 1,
        }
    }
    let whole = fates.values().filter(|fate| fate.status == 200).count();
    let text = format!(
        "{} stops; streams: {} sent, {whole} whole at their clients; {lost} cut that their servers had answered whole before the last sixth of grace_s (allowed: 0), {lost_late} cut that were under way then (not counted), {lost_outside} cut at other times",
        stops.len(),
        fates.len()
    );
    ledger.record.say(&format!("verdict: {text}"));
    println!("{text}");
    match whole {
        0 => 2,
        _ if lost > 0 => 1,
        _ => 0,
    }
}
