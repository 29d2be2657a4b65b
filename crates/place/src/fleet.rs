//! The machines as a placement policy sees them.

use std::fmt::Debug;

use myrtle_base::Room;

/// A task that needs a machine.
#[derive(Debug, Clone, Copy)]
pub struct TaskRequest {
    /// The room that it takes.
    pub room: Room,
    /// The number of its kind.
    pub kind: u16,
    /// The machine on which it failed last.
    pub avoid: Option<u32>,
    /// Whether it must start soon, even if it slows others.
    pub urgent: bool,
    /// A number shared by the tasks of a job, which are spread over racks.
    pub group: u32,
}

/// One machine.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    /// Its total room.
    pub room: Room,
    /// Its free room.
    pub free: Room,
    /// The number of its rack.
    pub rack: u32,
    /// The number of the service that it runs.
    pub service: u16,
    /// The processors given to each kind of task, in thousandths of a core.
    pub kinds: Vec<(u16, u32)>,
    /// The service's last measured ratio of tail latency to target; 0 if never measured.
    pub tail_ratio: f64,
    /// Whether it accepts tasks.
    pub accepting: bool,
}

/// All machines of a cell.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// The machines by number.
    pub machines: Vec<Machine>,
}

/// A placement policy.
pub trait Placer: Debug {
    /// The number of the machine to run on, or nothing if the task should wait.
    fn place(&mut self, fleet: &Fleet, request: &TaskRequest) -> Option<u32>;
}

impl Machine {
    /// Whether it accepts tasks and has room for this one.
    pub fn accepts(&self, request: &TaskRequest) -> bool {
        self.accepting && request.room.fits(&self.free)
    }

    /// The share of its room that is taken.
    pub fn used_share(&self) -> f64 {
        self.room.minus(&self.free).share(&self.room)
    }

    /// The share of its processors that a task of this room takes.
    pub fn cpu_share(&self, room: &Room) -> f64 {
        f64::from(room.cpu) / f64::from(self.room.cpu.max(1))
    }

    /// Adds a task.
    pub fn add(&mut self, room: &Room, kind: u16) {
        self.free = self.free.minus(room);
        match self.kinds.iter_mut().find(|k| k.0 == kind) {
            Some(known) => known.1 += room.cpu,
            None => self.kinds.push((kind, room.cpu)),
        }
    }

    /// Removes a task.
    pub fn remove(&mut self, room: &Room, kind: u16) {
        self.free += *room;
        if let Some(known) = self.kinds.iter_mut().find(|k| k.0 == kind) {
            known.1 = known.1.saturating_sub(room.cpu);
        }
        self.kinds.retain(|k| k.1 > 0);
    }
}
