//! The budget of extra sends, shared without messages.

use std::time::Duration;

use proptest::prelude::*;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{BudgetTracker, RetryBudget};

const BUDGET: RetryBudget =
    RetryBudget { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) };

/// Greatest excess of extra sends over the budget in any window that ends at an extra send.
fn excess(requests: &[Time], extras: &[Time]) -> f32 {
    let in_window = |times: &[Time], end: Time| {
        let start = end.saturating_sub(BUDGET.window);
        times.iter().filter(|it| start <= **it && **it <= end).count() as f32
    };
    let budget = |end| in_window(requests, end) * BUDGET.ratio + BUDGET.allowance;
    extras.iter().map(|end| in_window(extras, *end) - budget(*end)).fold(f32::MIN, f32::max)
}

/// Greatest excess in any window at all. The requests that count are those of the window, of the
/// one before it, or of the one half a window before it, whichever has most.
fn excess_anywhere(requests: &[Time], extras: &[Time]) -> f32 {
    let count = |times: &[Time], start: i128, end: i128| {
        let of = |at: i128| times.partition_point(|it| (it.as_millis() as i128) < at);
        (of(end) - of(start)) as f32
    };
    let window = BUDGET.window.as_millis() as i128;
    let last = requests.last().map_or(0, |it| it.as_millis() as i128);
    let starts = (-window..=last).step_by(50);
    let excess = starts.map(|start| {
        let earned = [0, window / 2, window]
            .map(|back| count(requests, start - back, start - back + window))
            .into_iter()
            .fold(0.0, f32::max);
        let budget = earned * BUDGET.ratio + BUDGET.allowance;
        count(extras, start, start + window) - budget
    });
    excess.fold(f32::MIN, f32::max)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// A window may begin when a burst has ended, whose requests earned the extra sends in it.
    #[test]
    fn windows_around_a_burst_keep_the_budget(
        count in 1_usize..9,
        phases in prop::collection::vec((1_u64..400, 500_u64..15_000, any::<bool>()), 1..10),
    ) {
        let mut accounts = vec![BudgetTracker::default(); count];
        let (mut now, mut requests, mut extras) = (0_u64, Vec::new(), Vec::new());
        for (per_s, length, is_failing) in phases {
            let end = now + length;
            while now < end {
                now += 1_000 / per_s;
                let at = Duration::from_millis(now);
                let account = &mut accounts[requests.len() % count];
                account.add_request(at, &BUDGET);
                requests.push(at);
                if is_failing && account.allows_retry(at, &BUDGET, 1.0 / count as f32) {
                    account.add_extra_attempt(at, &BUDGET);
                    extras.push(at);
                }
            }
        }
        prop_assert!(excess_anywhere(&requests, &extras) <= 0.0);
    }

    /// However the load moves between instances, and although each wants an extra send for every
    /// request, the sum stays within the budget in every window.
    #[test]
    fn instances_together_keep_the_budget(
        count in 1_usize..12,
        phases in prop::collection::vec((0_usize..12, 1_u64..40, 1_u64..3_000), 1..25),
    ) {
        let mut accounts = vec![BudgetTracker::default(); count];
        let (mut now, mut requests, mut extras) = (0_u64, Vec::new(), Vec::new());
        for (favoured, per_s, length) in phases {
            let end = now + length;
            while now < end {
                now += 1_000 / per_s;
                let at = Duration::from_millis(now);
                let account = &mut accounts[favoured % count];
                account.add_request(at, &BUDGET);
                requests.push(at);
                if account.allows_retry(at, &BUDGET, 1.0 / count as f32) {
                    account.add_extra_attempt(at, &BUDGET);
                    extras.push(at);
                }
            }
        }
        prop_assert!(excess(&requests, &extras) <= 0.0);
    }
}

/// A retry follows a failure and a hedge only a suspicion, so hedges leave a part to retries.
#[test]
fn hedges_leave_a_part_of_the_budget_to_retries() {
    let mut account = BudgetTracker::default();
    let now = Duration::from_secs(1);
    while account.allows_hedge(now, &BUDGET, 1.0) {
        account.add_extra_attempt(now, &BUDGET);
    }
    assert!(account.allows_retry(now, &BUDGET, 1.0));
}

#[test]
fn the_budget_returns_when_the_window_has_passed() {
    let mut account = BudgetTracker::default();
    let start = Duration::from_secs(1);
    while account.allows_retry(start, &BUDGET, 1.0) {
        account.add_extra_attempt(start, &BUDGET);
    }
    assert!(!account.allows_retry(start + BUDGET.window, &BUDGET, 1.0));
    let later = start + BUDGET.window + Duration::from_secs(1);
    assert!(account.allows_retry(later, &BUDGET, 1.0));
}

/// An instance uses its part of the allowance and no more.
#[test]
fn the_allowance_is_divided_by_the_instances() {
    let allowed = |share| {
        let (mut account, now) = (BudgetTracker::default(), Duration::from_secs(1));
        let mut count = 0;
        while account.allows_retry(now, &BUDGET, share) {
            account.add_extra_attempt(now, &BUDGET);
            count += 1;
        }
        count
    };
    assert!(allowed(0.1) * 10 <= 50);
    assert!(allowed(1.0) <= 50);
    assert_eq!(allowed(0.0), 0);
}
