//! Bounds on routing figures, simulated in virtual time with fixed seeds.

use std::time::Duration;

use myrtle_load::policy::{Noise, Outcome, Policy, Scene, simulate};

fn scene(noise: Noise, load: f64) -> Scene {
    let length = Duration::from_secs(20);
    Scene { name: String::new(), noise, load, upstreams: 48, length }
}

fn p99(outcome: &Outcome) -> f64 {
    let mut all = outcome.latency[0].clone();
    outcome.latency[1..].iter().for_each(|h| all.add(h).unwrap());
    all.value_at_quantile(0.99) as f64
}

fn good(outcome: &Outcome, class: usize) -> f64 {
    outcome.good[class] as f64 / outcome.offered[class] as f64
}

fn goodput(scene: &Scene, outcome: &Outcome) -> f64 {
    let good = outcome.good.iter().sum::<u64>() as f64;
    good / (scene.capacity() * scene.length.as_secs_f64())
}

#[test]
fn gate_keeps_latency_low_beside_neighbours_at_80_percent_load() {
    let scene = scene(Noise::Neighbours, 0.8);
    for seed in 0..2 {
        let own = simulate(Policy::Own, &scene, seed);
        let two = simulate(Policy::TwoChoices, &scene, seed);
        let robin = simulate(Policy::RoundRobin, &scene, seed);
        assert!(p99(&own) <= 0.5 * p99(&two), "{} of {}", p99(&own), p99(&two));
        assert!(p99(&own) <= 0.2 * p99(&robin), "{} of {}", p99(&own), p99(&robin));
        assert!((0..3).all(|c| good(&own, c) >= 0.999));
        assert!(own.max_busy <= 8);
    }
}

#[test]
fn most_expensive_class_meets_deadlines_in_overload() {
    let scene = scene(Noise::Neighbours, 1.2);
    let own = simulate(Policy::Own, &scene, 0);
    assert!(good(&own, 0) >= 0.999, "{}", good(&own, 0));
    assert!(goodput(&scene, &own) >= 0.95, "{}", goodput(&scene, &own));
    assert!(own.max_busy <= 8);
}

#[test]
fn upstream_that_fails_fast_attracts_no_traffic() {
    let scene = scene(Noise::Broken, 0.8);
    let own = simulate(Policy::Own, &scene, 0);
    assert!((0..3).all(|c| good(&own, c) >= 0.999));
    let offered = own.offered.iter().sum::<u64>() as f64;
    assert!(own.attempts as f64 <= 1.1 * offered);
}

#[test]
fn most_expensive_class_meets_deadlines_in_a_burst() {
    let own = simulate(Policy::Own, &scene(Noise::Burst, 0.5), 0);
    assert!(good(&own, 0) >= 0.999, "{}", good(&own, 0));
}
