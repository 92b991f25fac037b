//! The gRPC services. Each stream has a task that forwards received messages to the driver, and a channel that
//! queues outgoing ones.

use super::connection::ConnectionInfo;
use super::driver::Event;
use crate::codec;
use crate::control_plane::{AuthorizedNames, Service};
use crate::ids::StreamId;
use crate::session::{ProtocolVariant, Response};
use balancer::Micros;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::{Notify, mpsc};
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Status, Streaming, async_trait};
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;

/// Maximum number of messages queued for sending on one stream.
const MAX_QUEUED_MESSAGES: usize = 64;
/// The message of the gRPC status with which streams are closed on shutdown.
pub(super) const SHUTDOWN_MESSAGE: &str = "the control plane is shutting down";

/// A message to send to a proxy.
pub(super) enum OutgoingMessage {
    Response(Response),
    LoadReportSettings,
    /// Closes the stream with this status.
    End(Status),
}

/// The driver's handle of an open stream.
pub(super) struct StreamHandle {
    messages: mpsc::Sender<OutgoingMessage>,
    /// Notified to stop the task that receives from the stream.
    ended: Arc<Notify>,
}

/// Error of a stream whose queue of outgoing messages is full, since the proxy does not read.
pub(super) struct QueueFull;

impl StreamHandle {
    /// Queues a message without waiting.
    pub fn send(&self, message: OutgoingMessage) -> Result<(), QueueFull> {
        self.messages.try_send(message).map_err(|_| QueueFull)
    }

    /// Closes the stream with a status.
    pub fn end(self, status: Status) {
        // If the queue is full, the proxy does not receive the status either.
        let _ = self.messages.try_send(OutgoingMessage::End(status));
        self.ended.notify_one();
    }
}

/// The implementation of the aggregated discovery and the load reporting service.
#[derive(Clone)]
pub(super) struct GrpcServices {
    events: mpsc::Sender<Event>,
    next_stream: Arc<AtomicU64>,
    /// The lease of endpoints; 0 for none.
    lease: Micros,
    report_interval: Micros,
}

type MessageStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

impl GrpcServices {
    pub fn new(events: mpsc::Sender<Event>, lease: Micros, report_interval: Micros) -> GrpcServices {
        GrpcServices { events, next_stream: Arc::default(), lease, report_interval }
    }

    /// Opens a stream and forwards its messages to the driver, as events that `event` creates. Returns the
    /// outgoing messages.
    async fn open<M: Send + 'static>(
        &self, request: Request<Streaming<M>>, service: Service, event: fn(StreamId, Box<M>) -> Event,
    ) -> Result<ReceiverStream<OutgoingMessage>, Status> {
        let stream = StreamId(self.next_stream.fetch_add(1, Ordering::Relaxed));
        let connection = request.extensions().get::<ConnectionInfo>();
        let authorized_names = connection.map(|connection| {
            connection.open.stream_opened();
            connection.authorized_names.clone()
        });
        let (messages, receiver) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let ended = Arc::new(Notify::new());
        let opened = Event::StreamOpened {
            stream,
            service,
            authorized_names: authorized_names.unwrap_or(AuthorizedNames::Any),
            handle: StreamHandle { messages: messages.clone(), ended: ended.clone() },
        };
        let events = self.events.clone();
        events.send(opened).await.map_err(|_| Status::unavailable(SHUTDOWN_MESSAGE))?;
        let mut incoming = request.into_inner();
        tokio::spawn(async move {
            forward_messages(&mut incoming, &messages, &ended, |message| events.send(event(stream, message)))
                .await;
            // The driver may have stopped already.
            let _ = events.send(Event::StreamClosed(stream)).await;
        });
        Ok(ReceiverStream::new(receiver))
    }
}

/// Forwards received messages until the stream is closed by either side.
async fn forward_messages<M, F: Future<Output = Result<(), mpsc::error::SendError<Event>>>>(
    incoming: &mut Streaming<M>, messages: &mpsc::Sender<OutgoingMessage>, ended: &Notify,
    deliver: impl Fn(Box<M>) -> F,
) {
    loop {
        let message = tokio::select! {
            message = incoming.next() => message,
            () = messages.closed() => return,
            () = ended.notified() => return,
        };
        match message {
            Some(Ok(message)) => {
                if deliver(Box::new(message)).await.is_err() {
                    return;
                }
            }
            Some(Err(status)) => {
                // The message is too large or cannot be decoded. The status is lost if the queue is full.
                let _ = messages.try_send(OutgoingMessage::End(status));
                return;
            }
            None => return,
        }
    }
}

/// Encodes the outgoing messages of a discovery stream.
fn discovery_messages<T: 'static>(
    messages: ReceiverStream<OutgoingMessage>, encode: impl Fn(&Response) -> T + Send + 'static,
) -> MessageStream<T> {
    Box::pin(messages.filter_map(move |message| match message {
        OutgoingMessage::Response(response) => Some(Ok(encode(&response))),
        OutgoingMessage::LoadReportSettings => None,
        OutgoingMessage::End(status) => Some(Err(status)),
    }))
}

#[async_trait]
impl ads::aggregated_discovery_service_server::AggregatedDiscoveryService for GrpcServices {
    type StreamAggregatedResourcesStream = MessageStream<ads::DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = MessageStream<ads::DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self, request: Request<Streaming<ads::DiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::StreamAggregatedResourcesStream>, Status> {
        let service = Service::Discovery(ProtocolVariant::StateOfTheWorld);
        let messages = self.open(request, service, Event::StateOfTheWorldRequest).await?;
        let lease = self.lease;
        let encode = move |response: &Response| codec::state_of_the_world_response(response, lease);
        Ok(tonic::Response::new(discovery_messages(messages, encode)))
    }

    async fn delta_aggregated_resources(
        &self, request: Request<Streaming<ads::DeltaDiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::DeltaAggregatedResourcesStream>, Status> {
        let service = Service::Discovery(ProtocolVariant::Delta);
        let messages = self.open(request, service, Event::DeltaRequest).await?;
        let lease = self.lease;
        let encode = move |response: &Response| codec::delta_response(response, lease);
        Ok(tonic::Response::new(discovery_messages(messages, encode)))
    }
}

#[async_trait]
impl lrs::load_reporting_service_server::LoadReportingService for GrpcServices {
    type StreamLoadStatsStream = MessageStream<lrs::LoadStatsResponse>;

    async fn stream_load_stats(
        &self, request: Request<Streaming<lrs::LoadStatsRequest>>,
    ) -> Result<tonic::Response<Self::StreamLoadStatsStream>, Status> {
        let messages = self.open(request, Service::LoadReporting, Event::LoadReport).await?;
        let interval = self.report_interval;
        Ok(tonic::Response::new(Box::pin(messages.filter_map(move |message| match message {
            OutgoingMessage::LoadReportSettings => Some(Ok(codec::load_report_settings(interval))),
            OutgoingMessage::Response(_) => None,
            OutgoingMessage::End(status) => Some(Err(status)),
        }))))
    }
}
