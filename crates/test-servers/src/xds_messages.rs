//! Requests and responses of the aggregated discovery service, in a common form for its two variants: state of the
//! world and incremental.

use crate::resources::name_of;
use prost::{Message, Name};
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::google::protobuf::Any;
use xds_api::pb::google::rpc;

/// The gRPC status code in the error detail of a NACK.
const INVALID_ARGUMENT: i32 = tonic::Code::InvalidArgument as i32;

/// A discovery request. A state-of-the-world request uses `version` and `names`; an incremental request uses
/// `subscribe`, `unsubscribe` and `initial_resource_versions`.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryRequest {
    /// The type URL of the resources.
    pub type_url: String,
    /// The version accepted last; empty if there is none.
    pub version: String,
    /// The nonce of the response that the request refers to; empty if there is none.
    pub nonce: String,
    /// All resource names that the proxy subscribes to; empty for a wildcard subscription.
    pub names: Vec<String>,
    /// The resource names to subscribe to.
    pub subscribe: Vec<String>,
    /// The resource names to unsubscribe from.
    pub unsubscribe: Vec<String>,
    /// The names and versions of the resources that the proxy has from an earlier stream.
    pub initial_resource_versions: Vec<(String, String)>,
    /// The reason for which the proxy rejected the response; `None` unless the request is a NACK.
    pub rejection: Option<String>,
}

/// A discovery response.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryResponse {
    /// The type URL of the resources.
    pub type_url: String,
    /// The version of a state-of-the-world response; empty in an incremental one.
    pub version: String,
    /// The nonce that the ACK or NACK repeats.
    pub nonce: String,
    /// The added, changed or renewed resources.
    pub resources: Vec<ReceivedResource>,
    /// The names of removed resources; empty in a state-of-the-world response.
    pub removed: Vec<String>,
}

/// A resource of a response.
#[derive(Clone, Debug, Default)]
pub struct ReceivedResource {
    /// The resource's name.
    pub name: String,
    /// The resource's version in an incremental response; empty in a state-of-the-world response.
    pub version: String,
    /// The resource itself; `None` in a heartbeat.
    pub content: Option<Any>,
}

/// A request message of one variant of the service.
pub(crate) trait WireRequest: Sized {
    fn new(request: DiscoveryRequest, node: Option<Node>) -> Self;
}

/// A response message of one variant of the service.
pub(crate) trait WireResponse {
    fn into_response(self) -> DiscoveryResponse;
}

fn error_detail(rejection: Option<String>) -> Option<rpc::Status> {
    rejection.map(|message| rpc::Status { code: INVALID_ARGUMENT, message, ..Default::default() })
}

impl WireRequest for ads::DiscoveryRequest {
    fn new(request: DiscoveryRequest, node: Option<Node>) -> Self {
        ads::DiscoveryRequest {
            node,
            version_info: request.version,
            response_nonce: request.nonce,
            error_detail: error_detail(request.rejection),
            type_url: request.type_url,
            resource_names: request.names,
            ..Default::default()
        }
    }
}

impl WireRequest for ads::DeltaDiscoveryRequest {
    fn new(request: DiscoveryRequest, node: Option<Node>) -> Self {
        ads::DeltaDiscoveryRequest {
            node,
            response_nonce: request.nonce,
            error_detail: error_detail(request.rejection),
            type_url: request.type_url,
            resource_names_subscribe: request.subscribe,
            resource_names_unsubscribe: request.unsubscribe,
            initial_resource_versions: request.initial_resource_versions.into_iter().collect(),
            ..Default::default()
        }
    }
}

impl WireResponse for ads::DiscoveryResponse {
    fn into_response(self) -> DiscoveryResponse {
        DiscoveryResponse {
            type_url: self.type_url,
            version: self.version_info,
            nonce: self.nonce,
            resources: self.resources.into_iter().map(unwrap_resource).collect(),
            removed: Vec::new(),
        }
    }
}

/// Returns the resource of a state-of-the-world response. A resource with a time to live is wrapped in a `Resource`;
/// the wrapper of a heartbeat has no content.
fn unwrap_resource(any: Any) -> ReceivedResource {
    if any.type_url != ads::Resource::type_url() {
        return ReceivedResource { name: name_of(&any), version: String::new(), content: Some(any) };
    }
    received_resource(ads::Resource::decode(&any.value[..]).expect("a wrapped resource"))
}

impl WireResponse for ads::DeltaDiscoveryResponse {
    fn into_response(self) -> DiscoveryResponse {
        DiscoveryResponse {
            type_url: self.type_url,
            version: String::new(),
            nonce: self.nonce,
            resources: self.resources.into_iter().map(received_resource).collect(),
            removed: self.removed_resources,
        }
    }
}

fn received_resource(resource: ads::Resource) -> ReceivedResource {
    ReceivedResource { name: resource.name, version: resource.version, content: resource.resource }
}
