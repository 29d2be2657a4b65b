//! The fold of the `config` stream, which accepts exactly one of several concurrent changes.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::Desired;
use crate::check::{PLATFORM, check_refs};

/// The number of remembered change ids, by which a repeated append is recognised.
const MAX_REMEMBERED: usize = 1024;

/// A change that replaces the state of one scope.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The id of the change, by which its verdict can be looked up after a lost answer.
    pub id: Uuid,
    /// The version of the scope that the change is based on; 0 for a new scope.
    pub base: u64,
    /// The operator who made it.
    pub by: String,
    /// The complete new state.
    pub desired: Desired,
}

/// A record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfigRecord {
    /// A change.
    Change(Change),
    /// All scopes after a prefix of the stream, for readers that start after its retention.
    Snapshot(Config),
}

impl ConfigRecord {
    /// Encodes the record as JSON.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("records hold no type that JSON refuses")
    }

    /// Decodes a record; none if it is not one of this version.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        serde_json::from_slice(bytes).ok()
    }
}

/// The state of a scope in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ScopeState {
    /// The version of the configuration that last changed it.
    pub version: u64,
    /// The operator who changed it.
    pub by: String,
    /// The state.
    pub desired: Desired,
}

/// Why a change was refused.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum Refusal {
    /// Another change of the scope came first.
    #[display("conflict: made from version {base}, current is {current}, by {by}")]
    Conflict {
        /// The version that the change is based on.
        base: u64,
        /// The version in force.
        current: u64,
        /// The operator who made the version in force.
        by: String,
    },
    /// The change contradicts the configuration in force.
    #[display("the change contradicts the configuration in force: {_0}")]
    Invalid(String),
}

/// The fold's decision on a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The change is accepted as this version.
    Accepted(u64),
    /// The change is refused.
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
    pub scopes: BTreeMap<String, ScopeState>,
    #[serde(rename = "seen")]
    verdicts: VecDeque<(Uuid, Verdict)>,
}

impl Config {
    /// Folds the change at `offset`; a remembered id changes nothing.
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
        if self.verdicts.len() == MAX_REMEMBERED {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((id, verdict.clone()));
        verdict
    }

    /// Skips the record at `offset`, which holds no change.
    pub fn skip(&mut self, offset: u64) {
        self.next = self.next.max(offset + 1);
    }

    /// Replaces the state by one further along the stream; false if `newer` is not.
    pub fn catch_up(&mut self, newer: Config) -> bool {
        let ahead = newer.next > self.next;
        if ahead {
            *self = newer;
        }
        ahead
    }

    /// Adopts a scope that a peer has in force if it is newer than this one's.
    pub fn adopt(&mut self, name: &str, state: ScopeState) {
        let current = self.scopes.get(name).map_or(0, |s| s.version);
        if state.version > current {
            self.version = self.version.max(state.version);
            self.scopes.insert(name.into(), state);
        }
    }

    /// The verdict on the change with this id, if it is remembered.
    pub fn verdict(&self, id: Uuid) -> Option<Verdict> {
        self.verdicts.iter().rev().find(|s| s.0 == id).map(|s| s.1.clone())
    }

    /// The desired state of the platform scope.
    pub fn platform(&self) -> Option<&Desired> {
        self.scopes.get(PLATFORM).map(|s| &s.desired)
    }

    /// The version of a scope, 0 if there is none.
    pub fn base(&self, scope: &str) -> u64 {
        self.scopes.get(scope).map_or(0, |s| s.version)
    }

    fn judge(&self, change: &Change) -> Option<Refusal> {
        let state = self.scopes.get(&change.desired.scope);
        let current = state.map_or(0, |s| s.version);
        if change.base != current {
            let by = state.map(|s| s.by.clone()).unwrap_or_default();
            return Some(Refusal::Conflict { base: change.base, current, by });
        }
        let faults = check_refs("change", "", &change.desired, self.platform());
        faults.first().map(|f| Refusal::Invalid(f.text.clone()))
    }

    fn accept(&mut self, version: u64, change: Change) -> u64 {
        self.version = version;
        let state = ScopeState { version, by: change.by, desired: change.desired };
        self.scopes.insert(state.desired.scope.clone(), state);
        version
    }
}
