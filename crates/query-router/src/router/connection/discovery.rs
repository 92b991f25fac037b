//! A request to discovery and its response, which is read piece by piece: one endpoint list, or a stream of updates.

use crate::protocol::http::{self, BodyFraming, ChunkedDecoder, HttpError};
use crate::protocol::json_stream::{JsonStream, JsonStreamError, JsonStreamItem, MAX_ENDPOINT_LIST_BYTES};
use balancer::{EndpointUpdate, Micros};
use serde_json::Value as Json;

/// The longest time after which discovery sends at least a blank line on a watch.
pub const HEARTBEAT_INTERVAL: Micros = 2_000_000;

/// Why a response of discovery cannot be used.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum DiscoveryError {
    /// The head of the response or its chunks are malformed.
    #[error(transparent)]
    MalformedResponse(#[from] HttpError),
    /// The stream of a watch is not a sequence of objects.
    #[error(transparent)]
    MalformedStream(#[from] JsonStreamError),
    /// An object of a watch is not JSON.
    #[error("an object is not JSON")]
    UpdateNotJson,
    /// The response to a poll is not JSON.
    #[error("the list is not JSON")]
    ListNotJson,
    /// The response is longer than any list.
    #[error("the list is too long")]
    ListTooLong,
    /// An object of a watch does not say whether it names all endpoints.
    #[error("'complete' is missing")]
    CompleteMissing,
    /// The revision is missing or no number.
    #[error("its revision is not a whole number")]
    RevisionInvalid,
    /// The endpoints are missing or no list.
    #[error("'members' is not a list")]
    MembersInvalid,
    /// A full list names an endpoint twice.
    #[error("an id stands in it twice")]
    DuplicateId,
}

/// The kind of a request to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestKind {
    /// The full endpoint list, once.
    Poll,
    /// Updates for as long as the connection lasts.
    Watch,
}

/// How far a body was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BodyProgress {
    /// More is expected.
    Incomplete,
    /// The body is complete.
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
    /// How many bytes were consumed.
    pub consumed: usize,
    /// How far the body was received.
    pub progress: BodyProgress,
}

/// An update that a watch has sent.
#[derive(Debug)]
pub struct WatchUpdate {
    /// The revision that it states.
    pub revision: u64,
    /// Its entries.
    pub list: EndpointList,
}

/// An endpoint list or an update of it, in discovery's form.
#[derive(Debug)]
pub struct EndpointList {
    /// What it contains.
    pub update: EndpointUpdate,
    /// Discovery's JSON.
    pub json: Json,
}

/// A message in the stream of a watch.
#[derive(Debug)]
pub enum WatchMessage {
    /// A blank line, which proves that discovery works.
    Heartbeat,
    /// The text of an update.
    Update(Vec<u8>),
}

/// A request to discovery.
#[derive(Debug)]
pub struct DiscoveryRequest {
    /// The kind of the request.
    pub kind: RequestKind,
    /// The time that the head states, until it is taken.
    date: Option<Micros>,
    /// How the body is framed, once the head is in.
    framing: Option<BodyFraming>,
    chunks: ChunkedDecoder,
    /// How much of a body of known length was read.
    body_read: usize,
    /// The received part of a poll's body.
    body: Vec<u8>,
    /// The received part of a watch's objects.
    objects: JsonStream,
    /// Since when an object of a watch is incomplete.
    partial_object_since: Option<Micros>,
    progress: BodyProgress,
    /// Whether a watch has sent a message.
    answered: bool,
    /// When it last sent one, or when the request was made.
    last_message_at: Micros,
    /// The revision of the last update.
    revision: u64,
}

impl DiscoveryRequest {
    /// A request made now.
    pub fn new(kind: RequestKind, now: Micros) -> DiscoveryRequest {
        DiscoveryRequest {
            kind,
            date: None,
            framing: None,
            chunks: ChunkedDecoder::new(MAX_ENDPOINT_LIST_BYTES),
            body_read: 0,
            body: Vec::new(),
            objects: JsonStream::default(),
            partial_object_since: None,
            progress: BodyProgress::Incomplete,
            answered: false,
            last_message_at: now,
            revision: 0,
        }
    }

