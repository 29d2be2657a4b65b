//! Explores small cases of the hard case: a host cut off from the log that still reaches a worker.

mod common;
mod model;

use model::{Action, Bounds, Found, Without, explore, walk};
use rstest::rstest;

/// One task that may be moved to another worker.
const MOVE: Bounds =
    Bounds { tasks: 1, cut: true, messages: 1, steps: 3, records: 3, states: 500_000 };

/// The same with both hosts appending, for walks.
const RACE: Bounds = Bounds { tasks: 1, cut: false, messages: 2, steps: 8, records: 9, states: 0 };

/// The same with a second task that waits.
const PAIR: Bounds = Bounds { tasks: 2, ..RACE };

/// A host that never appends, and little time.
const CUT: Bounds = Bounds { cut: true, steps: 4, records: 4, ..RACE };

/// Two tasks of which a worker holds one.
const ROOM: Bounds =
    Bounds { tasks: 2, cut: false, messages: 2, steps: 0, records: 3, states: 700_000 };

/// Walks, and steps in each.
const WALKS: usize = 40_000;
const LENGTH: usize = 120;

fn show(name: &str, found: &Found) {
    println!("{name}: {} states, all of them: {}", found.states, found.all);
    if let Some(steps) = &found.broken {
        println!("  broken by {} steps: {}", steps.len(), steps.join(", "));
    }
}

#[rstest]
#[case::a_task_that_is_moved(MOVE)]
#[case::the_last_room(ROOM)]
fn no_promise_is_broken_in_any_small_case(#[case] bounds: Bounds) {
    let found = explore(Without::Nothing, bounds, &[]);
    show("everything in place", &found);
    assert_eq!(found.broken, None);
    assert!(found.states > 1_000);
}

#[rstest]
#[case::moved(RACE, 1)]
#[case::moved_again(RACE, 2)]
#[case::two_tasks(PAIR, 3)]
#[case::cut_off(CUT, 4)]
#[case::cut_off_again(CUT, 5)]
fn no_promise_is_broken_on_long_walks(#[case] bounds: Bounds, #[case] seed: u64) {
    let found = walk(Without::Nothing, bounds, seed, WALKS, LENGTH);
    show("walks with everything in place", &found);
    assert_eq!(found.broken, None);
}

#[rstest]
#[case::lapse_wait(Without::LapseWait, CUT)]
#[case::consents(Without::Consents, CUT)]
#[case::read_age(Without::ReadAge, CUT)]
#[case::attempt_check(Without::AttemptCheck, PAIR)]
#[case::room_check(Without::RoomCheck, PAIR)]
#[case::tombstones(Without::Tombstones, PAIR)]
fn without_a_check_a_promise_breaks(#[case] without: Without, #[case] bounds: Bounds) {
    let found = walk(without, bounds, 7, WALKS * 8, LENGTH);
    show(&format!("without {without:?}"), &found);
    assert!(found.broken.is_some(), "{without:?} does not matter in {} states", found.states);
}

/// Worker 0 is suspected; host 0, which does not know, renews on the word of host 2.
const DARK: [Action; 9] = [
    Action::Append(1, 0),
    Action::Read(1),
    Action::Pass,
    Action::Dark(2),
    Action::Arrive(0, 0),
    Action::Pass,
    Action::Dark(2),
    Action::Arrive(0, 0),
    Action::Pass,
];

#[rstest]
#[case::in_place(Without::Nothing, false)]
#[case::taken_out(Without::OnePromise, true)]
fn a_host_gives_one_promise_within_a_lease(#[case] without: Without, #[case] breaks: bool) {
    let bounds = Bounds { messages: 1, states: 300_000, ..CUT };
    let found = explore(without, bounds, &DARK);
    show(&format!("renewed in the dark, without {without:?}"), &found);
    assert_eq!(found.broken.is_some(), breaks);
}
