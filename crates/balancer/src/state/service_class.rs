//! Service classes: their settings and what was measured of their queries.

use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::{ClassSettings, Idempotency, Micros};

/// The weights of shards that an answer needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Completeness {
    /// The weight that makes it complete.
    pub required: f64,
    /// The weight that makes it at least partial.
    pub minimum: f64,
}

/// The settings of a service class, and what was measured of its queries.
#[derive(Clone, Debug)]
pub struct ServiceClass {
    /// Whether an attempt may be repeated.
    pub idempotency: Idempotency,
    /// How soon after its arrival a query should be answered.
    pub latency_objective: Micros,
    /// How much longer than that a query may take for each unit of its estimated work.
    pub latency_objective_stretch: f64,
    /// How soon after its arrival a query must be answered.
    pub deadline: Micros,
    /// What an answer after the latency objective is worth, relative to one before.
    pub late_value: f64,
    /// What a partial answer is worth, relative to a complete one.
    pub partial_value: f64,
    /// The weight of shards that makes an answer complete.
    pub completeness_required: f64,
    /// The weight of shards that makes an answer at least partial.
    pub completeness_minimum: f64,
    /// What a query counts for relative to others.
    pub priority_weight: f64,
    /// How long a repeat is recognized by its key.
    pub idempotency_window: Micros,
    /// Whether a query has a second step of shard requests that follow the first answer.
    pub second_step: bool,
    /// How long complete queries took from their admission.
    pub durations: SlidingWindow,
    /// How long a query usually takes from its admission, as of this decision.
    pub expected_duration: Micros,
    /// The time that clients left for their queries.
    pub query_timeouts: SlidingWindow,
}

impl ServiceClass {
    /// A class without measurements. Without a latency objective its deadline takes the place.
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
