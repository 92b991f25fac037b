//! A data node that answers every shard request.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

const LENGTH_BYTES: usize = 4;
const BATCH_FRAME: u8 = b'R';

/// A data node that answers each shard request of a batch with the query's text and the shard. It writes the
/// last answer first and each byte by itself.
pub fn data_node() -> SocketAddr {
    crate::listen(|mut stream| {
        while let Some(batch) = read_batch(&mut stream) {
            for answer in answers(&batch).iter().rev() {
                write_byte_by_byte(&mut stream, answer);
            }
        }
    })
}

/// The text of the next batch; `None` once the router has closed the connection.
fn read_batch(stream: &mut TcpStream) -> Option<String> {
    let mut head = [0; LENGTH_BYTES + 1];
    stream.read_exact(&mut head).ok()?;
    let [length @ .., kind] = head;
    assert_eq!(kind, BATCH_FRAME);
    let mut text = vec![0; u32::from_be_bytes(length) as usize - 1];
    stream.read_exact(&mut text).expect("a complete frame");
    Some(String::from_utf8(text).expect("text"))
}

/// The answer to each shard request of a batch, without its length. A shard request is a line of id, shard,
/// deadline and query length, followed by the query.
fn answers(batch: &str) -> Vec<String> {
    let mut answers = Vec::new();
    let mut remaining = batch;
    while let Some((line, rest)) = remaining.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let (id, shard) = (words[0], words[1]);
        let (query, next) = rest.split_at(words[3].parse().expect("a length"));
        answers.push(format!("Y{id} OK 1 inflight=1\n{query}/{shard}"));
        remaining = next;
    }
    answers
}

fn write_byte_by_byte(stream: &mut TcpStream, answer: &str) {
    let length = (answer.len() as u32).to_be_bytes();
    for byte in length.iter().chain(answer.as_bytes()) {
        stream.write_all(&[*byte]).expect("the router reads");
    }
}
