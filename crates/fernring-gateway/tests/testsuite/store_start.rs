//! Simulates, in virtual time, the first reads of the store by all nodes of a fleet that start at
//! once while responses for the previous processes still wait for the store's link. The store sends
//! its responses one after the other, also those that their callers have abandoned, and refuses
//! reads while more than two seconds of responses wait.

use {
    fernring_gateway::store_loops::TailedTopic,
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::{cmp::Reverse, collections::BinaryHeap, ops::Range, time::Duration},
};

/// What the store sends in a second to all readers together, and when it refuses.
const STORE_BYTES_PER_S: f64 = 80e6;
const STORE_QUEUE_MAX: Duration = Duration::from_secs(2);
const REFUSAL_TIME: Duration = Duration::from_millis(5);
/// How long a node waits for the head of a response, doubled with each timeout in a row, as in the
/// store's client.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
const LATE_RESPONSE_TIMEOUT_MAX: Duration = Duration::from_millis(2_500);
/// Pauses of a node after a failed call, as in `StoreLoops`.
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(250);
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(700);
const STAND_IN_RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause between the repeated reads of the nodes' records by any two nodes, once all are known.
const NODES_RETRY_PAUSE: Duration = Duration::from_micros(2_750);
/// Within this time of each other all nodes start.
const START_SPREAD: Range<Duration> = Duration::ZERO..Duration::from_millis(300);
/// Time until a node knows its peers.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(1);
/// Users' bound on the time from the start of all nodes until they serve again.
const RECOVERY_MAX: Duration = Duration::from_secs(12);

/// What a node reads first, in the order of `SIZES`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum FirstRead {
    Config,
    Upstreams,
    Nodes,
}

const FIRST_READS: [FirstRead; 3] = [FirstRead::Config, FirstRead::Upstreams, FirstRead::Nodes];
/// Bytes of the configuration and of the first page of each other topic.
const SIZES: [f64; 3] = [107e3, 150e3, 27e3];

/// Returns the longest pause between two tries of a node that has no state yet.
fn pause_max(read: FirstRead, known_nodes: u32) -> Duration {
    let of_topic = |topic: TailedTopic| topic.retry_pause(0) * known_nodes;
    match read {
        FirstRead::Config => STAND_IN_RETRY_PAUSE_MAX.max(of_topic(TailedTopic::Config)),
        FirstRead::Upstreams => STAND_IN_RETRY_PAUSE_MAX.max(of_topic(TailedTopic::Upstreams)),
        FirstRead::Nodes => RETRY_PAUSE_MAX.max(NODES_RETRY_PAUSE * known_nodes),
    }
}

/// Returns when a node first has a configuration from the store, if any does within a minute.
fn first_config_at(seed: u64, nodes: u32) -> Option<Duration> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut calls = BinaryHeap::new();
    for node in 0..nodes {
        let at = random.random_range(START_SPREAD);
        let call = |read| Reverse((at, node, read, RETRY_PAUSE_MIN, RESPONSE_TIMEOUT));
        calls.extend(FIRST_READS.map(call));
    }
    // The responses to calls of the processes that have ended.
    let mut store_sends_until = STORE_QUEUE_MAX;
    while let Some(Reverse((now, node, read, pause, mut timeout))) = calls.pop() {
        if now > Duration::from_secs(60) {
            return None;
        }
        let failed_at = if store_sends_until > now + STORE_QUEUE_MAX {
            now + REFUSAL_TIME
        } else {
            let begins_at = store_sends_until.max(now);
            let bytes = SIZES[read as usize];
            store_sends_until = begins_at + Duration::from_secs_f64(bytes / STORE_BYTES_PER_S);
            if begins_at <= now + timeout {
                match read {
                    FirstRead::Config => return Some(store_sends_until),
                    // Others hold what this node has read; it doesn't read again.
                    FirstRead::Upstreams | FirstRead::Nodes => continue,
                }
            }
            let abandoned_at = now + timeout;
            timeout = (timeout * 2).min(LATE_RESPONSE_TIMEOUT_MAX);
            abandoned_at
        };
        let known_nodes = if now < PEER_DISCOVERY_TIME { 1 } else { nodes };
        let pause_max = pause_max(read, known_nodes);
        let retry_at = failed_at + pause.min(pause_max).mul_f64(random.random_range(0.5..1.5));
        calls.push(Reverse((retry_at, node, read, (pause * 2).min(pause_max), timeout)));
    }
    None
}

/// Guards against a fleet that keeps the store overloaded with the first reads of its nodes, whose
/// responses are whole pages, and therefore never gets a configuration after the end of all nodes.
#[test]
fn fleet_without_state_gets_configuration_from_busy_store() {
    for seed in 1..=3 {
        for nodes in [9, 86, 295, 986, 2_000] {
            let first = first_config_at(seed, nodes);
            println!("{nodes} nodes, seed {seed}: first configuration {first:?}");
            assert!(
                first.is_some_and(|at| at <= RECOVERY_MAX),
                "{nodes} nodes, seed {seed}: first configuration {first:?}"
            );
        }
    }
}
