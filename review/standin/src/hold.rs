use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::servers::{self, After};
use crate::world::{Plan, Record, World};

pub fn run(record: Arc<Record>) -> i32 {
    let r = record.clone();
    let world = World::start(Plan { edges: 4, cores: 4 }, record.clone(), move |ip| servers::start_platform(ip, r));
    for (i, zone) in crate::world::ZONES.iter().enumerate() {
        for (j, service) in ["clerk-model", "case-desk"].iter().enumerate() {
            let rec = record.clone();
            let h: servers::Handler = Arc::new(move |server, req, conn| {
                rec.say(&format!("RUN {} {} {:?} body={:?}", server.id, req.line, req.headers, String::from_utf8_lossy(&req.body)));
                thread::sleep(Duration::from_millis(30));
                let body = "ok";
                conn.write(format!("{}Content-Length: {}\r\n\r\n{body}", server.head(req, "200 OK"), body.len()).as_bytes())?;
                Ok(After::Keep)
            });
            servers::start(&world, &format!("i-{service}-{i}"), service, zone, 30 + (j * 10 + i) as u8, 64, h);
        }
    }
    println!("config {}", world.put_config(&crate::endless::config(3), Duration::from_secs(15)));
    println!("ready {}", world.wait_ready(Duration::from_secs(15)));
    for m in &world.machines {
        println!("{} {}", m.name, m.ip);
    }
    let secs = std::env::var("HOLD").ok().and_then(|s| s.parse().ok()).unwrap_or(60);
    thread::sleep(Duration::from_secs(secs));
    world.stop();
    0
}
