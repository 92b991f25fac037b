//! A discovery whose requests are answered by the test, line by line.

use super::accept;
use serde_json::Value as Json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

/// A discovery that answers nothing by itself.
pub struct ScriptedDiscovery(TcpListener);

impl ScriptedDiscovery {
    pub fn new() -> ScriptedDiscovery {
        ScriptedDiscovery(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// The address for the router's configuration.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("an address")
    }

    /// The request line of the next request, and the connection to answer it on.
    pub fn accept_request(&self) -> (String, DiscoveryConnection) {
        let stream = accept(&self.0).0;
        let mut lines = BufReader::new(stream.try_clone().expect("a connection")).lines();
        let request = lines.next().expect("a line").expect("a request");
        (request, DiscoveryConnection(stream))
    }
}

/// Discovery's end of a connection.
pub struct DiscoveryConnection(pub TcpStream);

impl DiscoveryConnection {
    /// Sends the head of a response to a watch.
    pub fn send_watch_head(&mut self) {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.0.write_all(head).expect("the router reads");
    }

    /// Sends objects of a watch, each on a line, in one chunk.
    pub fn send_objects(&mut self, objects: &[Json]) {
        let text: String = objects.iter().map(|object| format!("{object}\n")).collect();
        write!(self.0, "{:x}\r\n{text}\r\n", text.len()).expect("the router reads");
    }
}
