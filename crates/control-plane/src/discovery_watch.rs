//! The watch of discovery: one request that returns the endpoint list, then each change of it, until the
//! connection ends.

use balancer::EndpointUpdate;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::Sender;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The interval at which discovery sends at least an empty line.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// How long discovery may be silent.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2 * KEEP_ALIVE_INTERVAL.as_secs());
/// The longest line that is read.
const MAX_LINE_LENGTH: usize = 64 << 20;

/// An endpoint list in discovery's form, and how it is to be taken in.
#[derive(Debug)]
pub(crate) struct EndpointListUpdate {
    pub list: Json,
    pub update: EndpointUpdate,
}

/// Why a watch ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WatchError {
    #[error("it ended")]
    Ended,
    #[error("nothing was received in time")]
    Silent,
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    #[error("request failed: {0}")]
    Http(#[from] hyper::Error),
    #[error("invalid request: {0}")]
    InvalidRequest(#[from] http::Error),
    #[error("the answer's status is {0}")]
    UnexpectedStatus(StatusCode),
    #[error("a line of over {MAX_LINE_LENGTH} bytes")]
    LineTooLong,
    #[error("a line is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    #[error("complete: it is missing")]
    MissingCompleteness,
    #[error("the control plane ends")]
    ReceiverClosed,
}

/// Reads one watch until it ends. `revision` is updated to that of the last list; each list goes to
/// `updates`.
pub(crate) async fn watch(
    address: SocketAddr, revision: &mut u64, updates: &Sender<EndpointListUpdate>,
) -> WatchError {
    match read_watch(address, revision, updates).await {
        Ok(()) => WatchError::Ended,
        Err(error) => error,
    }
}

async fn read_watch(
    address: SocketAddr, revision: &mut u64, updates: &Sender<EndpointListUpdate>,
) -> Result<(), WatchError> {
    let (mut response, connection) = request(address, *revision).await?;
    let mut lines = Lines::default();
    let mut position = LinePosition::First;
    while let Some(frame) = in_time(response.frame()).await? {
        let Ok(data) = frame?.into_data() else { continue };
        for piece in data.split_inclusive(|&byte| byte == b'\n') {
            let Some(line) = lines.push(piece)? else { continue };
            if let Some(update) = parse_line(&line, position, revision)? {
                updates.send(update).await.map_err(|_| WatchError::ReceiverClosed)?;
            }
            position = LinePosition::Later;
        }
    }
    connection.abort();
    Ok(())
}

/// Opens a watch after a revision.
async fn request(
    address: SocketAddr, revision: u64,
) -> Result<(Response<Incoming>, JoinHandle<hyper::Result<()>>), WatchError> {
    let stream = in_time(TcpStream::connect(address)).await??;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let request = Request::get(format!("/api/targets?watch=1&after={revision}"))
        .header("Host", address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = in_time(sender.send_request(request)).await??;
    match response.status() {
        StatusCode::OK => Ok((response, connection)),
        status => Err(WatchError::UnexpectedStatus(status)),
    }
}

async fn in_time<F: Future>(future: F) -> Result<F::Output, WatchError> {
    timeout(SILENCE_TIMEOUT, future).await.map_err(|_| WatchError::Silent)
}

/// Puts lines together from pieces that end at line ends or in between.
#[derive(Default)]
struct Lines {
    partial: Vec<u8>,
}

impl Lines {
    /// Adds a piece; returns the line if it is complete.
    fn push(&mut self, piece: &[u8]) -> Result<Option<Vec<u8>>, WatchError> {
        self.partial.extend_from_slice(piece);
        if self.partial.len() > MAX_LINE_LENGTH {
            return Err(WatchError::LineTooLong);
        }
        let is_complete = self.partial.ends_with(b"\n");
        Ok(is_complete.then(|| std::mem::take(&mut self.partial)))
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum LinePosition {
    First,
    Later,
}

/// The update in a line. An empty line has none, unless it is the first: then nothing changed since the
/// revision that was requested.
fn parse_line(
    line: &[u8], position: LinePosition, revision: &mut u64,
) -> Result<Option<EndpointListUpdate>, WatchError> {
    let text = line.trim_ascii();
    if text.is_empty() {
        let unchanged = EndpointListUpdate { list: Json::Null, update: EndpointUpdate::Incremental };
        return Ok((position == LinePosition::First).then_some(unchanged));
    }
    let list: Json = serde_json::from_slice(text)?;
    let is_complete = list["complete"].as_bool().ok_or(WatchError::MissingCompleteness)?;
    *revision = list["revision"].as_u64().unwrap_or(*revision);
    let update = if is_complete { EndpointUpdate::Full } else { EndpointUpdate::Incremental };
    Ok(Some(EndpointListUpdate { list, update }))
}
