//! The shared budget of extra sends.

use {
    fernring_gateway::budget::{Allowance, RetryBudget},
    std::{sync::Arc, time::Duration},
};

fn budget(slack: f64) -> RetryBudget {
    RetryBudget::new(Allowance { ratio: 0.2, slack, window: Duration::from_secs(10) })
}

fn spend_all(budget: &mut RetryBudget, at_s: u64, nodes: usize) -> usize {
    let service: Arc<str> = "s".into();
    let now = Duration::from_secs(at_s);
    (0..10_000).take_while(|_| budget.try_spend(now, &service, 1, nodes)).count()
}

#[test]
fn no_extra_sends_without_requests_or_slack() {
    assert_eq!(spend_all(&mut budget(0.0), 0, 1), 0);
}

#[test]
fn extra_sends_stay_below_ratio_per_window() {
    let mut budget = budget(0.0);
    budget.record_requests(Duration::ZERO, &"s".into(), 100);
    let spent = spend_all(&mut budget, 5, 1);
    assert!((1..=20).contains(&spent), "{spent}");
    assert_eq!(spend_all(&mut budget, 9, 1), 0);
    assert_eq!(
        spend_all(&mut budget, 30, 1),
        0,
        "requests of an earlier window allow no extra sends"
    );
}

#[test]
fn all_nodes_together_stay_below_slack() {
    for nodes in [1, 3, 9] {
        let each = spend_all(&mut budget(58.0), 0, nodes);
        assert!(each * nodes <= 58, "{nodes} nodes spend {each} each");
    }
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = budget(0.0);
    budget.record_requests(Duration::ZERO, &"other".into(), 1_000);
    assert_eq!(spend_all(&mut budget, 0, 1), 0);
}
