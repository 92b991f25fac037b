//! Maps the ids of a protocol to small indices and back.

#[cfg(test)]
mod tests;

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Gives each id a small index for as long as it is held. The index that was released last is reused first.
#[derive(Debug)]
pub struct IdInterner<K> {
    indices: HashMap<K, usize>,
    /// The id of each index; `None` where the index is free.
    keys: Vec<Option<K>>,
    free: Vec<usize>,
}

impl<K: Hash + Eq + Clone> Default for IdInterner<K> {
    fn default() -> Self {
        IdInterner { indices: HashMap::new(), keys: Vec::new(), free: Vec::new() }
    }
}

impl<K: Hash + Eq + Clone> IdInterner<K> {
    /// The index of `key`; a new one if it is not held yet.
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

    /// The index of `key`, if it is held.
    pub fn find<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.indices.get(key).copied()
    }

    /// The id that `index` stands for, if there is one.
    pub fn key(&self, index: usize) -> Option<&K> {
        self.keys.get(index)?.as_ref()
    }

    /// How many ids are held.
    pub fn count(&self) -> usize {
        self.indices.len()
    }

    /// Frees `index`; the id that it stood for is not held any more.
    pub fn release(&mut self, index: usize) {
        if let Some(key) = self.keys.get_mut(index).and_then(Option::take) {
            self.indices.remove(&key);
            self.free.push(index);
        }
    }
}
