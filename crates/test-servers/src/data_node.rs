//! A data node that responds to every shard request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

const LENGTH_BYTES: usize = 4;
const BATCH_FRAME_KIND: u8 = b'R';

/// Starts a data node and returns its address. The node responds to each shard request of a batch with the query's
/// text and the shard. It writes the responses in reverse order, one byte at a time.
pub fn data_node() -> SocketAddr {
    crate::listen(|mut stream| {
        while let Some(batch) = read_batch(&mut stream) {
            for response in shard_responses(&batch).iter().rev() {
                write_byte_by_byte(&mut stream, response);
            }
        }
    })
}

/// Returns the text of the next batch; `None` once the router has closed the connection.
fn read_batch(stream: &mut TcpStream) -> Option<String> {
    let mut header = [0; LENGTH_BYTES + 1];
    stream.read_exact(&mut header).ok()?;
    let [length @ .., kind] = header;
    assert_eq!(kind, BATCH_FRAME_KIND);
    let mut text = vec![0; u32::from_be_bytes(length) as usize - 1];
    stream.read_exact(&mut text).expect("a complete frame");
    Some(String::from_utf8(text).expect("UTF-8 text"))
}

/// Returns the response to each shard request of a batch, without the length prefix. A shard request is a line of id,
/// shard, deadline and query length, followed by the query.
fn shard_responses(batch: &str) -> Vec<String> {
    let mut responses = Vec::new();
    let mut remaining = batch;
    while let Some((line, rest)) = remaining.split_once('\n') {
        let fields: Vec<&str> = line.split(' ').collect();
        let (id, shard) = (fields[0], fields[1]);
        let (query, next) = rest.split_at(fields[3].parse().expect("a query length"));
        responses.push(format!("Y{id} OK 1 inflight=1\n{query}/{shard}"));
        remaining = next;
    }
    responses
}

fn write_byte_by_byte(stream: &mut TcpStream, response: &str) {
    let length = (response.len() as u32).to_be_bytes();
    for byte in length.iter().chain(response.as_bytes()) {
        stream.write_all(&[*byte]).expect("the router reads the response");
    }
}
