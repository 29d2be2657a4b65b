//! Records that nothing here knows, each told once.

use std::collections::BTreeSet;
use std::sync::Mutex;

/// The most keys that are remembered; more are not told.
const MOST: usize = 100;

/// Keys of records that nothing here knows.
#[derive(Debug, Default)]
pub struct Strange {
    keys: Mutex<BTreeSet<String>>,
}

impl Strange {
    /// Notes a key; true if it is to be told.
    pub fn first(&self, key: &str) -> bool {
        let mut keys = self.keys.lock().expect("no holder panics");
        keys.len() < MOST && keys.insert(key.into())
    }
}
