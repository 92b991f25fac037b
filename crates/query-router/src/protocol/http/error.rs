//! Errors of HTTP messages.

/// An HTTP message is malformed, unsupported or too large. The error text is the body of the response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The start line or a header field is malformed.
    #[error("the head is malformed")]
    MalformedHead,
    /// The head exceeds [`MAX_HEAD_BYTES`](super::limits::MAX_HEAD_BYTES) or has too many fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// `Content-Length` is not a non-negative integer.
    #[error("Content-Length is not a whole number")]
    InvalidContentLength,
    /// `Transfer-Encoding` is not `chunked`.
    #[error("only the transfer encoding 'chunked' is known")]
    UnsupportedTransferEncoding,
    /// More than one field states the framing of the body.
    #[error("the body's length is stated twice")]
    ConflictingBodyLength,
    /// The size line or the end of a chunk, or the trailer, is malformed.
    #[error("the body's chunks are malformed")]
    MalformedChunks,
    /// A chunk size exceeds the limit of the decoder.
    #[error("a chunk is too long")]
    ChunkTooLong,
    /// The body exceeds [`MAX_BODY_BYTES`](super::limits::MAX_BODY_BYTES).
    #[error("the body is over 64 KiB")]
    BodyTooLarge,
}

impl HttpError {
    /// Returns the status code of the response to the client.
    pub fn status(self) -> u16 {
        match self {
            HttpError::MalformedHead
            | HttpError::InvalidContentLength
            | HttpError::ConflictingBodyLength
            | HttpError::MalformedChunks => 400,
            HttpError::ChunkTooLong | HttpError::BodyTooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::UnsupportedTransferEncoding => 501,
        }
    }
}
