//! Storing of endpoint lists and updates.

use super::Discovery;
use crate::router::connection::discovery::EndpointList;
use crate::router::context::Context;
use balancer::{Endpoint, EndpointUpdate};
use serde_json::Value as Json;
use settings_schema::EndpointEntry;

impl Discovery {
    /// Stores an endpoint list or update. Returns its valid entries for the balancer.
    pub fn store(&mut self, context: &mut Context, list: &EndpointList) -> Vec<Endpoint> {
        let revision = list.json["revision"].as_u64();
        self.revision = revision.unwrap_or(self.revision);
        context.endpoints.start_update();
        match list.update {
            EndpointUpdate::Incremental => context.counters.endpoint_lists_incremental += 1,
            _ => context.counters.endpoint_lists_full += 1,
        }
        let members = list.json["members"].as_array().map_or(&[][..], Vec::as_slice);
        let stored = members.iter().filter_map(|member| self.store_entry(context, member)).collect();
        if list.update != EndpointUpdate::Incremental {
            context.endpoints.finish_full_update(context.now);
        }
        if list.update != EndpointUpdate::Cached {
            context.endpoints.finish_received_update(context.now);
        }
        if let Some(revision) = revision {
            record_applied(context, revision, list.update, members.len());
        }
        stored
    }

    fn store_entry(&self, context: &mut Context, member: &Json) -> Option<Endpoint> {
        let Some(entry) = EndpointEntry::parse(member) else {
            tracing::warn!(entry = %member, "invalid endpoint entry skipped");
            return None;
        };
        let zone = self.zones.iter().position(|name| name == entry.zone).unwrap_or(self.zones.len());
        let node = context.endpoints.store(context.now, &entry);
        Some(Endpoint {
            node,
            zone,
            replica_set: entry.replica_set,
            state: entry.state,
            scale: entry.scale,
            started_at: context.endpoints[node].started_at(),
        })
    }
}

/// Records and logs that an endpoint list or update was applied.
fn record_applied(context: &mut Context, revision: u64, update: EndpointUpdate, entries: usize) {
    let previous_revision = context.endpoints.revision();
    context.endpoints.set_revision(revision);
    context.counters.endpoint_list_revision = revision;
    // The list of the configuration is no message of discovery, and is applied before the router has started.
    if update == EndpointUpdate::Cached {
        return;
    }
    let ready = context.endpoints.ready_count();
    tracing::info!(revision, previous_revision, kind = ?update, entries, ready, "endpoint list applied");
}
