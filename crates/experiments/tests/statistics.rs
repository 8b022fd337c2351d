//! Tests of statistics, parsers, verdicts and the calculations of scenarios.

use std::time::Duration;

use rosemarybank_experiments::{
    bundle_text::{BundleOptions, bundle_text},
    metrics::{Scrape, metric_sum},
    proc_stat::{parse_cpu_time, parse_resident_bytes},
    render::{format_number, verdict_line},
    report::{Bound, Samples, Verdict},
    scenarios::{
        lost_data_centre::{LossImpact, Window},
        straggler::straggler_indices,
    },
    site_profile::SiteProfile,
    statistics::Spread,
};

/// Guards against a median that depends on the order of the values or includes a NaN.
#[test]
fn spread_ignores_order_and_nan_values() {
    let spread = Spread::of(&[4.0, f64::NAN, 1.0, 3.0, 2.0]).unwrap();
    assert_eq!((spread.median, spread.min, spread.max, spread.count), (2.5, 1.0, 4.0, 4));
    assert_eq!(Spread::of(&[f64::NAN]), None);
}

/// Guards against a sum that includes a metric with a common name prefix or misreads a label with
/// braces.
#[test]
fn metric_sum_covers_all_labels_of_one_metric() {
    let text = "# TYPE a_total counter\na_total{s=\"x}y\"} 3\na_total{s=\"z\"} 4\na_total_b 9\n";
    assert_eq!(metric_sum(text, "a_total"), Some(7.0));
    assert_eq!(metric_sum(text, "c_total"), None);
}

/// Guards against reporting an absent counter as an increase of 0.
#[test]
fn increase_of_an_absent_counter_is_none() {
    let scrape = |text: &str| Scrape::new(vec![text.to_owned(), "a 1\n".to_owned()]);
    let (before, after) = (scrape("b 2\n"), scrape("a 4\nb 7\n"));
    assert_eq!(after.increase(&before, "a"), Some(4.0));
    assert_eq!(after.increase(&before, "b"), Some(5.0));
    assert_eq!(after.increase(&before, "c"), None);
}

/// Guards against misparsed fields when a process name contains spaces or parentheses.
#[test]
fn cpu_time_is_parsed_after_any_process_name() {
    let text = "17 (a b) c) S 1 1 1 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 1 0 1 1 1";
    assert_eq!(parse_cpu_time(text), Some(Duration::from_secs(3)));
    assert_eq!(parse_cpu_time("17 (a) S 1"), None);
    assert_eq!(parse_resident_bytes("VmPeak:\t 9 kB\nVmRSS:\t  12 kB\n"), Some(12_288));
}

/// Guards against a target that counts as met without a measurement or beyond its limit.
#[test]
fn a_verdict_requires_a_value_within_the_bound() {
    let met = |value, bound| Verdict::new("t", value, bound, 1.5).met;
    assert!(met(Some(1.5), Bound::AtMost) && !met(Some(1.6), Bound::AtMost));
    assert!(met(Some(1.5), Bound::AtLeast) && !met(Some(1.4), Bound::AtLeast));
    assert!(!met(None, Bound::AtMost) && !met(Some(f64::NAN), Bound::AtLeast));
    let line = verdict_line(&Verdict::new("ratio", Some(2.0), Bound::AtMost, 1.5));
    assert_eq!(line, "**missed**: ratio: 2.000, target at most 1.500");
    assert_eq!(
        (format_number(1234.5), format_number(0.0123)),
        ("1234".to_owned(), "0.012".to_owned())
    );
}

/// Guards against mixing the values of different cases or measures.
#[test]
fn samples_are_grouped_by_case_and_measure() {
    let mut samples = Samples::default();
    samples.add("a", "ms", 1.0);
    samples.add("b", "ms", 9.0);
    samples.add("a", "ms", 3.0);
    assert_eq!(samples.median("a", "ms"), Some(2.0));
    assert_eq!(samples.median("a", "%"), None);
    assert_eq!(samples.rows().len(), 2);
}

/// Guards against a choice of stragglers that slows down more than one replica of a shard.
#[test]
fn one_replica_in_ten_is_a_straggler_and_no_shard_has_two() {
    for round in 0..10 {
        let chosen: Vec<_> = (0..3).flat_map(|it| straggler_indices(25, it, round)).collect();
        let mut shards = chosen.clone();
        shards.sort_unstable();
        shards.dedup();
        assert!((7..=8).contains(&chosen.len()), "{chosen:?}");
        assert_eq!(shards.len(), chosen.len(), "{chosen:?}");
    }
}

fn window(end_ms: f64, p99_ms: f64, coverage: f64) -> Window {
    Window { end_ms, p99_ms, coverage, requests: 100 }
}

/// Guards against reporting a recovery although a later window, or the last one, is degraded.
#[test]
fn recovery_time_is_the_end_of_the_last_degraded_window() {
    let mut windows = vec![
        window(-600.0, 10.0, 1.0),
        window(-100.0, 12.0, 1.0),
        window(400.0, 90.0, 0.9),
        window(900.0, 12.0, 1.0),
        window(1_400.0, 40.0, 1.0),
        window(1_900.0, 16.0, 1.0),
    ];
    let impact = LossImpact::from_windows(&windows).unwrap();
    assert_eq!((impact.p99_before_ms, impact.p99_max_ms), (11.0, 90.0));
    assert_eq!((impact.coverage_loss_ms, impact.min_coverage), (400.0, 0.9));
    assert_eq!(impact.recovered_ms, Some(1_400.0));
    assert!((impact.lost_answers - 10.0).abs() < 1e-9, "{impact:?}");
    windows.push(window(2_400.0, 12.0, 0.99));
    assert_eq!(LossImpact::from_windows(&windows).unwrap().recovered_ms, None);
    assert_eq!(LossImpact::from_windows(&windows[..2]), None);
}

/// Guards against a bundle whose upstream names differ from those of the topology.
#[test]
fn bundle_contains_the_upstreams_of_the_topology() {
    for profile in [SiteProfile::kavango(1), SiteProfile::registry(1)] {
        let text = bundle_text(&profile, BundleOptions::default());
        let replicas = profile.topology(130).replicas();
        assert_eq!(replicas.len(), 75);
        for replica in replicas {
            assert!(text.contains(&format!("name: {},", replica.upstream)), "{text}");
        }
    }
}
