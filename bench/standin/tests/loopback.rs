//! Tests of the addresses for programs that are started later.

use std::net::TcpListener;
use std::process::Command;
use std::thread;

use sill_standin::loopback::free_addresses;

/// Number of calls, each of which gets another loopback address.
const CALLS: usize = 250;

/// Number of ports requested per call.
const PORTS: usize = 16;

/// Number of programs that each of the other threads starts concurrently.
const STARTS: usize = 300;

/// Other tests start programs while one checks for free ports. Each new program briefly inherits
/// all open sockets, so a port that was checked by binding a listener is still occupied after the
/// check. The program meant for the port exits at once, and its test waits for it until the
/// timeout.
#[test]
fn an_address_is_free_while_other_threads_start_programs() {
    let occupied: usize = thread::scope(|scope| {
        for _ in 0..6 {
            scope.spawn(start_programs);
        }
        (0..CALLS).map(|_| count_occupied()).sum()
    });
    assert_eq!(occupied, 0, "occupied addresses of {}", CALLS * PORTS);
}

fn start_programs() {
    for _ in 0..STARTS {
        Command::new("true").status().expect("`true` can be started");
    }
}

fn count_occupied() -> usize {
    let addresses = free_addresses(PORTS).expect("free ports");
    addresses.into_iter().filter(|address| TcpListener::bind(address).is_err()).count()
}
