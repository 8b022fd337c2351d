//! Time of releasing a crowd of buffers, by their number, with the order that the budget keeps and with a search
//! through all buffers.
//!
//! ```sh
//! cargo run --release -p rosemarybank-query --example buffer_budget_cost
//! ```

use std::{
    cmp::Reverse,
    hint::black_box,
    time::{Duration, Instant},
};

use rosemarybank_query::buffer_budget::{BufferBudget, BufferUse};

const ROUNDS: usize = 5;

fn main() {
    println!("buffers  kept order, ns a buffer (min to max)  search, ns a buffer (min to max)");
    for count in [100, 1_000, 4_000] {
        let (mut kept, mut searched) = (Vec::new(), Vec::new());
        for round in 0..ROUNDS {
            kept.push(time(count, || release_by_order(count, round)));
            searched.push(time(count, || release_by_search(count, round)));
        }
        println!("{count:>7}  {}  {}", summary(kept), summary(searched));
    }
}

/// Fills a budget without room with buffers and releases them all.
fn release_by_order(count: usize, round: usize) {
    let mut budget = BufferBudget::new(0);
    for number in 0..count {
        let key = budget.insert(Duration::ZERO);
        budget.update(key, Duration::ZERO, BufferUse::Releasable, len(number, round));
    }
    while let Some(key) = budget.next_release() {
        budget.remove(black_box(key));
    }
}

fn release_by_search(count: usize, round: usize) {
    let mut buffers: Vec<usize> = (0..count).map(|it| len(it, round)).collect();
    while let Some((at, _)) = buffers.iter().enumerate().min_by_key(|it| Reverse(it.1)) {
        buffers.swap_remove(black_box(at));
    }
}

/// Length of a buffer; any sequence without an order.
fn len(number: usize, round: usize) -> usize {
    1 + (number * 7_919 + round * 104_729) % 65_536
}

/// Returns the nanoseconds a buffer.
fn time(count: usize, f: impl FnOnce()) -> u128 {
    let start = Instant::now();
    f();
    start.elapsed().as_nanos() / count as u128
}

fn summary(mut samples: Vec<u128>) -> String {
    samples.sort_unstable();
    let (min, max) = (samples[0], samples[samples.len() - 1]);
    format!("{} ({min} to {max})", samples[samples.len() / 2])
}
