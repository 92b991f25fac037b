//! A data node that speaks frames.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

/// Answers each part of a call with the query's text and the shard, the last part first, byte by byte.
pub fn data_node() -> SocketAddr {
    crate::listen(|mut stream: TcpStream| {
        let mut head = [0; 5];
        while stream.read_exact(&mut head).is_ok() {
            let mut rest = vec![0; u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 1];
            stream.read_exact(&mut rest).expect("a whole frame");
            assert_eq!(head[4], b'R');
            let mut text = std::str::from_utf8(&rest).expect("text");
            let mut answers = Vec::new();
            while let Some((line, more)) = text.split_once('\n') {
                let words: Vec<&str> = line.split(' ').collect();
                let (query, after) = more.split_at(words[3].parse().expect("a length"));
                answers.push(format!("Y{} OK 1 inflight=1\n{query}/{}", words[0], words[1]));
                text = after;
            }
            for answer in answers.iter().rev() {
                let frame = [&(answer.len() as u32).to_be_bytes()[..], answer.as_bytes()].concat();
                frame.iter().for_each(|byte| stream.write_all(&[*byte]).expect("the router reads"));
            }
        }
    })
}
