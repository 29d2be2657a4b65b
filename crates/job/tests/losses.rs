//! Worker losses that are counted against tasks, and those that are taken back.

use rstest::rstest;

use myrtle_job::{JobId, Loss, Progress, TaskId};

/// Losses of runs that are not known to have begun end a job only by the bound on all losses.
#[rstest]
#[case::three_unbegun_are_not_enough(0, 3, false)]
#[case::one_begun_is_not_enough(1, 2, false)]
#[case::two_begun_are_enough(2, 1, true)]
#[case::four_unbegun_are_not_enough(0, 4, false)]
#[case::five_of_any_kind_are_enough(0, 5, true)]
fn a_task_is_given_up_by_what_has_begun(
    #[case] begun: usize,
    #[case] unbegun: usize,
    #[case] given_up: bool,
) {
    let task = TaskId { job: JobId(7), round: 0, step: 0, index: 3 };
    let mut progress = Progress::default();
    let loss = Some(Loss { age_ms: 0, early: true, isolated: true });
    for _ in 0..begun {
        progress.count_loss(task, loss, true);
    }
    for _ in 0..unbegun {
        progress.count_loss(task, loss, false);
    }
    assert_eq!(progress.given_up(task), given_up);
    assert!(progress.clear_losses(task) && !progress.clear_losses(task));
    assert_eq!((progress.begun_losses(task), progress.given_up(task)), (0, false));
}

#[rstest]
#[case::of_a_run_that_had_begun(true)]
#[case::of_one_that_may_not_have(false)]
fn a_loss_that_is_taken_back_leaves_the_others(#[case] begun: bool) {
    let task = TaskId { job: JobId(7), round: 0, step: 0, index: 3 };
    let loss = |age_ms| Some(Loss { age_ms, early: true, isolated: true });
    let mut progress = Progress::default();
    progress.count_loss(task, loss(1), true);
    let before = progress.clone();
    let counted = progress.count_loss(task, loss(2), begun);
    progress.uncount_loss(task, counted);
    assert_eq!(progress.crashes, before.crashes);
    assert_eq!(progress.begun_losses(task), 1);
}

#[test]
fn a_similar_loss_counts_for_one_once_the_other_is_taken_back() {
    let task = TaskId { job: JobId(7), round: 0, step: 0, index: 3 };
    let loss = Some(Loss { age_ms: 5_000, early: false, isolated: true });
    let mut progress = Progress::default();
    let first = progress.count_loss(task, loss, true);
    progress.count_loss(task, loss, true);
    progress.uncount_loss(task, first);
    let crashes = progress.crashes[&task];
    assert_eq!((crashes.losses, crashes.suspect_losses), (1, 1));
}
