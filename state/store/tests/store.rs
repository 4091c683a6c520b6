//! After any fault of the disk, a reopened folder has all acknowledged records or is rejected.

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
fn a_crash_during_an_append_loses_no_acknowledged_record() {
    // A power loss during an append leaves none, a part or all of the frame on the disk. Records
    // acknowledged before it must be read after the restart, and appends must work again.
    struct Case {
        name: &'static str,
        kept: usize,
        has_torn_tail: bool,
    }
    let cases = [
        Case { name: "no byte of the frame is left", kept: 0, has_torn_tail: false },
        Case { name: "half the header is left", kept: 5, has_torn_tail: true },
        Case { name: "half the payload is left", kept: 16, has_torn_tail: true },
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
        assert_eq!(recovered.torn_tail.is_some(), case.has_torn_tail, "{}", case.name);
        store.append(&[b"three"]).expect(case.name);
        assert_eq!(open(&disk).1.len(), 3, "{}", case.name);
    }
}

#[test]
fn a_corrupt_acknowledged_record_is_rejected_with_its_offset() {
    // A bit of an older record flips on the disk. Dropping that record would revert a change that
    // was acknowledged to an operator, so the instance must not start.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    store.append(&[b"first"]).expect("the write succeeds");
    let second_offset = store.log_size();
    store.append(&[b"second"]).expect("the write succeeds");
    store.append(&[b"third"]).expect("the write succeeds");
    disk.flip_bit("log-0", second_offset as usize + 16);
    match Store::open(disk) {
        Err(OpenError::Corrupt { offset, .. }) => assert_eq!(offset, second_offset),
        other => panic!("expected a corrupt record at byte {second_offset}, got {other:?}"),
    }
}

#[test]
fn a_full_disk_rejects_writes_and_accepts_them_once_there_is_space() {
    // Another program fills the disk during a write. Changes are rejected while reads still work,
    // and the same process accepts changes again once there is space.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    store.append(&[b"before"]).expect("the write succeeds");
    disk.inject_fault(DiskFault::DiskFull { stored: 7 });
    assert!(matches!(store.append(&[b"refused"]), Err(WriteError::Full)));
    disk.set_full(true);
    assert!(matches!(store.replace(b"state", &[b"x"]), Err(WriteError::Full)));
    disk.set_full(false);
    store.append(&[b"after"]).expect("the write succeeds");
    assert_eq!(open(&disk).1, [b"before".to_vec(), b"after".to_vec()]);
}

#[test]
fn a_failed_sync_blocks_all_writes_until_the_folder_is_reopened() {
    // The disk reports a failed sync once and success from then on, although the pages are lost. A
    // record acknowledged because of the later success would be lost in a crash.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    disk.inject_fault(DiskFault::SyncFails);
    disk.inject_fault(DiskFault::TruncateFails);
    assert!(matches!(store.append(&[b"x"]), Err(WriteError::Io(_))));
    assert!(matches!(store.append(&[b"y"]), Err(WriteError::ReopenRequired)));
    assert!(matches!(store.replace(b"s", &[b"y"]), Err(WriteError::ReopenRequired)));
    drop(store);
    let (mut store, found) = open(&disk);
    store.replace(b"state", &found).expect("the state is rewritten");
    store.append(&[b"z"]).expect("the write succeeds");
    disk.crash(0);
    let mut expected = found;
    expected.push(b"z".to_vec());
    assert_eq!(open(&disk).1, expected, "state that was read and rewritten is lost after a crash");
}

#[test]
fn a_record_whose_sync_failed_is_not_read_after_a_restart() {
    // A sync fails, the kernel drops the pages, and the process is killed before it rewrites the
    // folder. If the next process reads the record from the cache, it acknowledges it to the leader
    // and the change is committed. After a power loss the record is gone, or the folder is rejected
    // because of the gap before the next record.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    store.append(&[b"one"]).expect("the write succeeds");
    disk.inject_fault(DiskFault::SyncFails);
    assert!(store.append(&[b"never acknowledged"]).is_err());
    drop(store);
    let (mut store, found) = open(&disk);
    store.append(&[b"two"]).expect("the write succeeds");
    drop(store);
    disk.crash(0);
    let recovered = Store::open(disk).expect("the folder opens").1.records;
    assert_eq!(recovered, [found, vec![b"two".to_vec()]].concat());
}

#[test]
fn a_folder_opens_after_the_final_folder_sync_of_a_snapshot_failed() {
    // A snapshot has its final name and the sync of the folder fails. If the cleanup removes the
    // log of that snapshot, the instance can't start any more, and the quorum loses a replica with
    // its disk.
    let disk = FaultyDisk::new();
    let (mut store, _) = open(&disk);
    store.append(&[b"one"]).expect("the write succeeds");
    disk.inject_fault(DiskFault::FolderSyncFailsAfterRename);
    assert!(store.replace::<Vec<u8>>(b"state", &[]).is_err());
    assert!(matches!(store.append(&[b"two"]), Err(WriteError::ReopenRequired)));
    drop(store);
    let (_, recovered) = Store::open(disk).expect("the folder opens");
    assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]));
}

