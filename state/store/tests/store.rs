//! Faults of the disk: what was acknowledged is there afterwards, or the folder is refused.

use std::fs;

use rand::Rng;
use sill_base::random::{cases, seed, seeded};
use sill_store::faulty_disk::DiskFault;
use sill_store::{FaultyDisk, FolderDisk, OpenError, Store, WriteError};

fn open(disk: &FaultyDisk) -> (Store<FaultyDisk>, Vec<Vec<u8>>) {
    let (store, recovered) = Store::open(disk.clone()).expect("the folder opens");
    (store, recovered.records)
}

#[test]
fn a_crash_leaves_what_was_acknowledged() {
    // The machine loses power while a record is written, so that none, a part or all of it is on
    // the disk. An operator whose change was answered must find it after the restart.
    struct Case {
        name: &'static str,
        kept: usize,
        torn: bool,
    }
    let cases = [
        Case { name: "nothing of the write is left", kept: 0, torn: false },
        Case { name: "half a header is left", kept: 5, torn: true },
        Case { name: "half the payload is left", kept: 16, torn: true },
    ];
    for case in cases {
        let disk = FaultyDisk::new();
        let (mut store, _) = open(&disk);
        store.append(&[b"one", b"two"]).expect(case.name);
        disk.inject_fault(DiskFault::SyncFails);
        disk.inject_fault(DiskFault::TruncateFails);
        assert!(store.append(&[b"never acknowledged"]).is_err(), "{}", case.name);
        disk.crash(case.kept);
        let (mut store, recovered) = Store::open(disk.clone()).expect(case.name);
        assert_eq!(recovered.records, [b"one", b"two"], "{}", case.name);
        assert_eq!(recovered.torn_tail.is_some(), case.torn, "{}", case.name);
        store.append(&[b"three"]).expect(case.name);
        assert_eq!(open(&disk).1.len(), 3, "{}", case.name);
    }
}

#[test]
fn damage_to_an_acknowledged_record_is_refused_with_its_place() {
    // A bit of an older record flips on the disk. Going on without that record would take back a
    // change that an operator was told is in force, so the instance must not start with it.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    store.append(&[b"first"]).expect("written");
    let second = store.log_size();
    store.append(&[b"second"]).expect("written");
    store.append(&[b"third"]).expect("written");
    disk.flip_bit("log-0", second as usize + 16);
    match Store::open(disk) {
        Err(OpenError::Corrupt { offset, .. }) => assert_eq!(offset, second),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_full_disk_refuses_writes_and_takes_them_again_later() {
    // Another program fills the disk in the middle of a write. Operators get their change refused,
    // reads go on, and once there is room the same process takes changes again.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    store.append(&[b"before"]).expect("written");
    disk.inject_fault(DiskFault::DiskFull { stored: 7 });
    assert!(matches!(store.append(&[b"refused"]), Err(WriteError::Full)));
    disk.set_full(true);
    assert!(matches!(store.replace(b"state", &[b"x"]), Err(WriteError::Full)));
    disk.set_full(false);
    store.append(&[b"after"]).expect("written");
    assert_eq!(open(&disk).1, [b"before".to_vec(), b"after".to_vec()]);
}

#[test]
fn a_failed_sync_stops_all_writes_until_the_folder_is_opened_again() {
    // The disk reports a failed sync once and success from then on, though the pages are gone. An
    // acknowledgement based on the later success would be for a record that a crash takes away.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    disk.inject_fault(DiskFault::SyncFails);
    disk.inject_fault(DiskFault::TruncateFails);
    assert!(matches!(store.append(&[b"x"]), Err(WriteError::Io(_))));
    assert!(matches!(store.append(&[b"y"]), Err(WriteError::ReopenRequired)));
    assert!(matches!(store.replace(b"s", &[b"y"]), Err(WriteError::ReopenRequired)));
    drop(store);
    let (mut store, found) = open(&disk);
    store.replace(b"state", &found).expect("written anew");
    store.append(&[b"z"]).expect("written");
    disk.crash(0);
    let mut expected = found;
    expected.push(b"z".to_vec());
    assert_eq!(open(&disk).1, expected, "what was read and written anew must not vanish later");
}

#[test]
fn a_process_killed_after_a_failed_sync_counts_on_nothing_that_is_not_on_the_disk() {
    // A sync fails and the kernel drops the pages, and the process is killed before it has written the
    // folder anew. The one that starts next reads the record well, tells the leader that it has it, and the
    // change is answered by its word. After a loss of power the record is gone, or the folder is refused
    // for the hole before the next one.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    store.append(&[b"one"]).expect("written");
    disk.inject_fault(DiskFault::SyncFails);
    assert!(store.append(&[b"never acknowledged"]).is_err());
    drop(store);
    let (mut store, found) = open(&disk);
    store.append(&[b"two"]).expect("written");
    drop(store);
    disk.crash(0);
    let recovered = Store::open(disk).expect("the folder opens").1.records;
    assert_eq!(recovered, [found, vec![b"two".to_vec()]].concat());
}

#[test]
fn a_folder_opens_after_the_last_sync_of_a_snapshot_failed() {
    // A snapshot has got its final name, and the sync of the folder fails. The log that belongs to it was
    // taken away as if the name weren't there: the instance refused to start from then on, and was lost
    // to the quorum with all that its disk held.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    store.append(&[b"one"]).expect("written");
    disk.inject_fault(DiskFault::FolderSyncFailsAfterRename);
    assert!(store.replace::<Vec<u8>>(b"state", &[]).is_err());
    assert!(matches!(store.append(&[b"two"]), Err(WriteError::ReopenRequired)));
    drop(store);
    let (_, recovered) = Store::open(disk).expect("the folder opens");
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]));
}

