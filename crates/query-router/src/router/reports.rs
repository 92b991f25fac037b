//! Reports to the balancer. Each of them requires a decision afterwards.

use crate::protocol::query_request::RequestedShard;
use crate::router::Router;
use crate::router::clients::AcceptedQuery;
use crate::router::discovery::EndpointReport;
use crate::router::node_connections::NodeReport;
use crate::router::query_table::FinishedAttempt;
use crate::router::state::State;
use balancer::{
    AttemptEnd, EndpointUpdate, Events, HealthCheckEnd, InvalidatedResponse, LoadMetric, NodeId,
    ShardRequestArrival,
};

impl Router {
    /// Reports a query and its shard requests to the balancer.
    pub(super) fn report_query(&mut self, accepted: AcceptedQuery) {
        let AcceptedQuery { arrival, shards } = accepted;
        let now = self.state.context.now;
        self.balancer.query_arrived(now, &arrival);
        for RequestedShard { shard, weight, work } in shards {
            let shard_request = self.state.queries.add_shard_request(arrival.query, shard);
            let request = ShardRequestArrival { shard_request, query: arrival.query, shard, weight, work };
            self.balancer.shard_request_arrived(now, &request);
        }
        self.decision_needed = true;
    }

    /// Reports the end of an attempt or of a health check to the balancer.
    pub(super) fn report_to_balancer(&mut self, report: NodeReport) {
        match report {
            NodeReport::Attempt { finished, load } => self.report_attempt(&finished, &load),
            NodeReport::HealthCheck { finished, load } => {
                let end = HealthCheckEnd {
                    node: finished.node,
                    outcome: finished.outcome,
                    latency: finished.latency,
                    load: &load,
                };
                self.balancer.health_check_ended(self.state.context.now, &end);
                self.decision_needed = true;
            }
        }
    }

    /// Reports the ends of attempts and health checks to the balancer, in order.
    pub(super) fn report_all_to_balancer<'a>(&mut self, reports: impl IntoIterator<Item = NodeReport<'a>>) {
        for report in reports {
            self.report_to_balancer(report);
        }
    }

    /// Reports the end of an attempt to the balancer.
    pub(super) fn report_attempt(&mut self, finished: &FinishedAttempt, load: &[LoadMetric]) {
        let end = AttemptEnd {
            attempt: finished.attempt,
            node: finished.node,
            outcome: finished.outcome,
            latency: finished.latency,
            load,
        };
        self.balancer.attempt_ended(self.state.context.now, &end);
        self.decision_needed = true;
    }

    /// Reports the invalidation of a response to the balancer.
    pub(super) fn report_invalidation(&mut self, invalidated: &InvalidatedResponse) {
        self.balancer.response_invalidated(self.state.context.now, invalidated);
        self.decision_needed = true;
    }

    /// Reports the endpoint updates of discovery to the balancer, one after the other.
    pub(super) fn report_discovery(&mut self) {
        while let Some(report) = self.state.next_endpoint_report() {
            self.report_endpoints(&report);
        }
    }

    /// Reports an endpoint update to the balancer entry by entry, and applies it to the connections of the nodes.
    fn report_endpoints(&mut self, report: &EndpointReport) {
        let State { context, queries, dispatcher, .. } = &mut self.state;
        let now = context.now;
        self.balancer.endpoint_update_started(now, report.update);
        for endpoint in &report.endpoints {
            self.balancer.endpoint_listed(now, endpoint);
        }
        if report.update != EndpointUpdate::Failed {
            for node in 0..context.endpoints.len() {
                dispatcher.apply_endpoint(context, queries, NodeId(node));
            }
        }
        self.balancer.endpoint_update_finished(now, &mut self.state);
        self.update_readiness();
        self.decision_needed = true;
    }
}
