//! Models of upstreams and callers in the routing experiments.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Slots of an upstream.
pub const SLOTS: u32 = 8;

/// The mean service time of an upstream without interference.
pub const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Factor on the service time of an upstream with interfering neighbours.
const SLOWDOWN: f64 = 3.0;

/// How long neighbours stay beside the same upstreams.
const NEIGHBOUR_PERIOD: Duration = Duration::from_secs(10);

/// The share of the mean service time that is the same for every request.
const FIXED_SHARE: f64 = 0.3;

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Name in the report.
    pub name: &'static str,
    /// The price of a request.
    pub price: u32,
    /// The share of all requests.
    pub share: f64,
    /// Time from arrival to deadline.
    pub deadline: Duration,
}

/// The classes by descending price.
pub const CLASSES: [Class; 3] = [
    Class { name: "dear", price: 9, share: 0.2, deadline: Duration::from_millis(500) },
    Class { name: "middle", price: 4, share: 0.5, deadline: Duration::from_millis(1000) },
    Class { name: "cheap", price: 1, share: 0.3, deadline: Duration::from_millis(2000) },
];

/// The fault or interference in an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noise {
    /// None.
    Quiet,
    /// Neighbours slow a third of the upstreams, changing to another third every 10 s.
    Neighbours,
    /// One upstream fails each request within 1 ms, another never answers.
    Broken,
    /// Ten times the load for 2 s.
    Burst,
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Scene {
    /// Name in the report.
    pub name: String,
    /// The fault or interference.
    pub noise: Noise,
    /// Offered load over the capacity of the slots under this noise.
    pub load: f64,
    /// Number of upstreams.
    pub upstreams: usize,
    /// How long requests arrive.
    pub length: Duration,
}

/// Returns all experiments.
pub fn scenes(upstreams: usize, seconds: u64) -> Vec<Scene> {
    let plans = [
        (Noise::Quiet, 0.5),
        (Noise::Quiet, 0.8),
        (Noise::Neighbours, 0.5),
        (Noise::Neighbours, 0.8),
        (Noise::Neighbours, 0.95),
        (Noise::Neighbours, 1.2),
        (Noise::Broken, 0.8),
        (Noise::Burst, 0.5),
    ];
    let length = Duration::from_secs(seconds);
    plans
        .map(|(noise, load)| Scene {
            name: format!("{noise:?} {:.0}%", load * 100.0).to_lowercase(),
            noise,
            load,
            upstreams,
            length,
        })
        .into()
}

impl Scene {
    /// Returns the requests per second that the slots can serve.
    pub fn capacity(&self) -> f64 {
        let full = self.upstreams as f64 * f64::from(SLOTS) / SERVICE_TIME.as_secs_f64();
        match self.noise {
            Noise::Neighbours => full * (2.0 + 1.0 / SLOWDOWN) / 3.0,
            Noise::Broken => full * (self.upstreams as f64 - 2.0) / self.upstreams as f64,
            Noise::Quiet | Noise::Burst => full,
        }
    }

    /// Draws the time from `now` to the next arrival.
    pub fn gap(&self, now: Duration, rng: &mut ChaCha8Rng) -> Duration {
        let burst = self.noise == Noise::Burst && (10..12).contains(&now.as_secs());
        let rate = self.capacity() * self.load * if burst { 10.0 } else { 1.0 };
        Duration::from_secs_f64(exponential(rng) / rate)
    }

    /// Draws the service time of a request, `None` if it is never answered, and whether it fails.
    pub fn serve(
        &self,
        upstream: u32,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Option<Duration>, bool) {
        let time =
            SERVICE_TIME.as_secs_f64() * (FIXED_SHARE + (1.0 - FIXED_SHARE) * exponential(rng));
        let time = Duration::from_secs_f64(time);
        match (self.noise, upstream) {
            (Noise::Broken, 0) => (Some(Duration::from_millis(1)), true),
            (Noise::Broken, 1) => (None, false),
            (Noise::Neighbours, _) if self.slowed(upstream, now) => {
                (Some(time.mul_f64(SLOWDOWN)), false)
            }
            _ => (Some(time), false),
        }
    }

    fn slowed(&self, upstream: u32, now: Duration) -> bool {
        let phase = now.as_secs() / NEIGHBOUR_PERIOD.as_secs();
        (u64::from(upstream) + phase).is_multiple_of(3)
    }
}

/// Samples the exponential distribution with mean 1.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
