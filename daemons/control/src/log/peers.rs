//! Sends replica messages to other control instances, batched while a call is in flight.

use std::net::SocketAddr;

use std::sync::Arc;

use parking_lot::RwLock;
use sill_base::{Map, Millis, Name, Secret, event};
use sill_net::PeerClient;
use sill_quorum::{Body, Message};
use tokio::runtime::Handle;
use tokio::sync::mpsc::{self, Receiver, Sender};

use crate::rpc::QuorumSend;

/// Messages queued per peer. Further ones are dropped; the replicas recover from lost messages.
const QUEUE_CAPACITY: usize = 1024;

/// Timeout of a call that sends messages.
const CALL_TIMEOUT: Millis = Millis(1000);

/// Timeout of a call that sends a snapshot.
const SNAPSHOT_TIMEOUT: Millis = Millis(30_000);

/// Send queues to all other control instances. Clones share them.
#[derive(Debug, Default, Clone)]
pub struct Peers {
    queues: Arc<RwLock<Map<Name, Queues>>>,
}

/// The queues of a peer. Snapshots have their own, so that they don't delay heartbeats.
#[derive(Debug)]
struct Queues {
    messages: Sender<Message>,
    snapshots: Sender<Message>,
}

impl Peers {
    /// Starts the send tasks for a peer. Those for an earlier address end, as their queues are
    /// dropped.
    pub fn add(&self, runtime: &Handle, name: Name, address: SocketAddr, key: &Secret) {
        let start = |queue, timeout| {
            let (tx, rx) = mpsc::channel(queue);
            runtime.spawn(run(PeerClient::new(address, key, timeout), rx));
            tx
        };
        let messages = start(QUEUE_CAPACITY, CALL_TIMEOUT);
        let snapshots = start(1, SNAPSHOT_TIMEOUT);
        self.queues.write().insert(name, Queues { messages, snapshots });
    }

    /// Queues a message to its receiver. It is dropped if the peer is unknown or its queue is full.
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

/// Sends queued messages until the queue is closed.
async fn run(client: PeerClient, mut queue: Receiver<Message>) {
    while let Some(first) = queue.recv().await {
        let mut messages = vec![first];
        while let Ok(msg) = queue.try_recv() {
            messages.push(msg);
        }
        if let Err(err) = client.call(&QuorumSend { messages }).await {
            event!(Debug, "peer_unreachable", address = client.address(), error = err);
            // Messages queued during the failed call are outdated; the replicas resend what
            // matters.
            while queue.try_recv().is_ok() {}
        }
    }
}
