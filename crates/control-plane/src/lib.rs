//! The control plane: hands the balancer's decisions to other proxies through xDS v3, and takes what they
//! report as evidence.
//!
//! 1. It watches discovery (`discovery_watch`) and passes each list to the balancer (`endpoint_table`), as a
//!    router does.
//! 2. The balancer says how healthy each node is; the desired state (`desired_state`) follows from that:
//!    which nodes hold which shards, how much may be in flight where, what is to be rejected.
//! 3. The desired state is encoded as resources (`encode`), each once for all proxies that get the same
//!    (`resource_cache`).
//! 4. A proxy opens a stream and subscribes (`session`). It is sent what it does not have, in an order that
//!    leaves no gap.
//! 5. The capacity of clusters is divided among proxies (`fair_share`, `capacity_ledger`): grants are lowered
//!    before others are raised.
//! 6. A node that is to get no new work is tracked until each proxy has acknowledged that (`drain_tracker`).
//! 7. Load reports of proxies are checked, pooled (`load_reports`) and passed to the balancer.
//!
//! `control_plane` is the state machine that holds all of it; `server` and `codec` connect it to sockets,
//! `tls` reads the certificates. `docs/control.md` says which designs were considered.

#![warn(missing_docs)]

mod capacity_ledger;
mod codec;
mod control_plane;
mod desired_state;
mod discovery_watch;
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
mod site_settings;
mod tls;

pub use control_plane::{
    AuthorizedNames, ConstrainedUsage, ControlPlane, Effect, LoadReportRequest, ProxyNode, Service,
    StreamError, TICK_INTERVAL,
};
pub use dump::{DumpError, dump};
pub use ids::StreamId;
pub use load_reports::{EndpointLoad, ProbeResult};
pub use options::{Options, TlsFiles};
pub use resource::{Resource, ResourceType};
pub use server::{ServeError, run, runtime, serve};
pub use session::{
    DeltaRequest, ProtocolVariant, RequestError, Response, ResponseKind, StateOfTheWorldRequest,
};
pub use tls::TlsError;
