//! The state machine, given plain values. The files are named for what they test; `event_sequences` draws events of all
//! kinds.

mod clients;
mod connection_limit;
mod discovery;
mod dispatch;
mod endpoints;
mod event_sequences;
mod node_connections;
mod queries;
mod rig;
mod shutdown;

use crate::config::Config;
use crate::io::{ConnectionId, Effect, Event};
use crate::protocol::frames;
use crate::router::Router;
use crate::router::shutdown::{IDLE_CLOSE_DELAY, KILL_DELAY};
use balancer::{Actions, AttemptId, AttemptNumber, EndpointUpdate, NodeId, ShardRequestId};
use rig::{CONFIG, DISCOVERY_PORT, FollowUp, Outgoing, Peers, RecordingPeers, Rig, START, frame, post};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
