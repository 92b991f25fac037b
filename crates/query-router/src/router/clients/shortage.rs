//! Clients that wait for a file descriptor: others that hold one without a complete request give way to them. Rejected
//! requests get their response first. No connection with a complete request is closed.

use super::Clients;
use super::idle::{clients_without_request, half_close};
use crate::io::{ConnectionId, Effect};
use crate::router::connection::client::{ClientConnection, ClientState, CloseReason};
use crate::router::context::Context;
use crate::router::timers::Timer;
use balancer::Micros;

/// The time after the accept for which a connection without a request is kept while a client waits. A deadline that is
/// passed to a node may exceed what the client has left by 150 ms, of which this wait is a part.
const FIRST_REQUEST_GRACE: Micros = 100_000;
/// The time after its first byte for which an incomplete request is kept while a client waits. The rest of a usual
/// request may be in transit.
const INCOMPLETE_REQUEST_GRACE: Micros = 50_000;
/// The time for which a connection is still read after its writing side was closed while a client waits.
const SHORTAGE_LINGER_TIME: Micros = 100_000;
/// The most rejections that are being written at a time for waiting clients.
const MAX_REJECTIONS: usize = 8;
/// The interval between attempts to accept a waiting client.
const ACCEPT_RETRY_INTERVAL: Micros = 10_000;

/// Lets new connections count as idle [`FIRST_REQUEST_GRACE`] after their accept, because a client waits for a file
/// descriptor. Otherwise connections on which nothing is sent could hold all descriptors for much longer.
pub fn shorten_first_request_timeouts(context: &mut Context) {
    if context.shutdown.closes_idle_connections() {
        return;
    }
    let new: Vec<(ConnectionId, Micros)> = clients_without_request(context)
        .filter(|(_, client)| client.state == ClientState::New)
        .map(|(id, client)| (id, client.idle_from + FIRST_REQUEST_GRACE))
        .collect();
    for (id, first_request_by) in new {
        context.set_connection_timer(id, Some(first_request_by));
    }
}

impl Clients {
    /// Makes incomplete requests give way to a waiting client, which is accepted once the rejection of one is written,
    /// and tries again after [`ACCEPT_RETRY_INTERVAL`].
    pub(super) fn wait_for_descriptor(&mut self, context: &mut Context) {
        self.reject_incomplete_request(context);
        if self.accept_retry_at.is_none() {
            let at = context.now + ACCEPT_RETRY_INTERVAL;
            self.accept_retry_at = Some(at);
            context.timers.insert(at, Timer::AcceptClients);
        }
    }

    /// Handles the timer for accepting a waiting client.
    pub fn retry_accept(&mut self, context: &mut Context) {
        self.accept_retry_at = None;
        self.accept_pending(context);
    }

    /// Closes the connection that has been half-closed for longest, if that is at least [`SHORTAGE_LINGER_TIME`]. Returns
    /// whether there was one.
    pub(super) fn close_lingering(&mut self, context: &mut Context) -> bool {
        let latest = context.now - SHORTAGE_LINGER_TIME;
        let lingering = context
            .connections
            .clients()
            .filter(|(_, client)| client.state == ClientState::HalfClosed && client.idle_from <= latest);
        let Some((id, _)) = lingering.min_by_key(|(_, client)| client.idle_from) else { return false };
        self.close(context, id);
        true
    }

    /// Rejects the incomplete request to which nothing was added for longest, if its first byte came at least
    /// [`INCOMPLETE_REQUEST_GRACE`] ago and fewer than [`MAX_REJECTIONS`] are being written.
    fn reject_incomplete_request(&self, context: &mut Context) {
        let is_rejected = |client: &ClientConnection| {
            client.state == ClientState::SendingResponse
                && client.close_reason == Some(CloseReason::DescriptorShortage)
        };
        if context.connections.clients().filter(|(_, client)| is_rejected(client)).count() >= MAX_REJECTIONS {
            return;
        }
        let latest = context.now - INCOMPLETE_REQUEST_GRACE;
        let incomplete = context.connections.clients().filter(|(_, client)| {
            client.state == ClientState::ReceivingRequest && client.receiving_since <= latest
        });
        let Some((id, _)) = incomplete.min_by_key(|(_, client)| client.stalls_at) else { return };
        context.counters.requests_rejected_for_descriptor += 1;
        tracing::debug!(
            connection = id.0,
            "incomplete request rejected: another client waits for its descriptor"
        );
        context.connections.client_mut(id).close_after_response(CloseReason::DescriptorShortage);
        self.replies.reply_line(context, id, 503, "too many connections");
    }

    /// Ends a connection whose last response was written. It lingers, unless a client waits for its descriptor and
    /// nothing is unread on it.
    pub(super) fn end_after_response(&self, context: &mut Context, id: ConnectionId) {
        half_close(context, id);
        if self.has_pending_accepts() {
            context.effects.push(Effect::CloseIfIdle(id));
        }
    }
}
