//! The driver: owns the state machine, passes events to it and executes the effects that it returns.

use super::clock::Clock;
use super::discovery::{ConnectionMessage, DiscoveryConnections};
use super::grpc::{OutgoingMessage, SHUTDOWN_MESSAGE, StreamHandle};
use crate::codec;
use crate::control_plane::{AuthorizedNames, ControlPlane, Effect, Service, StreamError};
use crate::ids::StreamId;
use crate::load_reports::ProbeResult;
use crate::options::Options;
use query_router::config::Config;
use query_router::discovery::DiscoveryEvent;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tonic::Status;
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;

/// An event that another task sends to the driver.
pub(super) enum Event {
    StreamOpened {
        stream: StreamId,
        service: Service,
        authorized_names: AuthorizedNames,
        handle: StreamHandle,
    },
    StateOfTheWorldRequest(StreamId, Box<ads::DiscoveryRequest>),
    DeltaRequest(StreamId, Box<ads::DeltaDiscoveryRequest>),
    LoadReport(StreamId, Box<lrs::LoadStatsRequest>),
    StreamClosed(StreamId),
    ProbeFinished(SocketAddr, ProbeResult),
    /// An HTTP client requests the metrics; the sender takes their text.
    MetricsRequested(oneshot::Sender<String>),
}

pub(super) struct Driver {
    control_plane: ControlPlane,
    clock: Clock,
    streams: HashMap<StreamId, StreamHandle>,
    discovery: DiscoveryConnections,
    events: mpsc::Sender<Event>,
    probe_permits: Arc<Semaphore>,
    probe_timeout: Duration,
}

impl Driver {
    /// Creates a driver and starts to watch discovery. The probes that it starts, at most `max_probes` at the same time,
    /// send their results to `events`.
    pub fn new(
        config: &Config, options: Options, discovery: DiscoveryConnections, events: mpsc::Sender<Event>,
        max_probes: usize,
    ) -> Driver {
        let clock = Clock::new();
        let control_plane = ControlPlane::new(clock.now(), config, options);
        let mut driver = Driver {
            probe_timeout: control_plane.probe_timeout(),
            control_plane,
            clock,
            streams: HashMap::new(),
            discovery,
            events,
            probe_permits: Arc::new(Semaphore::new(max_probes)),
        };
        driver.execute_effects();
        driver
    }

    /// Handles a message of a connection to discovery.
    pub fn discovery_message(&mut self, message: ConnectionMessage) {
        let Some(event) = self.discovery.event(message) else { return };
        self.control_plane.discovery_event(self.clock.now(), event);
        self.execute_effects();
    }

    /// Handles the timer of the client of discovery.
    pub fn discovery_timer_expired(&mut self) {
        self.control_plane.discovery_event(self.clock.now(), DiscoveryEvent::TimerExpired);
        self.execute_effects();
    }

    /// Returns the time until the timer of the client of discovery expires; `None` if it is not set.
    pub fn time_to_discovery_timer(&self) -> Option<Duration> {
        let at = self.control_plane.next_discovery_timer_at()?;
        Some(Duration::from_micros((at - self.clock.now()).max(0) as u64))
    }

    /// Changes the address of discovery.
    pub fn set_discovery_address(&mut self, address: SocketAddr) {
        self.control_plane.set_discovery_address(self.clock.now(), address);
        self.execute_effects();
    }

    /// Runs the periodic work of the state machine.
    pub fn tick(&mut self) {
        self.control_plane.tick(self.clock.now());
        self.execute_effects();
    }

    /// Handles an event from another task.
    pub fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        let control_plane = &mut self.control_plane;
        match event {
            Event::StreamOpened { stream, service, authorized_names, handle } => {
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
            Event::StreamClosed(stream) => {
                self.streams.remove(&stream);
                control_plane.stream_closed(now, stream);
            }
            Event::ProbeFinished(address, result) => control_plane.probe_finished(address, result),
            // The client may have closed its connection.
            Event::MetricsRequested(reply) => drop(reply.send(control_plane.metrics_text())),
        }
        self.execute_effects();
    }

    fn execute_effects(&mut self) {
        for effect in self.control_plane.take_effects() {
            match effect {
                Effect::Respond { stream, response } => {
                    self.send(stream, OutgoingMessage::Response(response));
                }
                Effect::RequestLoadReports(stream) => self.send(stream, OutgoingMessage::LoadReportSettings),
                Effect::CloseStream { stream, error } => self.close(stream, &error),
                Effect::Discovery(effect) => self.discovery.execute(effect),
                Effect::ProbeNode(address) => self.probe(address),
            }
        }
    }

    /// Queues a message. If the queue is full because the proxy does not read, the stream is closed.
    fn send(&mut self, stream: StreamId, message: OutgoingMessage) {
        let Some(handle) = self.streams.get(&stream) else { return };
        if handle.send(message).is_ok() {
            return;
        }
        if let Some(handle) = self.streams.remove(&stream) {
            handle.end(Status::deadline_exceeded("send queue full: the proxy does not read the stream"));
        }
        self.control_plane.stream_closed(self.clock.now(), stream);
    }

    fn close(&mut self, stream: StreamId, error: &StreamError) {
        if let Some(handle) = self.streams.remove(&stream) {
            handle.end(Status::new(error.code(), error.to_string()));
        }
    }

    /// Starts a task that tries to connect to a data node and reports the result as an event.
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
            // The driver may have stopped already.
            let _ = events.send(Event::ProbeFinished(address, result)).await;
        });
    }

    /// Closes all streams. Proxies continue with the resources that they have.
    pub fn shut_down(&mut self) {
        for (_, handle) in self.streams.drain() {
            handle.end(Status::unavailable(SHUTDOWN_MESSAGE));
        }
    }
}
