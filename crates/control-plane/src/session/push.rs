//! Selection of the next responses, in an order in which no route ever refers to a cluster without endpoints.

use super::subscription::{
    KnownVersion, PendingResponse, RequestState, ResourceChange, combined_version, type_version,
};
use super::{DiscoverySession, ProtocolVariant, Response, ResponseKind};
use crate::resource::{Resource, ResourceSnapshot, ResourceType, ResourcesByName};
use balancer::Micros;
use std::sync::Arc;

/// Maximum number of unanswered responses of one type while a drain is pending. With fewer, drains in quick
/// succession waited for the answers of a slow proxy and were sent after their grace period.
const MAX_PENDING_DURING_DRAIN: usize = 16;
/// Maximum number of unanswered responses of one type at other times.
const MAX_PENDING: usize = 1;

/// Whether endpoints may be sent before earlier responses are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Urgency {
    /// A response is held back until the previous one of its type is answered.
    Normal,
    /// The proxy may still use a draining node, so endpoints are sent first and without waiting.
    DrainPending,
}

/// Whether resources that are no longer desired may be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Removal {
    Allowed,
    /// The proxy may still have a route that refers to these resources.
    Deferred,
}

/// The content of a response, before it gets a nonce.
struct ResponseContent {
    resources: Vec<Arc<Resource>>,
    removed: Vec<String>,
    /// The combined version of all resources of the type; empty in the incremental variant.
    type_version: String,
}

impl DiscoverySession {
    /// Returns the responses to send now, in the order clusters, endpoints, listeners, routes; while a drain is
    /// pending, endpoints come first. Routes are held back until the clusters that they refer to and their endpoints
    /// are acknowledged; clusters and endpoints that no route refers to any longer are removed after the new routes
    /// are acknowledged.
    pub fn push(&mut self, now: Micros, desired: &ResourceSnapshot, urgency: Urgency) -> Vec<Response> {
        for resource_type in ResourceType::ALL {
            self.resolve_claimed_version(resource_type, desired);
        }
        self.refresh_endpoint_generations(desired);
        let mut responses = Vec::new();
        if urgency == Urgency::DrainPending {
            responses.extend(self.next_response(
                now,
                ResourceType::Endpoints,
                desired,
                Removal::Deferred,
                MAX_PENDING_DURING_DRAIN,
            ));
        }
        let removal = if self.routes_are_current(desired) { Removal::Allowed } else { Removal::Deferred };
        responses.extend(self.next_clusters(now, desired, removal));
        responses.extend(self.next_response(now, ResourceType::Endpoints, desired, removal, MAX_PENDING));
        responses.extend(self.next_response(
            now,
            ResourceType::Listener,
            desired,
            Removal::Allowed,
            MAX_PENDING,
        ));
        if self.may_push_routes(desired) {
            responses.extend(self.next_response(
                now,
                ResourceType::Route,
                desired,
                Removal::Allowed,
                MAX_PENDING,
            ));
        }
        responses
    }

    /// Returns a response that renews the lease of the acknowledged endpoints ("TTL"); `None` if there are none
    /// or an endpoint response is unanswered.
    pub fn heartbeat(&mut self, now: Micros) -> Option<Response> {
        let resource_type = ResourceType::Endpoints;
        let endpoints = self.subscription(resource_type);
        let acknowledged = endpoints.acknowledged.values();
        let resources: Vec<Arc<Resource>> = acknowledged.filter_map(|known| known.resource.clone()).collect();
        if resources.is_empty() || !endpoints.pending.is_empty() {
            return None;
        }
        let version = type_version(&endpoints.sent);
        let nonce = self.next_nonce();
        let endpoints = self.subscription_mut(resource_type);
        endpoints.last_nonce = nonce;
        endpoints.pending.push_back(PendingResponse {
            nonce,
            sent_at: now,
            type_version: version.clone(),
            changes: Vec::new(),
        });
        let (kind, nonce) = (ResponseKind::Heartbeat, nonce.to_string());
        Some(Response { resource_type, kind, nonce, version, resources, removed: Vec::new() })
    }

    fn next_nonce(&mut self) -> u64 {
        self.last_nonce += 1;
        self.last_nonce
    }

