//! What discovery has reported: events of requests are recorded first, and their endpoint updates are then taken one at a
//! time, so that the caller can apply each before the next is stored.

use super::Discovery;
use super::outcome::RequestOutcome;
use crate::io::ConnectionId;
use crate::router::connection::discovery::{BodyProgress, DiscoveryError, EndpointList, ResponseRead};
use crate::router::context::Context;
use balancer::{Endpoint, EndpointUpdate};

/// An endpoint update for the balancer.
#[derive(Debug)]
pub struct EndpointReport {
    /// The kind of the update.
    pub update: EndpointUpdate,
    /// The endpoints that it lists; none if the request failed.
    pub endpoints: Vec<Endpoint>,
}

impl EndpointReport {
    const FAILED: EndpointReport = EndpointReport { update: EndpointUpdate::Failed, endpoints: Vec::new() };
}

/// Something that is still to be reported.
#[derive(Debug)]
pub(super) enum PendingReport {
    /// The updates in the bytes that a response has brought.
    Read { connection: ConnectionId, read: ResponseRead },
    /// The list of a poll, whose connection is closed afterwards.
    PolledList { connection: ConnectionId, list: EndpointList },
    /// A list that came on no connection.
    LoadedList(EndpointList),
    /// The failure of a request.
    Failure,
}

impl Discovery {
    /// Reads further bytes of a response.
    pub fn received(&mut self, context: &mut Context, id: ConnectionId, bytes: &[u8]) {
        match self.read(context, id, bytes) {
            Ok(read) => self.pending.push_back(PendingReport::Read { connection: id, read }),
            Err(error) => self.reject(context, id, &error),
        }
    }

    /// Handles the end of a connection.
    pub fn ended(&mut self, context: &mut Context, id: ConnectionId) {
        let outcome = self.request_ended(context, id);
        self.push_outcome(id, outcome);
    }

    /// Handles the timeout of a request.
    pub fn request_timer_expired(&mut self, context: &mut Context, id: ConnectionId) {
        let outcome = self.timed_out(context, id);
        self.push_outcome(id, outcome);
    }

    /// Loads a list that came on no connection, such as the one from before the start.
    pub fn load(&mut self, list: EndpointList) {
        self.pending.push_back(match list.update {
            EndpointUpdate::Failed => PendingReport::Failure,
            _ => PendingReport::LoadedList(list),
        });
    }

    /// Returns whether there are reports that are not due to an event of a connection.
    pub fn has_pending_reports(&self) -> bool {
        self.unreported_failures > 0 || !self.pending.is_empty()
    }

    /// Stores the next endpoint update and returns it; `None` if there is none.
    pub fn next_report(&mut self, context: &mut Context) -> Option<EndpointReport> {
        while let Some(pending) = self.pending.pop_front() {
            if let Some(report) = self.report(context, pending) {
                return Some(report);
            }
        }
        if self.unreported_failures > 0 {
            self.unreported_failures -= 1;
            self.handle_failure(context);
            return Some(EndpointReport::FAILED);
        }
        let endpoints = self.apply_partial_list(context);
        (!endpoints.is_empty()).then_some(EndpointReport { update: EndpointUpdate::Incremental, endpoints })
    }

    fn report(&mut self, context: &mut Context, pending: PendingReport) -> Option<EndpointReport> {
        match pending {
            PendingReport::Read { connection, read } => self.report_read(context, connection, read),
            PendingReport::PolledList { connection, list } => {
                let report = self.report_list(context, &list);
                context.close(connection);
                Some(report)
            }
            PendingReport::LoadedList(list) => Some(self.report_list(context, &list)),
            PendingReport::Failure => Some(EndpointReport::FAILED),
        }
    }

    /// Returns the next update in a response. Ends the read if there is none.
    fn report_read(
        &mut self, context: &mut Context, id: ConnectionId, read: ResponseRead,
    ) -> Option<EndpointReport> {
        match self.next_update(context, id) {
            Ok(Some(list)) => {
                self.pending.push_front(PendingReport::Read { connection: id, read });
                return Some(self.report_list(context, &list));
            }
            Ok(None) => {
                self.finish_reading(context, id, read);
                if read.progress == BodyProgress::Complete {
                    self.ended(context, id);
                }
            }
            Err(error) => self.reject(context, id, &error),
        }
        None
    }

    fn report_list(&mut self, context: &mut Context, list: &EndpointList) -> EndpointReport {
        EndpointReport { update: list.update, endpoints: self.store(context, list) }
    }

    fn reject(&mut self, context: &mut Context, id: ConnectionId, error: &DiscoveryError) {
        let outcome = self.reject_response(context, id, error);
        self.push_outcome(id, outcome);
    }

    fn push_outcome(&mut self, id: ConnectionId, outcome: RequestOutcome) {
        match outcome {
            RequestOutcome::List(list) => {
                self.pending.push_back(PendingReport::PolledList { connection: id, list });
            }
            RequestOutcome::Replaced => {}
            RequestOutcome::Failed => self.pending.push_back(PendingReport::Failure),
        }
    }
}
