//! The shell: sockets, the clock, signals and files. One task owns the machine; a task a stream carries messages to
//! it and back. It decides nothing.

use crate::codec;
use crate::control::{Control, Effect, Fault, Service, Stream, TICK};
use crate::options::Options;
use crate::session::{Mode, Response};
use crate::tls::{Tls, claims};
use crate::watch::watch;
use balancer::{EndpointUpdate, Micros};
use query_router::config::Config;
use serde_json::Value as Json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream as Messages, StreamExt};
use tonic::service::Routes;
use tonic::transport::server::Connected;
use tonic::{Request, Status, Streaming, async_trait};
use xds_api::pb::envoy::service::discovery::v3 as ads;
use xds_api::pb::envoy::service::load_stats::v3 as lrs;

/// Messages that may wait for the machine, and responses that may wait for one stream.
const MOST_EVENTS: usize = 1024;
const MOST_WAITING: usize = 64;
/// The largest message that a proxy may send.
const MOST_MESSAGE: usize = 4 << 20;
/// How long a handshake may take, and how long a silent connection is kept.
const HANDSHAKE: Duration = Duration::from_secs(5);
const KEEP_ALIVE: Duration = Duration::from_secs(10);
/// Threads that carry streams, at most.
const MOST_THREADS: usize = 4;
/// How long connections may take to end with the service.
const LAST_WORDS: Duration = Duration::from_secs(1);
/// Data nodes that are tried at once, and how long each may take.
const MOST_TRIES: usize = 64;

enum Event {
    Opened(Stream, Service, Option<Arc<Vec<String>>>, Line),
    Request(Stream, Box<ads::DiscoveryRequest>),
    RequestDelta(Stream, Box<ads::DeltaDiscoveryRequest>),
    Report(Stream, Box<lrs::LoadStatsRequest>),
    Closed(Stream),
    Tried(SocketAddr, bool),
    Counters(oneshot::Sender<String>),
}

/// The way to a stream: its answers, and the word that it is over, after which nothing holds it open.
struct Line {
    answers: mpsc::Sender<Outgoing>,
    over: Arc<Notify>,
}

impl Line {
    fn end(self, status: Status) {
        // One that takes nothing gets no status either; what waits for it goes with it.
        let _ = self.answers.try_send(Outgoing::End(status));
        self.over.notify_one();
    }
}

/// What goes out on a stream.
enum Outgoing {
    Response(Response),
    AskLoads,
    End(Status),
}

struct Clock {
    start: Micros,
    since: Instant,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: unix.as_micros() as Micros, since: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.start + self.since.elapsed().as_micros() as Micros
    }
}

/// A connection, with or without TLS.
enum Wire {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

/// What the certificate of a connection lets it claim; without one, anything.
#[derive(Clone)]
struct Claims(Option<Arc<Vec<String>>>);

impl Connected for Wire {
    type ConnectInfo = Claims;

    fn connect_info(&self) -> Claims {
        match self {
            Wire::Plain(_) => Claims(None),
            Wire::Tls(stream) => {
                let certificates = stream.get_ref().1.peer_certificates().unwrap_or_default();
                Claims(Some(Arc::new(certificates.first().map_or(Vec::new(), |leaf| claims(leaf)))))
            }
        }
    }
}

impl AsyncRead for Wire {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, to: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        match self.get_mut() {
            Wire::Plain(stream) => Pin::new(stream).poll_read(context, to),
            Wire::Tls(stream) => Pin::new(stream).poll_read(context, to),
        }
    }
}

impl AsyncWrite for Wire {
    fn poll_write(
        self: Pin<&mut Self>, context: &mut Context<'_>, from: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        match self.get_mut() {
            Wire::Plain(stream) => Pin::new(stream).poll_write(context, from),
            Wire::Tls(stream) => Pin::new(stream).poll_write(context, from),
        }
    }
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        match self.get_mut() {
            Wire::Plain(stream) => Pin::new(stream).poll_flush(context),
            Wire::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }
    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        match self.get_mut() {
            Wire::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Wire::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}

#[derive(Clone)]
struct Front {
    to: mpsc::Sender<Event>,
    next: Arc<AtomicU64>,
    lease: Micros,
    report_every: Micros,
}

type Answers<T> = Pin<Box<dyn Messages<Item = Result<T, Status>> + Send>>;

