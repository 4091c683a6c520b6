//! All processes of a run and the proxied links between them.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use eyre::Result;
use sill_base::Millis;
use sill_standin::loopback::free_addresses;

use crate::backend::{Endpoint, Ledger};
use crate::link::{Link, SourceCut};
use crate::plan::{LinkFault, Sizes};
use crate::process::Process;
use crate::rollouts::{self, ROLLBACK, SHARE, SLACK};

/// Time for which a stopping entry instance still accepts new requests (`--drain-notice-ms`).
const STOP_NOTICE: Millis = Millis(600);

/// Time after which a stopping entry instance cuts off requests in flight (`--drain-limit-ms`).
pub const STOP_LIMIT: Millis = Millis(3000);

/// Number of listening addresses reserved per control instance or entry instance.
const OWN_ADDRESSES: usize = 3;

/// The cluster under test.
#[derive(Debug)]
pub struct Cluster {
    /// Processes of the control instances.
    pub controls: Vec<Process>,
    /// Processes of the entry instances.
    pub entries: Vec<Process>,
    /// Endpoints, which run inside the soak process.
    pub endpoints: Vec<Endpoint>,
    /// Addresses on which entry instances accept callers.
    pub entry_addresses: Vec<SocketAddr>,
    /// Addresses of the links through which operators and endpoints reach control instances.
    pub control_addresses: Vec<SocketAddr>,
    /// Links between control instances, indexed by source and target.
    control_links: Vec<Vec<Link>>,
    /// Links from entry instances to control instances, indexed by source and target.
    entry_links: Vec<Vec<Link>>,
    /// Links from operators and endpoints to each control instance.
    outer_links: Vec<Link>,
    /// Links to each endpoint.
    endpoint_links: Vec<Link>,
}

/// Hands out reserved loopback addresses.
struct Addresses(std::vec::IntoIter<SocketAddr>);

impl Addresses {
    fn take(&mut self) -> SocketAddr {
        self.0.next().expect("all addresses were counted before they were reserved")
    }
}

impl Cluster {
    /// Opens all links and starts all endpoints and processes.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use or a program can't be started.
    pub async fn start(
        sill: &Path,
        folder: &Path,
        sizes: Sizes,
        with_rollouts: bool,
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
        let own_addresses: Vec<SocketAddr> = (0..endpoints).map(|_| addresses.take()).collect();
        let endpoint_links = open_all(&mut addresses, &own_addresses).await?;
        let programs = Programs { sill, folder, with_rollouts };
        let mut cluster = Self {
            controls: (0..controls)
                .map(|i| programs.control(i, listens[i], &peers, &control_links[i]))
                .collect(),
            entries: (0..entries)
                .map(|i| {
                    let own_addresses = [entry_addresses[i], addresses.take(), addresses.take()];
                    programs.entry(i, own_addresses, &entry_links[i])
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
        for (i, address) in own_addresses.into_iter().enumerate() {
            let name = if with_rollouts { rollouts::endpoint_name(i) } else { format!("e{i}") };
            let announced = cluster.endpoint_links[i].address;
            let controls = cluster.control_addresses.clone();
            let mut endpoint = Endpoint::new(name, address, announced, controls, ledger.clone());
            if !with_rollouts || rollouts::generation_of(i) == 0 {
                endpoint.start().await?;
            }
            cluster.endpoints.push(endpoint);
        }
        cluster.controls.iter_mut().try_for_each(Process::start)?;
        cluster.entries.iter_mut().try_for_each(Process::start)?;
        Ok(cluster)
    }

    /// Sets or clears a fault on all links from and to a control instance.
    pub fn set_control_links(&self, i: usize, fault: Option<LinkFault>) {
        self.control_links[i].iter().for_each(|link| link.set_fault(fault));
        self.control_links.iter().for_each(|links| links[i].set_fault(fault));
        self.entry_links.iter().for_each(|links| links[i].set_fault(fault));
        self.outer_links[i].set_fault(fault);
    }

    /// Sets or clears a fault on the links from an entry instance to all control instances.
    pub fn set_entry_links(&self, i: usize, fault: Option<LinkFault>) {
        self.entry_links[i].iter().for_each(|link| link.set_fault(fault));
    }

    /// Cuts an entry instance off from the first `count` endpoints. Returns the cut.
    pub fn cut_entry_off(&self, i: usize, count: usize, fault: LinkFault) -> SourceCut {
        let cut = SourceCut { source: entry_source(i), fault };
        self.endpoint_links.iter().take(count).for_each(|link| link.cut_source(cut));
        cut
    }

    /// Ends a cut of an entry instance.
    pub fn reconnect_entry(&self, cut: SourceCut) {
        self.endpoint_links.iter().for_each(|link| link.reconnect_source(cut));
    }

    /// Sets or clears a fault on the link to an endpoint.
    pub fn set_endpoint_link(&self, i: usize, fault: Option<LinkFault>) {
        self.endpoint_links[i].set_fault(fault);
    }

    /// Sets whether new connections to an endpoint time out.
    pub fn set_endpoint_full(&self, i: usize, is_full: bool) {
        self.endpoint_links[i].set_full(is_full);
    }
}

/// Builds the command lines of programs.
struct Programs<'a> {
    sill: &'a Path,
    folder: &'a Path,
    with_rollouts: bool,
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
        args.extend(self.rollout_flags());
        Process::new(name, self.sill.to_owned(), args, self.folder).with_data(data)
    }

    fn entry(
        &self,
        i: usize,
        own_addresses: [SocketAddr; OWN_ADDRESSES],
        links: &[Link],
    ) -> Process {
        let name = format!("g{i}");
        let mut args = args(&["gateway", "--name", &name, "--domain", &domain(i)]);
        for (flag, address) in
            ["--listen", "--listen-ready", "--listen-metrics"].iter().zip(own_addresses)
        {
            args.extend([(*flag).to_owned(), address.to_string()]);
        }
        for link in links {
            args.extend(["--control".to_owned(), link.address.to_string()]);
        }
        args.extend(["--connect-from".to_owned(), entry_source(i).to_string()]);
        args.extend(self.key("cluster-key"));
        args.extend(["--drain-notice-ms".to_owned(), STOP_NOTICE.to_string()]);
        args.extend(["--drain-limit-ms".to_owned(), STOP_LIMIT.to_string()]);
        args.extend(self.rollout_flags());
        Process::new(name, self.sill.to_owned(), args, self.folder)
    }

    fn rollout_flags(&self) -> Vec<String> {
        let flags = [
            format!("--rollout-share={SHARE}"),
            format!("--rollout-slack={SLACK}"),
            format!("--rollback-ms={ROLLBACK}"),
        ];
        if self.with_rollouts { flags.to_vec() } else { Vec::new() }
    }

    fn key(&self, name: &str) -> [String; 2] {
        [format!("--{name}-file"), key_file(self.folder, name).display().to_string()]
    }
}

fn args(args: &[&str]) -> Vec<String> {
    args.iter().map(|word| (*word).to_owned()).collect()
}

/// Returns the failure domain of control and entry instance `i`, which share one.
fn domain(i: usize) -> String {
    format!("d{i}")
}

/// Returns the address from which an entry instance connects to endpoints, by which their links tell
/// its connections from those of others.
fn entry_source(i: usize) -> IpAddr {
    let [high, low] = (i as u16).to_be_bytes();
    IpAddr::from([127, 250, high, low])
}

fn key_file(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{name}.txt"))
}

/// Returns the secret stored in the key file of this name.
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
