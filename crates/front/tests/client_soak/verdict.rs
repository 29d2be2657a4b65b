//! The verdict on requests that ended without a complete answer.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;

use crate::client::Cut;
use crate::fleet::Event;
use crate::ledger::Ledger;
use crate::world::World;

/// The time after a request's last byte within which a connection may end without an answer.
const SLACK: Duration = Duration::from_millis(200);

/// Prints the requests that ended without a complete answer; returns how many were lost.
pub fn judge_cuts(world: &World, ledger: &Ledger, begin: Instant) -> usize {
    let cuts = ledger.cuts.lock().unwrap();
    let (mut lost, mut within) = (0, Vec::new());
    for cut in cuts.iter() {
        let after = cut.ended - cut.sent;
        let events = history(world, cut);
        let killed = |at: &Instant| *at >= cut.sent && *at <= cut.ended;
        let kill = |event: &Event| *event == Event::Signal(Signal::SIGKILL);
        let excused = events.iter().any(|(at, event)| kill(event) && killed(at));
        let paused = was_paused(&events, cut.sent);
        let verdict = match () {
            () if after <= SLACK => "within the slack",
            () if excused => "killed",
            () if world.stalls.touch(cut.sent, cut.ended) => "this process stood still",
            () if paused => "LOST across a pause",
            () => "LOST",
        };
        lost += usize::from(verdict.starts_with("LOST"));
        if after <= SLACK {
            within.push(since_stop(&events, cut.ended));
        }
        let at = (cut.sent - begin).as_secs_f64();
        println!(
            "  cut: {verdict}: {} at {at:.3} s on {}, {after:.1?} after its last byte, idle for {:.3?} before, used {}, {} bytes received, {}; {}",
            cut.request,
            cut.host,
            cut.idle,
            cut.used,
            cut.received,
            cut.how,
            describe(&events, cut.ended)
        );
    }
    println!("  {lost} lost; within the slack, by the time since SIGTERM: {within:.2?}");
    lost
}

/// The seconds since the host of a request was told to stop, if it was.
fn since_stop(events: &[(Instant, Event)], to: Instant) -> Option<f64> {
    let life = events.iter().rev().take_while(|(_, event)| *event != Event::Started);
    let stop = life.into_iter().find(|(_, event)| *event == Event::Signal(Signal::SIGTERM));
    stop.map(|(at, _)| (to - *at).as_secs_f64())
}

/// What happened to the host of a request up to its end.
fn history(world: &World, cut: &Cut) -> Vec<(Instant, Event)> {
    let mut events = world.fleet.named(&cut.host).unwrap().events();
    events.retain(|(at, _)| *at <= cut.ended);
    events
}

/// Whether the host stood still at some time from then on.
fn was_paused(events: &[(Instant, Event)], from: Instant) -> bool {
    let resumes = events.iter().filter(|(_, event)| *event == Event::Signal(Signal::SIGCONT));
    resumes.into_iter().any(|(at, _)| *at >= from)
}

/// The last events before a time.
fn describe(events: &[(Instant, Event)], to: Instant) -> String {
    let from = events.len().saturating_sub(6);
    let line = |(at, event): &(Instant, Event)| {
        format!("{event:?} {:.3} s before", (to - *at).as_secs_f64())
    };
    events[from..].iter().map(line).collect::<Vec<_>>().join(", ")
}
