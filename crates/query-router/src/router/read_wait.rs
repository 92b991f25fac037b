//! Delay of a decision by the rest of a read.

/// Whether a decision waits for the rest of a read: more bytes may be available after a response that was reported to
/// the balancer, and they may show that it is cut off. Never waits twice in a row, so that no node can delay decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadWait {
    /// The next decision does not wait.
    None,
    /// The next decision waits for one iteration.
    Requested,
    /// The decision of the last iteration has waited.
    Done,
}

impl ReadWait {
    /// Requests that the next decision waits, unless the one before has.
    pub fn request(&mut self) {
        if *self == ReadWait::None {
            *self = ReadWait::Requested;
        }
    }

    /// Ends an iteration. Returns whether its decision waits.
    pub fn end_iteration(&mut self) -> bool {
        let waits = *self == ReadWait::Requested;
        *self = if waits { ReadWait::Done } else { ReadWait::None };
        waits
    }
}
