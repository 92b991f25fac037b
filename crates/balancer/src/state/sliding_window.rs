//! Sliding window over the samples of a measurement; sums and quantiles are computed on request.

use crate::Micros;
use std::cell::Cell;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Micros,
    value: f64,
}

/// Result of the last quantile computation.
#[derive(Clone, Copy, Debug)]
struct CachedQuantile {
    share: f64,
    from: Micros,
    value: Option<f64>,
}

/// Numbers of negative samples and of all samples.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignCounts {
    pub negative: f64,
    pub total: f64,
}

/// The last samples of a measurement, up to a fixed number.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    capacity: usize,
    samples: VecDeque<Sample>,
    /// Cached because many callers request the same quantile in one decision.
    cached: Cell<Option<CachedQuantile>>,
}

impl SlidingWindow {
    /// Creates an empty window of at most `capacity` samples.
    pub fn new(capacity: usize) -> Self {
        SlidingWindow { capacity, ..Default::default() }
    }

    /// Adds a sample; removes the oldest one if the window is full.
    pub fn push(&mut self, at: Micros, value: f64) {
        if self.samples.len() == self.capacity {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample { at, value });
        self.cached.set(None);
    }

    /// Adds a sample `count` times.
    pub fn push_times(&mut self, at: Micros, value: f64, count: usize) {
        for _ in 0..count {
            self.push(at, value);
        }
    }

    /// Iterates over the values of the samples taken at `from` or later, newest first.
    pub fn since(&self, from: Micros) -> impl Iterator<Item = f64> + '_ {
        self.samples.iter().rev().take_while(move |sample| sample.at >= from).map(|sample| sample.value)
    }

    /// Returns the window at `index` of a list, after extending the list to include it with windows of
    /// `capacity` samples.
    pub fn entry(list: &mut Vec<SlidingWindow>, index: usize, capacity: usize) -> &mut SlidingWindow {
        if list.len() <= index {
            list.resize(index + 1, SlidingWindow::new(capacity));
        }
        &mut list[index]
    }

    /// Returns the number of samples taken at `from` or later.
    pub fn count(&self, from: Micros) -> usize {
        self.since(from).count()
    }

    /// Returns the time of the last sample.
    pub fn last_at(&self) -> Option<Micros> {
        self.samples.back().map(|sample| sample.at)
    }

    /// Returns the sum of the samples taken at `from` or later.
    pub fn sum(&self, from: Micros) -> f64 {
        self.since(from).sum()
    }

    /// Returns the quantile `share` (0 to 1) of the samples taken at `from` or later; `None` if there are none.
    pub fn quantile(&self, share: f64, from: Micros) -> Option<f64> {
        if let Some(cached) = self.cached.get().filter(|cached| (cached.share, cached.from) == (share, from))
        {
            return cached.value;
        }
        let mut values: Vec<f64> = self.since(from).collect();
        let index = (values.len().saturating_sub(1) as f64 * share).round() as usize;
        let value = (!values.is_empty()).then(|| *values.select_nth_unstable_by(index, f64::total_cmp).1);
        self.cached.set(Some(CachedQuantile { share, from, value }));
        value
    }

    /// Counts the samples taken at `from` or later: those with an absolute value under `magnitude`, and the
    /// others.
    pub fn split_by_magnitude(&self, from: Micros, magnitude: f64) -> [SignCounts; 2] {
        let mut counts = [SignCounts::default(); 2];
        for value in self.since(from) {
            let count = &mut counts[(value.abs() >= magnitude) as usize];
            count.negative += (value < 0.0) as u8 as f64;
            count.total += 1.0;
        }
        counts
    }

    /// Removes all samples.
    pub fn clear(&mut self) {
        self.samples.clear();
        self.cached.set(None);
    }
}
