//! How fast workers run tasks, against the estimates of the tasks' queues.

/// The factor by which a slow worker is slower than others: less than the usual slack of an
/// objective is not worth avoiding a worker for.
const SLOW_FACTOR: f64 = 3.0;

/// The number of samples of a queue before they say anything about a worker.
const MIN_SAMPLES: u32 = 20;

/// The weight of a sample once there are many; estimates of a queue change slowly.
const SAMPLE_WEIGHT: f64 = 0.02;

/// The least variance of logarithms, so that exact estimates don't make small delays into evidence.
const MIN_VARIANCE: f64 = 0.1;

/// The upper bound of one sample's log-likelihood ratio: a single run may be slow by its own fault.
const MAX_RATIO: f64 = 2.0;

/// The lower bound of one sample's log-likelihood ratio.
const MIN_RATIO: f64 = -1.0;

/// The distribution of run times against estimates in one queue, by their logarithms.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Speeds {
    samples: u32,
    mean: f64,
    variance: f64,
}

impl Speeds {
    /// Adds a run that takes `took` in place of `estimate`, both in milliseconds; returns the
    /// log-likelihood ratio of its worker being slow.
    pub(crate) fn add(&mut self, took: f64, estimate: f64) -> f64 {
        let sample = (took.max(1.0) / estimate.max(1.0)).ln();
        let ratio = self.ratio(sample);
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let deviation = sample - self.mean;
        self.mean += weight * deviation;
        self.variance += weight * (deviation * deviation - self.variance);
        ratio
    }

    fn ratio(&self, sample: f64) -> f64 {
        if self.samples < MIN_SAMPLES {
            return 0.0;
        }
        let shift = SLOW_FACTOR.ln();
        let deviation = sample - self.mean;
        let ratio = (shift * deviation - shift * shift / 2.0) / self.variance.max(MIN_VARIANCE);
        ratio.clamp(MIN_RATIO, MAX_RATIO)
    }
}
