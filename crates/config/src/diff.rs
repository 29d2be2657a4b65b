//! The difference between two desired states of a scope.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Serialize;

use crate::Desired;

/// A change of one named entry.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Edit {
    /// The entry is added.
    #[display("+ {_0}")]
    Add(String),
    /// The entry's values change.
    #[display("~ {_0}")]
    Change(String),
    /// The entry is removed.
    #[display("- {_0}")]
    Remove(String),
}

/// The changes from `old` to `new`, by section and name.
pub fn diff(old: &Desired, new: &Desired) -> Vec<Edit> {
    let mut edits = Vec::new();
    section("data_centre", &old.data_centres, &new.data_centres, &mut edits);
    section("service", &old.services, &new.services, &mut edits);
    section("class", &old.classes, &new.classes, &mut edits);
    section("party", &old.customers, &new.customers, &mut edits);
    section("job", &old.jobs, &new.jobs, &mut edits);
    edits
}

fn section<T: PartialEq>(
    kind: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    edits: &mut Vec<Edit>,
) {
    for (name, value) in new {
        match old.get(name) {
            None => edits.push(Edit::Add(format!("{kind} {name}"))),
            Some(previous) if previous != value => {
                edits.push(Edit::Change(format!("{kind} {name}")));
            }
            Some(_) => {}
        }
    }
    let removed = old.keys().filter(|n| !new.contains_key(*n));
    edits.extend(removed.map(|n| Edit::Remove(format!("{kind} {n}"))));
}