#[test]
fn a_name_that_a_restart_relies_on_outlasts_a_loss_of_power() {
    // A process is killed right after it renamed a file, and starts again: the new name is there, but
    // not yet on the disk for good. What is acknowledged from then on lies in files that a restart
    // finds by that name. After a loss of power the name is gone, or the older files are: an operator
    // finds an older state, an empty one, or an instance that refuses to start.
    struct Case {
        name: &'static str,
        /// Which changes to names were on the disk though never synced, from the oldest.
        kept: fn(usize) -> bool,
    }
    let cases = [
        Case { name: "none", kept: |_| false },
        Case { name: "the first", kept: |i| i == 0 },
        Case { name: "all but the first", kept: |i| i > 0 },
        Case { name: "all", kept: |_| true },
    ];
    for Case { name, kept } in cases {
        let disk = FaultyDisk::new();
        disk.inject_fault(DiskFault::FolderSyncFailsAfterRename);
        assert!(Store::open(disk.clone()).is_err(), "killed while it makes the folder");
        let (mut store, _) = open(&disk);
        store.append(&[b"one"]).expect("written");
        drop(store);
        disk.crash_keeping_names(0, kept);
        let (mut store, found) = open(&disk);
        assert_eq!(found, [b"one"], "a new folder, {name} kept");

        disk.inject_fault(DiskFault::FolderSyncFailsAfterRename);
        assert!(
            store.replace::<Vec<u8>>(b"state", &[]).is_err(),
            "killed while it takes a snapshot"
        );
        drop(store);
        let (mut store, _) = open(&disk);
        store.append(&[b"two"]).expect("written");
        drop(store);
        disk.crash_keeping_names(0, kept);
        let recovered = Store::open(disk.clone());
        let (_, recovered) = recovered.unwrap_or_else(|err| panic!("{name} kept: {err}"));
        assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]), "{name} kept");
        assert_eq!(recovered.records, [b"two"], "a snapshot, {name} kept");
    }
}

