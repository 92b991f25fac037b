//! The session of one proxy on the aggregated discovery service (ADS), in the state-of-the-world or the
//! incremental variant. It tracks subscriptions and the versions that were sent, acknowledged (ACK) and
//! rejected (NACK), and selects the next responses.
//!
//! The session performs no I/O and reads no clock. It follows the "xDS REST and gRPC protocol" page of the
//! Envoy documentation; comments quote the titles of its sections.
//!
//! A response is answered once the proxy has acknowledged or rejected it. Until the previous response of the same
//! type is answered, the next one is held back, so that a slow proxy gets the newest state and not a queue of
//! outdated ones. Endpoint responses may be sent ahead of answers, up to a
//! limit, while a drain is pending.

mod push;
mod request;
mod response;
mod subscription;

pub(crate) use push::Urgency;
pub(crate) use request::Acknowledgement;
pub use request::{DeltaRequest, RequestError, StateOfTheWorldRequest};
pub use response::{Response, ResponseKind};

use crate::resource::{ResourceSnapshot, ResourceType};
use balancer::Micros;
use std::collections::BTreeMap;
use subscription::{KnownVersion, RequestState, TypeSubscription, type_version};

/// The variant of the discovery protocol that a stream uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProtocolVariant {
    /// Each response of a type lists all subscribed resources (clusters, listeners) or the changed ones
    /// (endpoints, routes).
    StateOfTheWorld,
    /// Incremental: responses list changed resources and the names of removed ones.
    Delta,
}

/// Whether a proxy connected with resources that it received earlier, from this or another control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionOrigin {
    /// The proxy has not named any version so far.
    New,
    /// The proxy named versions in its first requests.
    Resumed,
}

/// The state of a proxy's discovery stream.
#[derive(Debug)]
pub(crate) struct DiscoverySession {
    variant: ProtocolVariant,
    origin: SessionOrigin,
    last_nonce: u64,
    subscriptions: [TypeSubscription; 4],
    /// Versions that the proxy may have from its previous stream, by type. Used to resume a proxy that
    /// reconnects with them.
    previous_versions: [BTreeMap<String, KnownVersion>; 4],
}

impl DiscoverySession {
    /// Creates the session of a new stream. `previous` is the session of the proxy's previous stream, if any.
    pub fn new(variant: ProtocolVariant, previous: Option<DiscoverySession>) -> DiscoverySession {
        DiscoverySession {
            variant,
            origin: SessionOrigin::New,
            last_nonce: 0,
            subscriptions: Default::default(),
            previous_versions: previous.map(DiscoverySession::into_versions).unwrap_or_default(),
        }
    }

    /// Returns all versions that the proxy may have at the end of the session, by type.
    fn into_versions(self) -> [BTreeMap<String, KnownVersion>; 4] {
        let mut types = self.subscriptions.into_iter().zip(self.previous_versions);
        let versions = |(subscription, previous): (TypeSubscription, BTreeMap<String, KnownVersion>)| {
            let mut versions = if subscription.is_requested() { subscription.acknowledged } else { previous };
            versions.extend(subscription.sent);
            versions
        };
        std::array::from_fn(|_| types.next().map_or(BTreeMap::new(), versions))
    }

    fn subscription(&self, resource_type: ResourceType) -> &TypeSubscription {
        &self.subscriptions[resource_type as usize]
    }

    fn subscription_mut(&mut self, resource_type: ResourceType) -> &mut TypeSubscription {
        &mut self.subscriptions[resource_type as usize]
    }

    /// Returns whether the proxy connected with versions that it received on an earlier stream.
    pub fn is_resumed(&self) -> bool {
        self.origin == SessionOrigin::Resumed
    }

    /// Records that the proxy connected with versions that it received on an earlier stream.
    pub fn mark_resumed(&mut self) {
        self.origin = SessionOrigin::Resumed;
    }

    /// Returns whether the proxy has requested resources of this type on this stream.
    pub fn has_requested(&self, resource_type: ResourceType) -> bool {
        self.subscription(resource_type).is_requested()
    }

