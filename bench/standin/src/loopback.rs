//! Loopback addresses for processes that must know each other's address before they start.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};

/// First port handed out. It is below the ephemeral ports: an outgoing connection to one of these
/// addresses may also use that address as its source, and would then occupy an ephemeral port
/// before the program that is to listen there has started.
const FIRST_PORT: u16 = 20_000;

/// Returns addresses with free ports on a loopback address that no other process uses.
///
/// Between the check for a free port and the start of the program that will listen on it, another
/// program could occupy the port, also as the source of an outgoing connection, and the start would
/// fail occasionally. Each call therefore uses another loopback address on which nobody else
/// listens.
///
/// # Errors
///
/// Fails when a port is in use.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    // The second octet differs between calls, the last two between processes.
    let ip = Ipv4Addr::new(127, 1 + (number % 254) as u8, high, low);
    let addresses = (0..count).map(|i| SocketAddr::from((ip, FIRST_PORT + i as u16)));
    addresses.map(|address| check_free(address).map(|()| address)).collect()
}

/// Checks with a connection attempt, never by binding a listener, that nobody listens on an
/// address. A program that another thread starts at that moment inherits each open socket until it
/// executes its own code. On a busy machine it would keep the port occupied long after the check,
/// and the program meant for the port would exit with "address already in use".
fn check_free(address: SocketAddr) -> io::Result<()> {
    match TcpStream::connect(address) {
        Err(err) if err.kind() == io::ErrorKind::ConnectionRefused => Ok(()),
        Err(err) => Err(err),
        Ok(_) => Err(io::Error::new(io::ErrorKind::AddrInUse, address.to_string())),
    }
}