#[test]
fn a_second_process_and_another_format_get_clear_errors() {
    // An operator starts a second instance on the same folder by mistake, or an older program on
    // a folder of a newer one. Both must be told so, and must leave the folder as it is.
    let path = std::env::temp_dir().join(format!("sill-store-{}", std::process::id()));
    let (store, _) = Store::open(FolderDisk::open(&path).expect("locked")).expect("opens");
    let second = FolderDisk::open(&path).map_err(OpenError::from);
    assert!(matches!(second, Err(OpenError::InUse)), "{second:?}");
    drop(store);
    fs::write(path.join("format"), "sill-store 9\n").expect("written");
    let other = Store::open(FolderDisk::open(&path).expect("locked again"));
    let text = other.expect_err("refused").to_string();
    assert!(text.contains("sill-store 9") && text.contains("sill-store 1"), "{text}");
    fs::remove_dir_all(&path).expect("removed");
}

#[test]
fn random_faults_never_lose_an_acknowledged_record() {
    // Crashes, torn writes, full disks and failing syncs come in any order, also in the middle of
    // a snapshot. What was acknowledged must be there after each restart, without gap or change.
    let mut steps = 0;
    for case in 0..cases(300) {
        let mut rng = seeded(seed(11) + u64::from(case));
        let disk = FaultyDisk::new();
        let (mut store, _) = open(&disk);
        let (mut state, mut written) = (0_u64, 0_u64);
        let mut unsure = 0_u64;
        // Failing syncs that may still hit another file than one whose record is cut off again.
        let (mut armed, mut may_fail_to_cut) = (0, false);
        for _ in 0..60 {
            steps += 1;
            match rng.random_range(0..11) {
                10 => disk.inject_fault(DiskFault::FolderSyncFailsAfterRename),
                0 => disk.inject_fault(DiskFault::DiskFull { stored: rng.random_range(0..40) }),
                1 => {
                    disk.inject_fault(DiskFault::SyncFails);
                    armed += 1;
                    if rng.random_bool(0.3) {
                        disk.inject_fault(DiskFault::TruncateFails);
                        may_fail_to_cut = true;
                    }
                }
                2 => {
                    let snapshot = (state + written).to_le_bytes();
                    if store.replace::<[u8; 8]>(&snapshot, &[]).is_ok() {
                        state += written;
                        written = 0;
                    }
                }
                3 | 4 => {
                    let is_crash = rng.random_bool(0.5);
                    if is_crash {
                        let kept = rng.random_range(0..30);
                        disk.crash_keeping_names(kept, |_| rng.random_bool(0.5));
                        (armed, may_fail_to_cut) = (0, false);
                    }
                    drop(store);
                    let (opened, recovered) = loop {
                        match Store::open(disk.clone()) {
                            Ok(opened) => break opened,
                            Err(OpenError::Io(_)) => continue,
                            Err(err) => panic!("case {case}: {err}"),
                        }
                    };
                    store = opened;
                    let base = recovered.snapshot.map_or(0, |s| number(&s));
                    let found = recovered.records.iter().map(|r| number(r));
                    for (i, value) in found.enumerate() {
                        assert_eq!(value, base + i as u64 + 1, "case {case}: a gap");
                    }
                    let total = base + recovered.records.len() as u64;
                    let acknowledged = state + written;
                    assert!(total >= acknowledged, "case {case}: {total} < {acknowledged}");
                    assert!(total <= acknowledged + unsure, "case {case}: {total}");
                    (state, written, unsure) = (base, total - base, 0);
                    if armed == 0 && !may_fail_to_cut && rng.random_bool(0.5) {
                        continue;
                    }
                    (state, written) = (total, 0);
                    while store.replace::<[u8; 8]>(&total.to_le_bytes(), &[]).is_err() {
                        store = loop {
                            if let Ok((opened, _)) = Store::open(disk.clone()) {
                                break opened;
                            }
                        };
                    }
                }
                _ => match store.append(&[(state + written + 1).to_le_bytes()]) {
                    Ok(()) => written += 1,
                    Err(err) => {
                        unsure = 1;
                        armed -= i32::from(matches!(err, WriteError::Io(_)));
                    }
                },
            }
        }
    }
    println!("steps={steps}");
}

fn number(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes.try_into().expect("eight bytes"))
}
