//! When the bytes that were received on a client connection and are not consumed came. A request that stands behind
//! another in the buffer is read long after it came, and its client counts from when it was sent.

use balancer::Micros;
use std::collections::VecDeque;

/// How many times are kept. What comes beyond them counts as having come with the last.
const MAX_MARKS: usize = 16;

/// All bytes up to `end` had come at a time.
#[derive(Clone, Copy, Debug)]
struct Mark {
    end: usize,
    at: Micros,
}

/// When unconsumed bytes came.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    marks: VecDeque<Mark>,
}

impl ArrivalTimes {
    /// Notes that there are `length` unconsumed bytes now.
    pub fn note(&mut self, now: Micros, length: usize) {
        let known = self.marks.back().map_or(0, |last| last.end);
        if length <= known {
            return;
        }
        if self.marks.len() < MAX_MARKS {
            self.marks.push_back(Mark { end: length, at: now });
        } else if let Some(last) = self.marks.back_mut() {
            last.end = length;
        }
    }

    /// When the last of the first `length` unconsumed bytes came.
    pub fn arrival_of(&self, length: usize) -> Option<Micros> {
        self.marks.iter().find(|mark| mark.end >= length).map(|mark| mark.at)
    }

    /// Notes that the first `count` bytes are consumed.
    pub fn consume(&mut self, count: usize) {
        self.marks.retain(|mark| mark.end > count);
        for mark in &mut self.marks {
            mark.end -= count;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_keep_the_time_at_which_they_came() {
        let mut times = ArrivalTimes::default();
        times.note(10, 100);
        times.note(20, 250);
        times.note(30, 250);
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
    fn many_pieces_are_kept_in_bounds_and_never_count_as_later() {
        let mut times = ArrivalTimes::default();
        for piece in 1..=1000 {
            times.note(piece, piece as usize);
        }
        assert_eq!(times.marks.len(), MAX_MARKS);
        assert!((1..=1000).all(|length| times.arrival_of(length) <= Some(length as Micros)));
    }
}
