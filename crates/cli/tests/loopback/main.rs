//! Tests of the router as a process on loopback connections: complete queries, and orders of events that rarely occur
//! unless a test forces them.

mod control_plane;
mod discovery;
mod drains;
mod leaving_clients;
mod log_reader;
mod node_connections;
mod resource_limits;
mod rig;
mod serving;
mod shutdown;
mod system_calls;
