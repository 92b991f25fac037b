//! Storing of endpoint lists and updates.

use super::Discovery;
use crate::router::connection::discovery::EndpointList;
use crate::router::context::Context;
use crate::router::timers::Timer;
use balancer::{Endpoint, EndpointState, EndpointUpdate, Micros};
use serde_json::Value as Json;
use settings_schema::{EndpointEntry, endpoint_state};

/// The time for which a list with an older revision than the newest does not make nodes ready. A replica of discovery
/// that lags behind would otherwise undo a drain; after this time revisions count as having begun anew.
const OLDER_REVISION_TIMEOUT: Micros = 5_000_000;

/// How the revision of a list compares with the newest one that discovery has sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RevisionOrder {
    /// No list had a higher revision.
    Newest,
    /// A list with a higher revision came before.
    Older,
}

impl Discovery {
    /// Stores an endpoint list or update. Returns its valid entries for the balancer.
    pub(super) fn store(&mut self, context: &mut Context, list: &EndpointList) -> Vec<Endpoint> {
        let revision = list.json["revision"].as_u64();
        if list.update != EndpointUpdate::Provisional {
            self.revision = revision.unwrap_or(self.revision);
        }
        match list.update {
            EndpointUpdate::Provisional => self.is_provisional = true,
            EndpointUpdate::Full | EndpointUpdate::Cached => self.is_provisional = false,
            EndpointUpdate::Incremental | EndpointUpdate::Failed => {}
        }
        let order = self.record_revision(context, list);
        context.endpoints.start_update();
        match list.update {
            EndpointUpdate::Incremental => context.counters.endpoint_lists_incremental += 1,
            _ => context.counters.endpoint_lists_full += 1,
        }
        let members = list.json["members"].as_array().map_or(&[][..], Vec::as_slice);
        let stored = members.iter().filter_map(|member| self.store_entry(context, member, order)).collect();
        if list.update != EndpointUpdate::Incremental {
            context.endpoints.finish_full_update(context.now);
        }
        if !is_from_before_start(list.update) {
            context.endpoints.finish_received_update(context.now);
        }
        if let Some(revision) = revision {
            record_applied(context, revision, list.update, members.len());
        }
        stored
    }

    /// Compares the revision of a list with the newest one, and records it if it is not older. The revision of a cached
    /// list does not count: where lists are polled, the first one that discovery sends is accepted.
    fn record_revision(&mut self, context: &mut Context, list: &EndpointList) -> RevisionOrder {
        let revision = list.json["revision"].as_u64();
        let Some(revision) = revision.filter(|_| list.update != EndpointUpdate::Cached) else {
            return RevisionOrder::Newest;
        };
        if revision < self.newest_revision {
            self.watch_older_revision(context, revision);
            return RevisionOrder::Older;
        }
        self.newest_revision = revision;
        if let Some(at) = self.accept_older_at.take() {
            context.timers.remove(at, Timer::AcceptOlderRevision);
        }
        RevisionOrder::Newest
    }

    /// Sets the time from which lists of an older revision are accepted in full, unless it is set.
    fn watch_older_revision(&mut self, context: &mut Context, revision: u64) {
        context.counters.endpoint_lists_older += 1;
        tracing::warn!(
            revision,
            newest = self.newest_revision,
            "endpoint list has an older revision: nodes that are not ready stay so"
        );
        if self.accept_older_at.is_none() {
            let at = context.now + OLDER_REVISION_TIMEOUT;
            self.accept_older_at = Some(at);
            context.timers.insert(at, Timer::AcceptOlderRevision);
        }
    }

    /// Requests the list again after revisions have been older for [`OLDER_REVISION_TIMEOUT`], and accepts whichever is
    /// sent.
    pub(super) fn accept_older_revision(&mut self, context: &mut Context) {
        self.accept_older_at = None;
        self.newest_revision = 0;
        self.revision = 0;
        self.start_watch(context);
    }

    pub(super) fn store_entry(
        &self, context: &mut Context, member: &Json, order: RevisionOrder,
    ) -> Option<Endpoint> {
        let entry = EndpointEntry::parse(member).filter(|entry| context.endpoints.has_room_for(entry.id));
        let Some(mut entry) = entry else {
            context.counters.endpoint_entries_unusable += 1;
            return store_invalid_entry(context, member);
        };
        let may_become_ready = order == RevisionOrder::Newest || context.endpoints.is_ready(entry.id);
        if entry.state == EndpointState::Ready && !may_become_ready {
            entry.state = EndpointState::Draining;
        }
        let zone = self.zones.iter().position(|name| name == entry.zone).unwrap_or(self.zones.len());
        let node = context.endpoints.store(context.now, &entry);
        if context.endpoints[node].address.is_none() {
            context.counters.endpoint_entries_unusable += 1;
        }
        let endpoint = Endpoint {
            node,
            zone,
            replica_set: entry.replica_set,
            state: entry.state,
            scale: entry.scale,
            started_at: context.endpoints[node].started_at(),
        };
        context.endpoints.set_reported(endpoint);
        Some(endpoint)
    }
}

/// Handles an entry that cannot be used as it is, or for which the table has no room. If it takes away a node that is
/// listed, it does so; otherwise it is skipped.
fn store_invalid_entry(context: &mut Context, member: &Json) -> Option<Endpoint> {
    let state = member["phase"].as_str().and_then(endpoint_state);
    let state = state.filter(|state| *state != EndpointState::Ready);
    let withdrawn = state
        .zip(member["id"].as_str())
        .and_then(|(state, id)| context.endpoints.withdraw(context.now, id, state));
    let Some(suppressed) = context.invalid_entry_log.admit(context.now) else { return withdrawn };
    match withdrawn {
        Some(endpoint) => {
            let node = endpoint.node.0;
            tracing::warn!(entry = %member, node, suppressed, "invalid endpoint entry: node withdrawn")
        }
        None => tracing::warn!(entry = %member, suppressed, "invalid endpoint entry skipped"),
    }
    withdrawn
}

/// Returns whether a list with this kind of update is from before the start of the process.
fn is_from_before_start(update: EndpointUpdate) -> bool {
    matches!(update, EndpointUpdate::Cached | EndpointUpdate::Provisional)
}

/// Records and logs that an endpoint list or update was applied.
fn record_applied(context: &mut Context, revision: u64, update: EndpointUpdate, entries: usize) {
    let previous_revision = context.endpoints.revision();
    context.endpoints.set_revision(revision);
    context.counters.endpoint_list_revision = revision;
    // The list of the configuration is no message of discovery, and is applied before the router has started.
    if is_from_before_start(update) {
        return;
    }
    let ready = context.endpoints.ready_count();
    let Some(suppressed) = context.list_log.admit(context.now) else { return };
    let suppressed = (suppressed > 0).then_some(suppressed);
    tracing::info!(
        revision,
        previous_revision,
        kind = ?update,
        entries,
        ready,
        suppressed,
        "endpoint list applied"
    );
}