impl Front {
    /// Carries a stream's messages to the machine until it ends, and what the machine answers back.
    async fn carry<M: Send + 'static>(
        &self, request: Request<Streaming<M>>, service: Service, event: fn(Stream, Box<M>) -> Event,
    ) -> Result<ReceiverStream<Outgoing>, Status> {
        let stream = self.next.fetch_add(1, Ordering::Relaxed);
        let claims = request.extensions().get::<Claims>().and_then(|claims| claims.0.clone());
        let (answers, from) = mpsc::channel(MOST_WAITING);
        let to = self.to.clone();
        let ended = |_| Status::unavailable("the control service ends");
        let over = Arc::new(Notify::new());
        let line = Line { answers: answers.clone(), over: over.clone() };
        to.send(Event::Opened(stream, service, claims, line)).await.map_err(ended)?;
        let mut messages = request.into_inner();
        tokio::spawn(async move {
            loop {
                let message = tokio::select! {
                    message = messages.next() => message,
                    () = answers.closed() => None,
                    () = over.notified() => None,
                };
                match message {
                    Some(Ok(message)) => {
                        if to.send(event(stream, Box::new(message))).await.is_err() {
                            break;
                        }
                    }
                    Some(Err(status)) => {
                        // Too large, or no message of this service: said if it can be.
                        let _ = answers.try_send(Outgoing::End(status));
                        break;
                    }
                    None => break,
                }
            }
            // The machine may be gone already.
            let _ = to.send(Event::Closed(stream)).await;
        });
        Ok(ReceiverStream::new(from))
    }
}

#[async_trait]
impl ads::aggregated_discovery_service_server::AggregatedDiscoveryService for Front {
    type StreamAggregatedResourcesStream = Answers<ads::DiscoveryResponse>;
    type DeltaAggregatedResourcesStream = Answers<ads::DeltaDiscoveryResponse>;

    async fn stream_aggregated_resources(
        &self, request: Request<Streaming<ads::DiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::StreamAggregatedResourcesStream>, Status> {
        let service = Service::Discovery(Mode::StateOfTheWorld);
        let answers = self.carry(request, service, Event::Request).await?;
        let lease = self.lease;
        Ok(tonic::Response::new(Box::pin(answers.filter_map(move |answer| match answer {
            Outgoing::Response(response) => Some(Ok(codec::response(&response, lease))),
            Outgoing::AskLoads => None,
            Outgoing::End(status) => Some(Err(status)),
        }))))
    }

    async fn delta_aggregated_resources(
        &self, request: Request<Streaming<ads::DeltaDiscoveryRequest>>,
    ) -> Result<tonic::Response<Self::DeltaAggregatedResourcesStream>, Status> {
        let answers = self.carry(request, Service::Discovery(Mode::Delta), Event::RequestDelta).await?;
        let lease = self.lease;
        Ok(tonic::Response::new(Box::pin(answers.filter_map(move |answer| match answer {
            Outgoing::Response(response) => Some(Ok(codec::response_delta(&response, lease))),
            Outgoing::AskLoads => None,
            Outgoing::End(status) => Some(Err(status)),
        }))))
    }
}

#[async_trait]
impl lrs::load_reporting_service_server::LoadReportingService for Front {
    type StreamLoadStatsStream = Answers<lrs::LoadStatsResponse>;

    async fn stream_load_stats(
        &self, request: Request<Streaming<lrs::LoadStatsRequest>>,
    ) -> Result<tonic::Response<Self::StreamLoadStatsStream>, Status> {
        let answers = self.carry(request, Service::Loads, Event::Report).await?;
        let every = self.report_every;
        Ok(tonic::Response::new(Box::pin(answers.filter_map(move |answer| match answer {
            Outgoing::AskLoads => Some(Ok(codec::ask_loads(every))),
            Outgoing::Response(_) => None,
            Outgoing::End(status) => Some(Err(status)),
        }))))
    }
}

/// The task that owns the machine.
struct Owner {
    control: Control,
    clock: Clock,
    streams: HashMap<Stream, Line>,
    watch: Arc<Notify>,
    to: mpsc::Sender<Event>,
    tries: Arc<tokio::sync::Semaphore>,
    try_for: Duration,
}

impl Owner {
    fn event(&mut self, event: Event) {
        let now = self.clock.now();
        let control = &mut self.control;
        match event {
            Event::Opened(stream, service, claims, line) => {
                self.streams.insert(stream, line);
                control.opened(now, stream, service, claims);
            }
            Event::Request(stream, message) => codec::request(control, now, stream, *message),
            Event::RequestDelta(stream, message) => codec::request_delta(control, now, stream, *message),
            Event::Report(stream, message) => codec::report(control, now, stream, &message),
            Event::Closed(stream) => {
                self.streams.remove(&stream);
                control.closed(now, stream);
            }
            Event::Tried(at, reached) => control.tried(at, reached),
            // Who asked may be gone.
            Event::Counters(to) => drop(to.send(control.metrics.lines())),
        }
        self.carry_out();
    }

