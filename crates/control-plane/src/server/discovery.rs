//! The connections to discovery: opens, writes and closes them as the client of discovery requests, and passes on what
//! happens on them.

use query_router::discovery::{Bytes, ConnectionId, DiscoveryEffect, DiscoveryEvent};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

/// Maximum number of bytes that are read at once.
const READ_SIZE: usize = 64 << 10;
/// Maximum number of messages queued by all connections together.
const MAX_QUEUED_MESSAGES: usize = 16;
/// Maximum number of writes queued on a connection, which carries one request.
const MAX_QUEUED_WRITES: usize = 4;

/// What happened on a connection.
#[derive(Debug)]
enum Occurrence {
    Established,
    Received(Vec<u8>),
    PeerClosed,
    Ended,
}

/// A message of the task of a connection.
#[derive(Debug)]
pub(super) struct ConnectionMessage {
    connection: ConnectionId,
    /// Distinguishes the connection from others with the same id.
    serial: u64,
    occurrence: Occurrence,
}

/// The sender of the messages of one connection.
struct Reporter {
    connection: ConnectionId,
    serial: u64,
    messages: mpsc::Sender<ConnectionMessage>,
}

impl Reporter {
    /// Sends a message, unless the server has stopped.
    async fn send(&self, occurrence: Occurrence) {
        let (connection, serial) = (self.connection, self.serial);
        let _ = self.messages.send(ConnectionMessage { connection, serial, occurrence }).await;
    }
}

/// A connection that is being established or open. Its task ends when it is dropped.
struct OpenConnection {
    serial: u64,
    task: AbortHandle,
    writes: mpsc::Sender<Bytes>,
    /// The received bytes that are not consumed yet.
    received: Vec<u8>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// All connections to discovery.
pub(super) struct DiscoveryConnections {
    open: HashMap<ConnectionId, OpenConnection>,
    last_serial: u64,
    messages: mpsc::Sender<ConnectionMessage>,
}

impl DiscoveryConnections {
    /// Creates the table without connections, and the receiver of the messages of those that will be opened.
    pub fn new() -> (DiscoveryConnections, mpsc::Receiver<ConnectionMessage>) {
        let (messages, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        (DiscoveryConnections { open: HashMap::new(), last_serial: 0, messages }, receiver)
    }

    /// Carries out an effect.
    pub fn execute(&mut self, effect: DiscoveryEffect) {
        match effect {
            DiscoveryEffect::Connect { connection, address } => self.connect(connection, address),
            DiscoveryEffect::Write { connection, bytes } => self.write(connection, bytes),
            DiscoveryEffect::Consume { connection, count } => {
                if let Some(open) = self.open.get_mut(&connection) {
                    open.received.drain(..count);
                }
            }
            DiscoveryEffect::Close(connection) => drop(self.open.remove(&connection)),
        }
    }

    fn connect(&mut self, connection: ConnectionId, address: SocketAddr) {
        self.last_serial += 1;
        let serial = self.last_serial;
        let (writes, queued_writes) = mpsc::channel(MAX_QUEUED_WRITES);
        let reporter = Reporter { connection, serial, messages: self.messages.clone() };
        let task = tokio::spawn(run_connection(address, queued_writes, reporter)).abort_handle();
        self.open.insert(connection, OpenConnection { serial, task, writes, received: Vec::new() });
    }

    fn write(&mut self, connection: ConnectionId, bytes: Bytes) {
        let Some(open) = self.open.get(&connection) else { return };
        if open.writes.try_send(bytes).is_err() {
            tracing::warn!(connection = connection.0, "request to discovery not written");
        }
    }

    /// Converts a message to an event for the client of discovery; `None` if its connection was closed meanwhile.
    pub fn event(&mut self, message: ConnectionMessage) -> Option<DiscoveryEvent<'_>> {
        let connection = message.connection;
        let open = self.open.get_mut(&connection).filter(|open| open.serial == message.serial)?;
        Some(match message.occurrence {
            Occurrence::Established => DiscoveryEvent::Established(connection),
            Occurrence::Received(bytes) => {
                open.received.extend_from_slice(&bytes);
                DiscoveryEvent::Received { connection, bytes: &open.received }
            }
            Occurrence::PeerClosed => DiscoveryEvent::PeerClosed(connection),
            Occurrence::Ended => DiscoveryEvent::Ended(connection),
        })
    }
}

/// Opens a connection, writes what is queued and reports what happens until it ends.
async fn run_connection(address: SocketAddr, writes: mpsc::Receiver<Bytes>, reporter: Reporter) {
    if let Ok(stream) = TcpStream::connect(address).await {
        reporter.send(Occurrence::Established).await;
        exchange(stream, writes, &reporter).await;
    }
    reporter.send(Occurrence::Ended).await;
}

/// Writes what is queued and reports what is received until the connection ends.
async fn exchange(mut stream: TcpStream, mut writes: mpsc::Receiver<Bytes>, reporter: &Reporter) {
    let (mut reader, mut writer) = stream.split();
    let mut buffer = vec![0; READ_SIZE];
    loop {
        tokio::select! {
            Some(bytes) = writes.recv() => {
                if writer.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            read = reader.read(&mut buffer) => match read {
                Ok(0) => return reporter.send(Occurrence::PeerClosed).await,
                Ok(count) => reporter.send(Occurrence::Received(buffer[..count].to_vec())).await,
                Err(_) => return,
            }
        }
    }
}
