//! Load balancing and admission control of the query router, without I/O.
//!
//! A query consists of requests to several shards. The balancer decides which data node each shard request is
//! sent to, when an attempt is retried or hedged, which queries are rejected under load, and when a query is
//! complete. A front end translates its protocol into calls of [`Events`] and performs the operations that the
//! balancer requests through [`Actions`].
//!
//! All times are integers in microseconds. Nodes, queries and shard requests are identified by small indices
//! that the front end allocates.
//!
//! ```
//! use balancer::*;
//!
//! #[derive(Default)]
//! struct Recorder(Vec<String>);
//! impl Actions for Recorder {
//!     fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, _timeout: Option<Micros>) {
//!         self.0.push(format!("send {} to {}", shard_request.0, node.0));
//!     }
//!     fn complete_query(&mut self, query: QueryId, completion: Completion) {
//!         self.0.push(format!("{} ends {completion:?}", query.0));
//!     }
//! }
//!
//! let mut settings = Settings::default();
//! settings.shards.replica_sets = Some(1);
//! settings.shards.replica_sets_per_shard = Some(1);
//! settings.classes = vec![ClassSettings { latency_objective: Some(1_000_000), ..Default::default() }];
//! let (mut balancer, mut recorder) = (Balancer::new(7, settings), Recorder::default());
//! let (node, query, shard_request) = (NodeId(5), QueryId(1), ShardRequestId(2));
//!
//! // Discovery lists a node, and a client sends a query for one shard.
//! let endpoint = Endpoint {
//!     node,
//!     zone: 0,
//!     replica_set: 0,
//!     state: EndpointState::Ready,
//!     scale: 1.0,
//!     started_at: 0,
//! };
//! balancer.endpoint_update_started(0, EndpointUpdate::Full);
//! balancer.endpoint_listed(0, &endpoint);
//! balancer.endpoint_update_finished(0, &mut recorder);
//! let arrival = QueryArrival {
//!     query,
//!     class: 0,
//!     tenant: 0,
//!     deadline: 2_000_000,
//!     work: 0,
//!     shard_requests: 1,
//!     is_retry: false,
//! };
//! balancer.query_arrived(0, &arrival);
//! let arrival = ShardRequestArrival { shard_request, query, shard: 0, weight: 1.0, work: 0 };
//! balancer.shard_request_arrived(0, &arrival);
//! balancer.decide(0, &mut recorder);
//!
//! // The node answers after 90 ms.
//! let end = AttemptEnd {
//!     attempt: AttemptId::new(shard_request, AttemptNumber(0)),
//!     node,
//!     outcome: AttemptOutcome::Succeeded,
//!     latency: 90_000,
//!     load: &[],
//! };
//! balancer.attempt_ended(90_000, &end);
//! balancer.decide(90_000, &mut recorder);
//! assert_eq!(recorder.0, ["send 2 to 5", "1 ends Complete"]);
//! ```

#![warn(missing_docs)]

mod actions;
mod balancer;
mod dispatch;
mod events;
mod ids;
mod policy;
mod settings;
mod state;

pub use actions::{Actions, Completion, EndpointHealth};
pub use balancer::Balancer;
pub use events::{
    AttemptEnd, AttemptOutcome, Endpoint, EndpointState, EndpointUpdate, Events, HealthCheckEnd,
    InvalidatedResponse, LoadMetric, LoadReport, QueryArrival, ShardRequestArrival,
};
pub use ids::{AttemptId, AttemptNumber, NodeId, QueryId, ShardRequestId};
pub use settings::{
    BatchSettings, ClassSettings, DiscoveryMode, Idempotency, LimitSettings, RuleSettings, Settings,
    ShardSettings, TenantSettings,
};

/// A point in time or a duration in microseconds.
pub type Micros = i64;
