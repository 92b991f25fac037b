//! Decoder of bodies with the transfer encoding `chunked`.

use super::error::HttpError;
use super::limits::{MAX_HEAD_BYTES, MAX_HEADERS};
use httparse::Status;

/// The element of the encoding that the decoder expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
    /// The size line of a chunk.
    Size,
    /// Data of a chunk, of which `remaining` bytes are not received yet.
    Data { remaining: u64 },
    /// The line end after the data of a chunk.
    DataEnd,
}

/// The progress of decoding a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkedProgress {
    /// The number of consumed input bytes.
    pub consumed: usize,
    /// Whether the body is complete.
    pub complete: bool,
}

/// Decodes a chunked body incrementally: data of a chunk is passed on before the chunk is complete.
#[derive(Debug)]
pub struct ChunkedDecoder {
    max_chunk_bytes: usize,
    state: ChunkState,
}

/// The outcome of one step of the decoder.
enum Step {
    /// This number of bytes was consumed; decoding may continue.
    Consumed(usize),
    /// The decoder needs more bytes.
    Incomplete,
    /// This number of bytes was consumed, and the body is complete.
    Complete(usize),
}

impl ChunkedDecoder {
    /// Creates a decoder that rejects a chunk of more than `max_chunk_bytes` as soon as its size line is received.
    pub fn new(max_chunk_bytes: usize) -> ChunkedDecoder {
        ChunkedDecoder { max_chunk_bytes, state: ChunkState::Size }
    }

    /// Decodes `bytes` as far as possible and passes the data to `on_data`. The next call must start with the bytes
    /// that were not consumed.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::MalformedChunks`] or [`HttpError::ChunkTooLong`].
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

    /// Decodes the size line of a chunk; if it is the last chunk, also the trailer.
    fn decode_size(&mut self, bytes: &[u8]) -> Result<Step, HttpError> {
        match httparse::parse_chunk_size(bytes) {
            Ok(Status::Complete((line_length, 0))) => decode_trailer(bytes, line_length),
            Ok(Status::Complete((_, size))) if size > self.max_chunk_bytes as u64 => {
                Err(HttpError::ChunkTooLong)
            }
            Ok(Status::Complete((line_length, size))) => {
                self.state = ChunkState::Data { remaining: size };
                Ok(Step::Consumed(line_length))
            }
            Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Ok(Step::Incomplete),
            _ => Err(HttpError::MalformedChunks),
        }
    }

    /// Passes the received part of the data of a chunk to `on_data`.
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

    /// Decodes the line end after the data of a chunk.
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

/// Decodes the trailer after the size line of the last chunk, which is `line_length` bytes long. The trailer fields are
/// ignored.
fn decode_trailer(bytes: &[u8], line_length: usize) -> Result<Step, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(&bytes[line_length..], &mut headers) {
        Ok(Status::Complete((trailer_length, _))) => Ok(Step::Complete(line_length + trailer_length)),
        Ok(Status::Partial) if bytes.len() < MAX_HEAD_BYTES => Ok(Step::Incomplete),
        _ => Err(HttpError::MalformedChunks),
    }
}
