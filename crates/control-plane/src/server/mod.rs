//! The server: sockets, the clock, signals and files around the state machine. One task drives the state
//! machine; a task for each stream carries messages to it and back. The server decides nothing.

mod clock;
mod connection;
mod discovery;
mod driver;
mod error;
mod grpc;
mod http;

pub use error::ServeError;

use crate::control_plane::TICK_INTERVAL;
use crate::discovery_watch::EndpointListUpdate;
use crate::options::Options;
use crate::tls::Tls;
use discovery::watch_discovery;
use driver::{Driver, Event};
use grpc::GrpcServices;
use http::HttpServer;
use query_router::config::Config;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Interval, MissedTickBehavior};

/// Events that may wait for the driver.
const MAX_QUEUED_EVENTS: usize = 1024;
/// Endpoint lists that may wait for the driver.
const MAX_QUEUED_LISTS: usize = 16;
/// Threads of the server.
const MAX_THREADS: usize = 4;

/// What the main task does next.
enum Step {
    ShutDown,
    EndpointUpdate(EndpointListUpdate),
    Tick,
    Reload,
    Event(Event),
}

/// All that the main task waits for.
struct Inputs {
    stop: oneshot::Receiver<()>,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    ticks: Interval,
    endpoint_lists: mpsc::Receiver<EndpointListUpdate>,
    events: mpsc::Receiver<Event>,
}

impl Inputs {
    /// Waits for the next step. Endpoint lists take precedence over all but the end.
    async fn next(&mut self) -> Step {
        tokio::select! {
            biased;
            _ = &mut self.stop => Step::ShutDown,
            _ = self.terminate.recv() => Step::ShutDown,
            _ = self.interrupt.recv() => Step::ShutDown,
            Some(update) = self.endpoint_lists.recv() => Step::EndpointUpdate(update),
            _ = self.ticks.tick() => Step::Tick,
            _ = self.hangup.recv() => Step::Reload,
            Some(event) = self.events.recv() => Step::Event(event),
        }
    }
}

/// The configuration in force, and where it is read again on SIGHUP.
struct ReloadableConfig {
    config: Config,
    /// `None` if there is no file.
    path: Option<String>,
    discovery: watch::Sender<SocketAddr>,
}

impl ReloadableConfig {
    /// Reads the configuration again. Only the address of discovery takes effect before the next start.
    fn reload(&self) {
        let Some(path) = &self.path else { return };
        let newer = match Config::read(path) {
            Ok(newer) => newer,
            Err(error) => {
                tracing::warn!(%error, "configuration not reloaded");
                return;
            }
        };
        let settings = self.config.fields_needing_restart(&newer);
        if !settings.is_empty() {
            tracing::warn!(settings = settings.join(", "), "changed settings take effect at the next start");
        }
        self.discovery
            .send_if_modified(|address| std::mem::replace(address, newer.discovery) != newer.discovery);
    }
}

/// Serves until `stop` or a signal requests the end. `ready` gets the address on which the server listens;
/// `path` is the file of the configuration, which is read again on SIGHUP.
pub async fn run(
    config: Config, path: Option<String>, options: Options, ready: oneshot::Sender<SocketAddr>,
    stop: oneshot::Receiver<()>,
) -> Result<(), ServeError> {
    let address = options.listen.ok_or(ServeError::NotEnabled)?;
    let listener =
        TcpListener::bind(address).await.map_err(|source| ServeError::Listen { address, source })?;
    let address = listener.local_addr().map_err(ServeError::LocalAddress)?;
    let tls = options.tls.clone().map(Tls::new).transpose()?;

    let (events, event_queue) = mpsc::channel(MAX_QUEUED_EVENTS);
    let services = GrpcServices::new(events.clone(), options.lease, options.report_interval);
    let mut driver = Driver::new(&config, options, events.clone());
    let (discovery, discovery_address) = watch::channel(config.discovery);
    let (lists, endpoint_lists) = mpsc::channel(MAX_QUEUED_LISTS);
    tokio::spawn(watch_discovery(discovery_address, driver.watch_requested(), lists));
    let server = HttpServer::start(listener, tls, services, events);
    tracing::info!(name = %config.name, %address, "control plane started");
    // Whoever started the server may not need the address.
    let _ = ready.send(address);

    let config = ReloadableConfig { config, path, discovery };
    let mut inputs = Inputs {
        stop,
        ticks: ticks(),
        hangup: receive_signal(SignalKind::hangup())?,
        terminate: receive_signal(SignalKind::terminate())?,
        interrupt: receive_signal(SignalKind::interrupt())?,
        endpoint_lists,
        events: event_queue,
    };
    loop {
        match inputs.next().await {
            Step::ShutDown => break,
            Step::EndpointUpdate(update) => driver.endpoint_update(&update),
            Step::Tick => driver.tick(),
            Step::Reload => config.reload(),
            Step::Event(event) => driver.handle(event),
        }
    }
    tracing::info!("control plane shuts down");
    driver.shut_down();
    server.shut_down().await;
    Ok(())
}

fn ticks() -> Interval {
    let mut ticks = tokio::time::interval(Duration::from_micros(TICK_INTERVAL as u64));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    ticks
}

fn receive_signal(kind: SignalKind) -> Result<Signal, ServeError> {
    signal(kind).map_err(ServeError::Signals)
}

/// The threads of the server. They encode messages and use sockets, while one task at a time drives the state
/// machine.
pub fn runtime() -> Result<Runtime, ServeError> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS);
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("control")
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)
}

/// Serves on threads of its own until a signal requests the end.
pub fn serve(config: Config, path: String, options: Options) -> Result<(), ServeError> {
    let (ready, _address) = oneshot::channel();
    let (_stop, stop_requested) = oneshot::channel();
    let running = run(config, Some(path), options, ready, stop_requested);
    runtime()?.block_on(async { tokio::spawn(running).await.map_err(ServeError::Task)? })
}
