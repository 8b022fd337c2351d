//! Breadth-first search over the states of a protocol.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
    time::Instant,
};

use pathfinding::directed::bfs::bfs;

/// A protocol with all the choices of its environment.
pub trait Model: Clone + Eq + Hash {
    /// Every step that can be taken, with a label for the printed path.
    fn steps(&self) -> Vec<(String, Self)>;

    /// The property that this state violates.
    fn violation(&self) -> Option<String>;
}

/// A state and the step that led to it. The label is no part of the state's identity.
#[derive(Clone)]
struct Node<M> {
    state: M,
    label: Box<str>,
}

impl<M: Eq> PartialEq for Node<M> {
    fn eq(&self, other: &Node<M>) -> bool {
        self.state == other.state
    }
}

impl<M: Eq> Eq for Node<M> {}

impl<M: Hash> Hash for Node<M> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.state.hash(state);
    }
}

/// The steps of a shortest path to a violation, and what is violated.
pub struct Counterexample {
    /// Labels of the steps.
    pub steps: Vec<String>,
    /// What the last state violates.
    pub violation: String,
}

/// Visits every reachable state and returns their number, or stops at the first violation.
pub fn explore<M: Model>(name: &str, start: M) -> (usize, Option<Counterexample>) {
    let started = Instant::now();
    let visited = Cell::new(0);
    let successors = |node: &Node<M>| {
        visited.set(visited.get() + 1);
        let steps = node.state.steps();
        steps.into_iter().map(|(label, state)| Node { state, label: label.into() })
    };
    let start = Node { state: start, label: "start".into() };
    let path = bfs(&start, successors, |node| node.state.violation().is_some());
    let counterexample = path.map(|path| Counterexample {
        violation: path.last().and_then(|n| n.state.violation()).expect("the goal is a violation"),
        steps: path.iter().skip(1).map(|n| n.label.to_string()).collect(),
    });
    println!("{name}: {} states in {:.1?}", visited.get(), started.elapsed());
    if let Some(counterexample) = &counterexample {
        println!("  counterexample: {}", counterexample.violation);
        for (i, step) in counterexample.steps.iter().enumerate() {
            println!("  {:2}. {step}", i + 1);
        }
    }
    (visited.get(), counterexample)
}

/// Fails if the protocol can violate a property, or if the search was smaller than stated.
///
/// # Panics
///
/// Panics to fail the test.
pub fn assert_holds<M: Model>(name: &str, start: M, min_states: usize) {
    let (visited, counterexample) = explore(name, start);
    assert!(counterexample.is_none(), "{name}: violated");
    assert!(visited >= min_states, "{name}: only {visited} states, expected {min_states}");
}

/// Fails if removing a guard goes unnoticed, which would mean that the check proves nothing.
///
/// # Panics
///
/// Panics to fail the test.
pub fn assert_violates<M: Model>(name: &str, start: M, violation: &str) {
    let (_, counterexample) = explore(name, start);
    let counterexample = counterexample.unwrap_or_else(|| panic!("{name}: no counterexample"));
    assert_eq!(counterexample.violation, violation, "{name}: another property failed");
}
