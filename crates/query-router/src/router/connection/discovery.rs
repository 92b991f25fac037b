//! A request to discovery and the incremental parsing of its response: one endpoint list, or a stream of updates.

use crate::protocol::http::{self, BodyFraming, ChunkedDecoder, HttpError};
use crate::protocol::json_stream::{JsonStream, JsonStreamError, JsonStreamItem, MAX_ENDPOINT_LIST_BYTES};
use balancer::{EndpointUpdate, Micros};
use serde_json::Value as Json;

/// The longest time between two messages of a watch: discovery sends a blank line if there is no update.
pub const HEARTBEAT_INTERVAL: Micros = 2_000_000;
/// The time without progress after which a request times out.
const SILENCE_TIMEOUT: Micros = 2 * HEARTBEAT_INTERVAL;
/// The time without a complete message after which a request times out although its response progresses.
const MAX_MESSAGE_TIME: Micros = 60_000_000;

/// The reason why a response of discovery is rejected.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum DiscoveryError {
    /// The head or the chunked encoding of the response is malformed.
    #[error(transparent)]
    MalformedResponse(#[from] HttpError),
    /// The body of a watch is not a sequence of JSON objects.
    #[error(transparent)]
    MalformedStream(#[from] JsonStreamError),
    /// An update of a watch is not valid JSON.
    #[error("an update of the watch is not valid JSON")]
    UpdateNotJson,
    /// The body of a poll is not valid JSON.
    #[error("the endpoint list is not valid JSON")]
    ListNotJson,
    /// The body is longer than [`MAX_ENDPOINT_LIST_BYTES`].
    #[error("the body is longer than {MAX_ENDPOINT_LIST_BYTES} bytes")]
    ListTooLong,
    /// An update of a watch does not state whether it lists all endpoints.
    #[error("'complete' is missing or not a boolean")]
    CompleteMissing,
    /// The revision is missing or not an unsigned integer.
    #[error("'revision' is missing or not an unsigned integer")]
    RevisionInvalid,
    /// The endpoints are missing or not an array.
    #[error("'members' is missing or not an array")]
    MembersInvalid,
    /// A full list contains an endpoint twice.
    #[error("two entries of 'members' have the same 'id'")]
    DuplicateId,
}

/// Why a request to discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum RequestFailure {
    /// The connection was never established.
    #[error("connection not established")]
    NotConnected,
    /// The connection ended before a complete response, or the response of a watch ended.
    #[error("connection ended")]
    ConnectionEnded,
    /// Discovery responded with this status, which is not 200: it is unavailable or overloaded.
    #[error("status {0}")]
    Unavailable(u16),
    /// The response is malformed or invalid.
    #[error("invalid response")]
    InvalidResponse,
    /// No complete message arrived in time.
    #[error("timed out")]
    TimedOut,
}

/// The kind of a request to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    /// A request for the full endpoint list.
    Poll,
    /// A request for a stream of endpoint updates, which lasts as long as the connection.
    Watch,
}

/// Whether a body was received in full.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyProgress {
    /// More bytes are expected.
    Incomplete,
    /// The body was received in full.
    Complete,
}

impl BodyProgress {
    fn from_complete(complete: bool) -> BodyProgress {
        if complete { BodyProgress::Complete } else { BodyProgress::Incomplete }
    }
}

/// The result of reading bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseRead {
    /// The number of bytes that were consumed.
    pub consumed: usize,
    /// Whether the body was received in full.
    pub progress: BodyProgress,
}

/// An endpoint update from a watch.
#[derive(Debug)]
pub struct WatchUpdate {
    /// The revision of the endpoint list after the update.
    pub revision: u64,
    /// The entries of the update.
    pub list: EndpointList,
}

/// A full endpoint list or an incremental update, as JSON in the format of discovery.
#[derive(Debug)]
pub struct EndpointList {
    /// The kind of the endpoint update.
    pub update: EndpointUpdate,
    /// The JSON object with the revision and the entries; null in an empty update.
    pub json: Json,
}

/// A message in the body of a watch.
#[derive(Debug)]
pub enum WatchMessage {
    /// A blank line, which shows that discovery and the connection work.
    Heartbeat,
    /// The JSON text of an update.
    Update(Vec<u8>),
}

