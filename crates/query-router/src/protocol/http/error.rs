//! What can be wrong with an HTTP message.

/// Why an HTTP message cannot be used. Its text is the body of the response that the client gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The start line or a header field does not follow the syntax.
    #[error("the head is malformed")]
    MalformedHead,
    /// The head is over [`MAX_HEAD_BYTES`](super::limits::MAX_HEAD_BYTES) or has too many fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// `Content-Length` is not a number of bytes.
    #[error("Content-Length is not a whole number")]
    InvalidContentLength,
    /// `Transfer-Encoding` is not `chunked`.
    #[error("only the transfer encoding 'chunked' is known")]
    UnsupportedTransferEncoding,
    /// More than one field states how the body ends.
    #[error("the body's length is stated twice")]
    ConflictingBodyLength,
    /// A chunk's size line, its end or the trailer does not follow the syntax.
    #[error("the body's chunks are malformed")]
    MalformedChunks,
    /// A chunk states more bytes than are allowed.
    #[error("a chunk is too long")]
    ChunkTooLong,
    /// The body is over [`MAX_BODY_BYTES`](super::limits::MAX_BODY_BYTES).
    #[error("the body is over 64 KiB")]
    BodyTooLarge,
}

impl HttpError {
    /// The status code of the response to a client.
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
