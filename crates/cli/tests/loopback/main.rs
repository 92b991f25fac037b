//! The program as it is started, on real connections: tests of complete queries, and tests that each force
//! one order of events which is rare otherwise.

mod discovery;
mod node_connections;
mod resource_limits;
mod rig;
mod serving;
mod shutdown;
mod system_calls;
