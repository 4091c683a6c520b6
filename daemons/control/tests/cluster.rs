//! Three control instances in one process: claims, the feed, and what is in force.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use sill_base::{Millis, Name, Secret};
use sill_control::{Control, ControlCfg};
use sill_net::PeerClient;
use sill_standin::loopback::free_addresses;
use sill_wire::Incarnation;
use sill_wire::claim::{
    BodyHash, ClaimAsk, ClaimBatch, ClaimKey, ClaimOutcome, ClaimOwner, ClaimVerdict,
};
use sill_wire::control::Revision;
use sill_wire::feed::{FeedPoll, FeedReply};
use tokio::runtime::Runtime;

/// Instances of a cluster.
const SIZE: usize = 3;

/// Tries before a test fails for good; no test measures speed by it.
const TRIES: usize = 600;

struct Cluster {
    folder: PathBuf,
    peers: Vec<SocketAddr>,
    controls: Vec<Option<Control>>,
    runtime: Runtime,
}

impl Cluster {
    fn start() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let unique = format!("{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(format!("sill-control-{unique}"));
        let peers = free_addresses(SIZE).expect("free ports");
        let runtime = Runtime::new().expect("a runtime");
        let mut cluster =
            Self { folder, peers, controls: (0..SIZE).map(|_| None).collect(), runtime };
        (0..SIZE).for_each(|i| cluster.run(i));
        cluster
    }

    fn run(&mut self, i: usize) {
        let voters = self.peers.iter().enumerate().map(|(j, address)| sill_control::cfg::Voter {
            name: format!("c{j}").into(),
            domain: "a".into(),
            address: *address,
        });
        let cfg = ControlCfg {
            name: format!("c{i}").into(),
            domain: "a".into(),
            listen: "127.0.0.1:0".parse().expect("an address"),
            listen_peer: self.peers[i],
            voters: voters.collect(),
            data: self.folder.join(format!("data-{i}")),
            cluster_key: Secret::new("key"),
            root_token: Secret::new("root"),
        };
        self.controls[i] = Some(Control::start(cfg).expect("it starts"));
    }

    fn stop(&mut self, i: usize) {
        let control = self.controls[i].take().expect("it runs");
        self.runtime.block_on(control.stop());
    }

    fn client(&self, i: usize) -> PeerClient {
        PeerClient::new(self.peers[i], &Secret::new("key"), Millis(10_000))
    }

    /// Asks until a leader carries it out.
    fn claim(&self, i: usize, asks: &[ClaimAsk]) -> Vec<ClaimVerdict> {
        for _ in 0..TRIES {
            let batch = ClaimBatch { asks: asks.to_vec() };
            let reply = self.runtime.block_on(self.client(i).call(&batch));
            match reply {
                Ok(reply) if !reply.verdicts.contains(&ClaimVerdict::Unavailable) => {
                    return reply.verdicts;
                }
                _ => std::thread::sleep(Millis(50).into()),
            }
        }
        panic!("no leader carried out {asks:?}");
    }

    fn poll(&self, i: usize, have: u64, wait: Millis) -> FeedReply {
        let poll = FeedPoll {
            entry: "e1".into(),
            incarnation: Incarnation(1),
            domain: "a".into(),
            have: Revision(have),
            wait,
            below: Vec::new(),
        };
        self.runtime.block_on(self.client(i).call(&poll)).expect("a reply")
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

fn key(key: &str) -> ClaimKey {
    ClaimKey { account: "desk".into(), key: key.into() }
}

fn owner(entry: &str, request: &str) -> ClaimOwner {
    let (entry, request): (Name, Name) = (entry.into(), request.into());
    ClaimOwner { entry, incarnation: Incarnation(1), request }
}

fn take(name: &str, entry: &str) -> ClaimAsk {
    let body = BodyHash("b".into());
    let (key, owner) = (key(name), owner(entry, entry));
    ClaimAsk::Take { key, body, owner, retention: Millis::from_secs(3600) }
}

#[test]
fn a_claim_is_given_once_through_any_instance_and_after_losses() {
    // Two entry instances ask for the same key through different control instances, then one
    // instance after another restarts. A second grant would send a notice to a family twice.
    let mut cluster = Cluster::start();
    let verdicts = cluster.claim(0, &[take("k", "e1"), take("other", "e1")]);
    assert_eq!(verdicts, [ClaimVerdict::Granted, ClaimVerdict::Granted]);
    let taken = ClaimVerdict::Taken { owner: owner("e1", "e1"), outcome: None };
    assert_eq!(cluster.claim(1, &[take("k", "e2")]), std::slice::from_ref(&taken));
    for i in 0..SIZE {
        cluster.stop(i);
        assert_eq!(cluster.claim((i + 1) % SIZE, &[take("k", "e3")]), std::slice::from_ref(&taken));
        cluster.run(i);
    }
    let outcome = ClaimOutcome::Answered { status: 200, body: Some("sent".to_owned()) };
    let finish =
        ClaimAsk::Finish { key: key("k"), owner: owner("e1", "e1"), outcome: outcome.clone() };
    assert_eq!(cluster.claim(2, &[finish]), [ClaimVerdict::Done]);
    let answered = ClaimVerdict::Taken { owner: owner("e1", "e1"), outcome: Some(outcome) };
    assert_eq!(cluster.claim(0, &[take("k", "e4")]), [answered]);
}

#[test]
fn without_a_quorum_claims_are_refused_and_the_feed_sends_entries_elsewhere() {
    // Two of three instances are gone. A request that may not be repeated must be refused, and an
    // entry instance must not take the one that is left for up to date.
    let mut cluster = Cluster::start();
    assert_eq!(cluster.claim(0, &[take("k", "e1")]), [ClaimVerdict::Granted]);
    cluster.stop(1);
    cluster.stop(2);
    let batch = ClaimBatch { asks: vec![take("k2", "e1")] };
    let reply = cluster.runtime.block_on(cluster.client(0).call(&batch)).expect("a reply");
    assert_eq!(reply.verdicts, [ClaimVerdict::Unavailable]);
    let mut reply = FeedReply::Current;
    for _ in 0..TRIES {
        reply = cluster.poll(0, 0, Millis(50));
        if reply == FeedReply::Empty {
            break;
        }
    }
    assert_eq!(reply, FeedReply::Empty);
}
