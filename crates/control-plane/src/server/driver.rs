//! The driver: it owns the state machine, passes it what happens, and carries out its effects.

use super::clock::Clock;
use super::grpc::{OutgoingMessage, SHUTDOWN_MESSAGE, StreamHandle};
use crate::codec;
use crate::control_plane::{AuthorizedNames, ControlPlane, Effect, Service, StreamError};
use crate::discovery_watch::EndpointListUpdate;
use crate::ids::StreamId;
use crate::load_reports::ProbeResult;
use crate::options::Options;
use query_router::config::Config;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};
use tonic::Status;
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;

/// Data nodes that are probed at once.
const MAX_CONCURRENT_PROBES: usize = 64;

/// What other tasks tell the driver.
pub(super) enum Event {
    Opened {
        stream: StreamId,
        service: Service,
        authorized_names: AuthorizedNames,
        handle: StreamHandle,
    },
    StateOfTheWorldRequest(StreamId, Box<ads::DiscoveryRequest>),
    DeltaRequest(StreamId, Box<ads::DeltaDiscoveryRequest>),
    LoadReport(StreamId, Box<lrs::LoadStatsRequest>),
    Closed(StreamId),
    Probed(SocketAddr, ProbeResult),
    /// Someone asks for the metrics.
    MetricsRequested(oneshot::Sender<String>),
}

pub(super) struct Driver {
    control_plane: ControlPlane,
    clock: Clock,
    streams: HashMap<StreamId, StreamHandle>,
    watch_requested: Arc<Notify>,
    events: mpsc::Sender<Event>,
    probe_permits: Arc<Semaphore>,
    probe_timeout: Duration,
}

impl Driver {
    /// A driver whose own tasks send their results to `events`.
    pub fn new(config: &Config, options: Options, events: mpsc::Sender<Event>) -> Driver {
        let clock = Clock::new();
        let control_plane = ControlPlane::new(clock.now(), config, options);
        Driver {
            probe_timeout: control_plane.probe_timeout(),
            control_plane,
            clock,
            streams: HashMap::new(),
            watch_requested: Arc::default(),
            events,
            probe_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_PROBES)),
        }
    }

    /// Notified when discovery is to be watched.
    pub fn watch_requested(&self) -> Arc<Notify> {
        self.watch_requested.clone()
    }

    /// Takes in an endpoint list, or the news that there is none.
    pub fn endpoint_update(&mut self, update: &EndpointListUpdate) {
        self.control_plane.endpoint_update(self.clock.now(), &update.list, update.update);
        self.carry_out_effects();
    }

    /// Does what is due by the clock.
    pub fn tick(&mut self) {
        self.control_plane.tick(self.clock.now());
        self.carry_out_effects();
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let control_plane = &mut self.control_plane;
        match event {
            Event::Opened { stream, service, authorized_names, handle } => {
                self.streams.insert(stream, handle);
                control_plane.stream_opened(now, stream, service, authorized_names);
            }
            Event::StateOfTheWorldRequest(stream, mut message) => {
                let node = message.node.take();
                let request = codec::state_of_the_world_request(*message);
                control_plane.state_of_the_world_request(now, stream, codec::proxy_node(&node), request);
            }
            Event::DeltaRequest(stream, mut message) => {
                let node = message.node.take();
                let request = codec::delta_request(*message);
                control_plane.delta_request(now, stream, codec::proxy_node(&node), request);
            }
            Event::LoadReport(stream, message) => {
                let report = codec::load_report(&message);
                control_plane.load_report(now, stream, codec::proxy_node(&message.node), report);
            }
            Event::Closed(stream) => {
                self.streams.remove(&stream);
                control_plane.stream_closed(now, stream);
            }
            Event::Probed(address, result) => control_plane.probe_finished(address, result),
            // Who asked may be gone.
            Event::MetricsRequested(reply) => drop(reply.send(control_plane.metrics_text())),
        }
        self.carry_out_effects();
    }

    fn carry_out_effects(&mut self) {
        for effect in self.control_plane.take_effects() {
            match effect {
                Effect::Respond { stream, response } => {
                    self.send(stream, OutgoingMessage::Response(response));
                }
                Effect::RequestLoadReports(stream) => self.send(stream, OutgoingMessage::LoadReportSettings),
                Effect::CloseStream { stream, error } => self.close(stream, &error),
                Effect::WatchEndpoints => self.watch_requested.notify_one(),
                Effect::ProbeNode(address) => self.probe(address),
            }
        }
    }

    /// Sends a message. A stream that the proxy does not read is ended, and its queue dropped.
    fn send(&mut self, stream: StreamId, message: OutgoingMessage) {
        let Some(handle) = self.streams.get(&stream) else { return };
        if handle.send(message).is_ok() {
            return;
        }
        if let Some(handle) = self.streams.remove(&stream) {
            handle.end(Status::deadline_exceeded("nothing was taken on it"));
        }
        self.control_plane.stream_closed(self.clock.now(), stream);
    }

    fn close(&mut self, stream: StreamId, error: &StreamError) {
        if let Some(handle) = self.streams.remove(&stream) {
            handle.end(Status::new(error.code(), error.to_string()));
        }
    }

    /// Tries to connect to a data node, on a task of its own.
    fn probe(&self, address: SocketAddr) {
        let (events, permits, timeout) =
            (self.events.clone(), self.probe_permits.clone(), self.probe_timeout);
        tokio::spawn(async move {
            let Ok(_permit) = permits.acquire().await else { return };
            let connected = tokio::time::timeout(timeout, TcpStream::connect(address)).await;
            let result = match connected {
                Ok(Ok(_)) => ProbeResult::Reachable,
                Ok(Err(_)) | Err(_) => ProbeResult::Unreachable,
            };
            // The driver may have ended already.
            let _ = events.send(Event::Probed(address, result)).await;
        });
    }

    /// Ends all streams. Proxies continue with what they have.
    pub fn shut_down(&mut self) {
        for (_, handle) in self.streams.drain() {
            handle.end(Status::unavailable(SHUTDOWN_MESSAGE));
        }
    }
}
