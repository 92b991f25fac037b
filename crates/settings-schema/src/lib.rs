//! What the query router, the control plane and the simulator adapter share: the translation of the
//! platform's settings, load reports and endpoint lists to typed values, and small indices for ids.

#![warn(missing_docs)]

mod endpoints;
mod ids;
mod load;
mod settings;
mod start_times;
mod terms;

pub use endpoints::{EndpointEntry, endpoint_state};
pub use ids::IdInterner;
pub use load::parse_load_metrics;
pub use settings::{SettingsError, StatedSettings, parse_settings};
pub use start_times::{NodeStart, StartTimes};
