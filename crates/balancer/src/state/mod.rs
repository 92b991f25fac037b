//! State that the balancer keeps between decisions. The decisions and all tuned values are in
//! [`policy`](crate::policy).

mod admission_state;
mod candidate;
mod deployment_settings;
mod discovery_state;
mod fleet_statistics;
mod node;
mod node_table;
mod observation;
mod plan;
mod query;
mod query_table;
mod samples_retained;
mod service_class;
mod shard_map;
mod shard_request;
mod sliding_window;

pub use admission_state::AdmissionState;
pub use candidate::{Candidate, Choice, LimitCheck, Preference};
#[cfg(test)]
pub use deployment_settings::ColdOverloadRule;
pub use deployment_settings::DeploymentSettings;
pub use discovery_state::DiscoveryState;
pub use fleet_statistics::FleetStatistics;
pub use node::{InFlightAttempt, NodeState, SlowStart, WarmUpReason};
pub use node_table::NodeTable;
pub use observation::{LateAttempt, Observation};
pub use plan::{Assignment, Plan};
pub use query::Query;
pub use query_table::{Progress, QueryTable};
pub use samples_retained::SamplesRetained;
pub use service_class::{Completeness, ServiceClass};
pub use shard_map::ShardMap;
pub use shard_request::{Repeat, ShardRequest};
pub use sliding_window::SlidingWindow;
