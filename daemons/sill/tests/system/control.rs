//! Control instances as real processes: killed, stopped, cut off, raced, and without their disk.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::control_cluster::{Cluster, SIZE, signal};
use crate::harness::{Answer, http, wait_until};

fn document(price: u64) -> String {
    format!(r#"{{"price_cap":{price}}}"#)
}

#[test]
fn a_killed_leader_loses_nothing_and_a_resent_change_gets_its_first_answer() {
    // The leader is killed right after it answered a change, and the operator's tool, which lost
    // the answer, sends the change again to another instance. It must not be made twice, and the
    // operator must be told the revision that it made the first time.
    let mut cluster = Cluster::start("kill");
    let leader = cluster.leader();
    let first = cluster.put(leader, "ga", &["change-id: one"], &document(1));
    assert_eq!(first.status, 200, "{first:?}");
    cluster.put(leader, "ga", &["change-id: two"], &document(2));
    cluster.kill(leader);
    let other = (leader + 1) % SIZE;
    let again = cluster.put(other, "ga", &["change-id: one"], &document(1));
    assert_eq!((again.status, again.revision()), (200, first.revision()), "{again:?}");
    let reused = cluster.put(other, "ga", &["change-id: one"], &document(9));
    assert_eq!(reused.status, 409, "{reused:?}");
    let newer = cluster.put(other, "ga", &["change-id: three"], &document(3));
    assert_eq!(newer.revision(), 3, "{newer:?}");
    cluster.run(leader);
    wait_until("the restarted instance is ready", || {
        cluster.call(leader, "GET", "/readyz", &[], "").is_some_and(|answer| answer.status == 200)
    });
    let read = cluster.get(leader, "ga");
    assert_eq!(read.json()["document"]["price_cap"], 3, "{read:?}");
}

#[test]
fn a_stopped_leader_that_goes_on_neither_commits_nor_shows_old_settings() {
    // The leader's machine stands still for some seconds while the others go on, and then it
    // resumes as if nothing had happened. An operator who reads there must see the newest
    // settings, and a change based on the old ones must be refused.
    let cluster = Cluster::start("stop");
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "ga", &[], &document(1)).status, 200);
    cluster.signal(leader, "-STOP");
    let other = cluster.leader_without(&[leader]);
    let newer = cluster.put(other, "ga", &["if-match: 1"], &document(2));
    assert_eq!(newer.status, 200, "{newer:?}");
    cluster.signal(leader, "-CONT");
    let read = cluster.get(leader, "ga");
    assert_eq!(read.json()["document"]["price_cap"], 2, "{read:?}");
    let late = cluster.put(leader, "ga", &["if-match: 1"], &document(3));
    assert_eq!((late.status, late.revision()), (409, 2), "{late:?}");
}

#[test]
fn a_cut_off_leader_takes_no_change_and_marks_what_it_shows_as_old() {
    // The leader's failure domain is cut off. Operators on the other side go on; one inside gets
    // no change through and is told that what is shown may be old. After the repair there is one
    // history only.
    let cluster = Cluster::start("cut");
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "ga", &[], &document(1)).status, 200);
    cluster.cut(leader, true);
    let lost = cluster.put(leader, "ga", &["change-id: inside"], &document(7));
    assert_eq!((lost.status, &lost.json()["code"]), (503, &"no_quorum".into()), "{lost:?}");
    let read = cluster.get(leader, "ga");
    assert!(read.head.contains("sill-stale: true"), "{read:?}");
    assert_eq!(read.json()["document"]["price_cap"], 1, "{read:?}");
    let other = cluster.leader_without(&[leader]);
    assert_eq!(cluster.put(other, "ga", &["if-match: 1"], &document(2)).status, 200);
    cluster.cut(leader, false);
    cluster.leader();
    let read = cluster.get(leader, "ga");
    assert!(!read.head.contains("sill-stale"), "{read:?}");
    assert_eq!(read.json()["document"]["price_cap"], 2, "{read:?}");
}

