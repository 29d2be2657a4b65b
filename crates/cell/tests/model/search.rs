//! Searches the model for violations, breadth-first and by long random walks.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::{ACTIONS, Action, Bounds, Found, Without, World};

/// Searches breadth-first, starting after the steps of `prefix`.
pub fn explore(without: Without, bounds: Bounds, prefix: &[Action]) -> Found {
    let mut start = World::new(bounds.tasks);
    for action in prefix {
        assert!(start.step(*action, without, bounds), "{action:?} has no effect");
    }
    let mut seen = HashSet::from([hash(&start)]);
    let mut queue = VecDeque::from([start]);
    while let Some(world) = queue.pop_front() {
        for action in ACTIONS {
            let mut next = world.clone();
            if !next.step(action, without, bounds) || !seen.insert(hash(&next)) {
                continue;
            }
            if next.violated() {
                return Found {
                    states: seen.len(),
                    complete: false,
                    violation: Some(vec![action.name()]),
                };
            }
            queue.push_back(next);
        }
        if seen.len() >= bounds.states {
            return Found { states: seen.len(), complete: false, violation: None };
        }
    }
    Found { states: seen.len(), complete: true, violation: None }
}

/// Takes random walks, which reach deeper than the breadth-first search.
pub fn walk(without: Without, bounds: Bounds, seed: u64, walks: usize, length: usize) -> Found {
    let start = World::new(bounds.tasks);
    let mut rng = Xorshift(seed);
    let mut states = 0;
    for _ in 0..walks {
        let mut world = start.clone();
        let mut steps = Vec::new();
        // Each walk disables some actions, as violations need hosts that rarely read.
        let enabled: Vec<Action> = ACTIONS.into_iter().filter(|_| rng.below(10) < 7).collect();
        if enabled.is_empty() {
            continue;
        }
        for _ in 0..length {
            let action = enabled[rng.below(enabled.len())];
            let mut next = world.clone();
            if !next.step(action, without, bounds) {
                continue;
            }
            world = next;
            states += 1;
            steps.push(action.name());
            if world.violated() {
                return Found { states, complete: false, violation: Some(steps) };
            }
        }
    }
    Found { states, complete: false, violation: None }
}

/// A random number generator that is the same on every machine.
struct Xorshift(u64);

impl Xorshift {
    fn below(&mut self, n: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % n
    }
}

fn hash(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}
