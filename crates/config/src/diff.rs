//! The difference between two desired states of a scope.

use std::collections::BTreeMap;

use derive_more::Display;
use serde::Serialize;

use crate::Desired;

/// One named thing that a change touches.
#[derive(Debug, Clone, PartialEq, Eq, Display, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Edit {
    /// It is new.
    #[display("+ {_0}")]
    Add(String),
    /// It is there in both, with other values.
    #[display("~ {_0}")]
    Change(String),
    /// It goes.
    #[display("- {_0}")]
    Remove(String),
}

/// What changes from `old` to `new`, by section and name.
pub fn diff(old: &Desired, new: &Desired) -> Vec<Edit> {
    let mut edits = Vec::new();
    section("data_centre", &old.data_centres, &new.data_centres, &mut edits);
    section("service", &old.services, &new.services, &mut edits);
    section("class", &old.classes, &new.classes, &mut edits);
    section("party", &old.parties, &new.parties, &mut edits);
    section("job", &old.jobs, &new.jobs, &mut edits);
    edits
}

fn section<T: PartialEq>(
    word: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    edits: &mut Vec<Edit>,
) {
    for (name, value) in new {
        match old.get(name) {
            None => edits.push(Edit::Add(format!("{word} {name}"))),
            Some(before) if before != value => {
                edits.push(Edit::Change(format!("{word} {name}")));
            }
            Some(_) => {}
        }
    }
    let gone = old.keys().filter(|n| !new.contains_key(*n));
    edits.extend(gone.map(|n| Edit::Remove(format!("{word} {n}"))));
}
