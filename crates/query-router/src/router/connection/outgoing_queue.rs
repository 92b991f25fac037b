//! The queue of frames for a data node of which no byte has been written, so that they can still be removed.

use balancer::AttemptId;
use std::collections::VecDeque;
use std::sync::Arc;

/// The kind of a health check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthCheckKind {
    /// A check of the node's health alone.
    Health,
    /// A check whose response also states the node's load, where health checks report the load.
    Load,
}

/// A frame to be written to a data node.
#[derive(Debug)]
pub enum OutgoingFrame {
    /// A batch of attempts.
    Batch(Vec<AttemptId>),
    /// A cancellation of the shard request with this id.
    Cancellation(Arc<str>),
    /// A health check.
    HealthCheck(HealthCheckKind),
}

/// The queued frames of a node connection, in the order in which they are written.
#[derive(Debug, Default)]
pub struct OutgoingQueue {
    frames: VecDeque<OutgoingFrame>,
}

impl OutgoingQueue {
    /// Returns whether no frame is queued.
    pub fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// Adds a frame at the end.
    pub fn push(&mut self, frame: OutgoingFrame) {
        self.frames.push_back(frame);
    }

    /// Removes and returns the first frame; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<OutgoingFrame> {
        self.frames.pop_front()
    }

    /// Returns the attempts of all batches, in order.
    pub fn attempts(&self) -> impl Iterator<Item = AttemptId> + '_ {
        let batches = self.frames.iter().filter_map(|frame| match frame {
            OutgoingFrame::Batch(attempts) => Some(attempts),
            _ => None,
        });
        batches.flatten().copied()
    }

    /// Returns the attempts of the first batch; `None` if no batch is queued.
    pub fn first_batch(&self) -> Option<&[AttemptId]> {
        self.frames.iter().find_map(|frame| match frame {
            OutgoingFrame::Batch(attempts) => Some(attempts.as_slice()),
            _ => None,
        })
    }

    /// Removes the first batch and returns its attempts; `None` if no batch is queued.
    pub fn take_first_batch(&mut self) -> Option<Vec<AttemptId>> {
        let index = self.frames.iter().position(|frame| matches!(frame, OutgoingFrame::Batch(_)))?;
        match self.frames.remove(index) {
            Some(OutgoingFrame::Batch(attempts)) => Some(attempts),
            _ => None,
        }
    }

    /// Removes an attempt from its batch, and the batch if it is empty then.
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
