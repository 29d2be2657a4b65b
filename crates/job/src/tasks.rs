//! The tasks of a step, of which equal neighbours are stored once.
//!
//! A job of a few bytes may have thousands of tasks; those that have not begun are all equal, and so are most of those
//! that are done.

use std::fmt;
use std::iter::repeat_n;
use std::ops::{Index, IndexMut, Range};

use serde::de::{SeqAccess, Visitor};
use serde::ser::SerializeSeq;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::Task;

/// The most groups of tasks that are not compared with their neighbours; steps of usual sizes have fewer.
const FEW_GROUPS: usize = 256;

/// The tasks of a step by index.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    groups: Vec<Group>,
}

/// Neighbours that are equal.
#[derive(Debug, Clone)]
struct Group {
    /// The index after the last one.
    end: usize,
    task: Task,
}

impl Tasks {
    /// Tasks none of which has started.
    pub fn fresh(count: u16) -> Self {
        let mut tasks = Self::default();
        tasks.extend(count.into(), Task::default());
        tasks
    }

    /// The number of tasks.
    pub fn len(&self) -> usize {
        self.groups.last().map_or(0, |group| group.end)
    }

    /// Whether there is no task.
    pub fn is_empty(&self) -> bool {
        self.groups.is_empty()
    }

    /// The task with an index.
    pub fn get(&self, index: usize) -> Option<&Task> {
        self.groups.get(self.group(index)).map(|group| &group.task)
    }

    /// The task with an index, mutable.
    pub fn get_mut(&mut self, index: usize) -> Option<&mut Task> {
        let at = self.group(index);
        self.groups.get(at)?;
        let at = self.isolate(at, index);
        Some(&mut self.groups[at].task)
    }

    /// The tasks in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = &Task> {
        self.groups().flat_map(|(indices, task)| repeat_n(task, indices.len()))
    }

    /// The tasks in the order of their indices, mutable.
    pub fn iter_mut(&mut self) -> IterMut<'_> {
        self.into_iter()
    }

    /// Groups of equal neighbours, with their indices.
    pub fn groups(&self) -> impl Iterator<Item = (Range<usize>, &Task)> {
        self.groups.iter().scan(0, |begin, group| {
            let indices = *begin..group.end;
            *begin = group.end;
            Some((indices, &group.task))
        })
    }

    /// Joins neighbours that have become equal, where there are many groups.
    pub fn compact(&mut self) {
        if self.groups.len() <= FEW_GROUPS {
            return;
        }
        self.groups.dedup_by(|group, before| {
            let equal = group.task == before.task;
            if equal {
                before.end = group.end;
            }
            equal
        });
    }

    /// The position of the group with an index; the number of groups if there is none.
    fn group(&self, index: usize) -> usize {
        if self.groups.len() == self.len() {
            return index.min(self.groups.len());
        }
        self.groups.partition_point(|group| group.end <= index)
    }

    /// Gives a task of the group at `at` a group of its own; returns its position.
    fn isolate(&mut self, at: usize, index: usize) -> usize {
        let begin = at.checked_sub(1).map_or(0, |before| self.groups[before].end);
        let Group { end, task } = self.groups[at].clone();
        if end - begin == 1 {
            return at;
        }
        let ends = [index, index + 1, end];
        let parts = ends.into_iter().scan(begin, |begin, end| {
            let length = end - std::mem::replace(begin, end);
            Some((length, Group { end, task: task.clone() }))
        });
        let parts: Vec<Group> = parts.filter(|(length, _)| *length > 0).map(|(_, g)| g).collect();
        self.groups.splice(at..=at, parts);
        if index > begin { at + 1 } else { at }
    }

    /// Gives each task a group of its own.
    fn separate(&mut self) {
        if self.groups.len() < self.len() {
            let tasks = self.iter().cloned().zip(1..);
            self.groups = tasks.map(|(task, end)| Group { end, task }).collect();
        }
    }

    /// Adds equal tasks at the end.
    fn extend(&mut self, count: usize, task: Task) {
        let end = self.len() + count;
        match self.groups.last_mut() {
            _ if count == 0 => {}
            Some(last) if last.task == task => last.end = end,
            _ => self.groups.push(Group { end, task }),
        }
    }
}

impl PartialEq for Tasks {
    fn eq(&self, other: &Self) -> bool {
        self.len() == other.len() && self.iter().eq(other.iter())
    }
}

impl Eq for Tasks {}

impl Index<usize> for Tasks {
    type Output = Task;

    fn index(&self, index: usize) -> &Task {
        self.get(index).expect("the step has this task")
    }
}

impl IndexMut<usize> for Tasks {
    fn index_mut(&mut self, index: usize) -> &mut Task {
        self.get_mut(index).expect("the step has this task")
    }
}

impl<'a> IntoIterator for &'a mut Tasks {
    type Item = &'a mut Task;
    type IntoIter = IterMut<'a>;

    fn into_iter(self) -> IterMut<'a> {
        self.separate();
        IterMut(self.groups.iter_mut())
    }
}

/// The tasks of a step, mutable.
#[derive(Debug)]
pub struct IterMut<'a>(std::slice::IterMut<'a, Group>);

impl<'a> Iterator for IterMut<'a> {
    type Item = &'a mut Task;

    fn next(&mut self) -> Option<&'a mut Task> {
        self.0.next().map(|group| &mut group.task)
    }
}

impl Serialize for Tasks {
    /// Encodes a list of all tasks, as earlier builds read it.
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut list = serializer.serialize_seq(Some(self.len()))?;
        self.iter().try_for_each(|task| list.serialize_element(task))?;
        list.end()
    }
}

impl<'de> Deserialize<'de> for Tasks {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(List)
    }
}

/// Reads a list of tasks.
struct List;

impl<'de> Visitor<'de> for List {
    type Value = Tasks;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of tasks")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Tasks, A::Error> {
        let mut tasks = Tasks::default();
        while let Some(task) = list.next_element()? {
            tasks.extend(1, task);
        }
        Ok(tasks)
    }
}
