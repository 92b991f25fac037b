//! The watch of discovery: the list, then each change as it is told, until the connection ends.

use balancer::EndpointUpdate;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

/// Discovery says at least an empty line this often; twice that is silence.
const EMPTY_LINES: Duration = Duration::from_secs(2);
/// The longest line that is read.
const MOST_LINE: usize = 64 << 20;

/// Reads one watch to its end; `revision` moves on, and each list goes to `to`. What ends it is an error.
pub async fn watch(
    at: SocketAddr, revision: &mut u64, to: &Sender<(Json, EndpointUpdate)>,
) -> Result<(), String> {
    let wait = 2 * EMPTY_LINES;
    let silent = |_| "nothing was heard in time".to_string();
    let stream = timeout(wait, TcpStream::connect(at)).await.map_err(silent)?.map_err(|e| e.to_string())?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    let connection = tokio::spawn(connection);
    let request = Request::get(format!("/api/targets?watch=1&after={revision}"))
        .header("Host", at.to_string())
        .body(Empty::<bytes::Bytes>::new())
        .map_err(|e| e.to_string())?;
    let answer = timeout(wait, sender.send_request(request)).await.map_err(silent)?;
    let mut answer = answer.map_err(|e| e.to_string())?;
    if answer.status() != 200 {
        return Err(format!("it answered {}", answer.status()));
    }
    let mut line = Vec::new();
    let mut first = true;
    while let Some(frame) = timeout(wait, answer.frame()).await.map_err(silent)? {
        let Ok(data) = frame.map_err(|e| e.to_string())?.into_data() else { continue };
        for piece in data.split_inclusive(|&byte| byte == b'\n') {
            line.extend_from_slice(piece);
            if line.len() > MOST_LINE {
                return Err(format!("a line of over {MOST_LINE} bytes"));
            }
            if !line.ends_with(b"\n") {
                continue;
            }
            let text = line.trim_ascii();
            if !text.is_empty() {
                let list: Json =
                    serde_json::from_slice(text).map_err(|e| format!("a line is not JSON: {e}"))?;
                let whole = list["complete"].as_bool().ok_or("complete: it is missing")?;
                *revision = list["revision"].as_u64().unwrap_or(*revision);
                let listing = if whole { EndpointUpdate::Full } else { EndpointUpdate::Incremental };
                to.send((list, listing)).await.map_err(|e| e.to_string())?;
            } else if first {
                // Nothing changed since the revision that was named.
                to.send((Json::Null, EndpointUpdate::Incremental)).await.map_err(|e| e.to_string())?;
            }
            first = false;
            line.clear();
        }
    }
    connection.abort();
    Err("it ended".to_string())
}
