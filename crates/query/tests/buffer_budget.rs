//! Properties of the budget for the buffers of clients, for any sequence of uploads, requests and answers.

use std::{cmp::Reverse, time::Duration};

use proptest::prelude::*;
use rosemarybank_query::buffer_budget::{BufferBudget, BufferKey, BufferUse};

const LIMIT: usize = 1_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Open,
    Receive { client: usize, len: usize },
    Start { client: usize },
    Close { client: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        Just(Step::Open),
        (0..50_usize, 0..400_usize).prop_map(|(client, len)| Step::Receive { client, len }),
        (0..50_usize).prop_map(|client| Step::Start { client }),
        (0..50_usize).prop_map(|client| Step::Close { client }),
    ]
}

/// A client with its buffer, as the process holds it.
#[derive(Clone, Copy, Debug)]
struct Client {
    key: BufferKey,
    usage: BufferUse,
    len: usize,
}

fn sum(clients: &[Client]) -> usize {
    clients.iter().map(|it| it.len).sum()
}

proptest! {
    /// After the releases, the buffers fit into the limit. No request in progress is released, and no buffer
    /// that is smaller than one that stays.
    #[test]
    fn buffers_stay_within_the_limit(steps in prop::collection::vec(step(), 0..200)) {
        let mut budget = BufferBudget::new(LIMIT);
        let mut clients: Vec<Client> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now = Duration::from_millis(number as u64);
            match step {
                Step::Open => {
                    let usage = BufferUse::Releasable;
                    clients.push(Client { key: budget.insert(now), usage, len: 0 });
                }
                Step::Receive { client, len } if client < clients.len() => {
                    let it = &mut clients[client];
                    (it.usage, it.len) = (BufferUse::Releasable, len);
                    budget.update(it.key, now, it.usage, it.len);
                }
                Step::Start { client } if client < clients.len() => {
                    let it = &mut clients[client];
                    if it.usage == BufferUse::Releasable && budget.admits(it.len) {
                        it.usage = BufferUse::Held;
                        budget.update(it.key, now, it.usage, it.len);
                    }
                }
                Step::Close { client } if client < clients.len() => {
                    budget.remove(clients.swap_remove(client).key);
                }
                _ => {}
            }
            while let Some(key) = budget.next_release() {
                let at = clients.iter().position(|it| it.key == key).unwrap();
                let released = clients.swap_remove(at);
                prop_assert_eq!(released.usage, BufferUse::Releasable);
                let others = clients.iter().filter(|it| it.usage == BufferUse::Releasable);
                prop_assert!(others.map(|it| it.len).max().unwrap_or(0) <= released.len);
                budget.remove(key);
            }
            prop_assert_eq!(budget.used(), sum(&clients));
            prop_assert!(budget.used() <= LIMIT);
        }
    }

    /// The order that is kept up to date is that of a search through all buffers.
    #[test]
    fn the_kept_order_is_that_of_a_search(
        changes in prop::collection::vec((0..12_usize, 0..6_usize, any::<bool>()), 0..200),
    ) {
        let mut budget = BufferBudget::new(0);
        let keys: Vec<BufferKey> = (0..12).map(|_| budget.insert(Duration::ZERO)).collect();
        let mut buffers = vec![(BufferUse::Releasable, 0, Duration::ZERO); keys.len()];
        for (number, (at, len, is_held)) in changes.into_iter().enumerate() {
            let now = Duration::from_millis(number as u64);
            let usage = if is_held { BufferUse::Held } else { BufferUse::Releasable };
            budget.update(keys[at], now, usage, len);
            if (buffers[at].0, buffers[at].1) != (usage, len) {
                buffers[at] = (usage, len, now);
            }
            let releasable =
                (0..keys.len()).filter(|it| buffers[*it].0 == BufferUse::Releasable && buffers[*it].1 > 0);
            let first = releasable.min_by_key(|it| (Reverse(buffers[*it].1), buffers[*it].2, keys[*it]));
            prop_assert_eq!(budget.next_release(), first.map(|it| keys[it]));
        }
    }

    /// However many large requests are in progress, a small one may start.
    #[test]
    fn small_requests_start_beside_large_ones(lens in prop::collection::vec(1_000..100_000_usize, 0..500)) {
        let mut budget = BufferBudget::new(1 << 20);
        for len in lens {
            if budget.admits(len) {
                let key = budget.insert(Duration::ZERO);
                budget.update(key, Duration::ZERO, BufferUse::Held, len);
            }
            prop_assert!(budget.admits(400));
        }
    }
}

/// A crowd stops just short of the end of its bodies; a client that still sends is not released before
/// them.
#[test]
fn the_longest_stalled_buffer_is_released_first() {
    let mut budget = BufferBudget::new(100);
    let at = Duration::from_millis;
    let stalled = budget.insert(at(0));
    budget.update(stalled, at(1), BufferUse::Releasable, 60);
    let sending = budget.insert(at(0));
    for len in [20, 40, 60] {
        budget.update(sending, at(len as u64), BufferUse::Releasable, len);
    }
    // An update without a change is no progress.
    budget.update(stalled, at(90), BufferUse::Releasable, 60);
    assert_eq!(budget.next_release(), Some(stalled));
}
