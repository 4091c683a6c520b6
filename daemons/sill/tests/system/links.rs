//! Proxies between entry instances, and from them to the control instance, that a test can cut.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const UNPOISONED: &str = "no thread panics with the lock";

/// What is added to the port of a process for the proxies of the first entry instance, and of each
/// further one. The text of an address must stay as long as it is.
const PORT_STEP: u16 = 1000;

/// A process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Node {
    Gateway(usize),
    Control,
}

/// Which messages are lost between some entry instances and all other processes.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum LinkCut {
    #[default]
    None,
    Both,
    /// What they send.
    Outbound,
    /// What is sent to them.
    Inbound,
}

/// Proxies for each entry instance to each other process. An entry instance learns only their
/// addresses: they replace those in what it receives.
pub struct Links {
    control: SocketAddr,
    peers: Vec<SocketAddr>,
    cut: Arc<Mutex<(LinkCut, Vec<usize>)>>,
}

impl Links {
    /// Starts the proxies to the control instance and to entry instances at these addresses.
    pub fn start(control: SocketAddr, peers: &[SocketAddr]) -> Self {
        let links = Self { control, peers: peers.to_vec(), cut: Arc::default() };
        for from in 0..peers.len() {
            let to_peers = peers.iter().enumerate().map(|(to, peer)| (Node::Gateway(to), *peer));
            for (to, address) in to_peers.chain([(Node::Control, control)]) {
                links.start_proxy(from, to, address);
            }
        }
        links
    }

    /// Returns the address at which an entry instance reaches the control instance.
    pub fn control(&self, from: usize) -> SocketAddr {
        proxy_address(from, self.control)
    }

    /// Returns the address at which an entry instance listens for others.
    pub fn peer(&self, i: usize) -> SocketAddr {
        self.peers[i]
    }

    /// Cuts some entry instances off from all other processes.
    pub fn set_cut(&self, cut: LinkCut, out: &[usize]) {
        *self.cut.lock().expect(UNPOISONED) = (cut, out.to_vec());
    }

    fn start_proxy(&self, from: usize, to: Node, address: SocketAddr) {
        let listener = TcpListener::bind(proxy_address(from, address));
        let listener = listener.expect("nobody else uses the host of the address");
        let all = self.peers.iter().chain([&self.control]);
        let names: Arc<[(String, String)]> =
            all.map(|own| (own.to_string(), proxy_address(from, *own).to_string())).collect();
        let cut = self.cut.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(address) else {
                    let _ = near.shutdown(Shutdown::Both);
                    continue;
                };
                let from = Node::Gateway(from);
                let back = (far.try_clone(), near.try_clone());
                pass(near, far, (from, to), cut.clone(), Arc::default());
                if let (Ok(far), Ok(near)) = back {
                    pass(far, near, (to, from), cut.clone(), names.clone());
                }
            }
        });
    }
}

fn proxy_address(from: usize, to: SocketAddr) -> SocketAddr {
    SocketAddr::new(to.ip(), to.port() + PORT_STEP * (1 + from as u16))
}

fn is_cut((cut, out): &(LinkCut, Vec<usize>), (from, to): (Node, Node)) -> bool {
    let is_out = |node| matches!(node, Node::Gateway(i) if out.contains(&i));
    match cut {
        LinkCut::None => false,
        LinkCut::Both => is_out(from) != is_out(to),
        LinkCut::Outbound => is_out(from) && !is_out(to),
        LinkCut::Inbound => !is_out(from) && is_out(to),
    }
}

/// Passes bytes on. While the link is cut they wait, as if they were sent again and again.
fn pass(
    mut from: TcpStream,
    mut to: TcpStream,
    link: (Node, Node),
    cut: Arc<Mutex<(LinkCut, Vec<usize>)>>,
    names: Arc<[(String, String)]>,
) {
    let (_, _) = (from.set_nodelay(true), to.set_nodelay(true));
    thread::spawn(move || {
        let (mut buf, mut text) = ([0; 1 << 16], Vec::new());
        loop {
            let n = from.read(&mut buf).unwrap_or(0);
            while is_cut(&cut.lock().expect(UNPOISONED), link) {
                thread::sleep(Duration::from_millis(5));
            }
            text.extend_from_slice(&buf[..n]);
            names.iter().for_each(|(own, proxy)| replace(&mut text, own, proxy));
            // The start of an address waits for the rest.
            let kept = if n == 0 { 0 } else { unfinished(&text, &names) };
            let rest = text.split_off(text.len() - kept);
            if to.write_all(&text).is_err() || n == 0 {
                break;
            }
            text = rest;
        }
        let _ = (to.shutdown(Shutdown::Write), from.shutdown(Shutdown::Read));
    });
}

fn replace(text: &mut [u8], own: &str, proxy: &str) {
    assert_eq!(own.len(), proxy.len(), "the length of a message stays");
    let mut at = 0;
    while at + own.len() <= text.len() {
        if text[at..].starts_with(own.as_bytes()) {
            text[at..at + own.len()].copy_from_slice(proxy.as_bytes());
        }
        at += 1;
    }
}

/// Returns the length of the end of a text that may be the start of an address.
fn unfinished(text: &[u8], names: &[(String, String)]) -> usize {
    let longest = names.iter().map(|(own, _)| own.len() - 1).max().unwrap_or(0);
    let begins = |length: &usize| {
        let tail = &text[text.len() - length..];
        names.iter().any(|(own, _)| own.len() > *length && own.as_bytes().starts_with(tail))
    };
    (1..=longest.min(text.len())).rev().find(begins).unwrap_or(0)
}
