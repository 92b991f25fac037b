//! Frames between the router and data nodes: a length of four bytes, a letter that tells the kind, and a
//! payload.

#[cfg(test)]
mod tests;

use balancer::AttemptOutcome;

/// The most bytes of the line in front of a value.
const MAX_LINE_BYTES: usize = 1024;
/// The most bytes of a frame: a line and the protocol's limit on a body.
const MAX_FRAME_BYTES: usize = 64 * 1024 + MAX_LINE_BYTES;
/// The bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// What a frame is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// `R`, to a node: the shard requests of a batch.
    Batch,
    /// `A`, to a node: the id of a shard request whose response is not wanted any more.
    Cancel,
    /// `G`: a health check, and its answer.
    Health,
    /// `T`: a request for a load report, and its answer.
    Load,
    /// `Y`, from a node: the response to one shard request.
    Response,
    /// `N`, from a node: it cannot parse a frame and is about to close the connection.
    NotUnderstood,
}

impl FrameKind {
    /// The letter of the kind on the wire.
    pub const fn letter(self) -> u8 {
        match self {
            FrameKind::Batch => b'R',
            FrameKind::Cancel => b'A',
            FrameKind::Health => b'G',
            FrameKind::Load => b'T',
            FrameKind::Response => b'Y',
            FrameKind::NotUnderstood => b'N',
        }
    }

    /// The kind of a frame that a node sends.
    fn from_node(letter: u8) -> Result<FrameKind, FrameError> {
        match letter {
            b'Y' => Ok(FrameKind::Response),
            b'G' => Ok(FrameKind::Health),
            b'T' => Ok(FrameKind::Load),
            b'N' => Ok(FrameKind::NotUnderstood),
            _ => Err(FrameError::UnknownKind(letter)),
        }
    }
}

/// A frame that a node sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What the frame is.
    pub kind: FrameKind,
    /// What follows the letter.
    pub payload: &'a [u8],
    /// How many bytes of the connection the frame takes.
    pub encoded_length: usize,
}

/// Why bytes of a node cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The stated length in bytes is 0 or over the limit.
    #[error("a frame states a length of {0} bytes")]
    InvalidLength(usize),
    /// The letter is none that a node sends.
    #[error("a frame is of the unknown kind {0:#04x}")]
    UnknownKind(u8),
    /// The line of a response does not end within the limit.
    #[error("the line of a response is over {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// A part of a response is missing or malformed.
    #[error("the {0} of a response is missing or malformed")]
    InvalidResponse(ResponsePart),
}

/// The parts of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// The line in front of the value.
    Line,
    /// The id of the shard request.
    Id,
    /// The outcome of the attempt.
    Status,
    /// The score, a number behind the status.
    Score,
    /// The load report.
    LoadReport,
    /// The value.
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

/// The frame at the start of `bytes`, or `None` until it is complete.
///
/// # Errors
///
/// A [`FrameError`] as soon as it is known that the frame can never be used. Guards against waiting for the
/// rest of a frame with an unknown letter or an endless line.
pub fn parse(bytes: &[u8]) -> Result<Option<Frame<'_>>, FrameError> {
    let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_be_bytes(*length) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return Err(FrameError::InvalidLength(length));
    }
    let Some(&letter) = rest.first() else { return Ok(None) };
    let kind = FrameKind::from_node(letter)?;
    let received = &rest[..rest.len().min(length)];
    if kind == FrameKind::Response && has_endless_line(received) {
        return Err(FrameError::LineTooLong);
    }
    let Some(payload) = rest.get(1..length) else { return Ok(None) };
    Ok(Some(Frame { kind, payload, encoded_length: LENGTH_BYTES + length }))
}

/// Whether the line of a response is known to be over the limit.
fn has_endless_line(received: &[u8]) -> bool {
    received.len() > MAX_LINE_BYTES && !received[..MAX_LINE_BYTES].contains(&b'\n')
}

/// The five bytes in front of a payload of `payload_length` bytes: the length and the letter.
pub fn head(letter: u8, payload_length: usize) -> [u8; 5] {
    let mut head = [letter; LENGTH_BYTES + 1];
    head[..LENGTH_BYTES].copy_from_slice(&(payload_length as u32 + 1).to_be_bytes());
    head
}

/// The line in front of a shard request's text in a batch; `remaining_ms` is the time until its deadline.
pub fn shard_request_line(id: &str, shard: usize, remaining_ms: i64, text_length: usize) -> String {
    format!("{id} {shard} d={remaining_ms} {text_length}\n")
}

/// A node's response to one shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardResponse<'a> {
    /// The id of the shard request.
    pub id: &'a str,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The load report as sent. It is not checked here, since a response is usable without it.
    pub load_report: &'a [u8],
    /// The value, which is of use if the attempt succeeded.
    pub value: &'a str,
}

impl<'a> ShardResponse<'a> {
    /// Reads the payload of a [`FrameKind::Response`] frame.
    ///
    /// # Errors
    ///
    /// [`FrameError::InvalidResponse`] with the part that cannot be used. No value holds control characters:
    /// one that does has swallowed part of another frame, whose length begins with a zero.
    pub fn parse(payload: &'a [u8]) -> Result<ShardResponse<'a>, FrameError> {
        let invalid = FrameError::InvalidResponse;
        let line_end = payload.iter().position(|&byte| byte == b'\n').ok_or(invalid(ResponsePart::Line))?;
        let (line, value) = (&payload[..line_end], &payload[line_end + 1..]);
        let mut words = line.splitn(4, |&byte| byte == b' ');
        let id = words.next().and_then(as_text).ok_or(invalid(ResponsePart::Id))?;
        let outcome = words.next().and_then(outcome_of_status).ok_or(invalid(ResponsePart::Status))?;
        let score: Option<f64> = words.next().and_then(as_text).and_then(|score| score.parse().ok());
        score.ok_or(invalid(ResponsePart::Score))?;
        let load_report = words.next().ok_or(invalid(ResponsePart::LoadReport))?;
        let value = as_text(value).filter(|value| !value.contains(char::is_control));
        let value = value.ok_or(invalid(ResponsePart::Value))?;
        Ok(ShardResponse { id, outcome, load_report, value })
    }
}

fn as_text(bytes: &[u8]) -> Option<&str> {
    std::str::from_utf8(bytes).ok()
}

/// The outcome that a node states.
fn outcome_of_status(status: &[u8]) -> Option<AttemptOutcome> {
    match status {
        b"OK" => Some(AttemptOutcome::Succeeded),
        b"ERROR" => Some(AttemptOutcome::ServerError),
        b"REJECTED" => Some(AttemptOutcome::Rejected),
        _ => None,
    }
}
