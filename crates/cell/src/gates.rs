//! Gates, the units that they keep, and what they served.

use std::collections::BTreeMap;

use myrtle_base::Millis;

use crate::{Cell, Deny, Gate, Health, Keep, Unit, Usage};

impl Cell {
    /// Enters a gate or its next life, which keeps nothing yet.
    pub(crate) fn enter_gate(&mut self, name: &str, boot: u64) -> Result<(), Deny> {
        if let Some(gate) = self.gates.get(name) {
            if boot < gate.boot {
                return Err(Deny::Old);
            }
            // A new life may only begin when the leases of the old one have lapsed.
            let held = self.units.values().any(|k| k.gate == name);
            if boot > gate.boot && held {
                return Err(Deny::Early);
            }
            if boot == gate.boot && gate.health == Health::Up {
                return Err(Deny::State);
            }
        }
        let gate = Gate { boot, health: Health::Up, counted: BTreeMap::new() };
        match self.gates.get_mut(name) {
            Some(old) if old.boot == boot => old.health = Health::Up,
            _ => drop(self.gates.insert(name.into(), gate)),
        }
        Ok(())
    }

    /// A gate says that it uses nothing any more.
    pub(crate) fn leave(&mut self, name: &str, boot: u64) -> Result<(), Deny> {
        let gate = self.gates.get_mut(name).ok_or(Deny::Missing)?;
        if gate.boot != boot {
            return Err(Deny::Old);
        }
        gate.health = Health::Lapsed;
        self.free_units(name, self.now);
        Ok(())
    }

    /// Makes a gate the keeper of a unit that nobody keeps.
    pub(crate) fn keep(&mut self, unit: &Unit, name: &str) -> Result<(), Deny> {
        let gate = self.gates.get(name).ok_or(Deny::Missing)?;
        if gate.health != Health::Up {
            return Err(Deny::Down);
        }
        if self.units.contains_key(unit) {
            return Err(Deny::Kept);
        }
        let since = self.freed.remove(unit).unwrap_or_default();
        let term = self.term();
        self.units.insert(unit.clone(), Keep { gate: name.into(), since, term, handed: false });
        Ok(())
    }

    /// Moves a unit and what is known of it from its keeper to another gate.
    pub(crate) fn hand(&mut self, unit: &Unit, from: &str, to: &str) -> Result<(), Deny> {
        let gate = self.gates.get(to).ok_or(Deny::Missing)?;
        if gate.health != Health::Up {
            return Err(Deny::Down);
        }
        let term = self.term();
        let keep = self.units.get_mut(unit).ok_or(Deny::Missing)?;
        if keep.gate != from {
            return Err(Deny::Kept);
        }
        keep.gate = to.into();
        keep.term = term;
        keep.handed = true;
        Ok(())
    }

    /// Frees what a gate kept; it has not acted on it after `last`.
    pub(crate) fn free_units(&mut self, name: &str, last: Millis) {
        let units = self.units.extract_if(.., |_, keep| keep.gate == name);
        self.freed.extend(units.map(|(unit, _)| (unit, last)));
    }

    /// Adds what a gate served since its last report; a repeated report adds nothing.
    pub(crate) fn count(
        &mut self,
        name: &str,
        boot: u64,
        key: (&str, &str),
        requests: u64,
        busy: Millis,
    ) -> Result<(), Deny> {
        let gate = self.gates.get_mut(name).ok_or(Deny::Missing)?;
        if gate.boot != boot {
            return Err(Deny::Old);
        }
        let key = (key.0.to_string(), key.1.to_string());
        let counted = gate.counted.entry(key.clone()).or_default();
        let more = requests.saturating_sub(counted.requests);
        let longer = busy.since(counted.busy);
        if more == 0 && longer == Millis(0) {
            return Err(Deny::Old);
        }
        *counted = Usage { requests: counted.requests + more, busy: counted.busy + longer };
        let total = self.usage.entry(key).or_default();
        total.requests += more;
        total.busy += longer;
        Ok(())
    }

    fn term(&mut self) -> u64 {
        self.next_term += 1;
        self.next_term
    }
}
