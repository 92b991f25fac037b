//! The order of the revisions of endpoint lists, across watches.

use super::WatchError;
use std::time::{Duration, Instant};

/// The time for which a list with an older revision than the newest is rejected. A replica of discovery that lags behind
/// would otherwise undo a drain; after this time revisions count as having begun anew.
const OLDER_REVISION_TIMEOUT: Duration = Duration::from_secs(5);

/// The revisions that were received from discovery.
#[derive(Debug, Default)]
pub(crate) struct Revisions {
    last: u64,
    newest: u64,
    /// The time of the first list that was older than the newest, unless a newer one has followed.
    older_since: Option<Instant>,
}

impl Revisions {
    /// Returns the revision after which updates are to be requested.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Makes the next watch request the full list, as needed after a change of the address.
    pub(crate) fn request_all(&mut self) {
        self.last = 0;
    }

    /// Records the revision of a list or update.
    ///
    /// # Errors
    ///
    /// Returns [`WatchError::OlderRevision`] if the list must not be used.
    pub(super) fn record(&mut self, revision: u64, now: Instant) -> Result<(), WatchError> {
        if revision < self.newest {
            let older_since = *self.older_since.get_or_insert(now);
            if now.duration_since(older_since) < OLDER_REVISION_TIMEOUT {
                self.request_all();
                return Err(WatchError::OlderRevision { revision, newest: self.newest });
            }
        }
        self.older_since = None;
        self.newest = revision;
        self.last = revision;
        Ok(())
    }
}
