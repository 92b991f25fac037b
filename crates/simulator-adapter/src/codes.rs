//! Message names and codes of the simulator's protocol.

use balancer::{AttemptOutcome, EndpointUpdate};

/// A message from the simulator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// Starts a batch of events that happen at the same time.
    BatchStarted,
    /// Ends the batch; the adapter replies to it.
    BatchEnded,
    /// Starts an endpoint list; its entries follow.
    ListStarted,
    /// One entry of an endpoint list.
    ListEntry,
    /// Starts a router.
    RouterStarted,
    /// Stops a router.
    RouterStopped,
    /// Delivers an endpoint update, which may be a failed one, to a router.
    EndpointsUpdated,
    /// Reports any other event at a router.
    Event(Event),
}

/// An event at a router other than an endpoint update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A query or a shard request arrived.
    RequestArrived,
    /// An attempt ended.
    AttemptEnded,
    /// The response to an attempt started.
    ResponseStarted,
    /// The client of a query disconnected.
    ClientDisconnected,
    /// A timer expired.
    TimerExpired,
    /// A health check ended.
    HealthCheckEnded,
    /// A gossip message from another router arrived.
    GossipReceived,
}

/// Returns the message for a message name; `None` if the name is unknown.
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

/// Returns the outcome of an attempt or a health check for its code; `None` if the code is unknown.
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

/// Returns the kind of endpoint update for its code; `None` if the code is unknown.
pub fn endpoint_update(code: &str) -> Option<EndpointUpdate> {
    Some(match code {
        "diff" => EndpointUpdate::Incremental,
        "snapshot" => EndpointUpdate::Full,
        "disk" => EndpointUpdate::Cached,
        "error" => EndpointUpdate::Failed,
        _ => return None,
    })
}
