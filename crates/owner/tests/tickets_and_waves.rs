//! Tickets of queues with advice, and maintenance waves.

mod common;

use std::collections::BTreeSet;

use myrtle_job::{StepSpec, TicketTimes};
use myrtle_owner::{Maintenance, Wave, WaveRecord};

use common::{World, job, policy, step};

/// A policy with advice.
fn advised() -> myrtle_job::Policy {
    let advice = Some(TicketTimes { call_ms: 10, worker_ms: 1, valid_ms: 3_000 });
    myrtle_job::Policy { ticket_times: advice, ..policy() }
}

#[test]
fn a_queue_with_advice_uses_only_workers_that_have_a_ticket() {
    let mut world = World::new(3, 4);
    world.permitted = vec!["w2"];
    world.submit_as(job(vec![step(3)]), advised());
    assert!(world.finish(5_000));
    for (id, worker) in &world.workers {
        assert_eq!(worker.ever > 0, &**id == "w2", "{id}");
    }
}

#[test]
fn a_queue_without_a_permitted_worker_waits() {
    let mut world = World::new(3, 4);
    let id = world.submit_as(job(vec![step(1)]), advised());
    world.run(2_000);
    assert!(world.judge.starts.is_empty());
    assert!(world.owner().cell.state(id).is_some_and(|s| !s.over()));
}

/// Simulates the machine service: each machine goes down when ordered, and its worker comes back 2 s later under
/// another id.
fn maintain(world: &mut World, millis: u64, limit: usize) -> BTreeSet<String> {
    maintain_with(world, millis, limit, |address| format!("again{address}"))
}

/// As `maintain`, with a function from the address of a worker to the id under which it comes back.
fn maintain_with(
    world: &mut World,
    millis: u64,
    limit: usize,
    id_of: impl Fn(u16) -> String,
) -> BTreeSet<String> {
    let mut down: Vec<(u64, String)> = Vec::new();
    let mut seen = BTreeSet::new();
    let end = world.now + millis;
    while world.now < end {
        world.run(200);
        let now = world.now;
        for (machine, wave) in world.owner().cell.advance_waves(now) {
            let at = |w: &common::FakeWorker| w.listing.machine.as_ref() == Some(&machine);
            let id = world.workers.iter().find(|(_, w)| !w.gone && at(w)).unwrap().0.clone();
            assert_eq!(world.workers[&id].count(), 0, "{machine} has to be empty first");
            let mut judge = std::mem::take(&mut world.judge);
            world.workers.get_mut(&id).unwrap().crash(&mut judge);
            world.judge = judge;
            down.push((now + 2_000, machine.clone()));
            assert!(down.len() <= limit, "{down:?}");
            world.owner().cell.maintenance_replied(wave, &machine, Maintenance::Begun, now);
            seen.insert(machine);
        }
        let back: Vec<_> = down.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, machine) in back {
            let address: u16 = machine[1..].parse().unwrap();
            world.add_worker(&id_of(address), address);
        }
    }
    seen
}

#[test]
fn a_wave_takes_its_machines_down_a_few_at_a_time() {
    let mut world = World::new(5, 4);
    let mut long_running = step(6);
    long_running.long_running = true;
    long_running.disruption_budget = Some(1);
    world.submit(job(vec![long_running]));
    world.run(1_000);
    let machines: Vec<String> = (0..4).map(|n| format!("m{n}")).collect();
    let wave = Wave { number: 1, machines: machines.clone(), duration: 40_000, limit: 1 };
    let now = world.now;
    world.owner().cell.add_wave(wave, WaveRecord::default(), now);
    assert_eq!(maintain(&mut world, 30_000, 1), machines.into_iter().collect());
    let news = world.owner().cell.changed_waves();
    assert!(news.iter().any(|n| (n.number, n.record.done.len(), n.complete) == (1, 4, true)));
    assert_eq!(world.judge.broken, Vec::<String>::new());
}

#[test]
fn a_new_owner_skips_machines_that_are_done() {
    let mut world = World::new(5, 2);
    let machines = vec!["m0".to_string(), "m1".to_string()];
    let wave = Wave { number: 7, machines, duration: 20_000, limit: 2 };
    let done = BTreeSet::from(["m0".to_string()]);
    let now = world.now;
    world.owner().cell.add_wave(wave, WaveRecord { done, ..WaveRecord::default() }, now);
    assert_eq!(maintain(&mut world, 6_000, 2), BTreeSet::from(["m1".to_string()]));
}

// If workers were told apart by id alone, a machine whose worker keeps its id would seem never to have gone down, and
// each machine would take 6 s longer.
#[test]
fn a_machine_is_done_when_its_worker_is_back_under_its_id() {
    let mut world = World::new(5, 4);
    let machines: Vec<String> = (0..4).map(|n| format!("m{n}")).collect();
    let wave = Wave { number: 1, machines: machines.clone(), duration: 40_000, limit: 1 };
    let now = world.now;
    world.owner().cell.add_wave(wave, WaveRecord::default(), now);
    let seen = maintain_with(&mut world, 12_000, 1, |address| format!("w{address}"));
    assert_eq!(seen, machines.into_iter().collect());
}

#[test]
fn a_worker_that_restarts_before_maintenance_gets_no_new_runs() {
    let mut world = World::new(5, 2);
    let long = StepSpec { estimate_ms: 3_000, ..step(8) };
    world.submit(job(vec![long.clone()]));
    world.run(500);
    let wave = Wave { number: 1, machines: vec!["m0".into()], duration: 60_000, limit: 1 };
    let now = world.now;
    world.owner().cell.add_wave(wave, WaveRecord::default(), now);
    assert!(world.owner().cell.advance_waves(now).is_empty(), "the machine has to be empty first");
    let id = world.workers.keys().next().unwrap().clone();
    world.restart(&id, 300);
    world.run(400);
    world.submit(job(vec![long]));
    world.run(1_000);
    assert_eq!(world.workers["w0"].count(), 0, "a run began before maintenance");
}
