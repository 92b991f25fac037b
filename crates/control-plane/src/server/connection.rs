//! Connections from proxies, with or without TLS.

use super::connection_limit::{ConnectionLimit, ConnectionPlace, OpenConnection};
use crate::control_plane::AuthorizedNames;
use crate::tls::{ReloadableTlsConfig, dns_names};
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_rustls::server::TlsStream;
use tonic::transport::server::Connected;

/// Timeout of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks of the certificate files for changes.
const CERTIFICATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the next `accept` after one failed for lack of file descriptors, so that other connections can
/// close first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval between attempts to find a place for an accepted connection at the limit.
const PLACE_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// A TCP connection with its place in the limit on connections. Reading fails once it is evicted.
pub(super) struct LimitedStream {
    stream: TcpStream,
    place: ConnectionPlace,
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.place.connection.poll_evicted(context) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut this.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}

/// An accepted connection; with TLS, its handshake is complete.
pub(super) enum Connection {
    Plain(LimitedStream),
    Tls(Box<TlsStream<LimitedStream>>),
}

/// What the services know of the connection of a request.
#[derive(Clone)]
pub(super) struct ConnectionInfo {
    /// The DNS names in the client certificate; any name is authorized without TLS.
    pub authorized_names: AuthorizedNames,
    /// The connection in the limit on connections.
    pub open: Arc<OpenConnection>,
}

impl Connected for Connection {
    type ConnectInfo = ConnectionInfo;

    fn connect_info(&self) -> ConnectionInfo {
        match self {
            Connection::Plain(stream) => ConnectionInfo {
                authorized_names: AuthorizedNames::Any,
                open: stream.place.connection.clone(),
            },
            Connection::Tls(stream) => {
                let (stream, session) = stream.get_ref();
                let certificates = session.peer_certificates().unwrap_or_default();
                let names = certificates.first().map_or(Vec::new(), |certificate| dns_names(certificate));
                ConnectionInfo {
                    authorized_names: AuthorizedNames::Only(Arc::new(names)),
                    open: stream.place.connection.clone(),
                }
            }
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Plain(stream) => Pin::new(stream).poll_read(context, buffer),
            Connection::Tls(stream) => Pin::new(stream).poll_read(context, buffer),
        }
    }
}

impl AsyncWrite for Connection {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match self.get_mut() {
            Connection::Plain(stream) => Pin::new(stream).poll_write(context, bytes),
            Connection::Tls(stream) => Pin::new(stream).poll_write(context, bytes),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Plain(stream) => Pin::new(stream).poll_flush(context),
            Connection::Tls(stream) => Pin::new(stream).poll_flush(context),
        }
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.get_mut() {
            Connection::Plain(stream) => Pin::new(stream).poll_shutdown(context),
            Connection::Tls(stream) => Pin::new(stream).poll_shutdown(context),
        }
    }
}

/// Accepts connections within the limit. Each TLS handshake runs in a task of its own, so that a slow client does not block others.
/// Without TLS, returns at the first connection after the receiver of `connections` has been dropped.
pub(super) async fn accept(
    listener: TcpListener, limit: ConnectionLimit, mut tls: Option<ReloadableTlsConfig>,
    connections: mpsc::Sender<io::Result<Connection>>,
) {
    let mut certificate_check = tokio::time::interval(CERTIFICATE_CHECK_INTERVAL);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = certificate_check.tick() => {
                reload_certificates(&mut tls);
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A failure only increases the latency of small writes.
        let _ = stream.set_nodelay(true);
        let place = loop {
            if let Some(place) = limit.try_add() {
                break place;
            }
            tokio::select! {
                () = tokio::time::sleep(PLACE_RETRY_INTERVAL) => {}
                _ = certificate_check.tick() => reload_certificates(&mut tls),
            }
        };
        let stream = LimitedStream { stream, place };
        if let Some(tls) = &tls {
            tokio::spawn(handshake(stream, tls.config(), connections.clone()));
        } else if connections.send(Ok(Connection::Plain(stream))).await.is_err() {
            return;
        }
    }
}

fn reload_certificates(tls: &mut Option<ReloadableTlsConfig>) {
    if let Some(tls) = tls {
        tls.reload_if_changed();
    }
}

async fn handshake(
    stream: LimitedStream, config: Arc<ServerConfig>, connections: mpsc::Sender<io::Result<Connection>>,
) {
    let handshake = TlsAcceptor::from(config).accept(stream);
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(stream)) => drop(connections.send(Ok(Connection::Tls(Box::new(stream)))).await),
        Ok(Err(error)) => tracing::debug!(%error, "TLS handshake failed"),
        Err(_) => tracing::debug!("TLS handshake timed out"),
    }
}
