//! Exhaustive exploration of a transition system, breadth first, so that a counterexample is a
//! shortest one.

use {
    pathfinding::directed::bfs::bfs,
    std::{cell::Cell, fmt::Debug, hash::Hash},
};

/// What an exploration found.
pub(crate) struct Explored<S> {
    /// States whose successors were computed.
    pub(crate) states: u64,
    /// A shortest way to a state that breaks the property; `None` if there is none.
    pub(crate) counterexample: Option<Vec<S>>,
}

impl<S: Debug> Explored<S> {
    /// Returns the number of steps of the counterexample.
    pub(crate) fn steps(&self) -> Option<usize> {
        self.counterexample.as_ref().map(|states| states.len() - 1)
    }

    /// Prints one line for the docs, and asserts whether the property holds.
    pub(crate) fn expect(&self, name: &str, holds: bool) {
        match self.steps() {
            None => println!("{name}: holds, {} states", self.states),
            Some(steps) => println!("{name}: broken after {steps} steps, {} states", self.states),
        }
        assert_eq!(self.counterexample.is_none(), holds, "{name}: {:#?}", self.counterexample);
    }
}

/// Explores every state that can be reached from `start`.
pub(crate) fn explore<S: Clone + Eq + Hash + Debug>(
    start: S,
    successors: impl Fn(&S) -> Vec<S>,
    broken: impl Fn(&S) -> bool,
) -> Explored<S> {
    let states = Cell::new(0);
    let counted = |state: &S| {
        states.set(states.get() + 1);
        successors(state)
    };
    let counterexample = bfs(&start, counted, broken);
    Explored { states: states.get(), counterexample }
}
