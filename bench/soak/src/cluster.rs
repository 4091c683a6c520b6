//! All processes of a run, and the ways between them.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use eyre::Result;
use sill_base::Millis;
use sill_standin::loopback::free_addresses;

use crate::backend::{Endpoint, Ledger};
use crate::link::Link;
use crate::plan::{LinkFault, Sizes};
use crate::process::Process;

/// How long an entry instance that is asked to stop takes new calls as if it were not.
const STOP_NOTICE: Millis = Millis(600);

/// After how long an entry instance that was asked to stop cuts what still runs.
pub const STOP_LIMIT: Millis = Millis(3000);

/// Addresses of one control instance or entry instance.
const OWN_ADDRESSES: usize = 3;

/// The system under test.
#[derive(Debug)]
pub struct Cluster {
    /// Control instances.
    pub controls: Vec<Process>,
    /// Entry instances.
    pub entries: Vec<Process>,
    /// Endpoints.
    pub endpoints: Vec<Endpoint>,
    /// Where callers reach entry instances.
    pub entry_addresses: Vec<SocketAddr>,
    /// Where operators and endpoints reach control instances.
    pub control_addresses: Vec<SocketAddr>,
    /// From one control instance to another, by the first and the second.
    control_links: Vec<Vec<Link>>,
    /// From an entry instance to each control instance.
    entry_links: Vec<Vec<Link>>,
    /// To each control instance from outside.
    outer_links: Vec<Link>,
    /// To each endpoint.
    endpoint_links: Vec<Link>,
}

/// Hands out addresses.
struct Addresses(std::vec::IntoIter<SocketAddr>);

impl Addresses {
    fn take(&mut self) -> SocketAddr {
        self.0.next().expect("as many as were counted")
    }
}

impl Cluster {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// Fails when something can't be started.
    pub async fn start(
        sill: &Path,
        folder: &Path,
        sizes: Sizes,
        ledger: &Arc<Ledger>,
    ) -> Result<Self> {
        write_keys(folder)?;
        let Sizes { controls, entries, endpoints } = sizes;
        let links = controls * controls + controls * entries + controls + endpoints;
        let count = OWN_ADDRESSES * (controls + entries) + endpoints + links;
        let mut addresses = Addresses(free_addresses(count)?.into_iter());
        let listens: Vec<SocketAddr> = (0..controls).map(|_| addresses.take()).collect();
        let peers: Vec<SocketAddr> = (0..controls).map(|_| addresses.take()).collect();
        let mut control_links = Vec::new();
        for _ in 0..controls {
            control_links.push(open_all(&mut addresses, &peers).await?);
        }
        let mut entry_links = Vec::new();
        for _ in 0..entries {
            entry_links.push(open_all(&mut addresses, &peers).await?);
        }
        let outer_links = open_all(&mut addresses, &listens).await?;
        let entry_addresses: Vec<SocketAddr> = (0..entries).map(|_| addresses.take()).collect();
        let control_addresses: Vec<SocketAddr> = outer_links.iter().map(|l| l.address).collect();
        let own: Vec<SocketAddr> = (0..endpoints).map(|_| addresses.take()).collect();
        let endpoint_links = open_all(&mut addresses, &own).await?;
        let programs = Programs { sill, folder };
        let mut cluster = Self {
            controls: (0..controls)
                .map(|i| programs.control(i, listens[i], &peers, &control_links[i]))
                .collect(),
            entries: (0..entries)
                .map(|i| {
                    let own = [entry_addresses[i], addresses.take(), addresses.take()];
                    programs.entry(i, own, &entry_links[i])
                })
                .collect(),
            endpoints: Vec::new(),
            entry_addresses,
            control_addresses,
            control_links,
            entry_links,
            outer_links,
            endpoint_links,
        };
        for (i, address) in own.into_iter().enumerate() {
            let (name, announced) = (format!("e{i}"), cluster.endpoint_links[i].address);
            let controls = cluster.control_addresses.clone();
            let endpoint = Endpoint::start(name, address, announced, controls, ledger.clone());
            cluster.endpoints.push(endpoint.await?);
        }
        cluster.controls.iter_mut().try_for_each(Process::start)?;
        cluster.entries.iter_mut().try_for_each(Process::start)?;
        Ok(cluster)
    }

