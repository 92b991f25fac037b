//! Data nodes whose connections are served by the test, frame by frame.

use super::MAX_WAIT;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A data node whose backlog is full: connections are not established before the test lets them.
pub struct FullBacklogNode {
    listener: TcpListener,
    pub address: SocketAddr,
    /// The connection that fills the backlog.
    _filler: TcpStream,
}

impl FullBacklogNode {
    pub fn new() -> FullBacklogNode {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket");
        bind(&listener, &any_port).expect("a port");
        listen(&listener, 0).expect("it listens");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("an address");
        let filler = TcpStream::connect(address).expect("the one that fits");
        FullBacklogNode { listener, address, _filler: filler }
    }

    /// Lets the next connection be established.
    pub fn accept(&self) -> NodeConnection {
        self.listener.accept().expect("the filler");
        accept(&self.listener)
    }

    /// Lets the next connection be established; those after it wait again as long as the returned stream
    /// lives.
    pub fn accept_one(&self) -> (NodeConnection, TcpStream) {
        let connection = self.accept();
        (connection, TcpStream::connect(self.address).expect("the one that fits"))
    }
}

/// A data node whose connections are established at once.
pub struct DataNode {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl DataNode {
    pub fn new() -> DataNode {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        DataNode { listener, address }
    }

    /// The next connection.
    pub fn accept(&self) -> NodeConnection {
        accept(&self.listener)
    }

    /// Whether there is no connection that was not accepted.
    pub fn has_no_connection(&self) -> bool {
        self.listener.set_nonblocking(true).expect("a mode");
        matches!(self.listener.accept(), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// The next connection to a listener, for which it waits a limited time.
pub fn accept(listener: &TcpListener) -> NodeConnection {
    listener.set_nonblocking(true).expect("a mode");
    let started = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a mode");
                stream.set_read_timeout(Some(MAX_WAIT)).expect("a timeout");
                return NodeConnection(stream);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                assert!(started.elapsed() < MAX_WAIT, "nobody connects");
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(error) => panic!("accepting failed: {error}"),
        }
    }
}

/// A data node's end of a connection.
pub struct NodeConnection(pub TcpStream);

impl NodeConnection {
    /// The letter and the text of the next frame.
    pub fn read_frame(&mut self) -> (char, String) {
        let mut head = [0; 5];
        self.0.read_exact(&mut head).expect("a frame");
        let mut payload = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
        self.0.read_exact(&mut payload).expect("a complete frame");
        (head[4] as char, String::from_utf8(payload).expect("text"))
    }

    /// Sends bytes to the router.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the router reads");
    }

    /// All that comes until the router closes.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).expect("an end");
        rest
    }
}

/// The bytes of a frame from a data node.
pub fn frame(letter: u8, payload: &str) -> Vec<u8> {
    let length = (payload.len() as u32 + 1).to_be_bytes();
    [&length[..], &[letter], payload.as_bytes()].concat()
}
