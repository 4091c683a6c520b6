//! A client states a prompt that is larger than any server's memory.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::{stream, Ledger, StreamEnd};
use crate::endless::{ask_for_streams, config, judge, post_notices, write_stream, DAY, FREE_KEY, GAP};
use crate::servers::{self, After};
use crate::world::{is_ready, Machine, Plan, Record, World};

/// The memory of the largest server, in tokens.
const SERVER_TOKENS: u64 = 602_252;
/// Tokens of the prompt, which the header states.
const PROMPT_TOKENS: u64 = 4_000_000_000;
/// Pause between two such requests, and their number.
const PAUSE: Duration = Duration::from_secs(7);
const REQUESTS: usize = 4;

pub fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let ledger = Ledger::new(record.clone());
    let platform_record = record.clone();
    let world = World::start(Plan { edges: 4, cores: 4 }, record.clone(), move |ip| {
        servers::start_platform(ip, platform_record)
    });
    for (i, zone) in crate::world::ZONES.iter().enumerate() {
        let ledger_m = ledger.clone();
        let model: servers::Handler = Arc::new(move |server, req, conn| {
            let usage = req.header("x-buckthornsill-token-usage").unwrap_or("");
            let tokens: u64 = usage.split(',').filter_map(|n| n.trim().parse::<u64>().ok()).sum();
            if tokens > SERVER_TOKENS {
                let head = server.head(req, "503 Service Unavailable");
                conn.write(format!("{head}X-Buckthornsill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n").as_bytes())?;
                return Ok(After::Keep);
            }
            ledger_m.ran(req.header("x-buckthornsill-attempt-id").unwrap_or(""), &server.id);
            write_stream(server, req, conn)
        });
        servers::start(&world, &format!("i-model-{i}"), "clerk-model", zone, 30 + i as u8, 64, model);
        let ledger_d = ledger.clone();
        let desk: servers::Handler = Arc::new(move |server, req, conn| {
            let id = req.header("x-buckthornsill-attempt-id").unwrap_or("").to_owned();
            ledger_d.ran(&id, &server.id);
            thread::sleep(Duration::from_millis(30));
            let body = format!("posted {id}");
            conn.write(format!("{}Content-Length: {}\r\n\r\n{body}", server.head(req, "200 OK"), body.len()).as_bytes())?;
            Ok(After::Keep)
        });
        servers::start(&world, &format!("i-desk-{i}"), "case-desk", zone, 40 + i as u8, 6, desk);
    }
    if !world.put_config(&config(3), Duration::from_secs(15)) || !world.wait_ready(Duration::from_secs(15)) {
        eprintln!("the deployment does not get ready");
        world.stop();
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let mut clients = Vec::new();
    for edge in world.edges() {
        for _ in 0..4 {
            let (edge, ledger) = (edge.clone(), ledger.clone());
            clients.push(thread::spawn(move || post_notices(&edge.name, edge.frontend(), &ledger, start)));
        }
        let ledger = ledger.clone();
        clients.push(thread::spawn(move || ask_for_streams(&edge.name, edge.frontend(), &ledger, start)));
    }
    thread::sleep(Duration::from_secs(5));
    let edges = world.edges();
    for n in 0..REQUESTS {
        if has_trouble {
            ask_for_too_much(&edges[n % edges.len()], &edges[(n + 1) % edges.len()], &ledger);
        }
        thread::sleep(PAUSE);
    }
    while start.elapsed() < DAY {
        thread::sleep(Duration::from_millis(100));
    }
    for client in clients {
        let _ = client.join();
    }
    world.stop();
    judge(&world, &ledger)
}

/// Sends one such request. Its route is resumable, so the client repeats it once after a failure, on
/// another machine.
fn ask_for_too_much(first: &Machine, second: &Machine, ledger: &Ledger) {
    for machine in [first, second] {
        if !is_ready(machine) {
            return;
        }
        let id = ledger.new_id();
        let own = PROMPT_TOKENS - 120;
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("X-Buckthornsill-Attempt-Id", id.clone()),
            ("X-Buckthornsill-Deadline-Ms", "15000".into()),
            ("X-Buckthornsill-Model", "m".into()),
            ("X-Buckthornsill-Token-Usage", format!("{},40", PROMPT_TOKENS + 80)),
            ("X-Buckthornsill-Prompt-Prefix", format!("5c1e07a2:120,91bd3f06:{own},{id}:80")),
            ("X-Api-Key", FREE_KEY.into()),
        ];
        ledger.sent(&id, "large", &machine.name, false);
        match stream(machine.frontend(), "/guess/1", &headers, b"prompt", GAP, Duration::from_secs(15)) {
            StreamEnd::Status(status) => return ledger.ended(&id, status, ""),
            StreamEnd::Whole(_) => return ledger.ended(&id, 200, ""),
            StreamEnd::Broken(why) => ledger.ended(&id, 0, &why),
            StreamEnd::GaveUp => ledger.ended(&id, 0, "the client has waited long enough"),
        }
    }
}
