//! The machines as a placement sees them.

use std::fmt::Debug;

use myrtle_base::Room;

/// A task that looks for a machine.
#[derive(Debug, Clone, Copy)]
pub struct Want {
    /// The room that it takes.
    pub room: Room,
    /// The number of its kind.
    pub kind: u16,
    /// The machine that failed it last.
    pub avoid: Option<u32>,
    /// Whether it must start soon, even at a cost to others.
    pub urgent: bool,
    /// A number by which tasks of one job spread over racks.
    pub group: u32,
}

/// One machine.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    /// What it has.
    pub room: Room,
    /// What is left of it.
    pub free: Room,
    /// The number of its rack.
    pub rack: u32,
    /// The number of the service that it runs.
    pub service: u16,
    /// Thousandths of a core that each kind of task was given.
    pub kinds: Vec<(u16, u32)>,
    /// The service's measured tail against its target, some time ago; 0 if never measured.
    pub tail: f64,
    /// Whether it takes tasks.
    pub up: bool,
}

/// All machines of a cell.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The machines by number.
    pub machines: Vec<Machine>,
}

/// A way to place tasks.
pub trait Placer: Debug {
    /// The number of the machine to run on, or nothing if the task should wait.
    fn place(&mut self, fleet: &Fleet, want: &Want) -> Option<u32>;
}

impl Machine {
    /// Whether it takes the task at all.
    pub fn takes(&self, want: &Want) -> bool {
        self.up && want.room.fits(&self.free)
    }

    /// The share of its room that is taken.
    pub fn filled(&self) -> f64 {
        self.room.less(&self.free).share(&self.room)
    }

    /// The share of its processors that a task of this room takes.
    pub fn part(&self, room: &Room) -> f64 {
        f64::from(room.cpu) / f64::from(self.room.cpu.max(1))
    }

    /// Enters a task.
    pub fn add(&mut self, room: &Room, kind: u16) {
        self.free = self.free.less(room);
        match self.kinds.iter_mut().find(|k| k.0 == kind) {
            Some(known) => known.1 += room.cpu,
            None => self.kinds.push((kind, room.cpu)),
        }
    }

    /// Takes a task out again.
    pub fn remove(&mut self, room: &Room, kind: u16) {
        self.free += *room;
        if let Some(known) = self.kinds.iter_mut().find(|k| k.0 == kind) {
            known.1 = known.1.saturating_sub(room.cpu);
        }
        self.kinds.retain(|k| k.1 > 0);
    }
}
