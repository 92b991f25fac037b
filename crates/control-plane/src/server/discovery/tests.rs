//! Tests of the task that watches discovery.

use super::*;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

/// Maximum time that the test waits for a request.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// Accepts the next request. Returns its first line and the connection.
async fn accept_request(listener: &TcpListener) -> (String, BufReader<TcpStream>) {
    let accepted = tokio::time::timeout(MAX_WAIT, listener.accept()).await.expect("a request in time");
    let mut stream = BufReader::new(accepted.expect("a connection").0);
    let mut line = String::new();
    stream.read_line(&mut line).await.expect("a request line");
    (line, stream)
}

/// Guards against a new address of discovery that is not asked, or asked for changes after a revision of the old one.
#[tokio::test]
async fn a_new_address_is_asked_for_the_full_list_although_no_watch_was_open() {
    let (old, new) = (
        TcpListener::bind("127.0.0.1:0").await.expect("a free port"),
        TcpListener::bind("127.0.0.1:0").await.expect("a free port"),
    );
    let address_of = |listener: &TcpListener| listener.local_addr().expect("an address");
    let (address, address_changes) = tokio::sync::watch::channel(address_of(&old));
    let requested = Arc::new(Notify::new());
    let (updates, mut received) = mpsc::channel(8);
    tokio::spawn(watch_discovery(address_changes, requested.clone(), updates));
    requested.notify_one();
    let (_, mut watch) = accept_request(&old).await;
    let list = "{\"revision\":50,\"complete\":true,\"members\":[]}\n";
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
    watch.write_all(response.as_bytes()).await.expect("the task reads");
    assert_eq!(received.recv().await.expect("the list").update, EndpointUpdate::Full);
    assert_eq!(received.recv().await.expect("the end of the watch").update, EndpointUpdate::Failed);
    address.send(address_of(&new)).expect("the task runs");
    let (request, _watch) = accept_request(&new).await;
    assert!(request.starts_with("GET /api/targets?watch=1&after=0 "), "{request}");
}
