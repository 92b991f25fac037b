//! The client of discovery, which the control plane runs as well as the router.

pub use crate::io::{Bytes, ConnectionId};
pub use crate::router::{DiscoveryClient, DiscoveryEffect, DiscoveryEvent, EndpointReport};
