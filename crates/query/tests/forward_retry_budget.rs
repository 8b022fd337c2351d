//! Retry budget shared by instances without coordination messages.

use std::time::Duration;

use proptest::prelude::*;
use rosemarybank_protocol::prelude::*;
use rosemarybank_query::forward::{BudgetTracker, RetryBudget};

const BUDGET: RetryBudget =
    RetryBudget { ratio: 0.2, allowance: 50.0, window: Duration::from_secs(10) };

/// Returns the maximum excess of extra attempts over the budget, over all windows that end with an
/// extra attempt.
fn excess(requests: &[Time], extras: &[Time]) -> f32 {
    let in_window = |times: &[Time], end: Time| {
        let start = end.saturating_sub(BUDGET.window);
        times.iter().filter(|it| start <= **it && **it <= end).count() as f32
    };
    let budget = |end| in_window(requests, end) * BUDGET.ratio + BUDGET.allowance;
    extras.iter().map(|end| in_window(extras, *end) - budget(*end)).fold(f32::MIN, f32::max)
}

/// Returns the maximum excess over all windows, at positions 50 ms apart. The budget of a window
/// follows from the requests of that window, of the one half a window earlier or of the previous
/// one, whichever has the most.
fn excess_anywhere(requests: &[Time], extras: &[Time]) -> f32 {
    let count = |times: &[Time], start: i128, end: i128| {
        let count_before = |at: i128| times.partition_point(|it| (it.as_millis() as i128) < at);
        (count_before(end) - count_before(start)) as f32
    };
    let window = BUDGET.window.as_millis() as i128;
    let last = requests.last().map_or(0, |it| it.as_millis() as i128);
    let starts = (-window..=last).step_by(50);
    let excess = starts.map(|start| {
        let earned = [0, window / 2, window]
            .map(|offset| count(requests, start - offset, start - offset + window))
            .into_iter()
            .fold(0.0, f32::max);
        let budget = earned * BUDGET.ratio + BUDGET.allowance;
        count(extras, start, start + window) - budget
    });
    excess.fold(f32::MIN, f32::max)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Extra attempts in a window that starts after a burst are covered by the requests of the
    /// burst.
    #[test]
    fn windows_around_a_burst_stay_within_the_budget(
        count in 1_usize..9,
        phases in prop::collection::vec((1_u64..400, 500_u64..15_000, any::<bool>()), 1..10),
    ) {
        let mut trackers = vec![BudgetTracker::default(); count];
        let (mut now, mut requests, mut extras) = (0_u64, Vec::new(), Vec::new());
        for (per_s, length, is_failing) in phases {
            let end = now + length;
            while now < end {
                now += 1_000 / per_s;
                let at = Duration::from_millis(now);
                let tracker = &mut trackers[requests.len() % count];
                tracker.add_request(at, &BUDGET);
                requests.push(at);
                if is_failing && tracker.allows_retry(at, &BUDGET, 1.0 / count as f32) {
                    tracker.add_extra_attempt(at, &BUDGET);
                    extras.push(at);
                }
            }
        }
        prop_assert!(excess_anywhere(&requests, &extras) <= 0.0);
    }

    /// The extra attempts of all instances together stay within the budget in every window, however
    /// the load moves between the instances, and even if every request wants an extra attempt.
    #[test]
    fn all_instances_together_stay_within_the_budget(
        count in 1_usize..12,
        phases in prop::collection::vec((0_usize..12, 1_u64..40, 1_u64..3_000), 1..25),
    ) {
        let mut trackers = vec![BudgetTracker::default(); count];
        let (mut now, mut requests, mut extras) = (0_u64, Vec::new(), Vec::new());
        for (instance, per_s, length) in phases {
            let end = now + length;
            while now < end {
                now += 1_000 / per_s;
                let at = Duration::from_millis(now);
                let tracker = &mut trackers[instance % count];
                tracker.add_request(at, &BUDGET);
                requests.push(at);
                if tracker.allows_retry(at, &BUDGET, 1.0 / count as f32) {
                    tracker.add_extra_attempt(at, &BUDGET);
                    extras.push(at);
                }
            }
        }
        prop_assert!(excess(&requests, &extras) <= 0.0);
    }
}

/// Hedges leave part of the budget to retries, because a retry follows an actual failure and a
/// hedge only a late reply.
#[test]
fn hedges_leave_a_part_of_the_budget_to_retries() {
    let mut tracker = BudgetTracker::default();
    let now = Duration::from_secs(1);
    while tracker.allows_hedge(now, &BUDGET, 1.0) {
        tracker.add_extra_attempt(now, &BUDGET);
    }
    assert!(tracker.allows_retry(now, &BUDGET, 1.0));
}

#[test]
fn the_budget_recovers_after_a_window() {
    let mut tracker = BudgetTracker::default();
    let start = Duration::from_secs(1);
    while tracker.allows_retry(start, &BUDGET, 1.0) {
        tracker.add_extra_attempt(start, &BUDGET);
    }
    assert!(!tracker.allows_retry(start + BUDGET.window, &BUDGET, 1.0));
    let later = start + BUDGET.window + Duration::from_secs(1);
    assert!(tracker.allows_retry(later, &BUDGET, 1.0));
}

/// An instance uses no more than its share of the allowance.
#[test]
fn the_allowance_is_divided_among_the_instances() {
    let allowed = |share| {
        let (mut tracker, now) = (BudgetTracker::default(), Duration::from_secs(1));
        let mut count = 0;
        while tracker.allows_retry(now, &BUDGET, share) {
            tracker.add_extra_attempt(now, &BUDGET);
            count += 1;
        }
        count
    };
    assert!(allowed(0.1) * 10 <= 50);
    assert!(allowed(1.0) <= 50);
    assert_eq!(allowed(0.0), 0);
}

/// Guards against a window that changes with the settings: slices that were numbered by the old one lie in
/// the future or are forgotten.
#[test]
fn a_new_window_keeps_what_was_used() {
    for window in [1, 5, 9, 11, 20, 100, 3_600].map(Duration::from_secs) {
        let mut tracker = BudgetTracker::default();
        let mut now = Duration::from_secs(1_000);
        let allowed = |tracker: &mut BudgetTracker, now: Time, budget: &RetryBudget| {
            let mut count = 0;
            while tracker.allows_retry(now, budget, 1.0) {
                tracker.add_extra_attempt(now, budget);
                count += 1;
            }
            count
        };
        assert!(allowed(&mut tracker, now, &BUDGET) > 0);
        now += Duration::from_millis(10);
        let changed = RetryBudget { window, ..BUDGET };
        assert_eq!(allowed(&mut tracker, now, &changed), 0, "{window:?}");
        assert_eq!(allowed(&mut tracker, now, &BUDGET), 0, "{window:?}");
        now += 3 * window.max(BUDGET.window);
        assert!(allowed(&mut tracker, now, &changed) > 0, "{window:?}");
    }
}

proptest! {
    /// No sequence of settings, requests and pauses ends in a panic.
    #[test]
    fn any_sequence_of_windows_is_survived(
        steps in prop::collection::vec((0_u64..20_000, 0_u64..200_000, any::<bool>()), 1..60),
    ) {
        let mut tracker = BudgetTracker::default();
        let mut now = Time::ZERO;
        for (pause, window, is_request) in steps {
            now += Duration::from_millis(pause);
            let budget = RetryBudget { window: Duration::from_millis(window), ..BUDGET };
            if is_request {
                tracker.add_request(now, &budget);
            } else if tracker.allows_hedge(now, &budget, 0.5) {
                tracker.add_extra_attempt(now, &budget);
            }
        }
    }
}
