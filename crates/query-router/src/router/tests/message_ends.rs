//! Tests of messages of discovery and of clients whose stated length is too small. Their content is JSON, which states its
//! own end, so a part of it is never taken for the whole.

use super::stale_lists::{entry, list};
use super::*;

/// Reports the response to a poll, up to an orderly close by discovery, and returns the number of ready endpoints.
fn ready_endpoints_after_poll(response: &str) -> usize {
    let mut rig = Rig::new();
    let poll = rig.poll_discovery();
    rig.step(Event::Established(poll));
    rig.receive(poll, response.as_bytes());
    if rig.peers.outgoing.iter().any(|outgoing| outgoing.id == poll) {
        rig.step(Event::PeerClosed(poll));
        rig.end_connection(poll, 0);
    }
    rig.ready_endpoints()
}

/// Guards against a list that is applied in part because the length of its body or of its chunk is too small.
#[test]
fn a_polled_list_whose_length_is_too_small_is_not_applied() {
    let list = list(50, true, &[entry("a", "ready"), entry("b", "draining")]);
    let list = list.trim_end();
    for missing in 0..list.len() {
        let stated = list.len() - missing;
        let by_length = format!("HTTP/1.1 200 OK\r\nContent-Length: {stated}\r\n\r\n{list}");
        let by_chunk =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{stated:x}\r\n{list}\r\n0\r\n\r\n");
        for response in [by_length, by_chunk] {
            let expected = if missing == 0 { 1 } else { 2 };
            assert_eq!(ready_endpoints_after_poll(&response), expected, "{response}");
        }
    }
}

/// Guards against an update that is applied in part because the length of its chunk is too small, or because its line
/// ends too early.
#[test]
fn an_update_that_is_cut_off_is_not_applied() {
    let update = list(50, true, &[entry("a", "ready"), entry("b", "draining")]);
    let next = list(51, false, &[entry("a", "draining")]);
    // Without its line feed alone, the update is complete.
    for missing in (0..update.len()).filter(|&missing| missing != 1) {
        let stated = update.len() - missing;
        let (first_part, _) = update.split_at(stated);
        let line_cut_off = format!("{first_part}\n{}", if missing == 0 { "" } else { &next });
        let bodies = [
            format!("{stated:x}\r\n{update}\r\n"),
            format!("{:x}\r\n{line_cut_off}\r\n", line_cut_off.len()),
        ];
        for body in bodies {
            let mut rig = Rig::new();
            let watch = rig.peers.outgoing[0].id;
            rig.step(Event::Established(watch));
            let response = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{body}");
            rig.receive(watch, response.as_bytes());
            rig.decide();
            assert_eq!(rig.ready_endpoints(), if missing == 0 { 1 } else { 2 }, "{body}");
        }
    }
}

/// Guards against a query that is accepted in part, and against the rest of its body being taken for a request, because
/// its length is too small.
#[test]
fn a_request_whose_length_is_too_small_is_rejected() {
    let body = r#"{"segments":[{"segment":0,"boost":0.5},{"segment":1,"boost":0.5}],"text":"POST /api"}"#;
    let head = query_request("look", "t1", body);
    let head = head.strip_suffix(body).expect("a request that ends with its body");
    let length = format!("Content-Length: {}", body.len());
    for missing in 0..body.len() {
        let stated = body.len() - missing;
        let by_length = head.replace(&length, &format!("Content-Length: {stated}")) + body;
        let by_chunk = head.replace(&length, "Transfer-Encoding: chunked")
            + &format!("{stated:x}\r\n{body}\r\n0\r\n\r\n");
        for request in [by_length, by_chunk] {
            let mut rig = Rig::new();
            let client = rig.connect_client();
            rig.receive(client, request.as_bytes());
            rig.decide();
            let is_accepted = missing == 0;
            assert_eq!(rig.router.counters().queries_accepted, u64::from(is_accepted), "{request}");
            let responses = rig.written(client);
            assert_eq!(responses.starts_with("HTTP/1.1 400"), !is_accepted, "{request}: {responses}");
            assert_eq!(responses.matches("HTTP/1.1").count(), usize::from(!is_accepted), "{request}");
        }
    }
}
