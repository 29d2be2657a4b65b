//! Divides the disruption budget of a step among the cells that run its tasks.
//!
//! Fault: each cell drains its leaving workers by itself, so two cells that each used the whole
//! budget of two had four tasks unavailable. So a cell transfers a share of its budget with the
//! tasks; the sum over all cells never grows, whichever owner fails and whatever record is late.

use myrtle_job::{StepBudget, TaskId};

use crate::Job;

impl Job {
    /// The disruption budget of a step in this cell, in tasks; nothing if the step sets none.
    pub(crate) fn disruption_budget(&self, step: u16) -> Option<u16> {
        let limit = self.submission.spec.steps.get(usize::from(step))?.disruption_budget?;
        Some(self.progress.budget(step, limit))
    }

    /// The share of the budget that goes to another cell with transferred tasks.
    pub(crate) fn split_budget(&self, tasks: &[TaskId], to: u32) -> Vec<StepBudget> {
        let mut steps: Vec<u16> = tasks.iter().map(|t| t.step).collect();
        steps.sort_unstable();
        steps.dedup();
        let shares = steps.into_iter().filter_map(|step| {
            let limit = self.budget_share(step, tasks, to)?;
            (limit > 0).then_some(StepBudget { step, limit })
        });
        shares.collect()
    }

    /// The budget share of one step: in proportion to the tasks that go and those that stay, and at
    /// least one for a cell that has none yet, if one is left here.
    fn budget_share(&self, step: u16, tasks: &[TaskId], to: u32) -> Option<u16> {
        let budget = self.disruption_budget(step)?;
        let moved = tasks.iter().filter(|t| t.step == step).count() as u32;
        let staying = self.remaining(step, tasks);
        if staying == 0 {
            return Some(budget);
        }
        let share = (u32::from(budget) * moved / (moved + staying)) as u16;
        let has = self
            .progress
            .outgoing
            .iter()
            .any(|h| h.to == to && h.budgets.iter().any(|a| a.step == step && a.limit > 0));
        Some(if has || budget < 2 { share } else { share.max(1) })
    }

    /// The number of tasks of a step that stay in this cell.
    fn remaining(&self, step: u16, moved: &[TaskId]) -> u32 {
        let Some(&TaskId { job, round, .. }) = moved.first() else {
            return 0;
        };
        let all = (0..self.step(step).count).map(|index| TaskId { job, round, step, index });
        all.filter(|t| !moved.contains(t) && !self.progress.is_transferred(*t)).count() as u32
    }
}
