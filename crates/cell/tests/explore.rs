//! Searches a small model for duplicate runs and overcommitted workers.
//!
//! Fault: a host without access to the log still reaches a worker.

mod common;
mod model;

use model::{Action, Bounds, Found, Without, explore, walk};
use rstest::rstest;

/// One task that may be moved to another worker.
const MOVE: Bounds =
    Bounds { tasks: 1, cut: true, messages: 1, steps: 3, records: 3, states: 500_000 };

/// The same with both hosts appending, for walks.
const RACE: Bounds = Bounds { tasks: 1, cut: false, messages: 2, steps: 8, records: 9, states: 0 };

/// The same with a second, pending task.
const PAIR: Bounds = Bounds { tasks: 2, ..RACE };

/// A host that can't append, and little time.
const CUT: Bounds = Bounds { cut: true, steps: 4, records: 4, ..RACE };

/// Two tasks, of which a worker has room for one.
const ROOM: Bounds =
    Bounds { tasks: 2, cut: false, messages: 2, steps: 0, records: 3, states: 700_000 };

/// The number of random walks.
const WALKS: usize = 40_000;
/// The number of steps in each walk.
const WALK_STEPS: usize = 120;

fn report(name: &str, found: &Found) {
    println!("{name}: {} states, complete: {}", found.states, found.complete);
    if let Some(steps) = &found.violation {
        println!("  violated after {} steps: {}", steps.len(), steps.join(", "));
    }
}

#[rstest]
#[case::one_task(MOVE)]
#[case::room_for_one(ROOM)]
fn no_state_of_a_small_case_is_a_violation(#[case] bounds: Bounds) {
    let found = explore(Without::Nothing, bounds, &[]);
    report("all checks", &found);
    assert_eq!(found.violation, None);
    assert!(found.states > 1_000);
}

#[rstest]
#[case::moved(RACE, 1)]
#[case::moved_again(RACE, 2)]
#[case::two_tasks(PAIR, 3)]
#[case::cut_off(CUT, 4)]
#[case::cut_off_again(CUT, 5)]
fn no_long_walk_finds_a_violation(#[case] bounds: Bounds, #[case] seed: u64) {
    let found = walk(Without::Nothing, bounds, seed, WALKS, WALK_STEPS);
    report("walks with all checks", &found);
    assert_eq!(found.violation, None);
}

#[rstest]
#[case::lapse_wait(Without::LapseWait, CUT)]
#[case::consents(Without::Consents, CUT)]
#[case::read_age(Without::ReadAge, CUT)]
#[case::attempt_check(Without::AttemptCheck, PAIR)]
#[case::room_check(Without::RoomCheck, PAIR)]
#[case::tombstones(Without::Tombstones, PAIR)]
fn each_check_is_needed(#[case] without: Without, #[case] bounds: Bounds) {
    let found = walk(without, bounds, 7, WALKS * 8, WALK_STEPS);
    report(&format!("without {without:?}"), &found);
    assert!(
        found.violation.is_some(),
        "no violation without {without:?} in {} states",
        found.states
    );
}

/// Worker 0 is suspected; host 0 hasn't read this and renews with a promise of host 2.
const OFFLINE_RENEWALS: [Action; 9] = [
    Action::Append(1, 0),
    Action::Read(1),
    Action::Pass,
    Action::RenewOffline(2),
    Action::Arrive(0, 0),
    Action::Pass,
    Action::RenewOffline(2),
    Action::Arrive(0, 0),
    Action::Pass,
];

#[rstest]
#[case::all_checks(Without::Nothing, false)]
#[case::one_check_removed(Without::OnePromise, true)]
fn a_host_never_makes_both_promises_within_a_lease(
    #[case] without: Without,
    #[case] violates: bool,
) {
    let bounds = Bounds { messages: 1, states: 300_000, ..CUT };
    let found = explore(without, bounds, &OFFLINE_RENEWALS);
    report(&format!("renewed offline, without {without:?}"), &found);
    assert_eq!(found.violation.is_some(), violates);
}