    fn carry_out(&mut self) {
        for effect in std::mem::take(&mut self.control.effects) {
            match effect {
                Effect::Respond(stream, response) => self.send(stream, Outgoing::Response(response)),
                Effect::AskLoads(stream) => self.send(stream, Outgoing::AskLoads),
                Effect::End(stream, fault, why) => {
                    let status = match fault {
                        Fault::Argument => Status::invalid_argument(why),
                        Fault::Permission => Status::permission_denied(why),
                        Fault::Exhausted => Status::resource_exhausted(why),
                        Fault::Deadline => Status::deadline_exceeded(why),
                        Fault::Replaced => Status::aborted(why),
                    };
                    if let Some(line) = self.streams.remove(&stream) {
                        line.end(status);
                    }
                }
                Effect::Watch => self.watch.notify_one(),
                Effect::Try(at) => self.try_node(at),
            }
        }
    }

    /// A stream that takes nothing is dropped, with what waits for it.
    fn send(&mut self, stream: Stream, outgoing: Outgoing) {
        let full = self.streams.get(&stream).is_some_and(|line| line.answers.try_send(outgoing).is_err());
        if let Some(line) = full.then(|| self.streams.remove(&stream)).flatten() {
            line.end(Status::deadline_exceeded("nothing was taken on it"));
            self.control.closed(self.clock.now(), stream);
        }
    }

    fn try_node(&mut self, at: SocketAddr) {
        let (to, tries, time) = (self.to.clone(), self.tries.clone(), self.try_for);
        tokio::spawn(async move {
            let Ok(_turn) = tries.acquire().await else { return };
            let reached = tokio::time::timeout(time, TcpStream::connect(at)).await;
            // The machine may be gone by now.
            let _ = to.send(Event::Tried(at, matches!(reached, Ok(Ok(_))))).await;
        });
    }
}

/// Accepts connections and, where there are certificates, shakes hands with each on a task of its own.
async fn accept(listener: TcpListener, mut tls: Option<Tls>, to: mpsc::Sender<std::io::Result<Wire>>) {
    let mut look = tokio::time::interval(Duration::from_secs(1));
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = look.tick() => {
                if let Some(tls) = &mut tls {
                    tls.refresh();
                }
                continue;
            }
        };
        let Ok((stream, _)) = stream else {
            // Out of descriptors: others must close first.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let (to, config) = (to.clone(), tls.as_ref().map(|tls| tls.config.clone()));
        match config {
            None => {
                if to.send(Ok(Wire::Plain(stream))).await.is_err() {
                    return;
                }
            }
            Some(config) => {
                tokio::spawn(async move {
                    match tokio::time::timeout(HANDSHAKE, TlsAcceptor::from(config).accept(stream)).await {
                        Ok(Ok(stream)) => drop(to.send(Ok(Wire::Tls(Box::new(stream)))).await),
                        Ok(Err(why)) => tracing::debug!("no handshake: {why}"),
                        Err(_) => tracing::debug!("no handshake in time"),
                    }
                });
            }
        }
    }
}

/// Watches discovery each time the machine asks for it; a new address ends the watch at the old one.
async fn follow(
    mut discovery: tokio::sync::watch::Receiver<SocketAddr>, go: Arc<Notify>,
    to: mpsc::Sender<(Json, EndpointUpdate)>,
) {
    let mut revision = 0;
    loop {
        go.notified().await;
        let at = *discovery.borrow_and_update();
        let ended = tokio::select! {
            ended = watch(at, &mut revision, &to) => ended,
            moved = discovery.changed() => {
                if moved.is_err() {
                    return;
                }
                revision = 0;
                go.notify_one();
                continue;
            }
        };
        let why = ended.err().unwrap_or_default();
        tracing::info!(discovery = %at, "the watch is over: {why}");
        if to.send((Json::Null, EndpointUpdate::Failed)).await.is_err() {
            return;
        }
    }
}

