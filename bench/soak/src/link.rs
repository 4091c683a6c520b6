//! A loopback TCP proxy that can inject faults.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::plan::LinkFault;

/// Largest number of bytes forwarded at a time.
const CHUNK: usize = 16 << 10;

/// Length of the accept queue of a proxy.
const BACKLOG: i32 = 1024;

/// A proxy for one target address. Its background task ends when this is dropped.
#[derive(Debug)]
pub struct Link {
    /// Address on which the proxy accepts connections.
    pub address: SocketAddr,
    fault: watch::Sender<Option<LinkFault>>,
    cuts: watch::Sender<Vec<SourceCut>>,
    full: watch::Sender<bool>,
}

/// A fault of the connections that come from one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SourceCut {
    /// The address.
    pub source: IpAddr,
    /// The fault of its connections.
    pub fault: LinkFault,
}

/// The faults of a link.
#[derive(Debug, Clone)]
struct Faults {
    fault: watch::Receiver<Option<LinkFault>>,
    cuts: watch::Receiver<Vec<SourceCut>>,
}

/// A direction of a proxied connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

impl Link {
    /// Starts a proxy on `address` that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use.
    pub async fn open(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let (fault, cuts) = (watch::Sender::new(None), watch::Sender::default());
        let faults = Faults { fault: fault.subscribe(), cuts: cuts.subscribe() };
        let full = watch::Sender::new(false);
        tokio::spawn(accept(listener, target, faults, full.subscribe()));
        Ok(Self { address, fault, cuts, full })
    }

    /// Sets or clears the fault of this link.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.fault.send_replace(fault);
    }

    /// Sets whether new connections time out, as they do when the accept queue is full.
    pub fn set_full(&self, is_full: bool) {
        self.full.send_replace(is_full);
    }

    /// Adds a fault of the connections from one address.
    pub fn cut_source(&self, cut: SourceCut) {
        self.cuts.send_modify(|cuts| cuts.push(cut));
    }

    /// Removes a fault that [`Link::cut_source`] has added.
    pub fn reconnect_source(&self, cut: SourceCut) {
        self.cuts.send_modify(|cuts| cuts.retain(|other| *other != cut));
    }
}

impl Faults {
    /// Returns the fault of a connection from `peer`.
    fn of(&self, peer: SocketAddr) -> Option<LinkFault> {
        let cuts = self.cuts.borrow();
        let cut = cuts.iter().find(|cut| cut.source == peer.ip());
        cut.map(|cut| cut.fault).or(*self.fault.borrow())
    }

    /// Tells the fault of a connection from `peer` until the link is gone.
    async fn follow(mut self, peer: SocketAddr, fault: watch::Sender<Option<LinkFault>>) {
        loop {
            let changed = tokio::select! {
                changed = self.fault.changed() => changed,
                changed = self.cuts.changed() => changed,
            };
            if changed.is_err() {
                return;
            }
            fault.send_replace(self.of(peer));
        }
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    faults: Faults,
    mut full: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = full.changed() => match changed {
                Ok(()) => {
                    let _ = keep_full(&listener, &mut full).await;
                    continue;
                }
                Err(_) => return,
            },
        };
        if let Ok((inbound, peer)) = accepted {
            let faults = faults.clone();
            tokio::spawn(async move {
                let fault = watch::Sender::new(faults.of(peer));
                let connection = connect(inbound, target, fault.subscribe());
                tokio::select! {
                    () = connection => {}
                    () = faults.follow(peer, fault) => {}
                }
            });
        }
    }
}

/// Fills the accept queue, and empties it once it may be used again.
async fn keep_full(listener: &TcpListener, full: &mut watch::Receiver<bool>) -> io::Result<()> {
    let (socket, address) = (SockRef::from(listener), listener.local_addr()?);
    socket.listen(0)?;
    // A queue of length 0 holds one connection.
    let fill = async {
        let _filler = TcpStream::connect(address).await;
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = fill => {}
        _ = full.wait_for(|is_full| !is_full) => {}
    }
    socket.listen(BACKLOG)
}

async fn connect(
    inbound: TcpStream,
    target: SocketAddr,
    mut fault: watch::Receiver<Option<LinkFault>>,
) {
    if let Some(LinkFault::Reset) = *fault.borrow() {
        return reset(&inbound);
    }
    if fault.wait_for(|fault| may_pass(*fault, Direction::ToTarget)).await.is_err() {
        return;
    }
    let Ok(outbound) = TcpStream::connect(target).await else { return reset(&inbound) };
    let mut resets = fault.clone();
    let relay = async {
        let to_target = copy(&inbound, &outbound, Direction::ToTarget, fault.clone());
        let to_caller = copy(&outbound, &inbound, Direction::ToCaller, fault.clone());
        tokio::join!(to_target, to_caller)
    };
    tokio::select! {
        _ = relay => {},
        Ok(_) = resets.wait_for(|fault| *fault == Some(LinkFault::Reset)) => {
            reset(&inbound);
            reset(&outbound);
        }
    }
}

/// Forwards bytes until one side closes or fails.
async fn copy(
    from: &TcpStream,
    to: &TcpStream,
    direction: Direction,
    mut fault: watch::Receiver<Option<LinkFault>>,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        let read = read(from, &mut buf).await;
        if fault.wait_for(|fault| may_pass(*fault, direction)).await.is_err() {
            return;
        }
        let delay = match *fault.borrow() {
            Some(LinkFault::Delay(delay)) => Some(Duration::from(delay)),
            _ => None,
        };
        if let Some(delay) = delay {
            tokio::time::sleep(delay).await;
        }
        match read {
            Ok(0) => {
                let _ = SockRef::from(to).shutdown(std::net::Shutdown::Write);
                return;
            }
            Ok(count) if write_all(to, &buf[..count]).await.is_ok() => {}
            _ => {
                reset(to);
                let _ = SockRef::from(to).shutdown(std::net::Shutdown::Both);
                let _ = SockRef::from(from).shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

async fn read(from: &TcpStream, buf: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(buf) {
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            done => return done,
        }
    }
}

async fn write_all(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Ok(count) => bytes = &bytes[count..],
            Err(err) if err.kind() == io::ErrorKind::WouldBlock => {}
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

/// Returns whether the fault lets bytes pass in a direction.
fn may_pass(fault: Option<LinkFault>, direction: Direction) -> bool {
    match fault {
        Some(LinkFault::Silent) => false,
        Some(LinkFault::SilentThere) => direction != Direction::ToTarget,
        Some(LinkFault::SilentBack) => direction != Direction::ToCaller,
        Some(LinkFault::Delay(_) | LinkFault::Reset) | None => true,
    }
}

/// Makes the connection end with a TCP reset when it is dropped.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
