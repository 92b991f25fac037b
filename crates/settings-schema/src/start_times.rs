//! Converts the start times of nodes to the clock of this process. Discovery reports start times by its own wall
//! clock, and the wall clock of this machine may be wrong. The two are reconciled by two facts: no start time lies in
//! the future, and a start that discovery reports for the first time was after the previous endpoint list or, since
//! discovery may report it late, at most [`MAX_DISCOVERY_DELAY`] before that list.

#[cfg(test)]
mod tests;

use balancer::Micros;

/// Longest time between a change and the endpoint list that contains it, as stated by discovery's operators.
const MAX_DISCOVERY_DELAY: Micros = 6_000_000;

/// Largest measured difference from discovery's clock that still counts as none: discovery sends its time with a
/// resolution of one second, and the response takes time to arrive.
const CLOCK_TOLERANCE: Micros = 3_000_000;

/// Half of the resolution with which discovery sends its time.
const HALF_RESOLUTION: Micros = 500_000;

/// The start time of a node by both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeStart {
    /// Start time as reported by discovery; 0 if it is unknown and counts as long ago.
    reported: Micros,
    /// Start time by the clock of this process; 0 for long ago.
    started_at: Micros,
    /// Whether the offset between the clocks was known and applied.
    uses_offset: bool,
}

impl NodeStart {
    /// Returns the start time by the clock of this process; 0 for long ago.
    pub fn started_at(&self) -> Micros {
        self.started_at
    }
}

/// Converts the start times that discovery reports to the clock of this process.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// Time of the last endpoint list; `None` before the first.
    last_list_at: Option<Micros>,
    /// Least age of a node when its start time was first reported, by the local clock less any known offset. It limits
    /// how far the clock of this process can be ahead of discovery's.
    min_age: Option<Micros>,
    /// Time by which the clock of this process is ahead of discovery's, 0 within the tolerance; `None` until discovery
    /// has sent its time.
    clock_offset: Option<Micros>,
}

impl StartTimes {
    /// Updates the offset between the clocks from the time that discovery sent, in microseconds but with a resolution
    /// of one second.
    pub fn discovery_time_received(&mut self, now: Micros, stated: Micros) {
        let offset = now - stated - HALF_RESOLUTION;
        self.clock_offset = Some(if offset.abs() > CLOCK_TOLERANCE { offset } else { 0 });
    }

    /// Records that an endpoint list was received. Call it after the start times of all its entries were converted.
    pub fn list_received(&mut self, now: Micros) {
        self.last_list_at = Some(now);
    }

    /// Converts the start time that discovery reports for a node, 0 if it reports none. `previous` is the result of the
    /// node's previous conversion.
    pub fn convert(&mut self, now: Micros, reported: Micros, previous: Option<NodeStart>) -> NodeStart {
        let age = now - self.clock_offset.unwrap_or(0) - reported;
        let uses_offset = self.clock_offset.is_some();
        let started_at = match previous {
            Some(previous) if previous.reported == reported => {
                if previous.uses_offset || !uses_offset || reported == 0 || self.clock_offset == Some(0) {
                    return previous;
                }
                now - age.max(0)
            }
            _ if reported == 0 => previous.map_or(0, |previous| previous.started_at),
            _ => self.started_at(now, age, previous),
        };
        NodeStart { reported, started_at, uses_offset }
    }

    fn started_at(&mut self, now: Micros, age: Micros, previous: Option<NodeStart>) -> Micros {
        let min_age = self.min_age.map_or(age, |previous_min| previous_min.min(age));
        self.min_age = Some(min_age);
        let max_plausible_age = self.last_list_at.map_or(Micros::MAX, |at| now - at + MAX_DISCOVERY_DELAY);
        if (0..=max_plausible_age).contains(&age) {
            return now - age;
        }
        // The clocks differ, or a node is first listed long after its start. A process that replaced another one
        // counts as started now. Any other has the reported age if the offset between the clocks is known. Otherwise
        // its age is its difference in age from the youngest node, which may have started just now.
        let is_restart = previous.is_some_and(|previous| previous.reported != 0 || previous.started_at == 0);
        match self.clock_offset {
            _ if is_restart || age < 0 => now,
            Some(_) => now - age,
            None => now - (age - min_age),
        }
    }
}
