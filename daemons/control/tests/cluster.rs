//! Three control instances in one process: claims, the feed, disk faults, and changes in force.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use sill_base::{Millis, Name, Secret};
use sill_control::{Control, ControlCfg};
use sill_net::PeerClient;
use sill_standin::loopback::free_addresses;
use sill_standin::panics::PanicCheck;
use sill_store::faulty_disk::DiskFault;
use sill_store::{FaultyDisk, Store};
use sill_wire::Incarnation;
use sill_wire::claim::{
    BodyHash, ClaimAsk, ClaimBatch, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict,
};
use sill_wire::control::Revision;
use sill_wire::feed::{FeedPoll, FeedReply};
use support::http;
use tokio::runtime::Runtime;

/// Control instances in a cluster.
const SIZE: usize = 3;

/// Attempts at 50 ms intervals before a test fails; no test measures speed by it.
const MAX_ATTEMPTS: usize = 600;

struct Cluster {
    folder: PathBuf,
    peers: Vec<SocketAddr>,
    controls: Vec<Option<Control>>,
    runtime: Runtime,
    _panic_check: PanicCheck,
}

impl Cluster {
    fn start() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let unique = format!("{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(format!("sill-control-{unique}"));
        let peers = free_addresses(SIZE).expect("free ports");
        let runtime = Runtime::new().expect("a runtime");
        let controls = (0..SIZE).map(|_| None).collect();
        let _panic_check = PanicCheck::start();
        let mut cluster = Self { folder, peers, controls, runtime, _panic_check };
        (0..SIZE).for_each(|i| cluster.run(i));
        cluster
    }

    fn run(&mut self, i: usize) {
        self.controls[i] = Some(Control::start(self.cfg(i)).expect("the control instance starts"));
    }

    fn cfg(&self, i: usize) -> ControlCfg {
        let voters = self.peers.iter().enumerate().map(|(j, address)| sill_control::cfg::Voter {
            name: format!("c{j}").into(),
            domain: "a".into(),
            address: *address,
        });
        ControlCfg {
            seeds: None,
            quorum: Default::default(),
            endpoint_heartbeat: Millis(1000),
            name: format!("c{i}").into(),
            domain: "a".into(),
            listen: "127.0.0.1:0".parse().expect("an address"),
            listen_metrics: None,
            listen_peer: self.peers[i],
            voters: voters.collect(),
            data: self.folder.join(format!("data-{i}")),
            cluster_key: Secret::new("key"),
            root_token: Secret::new("root"),
            join_token: None,
            rollouts: None,
        }
    }

    fn stop(&mut self, i: usize) {
        let control = self.controls[i].take().expect("the control instance runs");
        self.runtime.block_on(control.stop());
    }

    fn client(&self, i: usize) -> PeerClient {
        PeerClient::new(self.peers[i], &Secret::new("key"), Millis(10_000))
    }

    /// Repeats claims on an instance until a leader has applied them.
    fn claim(&self, i: usize, asks: &[ClaimAsk]) -> Vec<ClaimVerdict> {
        for _ in 0..MAX_ATTEMPTS {
            let batch = ClaimBatch { asks: asks.to_vec() };
            let reply = self.runtime.block_on(self.client(i).call(&batch));
            match reply {
                Ok(reply) if !reply.verdicts.contains(&ClaimVerdict::Unavailable) => {
                    return reply.verdicts;
                }
                _ => std::thread::sleep(Millis(50).into()),
            }
        }
        panic!("no leader applied {asks:?} in {MAX_ATTEMPTS} attempts");
    }

