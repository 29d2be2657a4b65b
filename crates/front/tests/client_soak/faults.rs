//! Faults drawn from a seed, in series and overlapping.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use myrtle_standin::StoreMode;

use crate::world::World;

/// The range of pauses between faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 150..1_400;

/// The share of the faults of workers that strike several at once.
const MANY_SHARE: f64 = 0.3;

/// The share of the workers that a wave of a theme strikes.
const WAVE_SHARE: f64 = 0.5;

/// The number of workers.
const WORKERS: usize = 12;

/// The longest time from the faults' end to their effects' end: the longest one of a stop, plus a pause across it.
const MAX_PAUSE: Duration = Duration::from_millis(1_500);

/// The time between two waves of a theme's faults, over which each is spread, in milliseconds.
const WAVE_EVERY_MS: u64 = 1_500;

/// Which faults come beside those of all plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Theme {
    /// None.
    Mixed,
    /// Many workers restart again and again, and many starts are late.
    Workers,
    /// The serving tasks of many workers have more load.
    Load,
}

impl Theme {
    /// The theme of a seed.
    pub fn of(seed: u64) -> Self {
        match seed % 4 {
            0 => Self::Workers,
            3 => Self::Load,
            _ => Self::Mixed,
        }
    }

    /// Draws one of the theme's faults.
    fn draw(self, rng: &mut ChaCha8Rng, worker: usize) -> Option<Fault> {
        let up_to = |rng: &mut ChaCha8Rng, most| Duration::from_millis(rng.random_range(50..most));
        Some(match self {
            Self::Mixed => return None,
            Self::Workers if rng.random_bool(0.5) => {
                Fault::DelayStarts(worker, Duration::from_millis(1_400))
            }
            Self::Workers if rng.random_bool(0.5) => {
                Fault::ReplaceWorker(worker, up_to(rng, 800), up_to(rng, 600))
            }
            Self::Workers => Fault::RestartWorker(worker, up_to(rng, 800), up_to(rng, 600)),
            Self::Load => Fault::BurdenWorker(worker, rng.random_range(15..60), up_to(rng, 3_000)),
        })
    }
}

/// Which host a fault is for.
#[derive(Debug, Clone, Copy)]
pub enum Target {
    /// The one with a number.
    Any(usize),
    /// The one that owns the first cell at that time.
    Owner,
}

/// A fault.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A host is sent a signal.
    Signal(Target, Signal),
    /// A host stands still for a time.
    Pause(Target, Duration),
    /// A host is told to stop and stands still for a time from some time after it.
    StopAndPause(Target, Duration, Duration),
    /// A worker's process ends; another one starts under the same id after a time, and its entry comes after another.
    RestartWorker(usize, Duration, Duration),
    /// The same under a new id.
    ReplaceWorker(usize, Duration, Duration),
    /// A worker does not answer for a time.
    MuteWorker(usize, Duration),
    /// A worker keeps the starts that arrive for a time, without replies, and executes them then.
    DelayStarts(usize, Duration),
    /// The serving tasks of a worker have more load for a time, whatever runs beside them, in percent.
    BurdenWorker(usize, u32, Duration),
    /// The store is in a mode for a time.
    Store(StoreMode, Duration),
    /// So many threads of this process are busy for a time.
    Busy(usize, Duration),
}

