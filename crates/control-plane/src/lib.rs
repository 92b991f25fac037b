//! The control plane: distributes the balancer's decisions to third-party proxies through xDS v3, and feeds
//! their load reports back to the balancer.
//!
//! 1. The control plane runs the router's client of discovery and passes each endpoint list to the balancer
//!    (`endpoint_table`), as a router does.
//! 2. The desired state (`desired_state`) is derived from the endpoint health that the balancer computes: the
//!    nodes of each replica set, the number of requests that each may have in flight, and the fraction of
//!    requests to shed.
//! 3. The desired state is encoded as xDS resources (`encode`). Proxies that need the same resource share one
//!    encoding (`resource_cache`).
//! 4. A proxy opens a stream and subscribes to resources (`session`). Changed resources are pushed in an order
//!    in which no route refers to a cluster without endpoints.
//! 5. The capacity of clusters is divided among proxies (`fair_share`, `capacity_ledger`). A grant is raised
//!    only after the proxies whose grants shrink have acknowledged that.
//! 6. A drained node is tracked until every proxy that may use it has acknowledged endpoints without it
//!    (`drain_tracker`).
//! 7. Load reports of proxies are validated, aggregated (`load_reports`) and passed to the balancer.
//!
//! `control_plane` is the state machine that combines these modules. `server` and `codec` connect it to
//! sockets; `tls` loads the certificates. `docs/control.md` compares the designs that were considered.

#![warn(missing_docs)]

mod capacity_ledger;
mod codec;
mod control_plane;
mod deployment_settings;
mod desired_state;
mod drain_tracker;
mod dump;
mod encode;
mod endpoint_table;
mod fair_share;
mod ids;
mod load_reports;
mod metrics;
mod options;
mod resource;
mod resource_cache;
mod server;
mod session;
mod tls;

pub use control_plane::{
    AuthorizedNames, ConstrainedUsage, ControlPlane, Effect, LoadReportRequest, ProxyNode, Service,
    StreamError, TICK_INTERVAL,
};
pub use dump::{DumpError, dump};
pub use ids::StreamId;
pub use load_reports::{EndpointLoad, ProbeResult};
pub use options::{Options, TlsFiles};
pub use query_router::discovery::{Bytes, ConnectionId, DiscoveryEffect, DiscoveryEvent};
pub use resource::{Resource, ResourceType};
pub use server::{ServeError, run, runtime, serve};
pub use session::{
    DeltaRequest, ProtocolVariant, RequestError, Response, ResponseKind, StateOfTheWorldRequest,
};
pub use tls::TlsError;
