//! The last few samples of a measurement; figures are worked out when asked for.

use crate::Micros;
use std::cell::Cell;
use std::collections::VecDeque;

#[derive(Clone, Debug, Default)]
pub struct Samples {
    pub most: usize,
    items: VecDeque<(Micros, f64)>,
    /// The last quantile worked out and what it was asked for: many ask for the same at one instant.
    last: Cell<Option<(f64, Micros, Option<f64>)>>,
}

impl Samples {
    pub fn new(most: usize) -> Self {
        Samples { most, ..Default::default() }
    }

    pub fn push(&mut self, at: Micros, value: f64) {
        if self.items.len() == self.most {
            self.items.pop_front();
        }
        self.items.push_back((at, value));
        self.last.set(None);
    }

    pub fn since(&self, from: Micros) -> impl Iterator<Item = f64> + '_ {
        self.items.iter().rev().take_while(move |s| s.0 >= from).map(|s| s.1)
    }

    /// The samples at `index` of a list that grows to hold them, at most `most` each.
    pub fn at(list: &mut Vec<Samples>, index: usize, most: usize) -> &mut Samples {
        if list.len() <= index {
            list.resize(index + 1, Samples::new(most));
        }
        &mut list[index]
    }

    /// How many samples were taken at `from` or later.
    pub fn count(&self, from: Micros) -> usize {
        self.since(from).count()
    }

    /// When the last one was taken.
    pub fn last(&self) -> Option<Micros> {
        self.items.back().map(|s| s.0)
    }

    pub fn sum(&self, from: Micros) -> f64 {
        self.since(from).sum()
    }

    /// The value below which the share `q` of the samples since `from` lies.
    pub fn quantile(&self, q: f64, from: Micros) -> Option<f64> {
        if let Some((_, _, value)) = self.last.get().filter(|last| (last.0, last.1) == (q, from)) {
            return value;
        }
        let mut values: Vec<f64> = self.since(from).collect();
        let at = (values.len().saturating_sub(1) as f64 * q).round() as usize;
        let value = (!values.is_empty()).then(|| *values.select_nth_unstable_by(at, f64::total_cmp).1);
        self.last.set(Some((q, from, value)));
        value
    }

    /// Of the samples since `from` whose size is under `at`, and of the others: those below zero, and all.
    pub fn split(&self, from: Micros, at: f64) -> [(f64, f64); 2] {
        let mut counts = [(0.0, 0.0); 2];
        for value in self.since(from) {
            let count = &mut counts[(value.abs() >= at) as usize];
            *count = (count.0 + (value < 0.0) as u8 as f64, count.1 + 1.0);
        }
        counts
    }

    pub fn clear(&mut self) {
        self.items.clear();
        self.last.set(None);
    }
}
