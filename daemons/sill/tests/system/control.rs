//! Control instances that are killed, frozen, partitioned, stopped or lose their disk, and
//! concurrent changes through several of them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::control_cluster::{Cluster, SIZE};
use crate::harness::{Answer, http, wait_until};

fn document(price: u64) -> String {
    format!(r#"{{"price_cap":{price}}}"#)
}

#[test]
fn a_killed_leader_loses_nothing_and_a_resent_change_gets_its_first_answer() {
    // The leader is killed right after it answered a change. The operator's tool, which lost the
    // answer, sends the change again to another instance. If the new leader does not have the
    // change id, the change is made twice, and the answer has another revision than the first one.
    let mut cluster = Cluster::start("kill");
    let leader = cluster.leader();
    let first = cluster.put(leader, "ga", &["change-id: one"], &document(1));
    assert_eq!(first.status, 200, "{first:?}");
    cluster.put(leader, "ga", &["change-id: two"], &document(2));
    cluster.kill(leader);
    let other = (leader + 1) % SIZE;
    let resent = cluster.put(other, "ga", &["change-id: one"], &document(1));
    assert_eq!((resent.status, resent.revision()), (200, first.revision()), "{resent:?}");
    let reused = cluster.put(other, "ga", &["change-id: one"], &document(9));
    assert_eq!(reused.status, 409, "{reused:?}");
    let newer = cluster.put(other, "ga", &["change-id: three"], &document(3));
    assert_eq!(newer.revision(), 3, "{newer:?}");
    cluster.start_instance(leader);
    wait_until("the restarted instance is ready", || {
        cluster.call(leader, "GET", "/readyz", &[], "").is_some_and(|answer| answer.status == 200)
    });
    let read = cluster.get(leader, "ga");
    assert_eq!(read.json()["document"]["price_cap"], 3, "{read:?}");
}

#[test]
fn a_frozen_leader_that_resumes_neither_commits_nor_serves_old_settings() {
    // The leader's process is frozen until the others have elected another leader, and then resumes
    // in its old role. If it still trusts its lease, an operator who reads there gets old settings,
    // and a change based on an old revision is accepted.
    let cluster = Cluster::start("stop");
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "ga", &[], &document(1)).status, 200);
    cluster.signal(leader, "-STOP");
    let other = cluster.leader_excluding(&[leader]);
    let newer = cluster.put(other, "ga", &["if-match: 1"], &document(2));
    assert_eq!(newer.status, 200, "{newer:?}");
    cluster.signal(leader, "-CONT");
    let read = cluster.get(leader, "ga");
    assert_eq!(read.json()["document"]["price_cap"], 2, "{read:?}");
    let outdated = cluster.put(leader, "ga", &["if-match: 1"], &document(3));
    assert_eq!((outdated.status, outdated.revision()), (409, 2), "{outdated:?}");
}

#[test]
fn a_partitioned_leader_refuses_changes_and_marks_reads_as_stale() {
    // The leader's failure domain is partitioned. Operators on the majority's side can make
    // changes; one at the old leader gets `no_quorum` for a change, and reads are marked as stale.
    // If the old leader accepts a change, there are two histories after the partition.
    let cluster = Cluster::start("cut");
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "ga", &[], &document(1)).status, 200);
    cluster.set_partitioned(leader, true);
    let rejected = cluster.put(leader, "ga", &["change-id: inside"], &document(7));
    assert_eq!(
        (rejected.status, &rejected.json()["code"]),
        (503, &"no_quorum".into()),
        "{rejected:?}"
    );
    let read = cluster.get(leader, "ga");
    assert!(read.head.contains("sill-stale: true"), "{read:?}");
    assert_eq!(read.json()["document"]["price_cap"], 1, "{read:?}");
    let other = cluster.leader_excluding(&[leader]);
    assert_eq!(cluster.put(other, "ga", &["if-match: 1"], &document(2)).status, 200);
    cluster.set_partitioned(leader, false);
    cluster.leader();
    let read = cluster.get(leader, "ga");
    assert!(!read.head.contains("sill-stale"), "{read:?}");
    assert_eq!(read.json()["document"]["price_cap"], 2, "{read:?}");
}