/// Draws the faults of a play with their times.
pub fn draw(rng: &mut ChaCha8Rng, theme: Theme, length: Duration) -> Vec<(Duration, Fault)> {
    let mut faults = Vec::new();
    let wave_every = Duration::from_millis(WAVE_EVERY_MS);
    let mut wave = wave_every;
    while wave < length {
        for worker in 0..WORKERS {
            // Equal times between the faults of a worker would make its runs end at equal ages.
            let at = wave + Duration::from_millis(rng.random_range(0..WAVE_EVERY_MS));
            let struck = rng.random_bool(WAVE_SHARE);
            let fault = theme.draw(rng, worker).filter(|_| struck && at < length);
            faults.extend(fault.map(|fault| (at, fault)));
        }
        wave += wave_every;
    }
    let mut at = Duration::from_millis(rng.random_range(PAUSE_MS));
    while at < length {
        let fault = draw_one(rng);
        faults.push((at, fault));
        if rng.random_bool(MANY_SHARE) {
            let others = (1..=rng.random_range(2..5)).filter_map(|n| fault.at_worker_after(n));
            faults.extend(others.map(|fault| (at, fault)));
        }
        at += Duration::from_millis(rng.random_range(PAUSE_MS));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

impl Fault {
    /// The same fault of the worker that comes `n` later; nothing if it isn't one of a worker.
    fn at_worker_after(self, n: usize) -> Option<Self> {
        let next = |number: usize| (number + n) % WORKERS;
        Some(match self {
            Self::RestartWorker(number, away, delay) => {
                Self::RestartWorker(next(number), away, delay)
            }
            Self::ReplaceWorker(number, away, delay) => {
                Self::ReplaceWorker(next(number), away, delay)
            }
            Self::MuteWorker(number, length) => Self::MuteWorker(next(number), length),
            Self::DelayStarts(number, length) => Self::DelayStarts(next(number), length),
            Self::BurdenWorker(number, load, length) => {
                Self::BurdenWorker(next(number), load, length)
            }
            _ => return None,
        })
    }
}

fn draw_one(rng: &mut ChaCha8Rng) -> Fault {
    let target = match rng.random_range(0..4) {
        0 => Target::Owner,
        _ => Target::Any(rng.random_range(0..8)),
    };
    let worker = rng.random_range(0..WORKERS);
    let up_to = |rng: &mut ChaCha8Rng, most| Duration::from_millis(rng.random_range(50..most));
    match rng.random_range(0..100) {
        0..30 => Fault::Signal(target, Signal::SIGTERM),
        30..40 => Fault::Signal(target, Signal::SIGHUP),
        40..46 => Fault::Signal(target, Signal::SIGKILL),
        46..56 => Fault::Pause(target, Duration::from_millis(rng.random_range(200..1_500))),
        56..66 => {
            let length = Duration::from_millis(rng.random_range(200..1_500));
            Fault::StopAndPause(target, up_to(rng, 3_500), length)
        }
        66..71 => Fault::RestartWorker(worker, up_to(rng, 800), up_to(rng, 1_000)),
        71..75 => Fault::ReplaceWorker(worker, up_to(rng, 1_500), up_to(rng, 1_000)),
        75..79 => Fault::MuteWorker(worker, up_to(rng, 4_000)),
        79..82 => Fault::DelayStarts(worker, up_to(rng, 2_500)),
        82..86 => Fault::BurdenWorker(worker, rng.random_range(10..60), up_to(rng, 4_000)),
        86..95 => {
            let slow = StoreMode::Slow(up_to(rng, 200));
            let mode = [StoreMode::Away, StoreMode::Silent, slow][rng.random_range(0..3)];
            Fault::Store(mode, up_to(rng, 2_000))
        }
        _ => Fault::Busy(rng.random_range(1..3), up_to(rng, 1_500)),
    }
}

/// Injects faults at their times and waits until they are over.
pub async fn inject(world: &Arc<World>, faults: Vec<(Duration, Fault)>) {
    let begin = Instant::now();
    let mut running = JoinSet::new();
    for (at, fault) in faults {
        sleep_until((begin + at).into()).await;
        println!("  {:6.2} s {fault:?} owner={:?}", at.as_secs_f64(), world.owner());
        running.spawn(play(world.clone(), fault));
    }
    while running.join_next().await.is_some() {}
    sleep(MAX_PAUSE).await;
    world.mend();
}

async fn play(world: Arc<World>, fault: Fault) {
    let host = |target| match target {
        Target::Any(number) => world.fleet.0.get(number).cloned(),
        Target::Owner => world.owner().and_then(|name| world.fleet.named(&name)),
    };
    match fault {
        Fault::Signal(target, signal) => {
            host(target).iter().for_each(|host| host.signal(signal));
        }
        Fault::Pause(target, length) => {
            if let Some(host) = host(target) {
                host.signal(Signal::SIGSTOP);
                sleep(length).await;
                host.signal(Signal::SIGCONT);
            }
        }
        Fault::StopAndPause(target, after, length) => {
            if let Some(host) = host(target) {
                host.signal(Signal::SIGTERM);
                sleep(after).await;
                host.signal(Signal::SIGSTOP);
                sleep(length).await;
                host.signal(Signal::SIGCONT);
            }
        }
        Fault::RestartWorker(number, away, entry_delay) => {
            let placed = &world.workers[number];
            placed.worker.restart(away).await;
            sleep(entry_delay).await;
            placed.list(&world.store);
        }
        Fault::ReplaceWorker(number, away, entry_delay) => {
            let placed = &world.workers[number];
            let before = placed.worker.incarnation();
            placed.worker.replace(away).await;
            sleep(entry_delay).await;
            world.store.put("keyed.servers", &before, b"");
            placed.list(&world.store);
        }
        Fault::MuteWorker(number, length) => {
            let worker = &world.workers[number].worker;
            worker.mute(true);
            sleep(length).await;
            worker.mute(false);
        }
        Fault::DelayStarts(number, length) => {
            let worker = &world.workers[number].worker;
            worker.delay_starts(true);
            sleep(length).await;
            worker.delay_starts(false);
            worker.execute_delayed_starts();
        }
        Fault::BurdenWorker(number, percent, length) => {
            let worker = &world.workers[number].worker;
            worker.burden(percent);
            sleep(length).await;
            worker.burden(0);
        }
        Fault::Store(mode, length) => {
            world.store.set(mode);
            sleep(length).await;
            world.store.set(StoreMode::Ok);
        }
        Fault::Busy(threads, length) => {
            let over = Arc::new(AtomicBool::new(false));
            for _ in 0..threads {
                let over = over.clone();
                std::thread::spawn(move || while !over.load(Ordering::Relaxed) {});
            }
            sleep(length).await;
            over.store(true, Ordering::Relaxed);
        }
    }
}
