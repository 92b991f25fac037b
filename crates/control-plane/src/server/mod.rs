//! The server: connects the state machine to sockets, the clock, signals and files. One task drives the state
//! machine; each stream has a task that forwards messages to it. All decisions are left to the state machine.

mod clock;
mod connection;
mod connection_limit;
mod discovery;
mod driver;
mod error;
mod grpc;
mod http;

pub use error::ServeError;

use crate::control_plane::TICK_INTERVAL;
use crate::options::Options;
use crate::tls::ReloadableTlsConfig;
use connection_limit::{ConnectionLimit, DescriptorShares};
use discovery::{ConnectionMessage, DiscoveryConnections};
use driver::{Driver, Event};
use grpc::GrpcServices;
use http::HttpServer;
use query_router::config::Config;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Interval, MissedTickBehavior};

/// Maximum number of events queued for the driver.
const MAX_QUEUED_EVENTS: usize = 1024;
/// Maximum number of worker threads.
const MAX_THREADS: usize = 4;

/// The next action of the main task.
enum Step {
    ShutDown,
    DiscoveryMessage(ConnectionMessage),
    DiscoveryTimer,
    Tick,
    Reload,
    Event(Event),
}

/// The sources of events for the main task.
struct Inputs {
    stop: oneshot::Receiver<()>,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
    ticks: Interval,
    discovery_messages: mpsc::Receiver<ConnectionMessage>,
    events: mpsc::Receiver<Event>,
}

impl Inputs {
    /// Waits for the next action, for the timer of discovery no longer than given. Only a shutdown takes precedence over
    /// discovery.
    async fn next_step(&mut self, time_to_discovery_timer: Option<Duration>) -> Step {
        tokio::select! {
            biased;
            _ = &mut self.stop => Step::ShutDown,
            _ = self.terminate.recv() => Step::ShutDown,
            _ = self.interrupt.recv() => Step::ShutDown,
            Some(message) = self.discovery_messages.recv() => Step::DiscoveryMessage(message),
            () = wait_for_timer(time_to_discovery_timer) => Step::DiscoveryTimer,
            _ = self.ticks.tick() => Step::Tick,
            _ = self.hangup.recv() => Step::Reload,
            Some(event) = self.events.recv() => Step::Event(event),
        }
    }
}

/// The current configuration, and the file from which it is reloaded on SIGHUP.
struct ReloadableConfig {
    config: Config,
    /// Path of the configuration file; `None` if there is none, which disables reloading.
    path: Option<String>,
}

impl ReloadableConfig {
    /// Reads the configuration again. Returns the address of discovery in it; all other changes need a restart. Returns
    /// `None` if the configuration can't be read.
    fn reload(&self) -> Option<SocketAddr> {
        let path = self.path.as_ref()?;
        let reloaded = match Config::read(path) {
            Ok(reloaded) => reloaded,
            Err(error) => {
                tracing::warn!(%error, "configuration not reloaded");
                return None;
            }
        };
        let settings = self.config.fields_needing_restart(&reloaded);
        if !settings.is_empty() {
            tracing::warn!(settings = settings.join(", "), "changed configuration fields require a restart");
        }
        Some(reloaded.discovery)
    }
}

/// Runs the control plane until `stop`, SIGTERM or SIGINT. The server sends the address that it listens on to
/// `ready`. `path` is the configuration file, which is read again on SIGHUP; without one, SIGHUP has no effect.
pub async fn run(
    config: Config, path: Option<String>, options: Options, ready: oneshot::Sender<SocketAddr>,
    stop: oneshot::Receiver<()>,
) -> Result<(), ServeError> {
    let address = options.listen.ok_or(ServeError::NotEnabled)?;
    let listener =
        TcpListener::bind(address).await.map_err(|source| ServeError::Listen { address, source })?;
    let address = listener.local_addr().map_err(ServeError::LocalAddress)?;
    let tls = options.tls.clone().map(ReloadableTlsConfig::new).transpose()?;

    let (events, event_queue) = mpsc::channel(MAX_QUEUED_EVENTS);
    let services = GrpcServices::new(events.clone(), options.lease, options.report_interval);
    let shares = DescriptorShares::of_process();
    let (discovery, discovery_messages) = DiscoveryConnections::new();
    let mut driver = Driver::new(&config, options, discovery, events.clone(), shares.probes);
    let server = HttpServer::start(listener, ConnectionLimit::new(shares.connections), tls, services, events);
    tracing::info!(name = %config.name, %address, "control plane started");
    // The caller may have dropped the receiver.
    let _ = ready.send(address);

    let config = ReloadableConfig { config, path };
    let mut inputs = Inputs {
        stop,
        ticks: ticks(),
        hangup: receive_signal(SignalKind::hangup())?,
        terminate: receive_signal(SignalKind::terminate())?,
        interrupt: receive_signal(SignalKind::interrupt())?,
        discovery_messages,
        events: event_queue,
    };
    loop {
        match inputs.next_step(driver.time_to_discovery_timer()).await {
            Step::ShutDown => break,
            Step::DiscoveryMessage(message) => driver.discovery_message(message),
            Step::DiscoveryTimer => driver.discovery_timer_expired(),
            Step::Tick => driver.tick(),
            Step::Reload => {
                if let Some(address) = config.reload() {
                    driver.set_discovery_address(address);
                }
            }
            Step::Event(event) => driver.handle(event),
        }
    }
    tracing::info!("control plane shutting down");
    driver.shut_down();
    server.shut_down().await;
    Ok(())
}

/// Waits for this time, or for ever without one.
async fn wait_for_timer(delay: Option<Duration>) {
    match delay {
        Some(delay) => tokio::time::sleep(delay).await,
        None => std::future::pending().await,
    }
}

fn ticks() -> Interval {
    let mut ticks = tokio::time::interval(Duration::from_micros(TICK_INTERVAL as u64));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    ticks
}

fn receive_signal(kind: SignalKind) -> Result<Signal, ServeError> {
    signal(kind).map_err(ServeError::Signals)
}

/// Creates the Tokio runtime of the server. Its threads perform I/O and encode messages; only one task drives
/// the state machine.
pub fn runtime() -> Result<Runtime, ServeError> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS);
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("control")
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)
}

/// Creates a runtime and runs the control plane on it until SIGTERM or SIGINT.
pub fn serve(config: Config, path: String, options: Options) -> Result<(), ServeError> {
    let (ready, _address) = oneshot::channel();
    let (_stop, stop_requested) = oneshot::channel();
    let running = run(config, Some(path), options, ready, stop_requested);
    runtime()?.block_on(async { tokio::spawn(running).await.map_err(ServeError::Task)? })
}
