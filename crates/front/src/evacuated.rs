//! The data centres from which the operator removes work, as read from the operator's records.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use log::{info, warn};

/// The longest name of a data centre in a log line, in characters.
const MAX_LOGGED: usize = 64;

/// The evacuated data centres.
///
/// A record is in force from when it is read until another one replaces or removes it.
#[derive(Debug, Default)]
pub struct Evacuated {
    centres: Mutex<BTreeSet<String>>,
    loaded: AtomicBool,
}

impl Evacuated {
    /// Sets whether a data centre is evacuated; true if that changed.
    pub fn set(&self, centre: &str, evacuated: bool, known: &[String]) -> bool {
        let mut centres = self.centres.lock().expect("no holder panics");
        let changed = match evacuated {
            true => centres.insert(centre.into()),
            false => centres.remove(centre),
        };
        if changed {
            let shown: String = centre.chars().take(MAX_LOGGED).collect();
            info!("event=emptied data_centre={shown} emptied={evacuated}");
            if !known.iter().any(|k| k == centre) {
                warn!(
                    "event=emptied-unknown data_centre={shown} hint=\"not listed in data_centres\""
                );
            }
        }
        changed
    }

    /// Replaces the set of evacuated data centres; true if it changed.
    pub fn replace(&self, now: BTreeSet<String>, known: &[String]) -> bool {
        let removed: Vec<String> = self.centres().difference(&now).cloned().collect();
        let mut changed = false;
        for centre in removed {
            changed |= self.set(&centre, false, known);
        }
        for centre in now {
            changed |= self.set(&centre, true, known);
        }
        self.loaded.store(true, Ordering::Relaxed);
        changed
    }

    /// The evacuated data centres.
    pub fn centres(&self) -> BTreeSet<String> {
        self.centres.lock().expect("no holder panics").clone()
    }

    /// Whether the operator's records have been read since the start.
    pub fn loaded(&self) -> bool {
        self.loaded.load(Ordering::Relaxed)
    }
}
