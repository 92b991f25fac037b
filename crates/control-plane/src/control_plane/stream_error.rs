//! Errors with which the control plane closes a stream.

use crate::load_reports::MAX_REPORT_ENTRIES;
use crate::session::RequestError;
use tonic::Code;

/// Maximum length of a proxy ID, in bytes.
pub(super) const MAX_NODE_ID_LENGTH: usize = 256;

/// Reason for which the control plane closes a stream. The text is sent as the message of the gRPC status.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// The limit on open streams is reached.
    #[error("too many streams are open; the limit is twice most_proxies in section [control]")]
    TooManyStreams,
    /// The limit on proxies is reached, and the proxy is not among those already registered.
    #[error("too many proxies; the limit is most_proxies in section [control]")]
    TooManyProxies,
    /// The first message has no `node.id`.
    #[error("node.id is missing in the first message")]
    MissingNodeId,
    /// The proxy's ID exceeds the maximum length.
    #[error("node.id has {length} bytes, at most {MAX_NODE_ID_LENGTH} are allowed")]
    NodeIdTooLong {
        /// Length of the ID in bytes.
        length: usize,
    },
    /// The client's certificate does not contain the proxy's ID.
    #[error("node.id is not among the names in the client certificate")]
    UnauthorizedNodeId,
    /// The proxy opened a newer discovery stream.
    #[error("replaced by a newer stream of the same proxy")]
    Replaced,
    /// The request has the type URL of an unsupported resource type.
    #[error("type_url: '{type_url}' is not a supported resource type")]
    UnknownResourceType {
        /// The type URL, truncated and escaped.
        type_url: String,
    },
    /// The request is invalid for the session.
    #[error(transparent)]
    InvalidRequest(#[from] RequestError),
    /// The load report has more entries than a report may have.
    #[error("cluster_stats has more than {MAX_REPORT_ENTRIES} endpoint entries")]
    TooManyLoadReportEntries,
    /// The proxy did not send the first message in time.
    #[error("no message was received on the stream in time")]
    NoFirstMessage,
    /// The proxy did not acknowledge or reject a response in time.
    #[error("a response was not answered in time")]
    AcknowledgementTimeout,
}

impl StreamError {
    /// Returns the code of the gRPC status with which the stream is closed.
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
