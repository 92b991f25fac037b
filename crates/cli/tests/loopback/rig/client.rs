//! A client that sends HTTP requests to the router.

use super::MAX_WAIT;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The maximum time for which [`Client::flood`] tries to send, since the router may not read all of the bytes.
const MAX_FLOOD_WAIT: Duration = Duration::from_secs(3);

/// A client's connection to the router. Reads and writes fail after [`MAX_WAIT`].
pub struct Client(BufReader<TcpStream>);

impl Client {
    /// Connects to a router that listens on `address`.
    pub fn connect(address: &str) -> Client {
        let stream = TcpStream::connect(address).expect("the router accepts a connection");
        stream.set_read_timeout(Some(MAX_WAIT)).expect("the read timeout can be set");
        stream.set_write_timeout(Some(MAX_WAIT)).expect("the write timeout can be set");
        Client(BufReader::new(stream))
    }

    /// Sends bytes. Panics if the router does not read all of them in time.
    pub fn send(&mut self, bytes: &str) {
        self.0.get_mut().write_all(bytes.as_bytes()).expect("the router reads all bytes");
    }

    /// Sends as many of these bytes as the router reads within [`MAX_FLOOD_WAIT`].
    pub fn flood(&mut self, bytes: &[u8]) {
        self.0.get_mut().set_write_timeout(Some(MAX_FLOOD_WAIT)).expect("the write timeout can be set");
        let _ = self.0.get_mut().write_all(bytes);
    }

    /// Sends a query for shard 0.
    pub fn send_query(&mut self, class: &str, id: &str, deadline: Duration) {
        self.send(&query(class, id, deadline));
    }

    /// Reads the next response and returns its status line and its body.
    pub fn read_response(&mut self) -> (String, String) {
        let (mut status, mut length) = (String::new(), 0);
        self.0.read_line(&mut status).expect("a status line");
        let status = status.strip_suffix("\r\n").expect("a complete status line");
        loop {
            let mut line = String::new();
            assert!(
                self.0.read_line(&mut line).expect("a header line") > 0,
                "connection closed in the header of the response {status:?}"
            );
            if let Some(value) = line.strip_prefix("Content-Length: ") {
                length = value.trim().parse().expect("a number in Content-Length");
            }
            if line == "\r\n" {
                break;
            }
        }
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).expect("a complete body");
        (status.to_string(), String::from_utf8(body).expect("a body in UTF-8"))
    }

    /// Returns whether unread bytes have arrived or the router has closed the connection.
    pub fn has_response(&self) -> bool {
        let stream = self.0.get_ref();
        stream.set_nonblocking(true).expect("the blocking mode can be set");
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).expect("the blocking mode can be set");
        peeked.is_ok()
    }

    /// Reads until the router closes the connection, and returns the bytes as text. Panics on a connection reset.
    pub fn read_to_end(&mut self) -> String {
        let mut rest = String::new();
        self.0.read_to_string(&mut rest).expect("an orderly close");
        rest
    }
}

/// Formats the HTTP request of a query for shard 0.
pub fn query(class: &str, id: &str, deadline: Duration) -> String {
    let body = r#"{"segments":[{"segment":0,"boost":1}],"text":"q"}"#;
    let (length, deadline_ms) = (body.len(), deadline.as_millis());
    format!(
        "POST /api HTTP/1.1\r\nX-Qos: {class}\r\nX-Trace-Id: {id}\r\nX-Expires-In-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n{body}"
    )
}
