//! A discovery service whose responses the test sends, line by line.

use super::accept;
use serde_json::Value as Json;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A discovery service that responds only as the test directs.
pub struct ScriptedDiscovery(TcpListener);

impl ScriptedDiscovery {
    /// Listens on a free port.
    pub fn new() -> ScriptedDiscovery {
        ScriptedDiscovery(TcpListener::bind("127.0.0.1:0").expect("a free port"))
    }

    /// Returns the address for the router's configuration.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("the local address")
    }

    /// Accepts the next connection. Returns the request line, and the connection for the response.
    pub fn accept_request(&self) -> (String, DiscoveryConnection) {
        let stream = accept(&self.0).0;
        let mut lines =
            BufReader::new(stream.try_clone().expect("a second handle of the connection")).lines();
        let request = lines.next().expect("a request line").expect("a request line in UTF-8");
        (request, DiscoveryConnection(stream))
    }
}

/// The discovery service's end of a connection from the router.
pub struct DiscoveryConnection(pub TcpStream);

impl DiscoveryConnection {
    /// Sends the status line and the headers of a response to a watch.
    pub fn send_watch_head(&mut self) {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        self.0.write_all(head).expect("the router reads all bytes");
    }

    /// Sends updates of a watch in one chunk, each as a JSON object on its own line.
    pub fn send_updates(&mut self, updates: &[Json]) {
        let text: String = updates.iter().map(|update| format!("{update}\n")).collect();
        write!(self.0, "{:x}\r\n{text}\r\n", text.len()).expect("the router reads all bytes");
    }

    /// Sends an update that has no end, one byte of it after each pause, until the router closes the connection.
    pub fn send_endless_update(&mut self, pause: Duration) {
        let mut is_open = self.0.write_all(b"d\r\n{\"revision\":9\r\n").is_ok();
        while is_open {
            std::thread::sleep(pause);
            is_open = self.0.write_all(b"1\r\n9\r\n").is_ok();
        }
    }
}