#[test]
fn a_rename_that_a_restart_has_read_survives_a_power_loss() {
    // A process is killed right after it renamed a file, and restarts: the new name can be read but
    // is not durable. Later acknowledged records go to files that a restart finds by that name.
    // After a power loss the name or the older files are missing, and an operator finds an older
    // state, an empty one, or an instance that refuses to start.
    struct Case {
        name: &'static str,
        /// Whether the unsynced change to names with this number is kept; 0 is the oldest.
        is_kept: fn(usize) -> bool,
    }
    let cases = [
        Case { name: "none", is_kept: |_| false },
        Case { name: "the first", is_kept: |i| i == 0 },
        Case { name: "all but the first", is_kept: |i| i > 0 },
        Case { name: "all", is_kept: |_| true },
    ];
    for Case { name, is_kept } in cases {
        let disk = FaultyDisk::new();
        disk.inject_fault(DiskFault::FolderSyncFailsAfterRename);
        assert!(Store::open(disk.clone()).is_err(), "the open fails while it creates the folder");
        let (mut store, _) = open(&disk);
        store.append(&[b"one"]).expect("the write succeeds");
        drop(store);
        disk.crash_keeping_names(0, is_kept);
        let (mut store, found) = open(&disk);
        assert_eq!(found, [b"one"], "records of a new folder, name changes kept: {name}");

        disk.inject_fault(DiskFault::FolderSyncFailsAfterRename);
        assert!(
            store.replace::<Vec<u8>>(b"state", &[]).is_err(),
            "the snapshot fails at its last sync"
        );
        drop(store);
        let (mut store, _) = open(&disk);
        store.append(&[b"two"]).expect("the write succeeds");
        drop(store);
        disk.crash_keeping_names(0, is_kept);
        let recovered = Store::open(disk.clone());
        let (_, recovered) =
            recovered.unwrap_or_else(|err| panic!("name changes kept: {name}: {err}"));
        assert_eq!(recovered.snapshot.as_deref(), Some(&b"state"[..]), "name changes kept: {name}");
        assert_eq!(
            recovered.records,
            [b"two"],
            "records after a snapshot, name changes kept: {name}"
        );
    }
}

#[test]
fn a_locked_folder_and_an_unknown_format_are_rejected_with_the_reason() {
    // An operator starts a second instance on the same folder by mistake, or an older version on
    // the folder of a newer one. Both must fail with the reason and leave the folder unchanged.
    let path = std::env::temp_dir().join(format!("sill-store-{}", std::process::id()));
    let (store, _) = Store::open(FolderDisk::open(&path).expect("the folder can be locked"))
        .expect("the store opens");
    let second = FolderDisk::open(&path).map_err(OpenError::from);
    assert!(matches!(second, Err(OpenError::InUse)), "{second:?}");
    drop(store);
    fs::write(path.join("format"), "sill-store 9\n").expect("the write succeeds");
    let other = Store::open(FolderDisk::open(&path).expect("the folder can be locked again"));
    let text = other.expect_err("an unknown format is rejected").to_string();
    assert!(text.contains("sill-store 9") && text.contains("sill-store 1"), "{text}");
    fs::remove_dir_all(&path).expect("the folder can be removed");
}

#[test]
fn random_faults_never_lose_an_acknowledged_record() {
    // Crashes, torn writes, full disks and failing syncs occur in any order, also during a
    // snapshot. All acknowledged records must be read after each restart, unchanged and without a
    // gap.
    let mut steps = 0;
    for case in 0..cases(300) {
        let mut rng = seeded(seed(11) + u64::from(case));
        let disk = FaultyDisk::new();
        let (mut store, _) = open(&disk);
        let (mut state, mut written) = (0_u64, 0_u64);
        let mut unacknowledged = 0_u64;
        // Injected sync faults that are pending and may hit a file other than the log, whose record
        // would be truncated again.
        let (mut pending_sync_faults, mut may_fail_to_truncate) = (0, false);
        for _ in 0..60 {
            steps += 1;
            match rng.random_range(0..11) {
                10 => disk.inject_fault(DiskFault::FolderSyncFailsAfterRename),
                0 => disk.inject_fault(DiskFault::DiskFull { stored: rng.random_range(0..40) }),
                1 => {
                    disk.inject_fault(DiskFault::SyncFails);
                    pending_sync_faults += 1;
                    if rng.random_bool(0.3) {
                        disk.inject_fault(DiskFault::TruncateFails);
                        may_fail_to_truncate = true;
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
                        (pending_sync_faults, may_fail_to_truncate) = (0, false);
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
                        assert_eq!(value, base + i as u64 + 1, "case {case}: gap at record {i}");
                    }
                    let total = base + recovered.records.len() as u64;
                    let acknowledged = state + written;
                    assert!(
                        total >= acknowledged,
                        "case {case}: read {total} of {acknowledged} acknowledged records"
                    );
                    assert!(
                        total <= acknowledged + unacknowledged,
                        "case {case}: read {total} records, wrote {acknowledged} + {unacknowledged}"
                    );
                    (state, written, unacknowledged) = (base, total - base, 0);
                    if pending_sync_faults == 0 && !may_fail_to_truncate && rng.random_bool(0.5) {
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
                        unacknowledged = 1;
                        pending_sync_faults -= i32::from(matches!(err, WriteError::Io(_)));
                    }
                },
            }
        }
    }
    println!("steps={steps}");
}

fn number(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes.try_into().expect("records are 8 bytes long"))
}