    fn poll(&self, i: usize, have: u64, wait: Millis) -> FeedReply {
        let poll = FeedPoll {
            entry: "e1".into(),
            incarnation: Incarnation(1),
            domain: "a".into(),
            have: Revision(have),
            wait,
            subscribers: Vec::new(),
            endpoints: None,
        };
        self.runtime.block_on(self.client(i).call(&poll)).expect("the instance replies")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for control in self.controls.iter_mut().filter_map(Option::take) {
            self.runtime.block_on(control.stop());
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    for _ in 0..MAX_ATTEMPTS {
        if holds() {
            return;
        }
        std::thread::sleep(Millis(50).into());
    }
    panic!("not after {MAX_ATTEMPTS} attempts: {what}");
}

fn key(key: &str) -> ClaimKey {
    ClaimKey { account: "desk".into(), key: key.into() }
}

fn owner(entry: &str, request: &str) -> ClaimOwner {
    let (entry, request): (Name, Name) = (entry.into(), request.into());
    ClaimOwner { entry, incarnation: Incarnation(1), request }
}

fn take_ask(name: &str, entry: &str) -> ClaimAsk {
    let body = BodyHash("b".into());
    let (key, owner) = (key(name), owner(entry, entry));
    ClaimAsk::Take { key, body, owner, retention: Millis::from_secs(3600) }
}

#[test]
fn a_claim_is_granted_once_through_any_instance_and_after_restarts() {
    // Two entry instances claim the same key through different control instances, then one control
    // instance after another restarts. A second grant would send a notice to a family twice.
    let mut cluster = Cluster::start();
    let verdicts = cluster.claim(0, &[take_ask("k", "e1"), take_ask("other", "e1")]);
    assert_eq!(verdicts, [ClaimVerdict::Granted, ClaimVerdict::Granted]);
    let taken = ClaimVerdict::Taken { owner: owner("e1", "e1"), outcome: None };
    assert_eq!(cluster.claim(1, &[take_ask("k", "e2")]), std::slice::from_ref(&taken));
    for i in 0..SIZE {
        cluster.stop(i);
        assert_eq!(
            cluster.claim((i + 1) % SIZE, &[take_ask("k", "e3")]),
            std::slice::from_ref(&taken)
        );
        cluster.run(i);
    }
    let outcome = ClaimOutcome::Answered { status: 200, body: Some("sent".to_owned()) };
    let finish =
        ClaimAsk::Finish { key: key("k"), owner: owner("e1", "e1"), outcome: outcome.clone() };
    assert_eq!(cluster.claim(2, &[finish]), [ClaimVerdict::Done]);
    let answered = ClaimVerdict::Taken { owner: owner("e1", "e1"), outcome: Some(outcome) };
    assert_eq!(cluster.claim(0, &[take_ask("k", "e4")]), [answered]);
}

#[test]
fn without_a_quorum_claims_are_refused_and_the_feed_is_empty() {
    // Two of three instances have stopped. A claim for a request that may not be repeated must be
    // refused, and an entry instance must not treat the remaining control instance as up to date.
    let mut cluster = Cluster::start();
    assert_eq!(cluster.claim(0, &[take_ask("k", "e1")]), [ClaimVerdict::Granted]);
    cluster.stop(1);
    cluster.stop(2);
    let batch = ClaimBatch { asks: vec![take_ask("k2", "e1")] };
    let reply =
        cluster.runtime.block_on(cluster.client(0).call(&batch)).expect("the instance replies");
    assert_eq!(reply.verdicts, [ClaimVerdict::Unavailable]);
    let mut reply = FeedReply::Current;
    for _ in 0..MAX_ATTEMPTS {
        reply = cluster.poll(0, 0, Millis(50));
        if reply == FeedReply::Empty {
            break;
        }
    }
    assert_eq!(reply, FeedReply::Empty);
}

#[test]
fn an_instance_that_lags_behind_the_compacted_log_gets_a_snapshot() {
    // While an instance is stopped, so much is written that the others compact their logs. After
    // its restart, and after another one, it must hold all claims, and not grant one of them again.
    let mut cluster = Cluster::start();
    cluster.claim(0, &[take_ask("k", "e1")]);
    cluster.stop(2);
    let body = Some("x".repeat(15_000));
    for i in 0..600 {
        let name = format!("k{i}");
        cluster.claim(0, &[take_ask(&name, "e1")]);
        let outcome = ClaimOutcome::Answered { status: 200, body: body.clone() };
        let (key, owner) = (key(&name), owner("e1", "e1"));
        cluster.claim(0, &[ClaimAsk::Finish { key, owner, outcome }]);
    }
    let compacted = cluster.folder.join("data-0/snapshot-1");
    wait_until("the log is compacted", || compacted.exists());
    for _ in 0..2 {
        cluster.run(2);
        let address = cluster.controls[2].as_ref().expect("the control instance runs").address;
        wait_until("the restarted instance holds all 601 claims", || {
            http(address, "GET", "/metrics", "").contains("\nsill_control_claims 601\n")
        });
        let taken = cluster.claim(2, &[take_ask("k0", "e2")]);
        assert!(matches!(taken[0], ClaimVerdict::Taken { .. }), "{taken:?}");
        cluster.stop(2);
    }
}

#[test]
fn a_full_or_failing_disk_refuses_changes_and_keeps_serving_reads() {
    // Another program fills the disk, and later a sync fails. Changes must be refused with the
    // reason, and entry instances must still get settings. Once the disk works, the same process
    // must accept changes again, and keep them through a crash.
    let mut cluster = Cluster::start();
    (0..SIZE).for_each(|i| cluster.stop(i));
    let disk = FaultyDisk::new();
    let mut cfg = ControlCfg { listen_peer: cluster.peers[0], ..cluster.cfg(0) };
    cfg.voters.truncate(1);
    let opened = disk.clone();
    let control = Control::start_on(cfg, Box::new(move |_| Ok(Box::new(opened.clone()))));
    let control = control.expect("the control instance starts");
    let put = |price: u64| {
        http(control.address, "PUT", "/tree/ga", &format!("{{\"price_cap\":{price}}}"))
    };
    wait_until("a change is accepted", || put(1).starts_with("HTTP/1.1 200"));
    let is_ready = || http(control.address, "GET", "/readyz", "").starts_with("HTTP/1.1 200");
    disk.set_full(true);
    let refused = put(7);
    assert!(refused.contains("storage_full"), "{refused}");
    let read = http(control.address, "GET", "/tree/ga", "");
    assert!(read.contains("\"price_cap\":1"), "{read}");
    assert_ne!(cluster.poll(0, 0, Millis(0)), FeedReply::Empty);
    disk.set_full(false);
    wait_until("the instance is ready again", is_ready);
    let read = http(control.address, "GET", "/tree/ga", "");
    assert!(read.contains("\"price_cap\":1") && !read.contains("sill-stale"), "{read}");

    disk.inject_fault(DiskFault::SyncFails);
    let unknown = put(2);
    assert!(unknown.starts_with("HTTP/1.1 503") && unknown.contains("unknown"), "{unknown}");
    wait_until("the instance is ready again", is_ready);
    assert!(put(3).starts_with("HTTP/1.1 200"));
    disk.crash(0);
    cluster.runtime.block_on(control.stop());
    let (_, recovered) = Store::open(disk).expect("the store opens");
    let text = String::from_utf8(recovered.records.concat()).expect("the records are UTF-8");
    assert!(text.contains("price_cap\\\":3"), "the accepted change is not on the disk: {text}");
}

#[test]
fn a_large_document_is_accepted_and_an_oversized_one_refused() {
    // A team's document grows with its accounts. It must not be refused at the default limit of a
    // library, and one that is oversized by mistake must not fill the log.
    let cluster = Cluster::start();
    let address = cluster.controls[0].as_ref().expect("the control instance runs").address;
    let put = |kilobytes: usize| {
        let document = format!("{{\"price_cap\":1{}}}", " ".repeat(kilobytes << 10));
        http(address, "PUT", "/tree/ga", &document)
    };
    wait_until("a document of 2000 kB is accepted", || put(2000).starts_with("HTTP/1.1 200"));
    // Sends the head only: the server may close the connection after the refusal.
    let mut stream = TcpStream::connect(address).expect("a connection");
    let head = "PUT /tree/ga HTTP/1.1\r\nhost: c\r\nauthorization: Bearer root\r\n";
    let text = format!("{head}content-length: {}\r\n\r\n", 9000 << 10);
    stream.write_all(text.as_bytes()).expect("sent");
    let mut start = [0; 10];
    stream.read_exact(&mut start).expect("an answer");
    assert_eq!(&start, b"HTTP/1.1 4");
}

/// An entry instance starts to poll one control instance and then stalls. An operator asks another
/// control instance, which has not received the entry instance's status yet, to wait until a change
/// is in force everywhere. It must not confirm the change: a revoked key still works on the stalled
/// entry instance.
#[test]
fn a_change_is_not_confirmed_before_an_entry_instance_polling_elsewhere_runs_it() {
    let cluster = Cluster::start();
    let address =
        |i: usize| cluster.controls[i].as_ref().expect("the control instance runs").address;
    wait_until("a leader accepts a change", || {
        http(address(0), "PUT", "/tree/ga", "{}").contains(" 200 ")
    });
    cluster.poll(0, 1, Millis::ZERO);
    let path = "/tree/ga?wait=in_force";
    let answer = http(address(2), "PUT", path, r#"{"price_cap":1}"#);
    assert!(answer.contains("\"in_force\":false"), "{answer}");
}
