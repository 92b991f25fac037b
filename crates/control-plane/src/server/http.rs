//! The HTTP server: the gRPC services, and the metrics at `/-/counters`.

use super::connection::{Connection, accept};
use super::driver::Event;
use super::grpc::GrpcServices;
use crate::tls::Tls;
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

/// The largest message that a proxy may send, in bytes.
const MAX_MESSAGE_SIZE: usize = 4 << 20;
/// How long a connection may be silent before it is pinged, and how long the answer may take.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// Accepted connections that may wait for the server.
const MAX_QUEUED_CONNECTIONS: usize = 64;
/// How long connections may take to end after a shutdown.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
const METRICS_PATH: &str = "/-/counters";
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// A server that runs on tasks of its own.
pub(super) struct HttpServer {
    task: JoinHandle<Result<(), tonic::transport::Error>>,
    shutdown: oneshot::Sender<()>,
}

impl HttpServer {
    /// Serves the connections of a listener.
    pub fn start(
        listener: TcpListener, tls: Option<Tls>, services: GrpcServices, events: mpsc::Sender<Event>,
    ) -> HttpServer {
        let (connections, incoming) = mpsc::channel::<std::io::Result<Connection>>(MAX_QUEUED_CONNECTIONS);
        tokio::spawn(accept(listener, tls, connections));
        let (shutdown, shutdown_requested) = oneshot::channel::<()>();
        let server = Server::builder()
            .accept_http1(true)
            .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
            .http2_keepalive_timeout(Some(KEEP_ALIVE_INTERVAL))
            .add_routes(routes(services, events))
            .serve_with_incoming_shutdown(ReceiverStream::new(incoming), async move {
                // A dropped sender requests the shutdown as well.
                let _ = shutdown_requested.await;
            });
        HttpServer { task: tokio::spawn(server), shutdown }
    }

    /// Ends the server; connections that do not end in time are aborted.
    pub async fn shut_down(self) {
        // The server may have ended already.
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
    let (reply, answer) = oneshot::channel();
    // Without a driver the answer is empty.
    let _ = events.send(Event::MetricsRequested(reply)).await;
    ([(http::header::CONTENT_TYPE, METRICS_CONTENT_TYPE)], answer.await.unwrap_or_default())
}
