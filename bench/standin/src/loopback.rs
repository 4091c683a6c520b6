//! Addresses on loopback for processes that must know each other's before they start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Below the ports that the system gives to the near ends of connections: one to such an address may
/// come from it too, and took a port before its program listened there.
const FIRST_PORT: u16 = 20_000;

/// Returns addresses with free ports, on a loopback address that no one else uses.
///
/// Between the look for a free port and the start of the program that will listen there, another
/// program could take the port, also as the near end of a connection it opens; the start then fails
/// now and then. Each call takes another loopback address, on which no one else listens.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    // The first octet after 127 tells calls apart, the others processes.
    let ip = Ipv4Addr::new(127, 1 + (number % 254) as u8, high, low);
    let listeners: Vec<TcpListener> = (0..count)
        .map(|i| TcpListener::bind((ip, FIRST_PORT + i as u16)))
        .collect::<io::Result<_>>()?;
    listeners.iter().map(TcpListener::local_addr).collect()
}
