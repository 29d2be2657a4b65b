//! Which data centres the operator empties, as this host knows it.

use std::collections::BTreeSet;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use log::{info, warn};

/// The longest name of a data centre that is told, in characters.
const TOLD: usize = 64;

/// Which data centres are being emptied.
///
/// Asked for is in force: the record is all there is, and the next one or its removal takes its place.
#[derive(Debug, Default)]
pub struct Emptied {
    centres: Mutex<BTreeSet<String>>,
    known: AtomicBool,
}

impl Emptied {
    /// Notes that a data centre is to be emptied, or no longer; true if that is news.
    pub fn set(&self, centre: &str, emptied: bool, known: &[String]) -> bool {
        let mut centres = self.centres.lock().expect("no holder panics");
        let news = match emptied {
            true => centres.insert(centre.into()),
            false => centres.remove(centre),
        };
        if news {
            let told: String = centre.chars().take(TOLD).collect();
            info!("event=emptied data_centre={told} emptied={emptied}");
            if !known.iter().any(|k| k == centre) {
                warn!("event=emptied-unknown data_centre={told} hint=\"no host is told of it\"");
            }
        }
        news
    }

    /// Takes the place of all that was known: these data centres are being emptied and no others; true if
    /// that is news.
    pub fn replace(&self, now: BTreeSet<String>, known: &[String]) -> bool {
        let gone: Vec<String> = self.centres().difference(&now).cloned().collect();
        let mut news = false;
        for centre in gone {
            news |= self.set(&centre, false, known);
        }
        for centre in now {
            news |= self.set(&centre, true, known);
        }
        self.known.store(true, Ordering::Relaxed);
        news
    }

    /// The data centres that are being emptied.
    pub fn centres(&self) -> BTreeSet<String> {
        self.centres.lock().expect("no holder panics").clone()
    }

    /// Whether the operator's records have been read since this host began.
    pub fn known(&self) -> bool {
        self.known.load(Ordering::Relaxed)
    }
}
