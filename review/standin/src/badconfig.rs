//! The operator's automation sends invalid configurations among valid ones.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::clients::Ledger;
use crate::endless::{config, judge_notices, post_notices};
use crate::http::call;
use crate::servers::{self, After};
use crate::world::{Machine, Plan, Record, World};

/// Time within which a configuration is in force everywhere, `config_apply_ms`.
const APPLY: Duration = Duration::from_millis(2000);

/// A configuration that must be refused, and why.
struct Bad {
    name: &'static str,
    body: String,
    version: u64,
}

fn bad_configs() -> Vec<Bad> {
    let split = r#""traffic_split":[{"service":"case-desk","weight":WEIGHT},{"service":"clerk-model","weight":10}]"#;
    let weights = |version: u64, weight: &str| {
        config(version).replace(r#""service":"case-desk","max_attempts":1"#, &format!(r#"{},"max_attempts":1"#, split.replace("WEIGHT", weight)))
    };
    vec![
        Bad { name: "cut short", body: config(10).trim_end_matches('}').to_owned(), version: 10 },
        Bad { name: "a route's weights add up to 0 (-10 and 10)", body: weights(11, "-10"), version: 11 },
        Bad { name: "not complete: it has neither routes nor services nor limits", body: r#"{"version":12}"#.into(), version: 12 },
    ]
}

fn desk(ledger: &Arc<Ledger>, is_model: bool) -> servers::Handler {
    let ledger = ledger.clone();
    Arc::new(move |server, req, conn| {
        let id = req.header("x-buckthornsill-attempt-id").unwrap_or("").to_owned();
        ledger.ran(&id, &server.id);
        thread::sleep(Duration::from_millis(if is_model { 5 } else { 30 }));
        let body = format!("posted {id}");
        conn.write(format!("{}Content-Length: {}\r\n\r\n{body}", server.head(req, "200 OK"), body.len()).as_bytes())?;
        Ok(After::Keep)
    })
}

pub fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let ledger = Ledger::new(record.clone());
    let platform_record = record.clone();
    let world = World::start(Plan { edges: 4, cores: 4 }, record.clone(), move |ip| {
        servers::start_platform(ip, platform_record)
    });
    for (i, zone) in crate::world::ZONES.iter().enumerate() {
        servers::start(&world, &format!("i-model-{i}"), "clerk-model", zone, 30 + i as u8, 64, desk(&ledger, true));
        servers::start(&world, &format!("i-desk-{i}"), "case-desk", zone, 40 + i as u8, 6, desk(&ledger, false));
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
        let ledger = ledger.clone();
        clients.push(thread::spawn(move || post_notices(&edge.name, edge.frontend(), &ledger, start)));
    }
    let cores = world.cores();
    let mut broken = 0;
    for (i, bad) in bad_configs().iter().enumerate() {
        thread::sleep(Duration::from_secs(3));
        if !has_trouble {
            let body = config(bad.version);
            if !world.put_config(&body, Duration::from_secs(5)) || read_version(&cores[i % 4]) != Some(bad.version) {
                eprintln!("a valid configuration is not in force");
                world.stop();
                return 2;
            }
            continue;
        }
        let status = put(&cores[i % cores.len()], &bad.body);
        record.say(&format!("operator: version {} ({}) answered {status:?}", bad.version, bad.name));
        thread::sleep(APPLY + Duration::from_millis(500));
        let in_force = read_version(&cores[(i + 1) % cores.len()]);
        record.say(&format!("operator: version {in_force:?} is read back"));
        let is_broken = status == Some(200) || in_force == Some(bad.version);
        broken += usize::from(is_broken);
        println!("{}: answered {status:?}, read back version {in_force:?}{}", bad.name, if is_broken { ", BROKEN" } else { "" });
    }
    thread::sleep(Duration::from_secs(5));
    ledger.record.say("case: the day ends");
    ledger.end();
    for client in clients {
        let _ = client.join();
    }
    world.stop();
    let (sent, answered) = judge_notices(&ledger);
    let text = format!("{broken} invalid configurations acknowledged or in force; notices: {sent} sent, {answered} answered");
    record.say(&format!("verdict: {text}"));
    println!("{text}");
    i32::from(broken > 0)
}

fn put(core: &Machine, body: &str) -> Option<u16> {
    let headers = [("Host", core.control().to_string()), ("Content-Type", "application/json".into())];
    call(core.control(), "POST", "/-/configuration/replace", &headers, body.as_bytes(), Duration::from_secs(3)).ok().map(|a| a.status())
}

fn read_version(core: &Machine) -> Option<u64> {
    let headers = [("Host", core.control().to_string())];
    let answer = call(core.control(), "GET", "/-/configuration/read", &headers, b"", Duration::from_secs(3)).ok()?;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    let rest = text.split("\"version\":").nth(1)?;
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}
