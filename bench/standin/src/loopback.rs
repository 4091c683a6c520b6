//! Addresses on loopback for processes that must know each other's before they start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
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
    let addresses = (0..count).map(|i| SocketAddr::from((ip, FIRST_PORT + i as u16)));
    addresses.map(|address| check_free(address).map(|()| address)).collect()
}

/// Looks with a connection whether someone listens, never with a listener of its own. A program that
/// another thread starts at that moment holds a copy of each open socket until it runs its own code;
/// on a busy machine the port was still taken by it, long after the look, and the program meant for
/// the port ended with "address already in use".
fn check_free(address: SocketAddr) -> io::Result<()> {
    match TcpStream::connect(address) {
        Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => Ok(()),
        Err(err) => Err(err),
        Ok(_) => Err(io::Error::new(io::ErrorKind::AddrInUse, address.to_string())),
    }
}