/// The state of a request to discovery and of its response.
#[derive(Debug)]
pub struct DiscoveryRequest {
    /// The kind of the request.
    pub kind: RequestKind,
    /// The time at which the request was made.
    started_at: Micros,
    /// Whether the connection was established.
    is_established: bool,
    /// The status of the response; `None` until its head was received.
    status: Option<u16>,
    /// The time from the `Date` header until [`DiscoveryRequest::take_date`] removes it.
    date: Option<Micros>,
    /// The framing of the body; `None` until the head of a successful response was received.
    framing: Option<BodyFraming>,
    chunks: ChunkedDecoder,
    /// The number of bytes read of a body of known length.
    body_read: usize,
    /// The received part of the body of a poll.
    body: Vec<u8>,
    /// The unread messages of a watch, the last of which may be incomplete.
    objects: JsonStream,
    /// The time since which an object of a watch is incomplete; `None` if none is.
    partial_object_since: Option<Micros>,
    progress: BodyProgress,
    /// Whether a message of the watch was received.
    message_received: bool,
    /// The time of the last message of a watch; the time of the request before the first one.
    last_message_at: Micros,
    /// The time at which the response last progressed: by a message of a watch, or by a byte of an endpoint list that is
    /// no white space. The time of the request before that.
    last_progress_at: Micros,
    /// Whether such a byte was received since the last call of [`DiscoveryRequest::record_progress`].
    has_progressed: bool,
    /// The revision of the last update; 0 before the first one.
    revision: u64,
}

impl DiscoveryRequest {
    /// Creates the state of a request that is made at `now`.
    pub fn new(kind: RequestKind, now: Micros) -> DiscoveryRequest {
        DiscoveryRequest {
            kind,
            started_at: now,
            is_established: false,
            status: None,
            date: None,
            framing: None,
            chunks: ChunkedDecoder::new(MAX_ENDPOINT_LIST_BYTES),
            body_read: 0,
            body: Vec::new(),
            objects: JsonStream::default(),
            partial_object_since: None,
            progress: BodyProgress::Incomplete,
            message_received: false,
            last_message_at: now,
            last_progress_at: now,
            has_progressed: false,
            revision: 0,
        }
    }

    /// Parses further bytes of the response. Returns how many were consumed and whether the body is complete.
    pub fn read(&mut self, bytes: &[u8]) -> Result<ResponseRead, DiscoveryError> {
        let mut consumed = 0;
        if self.framing.is_none() {
            let Some(head) = http::parse_response_head(bytes)? else {
                return Ok(ResponseRead { consumed: 0, progress: BodyProgress::Incomplete });
            };
            self.status = Some(head.status);
            // Discovery is unavailable or overloaded. The body is discarded, and the request fails because `framing`
            // remains `None`.
            if head.status != 200 {
                return Ok(ResponseRead { consumed: bytes.len(), progress: BodyProgress::Complete });
            }
            consumed = head.length;
            self.date = head.date;
            self.framing = Some(head.framing);
        }
        let body = self.read_body(&bytes[consumed..])?;
        if self.body.len() > MAX_ENDPOINT_LIST_BYTES {
            return Err(DiscoveryError::ListTooLong);
        }
        Ok(ResponseRead { consumed: consumed + body.consumed, progress: body.progress })
    }

    /// Records that the connection is established.
    pub fn set_established(&mut self) {
        self.is_established = true;
    }

    /// Returns the time at which the request was made.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }

    /// Returns why the request has failed if its connection or its response has ended.
    pub fn failure_at_end(&self) -> RequestFailure {
        match self.status {
            Some(status) if self.framing.is_none() => RequestFailure::Unavailable(status),
            _ if self.is_established => RequestFailure::ConnectionEnded,
            _ => RequestFailure::NotConnected,
        }
    }

    /// Removes and returns the time from the `Date` header of the response.
    pub fn take_date(&mut self) -> Option<Micros> {
        self.date.take()
    }

    fn read_body(&mut self, bytes: &[u8]) -> Result<ResponseRead, DiscoveryError> {
        match self.framing {
            Some(BodyFraming::Chunked) => {
                let (kind, body, objects) = (self.kind, &mut self.body, &mut self.objects);
                let has_progressed = &mut self.has_progressed;
                let mut append = |data: &[u8]| {
                    *has_progressed |= !data.trim_ascii().is_empty();
                    append_body(kind, body, objects, data);
                };
                let decoded = self.chunks.decode(bytes, &mut append)?;
                Ok(ResponseRead {
                    consumed: decoded.consumed,
                    progress: BodyProgress::from_complete(decoded.complete),
                })
            }
            Some(BodyFraming::Length(length)) if length > MAX_ENDPOINT_LIST_BYTES => {
                Err(DiscoveryError::ListTooLong)
            }
            Some(BodyFraming::Length(length)) => {
                let data = &bytes[..bytes.len().min(length - self.body_read)];
                self.append_body(data);
                self.body_read += data.len();
                let progress = BodyProgress::from_complete(self.body_read == length);
                Ok(ResponseRead { consumed: bytes.len(), progress })
            }
            Some(BodyFraming::UntilClose) | None => {
                self.append_body(bytes);
                Ok(ResponseRead { consumed: bytes.len(), progress: BodyProgress::Incomplete })
            }
        }
    }

    fn append_body(&mut self, data: &[u8]) {
        self.has_progressed |= !data.trim_ascii().is_empty();
        append_body(self.kind, &mut self.body, &mut self.objects, data);
    }

