//! The ends of requests to discovery: lists of polls, failures and time-outs.

use super::Discovery;
use crate::io::ConnectionId;
use crate::router::connection::discovery::{DiscoveryError, EndpointList, RequestFailure, RequestKind};
use crate::router::context::Context;
use balancer::DiscoveryMode;

/// The result of a request to discovery that has ended or timed out.
#[derive(Debug)]
pub(super) enum RequestOutcome {
    /// A poll returned a full endpoint list.
    List(EndpointList),
    /// A watch has ended and another one is open.
    Replaced,
    /// The request failed, which must be reported to the balancer.
    Failed,
}

impl Discovery {
    /// Handles the end of a connection or the end of its response.
    pub(super) fn request_ended(&mut self, context: &mut Context, id: ConnectionId) -> RequestOutcome {
        match context.connections.discovery_mut(id).polled_list() {
            Some(Ok(list)) => {
                context.endpoints.confirm(context.now);
                RequestOutcome::List(list)
            }
            Some(Err(error)) => self.reject_response(context, id, &error),
            None => {
                let failure = context.connections.discovery_mut(id).failure_at_end();
                self.fail_request(context, id, failure)
            }
        }
    }

    /// Handles a response that is malformed or invalid: the request fails.
    pub(super) fn reject_response(
        &mut self, context: &mut Context, id: ConnectionId, error: &DiscoveryError,
    ) -> RequestOutcome {
        context.counters.endpoint_lists_invalid += 1;
        tracing::warn!(connection = id.0, %error, "discovery response rejected");
        self.fail_request(context, id, RequestFailure::InvalidResponse)
    }

    /// Handles the timeout of a request. A watch that had received messages is restarted at once if no other is open.
    /// The balancer gets a report only if the restart fails, since the missed updates arrive soon after it. If a watch
    /// without any message was the only one, the next one is started after a short delay, whatever the balancer decides.
    pub(super) fn timed_out(&mut self, context: &mut Context, id: ConnectionId) -> RequestOutcome {
        if self.watches.is_current(id) {
            return self.replace_silent_watch(context, id);
        }
        let outcome = self.fail_request(context, id, RequestFailure::TimedOut);
        if matches!(outcome, RequestOutcome::Failed) && self.watches.is_empty() {
            self.backoff.schedule_after_silence(context);
        }
        outcome
    }

    fn replace_silent_watch(&mut self, context: &mut Context, id: ConnectionId) -> RequestOutcome {
        let (revision, list_age_ms) = (self.revision, context.endpoints.list_age_ms(context.now));
        tracing::info!(connection = id.0, revision, list_age_ms, "endpoint watch timed out; replaced");
        context.counters.endpoint_watches_silent += 1;
        self.watches.remove(id);
        context.close(id);
        self.ensure_watch(context);
        self.watches.schedule(context);
        RequestOutcome::Replaced
    }

    /// Ends a request that has failed. The failure is reported unless it is that of a watch and another one is open.
    fn fail_request(
        &mut self, context: &mut Context, id: ConnectionId, failure: RequestFailure,
    ) -> RequestOutcome {
        self.log_failure(context, id, failure);
        let kind = context.connections.discovery_mut(id).kind;
        self.watches.remove(id);
        context.close(id);
        self.watches.schedule(context);
        self.handle_failure(context);
        match kind {
            RequestKind::Watch if !self.watches.is_empty() => RequestOutcome::Replaced,
            _ => RequestOutcome::Failed,
        }
    }

    fn log_failure(&self, context: &mut Context, id: ConnectionId, failure: RequestFailure) {
        match failure {
            RequestFailure::Unavailable(_) => context.counters.discovery_requests_unavailable += 1,
            RequestFailure::TimedOut => context.counters.discovery_requests_timed_out += 1,
            _ => {}
        }
        let now = context.now;
        let request = context.connections.discovery_mut(id);
        tracing::info!(
            connection = id.0,
            kind = ?request.kind,
            reason = %failure,
            after_ms = (now - request.started_at()) / 1000,
            revision = self.revision,
            list_age_ms = context.endpoints.list_age_ms(now),
            "discovery request failed"
        );
    }

    /// Handles the failure of a request: schedules the next watch if endpoint lists are pushed and there is no watch.
    pub(super) fn handle_failure(&mut self, context: &mut Context) {
        context.counters.discovery_failures += 1;
        if self.mode == DiscoveryMode::Pushed && self.watches.is_empty() {
            self.backoff.schedule(context);
        }
    }
}
