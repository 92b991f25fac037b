//! A data node that answers every shard request at once and records when requests arrive.

use super::data_node::{NodeConnection, frame};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A data node that answers every shard request and records its arrival.
pub struct RecordingNode {
    pub address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Instant>>>,
}

impl RecordingNode {
    /// Listens on a free port.
    pub fn start() -> RecordingNode {
        let arrivals = Arc::new(Mutex::new(Vec::new()));
        let recorded = arrivals.clone();
        let address = test_servers::listen(move |stream| serve(NodeConnection(stream), &recorded));
        RecordingNode { address, arrivals }
    }

    /// Returns the number of batches that arrived after this time.
    pub fn arrivals_after(&self, time: Instant) -> usize {
        self.arrivals.lock().expect("the lock is not poisoned").iter().filter(|&&at| at > time).count()
    }
}

/// Answers the shard requests of each batch until the router closes the connection.
fn serve(mut connection: NodeConnection, arrivals: &Mutex<Vec<Instant>>) {
    let mut header = [0; 5];
    while connection.0.read_exact(&mut header).is_ok() {
        let mut payload =
            vec![0; u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize - 1];
        if connection.0.read_exact(&mut payload).is_err() || header[4] != b'R' {
            continue;
        }
        arrivals.lock().expect("the lock is not poisoned").push(Instant::now());
        let payload = String::from_utf8(payload).expect("a payload in UTF-8");
        for id in request_ids(&payload) {
            connection.send(&frame(b'Y', &format!("{id} OK 5 -\nvalue")));
        }
    }
}

/// Returns the ids of the shard requests of a batch. Each is a line of id, shard, deadline and query length, followed by
/// the query.
fn request_ids(batch: &str) -> Vec<&str> {
    let mut ids = Vec::new();
    let mut remaining = batch;
    while let Some((line, rest)) = remaining.split_once('\n') {
        let fields: Vec<&str> = line.split(' ').collect();
        ids.push(fields[0]);
        remaining = &rest[fields[3].parse().expect("a query length")..];
    }
    ids
}