    /// Removes and returns the next message of a watch; `None` if none is complete.
    pub fn next_message(&mut self) -> Result<Option<WatchMessage>, DiscoveryError> {
        let item = self.objects.next_item()?;
        Ok(match item {
            JsonStreamItem::Incomplete => None,
            JsonStreamItem::BlankLine => Some(WatchMessage::Heartbeat),
            JsonStreamItem::Object(text) => Some(WatchMessage::Update(text)),
        })
    }

    /// Records the arrival of a message of a watch. Returns whether it is the first one.
    pub fn record_message(&mut self, now: Micros) -> bool {
        self.last_message_at = now;
        self.last_progress_at = now;
        self.partial_object_since = None;
        !std::mem::replace(&mut self.message_received, true)
    }

    /// Returns the revision of the last update of a watch; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Sets the revision of the last update of a watch.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Records the progress after received bytes were parsed. White space does not count: after a truncated object,
    /// heartbeats would follow inside it.
    pub fn record_progress(&mut self, now: Micros, progress: BodyProgress) {
        self.progress = progress;
        if std::mem::take(&mut self.has_progressed) {
            self.last_progress_at = now;
        }
        self.partial_object_since =
            self.objects.is_inside_object().then_some(self.partial_object_since.unwrap_or(now));
    }

    /// Returns the time at which the request times out.
    pub fn deadline(&self) -> Micros {
        (self.last_progress_at + SILENCE_TIMEOUT).min(self.last_message_at + MAX_MESSAGE_TIME)
    }

    /// Returns the time of the last message of a watch; the time of the request before the first one.
    pub fn last_message_at(&self) -> Micros {
        self.last_message_at
    }

    /// Returns the time since which an object of a watch is incomplete; `None` if none is.
    pub fn partial_object_since(&self) -> Option<Micros> {
        self.partial_object_since
    }

    /// Returns the time since which the incomplete update of a watch is awaited: that of the request if the update is the
    /// first message, otherwise that of its first byte.
    pub fn update_awaited_since(&self) -> Micros {
        match self.partial_object_since {
            Some(since) if self.message_received => since,
            _ => self.started_at,
        }
    }

    /// Returns an update of a watch that was received in part, up to its last complete entry and with its brackets
    /// closed; `None` if it has no complete entry.
    pub fn partial_object(&self) -> Option<Vec<u8>> {
        self.objects.partial_object()
    }

    /// Returns the number of bytes of an update that was received in part, up to its last complete entry; 0 if it has
    /// none.
    pub fn partial_object_length(&self) -> usize {
        self.objects.partial_object_length()
    }

    /// Handles an orderly close by discovery, which completes a body without a length.
    pub fn closed_by_peer(&mut self) {
        if self.framing == Some(BodyFraming::UntilClose) {
            self.progress = BodyProgress::Complete;
        }
    }

    /// Returns the endpoint list of a poll; `None` if the response is incomplete or unsuccessful, or the request is a
    /// watch. A body without a length is complete only after an orderly close, and not after a reset, so that no
    /// truncated list is used.
    pub fn polled_list(&self) -> Option<Result<EndpointList, DiscoveryError>> {
        let complete = self.kind == RequestKind::Poll
            && self.progress == BodyProgress::Complete
            && self.framing.is_some();
        complete.then(|| {
            let json: Json = serde_json::from_slice(&self.body).map_err(|_| DiscoveryError::ListNotJson)?;
            checked_revision(&json, EndpointUpdate::Full)?;
            Ok(EndpointList { update: EndpointUpdate::Full, json })
        })
    }
}

/// Parses an update from a watch.
pub fn parse_update(text: &[u8]) -> Result<WatchUpdate, DiscoveryError> {
    let json: Json = serde_json::from_slice(text).map_err(|_| DiscoveryError::UpdateNotJson)?;
    let complete = json["complete"].as_bool().ok_or(DiscoveryError::CompleteMissing)?;
    let update = if complete { EndpointUpdate::Full } else { EndpointUpdate::Incremental };
    let revision = checked_revision(&json, update)?;
    Ok(WatchUpdate { revision, list: EndpointList { update, json } })
}

fn append_body(kind: RequestKind, body: &mut Vec<u8>, objects: &mut JsonStream, data: &[u8]) {
    match kind {
        RequestKind::Watch => objects.push(data),
        RequestKind::Poll => body.extend_from_slice(data),
    }
}

/// Returns the revision of an endpoint list after checking its structure. Entries are validated when they are stored.
/// An incremental update may list an endpoint twice, a full list may not.
fn checked_revision(list: &Json, update: EndpointUpdate) -> Result<u64, DiscoveryError> {
    let revision = list["revision"].as_u64().ok_or(DiscoveryError::RevisionInvalid)?;
    let members = list["members"].as_array().ok_or(DiscoveryError::MembersInvalid)?;
    let mut ids: Vec<&str> = members.iter().filter_map(|member| member["id"].as_str()).collect();
    ids.sort_unstable();
    let duplicate = ids.windows(2).any(|pair| pair[0] == pair[1]);
    if update == EndpointUpdate::Full && duplicate {
        return Err(DiscoveryError::DuplicateId);
    }
    Ok(revision)
}
