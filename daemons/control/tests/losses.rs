//! Power losses of all control instances right after an answer, some of them with disk losses.

mod support;

use std::io;
use std::net::SocketAddr;

use sill_base::{Clock, Millis, Secret};
use sill_control::cfg::Seeds;
use sill_control::rpc::{Hello, HelloReply};
use sill_control::{Control, ControlCfg};
use sill_net::PeerClient;
use sill_quorum::ReplicaId;
use sill_standin::loopback::free_addresses;
use sill_standin::panics::PanicCheck;
use sill_store::{AnyDisk, Disk, FaultyDisk, Store};
use sill_wire::link::ControlInfo;
use support::http;
use tokio::runtime::Runtime;

/// Instances whose addresses all others are configured with; they bootstrap the log.
const SEEDS: usize = 3;

/// Timeout after which a test fails; no test measures speed by it.
const WAIT_TIMEOUT: Millis = Millis::from_secs(40);

/// A disk that reports each file sync as successful without performing it.
#[derive(Debug)]
struct SyncSkippingDisk(FaultyDisk);

/// Control instances on simulated disks, whose contents after a power loss the tests choose.
struct Cluster {
    peers: Vec<SocketAddr>,
    voters: usize,
    controls: Vec<Control>,
    runtime: Runtime,
    _panic_check: PanicCheck,
}

impl Cluster {
    fn new(size: usize, voters: usize) -> Self {
        let peers = free_addresses(size).expect("free ports");
        let runtime = Runtime::new().expect("a runtime");
        let _panic_check = PanicCheck::start();
        Self { peers, voters, controls: Vec::new(), runtime, _panic_check }
    }

    /// Starts one instance on each disk.
    fn run(&mut self, disks: &[FaultyDisk], may_bootstrap: bool) {
        for (i, disk) in disks.iter().enumerate() {
            self.run_one(i, disk, may_bootstrap);
        }
    }

    fn run_one(&mut self, i: usize, disk: &FaultyDisk, may_bootstrap: bool) {
        let disk = disk.clone();
        self.run_on(i, may_bootstrap, move || Box::new(disk.clone()));
    }

    fn run_on<F>(&mut self, i: usize, may_bootstrap: bool, open: F)
    where
        F: Fn() -> AnyDisk + Send + 'static,
    {
        let control = Control::start_on(self.cfg(i, may_bootstrap), Box::new(move |_| Ok(open())));
        self.controls.push(control.expect("the control instance starts"));
    }

    fn cfg(&self, i: usize, may_bootstrap: bool) -> ControlCfg {
        let peers = self.peers[..SEEDS].to_vec();
        ControlCfg {
            seeds: Some(Seeds { peers, may_bootstrap, voters: self.voters }),
            quorum: sill_quorum::Cfg::low_latency(),
            endpoint_heartbeat: Millis(1000),
            name: format!("c{i}").into(),
            domain: format!("d{i}").into(),
            listen: "127.0.0.1:0".parse().expect("an address"),
            listen_metrics: None,
            listen_peer: self.peers[i],
            voters: Vec::new(),
            data: "unused".into(),
            cluster_key: Secret::new("key"),
            root_token: Secret::new("root"),
            join_token: None,
            rollouts: None,
        }
    }

    fn stop(&mut self) {
        for control in self.controls.drain(..) {
            self.runtime.block_on(control.stop());
        }
    }

    fn put(&self, i: usize, price: u64) -> bool {
        let document = format!("{{\"price_cap\":{price}}}");
        http(self.controls[i].address, "PUT", "/tree/ga", &document).starts_with("HTTP/1.1 200")
    }

    /// Returns an instance's answer to a read, once it is not marked as stale.
    fn read(&self, i: usize) -> String {
        let mut answer = String::new();
        wait_until("reads are not stale", || {
            answer = http(self.controls[i].address, "GET", "/tree/ga", "");
            answer.starts_with("HTTP/1.1 200") && !answer.contains("sill-stale")
        });
        answer
    }

