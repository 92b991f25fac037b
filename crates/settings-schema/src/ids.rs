//! Maps the ids of a front to small indices and back.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Free indices are used again, the last one given back first.
#[derive(Debug)]
pub struct Ids<K> {
    index: HashMap<K, usize>,
    keys: Vec<Option<K>>,
    free: Vec<usize>,
}

impl<K: Hash + Eq + Clone> Default for Ids<K> {
    fn default() -> Self {
        Ids { index: HashMap::new(), keys: Vec::new(), free: Vec::new() }
    }
}

impl<K: Hash + Eq + Clone> Ids<K> {
    /// The index of `key`, a new one if it has none.
    pub fn take(&mut self, key: K) -> usize {
        if let Some(&i) = self.index.get(&key) {
            return i;
        }
        let i = self.free.pop().unwrap_or(self.keys.len());
        if i == self.keys.len() {
            self.keys.push(None);
        }
        self.keys[i] = Some(key.clone());
        self.index.insert(key, i);
        i
    }

    pub fn find<Q: Hash + Eq + ?Sized>(&self, key: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.index.get(key).copied()
    }

    pub fn key(&self, index: usize) -> Option<&K> {
        self.keys.get(index)?.as_ref()
    }

    /// How many ids are held.
    pub fn count(&self) -> usize {
        self.index.len()
    }

    /// Gives the index back; what it stood for is no longer held.
    pub fn release(&mut self, index: usize) {
        if let Some(key) = self.keys.get_mut(index).and_then(Option::take) {
            self.index.remove(&key);
            self.free.push(index);
        }
    }
}
