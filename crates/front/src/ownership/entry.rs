//! The directory's records, and the latest of them for each cell.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

/// The number of tokens remembered per cell; a cell has fewer owners than that within the term of a lease.
const MAX_ENDED: usize = 32;

/// The owner of a cell, as announced.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The owner's fencing token; the last owner's or an earlier one's if the cell is free.
    pub fence: u64,
    /// The owner's member name in the cell's group; empty if the cell is free.
    pub member: String,
}

impl Entry {
    /// Whether the cell has no owner.
    pub fn free(&self) -> bool {
        self.member.is_empty()
    }
}

/// The latest announcements of all cells.
#[derive(Debug, Default)]
pub struct Directory {
    entries: Mutex<HashMap<u32, (Entry, u64)>>,
    ended: Mutex<HashMap<u32, BTreeMap<u64, u64>>>,
    wakers: Mutex<HashMap<u32, Arc<Notify>>>,
}

impl Directory {
    /// The latest entry of a cell and the number of records applied for it; a repeated announcement counts as well.
    pub fn entry(&self, cell: u32) -> Option<(Entry, u64)> {
        self.entries.lock().expect("no holder panics").get(&cell).cloned()
    }

    /// By fencing token, the time by which all owners of a cell below it had ended; only the latest tokens.
    pub fn ended(&self, cell: u32) -> BTreeMap<u64, u64> {
        self.ended.lock().expect("no holder panics").get(&cell).cloned().unwrap_or_default()
    }

    /// Records that every owner of a cell below a fencing token has ended by a time.
    pub fn note_end(&self, cell: u32, fence: u64, at: u64) {
        let mut ended = self.ended.lock().expect("no holder panics");
        let ended = ended.entry(cell).or_default();
        ended.entry(fence).and_modify(|old| *old = at.min(*old)).or_insert(at);
        while ended.len() > MAX_ENDED {
            ended.pop_first();
        }
    }

    /// Applies an entry; false if one with a higher token was applied before.
    ///
    /// Records are applied in log order, so the later of two entries with the same token wins.
    pub fn apply(&self, cell: u32, entry: Entry) -> bool {
        let mut entries = self.entries.lock().expect("no holder panics");
        let (old, records) = entries.entry(cell).or_default();
        if entry.fence < old.fence {
            return false;
        }
        *old = entry;
        *records += 1;
        drop(entries);
        self.waker(cell).notify_one();
        true
    }

    /// Wakes the task that monitors a cell.
    pub fn waker(&self, cell: u32) -> Arc<Notify> {
        self.wakers.lock().expect("no holder panics").entry(cell).or_default().clone()
    }
}
