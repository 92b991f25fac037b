//! Use of an endpoint list or update that arrives slowly, before it is complete. A change counts as delivered after a few
//! seconds whether or not its bytes have arrived, so a list may not take any time it wants. Entries that take a node away
//! are applied as they arrive. After [`CONFIRMATION_TIMEOUT`] the nodes that a full list has not named yet are suspended:
//! they may be the ones that it leaves out. They are resumed when the list ends without being complete.

use super::Discovery;
use super::store::RevisionOrder;
use crate::io::ConnectionId;
use crate::router::connection::discovery::DiscoveryRequest;
use crate::router::context::Context;
use balancer::{Endpoint, Micros};
use serde_json::Value as Json;

/// The time from the start of an update after which its complete entries are looked at.
const MIN_AGE: Micros = 500_000;
/// The time after which the nodes that an incomplete full list has not named are suspended. It counts from the request if
/// the list is the first answer, and from the start of the list otherwise.
const CONFIRMATION_TIMEOUT: Micros = 3_500_000;

/// The incomplete update that is in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartialList {
    watch: ConnectionId,
    /// The time at which the update began.
    since: Micros,
    /// The number of bytes that were looked at.
    received: usize,
    /// Whether the nodes that the update has not named are suspended.
    is_suspending: bool,
}

impl Discovery {
    /// Looks at the updates that are incomplete. Returns the endpoints that change, if any, for the balancer.
    pub(super) fn apply_partial_list(&mut self, context: &mut Context) -> Vec<Endpoint> {
        if self.partial_list.is_some_and(|partial| !self.is_arriving(context, partial)) {
            self.partial_list = None;
            return context.endpoints.resume_suspended(context.now);
        }
        let Some(next) = self.next_partial_list(context) else { return Vec::new() };
        let Some(update) = parse_partial(context.connections.discovery_mut(next.watch)) else {
            return Vec::new();
        };
        if update["revision"].as_u64().is_none_or(|revision| revision < self.newest_revision) {
            return Vec::new();
        }
        let awaited_since = context.connections.discovery_mut(next.watch).update_awaited_since();
        let is_suspending = update["complete"] == true && context.now >= awaited_since + CONFIRMATION_TIMEOUT;
        let partial = PartialList { is_suspending, ..next };
        if self.partial_list.replace(partial) == Some(partial) {
            return Vec::new();
        }
        self.apply_entries(context, &update, is_suspending)
    }

    /// Returns whether the update is still being received.
    fn is_arriving(&self, context: &mut Context, partial: PartialList) -> bool {
        self.watches.contains(partial.watch)
            && context.connections.discovery_mut(partial.watch).partial_object_since() == Some(partial.since)
    }

    /// Returns the update in use, or else the oldest one that has been incomplete for [`MIN_AGE`], with the number of
    /// bytes received by now.
    fn next_partial_list(&self, context: &mut Context) -> Option<PartialList> {
        let in_use = self.partial_list.map(|partial| partial.watch);
        let watches = self.watches.ids().filter(|&watch| in_use.is_none_or(|in_use| in_use == watch));
        let partial_lists = watches.filter_map(|watch| {
            let request = context.connections.discovery_mut(watch);
            let since = request.partial_object_since()?;
            let received = request.partial_object_length();
            Some(PartialList { watch, since, received, is_suspending: false })
        });
        let oldest = partial_lists.min_by_key(|partial| partial.since)?;
        (oldest.received > 0 && context.now >= oldest.since + MIN_AGE).then_some(oldest)
    }

    /// Applies the entries of an incomplete update: all if the nodes that it has not named are suspended, otherwise
    /// those that take a node away.
    fn apply_entries(&mut self, context: &mut Context, update: &Json, is_suspending: bool) -> Vec<Endpoint> {
        context.endpoints.start_update();
        let members = update["members"].as_array().map_or(&[][..], Vec::as_slice);
        let applied = members.iter().filter(|member| is_suspending || member["phase"] != "ready");
        let mut endpoints: Vec<Endpoint> =
            applied.filter_map(|member| self.store_entry(context, member, RevisionOrder::Newest)).collect();
        let entries = endpoints.len();
        if is_suspending {
            endpoints.extend(context.endpoints.suspend_unlisted(context.now));
        }
        if !endpoints.is_empty() {
            context.counters.endpoint_lists_partial += 1;
            let (revision, suspended) = (update["revision"].as_u64(), endpoints.len() - entries);
            tracing::info!(revision, entries, suspended, "entries of an incomplete endpoint list applied");
        }
        endpoints
    }
}

/// Returns the entries of a request's incomplete update that are complete, with the fields before them.
fn parse_partial(request: &DiscoveryRequest) -> Option<Json> {
    serde_json::from_slice(&request.partial_object()?).ok()
}
