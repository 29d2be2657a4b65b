//! Gates, the resources that they coordinate, and usage.

use std::collections::BTreeMap;

use myrtle_base::Millis;

use crate::{Cell, Deny, Gate, Health, Keep, Unit, Usage};

impl Cell {
    /// Adds a gate or its next incarnation, which coordinates nothing yet.
    pub(crate) fn add_gate(&mut self, name: &str, boot: u64) -> Result<(), Deny> {
        if let Some(gate) = self.gates.get(name) {
            if boot < gate.boot {
                return Err(Deny::Old);
            }
            // A new incarnation may only start once the leases of the previous one have ended.
            let coordinates = self.units.values().any(|k| k.gate == name);
            if boot > gate.boot && coordinates {
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

    /// Marks a gate as stopped and frees its resources.
    pub(crate) fn leave_gate(&mut self, name: &str, boot: u64) -> Result<(), Deny> {
        let gate = self.gates.get_mut(name).ok_or(Deny::Missing)?;
        if gate.boot != boot {
            return Err(Deny::Old);
        }
        gate.health = Health::Lapsed;
        self.free_units(name, self.now);
        Ok(())
    }

    /// Makes a gate the coordinator of a free resource.
    pub(crate) fn assign_unit(&mut self, unit: &Unit, name: &str) -> Result<(), Deny> {
        let gate = self.gates.get(name).ok_or(Deny::Missing)?;
        if gate.health != Health::Up {
            return Err(Deny::Down);
        }
        if self.units.contains_key(unit) {
            return Err(Deny::Assigned);
        }
        let since = self.freed.remove(unit).unwrap_or_default();
        let term = self.new_term();
        self.units.insert(unit.clone(), Keep { gate: name.into(), since, term, handed: false });
        Ok(())
    }

    /// Moves a resource with its state from its coordinator to another gate.
    pub(crate) fn reassign_unit(&mut self, unit: &Unit, from: &str, to: &str) -> Result<(), Deny> {
        let gate = self.gates.get(to).ok_or(Deny::Missing)?;
        if gate.health != Health::Up {
            return Err(Deny::Down);
        }
        let term = self.new_term();
        let keep = self.units.get_mut(unit).ok_or(Deny::Missing)?;
        if keep.gate != from {
            return Err(Deny::Assigned);
        }
        keep.gate = to.into();
        keep.term = term;
        keep.handed = true;
        Ok(())
    }

    /// Frees the resources of a gate, which it last used at log time `last` at the latest.
    pub(crate) fn free_units(&mut self, name: &str, last: Millis) {
        let units = self.units.extract_if(.., |_, keep| keep.gate == name);
        self.freed.extend(units.map(|(unit, _)| (unit, last)));
    }

    /// Adds a gate's usage since its last report; a repeated report adds nothing.
    pub(crate) fn count_usage(
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
        let more_busy = busy.since(counted.busy);
        if more == 0 && more_busy == Millis(0) {
            return Err(Deny::Old);
        }
        *counted = Usage { requests: counted.requests + more, busy: counted.busy + more_busy };
        let total = self.usage.entry(key).or_default();
        total.requests += more;
        total.busy += more_busy;
        Ok(())
    }

    fn new_term(&mut self) -> u64 {
        self.next_term += 1;
        self.next_term
    }
}
