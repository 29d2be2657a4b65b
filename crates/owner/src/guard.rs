//! Keeps serving tasks within their targets: learns who disturbs them, slows and moves that.

use std::sync::Arc;

use log::info;

use myrtle_job::TaskId;

use crate::{Cell, Order, Stage};

/// How long a task is over its target before the guilty are slowed, in milliseconds: one more
/// sample of half a second confirms the first.
const SLOW_AFTER: u64 = 500;

/// How long before all fillers beside it are halted, as a share of the longest time allowed.
const HALT_SHARE: f64 = 0.4;

/// The pace that guilty fillers are slowed to, in percent.
const SLOWED: u32 = 40;

/// How long tasks beside a slowed filler must be well before it is let go on, in milliseconds.
const CALM: u64 = 1_000;

/// The share of its target below which a serving task is well.
const WELL: f64 = 0.7;

/// The rise of the logarithm of a tail from which on a filler counts as guilty.
const GUILT: f64 = 0.05;

impl Cell {
    /// Takes in what a worker's report says of tails and uses.
    pub(crate) fn learn(&mut self, life: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        let mut uses: Vec<(Arc<str>, f64)> = Vec::new();
        let mut starved = false;
        let mut drawn = 0.0;
        let mut serving = 0.0;
        for flight in worker.flights.values() {
            if flight.target.is_some() {
                serving += f64::from(flight.cpu);
                continue;
            }
            drawn += flight.figure;
            let wanted = f64::from(flight.cpu) * f64::from(flight.pace) / 100.0;
            let old = flight.begun.is_some_and(|b| now.saturating_sub(b) > 600);
            starved |= flight.filler && old && flight.figure < 0.85 * wanted;
            if let Some(image) = flight.image.as_ref().filter(|_| flight.filler) {
                uses.push((image.clone(), flight.figure));
            }
        }
        if serving > 0.0 {
            let room = worker.listing.as_ref().map_or(0.0, |l| f64::from(l.room.cpu));
            let seen = ((room - drawn) / serving).clamp(0.2, 1.0);
            // Starved fillers show what serving tasks use; else that is an upper bound.
            if starved {
                worker.busy += 0.2 * (seen - worker.busy);
            } else {
                worker.busy = worker.busy.min(seen);
                worker.busy += 0.02 * (0.45 - worker.busy);
            }
        }
        for flight in worker.flights.values_mut() {
            let (Some(target), Some(image)) = (flight.target, &flight.image) else {
                continue;
            };
            if flight.percent < 100.0 || flight.figure <= 0.0 {
                continue;
            }
            let ratio = flight.figure / f64::from(target);
            self.harm.learn(image, ratio, &uses);
            if ratio > 1.0 {
                flight.over = flight.over.or(Some(now));
            } else {
                flight.over = None;
            }
            if ratio < WELL {
                flight.under = flight.under.or(Some(now));
            } else {
                flight.under = None;
            }
        }
    }

    /// Slows fillers beside tasks that are over their targets, and lets them go on afterwards.
    pub(crate) fn guard(&mut self, life: &Arc<str>, now: u64) {
        let Some(worker) = self.workers.get(life) else {
            return;
        };
        let fillers = || worker.flights.iter().filter(|(_, f)| f.filler && f.stage == Stage::Up);
        let limit = (self.bounds.harm as f64 * HALT_SHARE) as u64;
        let mut paces: Vec<(TaskId, u32, u32, u32)> = Vec::new();
        let over = worker.flights.values().filter_map(|f| Some((f, now - f.over?)));
        let worst = over.max_by_key(|(_, time)| *time);
        match worst {
            Some((victim, time)) if time >= SLOW_AFTER => {
                let image = victim.image.as_deref().unwrap_or("");
                for (&task, f) in fillers() {
                    let filler = f.image.as_deref().unwrap_or("");
                    let rise = self.harm.rise(image, filler, f64::from(f.cpu));
                    let goal = match () {
                        _ if time >= limit => 0,
                        _ if rise >= GUILT => SLOWED,
                        _ => continue,
                    };
                    if f.pace > goal {
                        paces.push((task, f.run, f.pace, goal));
                    }
                }
            }
            _ => {
                let calm = worker
                    .flights
                    .values()
                    .filter(|f| f.target.is_some())
                    .all(|f| f.under.is_some_and(|u| now.saturating_sub(u) >= CALM));
                if calm {
                    // One at a time, so that the guilty one shows.
                    let slowed =
                        fillers().filter(|(_, f)| f.pace < 100).min_by_key(|(_, f)| f.pace);
                    if let Some((&task, f)) = slowed {
                        paces.push((task, f.run, f.pace, (f.pace * 2).clamp(30, 100)));
                    }
                }
            }
        }
        for (task, run, from, percent) in paces {
            self.pace(life, task, run, from, percent, now);
        }
    }

    fn pace(&mut self, life: &Arc<str>, task: TaskId, run: u32, from: u32, percent: u32, now: u64) {
        let Some(worker) = self.workers.get_mut(life) else {
            return;
        };
        info!("event=pace task={task} run={run} worker={life} from={from} percent={percent}");
        if percent > from {
            for flight in worker.flights.values_mut().filter(|f| f.target.is_some()) {
                flight.under = None;
            }
        }
        if let Some(flight) = worker.flights.get_mut(&task) {
            flight.pace = percent;
            flight.moved = now;
        }
        self.counts.paced += 1;
        self.orders.push(Order::Pace { worker: life.clone(), task, run, percent });
    }
}