    /// Brings all ways of a control instance into fault, or out of it.
    pub fn set_control_links(&self, i: usize, fault: Option<LinkFault>) {
        self.control_links[i].iter().for_each(|link| link.set_fault(fault));
        self.control_links.iter().for_each(|links| links[i].set_fault(fault));
        self.entry_links.iter().for_each(|links| links[i].set_fault(fault));
        self.outer_links[i].set_fault(fault);
    }

    /// Brings the ways from an entry instance to control instances into fault, or out of it.
    pub fn set_entry_links(&self, i: usize, fault: Option<LinkFault>) {
        self.entry_links[i].iter().for_each(|link| link.set_fault(fault));
    }

    /// Brings the way to an endpoint into fault, or out of it.
    pub fn set_endpoint_link(&self, i: usize, fault: Option<LinkFault>) {
        self.endpoint_links[i].set_fault(fault);
    }
}

/// How programs are started.
struct Programs<'a> {
    sill: &'a Path,
    folder: &'a Path,
}

impl Programs<'_> {
    fn control(
        &self,
        i: usize,
        listen: SocketAddr,
        peers: &[SocketAddr],
        links: &[Link],
    ) -> Process {
        let name = format!("c{i}");
        let data = self.folder.join(format!("data-{i}"));
        let mut args = args(&["control", "--name", &name, "--domain", &domain(i)]);
        args.extend(["--listen".to_owned(), listen.to_string()]);
        args.extend(["--listen-peer".to_owned(), peers[i].to_string()]);
        for (j, link) in links.iter().enumerate() {
            let address = if i == j { peers[i] } else { link.address };
            args.extend(["--voter".to_owned(), format!("c{j}@{}@{address}", domain(j))]);
        }
        args.extend(["--data".to_owned(), data.display().to_string()]);
        for key in ["cluster-key", "root-token", "join-token"] {
            args.extend(self.key(key));
        }
        Process::new(name, self.sill.to_owned(), args, self.folder).with_data(data)
    }

    fn entry(&self, i: usize, own: [SocketAddr; OWN_ADDRESSES], links: &[Link]) -> Process {
        let name = format!("g{i}");
        let mut args = args(&["gateway", "--name", &name, "--domain", &domain(i)]);
        for (flag, address) in ["--listen", "--listen-ready", "--listen-metrics"].iter().zip(own) {
            args.extend([(*flag).to_owned(), address.to_string()]);
        }
        for link in links {
            args.extend(["--control".to_owned(), link.address.to_string()]);
        }
        args.extend(self.key("cluster-key"));
        args.extend(["--drain-notice-ms".to_owned(), STOP_NOTICE.to_string()]);
        args.extend(["--drain-limit-ms".to_owned(), STOP_LIMIT.to_string()]);
        Process::new(name, self.sill.to_owned(), args, self.folder)
    }

    fn key(&self, name: &str) -> [String; 2] {
        [format!("--{name}-file"), key_file(self.folder, name).display().to_string()]
    }
}

fn args(args: &[&str]) -> Vec<String> {
    args.iter().map(|word| (*word).to_owned()).collect()
}

/// Control and entry instances with the same number share a failure domain.
fn domain(i: usize) -> String {
    format!("d{i}")
}

fn key_file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.txt"))
}

/// Returns the key or token of a name.
pub fn key(name: &str) -> String {
    format!("soak-{name}")
}

fn write_keys(folder: &Path) -> Result<()> {
    fs::create_dir_all(folder)?;
    for name in ["cluster-key", "root-token", "join-token"] {
        fs::write(key_file(folder, name), key(name))?;
    }
    Ok(())
}

async fn open_all(addresses: &mut Addresses, targets: &[SocketAddr]) -> Result<Vec<Link>> {
    let mut links = Vec::new();
    for target in targets {
        links.push(Link::open(addresses.take(), *target).await?);
    }
    Ok(links)
}
