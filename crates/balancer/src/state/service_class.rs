//! Settings and measurements of service classes.

use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::{ClassSettings, Idempotency, Micros};

/// Minimum total weights of the answered shards.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completeness {
    /// Minimum weight for a complete answer.
    pub required: f64,
    /// Minimum weight for a partial answer.
    pub minimum: f64,
}

/// Settings of a service class, and measurements of its queries.
#[derive(Clone, Debug)]
pub struct ServiceClass {
    /// Whether an attempt that may have been executed may be repeated.
    pub idempotency: Idempotency,
    /// Time within which a query should be answered, from its arrival; equal to the deadline if the class has
    /// no objective.
    pub latency_objective: Micros,
    /// Extension of the latency objective, as a multiple of the query's estimated work.
    pub latency_objective_stretch: f64,
    /// Time within which a query must be answered, from its arrival.
    pub deadline: Micros,
    /// Value of an answer after the latency objective, relative to one before it.
    pub late_value: f64,
    /// Value of a partial answer, relative to a complete one.
    pub partial_value: f64,
    /// Minimum total weight of the answered shards for a complete answer.
    pub completeness_required: f64,
    /// Minimum total weight of the answered shards for a partial answer.
    pub completeness_minimum: f64,
    /// Importance of a query relative to those of other classes.
    pub priority_weight: f64,
    /// Time for which nodes detect duplicates by the idempotency key.
    pub idempotency_window: Micros,
    /// Whether a query has a second step, whose shard requests arrive after the answer to the first.
    pub second_step: bool,
    /// Durations of complete queries from their admission.
    pub durations: SlidingWindow,
    /// Expected duration of a query from its admission, computed in each decision; 0 without recent durations.
    pub expected_duration: Micros,
    /// Timeouts that clients set for their queries: time from arrival to deadline.
    pub query_timeouts: SlidingWindow,
}

impl ServiceClass {
    /// Creates a class without measurements.
    pub fn new(settings: &ClassSettings, retained: &SamplesRetained) -> Self {
        ServiceClass {
            idempotency: settings.idempotency,
            latency_objective: settings.latency_objective_or_deadline(),
            latency_objective_stretch: settings.latency_objective_stretch,
            deadline: settings.deadline,
            late_value: settings.late_value,
            partial_value: settings.partial_value,
            completeness_required: settings.completeness_required,
            completeness_minimum: settings.completeness_minimum,
            priority_weight: settings.priority_weight,
            idempotency_window: settings.idempotency_window,
            second_step: settings.second_step,
            durations: SlidingWindow::new(retained.class_durations),
            expected_duration: 0,
            query_timeouts: SlidingWindow::new(retained.class_query_timeouts),
        }
    }
}
