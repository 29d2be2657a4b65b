//! The fold of the model's log, with one check removed or none.

use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;

use myrtle_base::{Millis, Room, Stamp};
use myrtle_cell::{Batch, Cell, Op};

use super::{INITIAL_RECORDS, Without};

/// The most cached folds.
const MAX_FOLDS: usize = 20_000;

thread_local! {
    /// The cached folds, by the hash of the log.
    static FOLDS: RefCell<HashMap<u64, Rc<Cell>>> = RefCell::default();
}

/// The fold of the whole log, starting from the fold of a prefix.
pub fn folded(prefix: &Rc<Cell>, log: &[(Millis, Op)], without: Without) -> Rc<Cell> {
    let mut hasher = DefaultHasher::new();
    (prefix.tasks.len(), without as u8, log).hash(&mut hasher);
    let key = hasher.finish();
    if let Some(cell) = FOLDS.with_borrow(|f| f.get(&key).cloned()) {
        return cell;
    }
    let mut cell = Cell::clone(prefix);
    let from = (prefix.next - INITIAL_RECORDS) as usize;
    for (n, (time, op)) in log.iter().enumerate().skip(from) {
        fold(&mut cell, INITIAL_RECORDS + n as u64, *time, op, without);
    }
    let cell = Rc::new(cell);
    FOLDS.with_borrow_mut(|folds| {
        if folds.len() >= MAX_FOLDS {
            folds.clear();
        }
        folds.insert(key, cell.clone());
    });
    cell
}

/// Applies a command with one check removed.
pub fn fold(cell: &mut Cell, offset: u64, time: Millis, op: &Op, without: Without) {
    let mut op = op.clone();
    let mut time = time;
    let rooms: Vec<Room> = cell.workers.iter().map(|w| w.room).collect();
    match (&mut op, without) {
        (Op::Claim { task, attempt, .. }, Without::AttemptCheck) => {
            // The attempt becomes the next one of the task.
            if let Some(current) = cell.tasks.get(task) {
                *attempt = current.attempt + 1;
            }
        }
        (Op::End { task, attempt, .. }, Without::AttemptCheck) => {
            if let Some(current) = cell.tasks.get(task) {
                *attempt = current.attempt;
            }
        }
        (Op::Claim { .. }, Without::RoomCheck) => {
            cell.workers.iter_mut().for_each(|w| w.room = Room::new(1e6, u32::MAX, 9));
        }
        (Op::Lapse { .. }, Without::LapseWait) => time += Millis(60_000),
        _ => {}
    }
    let expires = Millis(u64::MAX);
    let ops = vec![op];
    let batch = Batch { writer: offset, seq: 1, expires, stamp: Stamp(0), ops };
    cell.fold(offset, time, &batch);
    if without == Without::RoomCheck {
        cell.workers.iter_mut().zip(rooms).for_each(|(w, room)| w.room = room);
    }
}
