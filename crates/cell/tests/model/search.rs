//! Searches the model for broken promises: in breadth, and by long random walks.

use std::collections::{HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

use super::{ACTIONS, Action, Bounds, Found, Without, World};

/// Explores breadth first, after the steps of `prefix`.
pub fn explore(without: Without, bounds: Bounds, prefix: &[Action]) -> Found {
    let mut first = World::new(bounds.tasks);
    for action in prefix {
        assert!(first.step(*action, without, bounds), "{action:?} changes nothing");
    }
    let mut seen = HashSet::from([hash(&first)]);
    let mut queue = VecDeque::from([first]);
    while let Some(world) = queue.pop_front() {
        for action in ACTIONS {
            let mut next = world.clone();
            if !next.step(action, without, bounds) || !seen.insert(hash(&next)) {
                continue;
            }
            if next.broken() {
                return Found { states: seen.len(), all: false, broken: Some(vec![action.word()]) };
            }
            queue.push_back(next);
        }
        if seen.len() >= bounds.states {
            return Found { states: seen.len(), all: false, broken: None };
        }
    }
    Found { states: seen.len(), all: true, broken: None }
}

/// Takes random walks, which reach further than a search in breadth.
pub fn walk(without: Without, bounds: Bounds, seed: u64, walks: usize, length: usize) -> Found {
    let first = World::new(bounds.tasks);
    let mut rng = Xorshift(seed);
    let mut states = 0;
    for _ in 0..walks {
        let mut world = first.clone();
        let mut words = Vec::new();
        // Each walk leaves some actions out: hosts that never read are where promises break.
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
            words.push(action.word());
            if world.broken() {
                return Found { states, all: false, broken: Some(words) };
            }
        }
    }
    Found { states, all: false, broken: None }
}

/// A small generator, the same on every machine.
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
