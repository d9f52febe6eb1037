//! The shared budget of extra sends.

use {
    fernring_gateway::budget::{Allowance, RetryBudget},
    std::{sync::Arc, time::Duration},
};

fn budget(slack: f64) -> RetryBudget {
    RetryBudget::new(
        Allowance { ratio: 0.2, slack, window: Duration::from_secs(10) },
        Duration::ZERO,
    )
}

fn spend_all(budget: &mut RetryBudget, at_s: u64, nodes: usize) -> usize {
    let service: Arc<str> = "s".into();
    let now = Duration::from_secs(at_s);
    (0..10_000).take_while(|_| budget.try_spend(now, &service, 1, Some(nodes))).count()
}

#[test]
fn no_extra_sends_without_requests_or_slack() {
    assert_eq!(spend_all(&mut budget(0.0), 0, 1), 0);
}

#[test]
fn extra_sends_stay_below_ratio_per_window() {
    let mut budget = budget(0.0);
    for start_s in [0, 20] {
        let requested_at = Duration::from_secs(start_s);
        budget.record_requests(requested_at, &"s".into(), 100);
        let spent = spend_all(&mut budget, start_s + 5, 1);
        assert!((1..=20).contains(&spent), "{spent}");
        assert_eq!(spend_all(&mut budget, start_s + 9, 1), 0);
    }
    assert_eq!(
        spend_all(&mut budget, 50, 1),
        0,
        "requests of an earlier window allow no extra sends"
    );
}

#[test]
fn all_nodes_together_stay_below_slack() {
    for nodes in [1, 3, 9] {
        for at_s in [0, 20] {
            let each = spend_all(&mut budget(58.0), at_s, nodes);
            assert!(each * nodes <= 58, "{nodes} nodes spend {each} each at {at_s} s");
        }
    }
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = budget(0.0);
    budget.record_requests(Duration::ZERO, &"other".into(), 1_000);
    assert_eq!(spend_all(&mut budget, 0, 1), 0);
}

/// Nodes whose requests arrive evenly and that spend all they may just before all of them end, and after they have started
/// again. Returns the most by which their extra sends exceed what is allowed in a window.
fn excess_over_restart(nodes: usize, requests_per_s: u64, killed_at_s: f64, down_s: f64) -> f64 {
    const WINDOW_S: f64 = 10.0;
    let allowance = Allowance { ratio: 0.2, slack: 58.0, window: Duration::from_secs(10) };
    let (step_s, started_at_s) = (1.0 / requests_per_s as f64, killed_at_s + down_s);
    let (mut requests, mut sends) = (Vec::new(), Vec::new());
    let new_budgets = |at_s: f64| -> Vec<_> {
        let new = |_| RetryBudget::new(allowance, Duration::from_secs_f64(at_s));
        (0..nodes).map(new).collect()
    };
    let mut budgets = new_budgets(0.0);
    let mut has_restarted = false;
    for number in 0.. {
        let at_s = number as f64 * step_s;
        if at_s > started_at_s + 2.0 * WINDOW_S {
            break;
        }
        requests.push(at_s);
        if (killed_at_s..started_at_s).contains(&at_s) {
            continue;
        }
        if at_s >= started_at_s && !has_restarted {
            budgets = new_budgets(started_at_s);
            has_restarted = true;
        }
        let (now, service) = (Duration::from_secs_f64(at_s), "s".into());
        budgets[number % nodes].record_requests(now, &service, 1);
        let is_last_before = at_s < killed_at_s && at_s + 2.0 * step_s >= killed_at_s;
        if !is_last_before && !has_restarted {
            continue;
        }
        for budget in &mut budgets {
            sends.extend(
                (0..10_000)
                    .take_while(|_| budget.try_spend(now, &service, 1, Some(nodes)))
                    .map(|_| at_s),
            );
        }
    }
    let count = |times: &[f64], from: f64| {
        times.iter().filter(|at| (from..from + WINDOW_S).contains(*at)).count() as f64
    };
    let excess = |from: &f64| {
        let counted = [0.0, 0.5, 1.0].map(|part| count(&requests, from - part * WINDOW_S));
        let counted = counted.into_iter().fold(0.0, f64::max);
        count(&sends, *from) - allowance.ratio * counted - allowance.slack
    };
    requests.iter().map(excess).fold(f64::MIN, f64::max)
}

#[test]
fn node_that_knows_no_number_of_nodes_spends_no_slack() {
    for at_s in [0, 20] {
        let now = Duration::from_secs(at_s);
        assert!(!budget(58.0).try_spend(now, &"s".into(), 1, None), "at {at_s} s");
    }
}

#[test]
fn extra_sends_before_and_after_the_end_of_all_nodes_exceed_the_allowance() {
    for nodes in [1, 3, 9] {
        for requests_per_s in [5, 50, 200] {
            for down_s in [0.0, 1.0, 4.0] {
                let excess = excess_over_restart(nodes, requests_per_s, 20.0, down_s);
                assert!(
                    excess <= 0.0,
                    "{nodes} nodes, {requests_per_s} requests a second, {down_s} s down: {excess}"
                );
            }
        }
    }
}
