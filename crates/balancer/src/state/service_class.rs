//! Service classes: their settings and what was measured of their queries.

use super::samples_retained::SamplesRetained;
use super::sliding_window::SlidingWindow;
use crate::{Micros, Settings};

/// Whether an attempt may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeating it changes nothing.
    Idempotent,
    /// A repeat within a window is recognized by its key.
    Keyed,
    /// Repeating it may execute it twice.
    NonIdempotent,
}

impl Idempotency {
    /// The kind with this name in the settings; an unknown name is taken for the strictest.
    pub fn from_name(name: &str) -> Self {
        match name {
            "idempotent" => Idempotency::Idempotent,
            "idempotency_key" => Idempotency::Keyed,
            _ => Idempotency::NonIdempotent,
        }
    }
}

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
    pub usual_duration: Micros,
    /// The time that clients left for their queries.
    pub time_allowed: SlidingWindow,
}

impl ServiceClass {
    /// Reads the settings of `class`. Without a latency objective its deadline takes the place.
    pub fn new(settings: &Settings, class: usize, retained: &SamplesRetained) -> Self {
        let name = |name| format!("class.{class}.{name}");
        let number = |key, absent| settings.number(&name(key)).unwrap_or(absent);
        let deadline = number("deadline_us", 0.0);
        ServiceClass {
            idempotency: Idempotency::from_name(settings.text(&name("idempotency"))),
            latency_objective: number("latency_objective_us", deadline) as Micros,
            latency_objective_stretch: number("latency_objective_stretch", 0.0),
            deadline: deadline as Micros,
            late_value: number("late_value", 0.0),
            partial_value: number("partial_value", 0.0),
            completeness_required: number("completeness_required", 1.0),
            completeness_minimum: number("completeness_minimum", 1.0),
            priority_weight: number("priority_weight", 1.0),
            idempotency_window: number("idempotency_window_us", 0.0) as Micros,
            second_step: number("second_step", 0.0) >= 1.0,
            durations: SlidingWindow::new(retained.class_durations),
            usual_duration: 0,
            time_allowed: SlidingWindow::new(retained.class_times_allowed),
        }
    }

    /// How many classes the settings name.
    pub fn count_named(settings: &Settings) -> usize {
        let is_named = |class: &usize| !settings.text(&format!("class.{class}.name")).is_empty();
        (0..).take_while(is_named).count()
    }
}
