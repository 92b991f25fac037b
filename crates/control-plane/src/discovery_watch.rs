//! The client side of a discovery watch: a single request whose response contains the endpoint list and then each
//! change of it, one per line, until the connection closes.

mod revisions;
#[cfg(test)]
mod tests;

pub(crate) use revisions::Revisions;

use balancer::EndpointUpdate;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The longest time between two lines of a watch: discovery sends a blank line if nothing has changed.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Time without data from discovery after which the watch is ended.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2 * HEARTBEAT_INTERVAL.as_secs());
/// Time after which a watch is ended although data arrives, if the line is not complete by then.
const MAX_LINE_TIME: Duration = Duration::from_secs(60);
/// Maximum length of a line, in bytes.
const MAX_LINE_LENGTH: usize = 64 << 20;

/// An endpoint list in the JSON format of discovery, and the kind of update that it is.
#[derive(Debug)]
pub(crate) struct EndpointListUpdate {
    /// Null if nothing has changed since the requested revision, or the watch failed.
    pub list: Json,
    pub update: EndpointUpdate,
}

/// Reason for which a watch ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    #[error("discovery ended the response")]
    Ended,
    #[error("no data received within {SILENCE_TIMEOUT:?}")]
    Silent,
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("request failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] http::Error),
    #[error("expected status 200 OK, received {0}")]
    UnexpectedStatus(StatusCode),
    #[error("line longer than {MAX_LINE_LENGTH} bytes")]
    LineTooLong,
    #[error("line not complete within {MAX_LINE_TIME:?}")]
    LineTooSlow,
    #[error("revision {revision} is older than revision {newest}, which was received before")]
    OlderRevision { revision: u64, newest: u64 },
    #[error("line is not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    #[error("field 'complete' is missing or not a boolean")]
    MissingCompleteness,
    #[error("the control plane is shutting down")]
    ReceiverClosed,
}

/// Opens a watch and sends its updates to `updates` until it ends; returns the reason. The updates after the last of
/// `revisions` are requested, and those received are recorded there.
pub(crate) async fn watch(
    address: SocketAddr, revisions: &mut Revisions, updates: &Sender<EndpointListUpdate>,
) -> WatchError {
    match read_watch(address, revisions, updates).await {
        Ok(()) => WatchError::Ended,
        Err(error) => error,
    }
}

async fn read_watch(
    address: SocketAddr, revisions: &mut Revisions, updates: &Sender<EndpointListUpdate>,
) -> Result<(), WatchError> {
    let (mut response, connection) = open_watch(address, revisions.last()).await?;
    let mut buffer = LineBuffer::default();
    let mut position = LinePosition::First;
    while let Some(frame) = with_timeout(response.frame()).await? {
        let Ok(data) = frame?.into_data() else { continue };
        for chunk in data.split_inclusive(|&byte| byte == b'\n') {
            let Some(line) = buffer.push(chunk, Instant::now())? else { continue };
            if let Some(update) = parse_line(&line, position, revisions, Instant::now())? {
                updates.send(update).await.map_err(|_| WatchError::ReceiverClosed)?;
            }
            position = LinePosition::Later;
        }
    }
    connection.abort();
    Ok(())
}

/// Requests a watch of the updates after a revision. Returns the response and the task of the connection.
async fn open_watch(
    address: SocketAddr, revision: u64,
) -> Result<(Response<Incoming>, JoinHandle<hyper::Result<()>>), WatchError> {
    let stream = with_timeout(TcpStream::connect(address)).await??;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let request = Request::get(format!("/api/targets?watch=1&after={revision}"))
        .header("Host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = with_timeout(sender.send_request(request)).await??;
    match response.status() {
        StatusCode::OK => Ok((response, connection)),
        status => Err(WatchError::UnexpectedStatus(status)),
    }
}

async fn with_timeout<F: Future>(future: F) -> Result<F::Output, WatchError> {
    timeout(SILENCE_TIMEOUT, future).await.map_err(|_| WatchError::Silent)
}

/// Assembles lines from chunks of the response body, each of which ends at or before the end of a line.
#[derive(Default)]
struct LineBuffer {
    partial: Vec<u8>,
    /// The time at which the incomplete line began; `None` if there is none.
    started_at: Option<Instant>,
}

impl LineBuffer {
    /// Appends a chunk that was received at `now`. Returns the line once it is complete.
    fn push(&mut self, chunk: &[u8], now: Instant) -> Result<Option<Vec<u8>>, WatchError> {
        self.partial.extend_from_slice(chunk);
        if now.duration_since(*self.started_at.get_or_insert(now)) > MAX_LINE_TIME {
            return Err(WatchError::LineTooSlow);
        }
        if self.partial.len() > MAX_LINE_LENGTH {
            return Err(WatchError::LineTooLong);
        }
        let is_complete = self.partial.ends_with(b"\n");
        if is_complete {
            self.started_at = None;
        }
        Ok(is_complete.then(|| std::mem::take(&mut self.partial)))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum LinePosition {
    First,
    Later,
}

/// Parses the update in a line. A blank line only shows that discovery works, except as the first line: then
/// nothing has changed since the requested revision.
fn parse_line(
    line: &[u8], position: LinePosition, revisions: &mut Revisions, now: Instant,
) -> Result<Option<EndpointListUpdate>, WatchError> {
    let text = line.trim_ascii();
    if text.is_empty() {
        let unchanged = EndpointListUpdate { list: Json::Null, update: EndpointUpdate::Incremental };
        return Ok((position == LinePosition::First).then_some(unchanged));
    }
    let list: Json = serde_json::from_slice(text)?;
    let is_complete = list["complete"].as_bool().ok_or(WatchError::MissingCompleteness)?;
    if let Some(revision) = list["revision"].as_u64() {
        revisions.record(revision, now)?;
    }
    let update = if is_complete { EndpointUpdate::Full } else { EndpointUpdate::Incremental };
    Ok(Some(EndpointListUpdate { list, update }))
}
