//! The mean work of the jobs of each queue.

use std::collections::HashMap;

/// The recorded work of jobs, by queue.
#[derive(Debug, Default, Clone)]
pub(crate) struct MeanWork {
    queues: HashMap<String, Sum>,
}

/// A sum of work and its number of jobs.
#[derive(Debug, Default, Clone, Copy)]
struct Sum {
    work: f64,
    jobs: f64,
}

impl MeanWork {
    /// Records a job of a queue.
    pub(crate) fn record(&mut self, queue: &str, work: f64) {
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.into(), Sum::default());
        }
        if let Some(sum) = self.queues.get_mut(queue) {
            sum.work += work;
            sum.jobs += 1.0;
        }
    }

    /// The mean work of a queue's jobs, in thousandths of a core for a millisecond; 0 if none was
    /// recorded.
    pub(crate) fn mean(&self, queue: &str) -> f64 {
        self.queues.get(queue).map_or(0.0, |sum| sum.work / sum.jobs)
    }
}
