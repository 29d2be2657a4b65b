//! The fold of the `config` stream: of racing changes exactly one wins.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::Desired;
use crate::check::{PLATFORM, check_refs};

/// Ids of changes that are remembered, so that a repeated append does nothing.
const REMEMBERED: usize = 1024;

/// The whole new state of one scope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Names this change, so that its answer can be found when it was lost.
    pub id: Uuid,
    /// The version of the scope that it was made from; 0 for a new scope.
    pub base: u64,
    /// The operator who made it.
    pub by: String,
    /// The whole new state.
    pub desired: Desired,
}

/// A record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfigRecord {
    /// A change.
    Change(Change),
    /// All scopes after a prefix of the stream, for those who come after its retention.
    Snapshot(Config),
}

impl ConfigRecord {
    /// The bytes that go into the log.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("records hold no type that JSON refuses")
    }

    /// Reads a record, or nothing if it is not one of this version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// One scope in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scoped {
    /// The version of the configuration that last changed it.
    pub version: u64,
    /// The operator who changed it.
    pub by: String,
    /// Its state.
    pub desired: Desired,
}

/// Why a change was turned down.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// Another operator's change came first.
    #[display("conflict: made from version {base}, current is {current}, by {by}")]
    Conflict {
        /// The version it was made from.
        base: u64,
        /// The version in force.
        current: u64,
        /// Who made the version in force.
        by: String,
    },
    /// It contradicts what is in force.
    #[display("the change contradicts the configuration in force: {_0}")]
    Invalid(String),
}

/// What the fold said to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// It is accepted as this version.
    Accepted(u64),
    /// It is turned down.
    Refused(Refusal),
}

/// The configuration after a prefix of the stream.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// The offset of the next record to fold.
    pub next: u64,
    /// The version in force, 0 before the first change.
    pub version: u64,
    /// The scopes by name.
    pub scopes: BTreeMap<String, Scoped>,
    seen: VecDeque<(Uuid, Verdict)>,
}

impl Config {
    /// Folds the record at `offset`; an id seen before changes nothing.
    pub fn fold(&mut self, offset: u64, change: Change) -> Verdict {
        if offset < self.next {
            return self.verdict(change.id).unwrap_or(Verdict::Accepted(self.version));
        }
        self.next = offset + 1;
        if let Some(verdict) = self.verdict(change.id) {
            return verdict;
        }
        let id = change.id;
        let verdict = match self.judge(&change) {
            Some(refusal) => Verdict::Refused(refusal),
            None => Verdict::Accepted(self.accept(offset + 1, change)),
        };
        if self.seen.len() == REMEMBERED {
            self.seen.pop_front();
        }
        self.seen.push_back((id, verdict.clone()));
        verdict
    }

    /// Passes over a record that changes nothing.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Takes in a state that is further along the stream; an older one changes nothing.
    pub fn catch_up(&mut self, newer: Config) -> bool {
        let takes = newer.next > self.next;
        if takes {
            *self = newer;
        }
        takes
    }

    /// Takes in a scope that a peer has in force, unless it is older than what is known.
    pub fn adopt(&mut self, name: &str, scoped: Scoped) {
        let known = self.scopes.get(name).map_or(0, |s| s.version);
        if scoped.version > known {
            self.version = self.version.max(scoped.version);
            self.scopes.insert(name.into(), scoped);
        }
    }

    /// What was said to the change with this id, if it is remembered.
    pub fn verdict(&self, id: Uuid) -> Option<Verdict> {
        self.seen.iter().rev().find(|s| s.0 == id).map(|s| s.1.clone())
    }

    /// The platform scope.
    pub fn platform(&self) -> Option<&Desired> {
        self.scopes.get(PLATFORM).map(|s| &s.desired)
    }

    /// The version of a scope, 0 if there is none.
    pub fn base(&self, scope: &str) -> u64 {
        self.scopes.get(scope).map_or(0, |s| s.version)
    }

    fn judge(&self, change: &Change) -> Option<Refusal> {
        let known = self.scopes.get(&change.desired.scope);
        let current = known.map_or(0, |s| s.version);
        if change.base != current {
            let by = known.map(|s| s.by.clone()).unwrap_or_default();
            return Some(Refusal::Conflict { base: change.base, current, by });
        }
        let faults = check_refs("change", "", &change.desired, self.platform());
        faults.first().map(|f| Refusal::Invalid(f.text.clone()))
    }

    fn accept(&mut self, version: u64, change: Change) -> u64 {
        self.version = version;
        let scoped = Scoped { version, by: change.by, desired: change.desired };
        self.scopes.insert(scoped.desired.scope.clone(), scoped);
        version
    }
}
