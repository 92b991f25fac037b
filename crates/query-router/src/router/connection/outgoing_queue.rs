//! The frames that are queued for a data node. No byte of them is written, so they can still be removed.

use balancer::AttemptId;
use std::collections::VecDeque;
use std::rc::Rc;

/// The kind of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthCheckKind {
    /// Asks whether the node is healthy.
    Health,
    /// Asks for the load of the node, where health checks report the load.
    Load,
}

/// Something to be written to a data node.
#[derive(Debug)]
pub enum OutgoingFrame {
    /// The attempts of one batch.
    Batch(Vec<AttemptId>),
    /// The shard request with this id is cancelled.
    Cancellation(Rc<str>),
    /// A health check.
    HealthCheck(HealthCheckKind),
}

/// A queue of frames.
#[derive(Debug, Default)]
pub struct OutgoingQueue {
    frames: VecDeque<OutgoingFrame>,
}

impl OutgoingQueue {
    /// Whether no frame is queued.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// Adds a frame.
    pub fn push(&mut self, frame: OutgoingFrame) {
        self.frames.push_back(frame);
    }

    /// Removes and returns the first frame.
    pub fn pop(&mut self) -> Option<OutgoingFrame> {
        self.frames.pop_front()
    }

    /// The attempts of all batches, in order.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        let batches = self.frames.iter().filter_map(|frame| match frame {
            OutgoingFrame::Batch(attempts) => Some(attempts),
            _ => None,
        });
        batches.flatten().copied()
    }

    /// The attempts of the first batch.
    pub fn first_batch(&self) -> Option<&[AttemptId]> {
        self.frames.iter().find_map(|frame| match frame {
            OutgoingFrame::Batch(attempts) => Some(attempts.as_slice()),
            _ => None,
        })
    }

    /// Removes the first batch and returns its attempts.
    pub fn take_first_batch(&mut self) -> Option<Vec<AttemptId>> {
        let index = self.frames.iter().position(|frame| matches!(frame, OutgoingFrame::Batch(_)))?;
        match self.frames.remove(index) {
            Some(OutgoingFrame::Batch(attempts)) => Some(attempts),
            _ => None,
        }
    }

    /// Removes an attempt, and its batch if no other attempt is in it.
    pub fn remove(&mut self, attempt: AttemptId) {
        self.frames.retain_mut(|frame| match frame {
            OutgoingFrame::Batch(attempts) => {
                attempts.retain(|&queued| queued != attempt);
                !attempts.is_empty()
            }
            _ => true,
        });
    }
}
