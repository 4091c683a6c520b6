//! A loopback proxy in front of an address, which can be brought into trouble.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::plan::Trouble;

/// Bytes that are taken over at a time.
const CHUNK: usize = 16 << 10;

/// The way to one address. Its task ends with it.
#[derive(Debug)]
pub struct Link {
    /// Where it is called.
    pub address: SocketAddr,
    trouble: watch::Sender<Option<Trouble>>,
}

/// A direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    There,
    Back,
}

impl Link {
    /// Opens a way to `target` on an address of its own.
    ///
    /// # Errors
    ///
    /// Fails when the address is taken.
    pub async fn open(address: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let trouble = watch::Sender::new(None);
        tokio::spawn(accept(listener, target, trouble.subscribe()));
        Ok(Self { address, trouble })
    }

    /// Brings it into trouble, or out of it.
    pub fn set(&self, trouble: Option<Trouble>) {
        self.trouble.send_replace(trouble);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    trouble: watch::Receiver<Option<Trouble>>,
) {
    let mut ended = trouble.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = ended.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        if let Ok((near, _)) = accepted {
            tokio::spawn(connect(near, target, trouble.clone()));
        }
    }
}

async fn connect(
    near: TcpStream,
    target: SocketAddr,
    mut trouble: watch::Receiver<Option<Trouble>>,
) {
    if let Some(Trouble::Reset) = *trouble.borrow() {
        return reset(&near);
    }
    if trouble.wait_for(|trouble| passes(*trouble, Way::There)).await.is_err() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return reset(&near) };
    let mut resets = trouble.clone();
    let both = async {
        let there = copy(&near, &far, Way::There, trouble.clone());
        let back = copy(&far, &near, Way::Back, trouble.clone());
        tokio::join!(there, back)
    };
    tokio::select! {
        _ = both => {},
        Ok(_) = resets.wait_for(|trouble| *trouble == Some(Trouble::Reset)) => {
            reset(&near);
            reset(&far);
        }
    }
}

/// Takes bytes over until one side ends.
async fn copy(
    from: &TcpStream,
    to: &TcpStream,
    way: Way,
    mut trouble: watch::Receiver<Option<Trouble>>,
) {
    let mut buf = vec![0; CHUNK];
    loop {
        let read = read(from, &mut buf).await;
        if trouble.wait_for(|trouble| passes(*trouble, way)).await.is_err() {
            return;
        }
        let delay = match *trouble.borrow() {
            Some(Trouble::Delay(delay)) => Some(Duration::from(delay)),
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

/// Returns whether bytes pass on a way.
fn passes(trouble: Option<Trouble>, way: Way) -> bool {
    match trouble {
        Some(Trouble::Silent) => false,
        Some(Trouble::SilentThere) => way != Way::There,
        Some(Trouble::SilentBack) => way != Way::Back,
        Some(Trouble::Delay(_) | Trouble::Reset) | None => true,
    }
}

/// Has the connection end by a reset once it is dropped.
fn reset(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
