//! Pool queues, workspace limits, and the queue-splitting model of the given paper.

use {
    fernring_core::ids::RequestId,
    fernring_policy::{
        queue::{PoolQueue, QueueOrder},
        workspace_limits::{WorkspaceDemand, WorkspaceLimits},
    },
    slotmap::SlotMap,
    std::{sync::Arc, time::Duration},
};

fn request_ids(count: usize) -> Vec<RequestId> {
    let mut map: SlotMap<RequestId, ()> = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

#[test]
fn flooding_workspace_does_not_delay_a_small_one() {
    let ids = request_ids(101);
    let (large, small): (Arc<str>, Arc<str>) = ("large".into(), "small".into());
    let mut queue = PoolQueue::new(QueueOrder::FairDeadline);
    for id in &ids[..100] {
        queue.push(*id, &large, 1, Duration::from_secs(1));
    }
    queue.push(ids[100], &small, 1, Duration::from_secs(9));
    let popped: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    let position = popped.iter().position(|id| *id == ids[100]).unwrap();
    assert!(position <= 1, "the request of the small workspace came out at position {position}");
    assert_eq!(popped.len(), 101);
}

#[test]
fn weights_order_workspaces_and_deadlines_order_requests() {
    let ids = request_ids(60);
    let (heavy, light): (Arc<str>, Arc<str>) = ("heavy".into(), "light".into());
    let mut queue = PoolQueue::new(QueueOrder::FairDeadline);
    for (index, id) in ids.iter().enumerate() {
        let (workspace, weight) = if index < 30 { (&heavy, 2) } else { (&light, 1) };
        queue.push(*id, workspace, weight, Duration::from_secs(100 - index as u64));
    }
    let popped: Vec<_> = (0..30).filter_map(|_| queue.pop()).collect();
    let of_heavy: Vec<_> = popped.iter().filter(|id| ids[..30].contains(id)).collect();
    assert!(
        (19..=21).contains(&of_heavy.len()),
        "{} of the first 30 requests are of the heavy workspace",
        of_heavy.len()
    );
    assert_eq!(*of_heavy[0], ids[29], "the earliest deadline must come first");
}

#[test]
fn removed_request_is_not_popped() {
    let ids = request_ids(3);
    let workspace: Arc<str> = "one".into();
    let mut queue = PoolQueue::new(QueueOrder::FairDeadline);
    let places: Vec<_> =
        ids.iter().map(|id| queue.push(*id, &workspace, 1, Duration::from_secs(1))).collect();
    queue.remove(&places[1]);
    queue.remove(&places[1]);
    assert_eq!(queue.len(), 2);
    let popped: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    assert_eq!(popped, [ids[0], ids[2]]);
}

#[test]
fn limit_is_divided_by_demand_and_holds_in_sum() {
    let workspace: Arc<str> = "one".into();
    let mut nodes = [WorkspaceLimits::default(), WorkspaceLimits::default()];
    let mut admitted = [0_u32; 2];
    // Node 0 receives 90 requests per second, node 1 receives 30; both share a limit of 60.
    for tick in 0..12_000_u64 {
        let now = Duration::from_millis(tick);
        for (index, every) in [(0, 11), (1, 33)] {
            let arrives = tick % every == 0;
            if arrives && nodes[index].admit(now, &workspace, 60).is_ok() && tick >= 2_000 {
                admitted[index] += 1;
            }
        }
        if tick % 500 == 0 {
            let demand: Vec<Vec<WorkspaceDemand>> =
                nodes.iter_mut().map(|node| node.demand(now)).collect();
            nodes[0].set_peer_demand(2, &demand[1]);
            nodes[1].set_peer_demand(2, &demand[0]);
        }
    }
    let per_s = admitted.map(|count| f64::from(count) / 10.0);
    assert!((per_s[0] + per_s[1] - 60.0).abs() < 4.0, "{per_s:?}");
    assert!(per_s[0] > 1.9 * per_s[1], "{per_s:?}");
}

/// A component in the model of the given paper, section "Modeling the Problem".
///
/// The model has four connections, a slow component of 8 ticks and a fast one of 1 tick. Both
/// always have requests waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Component {
    Fast,
    Slow,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct Started {
    fast: u32,
    slow: u32,
}

const TICKS: u32 = 64;
const CONNECTIONS: usize = 4;

/// Runs the model. `choose` picks the component whose request a free connection takes next.
fn run_model(mut choose: impl FnMut(usize, u32) -> Component) -> Started {
    let mut free_at = [0; CONNECTIONS];
    let mut started = Started::default();
    for tick in 0..TICKS / CONNECTIONS as u32 {
        for (connection, free_at) in free_at.iter_mut().enumerate() {
            if *free_at > tick {
                continue;
            }
            match choose(connection, tick) {
                Component::Fast => {
                    started.fast += 1;
                    *free_at = tick + 1;
                }
                Component::Slow => {
                    started.slow += 1;
                    *free_at = tick + 8;
                }
            }
        }
    }
    started
}

#[test]
fn queue_splitting_model_matches_the_paper() {
    let mut requests = 0;
    let round_robin = run_model(|_, _| {
        requests += 1;
        if requests % 2 == 1 { Component::Fast } else { Component::Slow }
    });
    assert_eq!(round_robin, Started { fast: 8, slow: 8 });

    let own_component = |connection| if connection < 2 { Component::Fast } else { Component::Slow };
    let partitioned = run_model(|connection, _| own_component(connection));
    assert_eq!(partitioned, Started { fast: 32, slow: 4 });

    // The fast queue is empty at tick 4, so its connections take slow requests until tick 12.
    let starved = run_model(
        |connection, tick| if tick == 4 { Component::Slow } else { own_component(connection) },
    );
    assert_eq!(starved, Started { fast: 16, slow: 6 });
}
