//! Client connections without a request: their limit, and how they are closed.

use crate::io::{ConnectionId, Effect};
use crate::router::connection::client::{ClientConnection, ClientState};
use crate::router::context::Context;
use balancer::Micros;

/// How long a connection is still read after its writing side was closed.
pub const LINGER: Micros = 1_000_000;

/// How long after it was accepted a connection without a request is kept in a shutdown: its request is on the way.
const FIRST_REQUEST_GRACE: Micros = 300_000;

/// Graceful shutdown: closes the connections between requests. Guards against losing the first request of a connection
/// that was just accepted, which its client does not send again.
pub fn close_idle(context: &mut Context) {
    context.shutdown.close_idle();
    let idle: Vec<(ConnectionId, Option<Micros>)> = without_request(context)
        .map(|(id, client)| {
            (id, (client.state == ClientState::New).then_some(client.idle_from + FIRST_REQUEST_GRACE))
        })
        .collect();
    for (id, first_request_by) in idle {
        match first_request_by.filter(|&at| at > context.now) {
            Some(at) => context.set_connection_timer(id, Some(at)),
            None => half_close(context, id),
        }
    }
}

/// Closes the writing side of a connection between requests. A request that crosses the close meets no reset, and its
/// client sends it again.
pub fn half_close(context: &mut Context, id: ConnectionId) {
    if !context.may_close_client(id) {
        return;
    }
    tracing::debug!(connection = id.0, "client connection closed for writing");
    context.connections.client_mut(id).state = ClientState::HalfClosed;
    context.effects.push(Effect::CloseWrite(id));
    context.set_connection_timer(id, Some(context.now + LINGER));
}

/// The clients without a request, and without one that was received and is handled next.
fn without_request(context: &Context) -> impl Iterator<Item = (ConnectionId, &ClientConnection)> {
    context.connections.clients().filter(|(_, client)| client.without_request() && !client.has_next_request())
}

/// Evicts idle clients, the longest idle first, while clients without a request hold more than a sixth of all
/// connections. Guards against clients that keep connections without sending requests: clients may hold a third of all
/// connections, and at most half of that without a request, so that others can be accepted.
pub fn evict_surplus_idle(context: &mut Context) {
    let max_without_request = (context.limits.max_connections / 6).max(1);
    let surplus = without_request(context).count().saturating_sub(max_without_request);
    if surplus == 0 {
        return;
    }
    let mut idle: Vec<(Micros, ConnectionId)> =
        without_request(context).filter_map(|(id, client)| Some((client.idle_since()?, id))).collect();
    idle.sort_unstable();
    for (_, id) in idle.into_iter().take(surplus) {
        context.evict_client(id);
    }
}
