//! The life of a gate, as the balancer sees it.

use statig::prelude::*;

/// What happens to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// It has a configuration, a lease and slots.
    Equipped,
    /// It lost its lease.
    Stripped,
    /// It is to stop as planned.
    Drain,
    /// Nothing is in flight any more and everything is handed on.
    Emptied,
}

impl State {
    /// Whether a gate in this state serves.
    pub fn serves(&self) -> bool {
        matches!(self, State::Serving {})
    }
}

/// The machine; its state is all it holds.
#[derive(Debug, Default)]
pub struct Life;

#[state_machine(initial = "State::starting()", state(derive(Debug, Clone, PartialEq, Eq)))]
impl Life {
    /// It cannot serve yet.
    #[state]
    fn starting(event: &Event) -> Outcome<State> {
        match event {
            Event::Equipped => Transition(State::serving()),
            Event::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    /// It serves.
    #[state]
    fn serving(event: &Event) -> Outcome<State> {
        match event {
            Event::Stripped => Transition(State::starting()),
            Event::Drain => Transition(State::draining()),
            _ => Handled,
        }
    }

    /// It finishes what it has.
    #[state]
    fn draining(event: &Event) -> Outcome<State> {
        match event {
            Event::Emptied => Transition(State::stopped()),
            _ => Handled,
        }
    }

    /// It does nothing any more.
    #[state]
    fn stopped(event: &Event) -> Outcome<State> {
        let _ = event;
        Handled
    }
}