    fn is_voter(&self, i: usize) -> bool {
        let text = http(self.controls[i].address, "GET", "/metrics", "");
        text.contains("\nsill_control_voter 1\n")
    }

    fn count_voters(&self) -> usize {
        (0..self.controls.len()).filter(|i| self.is_voter(*i)).count()
    }

    /// Announces an empty instance to an instance.
    fn hello(&self, to: usize) -> HelloReply {
        let address = self.peers[to];
        let info =
            ControlInfo { name: "empty".into(), domain: "d0".into(), peer: address, address };
        let id = ReplicaId { name: "empty".into(), incarnation: 1 };
        let hello = Hello { id, as_voter: false, info };
        let client = PeerClient::new(address, &Secret::new("key"), WAIT_TIMEOUT);
        self.runtime.block_on(client.call(&hello)).expect("a reply")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Disk for SyncSkippingDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.0.list()
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        self.0.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.0.append(name, bytes)
    }

    fn sync(&mut self, _: &str) -> io::Result<()> {
        Ok(())
    }

    fn truncate(&mut self, name: &str, len: u64) -> io::Result<()> {
        self.0.truncate(name, len)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        self.0.sync_folder()
    }
}

/// Returns how many disks would hold a change after a power loss at this moment.
fn count_copies(disks: &[FaultyDisk], price: u64) -> usize {
    let holds = |disk: &&FaultyDisk| {
        let Ok((_, recovered)) = Store::open(disk.after_crash(0)) else { return false };
        let text = String::from_utf8(recovered.records.concat()).expect("the records are UTF-8");
        text.contains(&format!("price_cap\\\":{price}"))
    };
    disks.iter().filter(holds).count()
}

fn wait_until<F>(what: &str, mut holds: F)
where
    F: FnMut() -> bool,
{
    let clock = Clock::start();
    while clock.now() < WAIT_TIMEOUT {
        if holds() {
            return;
        }
        std::thread::sleep(Millis(25).into());
    }
    panic!("not within {} ms: {what}", WAIT_TIMEOUT.0);
}

#[test]
fn answered_changes_survive_lost_disks_and_a_power_loss() {
    // An operator's change is answered. At that moment as many control instances as the set of
    // voters tolerates lose their disks, in some cases with the one that answered, and all lose power:
    // of unsynced data, nothing or a torn part is left. The change must be read back, and the next
    // one accepted.
    struct Case {
        size: usize,
        voters: usize,
        /// The instances that lose their disks, as offsets from the one that answers.
        lost: &'static [usize],
        /// Unsynced bytes that the other disks keep.
        kept: usize,
    }
    let cases = [
        Case { size: 3, voters: 3, lost: &[0], kept: 0 },
        Case { size: 4, voters: 3, lost: &[1], kept: 7 },
        Case { size: 5, voters: 5, lost: &[0, 1], kept: 0 },
        Case { size: 5, voters: 5, lost: &[0, 3], kept: 20 },
        Case { size: 6, voters: 5, lost: &[1, 2], kept: 3 },
    ];
    for Case { size, voters, lost, kept } in cases {
        let name = format!("{size} instances, {voters} voters, {lost:?} lost");
        let mut cluster = Cluster::new(size, voters);
        let disks: Vec<FaultyDisk> = (0..size).map(|_| FaultyDisk::new()).collect();
        cluster.run(&disks, true);
        wait_until("all voters have joined", || cluster.count_voters() == voters);
        wait_until("a change is accepted", || cluster.put(0, 1));
        for price in 2..6 {
            let asked = price as usize % size;
            wait_until("a change is accepted", || cluster.put(asked, price));
            let copies = count_copies(&disks, price);
            assert!(copies > lost.len(), "{name}: {copies} copies of the answered change");
            let mut left: Vec<FaultyDisk> = disks.iter().map(|d| d.after_crash(kept)).collect();
            for offset in lost {
                left[(asked + offset) % size] = FaultyDisk::new();
            }
            if price < 5 {
                continue;
            }
            cluster.stop();
            cluster.run(&left, false);
            for i in 0..size {
                let read = cluster.read(i);
                assert!(read.contains(&format!("\"price_cap\":{price}")), "{name}: {read}");
            }
            wait_until("the next change is accepted", || cluster.put(0, 9));
            wait_until("all voters have joined again", || cluster.count_voters() == voters);
        }
    }
}

