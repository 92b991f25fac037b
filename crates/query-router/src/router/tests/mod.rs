//! Tests of the router's state machine, which takes events and returns effects as plain values. Each file tests one
//! area; `event_sequences` applies random sequences of all events.

mod clients;
mod connection_limit;
mod descriptor_shortage;
mod discovery;
mod dispatch;
mod drain_grid;
mod endpoints;
mod event_sequences;
mod message_ends;
mod node_connections;
mod queries;
mod response_ends;
mod rig;
mod shutdown;
mod stale_lists;
mod start;

use crate::config::Config;
use crate::io::{ConnectionId, Effect, Event};
use crate::protocol::frames;
use crate::router::Router;
use crate::router::shutdown::{IDLE_CLOSE_DELAY, KILL_DELAY};
use balancer::{Actions, AttemptId, AttemptNumber, AttemptOutcome, EndpointUpdate, NodeId, ShardRequestId};
use rig::{
    CONFIG, DISCOVERY_PORT, FollowUp, Outgoing, Peers, RecordingPeers, Rig, START, frame, query_request,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
