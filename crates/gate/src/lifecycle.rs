//! The state machine of a gate, whose state decides whether the balancer may send it requests.

use statig::prelude::*;

/// What happens to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// The gate has a configuration, a lease and slots.
    Ready,
    /// The gate lost its lease.
    LeaseLost,
    /// A planned stop begins.
    Drain,
    /// No request is in flight and all resources are transferred.
    Drained,
}

impl State {
    /// Whether a gate in this state serves.
    pub fn serves(&self) -> bool {
        matches!(self, State::Serving {})
    }
}

/// The state machine, which holds no data besides its state.
#[derive(Debug, Default)]
pub struct Lifecycle;

#[state_machine(initial = "State::starting()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl Lifecycle {
    /// The gate can't serve yet.
    #[state]
    fn starting(event: &Event) -> Outcome<State> {
        match event {
            Event::Ready => Transition(State::serving()),
            Event::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    /// The gate serves.
    #[state]
    fn serving(event: &Event) -> Outcome<State> {
        match event {
            Event::LeaseLost => Transition(State::starting()),
            Event::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    /// The gate finishes the requests that it has.
    #[state]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Drained => Transition(State::stopped()),
            _ => Handled,
        }
    }

    /// The gate has stopped.
    #[state]
    fn stopped(event: &Event) -> Outcome<State> {
        let _ = event;
        Handled
    }
}
