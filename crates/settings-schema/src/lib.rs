//! What the fronts of yewpier say alike: the settings' names, load reports, and small indices for ids.

pub mod ids;
pub mod names;