    /// Returns whether the proxy has acknowledged the desired routes, or has none.
    fn routes_are_current(&self, desired: &ResourceSnapshot) -> bool {
        let routes = self.subscription(ResourceType::Route);
        if !routes.is_requested() {
            // A reconnecting proxy has routes from before, although it has not requested them on this stream yet.
            return !self.is_resumed() && self.previous_versions[ResourceType::Route as usize].is_empty();
        }
        let is_current = |(name, resource): (&String, &Arc<Resource>)| {
            let acknowledged = routes.acknowledged.get(name);
            !routes.is_subscribed(name) || acknowledged.is_some_and(|known| known.version == resource.version)
        };
        routes.pending.is_empty() && desired.of_type(ResourceType::Route).iter().all(is_current)
    }

    /// Returns whether all clusters that the desired routes refer to have acknowledged endpoints. Applies only to
    /// proxies with a wildcard subscription to clusters: a proxy that subscribes to clusters by name does so after it
    /// received the routes, and applies the routes only once the clusters are ready.
    fn may_push_routes(&self, desired: &ResourceSnapshot) -> bool {
        let clusters = self.subscription(ResourceType::Cluster);
        let endpoints = self.subscription(ResourceType::Endpoints);
        let is_ready = |name: &String| {
            // A cluster that is being removed does not count, even if it was acknowledged.
            let has_cluster = clusters.acknowledged.contains_key(name) && clusters.sent.contains_key(name);
            has_cluster && endpoints.acknowledged.contains_key(name)
        };
        let mut routes = desired.of_type(ResourceType::Route).values();
        !clusters.wildcard || routes.all(|route| route.routed_clusters.iter().all(is_ready))
    }

    fn next_clusters(
        &mut self, now: Micros, desired: &ResourceSnapshot, removal: Removal,
    ) -> Option<Response> {
        let clusters = self.subscription(ResourceType::Cluster);
        let changed = clusters.changed(desired.of_type(ResourceType::Cluster));
        let changed: Vec<String> = changed.map(|cluster| cluster.name.clone()).collect();
        let response = self.next_response(now, ResourceType::Cluster, desired, removal, MAX_PENDING)?;
        // A proxy keeps a changed cluster in the warming state until it receives endpoints after the cluster, so
        // the endpoints are sent again.
        let endpoints = self.subscription_mut(ResourceType::Endpoints);
        for name in &changed {
            endpoints.sent.remove(name);
        }
        Some(response)
    }

    /// Returns the next response of one type; `None` if nothing changed or `max_pending` responses are
    /// unanswered.
    fn next_response(
        &mut self, now: Micros, resource_type: ResourceType, desired: &ResourceSnapshot, removal: Removal,
        max_pending: usize,
    ) -> Option<Response> {
        let subscription = self.subscription(resource_type);
        if !subscription.is_requested() || subscription.pending.len() >= max_pending {
            return None;
        }
        let desired = desired.of_type(resource_type);
        let content = match self.variant {
            ProtocolVariant::Delta => self.delta_content(resource_type, desired, removal),
            ProtocolVariant::StateOfTheWorld if resource_type.is_full_state() => {
                self.full_state_content(resource_type, desired, removal)
            }
            ProtocolVariant::StateOfTheWorld => self.changed_content(resource_type, desired),
        };
        content.map(|content| self.create_response(now, resource_type, content))
    }

    /// Assigns a nonce to the content, records it as sent and returns it as a response.
    fn create_response(
        &mut self, now: Micros, resource_type: ResourceType, content: ResponseContent,
    ) -> Response {
        let nonce = self.next_nonce();
        let ResponseContent { resources, removed, type_version } = content;
        let updates = resources.iter().map(|resource| ResourceChange {
            name: resource.name.clone(),
            version: Some(KnownVersion::of(resource)),
        });
        let removals = removed.iter().map(|name| ResourceChange { name: name.clone(), version: None });
        self.subscription_mut(resource_type).record_sent(PendingResponse {
            nonce,
            sent_at: now,
            type_version: type_version.clone(),
            changes: updates.chain(removals).collect(),
        });
        let (kind, nonce) = (ResponseKind::Update, nonce.to_string());
        Response { resource_type, kind, nonce, version: type_version, resources, removed }
    }

