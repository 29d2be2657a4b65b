//! Joining and leaving workers and evacuated data centres, as a scene's patterns say.

use myrtle_base::Room;
use myrtle_job::{Incarnation, Listing, Replacement};

use super::draw::millis;
use super::machine::Machine;
use super::scene::Pattern;
use super::sim::{STEP, Sim};

/// The data centres, with workers spread evenly; patterns evacuate the first.
const CENTRES: [&str; 3] = ["x", "y", "z"];

impl Sim<'_> {
    /// Adds a worker with a new id.
    pub(super) fn add(&mut self) {
        let number = self.next_worker;
        self.next_worker += 1;
        // One worker in three has half as many cores again.
        let cpu = if number.is_multiple_of(3) { 48_000 } else { 32_000 };
        let listing = Listing {
            service: "s".into(),
            address: ([10, 0, 0, 1], 1_000 + number).into(),
            data_centre: CENTRES[usize::from(number) % CENTRES.len()].into(),
            draining: false,
            remaining_ms: None,
            room: Room { cpu, mem: 4 * cpu, accel: 0 },
            labels: vec![],
            machine: None,
            version: String::new(),
            offset: 1,
            warmup_ms: 0,
            started_at: 0,
        };
        self.machines.insert(Incarnation::new(format!("w{number}"), 0), Machine::new(listing));
    }

    /// Applies the scene's patterns that concern workers and data centres.
    pub(super) fn apply_patterns(&mut self) {
        let now = self.now;
        let due = |at: f64| (now - STEP..now).contains(&millis(at));
        for pattern in &self.scene.patterns {
            if let Pattern::Empty { at, span } = *pattern {
                self.evacuated =
                    (millis(at)..millis(at + span)).contains(&now).then_some(CENTRES[0]);
                let centres = self.evacuated.map(String::from).into_iter().collect();
                self.cell.evacuate_centres(&centres);
            }
            if let Pattern::Failing { at, span, workers, rate, usual } = *pattern {
                let spell = (millis(at)..millis(at + span)).contains(&now);
                let count = (f64::from(self.scene.workers) / 3.0 * workers) as usize;
                self.machines.values_mut().for_each(|m| m.failing = usual);
                let of_centre = |m: &&mut Machine| m.listing.data_centre == CENTRES[0];
                let failing = self.machines.values_mut().filter(of_centre).take(count);
                failing.filter(|_| spell).for_each(|m| m.failing = rate);
            }
            let Pattern::Leave { at, share, back } = *pattern else {
                continue;
            };
            let count = (f64::from(self.scene.workers) * share) as usize;
            if due(at) {
                let leaving = self.machines.values_mut().take(count);
                leaving.for_each(|m| m.listing.draining = true);
            }
            if due(at + 4.0) {
                let gone = |m: &Machine| m.listing.draining;
                let names: Vec<_> =
                    self.machines.iter().filter(|(_, m)| gone(m)).map(|(n, _)| n.clone()).collect();
                for name in names {
                    self.machines.remove(&name);
                    self.cell.remove_listing(name.id(), now);
                    self.cell.replaced(&name, Replacement::Other, now);
                }
            }
            if due(back) {
                (0..count).for_each(|_| self.add());
            }
        }
    }
}
