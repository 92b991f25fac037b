//! The signals that the router handles.

use super::error::ServeError;
use calloop::LoopHandle;
use calloop::signals::{Signal, Signals};

/// What a signal asks the router to do.
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

/// The blocked signals of the router, which [`serve`](super::serve) reads. Signals that arrive before are
/// kept.
pub struct SignalSource(Signals);

/// Blocks the signals that the router handles, so that they are kept until [`serve`](super::serve) reads
/// them. Call it before anything else. Guards against a signal that arrives while the configuration is read
/// ending the process by the system's default action.
///
/// # Errors
///
/// [`ServeError::Signals`] if the system does not allow it.
pub fn install_signal_handlers() -> Result<SignalSource, ServeError> {
    Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP, Signal::SIGUSR1])
        .map(SignalSource)
        .map_err(ServeError::Signals)
}

impl SignalSource {
    /// Has the event loop call `on_request` for each signal.
    pub(super) fn register<D: 'static>(
        self, handle: &LoopHandle<'static, D>, on_request: impl Fn(SignalRequest, &mut D) + 'static,
    ) -> Result<(), ServeError> {
        handle
            .insert_source(self.0, move |event, _, data| on_request(event.signal().into(), data))
            .map(|_| ())
            .map_err(|insert| ServeError::Signals(insert.error))
    }
}
