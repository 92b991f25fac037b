//! The signals that the router handles.

use super::error::ServeError;
use super::system_error::{io_error_of, retry_at_start};
use calloop::signals::{Signal, Signals};
use calloop::{EventSource, LoopHandle, Poll, PostAction, Readiness, Token, TokenFactory};

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SignalRequest {
    /// SIGUSR1: print the counters.
    ReportCounters,
    /// SIGHUP: read the configuration again.
    ReloadConfig,
    /// SIGTERM, SIGINT: shut down gracefully.
    Terminate,
}

impl From<Signal> for SignalRequest {
    fn from(signal: Signal) -> SignalRequest {
        match signal {
            Signal::SIGUSR1 => SignalRequest::ReportCounters,
            Signal::SIGHUP => SignalRequest::ReloadConfig,
            _ => SignalRequest::Terminate,
        }
    }
}

/// The signals of the router as an event source. They are blocked, so they stay pending until [`serve`](super::serve)
/// reads them.
pub struct SignalSource(Signals);

/// Blocks the signals that the router handles, so that they stay pending until [`serve`](super::serve) reads them. Must
/// be called first in the process: a signal that arrives earlier, for example while the configuration is read, ends the
/// process by its default action.
///
/// # Errors
///
/// Returns [`ServeError::Signals`] if the system call fails.
pub fn block_signals() -> Result<SignalSource, ServeError> {
    let signals = || Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1]);
    retry_at_start(signals, io_error_of).map(SignalSource).map_err(ServeError::Signals)
}

impl SignalSource {
    /// Registers the source with the event loop, which calls `on_request` for each signal. Leaves `source` in place if
    /// the registration fails.
    pub(super) fn register<D: 'static>(
        source: &mut Option<SignalSource>, handle: &LoopHandle<'static, D>,
        on_request: impl Fn(SignalRequest, &mut D) + 'static,
    ) -> Result<(), ServeError> {
        let Some(signals) = source.take() else { return Ok(()) };
        let inserted =
            handle.insert_source(signals, move |event, _, data| on_request(event.signal().into(), data));
        inserted.map(|_| ()).map_err(|refused| {
            *source = Some(refused.inserted);
            ServeError::Signals(refused.error)
        })
    }
}

/// Reads signals and delays a failed read to the next iteration. If the error were returned, the event loop would fail
/// as a whole and lose the readiness of connections that it has not reported yet.
impl EventSource for SignalSource {
    type Event = <Signals as EventSource>::Event;
    type Metadata = ();
    type Ret = ();
    type Error = <Signals as EventSource>::Error;

    fn process_events<F>(
        &mut self, readiness: Readiness, token: Token, callback: F,
    ) -> Result<PostAction, Self::Error>
    where
        F: FnMut(Self::Event, &mut ()),
    {
        self.0.process_events(readiness, token, callback).or_else(|error| {
            tracing::warn!(%error, "reading a signal failed; retrying");
            Ok(PostAction::Continue)
        })
    }

    fn register(&mut self, poll: &mut Poll, token_factory: &mut TokenFactory) -> calloop::Result<()> {
        self.0.register(poll, token_factory)
    }

    fn reregister(&mut self, poll: &mut Poll, token_factory: &mut TokenFactory) -> calloop::Result<()> {
        self.0.reregister(poll, token_factory)
    }

    fn unregister(&mut self, poll: &mut Poll) -> calloop::Result<()> {
        self.0.unregister(poll)
    }
}