#[test]
fn after_a_restart_of_all_everything_accepted_is_there() {
    // Power fails in all domains at once. Every accepted change, the answers to resent ones, and
    // the audit trail with what was refused must be there afterwards.
    let mut cluster = Cluster::start("all");
    for price in 1..=20 {
        let id = format!("change-id: c{price}");
        let answer = cluster.put(price as usize % SIZE, "ga", &[&id], &document(price));
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    let refused = cluster.put(0, "ga", &["sill-reason: try"], r#"{"price":1}"#);
    assert_eq!(refused.status, 400, "{refused:?}");
    (0..SIZE).for_each(|i| cluster.kill(i));
    (0..SIZE).for_each(|i| cluster.run(i));
    cluster.leader();
    let read = cluster.get(1, "ga");
    assert_eq!((read.revision(), &read.json()["document"]["price_cap"]), (20, &20.into()));
    let again = cluster.put(2, "ga", &["change-id: c7"], &document(7));
    assert_eq!(again.revision(), 7, "{again:?}");
    let audit = cluster.call(0, "GET", "/audit?path=ga&author=root", &[], "").expect("an answer");
    let audit = audit.json();
    let records = audit.as_array().expect("a list");
    assert_eq!(records.len(), 21, "{records:?}");
    assert_eq!(records[20]["action"], "refused", "{records:?}");
    assert!(records[20]["reason"].as_str().is_some_and(|why| why.contains("try")), "{records:?}");
}

#[test]
fn a_change_that_waits_is_in_force_at_all_entry_instances_when_it_is_answered() {
    // An operator takes a key out of use and must know when no entry instance takes it any more.
    // One entry instance is stopped: the answer must not claim that the change is in force there.
    let mut cluster = Cluster::start("force");
    let entries = [cluster.run_entry("e1"), cluster.run_entry("e2")];
    assert_eq!(cluster.put(0, "ga", &[], &document(1)).status, 200);
    wait_until("both entry instances run the change", || cluster.running(1) == ["e1", "e2"]);
    let answer = cluster.put(1, "ga?wait=in_force", &[], &document(2));
    assert_eq!(answer.json()["in_force"], true, "{answer:?}");
    wait_until("all instances are told of it", || cluster.running(2) == ["e1", "e2"]);
    signal(&entries[1], "-STOP");
    let answer = cluster.put(2, "ga?wait=in_force", &[], &document(3));
    assert_eq!((answer.status, &answer.json()["in_force"]), (200, &false.into()), "{answer:?}");
    signal(&entries[1], "-CONT");
    wait_until("the late one runs the change", || cluster.running(3) == ["e1", "e2"]);
}

#[test]
fn of_racing_changes_with_equal_revisions_one_wins() {
    // Three operators read revision 1 and change it at the same time through three instances. One
    // must win, and the others must learn which revision and author came first.
    let cluster = Cluster::start("race");
    assert_eq!(cluster.put(0, "ga", &[], &document(1)).status, 200);
    for round in 1..=10 {
        let base = format!("if-match: {round}");
        let answers: Vec<_> = thread::scope(|scope| {
            let racing = (0..SIZE).map(|i| {
                let (cluster, base) = (&cluster, &base);
                scope.spawn(move || cluster.put(i, "ga", &[base], &document(100 + i as u64)))
            });
            let racing: Vec<_> = racing.collect();
            racing.into_iter().map(|thread| thread.join().expect("an answer")).collect()
        });
        let won: Vec<_> = answers.iter().filter(|answer| answer.status == 200).collect();
        assert_eq!(won.len(), 1, "{answers:?}");
        for lost in answers.iter().filter(|answer| answer.status != 200) {
            assert_eq!((lost.status, lost.revision()), (409, won[0].revision()), "{lost:?}");
            assert_eq!(lost.json()["author"], "root", "{lost:?}");
        }
    }
    for wrong in ["if-match: abc", "if-match: *", "if-match: "] {
        let answer = cluster.put(0, "ga", &[wrong], &document(1));
        assert_eq!(answer.status, 400, "{wrong}: {answer:?}");
    }
}

#[test]
fn a_lost_disk_is_repaired_and_the_next_loss_is_borne() {
    // An instance loses its disk and comes back empty; right after it is a voter again, another
    // one is killed. Operators must be able to go on with all that was accepted before.
    let mut cluster = Cluster::start("disk");
    let leader = cluster.leader();
    let empty = (leader + 1) % SIZE;
    assert_eq!(cluster.put(leader, "ga", &[], &document(1)).status, 200);
    cluster.kill(empty);
    let data = cluster.folder.0.join(format!("data-{empty}"));
    std::fs::remove_dir_all(&data).expect("the folder is there");
    assert_eq!(cluster.put(leader, "ga", &[], &document(2)).status, 200);
    cluster.run(empty);
    wait_until("the empty instance is a voter again", || {
        cluster.metric(empty, "sill_control_voter") == Some(1.0)
    });
    cluster.kill(leader);
    let read = cluster.get(empty, "ga");
    assert_eq!(read.json()["document"]["price_cap"], 2, "{read:?}");
    let answer = cluster.put(empty, "ga", &["if-match: 2"], &document(3));
    assert_eq!(answer.status, 200, "{answer:?}");
}

#[test]
fn a_disk_lost_while_all_are_killed_takes_no_accepted_change_along() {
    // Right after a change was answered, all processes are killed and the instance that led, whose copy
    // was the first, loses its disk. The two others have to agree on a leader that has the change, and
    // operators read it back.
    let mut cluster = Cluster::start("disk-and-kill");
    for price in 1..=3 {
        let leader = cluster.leader();
        let answer = cluster.put((leader + price as usize) % SIZE, "ga", &[], &document(price));
        assert_eq!(answer.status, 200, "{answer:?}");
        (0..SIZE).for_each(|i| cluster.kill(i));
        let data = cluster.folder.0.join(format!("data-{leader}"));
        std::fs::remove_dir_all(&data).expect("the folder is there");
        (0..SIZE).for_each(|i| cluster.run(i));
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
    // An operator's change waits for the other instances, which are hard to reach for a moment, when
    // the leader is stopped for an upgrade. The change goes through; the operator must be told so, and
    // not be left with a call that breaks off seconds later.
    let mut cluster = Cluster::start("stop-change");
    let leader = cluster.leader();
    assert_eq!(cluster.put(leader, "ga", &[], &document(1)).status, 200);
    cluster.cut(leader, true);
    let answer = thread::scope(|scope| {
        let put = || cluster.call(leader, "PUT", "/tree/ga", &["change-id: two"], &document(2));
        let asked = scope.spawn(put);
        thread::sleep(Duration::from_millis(100));
        cluster.signal(leader, "-TERM");
        thread::sleep(Duration::from_millis(200));
        cluster.cut(leader, false);
        asked.join().expect("no panic")
    });
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(cluster.exit_code(leader), Some(0));
    let other = cluster.leader_without(&[leader]);
    let read = cluster.get(other, "ga");
    assert_eq!(read.json()["document"]["price_cap"], 2, "{read:?}");
}

/// One change of an operator who goes on while instances are stopped.
struct Sent {
    id: String,
    price: u64,
    answer: Option<Answer>,
}

#[test]
fn planned_stops_in_series_refuse_no_change_and_lose_none() {
    // Three operators go on making changes, each through an instance of their own, while one instance
    // after the other is stopped and started again. A change may get no clear answer, but never one that
    // calls it wrong; and each that was acknowledged is there afterwards, made once. The entry instance,
    // whose waiting polls end with the instances, must still get the newest settings.
    let mut cluster = Cluster::start("stop-series");
    let _entry = cluster.run_entry("e1");
    let over = AtomicBool::new(false);
    let sent: Vec<Sent> = thread::scope(|scope| {
        let _over = Over(&over);
        let operators: Vec<_> = (0..SIZE)
            .map(|i| {
                let (api, over) = (cluster.api[i], &over);
                scope.spawn(move || go_on(i, api, over))
            })
            .collect();
        for i in (0..SIZE).chain(0..SIZE) {
            thread::sleep(Duration::from_millis(500));
            let leader = cluster.leader();
            // The leader and the others in turn.
            let stopped = if i == 0 { leader } else { i };
            cluster.signal(stopped, "-TERM");
            cluster.signal(stopped, "-TERM");
            assert_eq!(cluster.exit_code(stopped), Some(0));
            cluster.run(stopped);
        }
        cluster.leader();
        over.store(true, Ordering::Relaxed);
        operators.into_iter().flat_map(|operator| operator.join().expect("no panic")).collect()
    });
    let status = |sent: &Sent| sent.answer.as_ref().map(|answer| answer.status);
    let refused: Vec<_> =
        sent.iter().filter_map(status).filter(|s| (400..500).contains(s)).collect();
    assert_eq!(refused, Vec::<u16>::new());
    let made: Vec<&Sent> = sent.iter().filter(|sent| status(sent) == Some(200)).collect();
    assert!(made.len() > 50, "{} of {} were acknowledged", made.len(), sent.len());
    for Sent { id, price, answer } in made {
        let revision = answer.as_ref().expect("it was acknowledged").revision();
        let again = cluster.put(0, "ga", &[&format!("change-id: {id}")], &document(*price));
        assert_eq!((again.status, again.revision()), (200, revision), "{id}: {again:?}");
    }
    let last = cluster.put(1, "ga", &[], &document(0)).revision();
    wait_until("the entry instance runs the newest settings", || cluster.running(last) == ["e1"]);
}

/// Has the operators leave when the test fails, which would wait for them without end.
struct Over<'a>(&'a AtomicBool);

impl Drop for Over<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Sends changes to one instance until told to stop.
fn go_on(operator: usize, api: SocketAddr, over: &AtomicBool) -> Vec<Sent> {
    let mut sent = Vec::new();
    for number in 0.. {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let (id, price) = (format!("o{operator}-{number}"), 1 + number);
        let headers = ["authorization: Bearer test-root-token", &format!("change-id: {id}")];
        let answer = http(api, "PUT", "/tree/ga", &headers, &document(price));
        let paused = answer.as_ref().is_none_or(|answer| answer.status != 200);
        sent.push(Sent { id, price, answer });
        thread::sleep(Duration::from_millis(if paused { 50 } else { 5 }));
    }
    sent
}
