//! A control plane that runs for a test, and its test discovery server and test proxies.

use crate::support::{config, endpoint_entry, options};
use balancer::{DiscoveryMode, Micros};
use control_plane::{Options, ServeError};
use query_router::config::Config;
use serde_json::Value as Json;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use test_servers::{Discovery, Proxy, Script, View};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Timeout of a request for the metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(10);

/// Time within which a control plane that polls discovery asks for the list.
const POLL_WITHIN: Micros = 10_000_000;

/// A control plane that runs until it is dropped or stopped.
pub struct RunningServer {
    pub address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<Result<(), ServeError>>,
}

impl RunningServer {
    /// Starts a control plane on a free port. `option_lines` are further lines of section `[control]`.
    pub async fn start(discovery: &Discovery, replica_sets: usize, option_lines: &str) -> RunningServer {
        let options = options(&format!("listen = 127.0.0.1:0\n{option_lines}"));
        let config = config(replica_sets, replica_sets.min(2), Vec::new());
        RunningServer::start_with_config(Config { discovery: discovery.address, ..config }, options).await
    }

    /// Starts a control plane on a free port whose configuration has these cached endpoints.
    pub async fn start_with_endpoints(
        discovery: &Discovery, mode: DiscoveryMode, replica_sets: usize, endpoints: Vec<Json>,
    ) -> RunningServer {
        let mut config = config(replica_sets, replica_sets.min(2), endpoints);
        config.discovery = discovery.address;
        config.settings.discovery_mode = mode;
        config.settings.rules.poll_within = POLL_WITHIN;
        RunningServer::start_with_config(config, options("listen = 127.0.0.1:0")).await
    }

    async fn start_with_config(config: Config, options: Options) -> RunningServer {
        let (ready, address) = oneshot::channel();
        let (stop, stop_requested) = oneshot::channel();
        let task = tokio::spawn(control_plane::run(config, None, options, ready, stop_requested));
        RunningServer { address: address.await.expect("the control plane listens"), stop, task }
    }

    /// Stops the control plane gracefully and waits until it has stopped.
    pub async fn stop(self) {
        self.stop.send(()).expect("the control plane is running");
        self.task.await.expect("the task of the control plane").expect("a graceful shutdown");
    }

    /// Requests the metrics over HTTP. Returns the whole response, headers included.
    pub async fn metrics(&self) -> String {
        let request = async {
            let mut stream = tokio::net::TcpStream::connect(self.address).await?;
            stream.write_all(b"GET /-/counters HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n").await?;
            let mut text = String::new();
            stream.read_to_string(&mut text).await.map(|_| text)
        };
        let text: std::io::Result<String> =
            tokio::time::timeout(METRICS_TIMEOUT, request).await.expect("a response within the timeout");
        text.expect("a response")
    }

    /// Starts a proxy that behaves as the script specifies.
    pub fn start_proxy(&self, script: Script) -> Arc<Proxy> {
        run_proxy(Proxy::new(self.address, script))
    }

    /// Starts a proxy with the view that another proxy has received.
    pub fn start_proxy_with_view(&self, script: Script, view: View) -> Arc<Proxy> {
        let proxy = Proxy::new(self.address, script);
        proxy.set_view(view);
        run_proxy(proxy)
    }
}

fn run_proxy(proxy: Proxy) -> Arc<Proxy> {
    let proxy = Arc::new(proxy);
    let running = proxy.clone();
    tokio::spawn(async move { running.run(None).await });
    proxy
}

/// Starts a discovery server whose endpoint list contains `nodes` ready nodes.
pub fn start_discovery(nodes: usize, replica_sets: usize) -> Discovery {
    Discovery::start(7, (0..nodes).map(|node| endpoint_entry(node, replica_sets, "ready", 0)).collect())
}

/// Waits until each proxy has a complete view.
pub async fn wait_for_complete_views(proxies: &[Arc<Proxy>]) {
    for proxy in proxies {
        proxy.wait_for_view("a complete view", |view| view.is_complete()).await;
    }
}

/// Publishes an endpoint update that drains a node.
pub fn drain(discovery: &Discovery, node: usize, replica_sets: usize) {
    discovery.publish(vec![endpoint_entry(node, replica_sets, "draining", 0)]);
}
