//! The simulator wire's codes, and ours.

use balancer::{AttemptOutcome, EndpointUpdate};

pub fn outcome(code: &str) -> Option<AttemptOutcome> {
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

pub fn listing(code: &str) -> Option<EndpointUpdate> {
    Some(match code {
        "diff" => EndpointUpdate::Incremental,
        "snapshot" => EndpointUpdate::Full,
        "disk" => EndpointUpdate::Cached,
        "error" => EndpointUpdate::Failed,
        _ => return None,
    })
}
