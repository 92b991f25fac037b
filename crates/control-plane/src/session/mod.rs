//! One proxy's stream of the aggregated discovery service, state of the world or incremental: its
//! subscriptions, what it was sent, acknowledged (ACK) and rejected (NACK), and what is to be pushed next.
//!
//! The session uses no socket and no clock. It follows the page "xDS REST and gRPC protocol", whose section
//! titles stand in quotes.
//!
//! A response of a type waits until the one before it is answered, so that a slow proxy gets the newest state
//! and never a queue of history. Only endpoints without a drained node may overtake, up to a limit.

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
    /// Each response lists all resources of its type, or all that changed.
    StateOfTheWorld,
    /// Responses list changes and removals.
    Delta,
}

/// Whether a proxy came with resources of another control plane, or of this one before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SessionOrigin {
    /// As far as is known, it has nothing yet.
    New,
    /// It named versions in its first requests.
    Resumed,
}

/// A proxy's discovery stream.
#[derive(Debug)]
pub(crate) struct DiscoverySession {
    variant: ProtocolVariant,
    origin: SessionOrigin,
    last_nonce: u64,
    subscriptions: [TypeSubscription; 4],
    /// What the proxy had on its stream before, by type, for one that comes back with what it had then.
    previous_versions: [BTreeMap<String, KnownVersion>; 4],
}

impl DiscoverySession {
    /// A new stream of a proxy. `previous` is the session of its stream before.
    pub fn new(variant: ProtocolVariant, previous: Option<DiscoverySession>) -> DiscoverySession {
        DiscoverySession {
            variant,
            origin: SessionOrigin::New,
            last_nonce: 0,
            subscriptions: Default::default(),
            previous_versions: previous.map(DiscoverySession::into_versions).unwrap_or_default(),
        }
    }

    /// All versions that the proxy may have at the end of the session, by type.
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

    /// Whether the proxy came with versions that were handed out before.
    pub fn is_resumed(&self) -> bool {
        self.origin == SessionOrigin::Resumed
    }

    /// Notes that the proxy came with versions that were handed out before.
    pub fn mark_resumed(&mut self) {
        self.origin = SessionOrigin::Resumed;
    }

    /// Whether the proxy has requested resources of this type on this stream.
    pub fn has_requested(&self, resource_type: ResourceType) -> bool {
        self.subscription(resource_type).is_requested()
    }

    /// Whether the proxy had the resource on its stream before, and has not said on this one what it has.
    pub fn had_before(&self, resource_type: ResourceType, name: &str) -> bool {
        !self.has_requested(resource_type)
            && self.previous_versions[resource_type as usize].contains_key(name)
    }

    /// When the oldest unanswered response was sent.
    pub fn oldest_pending(&self) -> Option<Micros> {
        let oldest = self.subscriptions.iter().filter_map(|subscription| subscription.pending.front());
        oldest.map(|response| response.sent_at).min()
    }

    /// Whether an unanswered response contains the resource.
    pub fn is_pending(&self, resource_type: ResourceType, name: &str) -> bool {
        let mut changes =
            self.subscription(resource_type).pending.iter().flat_map(|response| &response.changes);
        changes.any(|change| change.name == name)
    }

    /// The clusters that the proxy was sent.
    pub fn sent_clusters(&self) -> impl Iterator<Item = &String> {
        self.subscription(ResourceType::Cluster).sent.keys()
    }

    /// The generation of the version that the proxy is known to act on, for a resource that it has; 0 if
    /// another control plane made it.
    pub fn acknowledged_generation(&self, resource_type: ResourceType, name: &str) -> Option<u64> {
        let known = self.subscription(resource_type).acknowledged.get(name)?;
        Some(known.resource.as_ref().map_or(0, |resource| resource.generation))
    }

    /// The clusters in a version that the proxy may act on, with the most requests that it may have in flight
    /// by any of these versions.
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

    /// Finds out what a proxy that came back has, if the version that it named for all resources of the type
    /// is known.
    fn resume_type(&mut self, resource_type: ResourceType, desired: &ResourceSnapshot) {
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
        let held = candidates.into_iter().find(|versions| type_version(versions) == claimed);
        subscription.state = match held {
            Some(_) => RequestState::Responded,
            None => RequestState::AwaitingResponse,
        };
        subscription.acknowledged = held.unwrap_or_default();
        subscription.sent = subscription.acknowledged.clone();
    }

    /// Lets versions refer to the desired resources with the same content, so that they count as of the
    /// newest generation.
    fn refresh_endpoint_generations(&mut self, desired: &ResourceSnapshot) {
        let desired = desired.of_type(ResourceType::Endpoints);
        let endpoints = self.subscription_mut(ResourceType::Endpoints);
        for (name, known) in endpoints.sent.iter_mut().chain(&mut endpoints.acknowledged) {
            let same = desired.get(name).filter(|resource| resource.version == known.version);
            known.resource = same.cloned().or(known.resource.take());
        }
    }
}
