//! Gates, the resources that they coordinate, and usage.

use std::collections::BTreeMap;

use myrtle_base::Millis;

use crate::{Cell, Coordinator, Deny, Gate, Health, Resource, Usage};

impl Cell {
    /// Adds a gate or its next incarnation, which coordinates nothing yet.
    pub(crate) fn add_gate(&mut self, name: &str, incarnation: u64) -> Result<(), Deny> {
        if let Some(gate) = self.gates.get(name) {
            if incarnation < gate.incarnation {
                return Err(Deny::Outdated);
            }
            // A new incarnation may only start once the leases of the previous one have ended.
            let coordinates = self.resources.values().any(|k| k.gate == name);
            if incarnation > gate.incarnation && coordinates {
                return Err(Deny::Early);
            }
            if incarnation == gate.incarnation && gate.health == Health::Up {
                return Err(Deny::State);
            }
        }
        let gate = Gate { incarnation, health: Health::Up, counted: BTreeMap::new() };
        match self.gates.get_mut(name) {
            Some(old) if old.incarnation == incarnation => old.health = Health::Up,
            _ => drop(self.gates.insert(name.into(), gate)),
        }
        Ok(())
    }

    /// Marks a gate as stopped and frees its resources.
    pub(crate) fn leave_gate(&mut self, name: &str, incarnation: u64) -> Result<(), Deny> {
        let gate = self.gates.get_mut(name).ok_or(Deny::Missing)?;
        if gate.incarnation != incarnation {
            return Err(Deny::Outdated);
        }
        gate.health = Health::Lapsed;
        self.free_resources(name, self.now);
        Ok(())
    }

    /// Makes a gate the coordinator of a free resource.
    pub(crate) fn assign_resource(&mut self, resource: &Resource, name: &str) -> Result<(), Deny> {
        let gate = self.gates.get(name).ok_or(Deny::Missing)?;
        if gate.health != Health::Up {
            return Err(Deny::Down);
        }
        if self.resources.contains_key(resource) {
            return Err(Deny::Assigned);
        }
        let since = self.freed_at.remove(resource).unwrap_or_default();
        let term = self.new_term();
        self.resources.insert(
            resource.clone(),
            Coordinator { gate: name.into(), since, term, reassigned: false },
        );
        Ok(())
    }

    /// Moves a resource with its state from its coordinator to another gate.
    pub(crate) fn reassign_resource(
        &mut self,
        resource: &Resource,
        from: &str,
        to: &str,
    ) -> Result<(), Deny> {
        let gate = self.gates.get(to).ok_or(Deny::Missing)?;
        if gate.health != Health::Up {
            return Err(Deny::Down);
        }
        let term = self.new_term();
        let coordinator = self.resources.get_mut(resource).ok_or(Deny::Missing)?;
        if coordinator.gate != from {
            return Err(Deny::Assigned);
        }
        coordinator.gate = to.into();
        coordinator.term = term;
        coordinator.reassigned = true;
        Ok(())
    }

    /// Frees the resources of a gate, which it last used at log time `last` at the latest.
    pub(crate) fn free_resources(&mut self, name: &str, last: Millis) {
        let resources = self.resources.extract_if(.., |_, coordinator| coordinator.gate == name);
        self.freed_at.extend(resources.map(|(resource, _)| (resource, last)));
    }

    /// Adds a gate's usage since its last report; a repeated report adds nothing.
    pub(crate) fn count_usage(
        &mut self,
        name: &str,
        incarnation: u64,
        key: (&str, &str),
        requests: u64,
        busy: Millis,
    ) -> Result<(), Deny> {
        let gate = self.gates.get_mut(name).ok_or(Deny::Missing)?;
        if gate.incarnation != incarnation {
            return Err(Deny::Outdated);
        }
        let key = (key.0.to_string(), key.1.to_string());
        let counted = gate.counted.entry(key.clone()).or_default();
        let more = requests.saturating_sub(counted.requests);
        let more_busy = busy.since(counted.busy);
        if more == 0 && more_busy == Millis(0) {
            return Err(Deny::Outdated);
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
