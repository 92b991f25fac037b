//! Tests of the policy. Each builds the state that it needs and checks one behaviour.

mod admission;
mod completion;
mod discovery;
mod endpoint_health;
mod fleet;
mod health;
mod retries;
mod rig;
mod selection;
mod slow_start;

use super::*;
