//! What the directory says of each cell.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// Owners that are remembered of a cell: more than there are in the time of a lease.
const REMEMBERED: usize = 32;

/// What was last said of a cell.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The owner's fencing token; what is free was owned under it or an earlier one.
    pub fence: u64,
    /// The owner, by its name in the cell's group; empty if the cell is free.
    pub member: String,
}

impl Entry {
    /// Whether the cell has no owner.
    pub fn free(&self) -> bool {
        self.member.is_empty()
    }
}

/// What is known of every cell from the directory.
#[derive(Debug, Default)]
pub struct Directory {
    entries: Mutex<HashMap<u32, (Entry, u64)>>,
    ended: Mutex<HashMap<u32, BTreeMap<u64, u64>>>,
    wakes: Mutex<HashMap<u32, Arc<Notify>>>,
}

impl Directory {
    /// What is known of a cell, if anything, and how many records have told of it: one that says the same once more
    /// is news too.
    pub fn entry(&self, cell: u32) -> Option<(Entry, u64)> {
        self.entries.lock().expect("no holder panics").get(&cell).cloned()
    }

    /// From when on this host knew that the owners of a cell below some fencing tokens had ended; the latest tokens.
    pub fn ended(&self, cell: u32) -> BTreeMap<u64, u64> {
        self.ended.lock().expect("no holder panics").get(&cell).cloned().unwrap_or_default()
    }

    /// Notes that every owner of a cell below a fencing token has ended by a time.
    pub fn end(&self, cell: u32, fence: u64, at: u64) {
        let mut ended = self.ended.lock().expect("no holder panics");
        let ended = ended.entry(cell).or_default();
        ended.entry(fence).and_modify(|known| *known = at.min(*known)).or_insert(at);
        while ended.len() > REMEMBERED {
            ended.pop_first();
        }
    }

    /// Takes in what a record says; false if a later owner is known.
    ///
    /// Records are read in the order of the log, so of two with one token the later one holds.
    pub fn take(&self, cell: u32, entry: Entry) -> bool {
        let mut entries = self.entries.lock().expect("no holder panics");
        let (known, records) = entries.entry(cell).or_default();
        if entry.fence < known.fence {
            return false;
        }
        *known = entry;
        *records += 1;
        drop(entries);
        self.waker(cell).notify_one();
        true
    }

    /// What wakes the part that watches a cell.
    pub fn waker(&self, cell: u32) -> Arc<Notify> {
        self.wakes.lock().expect("no holder panics").entry(cell).or_default().clone()
    }
}
