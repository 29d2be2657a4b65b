//! What upstreams and callers do in an experiment.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Slots of an upstream.
pub const SLOTS: u32 = 8;

/// The mean time of a request in a slot of a quiet upstream.
pub const SERVICE: Duration = Duration::from_millis(20);

/// How much slower a disturbed upstream is.
const SLOWER: f64 = 3.0;

/// How long neighbours stay.
const STAY: Duration = Duration::from_secs(10);

/// The part of the service time that every request takes.
const FIXED: f64 = 0.3;

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its price.
    pub price: u32,
    /// Its part of the requests.
    pub part: f64,
    /// Its deadline.
    pub deadline: Duration,
}

/// The classes, the dearest first.
pub const CLASSES: [Class; 3] = [
    Class { name: "dear", price: 9, part: 0.2, deadline: Duration::from_millis(500) },
    Class { name: "middle", price: 4, part: 0.5, deadline: Duration::from_millis(1000) },
    Class { name: "cheap", price: 1, part: 0.3, deadline: Duration::from_millis(2000) },
];

/// What disturbs the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Noise {
    /// Nothing.
    Quiet,
    /// Neighbours slow a third of the upstreams, another third every ten seconds.
    Neighbours,
    /// One upstream fails at once, one never answers.
    Broken,
    /// Ten times the load for two seconds.
    Burst,
}

/// One experiment.
#[derive(Debug, Clone)]
pub struct Scene {
    /// Its name.
    pub name: String,
    /// What disturbs the upstreams.
    pub noise: Noise,
    /// The load against what the slots can do in this noise.
    pub load: f64,
    /// Upstreams.
    pub upstreams: usize,
    /// How long it lasts.
    pub length: Duration,
}

/// All experiments.
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
    /// Requests a second that the slots can do.
    pub fn capacity(&self) -> f64 {
        let whole = self.upstreams as f64 * f64::from(SLOTS) / SERVICE.as_secs_f64();
        match self.noise {
            Noise::Neighbours => whole * (2.0 + 1.0 / SLOWER) / 3.0,
            Noise::Broken => whole * (self.upstreams as f64 - 2.0) / self.upstreams as f64,
            Noise::Quiet | Noise::Burst => whole,
        }
    }

    /// The time from `now` to the next arrival.
    pub fn gap(&self, now: Duration, rng: &mut ChaCha8Rng) -> Duration {
        let burst = self.noise == Noise::Burst && (10..12).contains(&now.as_secs());
        let rate = self.capacity() * self.load * if burst { 10.0 } else { 1.0 };
        Duration::from_secs_f64(exponential(rng) / rate)
    }

    /// The time that an upstream takes, or nothing if it never answers; true if it fails.
    pub fn serve(
        &self,
        upstream: u32,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> (Option<Duration>, bool) {
        let time = SERVICE.as_secs_f64() * (FIXED + (1.0 - FIXED) * exponential(rng));
        let time = Duration::from_secs_f64(time);
        match (self.noise, upstream) {
            (Noise::Broken, 0) => (Some(Duration::from_millis(1)), true),
            (Noise::Broken, 1) => (None, false),
            (Noise::Neighbours, _) if self.disturbed(upstream, now) => {
                (Some(time.mul_f64(SLOWER)), false)
            }
            _ => (Some(time), false),
        }
    }

    fn disturbed(&self, upstream: u32, now: Duration) -> bool {
        let phase = now.as_secs() / STAY.as_secs();
        (u64::from(upstream) + phase).is_multiple_of(3)
    }
}

/// A sample of the exponential distribution with mean 1.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}