#[test]
fn accepted_changes_survive_a_restart_of_all_instances() {
    // Power fails in all failure domains at once. What was not on disk before its answer is lost:
    // accepted changes, the answers to resent changes, or the audit records with the refused ones.
    let mut cluster = Cluster::start("all");
    for price in 1..=20 {
        let id = format!("change-id: c{price}");
        let answer = cluster.put(price as usize % SIZE, "ga", &[&id], &document(price));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let refused = cluster.put(0, "ga", &["sill-reason: try"], r#"{"price":1}"#);
    assert_eq!(refused.status, 400, "{refused:?}");
    (0..SIZE).for_each(|i| cluster.kill(i));
    (0..SIZE).for_each(|i| cluster.start_instance(i));
    cluster.leader();
    let read = cluster.get(1, "ga");
    assert_eq!((read.revision(), &read.json()["document"]["price_cap"]), (20, &20.into()));
    let resent = cluster.put(2, "ga", &["change-id: c7"], &document(7));
    assert_eq!(resent.revision(), 7, "{resent:?}");
    let audit = cluster.call(0, "GET", "/audit?path=ga&author=root", &[], "").expect("an answer");
    let audit = audit.json();
    let records = audit.as_array().expect("the audit trail is a list");
    assert_eq!(records.len(), 21, "{records:?}");
    assert_eq!(records[20]["action"], "refused", "{records:?}");
    assert!(records[20]["reason"].as_str().is_some_and(|why| why.contains("try")), "{records:?}");
}

#[test]
fn a_change_that_waits_is_in_force_at_all_entry_instances_when_answered() {
    // An operator removes a caller's key and must know when no entry instance accepts it any more.
    // One entry instance is frozen: the answer must not claim that the change is in force there.
    let mut cluster = Cluster::start("force");
    let entries = [cluster.start_entry("e1"), cluster.start_entry("e2")];
    assert_eq!(cluster.put(0, "ga", &[], &document(1)).status, 200);
    wait_until("both entry instances run the change", || {
        cluster.entries_at_revision(1) == ["e1", "e2"]
    });
    let answer = cluster.put(1, "ga?wait=in_force", &[], &document(2));
    assert_eq!(answer.json()["in_force"], true, "{answer:?}");
    wait_until("both entry instances run revision 2", || {
        cluster.entries_at_revision(2) == ["e1", "e2"]
    });
    entries[1].signal("-STOP");
    let answer = cluster.put(2, "ga?wait=in_force", &[], &document(3));
    assert_eq!((answer.status, &answer.json()["in_force"]), (200, &false.into()), "{answer:?}");
    entries[1].signal("-CONT");
    wait_until("the resumed entry instance runs the third change", || {
        cluster.entries_at_revision(3) == ["e1", "e2"]
    });
}

#[test]
fn one_of_concurrent_changes_to_a_revision_wins() {
    // Three operators read the same revision and change it at the same time through three
    // instances. Exactly one change must be accepted; the others must get a conflict with the
    // accepted revision and its author. If two are accepted, one operator's change is overwritten
    // unseen.
    let cluster = Cluster::start("race");
    assert_eq!(cluster.put(0, "ga", &[], &document(1)).status, 200);
    for round in 1..=10 {
        let base = format!("if-match: {round}");
        let answers: Vec<_> = thread::scope(|scope| {
            let threads = (0..SIZE).map(|i| {
                let (cluster, base) = (&cluster, &base);
                scope.spawn(move || cluster.put(i, "ga", &[base], &document(100 + i as u64)))
            });
            let threads: Vec<_> = threads.collect();
            threads.into_iter().map(|thread| thread.join().expect("an answer")).collect()
        });
        let accepted: Vec<_> = answers.iter().filter(|answer| answer.status == 200).collect();
        assert_eq!(accepted.len(), 1, "{answers:?}");
        for rejected in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!(
                (rejected.status, rejected.revision()),
                (409, accepted[0].revision()),
                "{rejected:?}"
            );
            assert_eq!(rejected.json()["author"], "root", "{rejected:?}");
        }
    }
    for wrong in ["if-match: abc", "if-match: *", "if-match: "] {
        let answer = cluster.put(0, "ga", &[wrong], &document(1));
        assert_eq!(answer.status, 400, "{wrong}: {answer:?}");
    }
}

#[test]
fn an_instance_that_lost_its_disk_votes_again_before_another_is_killed() {
    // An instance loses its disk and restarts empty. The leader is killed as soon as the empty
    // instance is a voter again. If it became a voter before it had the log, accepted changes are
    // lost.
    let mut cluster = Cluster::start("disk");
    let leader = cluster.leader();
    let emptied = (leader + 1) % SIZE;
    assert_eq!(cluster.put(leader, "ga", &[], &document(1)).status, 200);
    cluster.kill(emptied);
    let data = cluster.folder.0.join(format!("data-{emptied}"));
    std::fs::remove_dir_all(&data).expect("the data folder exists");
    assert_eq!(cluster.put(leader, "ga", &[], &document(2)).status, 200);
    cluster.start_instance(emptied);
    wait_until("the empty instance is a voter again", || {
        cluster.metric(emptied, "sill_control_voter") == Some(1.0)
    });
    cluster.kill(leader);
    let read = cluster.get(emptied, "ga");
    assert_eq!(read.json()["document"]["price_cap"], 2, "{read:?}");
    let answer = cluster.put(emptied, "ga", &["if-match: 2"], &document(3));
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn a_leaders_disk_lost_while_all_are_killed_loses_no_accepted_change() {
    // Right after a change was answered, all processes are killed, and the leader, whose copy of
    // the change was the first, loses its disk. If no other instance has the change on disk, or one
    // without it is elected, the accepted change is lost.
    let mut cluster = Cluster::start("disk-and-kill");
    for price in 1..=3 {
        let leader = cluster.leader();
        let answer = cluster.put((leader + price as usize) % SIZE, "ga", &[], &document(price));
        assert_eq!(answer.status, 200, "{answer:?}");
        (0..SIZE).for_each(|i| cluster.kill(i));
        let data = cluster.folder.0.join(format!("data-{leader}"));
        std::fs::remove_dir_all(&data).expect("the data folder exists");
        (0..SIZE).for_each(|i| cluster.start_instance(i));
        cluster.leader();
        let read = cluster.get(leader, "ga");
        assert_eq!(
            (read.revision(), &read.json()["document"]["price_cap"]),
            (price, &price.into())
        );
        assert!(!read.head.contains("sill-stale"), "{read:?}");
        wait_until("the empty instance is a voter again", || {
            cluster.metric(leader, "sill_control_voter") == Some(1.0)
        });
    }
}

#[test]
fn a_change_in_flight_at_a_planned_stop_is_acknowledged() {
    // An operator's change waits for the other instances, which the leader can't reach for a
    // moment, and the leader is stopped for an upgrade. The change is committed. If the stop does
    // not wait for it, the operator's call is cut seconds later and its outcome is unknown.
    let mut cluster = Cluster::start("stop-change");
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "ga", &[], &document(1)).status, 200);
    cluster.set_partitioned(leader, true);
    let answer = thread::scope(|scope| {
        let put = || cluster.call(leader, "PUT", "/tree/ga", &["change-id: two"], &document(2));
        let pending = scope.spawn(put);
        thread::sleep(Duration::from_millis(100));
        cluster.signal(leader, "-TERM");
        thread::sleep(Duration::from_millis(200));
        cluster.set_partitioned(leader, false);
        pending.join().expect("the thread does not panic")
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(cluster.exit_code(leader), Some(0));
    let other = cluster.leader_excluding(&[leader]);
    let read = cluster.get(other, "ga");
    assert_eq!(read.json()["document"]["price_cap"], 2, "{read:?}");
}

/// A change that an operator sent while instances were being stopped, and its answer if there was
/// one.
struct SentChange {
    id: String,
    price: u64,
    answer: Option<Answer>,
}

#[test]
fn planned_stops_in_series_refuse_no_change_and_lose_none() {
    // Three operators make changes, each through another instance, while one instance after the
    // other is stopped and restarted. A change may stay unanswered or unavailable, but a stop must
    // not refuse it as invalid (4xx). Each acknowledged change must exist once afterwards. The
    // entry instance's long polls end with the instances; if it does not poll again, it misses the
    // newest settings.
    let mut cluster = Cluster::start("stop-series");
    let _entry = cluster.start_entry("e1");
    let is_over = AtomicBool::new(false);
    let sent: Vec<SentChange> = thread::scope(|scope| {
        let _stop_on_drop = StopOnDrop(&is_over);
        let operators: Vec<_> = (0..SIZE)
            .map(|i| {
                let (api, is_over) = (cluster.api[i], &is_over);
                scope.spawn(move || send_changes(i, api, is_over))
            })
            .collect();
        for i in (0..SIZE).chain(0..SIZE) {
            thread::sleep(Duration::from_millis(500));
            let leader = cluster.leader();
            // Stops the leader where `i` is 0, otherwise the instances in turn.
            let stopped = if i == 0 { leader } else { i };
            cluster.signal(stopped, "-TERM");
            cluster.signal(stopped, "-TERM");
            assert_eq!(cluster.exit_code(stopped), Some(0));
            cluster.start_instance(stopped);
        }
        cluster.leader();
        is_over.store(true, Ordering::Relaxed);
        operators
            .into_iter()
            .flat_map(|operator| operator.join().expect("the thread does not panic"))
            .collect()
    });
    let status = |sent: &SentChange| sent.answer.as_ref().map(|answer| answer.status);
    let refused: Vec<_> =
        sent.iter().filter_map(status).filter(|s| (400..500).contains(s)).collect();
    assert_eq!(refused, Vec::<u16>::new());
    let acknowledged: Vec<&SentChange> =
        sent.iter().filter(|sent| status(sent) == Some(200)).collect();
    assert!(
        acknowledged.len() > 50,
        "only {} of {} changes were acknowledged",
        acknowledged.len(),
        sent.len()
    );
    for SentChange { id, price, answer } in acknowledged {
        let revision = answer.as_ref().expect("an acknowledged change has an answer").revision();
        let resent = cluster.put(0, "ga", &[&format!("change-id: {id}")], &document(*price));
        assert_eq!((resent.status, resent.revision()), (200, revision), "{id}: {resent:?}");
    }
    let last = cluster.put(1, "ga", &[], &document(0)).revision();
    wait_until("the entry instance runs the newest settings", || {
        cluster.entries_at_revision(last) == ["e1"]
    });
}

/// Stops the operators' threads when the test panics; the thread scope would wait for them forever.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends changes to one instance until `is_over` is set, after a longer pause if one was not
/// accepted.
fn send_changes(operator: usize, api: SocketAddr, is_over: &AtomicBool) -> Vec<SentChange> {
    let mut sent = Vec::new();
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let (id, price) = (format!("o{operator}-{number}"), 1 + number);
        let headers = ["authorization: Bearer test-root-token", &format!("change-id: {id}")];
        let answer = http(api, "PUT", "/tree/ga", &headers, &document(price));
        let has_failed = answer.as_ref().is_none_or(|answer| answer.status != 200);
        sent.push(SentChange { id, price, answer });
        thread::sleep(Duration::from_millis(if has_failed { 50 } else { 5 }));
    }
    sent
}
