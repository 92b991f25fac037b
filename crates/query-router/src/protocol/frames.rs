//! Frames between the router and data nodes: a length of four bytes in network byte order, a letter that identifies the
//! kind, and a payload. The length covers the letter and the payload.

#[cfg(test)]
mod tests;

use super::response_body::has_ascii_control;
use balancer::AttemptOutcome;

/// Maximum length in bytes of the line before the value in a response.
const MAX_LINE_BYTES: usize = 1024;
/// Maximum value of a frame's length: a line, and a value of the maximum body size of the protocol.
const MAX_FRAME_BYTES: usize = 64 * 1024 + MAX_LINE_BYTES;
/// Size in bytes of the length field.
const LENGTH_BYTES: usize = 4;
/// Maximum size in bytes of a character in UTF-8.
const MAX_UTF8_BYTES: usize = 4;

/// The kind of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// `R`, to a node: the shard requests of a batch.
    Batch,
    /// `A`, to a node: cancels the shard request with the id in the payload.
    Cancel,
    /// `G`, in both directions: a health check and its response.
    Health,
    /// `T`, in both directions: a request for a load report and its response.
    Load,
    /// `Y`, from a node: the response to one shard request.
    Response,
    /// `N`, from a node: the node could not parse a frame and is about to close the connection.
    ProtocolError,
}

impl FrameKind {
    /// Returns the letter that identifies the kind on the wire.
    pub const fn letter(self) -> u8 {
        match self {
            FrameKind::Batch => b'R',
            FrameKind::Cancel => b'A',
            FrameKind::Health => b'G',
            FrameKind::Load => b'T',
            FrameKind::Response => b'Y',
            FrameKind::ProtocolError => b'N',
        }
    }

    /// Returns the kind of a frame received from a node.
    fn from_node(letter: u8) -> Result<FrameKind, FrameError> {
        match letter {
            b'Y' => Ok(FrameKind::Response),
            b'G' => Ok(FrameKind::Health),
            b'T' => Ok(FrameKind::Load),
            b'N' => Ok(FrameKind::ProtocolError),
            _ => Err(FrameError::UnknownKind(letter)),
        }
    }
}

/// What the bytes after a frame tell about its end. The text of a response or a load report has no length of its own: it
/// extends to the end of its frame, so only the next byte shows whether the stated length of the frame is too small.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameEnd {
    /// No byte was received after the frame.
    Unknown,
    /// The next byte cannot belong to the text of the frame: it begins another frame or is noise.
    Confirmed,
    /// The next byte may belong to the text of the frame.
    Ambiguous,
}

impl FrameEnd {
    /// Classifies the end of a frame by the bytes that were received after it.
    pub fn from_following(following: &[u8]) -> FrameEnd {
        if following.is_empty() {
            return FrameEnd::Unknown;
        }
        let start = &following[..following.len().min(MAX_UTF8_BYTES)];
        let valid = match std::str::from_utf8(start) {
            Ok(text) => text,
            // The first character is received in part.
            Err(error) if error.valid_up_to() == 0 && error.error_len().is_none() => {
                return FrameEnd::Ambiguous;
            }
            Err(error) => as_utf8(&start[..error.valid_up_to()]).unwrap_or_default(),
        };
        if valid.starts_with(is_text) { FrameEnd::Ambiguous } else { FrameEnd::Confirmed }
    }
}

/// A frame received from a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The kind of the frame.
    pub kind: FrameKind,
    /// The bytes after the letter.
    pub payload: &'a [u8],
    /// The length of the encoded frame in bytes, including its length field.
    pub encoded_length: usize,
}

/// A frame or response received from a node is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length field is 0 or exceeds the limit.
    #[error("frame length is {0}; expected 1 to {MAX_FRAME_BYTES} bytes")]
    InvalidLength(usize),
    /// The letter does not identify a kind of frame that nodes send.
    #[error("unknown frame kind {0:#04x}")]
    UnknownKind(u8),
    /// The line of a response exceeds the limit.
    #[error("line of a response exceeds {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A part of a response is missing or malformed.
    #[error("{0} of a response is missing or malformed")]
    InvalidResponse(ResponsePart),
}

/// A part of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The line before the value, with the other parts.
    Line,
    /// The id of the shard request.
    Id,
    /// The status word, which states the outcome of the attempt.
    Status,
    /// The score, a number after the status.
    Score,
    /// The load report, which extends to the end of the line.
    LoadReport,
    /// The value, which follows the line.
    Value,
}

impl std::fmt::Display for ResponsePart {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str(match self {
            ResponsePart::Line => "line",
            ResponsePart::Id => "id",
            ResponsePart::Status => "status",
            ResponsePart::Score => "score",
            ResponsePart::LoadReport => "load report",
            ResponsePart::Value => "value",
        })
    }
}

