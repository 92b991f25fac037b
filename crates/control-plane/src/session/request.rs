//! Handling of discovery requests: changes of subscriptions, and answers (ACK or NACK) to responses.

use super::DiscoverySession;
use super::subscription::{KnownVersion, TypeSubscription};
use crate::resource::{ResourceSnapshot, ResourceType};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of resource names of one type that a proxy may subscribe to.
const MAX_NAMES: usize = 4096;
/// Maximum length of a resource name, in bytes.
const MAX_NAME_LENGTH: usize = 512;
/// The resource name that subscribes to all resources of a type.
const WILDCARD: &str = "*";

/// A request of the state-of-the-world variant, with the fields of a DiscoveryRequest.
#[derive(Clone, Debug, Default)]
pub struct StateOfTheWorldRequest {
    /// `type_url`: the resource type that the request is about.
    pub type_url: String,
    /// `version_info`: the type version that the proxy applied last; empty if none.
    pub version: String,
    /// `response_nonce`: the nonce of the answered response; empty in the first request of a type.
    pub nonce: String,
    /// `resource_names`: the names subscribed to, in place of all earlier ones.
    pub resource_names: Vec<String>,
    /// The message of `error_detail`, which makes the request a NACK.
    pub rejection: Option<String>,
}

/// A request of the incremental variant, with the fields of a DeltaDiscoveryRequest.
#[derive(Clone, Debug, Default)]
pub struct DeltaRequest {
    /// `type_url`: the resource type that the request is about.
    pub type_url: String,
    /// `resource_names_subscribe`: names to add to the subscription.
    pub subscribe: Vec<String>,
    /// `resource_names_unsubscribe`: names to remove from the subscription.
    pub unsubscribe: Vec<String>,
    /// `initial_resource_versions`: versions that the proxy has from an earlier stream, by resource name.
    pub initial_versions: BTreeMap<String, String>,
    /// `response_nonce`: the nonce of the answered response; empty if the request answers none.
    pub nonce: String,
    /// The message of `error_detail`, which makes the request a NACK.
    pub rejection: Option<String>,
}

/// The answer to an earlier response that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Acknowledgement {
    /// The request answers no response: it starts or changes a subscription.
    Absent,
    /// The proxy accepted the response.
    Ack,
    /// The proxy rejected the response.
    Nack,
    /// The nonce belongs to no unanswered response.
    StaleNonce,
}

/// Reason for which a request is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The first request lists more versions than a proxy may subscribe to.
    #[error("initial_resource_versions: {count} entries, at most {MAX_NAMES} are allowed")]
    TooManyInitialVersions {
        /// Number of versions in the request.
        count: usize,
    },
    /// The proxy has subscribed to too many resources of a type.
    #[error("resource_names_subscribe: subscribed to {count} names, at most {MAX_NAMES} are allowed")]
    TooManySubscriptions {
        /// Number of names in the subscription after the request.
        count: usize,
    },
    /// The request names too many resources.
    #[error("resource_names: {count} names, at most {MAX_NAMES} are allowed")]
    TooManyNames {
        /// Number of names in the request.
        count: usize,
    },
    /// The request contains a name that is too long.
    #[error("resource_names: a name has {length} bytes, at most {MAX_NAME_LENGTH} are allowed")]
    NameTooLong {
        /// Length of the first such name, in bytes.
        length: usize,
    },
}

impl DiscoverySession {
    /// Handles a state-of-the-world request ("ACK/NACK and resource type instance version", "How the client
    /// specifies what resources to return").
    pub fn state_of_the_world_request(
        &mut self, resource_type: ResourceType, request: StateOfTheWorldRequest, desired: &ResourceSnapshot,
    ) -> Result<Acknowledgement, RequestError> {
        let subscription = self.subscription_mut(resource_type);
        let is_first = subscription.mark_requested();
        let mut acknowledgement = Acknowledgement::Absent;
        if !is_first && !request.nonce.is_empty() {
            acknowledgement =
                subscription.record_acknowledgement(&request.nonce, request.rejection.as_deref());
            // "Resource updates": an answer to an older response does not change the subscription.
            if request.nonce.parse() != Ok(subscription.last_nonce) {
                return Ok(acknowledgement);
            }
        }
        check_names(&request.resource_names)?;
        subscription.replace_names(resource_type, request.resource_names);
        if is_first {
            subscription.claimed_version = Some(request.version).filter(|version| !version.is_empty());
        }
        self.resolve_claimed_version(resource_type, desired);
        self.subscription_mut(resource_type).drop_unsubscribed();
        Ok(acknowledgement)
    }