#[test]
fn the_check_of_copies_detects_an_answer_before_the_sync() {
    // The disks skip each sync, as those of a misconfigured volume do. The check of the test above
    // must then find no durable copy of an answered change.
    let mut cluster = Cluster::new(3, 3);
    let disks: Vec<FaultyDisk> = (0..3).map(|_| FaultyDisk::new()).collect();
    for (i, disk) in disks.iter().enumerate() {
        let disk = disk.clone();
        cluster.run_on(i, true, move || Box::new(SyncSkippingDisk(disk.clone())));
    }
    wait_until("a change is accepted", || cluster.put(0, 1));
    assert_eq!(count_copies(&disks, 1), 0);
}

#[test]
fn an_instance_with_a_log_never_reports_itself_as_new() {
    // All instances lose power and two of them their disks. The empty ones may bootstrap the log,
    // as at the first start, and ask whether all others are new as well. An instance whose disk
    // holds the log answered yes right after its start, before its log thread had read the disk.
    // With five voters and three founders, the two empty ones are a quorum of the founders, start a
    // second history, and overwrite the third one; the operators' settings are lost.
    let mut cluster = Cluster::new(4, 3);
    let disks: Vec<FaultyDisk> = (0..4).map(|_| FaultyDisk::new()).collect();
    cluster.run(&disks, true);
    wait_until("all voters have joined", || cluster.count_voters() == 3);
    wait_until("a change is accepted", || cluster.put(0, 1));
    (0..4).for_each(|i| drop(cluster.read(i)));
    let standby = (0..4).find(|i| !cluster.is_voter(*i)).expect("one of four is a standby");
    for i in [standby, (standby + 1) % 4] {
        cluster.stop();
        cluster.run_one(i, &disks[i], false);
        assert!(
            !cluster.hello(i).is_new,
            "instance {i} reports itself as new; the standby is {standby}"
        );
    }
}

#[test]
fn an_instance_whose_clock_went_back_votes_again_after_it_lost_its_disk() {
    // The clock of a machine is ahead when its first disk is created, or restarts at 1970 with the
    // next one. The older incarnation then has the higher number. Messages of the new one were
    // treated as late ones of an ended incarnation, and it was never admitted again: one vote was
    // missing permanently, and after the next loss no change could be committed.
    let mut cluster = Cluster::new(3, 3);
    let disks: Vec<FaultyDisk> = (0..3).map(|_| FaultyDisk::new()).collect();
    let (mut store, _) = Store::open(disks[2].clone()).expect("the store opens");
    let ahead = Millis::wall().0 + 3_600_000;
    let id = format!(r#"{{"record":"id","name":"c2","incarnation":{ahead}}}"#);
    store.append(&[id]).expect("the record is appended");
    drop(store);
    cluster.run(&disks, true);
    wait_until("all voters have joined", || cluster.count_voters() == 3);
    wait_until("a change is accepted", || cluster.put(0, 1));
    let disks = [disks[0].clone(), disks[1].clone(), FaultyDisk::new()];
    for what in ["all three vote after the disk loss", "all three vote after a restart"] {
        cluster.stop();
        cluster.run(&disks, false);
        wait_until(what, || cluster.count_voters() == 3);
        let read = cluster.read(2);
        assert!(read.contains("\"price_cap\":1"), "{read}");
    }
}
