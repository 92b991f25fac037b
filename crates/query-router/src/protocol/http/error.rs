//! Errors of HTTP messages.

/// An HTTP message is malformed, unsupported or too large. For a request, the error text is the body of the response to
/// the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The start line or a header field is malformed, or the head of a response is too large.
    #[error("the start line or a header field is malformed")]
    MalformedHead,
    /// The head exceeds [`MAX_HEAD_BYTES`](super::limits::MAX_HEAD_BYTES) or has too many fields.
    #[error("the head exceeds 16 KiB or 64 header fields")]
    HeadTooLarge,
    /// `Content-Length` is not a decimal number without a sign.
    #[error("Content-Length must be a decimal number without a sign")]
    InvalidContentLength,
    /// `Transfer-Encoding` is not `chunked`.
    #[error("unsupported Transfer-Encoding; expected 'chunked'")]
    UnsupportedTransferEncoding,
    /// More than one field states the framing of the body.
    #[error("more than one Content-Length or Transfer-Encoding header")]
    ConflictingBodyLength,
    /// The size line or the end of a chunk, or the trailer, is malformed or too long.
    #[error("the chunked encoding of the body is malformed")]
    MalformedChunks,
    /// A chunk size exceeds the limit of the decoder.
    #[error("a chunk of the body is too large")]
    ChunkTooLong,
    /// The body of a request exceeds [`MAX_BODY_BYTES`](super::limits::MAX_BODY_BYTES), or a request with a chunked
    /// body is not complete within [`MAX_REQUEST_BYTES`](super::limits::MAX_REQUEST_BYTES).
    #[error("the body exceeds 64 KiB, or the encoded request 144 KiB")]
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