    /// Returns whether the proxy may still have the resource from its previous stream. False once it has requested the
    /// type on this stream.
    pub fn had_on_previous_stream(&self, resource_type: ResourceType, name: &str) -> bool {
        !self.has_requested(resource_type)
            && self.previous_versions[resource_type as usize].contains_key(name)
    }

    /// Returns the time at which the oldest unanswered response was sent; `None` if all are answered.
    pub fn oldest_pending_sent_at(&self) -> Option<Micros> {
        let oldest = self.subscriptions.iter().filter_map(|subscription| subscription.pending.front());
        oldest.map(|response| response.sent_at).min()
    }

    /// Returns whether an unanswered response contains the resource.
    pub fn is_pending(&self, resource_type: ResourceType, name: &str) -> bool {
        let mut changes =
            self.subscription(resource_type).pending.iter().flat_map(|response| &response.changes);
        changes.any(|change| change.name == name)
    }

    /// Returns the names of the clusters that were sent to the proxy.
    pub fn sent_clusters(&self) -> impl Iterator<Item = &String> {
        self.subscription(ResourceType::Cluster).sent.keys()
    }

    /// Returns the generation of the resource version that the proxy acknowledged last; 0 if another control plane
    /// created that version, `None` if the proxy has acknowledged none.
    pub fn acknowledged_generation(&self, resource_type: ResourceType, name: &str) -> Option<u64> {
        let known = self.subscription(resource_type).acknowledged.get(name)?;
        Some(known.resource.as_ref().map_or(0, |resource| resource.generation))
    }

    /// Returns the clusters that the proxy may use, each with the maximum of `max_requests` over the acknowledged and
    /// the unanswered versions, since the proxy may apply any of them.
    pub fn max_requests_in_force(&self) -> BTreeMap<String, u32> {
        let subscription = self.subscription(ResourceType::Cluster);
        let acknowledged = if subscription.is_requested() {
            &subscription.acknowledged
        } else {
            &self.previous_versions[ResourceType::Cluster as usize]
        };
        let pending = subscription.pending.iter().flat_map(|response| &response.changes);
        let pending = pending.filter_map(|change| change.version.as_ref());
        let mut max_requests = BTreeMap::new();
        for resource in acknowledged.values().chain(pending).filter_map(|known| known.resource.as_ref()) {
            let max: &mut u32 = max_requests.entry(resource.name.clone()).or_default();
            *max = resource.max_requests.max(*max);
        }
        max_requests
    }

    /// Matches the type version that a reconnecting proxy named against the desired and the previous versions.
    /// On a match, the resources of that version count as sent and acknowledged; otherwise none do.
    fn resolve_claimed_version(&mut self, resource_type: ResourceType, desired: &ResourceSnapshot) {
        let desired = desired.of_type(resource_type);
        if desired.is_empty() {
            return;
        }
        let subscription = &mut self.subscriptions[resource_type as usize];
        let Some(claimed) = subscription.claimed_version.take() else { return };
        let current: BTreeMap<String, KnownVersion> =
            desired.iter().map(|(name, resource)| (name.clone(), KnownVersion::of(resource))).collect();
        let candidates = [&current, &self.previous_versions[resource_type as usize]];
        let candidates = candidates.map(|versions| subscription.subscribed_of(versions));
        let matching = candidates.into_iter().find(|versions| type_version(versions) == claimed);
        subscription.state = match matching {
            Some(_) => RequestState::Responded,
            None => RequestState::AwaitingResponse,
        };
        subscription.acknowledged = matching.unwrap_or_default();
        subscription.sent = subscription.acknowledged.clone();
    }

    /// Points endpoint versions to the desired resources with equal content, so that they count as of the newest
    /// generation.
    fn refresh_endpoint_generations(&mut self, desired: &ResourceSnapshot) {
        let desired = desired.of_type(ResourceType::Endpoints);
        let endpoints = self.subscription_mut(ResourceType::Endpoints);
        for (name, known) in endpoints.sent.iter_mut().chain(&mut endpoints.acknowledged) {
            let same = desired.get(name).filter(|resource| resource.version == known.version);
            known.resource = same.cloned().or(known.resource.take());
        }
    }
}
