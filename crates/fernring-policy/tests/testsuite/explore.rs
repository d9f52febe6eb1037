//! Exhaustive breadth-first exploration of a transition system, which finds a shortest
//! counterexample.

use {
    pathfinding::directed::bfs::bfs,
    std::{cell::Cell, fmt::Debug, hash::Hash},
};

/// The result of an exploration.
pub(crate) struct Exploration<S> {
    /// States whose successors were computed.
    pub(crate) states: u64,
    /// A shortest path to a state that violates the property; `None` if there is none.
    pub(crate) counterexample: Option<Vec<S>>,
}

impl<S: Debug> Exploration<S> {
    /// Returns the number of steps of the counterexample.
    pub(crate) fn counterexample_steps(&self) -> Option<usize> {
        self.counterexample.as_ref().map(|states| states.len() - 1)
    }

    /// Prints the result in one line, and asserts that the property holds if `holds` is set, or is
    /// violated otherwise.
    pub(crate) fn assert_property(&self, name: &str, holds: bool) {
        match self.counterexample_steps() {
            None => println!("{name}: holds, {} states", self.states),
            Some(steps) => println!("{name}: broken after {steps} steps, {} states", self.states),
        }
        assert_eq!(self.counterexample.is_none(), holds, "{name}: {:#?}", self.counterexample);
    }
}

/// Explores the states that can be reached from `start`, until one violates the property.
pub(crate) fn explore<S: Clone + Eq + Hash + Debug>(
    start: S,
    successors: impl Fn(&S) -> Vec<S>,
    violates: impl Fn(&S) -> bool,
) -> Exploration<S> {
    let states = Cell::new(0);
    let counting_successors = |state: &S| {
        states.set(states.get() + 1);
        successors(state)
    };
    let counterexample = bfs(&start, counting_successors, violates);
    Exploration { states: states.get(), counterexample }
}
