//! Requests and answers: what is read of their bytes, and what is refused.

use super::*;

const HEAD: &str = "POST /api HTTP/1.1\r\nx-qos: look\r\nX-Trace-Id: t1\r\nX-Expires-In-Ms: 480\r\n";

#[test]
fn a_request_is_read_once_its_last_byte_is_in() {
    let by_length = format!("{HEAD}Content-Length: 5\r\n\r\nhello");
    let in_chunks =
        format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nT: v\r\n\r\n");
    for text in [by_length, in_chunks] {
        for end in 0..text.len() {
            assert!(matches!(request(&text.as_bytes()[..end]), Ok(None)), "{end} bytes of {text}");
        }
        let more = format!("{text}GET /");
        let got = request(more.as_bytes()).expect("well formed").expect("whole");
        assert_eq!((got.method, got.path, got.class, got.id), ("POST", "/api", "look", "t1"));
        assert_eq!((&*got.body, got.length, got.last), (&b"hello"[..], text.len(), false));
    }
}

#[test]
fn what_is_too_large_or_malformed_gets_its_status() {
    let large = "x".repeat(MAX_HEAD_BYTES);
    for (rest, status) in [
        ("Content-Length: -1\r\n\r\n".to_string(), 400),
        ("Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello".to_string(), 400),
        ("Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello".to_string(), 400),
        ("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(), 400),
        ("Transfer-Encoding: gzip\r\n\r\n".to_string(), 501),
        ("Transfer-Encoding: chunked\r\n\r\nzz\r\n".to_string(), 400),
        ("Transfer-Encoding: chunked\r\n\r\n2\r\nhello".to_string(), 400),
        (format!("Content-Length: {}\r\n\r\n", MAX_BODY_BYTES + 1), 413),
        (format!("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n", MAX_BODY_BYTES + 1), 413),
        (format!("X-Large: {large}"), 431),
        (format!("X-Large: {large}\r\n\r\n"), 431),
        ("X-Many: 1\r\n".repeat(MAX_HEADERS + 1) + "\r\n", 431),
        ("no field\r\n\r\n".to_string(), 400),
    ] {
        let got = request(format!("{HEAD}{rest}").as_bytes()).map(|_| ()).map_err(|bad| bad.0);
        assert_eq!(got, Err(status), "{}", &rest[..rest.len().min(60)]);
    }
    assert!(request(b"\x16\x03\x01\x02\x00").is_err());
}

#[test]
fn a_connection_lasts_as_its_version_and_its_word_say() {
    let last = |version: &str, word: &str| {
        let text = format!("GET / HTTP/{version}\r\nConnection: {word}\r\n\r\n");
        request(text.as_bytes()).expect("well formed").expect("whole").last
    };
    assert!(last("1.1", "foo, Close") && last("1.0", "foo"));
    assert!(!last("1.1", "keep-alive") && !last("1.0", "Keep-Alive"));
}

#[test]
fn the_head_of_an_answer_tells_how_its_body_ends() {
    let head = |fields: &str| response(format!("HTTP/1.1 200 OK\r\n{fields}\r\n").as_bytes());
    assert_eq!(head("Content-Length: 7\r\n"), Ok(Some((200, 38, Framing::Length(7)))));
    assert_eq!(head("Transfer-Encoding: chunked\r\n"), Ok(Some((200, 47, Framing::Chunks))));
    assert_eq!(head(""), Ok(Some((200, 19, Framing::Open))));
    assert_eq!(response(b"HTTP/1.1 200 OK\r\n"), Ok(None));
    assert!(response(b"N\r\n\r\n").is_err());
}
