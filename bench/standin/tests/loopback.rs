//! Addresses for programs that are started later.

use std::net::TcpListener;
use std::process::Command;
use std::thread;

use sill_standin::loopback::free_addresses;

/// Calls that each get an address of their own.
const CALLS: usize = 250;

/// Ports asked for in a call.
const PORTS: usize = 16;

/// Programs that each of the other threads starts meanwhile.
const STARTS: usize = 300;

/// Other tests start programs while one looks for free ports. Each new program holds copies of all
/// open sockets for a moment, so a port that was looked at with a listener is taken once the look is
/// over. The program meant for it ends at once, and its test waits for it until it fails.
#[test]
fn an_address_is_free_while_other_threads_start_programs() {
    let occupied: usize = thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(start_programs);
        }
        (0..CALLS).map(|_| count_occupied()).sum()
    });
    assert_eq!(occupied, 0, "of {} addresses", CALLS * PORTS);
}

fn start_programs() {
    for _ in 0..STARTS {
        Command::new("true").status().expect("it can be started");
    }
}

fn count_occupied() -> usize {
    let addresses = free_addresses(PORTS).expect("free ports");
    addresses.into_iter().filter(|address| TcpListener::bind(address).is_err()).count()
}