    /// Returns the names of resources that were sent and are no longer desired. Endpoints are kept as long as their
    /// cluster.
    fn no_longer_desired(&self, resource_type: ResourceType, desired: &ResourcesByName) -> Vec<String> {
        let clusters = &self.subscription(ResourceType::Cluster).sent;
        let is_kept = |name: &String| resource_type == ResourceType::Endpoints && clusters.contains_key(name);
        let sent = self.subscription(resource_type).sent.keys();
        sent.filter(|name| !desired.contains_key(*name) && !is_kept(name)).cloned().collect()
    }

    /// Returns the content of an incremental response: changed resources, and names that were removed or do not exist.
    fn delta_content(
        &mut self, resource_type: ResourceType, desired: &ResourcesByName, removal: Removal,
    ) -> Option<ResponseContent> {
        let mut removed = match removal {
            Removal::Allowed => self.no_longer_desired(resource_type, desired),
            Removal::Deferred => Vec::new(),
        };
        let subscription = self.subscription_mut(resource_type);
        let resources = subscription.next_changed(desired);
        let is_missing = |name: &&String| {
            !desired.contains_key(*name)
                && !subscription.reported_missing.contains(*name)
                && !subscription.sent.contains_key(*name)
        };
        let missing: Vec<String> = subscription.names.iter().filter(is_missing).cloned().collect();
        removed.extend(missing.iter().cloned());
        subscription.reported_missing.extend(missing);
        subscription.reported_missing.retain(|name| !desired.contains_key(name));
        if resources.is_empty() && removed.is_empty() {
            return None;
        }
        Some(ResponseContent { resources, removed, type_version: String::new() })
    }

    /// Returns the content of a state-of-the-world response for a type whose responses list all resources.
    fn full_state_content(
        &mut self, resource_type: ResourceType, desired: &ResourcesByName, removal: Removal,
    ) -> Option<ResponseContent> {
        let subscription = self.subscription(resource_type);
        let subscribed = desired.iter().filter(|(name, _)| subscription.is_subscribed(name));
        let mut all: ResourcesByName =
            subscribed.map(|(name, resource)| (name.clone(), resource.clone())).collect();
        if removal == Removal::Deferred {
            for resource in self.retained_resources(resource_type) {
                all.entry(resource.name.clone()).or_insert(resource);
            }
        }
        let type_version = combined_version(all.iter().map(|(name, r)| (name, r.version.as_str())));
        let sent_version = super::subscription::type_version(&subscription.sent);
        let has_responded = subscription.state == RequestState::Responded;
        let is_current = has_responded && sent_version == type_version;
        if is_current || subscription.rejected_type_version.as_ref() == Some(&type_version) {
            return None;
        }
        let removed = subscription.sent.keys().filter(|name| !all.contains_key(*name)).cloned().collect();
        Some(ResponseContent { resources: all.into_values().collect(), removed, type_version })
    }

    /// Returns the resources that were sent to the proxy and, until it acknowledges one, those from its previous stream.
    fn retained_resources(&self, resource_type: ResourceType) -> Vec<Arc<Resource>> {
        let subscription = self.subscription(resource_type);
        let previous = self.previous_versions[resource_type as usize].iter();
        let previous = previous.filter(|_| subscription.acknowledged.is_empty());
        let retained = subscription.sent.iter().chain(previous);
        let subscribed = retained.filter(|(name, _)| subscription.is_subscribed(name));
        subscribed.filter_map(|(_, known)| known.resource.clone()).collect()
    }

    /// Returns the content of a state-of-the-world response for a type whose responses list only changed resources.
    fn changed_content(
        &self, resource_type: ResourceType, desired: &ResourcesByName,
    ) -> Option<ResponseContent> {
        let subscription = self.subscription(resource_type);
        let resources = subscription.next_changed(desired);
        if resources.is_empty() {
            return None;
        }
        let mut all = subscription.sent.clone();
        all.extend(resources.iter().map(|resource| (resource.name.clone(), KnownVersion::of(resource))));
        Some(ResponseContent { resources, removed: Vec::new(), type_version: type_version(&all) })
    }
}
