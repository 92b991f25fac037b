//! Data nodes on which the test reads and sends each frame.

use super::MAX_WAIT;
use rustix::net::{AddressFamily, SocketType, bind, listen, socket};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A data node with a full listen backlog: connections to it are established only when the test accepts one.
pub struct FullBacklogNode {
    listener: TcpListener,
    pub address: SocketAddr,
    /// The connection that fills the backlog.
    _filler: TcpStream,
}

impl FullBacklogNode {
    /// Listens on a free port with the smallest backlog and fills it.
    pub fn new() -> FullBacklogNode {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let listener = socket(AddressFamily::INET, SocketType::STREAM, None).expect("a socket can be opened");
        bind(&listener, &any_port).expect("a free port");
        listen(&listener, 0).expect("the socket can listen");
        let listener = TcpListener::from(listener);
        let address = listener.local_addr().expect("the local address");
        let filler = TcpStream::connect(address).expect("the backlog has room for one connection");
        FullBacklogNode { listener, address, _filler: filler }
    }

    /// Takes the filling connection out of the backlog, and returns the next connection, which the router opened.
    pub fn accept(&self) -> NodeConnection {
        self.listener.accept().expect("the filling connection");
        accept(&self.listener)
    }

    /// Like [`FullBacklogNode::accept`], but fills the backlog again: later connections are not established while the
    /// returned stream is open.
    pub fn accept_one(&self) -> (NodeConnection, TcpStream) {
        let connection = self.accept();
        (connection, TcpStream::connect(self.address).expect("the backlog has room for one connection"))
    }
}

/// A data node whose connections are established without a delay.
pub struct DataNode {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl DataNode {
    /// Listens on a free port.
    pub fn new() -> DataNode {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the local address");
        DataNode { listener, address }
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> NodeConnection {
        accept(&self.listener)
    }

    /// Returns whether no connection waits to be accepted.
    pub fn has_no_connection(&self) -> bool {
        self.listener.set_nonblocking(true).expect("the blocking mode can be set");
        matches!(self.listener.accept(), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }
}

/// Accepts the next connection to a listener. Panics after [`MAX_WAIT`] without one.
pub fn accept(listener: &TcpListener) -> NodeConnection {
    listener.set_nonblocking(true).expect("the blocking mode can be set");
    let started = Instant::now();
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("the blocking mode can be set");
                stream.set_read_timeout(Some(MAX_WAIT)).expect("the read timeout can be set");
                return NodeConnection(stream);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {
                assert!(started.elapsed() < MAX_WAIT, "the router did not connect in time");
                std::thread::sleep(Duration::from_millis(2));
            }
            Err(error) => panic!("a connection could not be accepted: {error}"),
        }
    }
}

/// The data node's end of a connection from the router.
pub struct NodeConnection(pub TcpStream);

impl NodeConnection {
    /// Reads the next frame and returns its kind and its payload.
    pub fn read_frame(&mut self) -> (char, String) {
        let mut header = [0; 5];
        self.0.read_exact(&mut header).expect("the header of a frame");
        let mut payload =
            vec![0; u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize - 1];
        self.0.read_exact(&mut payload).expect("a complete frame");
        (header[4] as char, String::from_utf8(payload).expect("a payload in UTF-8"))
    }

    /// Sends bytes to the router.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("the router reads all bytes");
    }

    /// Reads until the router closes the connection, and returns the bytes.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut rest = Vec::new();
        self.0.read_to_end(&mut rest).expect("an orderly close");
        rest
    }
}

/// Encodes a frame of this kind from a data node.
pub fn frame(kind: u8, payload: &str) -> Vec<u8> {
    let length = (payload.len() as u32 + 1).to_be_bytes();
    [&length[..], &[kind], payload.as_bytes()].concat()
}
