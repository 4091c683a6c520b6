//! A server behind a proxy crashes in the middle of answers that end with their connections.

use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{exchange, Ledger};
use crate::endless::{config, KEY};
use crate::servers::{self, After};
use crate::world::{Plan, Record, World, ZONES};

/// Length of the traffic.
const DAY: Duration = Duration::from_secs(30);
/// When a server crashes, and for how long it is down.
const CRASHES_S: [u64; 4] = [6, 12, 18, 24];
const DOWN_FOR: Duration = Duration::from_millis(3500);
/// How long the proxy takes to find out that nobody listens behind it.
const PROXY_DELAY: Duration = Duration::from_millis(60);
/// Clients of a machine, and lines of an answer.
const CLIENTS: usize = 10;
const LINES: usize = 20;

/// What stands behind a proxy: the server's process, running or not.
#[derive(Default)]
struct Process {
    is_down: AtomicBool,
    conns: Mutex<Vec<TcpStream>>,
}

/// The server's whole body for a request.
fn body_of(id: &str) -> String {
    (0..LINES).map(|i| format!("line {i} of {id}\n")).collect()
}

pub fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let ledger = Ledger::new(record.clone());
    let platform_record = record.clone();
    let world = World::start(Plan { edges: 4, cores: 4 }, record.clone(), move |ip| {
        servers::start_platform(ip, platform_record)
    });
    let mut processes = Vec::new();
    for (i, zone) in ZONES.iter().enumerate() {
        let process = Arc::new(Process::default());
        processes.push(process.clone());
        let gated = process.clone();
        // The proxy accepts; if its server is down, it closes the connection a little later.
        let gate: servers::Gate = Arc::new(move |stream| {
            if !gated.is_down.load(Ordering::SeqCst) {
                if let Ok(other) = stream.try_clone() {
                    gated.conns.lock().unwrap().push(other);
                }
                return true;
            }
            if let Ok(stream) = stream.try_clone() {
                thread::spawn(move || {
                    thread::sleep(PROXY_DELAY);
                    let _ = stream.shutdown(Shutdown::Both);
                });
            }
            false
        });
        let ledger = ledger.clone();
        let handler: servers::Handler = Arc::new(move |server, req, conn| {
            let id = req.header("x-buckthornsill-attempt-id").unwrap_or("").to_owned();
            ledger.ran(&id, &server.id);
            conn.write(
                format!("{}Connection: close\r\n\r\n", server.head(req, "200 OK")).as_bytes(),
            )?;
            for i in 0..LINES {
                conn.write(format!("line {i} of {id}\n").as_bytes())?;
                thread::sleep(Duration::from_millis(5));
            }
            Ok(After::Close)
        });
        servers::start_gated(
            &world,
            &format!("i-desk-{i}"),
            "case-desk",
            zone,
            40 + i as u8,
            6,
            handler,
            Some(gate),
        );
        let model: servers::Handler =
            Arc::new(|server, req, conn| crate::endless::write_stream(server, req, conn));
        servers::start(
            &world,
            &format!("i-model-{i}"),
            "clerk-model",
            zone,
            30 + i as u8,
            64,
            model,
        );
    }
    if !world.put_config(&config(3), Duration::from_secs(15))
        || !world.wait_ready(Duration::from_secs(15))
    {
        world.stop();
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let mut clients = Vec::new();
    for edge in world.edges() {
        for _ in 0..CLIENTS {
            let (edge, ledger) = (edge.clone(), ledger.clone());
            clients.push(thread::spawn(move || post(&edge.name, edge.frontend(), &ledger, start)));
        }
    }
    for (n, at) in CRASHES_S.into_iter().enumerate() {
        thread::sleep(Duration::from_secs(at).saturating_sub(start.elapsed()));
        if has_trouble {
            let process = &processes[n % processes.len()];
            record.say(&format!("case: i-desk-{n} crashes"));
            process.is_down.store(true, Ordering::SeqCst);
            for conn in process.conns.lock().unwrap().drain(..) {
                let _ = conn.shutdown(Shutdown::Both);
            }
            thread::sleep(DOWN_FOR);
            process.is_down.store(false, Ordering::SeqCst);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    world.stop();
    // MIXED: a success with a body that isn't the server's whole body.
    let fates = ledger.fates.lock().unwrap();
    let short = fates.values().filter(|fate| fate.why == "short").count();
    let answered = fates.values().filter(|fate| fate.status == 200).count();
    let broken = fates.values().filter(|fate| fate.status == 0).count();
    let text = format!("notices: {} sent, {answered} answered, {short} of these with less than the server's whole body (allowed: 0), {broken} broken off", fates.len());
    record.say(&format!("verdict: {text}"));
    println!("{text}");
    match fates.len() {
        0 => 2,
        _ if short > 0 => 1,
        _ => 0,
    }
}

fn post(machine: &str, address: SocketAddr, ledger: &Ledger, start: Instant) {
    let mut conn = None;
    while start.elapsed() < DAY {
        let id = ledger.new_id();
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("X-Buckthornsill-Attempt-Id", id.clone()),
            ("X-Buckthornsill-Deadline-Ms", "1500".into()),
            ("X-Api-Key", KEY.into()),
        ];
        ledger.sent(&id, "notice", machine, conn.is_some());
        match exchange(
            &mut conn,
            address,
            "POST",
            "/notice/1",
            &headers,
            b"notice",
            Duration::from_millis(1500),
        ) {
            Ok(answer) => {
                let is_short = answer.status() == 200 && answer.body != body_of(&id).as_bytes();
                ledger.ended(&id, answer.status(), if is_short { "short" } else { "" });
            }
            Err(err) => ledger.ended(&id, 0, &err.to_string()),
        }
        thread::sleep(Duration::from_millis(100));
    }
}
