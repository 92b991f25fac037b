//! The HTTP server for the gRPC services and for the metrics at `/-/counters`.

use super::connection::{Connection, accept};
use super::connection_limit::ConnectionLimit;
use super::driver::Event;
use super::grpc::GrpcServices;
use crate::tls::ReloadableTlsConfig;
use axum::response::IntoResponse;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio_stream::wrappers::ReceiverStream;
use tonic::service::Routes;
use tonic::transport::Server;
use xds_api::pb::envoy::service::discovery::v3::aggregated_discovery_service_server::AggregatedDiscoveryServiceServer;
use xds_api::pb::envoy::service::load_stats::v3::load_reporting_service_server::LoadReportingServiceServer;

/// Maximum size of a message from a proxy, in bytes.
const MAX_MESSAGE_SIZE: usize = 4 << 20;
/// Time without received frames after which an HTTP/2 connection is pinged, and the timeout for the answer.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of accepted connections queued for the server.
const MAX_QUEUED_CONNECTIONS: usize = 64;
/// Timeout for connections to close on shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
const METRICS_PATH: &str = "/-/counters";
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A running HTTP server.
pub(super) struct HttpServer {
    task: JoinHandle<Result<(), tonic::transport::Error>>,
    shutdown: oneshot::Sender<()>,
}

impl HttpServer {
    /// Starts tasks that accept and serve the connections of a listener.
    pub fn start(
        listener: TcpListener, limit: ConnectionLimit, tls: Option<ReloadableTlsConfig>,
        services: GrpcServices, events: mpsc::Sender<Event>,
    ) -> HttpServer {
        let (connections, incoming) = mpsc::channel::<std::io::Result<Connection>>(MAX_QUEUED_CONNECTIONS);
        tokio::spawn(accept(listener, limit, tls, connections));
        let (shutdown, shutdown_requested) = oneshot::channel::<()>();
        let server = Server::builder()
            .accept_http1(true)
            .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEP_ALIVE_INTERVAL))
            .add_routes(routes(services, events))
            .serve_with_incoming_shutdown(ReceiverStream::new(incoming), async move {
                // A dropped sender also requests the shutdown.
                let _ = shutdown_requested.await;
            });
        HttpServer { task: tokio::spawn(server), shutdown }
    }

    /// Shuts the server down. Connections that do not close within `SHUTDOWN_TIMEOUT` are aborted.
    pub async fn shut_down(self) {
        // The server may have stopped already.
        let _ = self.shutdown.send(());
        let abort = self.task.abort_handle();
        if tokio::time::timeout(SHUTDOWN_TIMEOUT, self.task).await.is_err() {
            abort.abort();
        }
    }
}

fn routes(services: GrpcServices, events: mpsc::Sender<Event>) -> Routes {
    let discovery = AggregatedDiscoveryServiceServer::new(services.clone());
    let load_reporting = LoadReportingServiceServer::new(services);
    let router = Routes::new(discovery.max_decoding_message_size(MAX_MESSAGE_SIZE))
        .add_service(load_reporting.max_decoding_message_size(MAX_MESSAGE_SIZE))
        .into_axum_router()
        .route(METRICS_PATH, axum::routing::get(move || metrics(events)));
    Routes::from(router)
}

async fn metrics(events: mpsc::Sender<Event>) -> impl IntoResponse {
    let (reply, text) = oneshot::channel();
    // The response body is empty if the driver has stopped.
    let _ = events.send(Event::MetricsRequested(reply)).await;
    ([(http::header::CONTENT_TYPE, METRICS_CONTENT_TYPE)], text.await.unwrap_or_default())
}
