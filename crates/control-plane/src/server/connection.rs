//! Connections from proxies, with or without TLS.

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

/// An accepted connection; with TLS, its handshake is complete.
pub(super) enum Connection {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl Connected for Connection {
    type ConnectInfo = AuthorizedNames;

    /// Returns the DNS names in the client certificate; any name is authorized without TLS.
    fn connect_info(&self) -> AuthorizedNames {
        match self {
            Connection::Plain(_) => AuthorizedNames::Any,
            Connection::Tls(stream) => {
                let certificates = stream.get_ref().1.peer_certificates().unwrap_or_default();
                let names = certificates.first().map_or(Vec::new(), |certificate| dns_names(certificate));
                AuthorizedNames::Only(Arc::new(names))
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

/// Accepts connections. Each TLS handshake runs in a task of its own, so that a slow client does not block others.
/// Without TLS, returns at the first connection after the receiver of `connections` has been dropped.
pub(super) async fn accept(
    listener: TcpListener, mut tls: Option<ReloadableTlsConfig>,
    connections: mpsc::Sender<io::Result<Connection>>,
) {
    let mut certificate_check = tokio::time::interval(CERTIFICATE_CHECK_INTERVAL);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = certificate_check.tick() => {
                if let Some(tls) = &mut tls {
                    tls.reload_if_changed();
                }
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A failure only increases the latency of small writes.
        let _ = stream.set_nodelay(true);
        if let Some(tls) = &tls {
            tokio::spawn(handshake(stream, tls.config(), connections.clone()));
        } else if connections.send(Ok(Connection::Plain(stream))).await.is_err() {
            return;
        }
    }
}

async fn handshake(
    stream: TcpStream, config: Arc<ServerConfig>, connections: mpsc::Sender<io::Result<Connection>>,
) {
    let handshake = TlsAcceptor::from(config).accept(stream);
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(stream)) => drop(connections.send(Ok(Connection::Tls(Box::new(stream)))).await),
        Ok(Err(error)) => tracing::debug!(%error, "TLS handshake failed"),
        Err(_) => tracing::debug!("TLS handshake timed out"),
    }
}
