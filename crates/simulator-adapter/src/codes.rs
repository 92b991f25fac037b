//! The codes of the simulator's protocol and what they stand for.

use balancer::{AttemptOutcome, EndpointUpdate};

/// How an attempt or a health check ended.
pub fn attempt_outcome(code: &str) -> Option<AttemptOutcome> {
    Some(match code {
        "Ok" => AttemptOutcome::Succeeded,
        "Failed" => AttemptOutcome::ServerError,
        "QueueFull" => AttemptOutcome::Rejected,
        "TimedOut" => AttemptOutcome::TimedOut,
        "ConnectError" => AttemptOutcome::ConnectFailed,
        "ResetByPeer" => AttemptOutcome::ConnectionLost,
        "Canceled" => AttemptOutcome::Cancelled,
        "Ignored" => AttemptOutcome::NotSent,
        _ => return None,
    })
}

/// What an endpoint update contains.
pub fn endpoint_update(code: &str) -> Option<EndpointUpdate> {
    Some(match code {
        "diff" => EndpointUpdate::Incremental,
        "snapshot" => EndpointUpdate::Full,
        "disk" => EndpointUpdate::Cached,
        "error" => EndpointUpdate::Failed,
        _ => return None,
    })
}
