//! Explicit-state model checking of protocols by breadth-first search.

use std::{
    cell::Cell,
    hash::{Hash, Hasher},
    time::Instant,
};

use pathfinding::directed::bfs::bfs;

/// A state of a protocol together with its environment.
pub trait Model: Clone + Eq + Hash {
    /// Returns every possible next state with a label that describes the step in a counterexample.
    fn steps(&self) -> Vec<(String, Self)>;

    /// Returns the property that this state violates, if any.
    fn violation(&self) -> Option<String>;
}

/// A state and the label of the step that led to it. The label does not affect equality.
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

/// A shortest path to a state that violates a property.
pub struct Counterexample {
    /// Labels of the steps on the path.
    pub steps: Vec<String>,
    /// Property that the last state violates.
    pub violation: String,
}

/// Searches all reachable states, stopping at the first violation.
///
/// Returns the number of visited states and the counterexample, if any, and prints both.
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
        violation: path
            .last()
            .and_then(|n| n.state.violation())
            .expect("the search stops at a violation"),
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

/// Asserts that no reachable state violates a property.
///
/// The minimum number of states guards against a model that no longer reaches most of its states.
///
/// # Panics
///
/// Panics if a state violates a property or if fewer than `min_states` states were visited.
pub fn assert_holds<M: Model>(name: &str, start: M, min_states: usize) {
    let (visited, counterexample) = explore(name, start);
    assert!(counterexample.is_none(), "{name}: a property is violated");
    assert!(visited >= min_states, "{name}: only {visited} states, expected {min_states}");
}

/// Asserts that the shortest counterexample violates the given property.
///
/// Used on models with a safety guard disabled, to verify that the model check detects the fault
/// that the guard prevents.
///
/// # Panics
///
/// Panics if no state violates a property, or if the first violation is of another property.
pub fn assert_violates<M: Model>(name: &str, start: M, violation: &str) {
    let (_, counterexample) = explore(name, start);
    let counterexample = counterexample.unwrap_or_else(|| panic!("{name}: no counterexample"));
    assert_eq!(counterexample.violation, violation, "{name}: another property is violated");
}
