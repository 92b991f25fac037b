//! The simulator wire's codes, and ours.

use balancer::{Listing, Outcome};

pub fn outcome(code: &str) -> Option<Outcome> {
    Some(match code {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Error,
        "QueueFull" => Outcome::Full,
        "TimedOut" => Outcome::Overdue,
        "ConnectError" => Outcome::Unreachable,
        "ResetByPeer" => Outcome::Broken,
        "Canceled" => Outcome::Withdrawn,
        "Ignored" => Outcome::Unsent,
        _ => return None,
    })
}

pub fn listing(code: &str) -> Option<Listing> {
    Some(match code {
        "diff" => Listing::Changes,
        "snapshot" => Listing::Whole,
        "disk" => Listing::Disk,
        "error" => Listing::Failed,
        _ => return None,
    })
}
