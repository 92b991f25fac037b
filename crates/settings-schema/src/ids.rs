//! Maps ids of a protocol to small indices and back.

#[cfg(test)]
mod tests;

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Assigns each id a small index, which is valid until it is released. The index that was released last is
/// reused first.
#[derive(Debug)]
pub struct IdInterner<K> {
    indices: HashMap<K, usize>,
    /// The id assigned to each index; `None` if the index is free.
    keys: Vec<Option<K>>,
    free: Vec<usize>,
}

impl<K: Hash + Eq + Clone> Default for IdInterner<K> {
    fn default() -> Self {
        IdInterner { indices: HashMap::new(), keys: Vec::new(), free: Vec::new() }
    }
}

impl<K: Hash + Eq + Clone> IdInterner<K> {
    /// Returns the index of `key`; assigns one if `key` has none.
    pub fn intern(&mut self, key: K) -> usize {
        if let Some(&index) = self.indices.get(&key) {
            return index;
        }
        let index = self.free.pop().unwrap_or(self.keys.len());
        if index == self.keys.len() {
            self.keys.push(None);
        }
        self.keys[index] = Some(key.clone());
        self.indices.insert(key, index);
        index
    }

    /// Returns the index of `key`; `None` if it has none.
    pub fn find<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.indices.get(key).copied()
    }

    /// Returns the id to which `index` is assigned; `None` if the index is free.
    pub fn key(&self, index: usize) -> Option<&K> {
        self.keys.get(index)?.as_ref()
    }

    /// Returns the number of ids that have an index.
    pub fn count(&self) -> usize {
        self.indices.len()
    }

    /// Frees `index`, so that its id no longer has one. Does nothing if the index is free already.
    pub fn release(&mut self, index: usize) {
        if let Some(key) = self.keys.get_mut(index).and_then(Option::take) {
            self.indices.remove(&key);
            self.free.push(index);
        }
    }
}