/// Parses the frame at the start of `bytes`. Returns `None` if it is incomplete.
///
/// # Errors
///
/// Returns a [`FrameError`] as soon as the received bytes are known to be malformed, so that the router does not wait
/// for the rest of a frame with an unknown letter or a line that is too long.
pub fn parse(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else {
        return check_partial_length(bytes).map(|()| None);
    };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::InvalidLength(length));
    }
    let Some(&letter) = rest.first() else { return Ok(None) };
    let kind = FrameKind::from_node(letter)?;
    let received = &rest[..rest.len().min(length)];
    if kind == FrameKind::Response && exceeds_line_limit(received) {
        return Err(FrameError::LineTooLong);
    }
    let Some(payload) = rest.get(1..length) else { return Ok(None) };
    Ok(Some(Frame { kind, payload, encoded_length: LENGTH_BYTES + length }))
}

/// Checks the first bytes of a length field that is received in part.
fn check_partial_length(bytes: &[u8]) -> Result<(), FrameError> {
    let mut length = [0; LENGTH_BYTES];
    length[..bytes.len()].copy_from_slice(bytes);
    let smallest = u32::from_be_bytes(length) as usize;
    if smallest > MAX_FRAME_BYTES { Err(FrameError::InvalidLength(smallest)) } else { Ok(()) }
}

/// Returns whether the line of a partially received response exceeds the limit.
fn exceeds_line_limit(received: &[u8]) -> bool {
    received.len() > MAX_LINE_BYTES && !received[..MAX_LINE_BYTES].contains(&b'\n')
}

/// Encodes the length and the letter that precede a payload of `payload_length` bytes.
pub fn head(letter: u8, payload_length: usize) -> [u8; 5] {
    let mut head = [letter; LENGTH_BYTES + 1];
    head[..LENGTH_BYTES].copy_from_slice(&(payload_length as u32 + 1).to_be_bytes());
    head
}

/// Encodes the line before the text of a shard request in a batch. `remaining_ms` is the time in milliseconds until the
/// deadline of the shard request.
pub fn shard_request_line(id: &str, shard: usize, remaining_ms: i64, text_length: usize) -> String {
    format!("{id} {shard} d={remaining_ms} {text_length}\n")
}

/// The response of a node to one shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardResponse<'a> {
    /// The id of the shard request.
    pub id: &'a str,
    /// The outcome of the attempt.
    pub outcome: AttemptOutcome,
    /// The load report as received. It is not validated here, because a response is usable without it.
    pub load_report: &'a [u8],
    /// The value; meaningful only if the attempt succeeded.
    pub value: &'a str,
}

impl<'a> ShardResponse<'a> {
    /// Parses the payload of a [`FrameKind::Response`] frame.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::InvalidResponse`] with the first malformed part. A value with control characters is
    /// malformed: values contain none, but the length field of a frame starts with a zero byte, so such a value
    /// includes part of the next frame because the stated length is too great.
    pub fn parse(payload: &'a [u8]) -> Result<ShardResponse<'a>, FrameError> {
        let invalid = FrameError::InvalidResponse;
        let line_end = payload.iter().position(|&byte| byte == b'\n').ok_or(invalid(ResponsePart::Line))?;
        let (line, value) = (&payload[..line_end], &payload[line_end + 1..]);
        let mut words = line.splitn(4, |&byte| byte == b' ');
        let id = words.next().and_then(as_utf8).ok_or(invalid(ResponsePart::Id))?;
        let outcome = words.next().and_then(parse_status).ok_or(invalid(ResponsePart::Status))?;
        let score: Option<f64> = words.next().and_then(as_utf8).and_then(|score| score.parse().ok());
        score.ok_or(invalid(ResponsePart::Score))?;
        let load_report = words.next().ok_or(invalid(ResponsePart::LoadReport))?;
        let value = as_utf8(value).filter(|value| holds_only_text(value));
        let value = value.ok_or(invalid(ResponsePart::Value))?;
        Ok(ShardResponse { id, outcome, load_report, value })
    }
}

/// Returns whether a value may contain this character.
fn is_text(character: char) -> bool {
    !character.is_control()
}

/// Returns whether a value consists of characters that values may contain. Most values are ASCII, which is checked faster.
fn holds_only_text(value: &str) -> bool {
    !has_ascii_control(value) && (value.is_ascii() || value.chars().all(is_text))
}

fn as_utf8(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

/// Returns the outcome for the status word of a response; `None` if the word is unknown.
fn parse_status(status: &[u8]) -> Option<AttemptOutcome> {
    match status {
        b"OK" => Some(AttemptOutcome::Succeeded),
        b"ERROR" => Some(AttemptOutcome::ServerError),
        b"REJECTED" => Some(AttemptOutcome::Rejected),
        _ => None,
    }
}
