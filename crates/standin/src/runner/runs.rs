//! The runs of a stand-in worker, from their start to their end.

use std::time::Instant;

use tokio::time::sleep;

use super::{Run, RunRecord, State, TICK, WorkerStandin, share, since_1970};

impl WorkerStandin {
    /// Advances the work of its runs and ends those that are over, for ever.
    pub(super) async fn tick(&self) {
        let mut last = Instant::now();
        loop {
            sleep(TICK).await;
            let passed = last.elapsed();
            last += passed;
            if self.is_crashing() {
                self.crash().await;
            }
            let mut state = self.state.lock().expect("no holder panics");
            let lapsed = self.clock() > state.until;
            share::advance(&mut state.runs, passed, since_1970());
            let over: Vec<String> = state
                .runs
                .iter()
                .filter(|(_, r)| lapsed || r.is_over(self.work))
                .map(|(task, _)| task.clone())
                .collect();
            for task in over {
                let how = if lapsed { "lapsed" } else { self.outcome(&state, &task) };
                self.end(&mut state, &task, how);
            }
        }
    }

    /// Drops its state; its runs are lost.
    pub(super) fn drop_state(&self) {
        let lost = std::mem::take(&mut *self.state.lock().expect("no holder panics")).runs;
        for (task, run) in lost {
            self.book.close(&self.name, &task, run.number, "lost");
        }
    }

    /// How a run that is over ends.
    fn outcome(&self, state: &State, task: &str) -> &'static str {
        let plan = state.runs.get(task).and_then(|run| run.plan.as_ref());
        let fails = plan.zip(self.plans.get()).is_some_and(|(plan, plans)| plans.fails(task, plan));
        if fails { "failed" } else { "done" }
    }

    /// Begins a run.
    pub(super) fn begin(&self, state: &mut State, task: String, run: Run) {
        self.book.open(RunRecord {
            task: task.clone(),
            run: run.number,
            worker: self.name.clone(),
            started: run.from,
            ended: None,
        });
        state.runs.insert(task, run);
    }

    /// Ends a run.
    pub(super) fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.runs.remove(task) else {
            return;
        };
        state.end_count += 1;
        state.ends.push((state.end_count, task.into(), run.number, how, run.checkpoint()));
        let closed = state.closed.entry(task.into()).or_default();
        *closed = (*closed).max(run.number);
        self.book.close(&self.name, task, run.number, how);
        self.ended.notify_waiters();
    }
}
