//! Pushes of resources to proxies.

use super::proxy_state::GrantStatus;
use super::{ControlPlane, Effect};
use crate::ids::{ProxyId, StreamId};
use crate::metrics::ResourceTypeLabel;
use crate::resource::ResourceType;
use crate::session::{Response, ResponseKind, Urgency};
use balancer::Micros;

impl ControlPlane {
    /// Pushes resources to all proxies, first to those that have not acknowledged a drain.
    pub(super) fn push_to_all(&mut self, now: Micros) {
        let proxies: Vec<ProxyId> = self.proxies.keys().copied().collect();
        let (first, others): (Vec<_>, Vec<_>) =
            proxies.into_iter().partition(|&proxy| self.drains.is_waiting_for(proxy));
        for proxy in first.into_iter().chain(others) {
            self.push(now, proxy);
        }
    }

    /// Pushes resources to the proxies that have been offered less than their fair share.
    pub(super) fn push_to_partially_granted(&mut self, now: Micros) {
        let partial = self.proxies.iter().filter(|(_, proxy)| proxy.grant_status == GrantStatus::Partial);
        let partial: Vec<ProxyId> = partial.map(|(&id, _)| id).collect();
        for proxy in partial {
            self.push(now, proxy);
        }
    }

    /// Sends a proxy the responses that bring it closer to its snapshot and may be sent now. Does nothing while the
    /// proxy has no discovery stream or no snapshot.
    pub(super) fn push(&mut self, now: Micros, id: ProxyId) {
        let Some(stream) = self.proxies.get(&id).and_then(|proxy| proxy.stream()) else { return };
        let snapshot = self.snapshot(now, id);
        let urgency = if self.drains.is_waiting_for(id) { Urgency::DrainPending } else { Urgency::Normal };
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        proxy.grant_status = snapshot.grant_status;
        if snapshot.resources.of_type(ResourceType::Route).is_empty() {
            return;
        }
        let responses = proxy.session.push(now, &snapshot.resources, urgency);
        let contains = |resource_type| responses.iter().any(|r| r.resource_type == resource_type);
        if contains(ResourceType::Endpoints) {
            proxy.lease_renewed_at = now;
        }
        if contains(ResourceType::Cluster) {
            self.capacity_ledger.set_all(id, &proxy.session.max_requests_in_force());
        }
        for duration in self.drains.record_acknowledgements(now, id, &proxy.session) {
            self.metrics.drain_seconds.observe(duration as f64 / 1e6);
        }
        for response in responses {
            self.respond(stream, response);
        }
    }

    /// Queues a response for sending and updates the metrics.
    pub(super) fn respond(&mut self, stream: StreamId, response: Response) {
        let kind = format!("{:?}", response.resource_type).to_lowercase();
        self.metrics.responses.get_or_create(&ResourceTypeLabel { kind }).inc();
        if response.kind == ResponseKind::Update {
            let bytes = response.resources.iter().map(|resource| resource.body.len() as u64).sum();
            self.metrics.content_bytes.inc_by(bytes);
        }
        self.effects.push(Effect::Respond { stream, response });
    }
}
