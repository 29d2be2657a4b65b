//! Lasting tasks that find no room in their cell go on in another one.
//!
//! Symptom: tasks that last do not run for 20 s though other workers have room.
//! Sequence: workers of a data centre leave; lasting tasks on them are stopped in order to go on
//! elsewhere; the cell has no worker with room for them, other cells have.
//! Cause: only jobs of which nothing was ever started went to other cells.
//! Settled by: `event=waits ... reason="no worker with its labels has room"` of tasks whose runs had
//! just been stopped, and `event=cell ... waiting=` above 0 in one cell and 0 in all others.

use myrtle_base::Room;
use myrtle_job::{Ended, Held, How, JobId, JobSpec, Listing, Policy, StepSpec, Submission};
use myrtle_owner::{Bounds, Cell, Order};

/// The number of the other cell.
const OTHER: u32 = 1;

/// The job whose tasks fill the cell.
const JOB: JobId = JobId(7);

/// How long a task may find no worker before it should be with a cell that has room.
const SOON: u64 = 2_500;

fn listing(n: u16, draining: bool) -> Listing {
    Listing {
        service: "s".into(),
        address: ([10, 0, 0, 1], 1000 + n).into(),
        data_centre: "d".into(),
        draining,
        remaining: None,
        room: Room { cpu: 32_000, mem: 128_000, accel: 0 },
        labels: vec![],
        machine: None,
        number: 1,
    }
}

/// A job of 16 tasks that last and fill four workers of 32 cores.
fn submission() -> Submission {
    let step = StepSpec {
        count: 16,
        room: Room { cpu: 8_000, mem: 1_000, accel: 0 },
        estimate: 1_000,
        lasting: true,
        ..StepSpec::default()
    };
    let spec = JobSpec { body: "b".into(), steps: vec![step], repeat: None };
    let policy =
        Policy { queue: "q".into(), service: "s".into(), attempts: 3, ..Policy::default() };
    Submission { policy, spec, taken: 0 }
}

/// A cell of four workers, one of several cells.
fn owner(fence: u64, now: u64) -> Cell {
    let mut cell = Cell::new(Bounds::default(), fence, now);
    for n in 0..4u16 {
        cell.list(&format!("w{n}"), listing(n, false), now);
        answer(&mut cell, n, vec![], now);
    }
    cell.loaded = true;
    cell.alone = false;
    cell
}

/// A worker answers a hold; its runs are those that the owner knows of.
fn answer(cell: &mut Cell, n: u16, ended: Vec<Ended>, now: u64) {
    let held = Held { clock: now, running: vec![], ended };
    cell.held(&format!("w{n}").as_str().into(), held, 0, now, now);
}

/// Plans, writes and starts.
fn write(cell: &mut Cell, now: u64) -> Vec<Order> {
    cell.plan(now);
    let batch = cell.batch();
    let starts = cell.committed(batch, now);
    for order in &starts {
        let Order::Start { worker, task, run, .. } = order else { continue };
        let outcome = myrtle_owner::Outcome::Told(myrtle_job::Told::Done);
        cell.start_told(worker, *task, *run, outcome, now);
    }
    starts
}

/// The first worker leaves and its runs have been stopped.
fn leave(cell: &mut Cell, now: u64) {
    let runs: Vec<_> = cell.workers["w0"].flights.iter().map(|(&t, f)| (t, f.run)).collect();
    cell.list("w0", listing(0, true), now);
    // Those of one step are moved one after the other.
    runs.iter().for_each(|_| cell.evacuate(now));
    assert_eq!(cell.orders().len(), runs.len(), "all are told to stop");
    let ended = runs.iter().zip(1..).map(|(&(task, run), number)| Ended {
        number,
        task,
        run,
        how: How::Stopped,
        saved: format!("saved-{}", task.index),
    });
    let ended = ended.collect();
    answer(cell, 0, ended, now);
}

#[test]
fn tasks_whose_worker_leaves_go_to_a_cell_with_room() {
    let mut cell = owner(1, 0);
    cell.admit(JOB, submission(), 2_000, 0);
    // The last ones wait for a moment before they take room that is kept for short tasks.
    assert_eq!(write(&mut cell, 2_000).len() + write(&mut cell, 3_600).len(), 16);
    leave(&mut cell, 4_000);
    let mut delivered = 0;
    for now in (4_000..4_000 + SOON).step_by(100) {
        cell.hear(OTHER, roomy(), now);
        assert_eq!(write(&mut cell, now), vec![], "the cell is full");
        delivered += cell.deliveries().len();
    }
    assert_eq!(cell.gist().waiting, 0, "tasks wait here though another cell has room");
    assert_eq!(delivered, 1, "all go to the other cell together");
}

/// What an empty cell four times as large tells.
fn roomy() -> myrtle_job::Load {
    myrtle_job::Load { claimed: 0.0, size: 512_000.0 }
}
