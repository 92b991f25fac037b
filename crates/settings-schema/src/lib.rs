//! Translation of the platform's settings, load reports and endpoint lists to typed values, shared by the
//! query router, the control plane and the simulator adapter. Also maps ids to small indices and converts the
//! start times of nodes to the local clock.

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