/// Serves until it is told to end; `ready` is told the address that it listens on.
pub async fn run(
    config: Config, path: Option<String>, options: Options, ready: oneshot::Sender<SocketAddr>,
    mut stop: oneshot::Receiver<()>,
) -> Result<(), String> {
    let listen = options.listen.ok_or("[control] listen: it is not set, so the control service is off")?;
    let listener = TcpListener::bind(listen).await.map_err(|e| format!("listen on {listen}: {e}"))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    let tls = options.tls.clone().map(Tls::new).transpose()?;
    let clock = Clock::new();
    let (to, mut events) = mpsc::channel(MOST_EVENTS);
    let front = Front {
        to: to.clone(),
        next: Arc::default(),
        lease: options.lease,
        report_every: options.report_every,
    };
    let mut owner = Owner {
        control: Control::new(clock.now(), &config, options),
        clock,
        streams: HashMap::new(),
        watch: Arc::default(),
        to: to.clone(),
        tries: Arc::new(tokio::sync::Semaphore::new(MOST_TRIES)),
        try_for: Duration::from_micros(config.micros("limits.connect_timeout_us").max(1000) as u64),
    };
    let (discovery, at_discovery) = tokio::sync::watch::channel(config.discovery);
    let (lists, mut listed) = mpsc::channel(16);
    tokio::spawn(follow(at_discovery, owner.watch.clone(), lists));

    let counters = axum::routing::get(move || async move {
        let (ask, answer) = oneshot::channel();
        let _ = to.send(Event::Counters(ask)).await;
        let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        ([(http::header::CONTENT_TYPE, kind)], answer.await.unwrap_or_default())
    });
    let ads = ads::aggregated_discovery_service_server::AggregatedDiscoveryServiceServer::new(front.clone());
    let lrs = lrs::load_reporting_service_server::LoadReportingServiceServer::new(front);
    let routes = Routes::new(ads.max_decoding_message_size(MOST_MESSAGE))
        .add_service(lrs.max_decoding_message_size(MOST_MESSAGE))
        .into_axum_router()
        .route("/-/counters", counters);
    let (wires, incoming) = mpsc::channel(64);
    tokio::spawn(accept(listener, tls, wires));
    let (end, ended) = oneshot::channel::<()>();
    let server = tonic::transport::Server::builder()
        .accept_http1(true)
        .http2_keepalive_interval(Some(KEEP_ALIVE))
        .http2_keepalive_timeout(Some(KEEP_ALIVE))
        .add_routes(Routes::from(routes))
        .serve_with_incoming_shutdown(ReceiverStream::new(incoming), async move {
            // Told to end, or nobody is left to tell.
            let _ = ended.await;
        });
    let server = tokio::spawn(server);
    tracing::info!("{} hands out decisions on {at}", config.name);
    // Who started it may not care.
    let _ = ready.send(at);

    let mut tick = tokio::time::interval(Duration::from_micros(TICK as u64));
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut hang_up = signal(SignalKind::hangup()).map_err(|e| format!("signals: {e}"))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| format!("signals: {e}"))?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| format!("signals: {e}"))?;
    loop {
        // News of the list go before all else.
        tokio::select! {
            biased;
            _ = &mut stop => break,
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            Some((list, listing)) = listed.recv() => {
                owner.control.list(owner.clock.now(), &list, listing);
                owner.carry_out();
            }
            _ = tick.tick() => {
                owner.control.tick(owner.clock.now());
                owner.carry_out();
            }
            _ = hang_up.recv() => match path.as_deref().map(Config::read) {
                Some(Ok(newer)) => {
                    let held = config.fields_needing_restart(&newer);
                    if !held.is_empty() {
                        tracing::warn!("heeded at the next start only: {}", held.join(", "));
                    }
                    discovery.send_if_modified(|at| std::mem::replace(at, newer.discovery) != newer.discovery);
                }
                Some(Err(why)) => tracing::warn!("the configuration stays as it was: {why}"),
                None => {}
            },
            Some(event) = events.recv() => owner.event(event),
        }
    }
    tracing::info!("told to end");
    // Streams end with the task that owns them; proxies serve on with what they have.
    for (_, line) in owner.streams.drain() {
        line.end(Status::unavailable("the control service ends"));
    }
    let _ = end.send(());
    let abort = server.abort_handle();
    if tokio::time::timeout(LAST_WORDS, server).await.is_err() {
        abort.abort();
    }
    Ok(())
}

/// The threads that carry streams: encoding and sockets are theirs, while one task at a time owns the machine.
pub fn runtime() -> Result<tokio::runtime::Runtime, String> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from).min(MOST_THREADS);
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("control")
        .enable_all()
        .build()
        .map_err(|e| format!("event loop: {e}"))
}

/// Serves until it is told to end.
pub fn serve(config: Config, path: String, options: Options) -> Result<(), String> {
    let (ready, _at) = oneshot::channel();
    let (_keep, stop) = oneshot::channel();
    let running = run(config, Some(path), options, ready, stop);
    runtime()?.block_on(async { tokio::spawn(running).await.map_err(|e| format!("the service ended: {e}"))? })
}
