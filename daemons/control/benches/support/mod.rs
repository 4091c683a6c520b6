//! Control processes and a small HTTP client for the benchmarks.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use sill_base::Millis;
use sill_net::PeerClient;
use sill_standin::loopback::free_addresses;

/// Control instances `c0`, `c1`, … as processes.
pub struct Cluster {
    folder: PathBuf,
    api: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    running: Vec<Option<Child>>,
}

/// Resource use of all processes at a point in time.
pub struct Usage {
    pub since: Instant,
    pub each: Vec<ProcessUsage>,
}

/// Processor time and resident memory of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct ProcessUsage {
    pub cpu_secs: f64,
    pub memory_kb: u64,
}

/// One connection to the operators' API.
pub struct Caller {
    stream: BufReader<TcpStream>,
}

impl Cluster {
    /// Starts a number of voters and waits until they accept changes.
    pub fn start(voters: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("sill-bench-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        fs::write(folder.join("key"), "bench-key").expect("a file");
        fs::write(folder.join("token"), "bench-token").expect("a file");
        let free = free_addresses(2 * voters).expect("free ports");
        let running = (0..voters).map(|_| None).collect();
        let (api, peers) = (free[..voters].to_vec(), free[voters..].to_vec());
        let mut cluster = Self { folder, api, peers, running };
        (0..voters).for_each(|i| cluster.run(i));
        cluster.wait_ready();
        cluster
    }

    /// Starts the process of an instance.
    pub fn run(&mut self, i: usize) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sill-control"));
        command.args(["--name", &format!("c{i}"), "--domain", "a", "--log-level", "error"]);
        command.args(["--listen", &self.api[i].to_string()]);
        command.args(["--listen-peer", &self.peers[i].to_string()]);
        for (j, peer) in self.peers.iter().enumerate() {
            command.args(["--voter", &format!("c{j}@a@{peer}")]);
        }
        command.arg("--data").arg(self.folder.join(format!("data-{i}")));
        command.arg("--cluster-key-file").arg(self.folder.join("key"));
        command.arg("--root-token-file").arg(self.folder.join("token"));
        let child = command.stdin(Stdio::null()).stdout(Stdio::null()).spawn();
        self.running[i] = Some(child.expect("the process starts"));
    }

    /// Kills the process of an instance, if it runs.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.running[i].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until all instances report a leader.
    pub fn wait_ready(&self) {
        for api in &self.api {
            while Caller::connect(*api)
                .is_none_or(|mut caller| caller.send("GET", "/readyz", "") != 200)
            {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Returns the index of the leader, and waits until there is one.
    pub fn leader(&self) -> usize {
        loop {
            for (i, api) in self.api.iter().enumerate().filter(|(i, _)| self.running[*i].is_some())
            {
                let Some(mut caller) = Caller::connect(*api) else { continue };
                let body = caller.exchange("GET", "/metrics", "").1;
                if body.lines().any(|line| line == "sill_control_leads 1") {
                    return i;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the address of an instance's operator API.
    pub fn api(&self, i: usize) -> SocketAddr {
        self.api[i]
    }

    /// Creates a client of an instance with its own connection.
    pub fn peer_client(&self, i: usize) -> PeerClient {
        PeerClient::new(self.peers[i], &crate::key(), Millis(20_000))
    }

    /// Returns the current resource use of the processes.
    pub fn usage(&self) -> Usage {
        let each =
            self.running.iter().map(|child| child.as_ref().map(usage_of).unwrap_or_default());
        Usage { since: Instant::now(), each: each.collect() }
    }

    /// Returns the growth in memory of each process, in kB.
    pub fn memory_since(&self, before: &Usage) -> Vec<i64> {
        let now = self.usage().each;
        let pairs = now.iter().zip(&before.each);
        pairs.map(|(new, old)| new.memory_kb as i64 - old.memory_kb as i64).collect()
    }

    /// Returns the size of the first instance's data folder in bytes.
    pub fn data_size(&self) -> u64 {
        let files = fs::read_dir(self.folder.join("data-0")).expect("a folder").flatten();
        files.filter_map(|file| file.metadata().ok()).map(|data| data.len()).sum()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        (0..self.running.len()).for_each(|i| self.kill(i));
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Caller {
    /// Connects to the operator API; panics on failure.
    pub fn new(to: SocketAddr) -> Self {
        Self::connect(to).expect("a connection")
    }

    /// Connects to the operator API, or returns `None` if the connection fails.
    pub fn connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { stream: BufReader::new(stream) })
    }

    /// Sends a request with the root token and returns the status.
    pub fn send(&mut self, method: &str, path: &str, body: &str) -> u16 {
        self.exchange(method, path, body).0
    }

    /// Sends a request with the root token and returns status and body.
    pub fn exchange(&mut self, method: &str, path: &str, body: &str) -> (u16, String) {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nhost: c\r\nauthorization: Bearer bench-token\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        self.stream.get_mut().write_all(text.as_bytes()).expect("sent");
        let status = self.line().split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
        let mut len = 0;
        loop {
            let line = self.line().to_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length: ") {
                len = value.parse().expect("a length");
            }
        }
        let mut body = vec![0; len];
        self.stream.read_exact(&mut body).expect("a body");
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.stream.read_line(&mut line).expect("a line");
        line.trim_end().to_owned()
    }
}

/// Reads processor time and memory from `/proc`; the kernel counts 100 clock ticks per second.
fn usage_of(child: &Child) -> ProcessUsage {
    let read =
        |file| fs::read_to_string(format!("/proc/{}/{file}", child.id())).unwrap_or_default();
    let stat = read("stat");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or(0.0);
    let status = read("status");
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let memory = memory.and_then(|m| m.trim().trim_end_matches(" kB").parse().ok());
    ProcessUsage { cpu_secs: (ticks(11) + ticks(12)) / 100.0, memory_kb: memory.unwrap_or(0) }
}
