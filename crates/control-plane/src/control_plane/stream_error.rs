//! Why the control plane ends a stream.

use crate::session::RequestError;
use tonic::Code;

/// The longest id of a proxy, in bytes.
pub(super) const MAX_NODE_ID_LENGTH: usize = 256;

/// The reason for which a stream is ended. Its text is the message of the stream's gRPC status.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The limit on streams is reached.
    #[error("too many streams are open")]
    TooManyStreams,
    /// The limit on proxies is reached.
    #[error("too many proxies")]
    TooManyProxies,
    /// The first message does not say which proxy sends it.
    #[error("node.id: the first message names none")]
    MissingNodeId,
    /// The proxy's id is too long.
    #[error("node.id: {length} bytes, more than {MAX_NODE_ID_LENGTH}")]
    NodeIdTooLong {
        /// Its length in bytes.
        length: usize,
    },
    /// The connection's certificate does not name the proxy's id.
    #[error("node.id: the certificate does not name it")]
    UnauthorizedNodeId,
    /// The proxy opened another discovery stream.
    #[error("a newer stream of the same proxy")]
    Replaced,
    /// The request names a resource type that is not served.
    #[error("type_url: '{type_url}' is not served")]
    UnknownResourceType {
        /// The start of the type URL, escaped.
        type_url: String,
    },
    /// The request cannot be served.
    #[error(transparent)]
    InvalidRequest(#[from] RequestError),
    /// The load report has too many entries.
    #[error("cluster_stats: more entries than data nodes can be")]
    TooManyLoadReportEntries,
    /// The proxy sent no message after opening the stream.
    #[error("nothing was said on it")]
    NoFirstMessage,
    /// The proxy did not answer a response in time.
    #[error("a response was not answered in time")]
    AcknowledgementTimeout,
}

impl StreamError {
    /// The code of the stream's gRPC status.
    pub fn code(&self) -> Code {
        match self {
            StreamError::TooManyStreams | StreamError::TooManyProxies => Code::ResourceExhausted,
            StreamError::MissingNodeId
            | StreamError::NodeIdTooLong { .. }
            | StreamError::UnknownResourceType { .. }
            | StreamError::InvalidRequest(_)
            | StreamError::TooManyLoadReportEntries => Code::InvalidArgument,
            StreamError::UnauthorizedNodeId => Code::PermissionDenied,
            StreamError::Replaced => Code::Aborted,
            StreamError::NoFirstMessage | StreamError::AcknowledgementTimeout => Code::DeadlineExceeded,
        }
    }
}
