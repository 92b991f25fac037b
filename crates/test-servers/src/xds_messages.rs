//! Requests and responses of the aggregated discovery service, in one form for both of its variants: the
//! state of the world and incremental.

use crate::resources::name_of;
use prost::{Message, Name};
use xds_api::pb::envoy::config::core::v3::Node;
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::google::protobuf::Any;
use xds_api::pb::google::rpc;

/// The status code of a rejection.
const INVALID_ARGUMENT: i32 = tonic::Code::InvalidArgument as i32;

/// One request. A state-of-the-world request uses `version` and `names`, an incremental one `subscribe`,
/// `unsubscribe` and `initial`.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryRequest {
    /// The type of the resources.
    pub url: String,
    /// The version accepted last.
    pub version: String,
    /// The nonce of the response that it answers; empty for none.
    pub nonce: String,
    /// All names that the proxy subscribes to.
    pub names: Vec<String>,
    /// The names to subscribe to.
    pub subscribe: Vec<String>,
    /// The names to unsubscribe from.
    pub unsubscribe: Vec<String>,
    /// By name, the versions that the proxy has from an earlier stream.
    pub initial: Vec<(String, String)>,
    /// Why the response was rejected, if it was.
    pub rejection: Option<String>,
}

/// One response.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryResponse {
    /// The type of the resources.
    pub url: String,
    /// The version of a state-of-the-world response; empty in an incremental one.
    pub version: String,
    /// The nonce that the answer to it repeats.
    pub nonce: String,
    /// The resources in it.
    pub resources: Vec<ReceivedResource>,
    /// The names of removed resources.
    pub removed: Vec<String>,
}

/// One resource of a response.
#[derive(Clone, Debug, Default)]
pub struct ReceivedResource {
    /// Its name.
    pub name: String,
    /// Its version in an incremental response.
    pub version: String,
    /// Its content; a heartbeat has none.
    pub content: Option<Any>,
}

/// A request of one variant of the service.
pub(crate) trait WireRequest: Sized {
    fn new(request: DiscoveryRequest, node: Option<Node>) -> Self;
}

/// A response of one variant of the service.
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
            type_url: request.url,
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
            type_url: request.url,
            resource_names_subscribe: request.subscribe,
            resource_names_unsubscribe: request.unsubscribe,
            initial_resource_versions: request.initial.into_iter().collect(),
            ..Default::default()
        }
    }
}

impl WireResponse for ads::DiscoveryResponse {
    fn into_response(self) -> DiscoveryResponse {
        DiscoveryResponse {
            url: self.type_url,
            version: self.version_info,
            nonce: self.nonce,
            resources: self.resources.into_iter().map(unwrapped).collect(),
            removed: Vec::new(),
        }
    }
}

/// A resource with a time to live comes wrapped; a heartbeat is wrapped without content.
fn unwrapped(any: Any) -> ReceivedResource {
    if any.type_url != ads::Resource::type_url() {
        return ReceivedResource { name: name_of(&any), version: String::new(), content: Some(any) };
    }
    received(ads::Resource::decode(&any.value[..]).expect("a resource"))
}

impl WireResponse for ads::DeltaDiscoveryResponse {
    fn into_response(self) -> DiscoveryResponse {
        DiscoveryResponse {
            url: self.type_url,
            version: String::new(),
            nonce: self.nonce,
            resources: self.resources.into_iter().map(received).collect(),
            removed: self.removed_resources,
        }
    }
}

fn received(resource: ads::Resource) -> ReceivedResource {
    ReceivedResource { name: resource.name, version: resource.version, content: resource.resource }
}
