//! Measures time and size of appends, recovery and snapshots in a folder of the file system.

use std::time::Instant;

use sill_store::{FolderDisk, Store};

/// Bytes of a record, about the size of a change to one client account.
const RECORD_BYTES: usize = 400;

fn main() {
    let path = std::env::temp_dir().join(format!("sill-bench-store-{}", std::process::id()));
    println!("records size_bytes append_batch100_s recover_ms snapshot_ms snapshot_recover_ms");
    for records in [1_000_usize, 10_000, 100_000] {
        let _ = std::fs::remove_dir_all(&path);
        let batch = vec![vec![b'x'; RECORD_BYTES]; 100];
        let (mut store, _) = open(&path);
        let start = Instant::now();
        for _ in 0..records / batch.len() {
            store.append(&batch).expect("the write succeeds");
        }
        let append = start.elapsed().as_secs_f64();
        let size = store.size();
        drop(store);
        let start = Instant::now();
        let (mut store, recovered) = open(&path);
        assert_eq!(recovered, records, "records recovered after the appends");
        let recover = start.elapsed().as_secs_f64() * 1e3;
        let state = vec![b'y'; records * RECORD_BYTES];
        let start = Instant::now();
        store.replace::<Vec<u8>>(&state, &[]).expect("the write succeeds");
        let snapshot = start.elapsed().as_secs_f64() * 1e3;
        drop(store);
        let start = Instant::now();
        drop(open(&path));
        let snapshot_recover = start.elapsed().as_secs_f64() * 1e3;
        println!("{records} {size} {append:.3} {recover:.1} {snapshot:.1} {snapshot_recover:.1}");
    }
    single_appends(&path);
    let _ = std::fs::remove_dir_all(&path);
}

fn single_appends(path: &std::path::Path) {
    let _ = std::fs::remove_dir_all(path);
    let (mut store, _) = open(path);
    let mut times: Vec<f64> = Vec::new();
    for _ in 0..500 {
        let start = Instant::now();
        store.append(&[[b'x'; RECORD_BYTES]]).expect("the write succeeds");
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    println!("single synced append: p50_ms={:.3} p99_ms={:.3}", times[250], times[495]);
}

fn open(path: &std::path::Path) -> (Store<FolderDisk>, usize) {
    let disk = FolderDisk::open(path).expect("the folder can be locked");
    let (store, recovered) = Store::open(disk).expect("the store opens");
    (store, recovered.records.len())
}
