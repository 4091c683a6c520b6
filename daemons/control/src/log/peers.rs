//! Messages to other control instances, batched while one call is on its way.

use std::net::SocketAddr;

use std::sync::Arc;

use parking_lot::RwLock;
use sill_base::{Map, Millis, Name, Secret, event};
use sill_net::PeerClient;
use sill_quorum::{Body, Message};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{self, Receiver, Sender};

use crate::rpc::QuorumSend;

/// Messages that wait for a peer; further ones are lost, which the replicas make good.
const QUEUE: usize = 1024;

/// How long a call with messages may take.
const TIMEOUT: Millis = Millis(1000);

/// How long a call with a snapshot may take.
const SNAPSHOT_TIMEOUT: Millis = Millis(30_000);

/// The ways to all other control instances. Clones share them.
#[derive(Debug, Default, Clone)]
pub struct Peers {
    queues: Arc<RwLock<Map<Name, Queues>>>,
}

/// A snapshot has a way of its own, so that it doesn't hold up heartbeats.
#[derive(Debug)]
struct Queues {
    messages: Sender<Message>,
    snapshots: Sender<Message>,
}

impl Peers {
    /// Starts a task for a peer; one at an earlier address ends with its queue.
    pub fn add(&self, runtime: &Handle, name: Name, address: SocketAddr, key: &Secret) {
        let start = |queue, timeout| {
            let (tx, rx) = mpsc::channel(queue);
            runtime.spawn(run(PeerClient::new(address, key, timeout), rx));
            tx
        };
        let messages = start(QUEUE, TIMEOUT);
        let snapshots = start(1, SNAPSHOT_TIMEOUT);
        self.queues.write().insert(name, Queues { messages, snapshots });
    }

    /// Sends a message, or loses it.
    pub fn send(&self, msg: Message) {
        let queues = self.queues.read();
        let Some(queues) = queues.get(&msg.to.name) else { return };
        let queue = match msg.body {
            Body::InstallSnapshot { .. } => &queues.snapshots,
            _ => &queues.messages,
        };
        let _ = queue.try_send(msg);
    }
}

/// Sends what is queued until the log ends.
async fn run(client: PeerClient, mut queue: Receiver<Message>) {
    while let Some(first) = queue.recv().await {
        let mut messages = vec![first];
        while let Ok(msg) = queue.try_recv() {
            messages.push(msg);
        }
        if let Err(err) = client.call(&QuorumSend { messages }).await {
            event!(Debug, "peer_unreachable", address = client.address(), error = err);
            // What waited meanwhile is old; the replicas send anew what still matters.
            while queue.try_recv().is_ok() {}
        }
    }
}
