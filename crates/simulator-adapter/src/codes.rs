//! The names and codes of the simulator's protocol and what they stand for.

use balancer::{AttemptOutcome, EndpointUpdate};

/// A message from the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A batch of events of one instant begins.
    BatchStarted,
    /// The batch is complete and wants a reply.
    BatchEnded,
    /// An endpoint list begins; its entries follow.
    ListStarted,
    /// One entry of an endpoint list.
    ListEntry,
    /// A router starts.
    RouterStarted,
    /// A router stops.
    RouterStopped,
    /// Discovery sent a router an endpoint list, or failed to.
    EndpointsUpdated,
    /// Any other event at a router.
    Event(Event),
}

/// An event at a router that concerns no endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A query or one of its shard requests has arrived.
    RequestArrived,
    /// An attempt has ended.
    AttemptEnded,
    /// The response to an attempt has begun.
    ResponseStarted,
    /// The client of a query has disconnected.
    ClientDisconnected,
    /// A timer has expired.
    TimerExpired,
    /// A health check has ended.
    HealthCheckEnded,
    /// Another router sent a gossip message.
    GossipReceived,
}

/// The message of this name.
pub fn message(name: &str) -> Option<Message> {
    Some(match name {
        "TURN" => Message::BatchStarted,
        "EOB" => Message::BatchEnded,
        "DIRECTORY" => Message::ListStarted,
        "ITEM" => Message::ListEntry,
        "INIT" => Message::RouterStarted,
        "HALT" => Message::RouterStopped,
        "ROSTER_CHANGE" => Message::EndpointsUpdated,
        "ACCEPT" => Message::Event(Event::RequestArrived),
        "VERDICT" => Message::Event(Event::AttemptEnded),
        "STARTED" => Message::Event(Event::ResponseStarted),
        "CANCELLED_BY_CLIENT" => Message::Event(Event::ClientDisconnected),
        "TICK_DUE" => Message::Event(Event::TimerExpired),
        "STATUS_BACK" => Message::Event(Event::HealthCheckEnded),
        "DATAGRAM" => Message::Event(Event::GossipReceived),
        _ => return None,
    })
}

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