    /// Reads further bytes. Returns how many were consumed and whether the body is complete.
    pub fn read(&mut self, bytes: &[u8]) -> Result<ResponseRead, DiscoveryError> {
        let mut consumed = 0;
        if self.framing.is_none() {
            let Some(head) = http::parse_response_head(bytes)? else {
                return Ok(ResponseRead { consumed: 0, progress: BodyProgress::Incomplete });
            };
            // Discovery is down or too busy: the body is of no use, and without framing the request has failed.
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

    /// Takes the time that discovery stated in the head of the response.
    pub fn take_date(&mut self) -> Option<Micros> {
        self.date.take()
    }

    fn read_body(&mut self, bytes: &[u8]) -> Result<ResponseRead, DiscoveryError> {
        match self.framing {
            Some(BodyFraming::Chunked) => {
                let (kind, body, objects) = (self.kind, &mut self.body, &mut self.objects);
                let mut store = |data: &[u8]| store(kind, body, objects, data);
                let decoded = self.chunks.decode(bytes, &mut store)?;
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
                store(self.kind, &mut self.body, &mut self.objects, data);
                self.body_read += data.len();
                let progress = BodyProgress::from_complete(self.body_read == length);
                Ok(ResponseRead { consumed: bytes.len(), progress })
            }
            Some(BodyFraming::UntilClose) | None => {
                store(self.kind, &mut self.body, &mut self.objects, bytes);
                Ok(ResponseRead { consumed: bytes.len(), progress: BodyProgress::Incomplete })
            }
        }
    }

    /// The next complete message of a watch.
    pub fn next_message(&mut self) -> Result<Option<WatchMessage>, DiscoveryError> {
        let item = self.objects.next_item()?;
        Ok(match item {
            JsonStreamItem::Incomplete => None,
            JsonStreamItem::BlankLine => Some(WatchMessage::Heartbeat),
            JsonStreamItem::Object(text) => Some(WatchMessage::Update(text)),
        })
    }

    /// Notes a message of a watch. Returns whether it is the first one.
    pub fn note_message(&mut self, now: Micros) -> bool {
        self.last_message_at = now;
        !std::mem::replace(&mut self.answered, true)
    }

    /// Whether a watch has sent a message.
    pub fn has_answered(&self) -> bool {
        self.answered
    }

    /// The revision of the last update of a watch.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes the revision of an update of a watch.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Notes how far the response was read. Returns since when the stream has made no progress.
    pub fn note_progress(&mut self, now: Micros, progress: BodyProgress) -> Micros {
        self.progress = progress;
        self.partial_object_since =
            self.objects.is_inside_object().then_some(self.partial_object_since.unwrap_or(now));
        self.partial_object_since.unwrap_or(self.last_message_at)
    }

    /// Notes that discovery has closed the connection in order, which completes a body without a stated length.
    pub fn closed_by_peer(&mut self) {
        if self.framing == Some(BodyFraming::UntilClose) {
            self.progress = BodyProgress::Complete;
        }
    }

    /// The endpoint list of a poll, `None` if the response was not complete. Guards against using a truncated list: a
    /// body without a length is complete only after an orderly close, and no body after a reset.
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

/// Parses an update that a watch has sent.
pub fn parse_update(text: &[u8]) -> Result<WatchUpdate, DiscoveryError> {
    let json: Json = serde_json::from_slice(text).map_err(|_| DiscoveryError::UpdateNotJson)?;
    let complete = json["complete"].as_bool().ok_or(DiscoveryError::CompleteMissing)?;
    let update = if complete { EndpointUpdate::Full } else { EndpointUpdate::Incremental };
    let revision = checked_revision(&json, update)?;
    Ok(WatchUpdate { revision, list: EndpointList { update, json } })
}

fn store(kind: RequestKind, body: &mut Vec<u8>, objects: &mut JsonStream, data: &[u8]) {
    match kind {
        RequestKind::Watch => objects.push(data),
        RequestKind::Poll => body.extend_from_slice(data),
    }
}

/// The revision of a list that can be used; its entries are checked one by one later. An incremental update may name
/// an endpoint twice, a full list may not.
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
