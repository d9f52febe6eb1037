//! A map whose entries expire some time after they were added. No I/O.
//!
//! Handles maps that are looked at for each request and hold what many requests have left there:
//! removing the expired entries costs time for these only, however many others there are.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

#[derive(Debug)]
struct Entry<V> {
    added_at: Duration,
    value: V,
}

/// Values by key that expire some time after they were added. Times don't decrease from one
/// addition to the next.
#[derive(Debug)]
pub struct ExpiringMap<V> {
    entries: HashMap<Arc<str>, Entry<V>>,
    /// All additions that haven't expired, the oldest first, also of entries that were replaced or
    /// removed since.
    additions: VecDeque<(Duration, Arc<str>)>,
}

impl<V> Default for ExpiringMap<V> {
    fn default() -> Self {
        Self { entries: HashMap::new(), additions: VecDeque::new() }
    }
}

impl<V> ExpiringMap<V> {
    /// Adds a value, and returns the one that it replaces.
    pub fn insert(&mut self, now: Duration, key: Arc<str>, value: V) -> Option<V> {
        self.additions.push_back((now, key.clone()));
        let replaced = self.entries.insert(key, Entry { added_at: now, value });
        replaced.map(|entry| entry.value)
    }

    /// Removes a value.
    pub fn remove(&mut self, key: &str) -> Option<V> {
        self.entries.remove(key).map(|entry| entry.value)
    }

    /// Lists the keys and values, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &V)> {
        self.entries.iter().map(|(key, entry)| (key, &entry.value))
    }

    /// Removes and returns the next value that was added at least `lifetime` ago; `None` if there
    /// are no more.
    pub fn pop_expired(&mut self, now: Duration, lifetime: Duration) -> Option<V> {
        loop {
            let (added_at, _) = self.additions.front()?;
            if now < *added_at + lifetime {
                return None;
            }
            let (added_at, key) = self.additions.pop_front()?;
            // An entry that was replaced expires by its latest addition.
            if self.entries.get(&key).is_some_and(|entry| entry.added_at == added_at) {
                return self.remove(&key);
            }
        }
    }
}
