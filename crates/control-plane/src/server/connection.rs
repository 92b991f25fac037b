//! Connections of proxies, with or without TLS.

use crate::control_plane::AuthorizedNames;
use crate::tls::{Tls, dns_names};
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

/// How long a TLS handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);
/// How often it is checked whether the certificates' files changed.
const CERTIFICATE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// How long to wait after a connection could not be accepted, for want of file descriptors: others must close
/// first.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A connection.
pub(super) enum Connection {
    Plain(TcpStream),
    Tls(Box<TlsStream<TcpStream>>),
}

impl Connected for Connection {
    type ConnectInfo = AuthorizedNames;

    /// The names in the certificate of the connection.
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

/// Accepts connections until nothing receives them. With TLS each handshake has a task of its own.
pub(super) async fn accept(
    listener: TcpListener, mut tls: Option<Tls>, connections: mpsc::Sender<io::Result<Connection>>,
) {
    let mut certificate_check = tokio::time::interval(CERTIFICATE_CHECK_INTERVAL);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = certificate_check.tick() => {
                if let Some(tls) = &mut tls {
                    tls.refresh();
                }
                continue;
            }
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without the option the connection works as well, with a longer delay.
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