    /// Handles an incremental request ("Incremental xDS").
    pub fn delta_request(
        &mut self, resource_type: ResourceType, request: DeltaRequest, desired: &ResourceSnapshot,
    ) -> Result<Acknowledgement, RequestError> {
        let previous = &self.previous_versions[resource_type as usize];
        let subscription = &mut self.subscriptions[resource_type as usize];
        let is_first = subscription.mark_requested();
        let acknowledgement = if request.nonce.is_empty() || is_first {
            Acknowledgement::Absent
        } else {
            subscription.record_acknowledgement(&request.nonce, request.rejection.as_deref())
        };
        check_names(&request.subscribe)?;
        check_names(&request.unsubscribe)?;
        if is_first {
            subscription.wildcard = resource_type.is_full_state() && request.subscribe.is_empty();
            let count = request.initial_versions.len();
            if count > MAX_NAMES {
                return Err(RequestError::TooManyInitialVersions { count });
            }
            subscription.set_initial_versions(resource_type, request.initial_versions, desired, previous);
        }
        for name in request.subscribe {
            // "the server must still provide those resources": subscribing again to a resource that the proxy
            // already has requests it once more.
            if !is_first && name != WILDCARD {
                subscription.allow_resend(&name);
            }
            subscription.subscribe(resource_type, name);
        }
        for name in &request.unsubscribe {
            subscription.wildcard &= name != WILDCARD;
            subscription.names.remove(name);
        }
        let count = subscription.names.len();
        if count > MAX_NAMES {
            return Err(RequestError::TooManySubscriptions { count });
        }
        subscription.drop_unsubscribed();
        Ok(acknowledgement)
    }
}

impl TypeSubscription {
    /// Replaces the subscription with these names.
    fn replace_names(&mut self, resource_type: ResourceType, names: Vec<String>) {
        self.has_named_resources |= !names.is_empty();
        self.names = BTreeSet::from_iter(names);
        let names_wildcard = self.names.remove(WILDCARD);
        self.wildcard = resource_type.is_full_state() && (!self.has_named_resources || names_wildcard);
    }

    /// Records the versions that a reconnecting proxy names as sent and acknowledged.
    fn set_initial_versions(
        &mut self, resource_type: ResourceType, versions: BTreeMap<String, String>,
        desired: &ResourceSnapshot, previous: &BTreeMap<String, KnownVersion>,
    ) {
        for (name, version) in versions {
            let current = desired.of_type(resource_type).get(&name).map(KnownVersion::of);
            let candidates = [current, previous.get(&name).cloned()];
            let known = candidates.into_iter().flatten().find(|known| known.version == version);
            self.sent.insert(name, known.unwrap_or(KnownVersion { version, resource: None }));
        }
        self.acknowledged = self.sent.clone();
    }

    /// Adds a name, or the wildcard, to the subscription.
    fn subscribe(&mut self, resource_type: ResourceType, name: String) {
        if name == WILDCARD {
            self.wildcard = resource_type.is_full_state();
        } else {
            self.names.insert(name);
        }
    }

    /// Makes a resource eligible to be sent again, even if the proxy has it, rejected it, or was notified that
    /// it does not exist.
    fn allow_resend(&mut self, name: &str) {
        self.sent.remove(name);
        self.rejected.remove(name);
        self.reported_missing.remove(name);
    }
}

fn check_names(names: &[String]) -> Result<(), RequestError> {
    let count = names.len();
    if count > MAX_NAMES {
        return Err(RequestError::TooManyNames { count });
    }
    match names.iter().find(|name| name.len() > MAX_NAME_LENGTH) {
        Some(name) => Err(RequestError::NameTooLong { length: name.len() }),
        None => Ok(()),
    }
}
