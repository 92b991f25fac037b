//! Scripted servers and clients for tests, implemented from the documentation of the real ones. Each server listens
//! on a loopback port that the system chooses and serves each connection on its own thread. Tests configure all of them
//! with plain values.

#![warn(missing_docs)]

mod data_node;
mod discovery;
mod held_connections;
mod listener;
mod load_reporter;
mod proxy;
mod proxy_view;
mod resources;
mod script;
mod xds_client;
mod xds_messages;

pub use data_node::data_node;
pub use discovery::{Discovery, WatchPace, member};
pub use held_connections::{HeldConnections, Holding};
pub use listener::listen;
pub use load_reporter::{EndpointLoad, LoadReportStream};
pub use proxy::{Proxy, request_unknown_type};
pub use proxy_view::{Backend, View};
pub use script::{ProxyTls, Reject, Script};
pub use xds_client::XdsClient;
pub use xds_messages::{DiscoveryRequest, DiscoveryResponse, ReceivedResource};
