//! Keys of operator records of unknown kinds, each logged once.

use std::collections::BTreeSet;
use std::sync::Mutex;

/// The largest number of keys that are remembered; further ones are not logged.
const MAX_KEYS: usize = 100;

/// The keys of records of unknown kinds.
#[derive(Debug, Default)]
pub struct UnknownKeys {
    keys: Mutex<BTreeSet<String>>,
}

impl UnknownKeys {
    /// Inserts a key; true if it should be logged.
    pub fn insert(&self, key: &str) -> bool {
        let mut keys = self.keys.lock().expect("no holder panics");
        keys.len() < MAX_KEYS && keys.insert(key.into())
    }
}
