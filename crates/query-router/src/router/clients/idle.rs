//! Client connections without a request: how many there may be, and how they are closed.

use crate::io::{ConnectionId, Effect};
use crate::router::connection::client::{ClientConnection, ClientState};
use crate::router::context::Context;
use balancer::Micros;

/// How long a connection that was closed for writing is still read.
pub const LINGER: Micros = 1_000_000;
/// Graceful shutdown: closes the connections without a request.
pub fn close_idle(context: &mut Context) {
    context.shutdown.close_idle();
    let idle: Vec<ConnectionId> = without_request(context).map(|(id, _)| id).collect();
    for id in idle {
        half_close(context, id);
    }
}

/// Closes a connection between requests so that one which crosses the close meets no reset: its client asks again.
pub fn half_close(context: &mut Context, id: ConnectionId) {
    context.connections.client(id).state = ClientState::HalfClosed;
    context.effects.push(Effect::CloseWrite(id));
    context.set_connection_timer(id, Some(context.now + LINGER));
}

/// The clients without a request.
fn without_request(context: &Context) -> impl Iterator<Item = (ConnectionId, &ClientConnection)> {
    context.connections.clients().filter(|(_, client)| client.without_request())
}

/// Evicts idle clients, the longest idle first. Guards against clients that send one request and stay, or never send
/// one: clients may hold a third of the connections for requests, and of that at most half may have none, so that
/// others can be accepted.
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
