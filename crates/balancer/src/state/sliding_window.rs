//! The last samples of a measurement; sums and quantiles are computed when they are asked for.

use crate::Micros;
use std::cell::Cell;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Micros,
    value: f64,
}

/// The last quantile that was computed.
#[derive(Clone, Copy, Debug)]
struct CachedQuantile {
    share: f64,
    from: Micros,
    value: Option<f64>,
}

/// How many samples were negative, and how many there were.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SignCounts {
    /// Samples below zero.
    pub negative: f64,
    /// All samples.
    pub total: f64,
}

/// The last samples of a measurement, up to a fixed number.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    capacity: usize,
    samples: VecDeque<Sample>,
    /// Many callers ask for the same quantile in one decision.
    cached: Cell<Option<CachedQuantile>>,
}

impl SlidingWindow {
    /// An empty window of at most `capacity` samples.
    pub fn new(capacity: usize) -> Self {
        SlidingWindow { capacity, ..Default::default() }
    }

    /// Adds a sample, which replaces the oldest one if the window is full.
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

    /// The values of the samples taken at `from` or later, the newest first.
    pub fn since(&self, from: Micros) -> impl Iterator<Item = f64> + '_ {
        self.samples.iter().rev().take_while(move |sample| sample.at >= from).map(|sample| sample.value)
    }

    /// The window at `index` of a list, which grows to hold it by windows of `capacity` samples.
    pub fn entry(list: &mut Vec<SlidingWindow>, index: usize, capacity: usize) -> &mut SlidingWindow {
        if list.len() <= index {
            list.resize(index + 1, SlidingWindow::new(capacity));
        }
        &mut list[index]
    }

    /// How many samples were taken at `from` or later.
    pub fn count(&self, from: Micros) -> usize {
        self.since(from).count()
    }

    /// When the last sample was taken.
    pub fn last_at(&self) -> Option<Micros> {
        self.samples.back().map(|sample| sample.at)
    }

    /// The sum of the samples taken at `from` or later.
    pub fn sum(&self, from: Micros) -> f64 {
        self.since(from).sum()
    }

    /// The value below which `share` of the samples taken at `from` or later lies.
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

    /// Of the samples taken at `from` or later: the counts of those whose magnitude is under `magnitude`, and
    /// of the others.
    pub fn split_by_magnitude(&self, from: Micros, magnitude: f64) -> [SignCounts; 2] {
        let mut counts = [SignCounts::default(); 2];
        for value in self.since(from) {
            let count = &mut counts[(value.abs() >= magnitude) as usize];
            count.negative += (value < 0.0) as u8 as f64;
            count.total += 1.0;
        }
        counts
    }

    /// Forgets all samples.
    pub fn clear(&mut self) {
        self.samples.clear();
        self.cached.set(None);
    }
}
