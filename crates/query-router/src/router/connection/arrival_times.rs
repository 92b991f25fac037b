//! Arrival times of the unconsumed bytes of a client connection. A pipelined request may be parsed long after it
//! arrived, but its deadline counts from its arrival.

use balancer::Micros;
use std::collections::VecDeque;

/// The most arrivals that are kept. Later bytes are merged into the last one and get its time.
const MAX_ARRIVALS: usize = 16;

/// The time at which the unconsumed bytes before the offset `end` had arrived.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    end: usize,
    at: Micros,
}

/// The arrival times of unconsumed bytes.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    arrivals: VecDeque<Arrival>,
}

impl ArrivalTimes {
    /// Records `now` as the arrival time of new bytes, if there are any among the `length` unconsumed ones.
    pub fn record(&mut self, now: Micros, length: usize) {
        let recorded = self.arrivals.back().map_or(0, |last| last.end);
        if length <= recorded {
            return;
        }
        if self.arrivals.len() < MAX_ARRIVALS {
            self.arrivals.push_back(Arrival { end: length, at: now });
        } else if let Some(last) = self.arrivals.back_mut() {
            last.end = length;
        }
    }

    /// Returns the arrival time of the last of the first `length` unconsumed bytes; `None` if there are fewer.
    pub fn arrival_of(&self, length: usize) -> Option<Micros> {
        self.arrivals.iter().find(|arrival| arrival.end >= length).map(|arrival| arrival.at)
    }

    /// Removes the first `count` bytes, which were consumed.
    pub fn consume(&mut self, count: usize) {
        self.arrivals.retain(|arrival| arrival.end > count);
        for arrival in &mut self.arrivals {
            arrival.end -= count;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_keep_their_arrival_time() {
        let mut times = ArrivalTimes::default();
        times.record(10, 100);
        times.record(20, 250);
        times.record(30, 250);
        assert_eq!(
            [100, 101, 250, 251].map(|length| times.arrival_of(length)),
            [Some(10), Some(20), Some(20), None]
        );
        times.consume(100);
        assert_eq!([1, 150, 151].map(|length| times.arrival_of(length)), [Some(20), Some(20), None]);
        times.consume(150);
        assert_eq!(times.arrival_of(1), None);
    }

    #[test]
    fn arrivals_are_limited_in_number_and_no_byte_gets_a_later_time() {
        let mut times = ArrivalTimes::default();
        for piece in 1..=1000 {
            times.record(piece, piece as usize);
        }
        assert_eq!(times.arrivals.len(), MAX_ARRIVALS);
        assert!((1..=1000).all(|length| times.arrival_of(length) <= Some(length as Micros)));
    }
}
