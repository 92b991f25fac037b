//! Bodies in chunks.

use super::error::HttpError;
use super::limits::{MAX_HEAD_BYTES, MAX_HEADERS};
use httparse::Status;

/// What the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// The line with a chunk's size.
    Size,
    /// Data of a chunk, of which `remaining` bytes are still to come.
    Data { remaining: u64 },
    /// The line end behind a chunk's data.
    DataEnd,
}

/// How far a body was decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkedProgress {
    /// How many of the given bytes were consumed.
    pub consumed: usize,
    /// Whether the body is complete.
    pub complete: bool,
}

/// Decodes a chunked body piece by piece: data of a chunk is passed on before the chunk is complete.
#[derive(Debug)]
pub struct ChunkedDecoder {
    max_chunk_bytes: usize,
    state: ChunkState,
}

/// The outcome of one step of the decoder.
enum Step {
    /// It consumed this number of bytes and may go on.
    Consumed(usize),
    /// It needs more bytes.
    Incomplete,
    /// It consumed this number of bytes, and the body is complete.
    Complete(usize),
}

impl ChunkedDecoder {
    /// A decoder that rejects chunks of over `max_chunk_bytes` as soon as their size is known.
    pub fn new(max_chunk_bytes: usize) -> ChunkedDecoder {
        ChunkedDecoder { max_chunk_bytes, state: ChunkState::Size }
    }

    /// Decodes `bytes` as far as possible and passes the data to `on_data`. Bytes that were not consumed must
    /// be given again, with those that follow.
    ///
    /// # Errors
    ///
    /// [`HttpError::MalformedChunks`] or [`HttpError::ChunkTooLong`].
    pub fn decode(
        &mut self, bytes: &[u8], on_data: &mut dyn FnMut(&[u8]),
    ) -> Result<ChunkedProgress, HttpError> {
        let mut consumed = 0;
        loop {
            let rest = &bytes[consumed..];
            let step = match self.state {
                ChunkState::Size => self.decode_size(rest)?,
                ChunkState::Data { remaining } => self.decode_data(rest, remaining, on_data),
                ChunkState::DataEnd => self.decode_data_end(rest)?,
            };
            match step {
                Step::Consumed(count) => consumed += count,
                Step::Incomplete => return Ok(ChunkedProgress { consumed, complete: false }),
                Step::Complete(count) => {
                    return Ok(ChunkedProgress { consumed: consumed + count, complete: true });
                }
            }
        }
    }

    /// Decodes the line with a chunk's size, and behind the last one the trailer.
    fn decode_size(&mut self, bytes: &[u8]) -> Result<Step, HttpError> {
        match httparse::parse_chunk_size(bytes) {
            Ok(Status::Complete((line, 0))) => decode_trailer(bytes, line),
            Ok(Status::Complete((_, size))) if size > self.max_chunk_bytes as u64 => {
                Err(HttpError::ChunkTooLong)
            }
            Ok(Status::Complete((line, size))) => {
                self.state = ChunkState::Data { remaining: size };
                Ok(Step::Consumed(line))
            }
            Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Ok(Step::Incomplete),
            _ => Err(HttpError::MalformedChunks),
        }
    }

    /// Passes on the received part of a chunk's data.
    fn decode_data(&mut self, bytes: &[u8], remaining: u64, on_data: &mut dyn FnMut(&[u8])) -> Step {
        if remaining == 0 {
            self.state = ChunkState::DataEnd;
            return Step::Consumed(0);
        }
        if bytes.is_empty() {
            return Step::Incomplete;
        }
        let data = &bytes[..bytes.len().min(remaining as usize)];
        on_data(data);
        self.state = ChunkState::Data { remaining: remaining - data.len() as u64 };
        Step::Consumed(data.len())
    }

    /// Decodes the line end behind a chunk's data.
    fn decode_data_end(&mut self, bytes: &[u8]) -> Result<Step, HttpError> {
        match bytes.get(..2) {
            None => Ok(Step::Incomplete),
            Some(b"\r\n") => {
                self.state = ChunkState::Size;
                Ok(Step::Consumed(2))
            }
            Some(_) => Err(HttpError::MalformedChunks),
        }
    }
}

/// Reads the trailer behind the last chunk's size line, which takes `line` bytes. Its fields are ignored.
fn decode_trailer(bytes: &[u8], line: usize) -> Result<Step, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&bytes[line..], &mut headers) {
        Ok(Status::Complete((trailer, _))) => Ok(Step::Complete(line + trailer)),
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Ok(Step::Incomplete),
        _ => Err(HttpError::MalformedChunks),
    }
}
