//! Failure domains partitioned from the platform and from each other; configuration after outages
//! and log retention; upstreams that leave or crash.

use {
    crate::builder::{Builder, LONG_WINDOW_MS, call, expected_answer, expected_letter, keyed},
    fernring_core::{
        change::{CONFIG_STREAM, Operation},
        log::LogPage,
    },
    fernring_platform::VmState,
    fernring_standins::{
        cluster::{Cluster, domain_ip, nodes_per_domain},
        deployment::{pipeline, stage, workspace},
        platform::Control,
        upstream::Behaviour,
    },
    std::sync::Arc,
};

/// Short heartbeats, so that nodes discover each other quickly.
const FAST_HEARTBEATS: &str = "[peers]\nheartbeat_ms = 50\nreport_every_ms = 50\n";

fn new_workspace(name: &str) -> Operation {
    Operation::PutWorkspace { name: name.to_owned(), workspace: Arc::new(workspace(1)) }
}

fn partition_domain(cluster: &Cluster, domain: &str) {
    for other in ["a", "b", "c"].iter().filter(|other| **other != domain) {
        cluster.partitions.partition(domain_ip(domain), domain_ip(other));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_domain_serves_and_catches_up() {
    let mut cluster =
        Builder::new().settings(FAST_HEARTBEATS).nodes(nodes_per_domain(2)).start().await;
    let before = cluster.version;
    partition_domain(&cluster, "a");
    let partition = Control { cut: vec![domain_ip("a")], ..Control::default() };
    cluster.control_platform(&partition).await.unwrap();
    cluster.publish(vec![new_workspace("late")]).await.unwrap();
    for node in 2..6 {
        let version = cluster.version;
        let in_force =
            |view: &fernring_standins::cluster::NodeStatus| view.config_version == version;
        cluster.wait_node(node, "the change", in_force).await.unwrap();
    }
    for node in 0..2 {
        assert_eq!(cluster.status(node).await.unwrap().config_version, before);
        let address = cluster.nodes[node].caller_address;
        let answer = cluster.caller.call(address, "answer", &call("x")).await.unwrap();
        assert_eq!(answer.output, Some(expected_answer("x")));
    }
    cluster.partitions.heal();
    cluster.control_platform(&Control::default()).await.unwrap();
    cluster.settle().await.unwrap();
    let letter = keyed("after");
    let mut answer = cluster.caller.call(cluster.nodes[0].caller_address, "letter", &letter).await;
    while answer.as_ref().is_ok_and(|answer| answer.code == 3005) {
        answer =
            cluster.caller.call(cluster.nodes[0].caller_address, "letter", &keyed("after")).await;
    }
    assert_eq!(answer.unwrap().output, Some(expected_letter("after")));
}

#[tokio::test(flavor = "multi_thread")]
async fn partitioned_domain_gets_configuration_from_peers() {
    let mut cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    let partition = Control { cut: vec![domain_ip("a")], ..Control::default() };
    cluster.control_platform(&partition).await.unwrap();
    cluster.publish(vec![new_workspace("late")]).await.unwrap();
    cluster.settle().await.unwrap();
    let lines = cluster.nodes[0].process.events("config_from_peer");
    assert!(!lines.is_empty(), "{:?}", cluster.nodes[0].process.lines());
}

#[tokio::test(flavor = "multi_thread")]
async fn node_started_in_outage_gets_configuration_from_peers() {
    let mut cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    let down = Control { log_down: true, ..Control::default() };
    cluster.control_platform(&down).await.unwrap();
    let node = cluster
        .start_node(fernring_standins::cluster::NodeSpec { failure_domain: "b" })
        .await
        .unwrap();
    cluster.settle().await.unwrap();
    let address = cluster.nodes[node].caller_address;
    let answer = cluster.caller.call(address, "answer", &call("x")).await.unwrap();
    assert_eq!(answer.output, Some(expected_answer("x")));
}

#[tokio::test(flavor = "multi_thread")]
async fn configuration_survives_log_retention() {
    let settings =
        format!("{FAST_HEARTBEATS}[policy]\nclaim_horizon_ms = 500\nclock_skew_ms = 100\n");
    let mut cluster = Builder::new().settings(&settings).start().await;
    // The nodes are configured for a long retention. With a short one, records expire before a
    // snapshot is appended.
    let short = Control { retention_ms: 100, ..Control::default() };
    cluster.control_platform(&short).await.unwrap();
    cluster.wait_log_expired(CONFIG_STREAM).await.unwrap();
    let node = cluster
        .start_node(fernring_standins::cluster::NodeSpec { failure_domain: "c" })
        .await
        .unwrap();
    let version = cluster.version;
    let in_force = |view: &fernring_standins::cluster::NodeStatus| view.config_version >= version;
    cluster.wait_node(node, "the configuration", in_force).await.unwrap();
    let address = cluster.nodes[node].caller_address;
    let answer = cluster.caller.call(address, "answer", &call("x")).await.unwrap();
    assert_eq!(answer.output, Some(expected_answer("x")));
}

#[tokio::test(flavor = "multi_thread")]
async fn node_started_alone_after_retention_finds_snapshot() {
    // With this retention, nodes append a snapshot after 1 s.
    let settings =
        "log_retention_ms = 2000\n[policy]\nclaim_horizon_ms = 500\nclock_skew_ms = 100\n";
    let mut cluster = Builder::new().settings(settings).start().await;
    cluster.wait_snapshot().await.unwrap();
    // From now on, the changes before the snapshot expire.
    let short = Control { retention_ms: 2_000, ..Control::default() };
    cluster.control_platform(&short).await.unwrap();
    let first_change_expired = |page: &LogPage| page.first_offset > 0 && !page.records.is_empty();
    cluster
        .wait_log(CONFIG_STREAM, "the expiry of the first change", first_change_expired)
        .await
        .unwrap();
    cluster.control_platform(&Control::default()).await.unwrap();
    cluster.wait_snapshot().await.unwrap();
    let nodes = cluster.nodes.len();
    for node in 0..nodes {
        cluster.nodes[node].process.kill();
    }
    let node = cluster
        .start_node(fernring_standins::cluster::NodeSpec { failure_domain: "b" })
        .await
        .unwrap();
    cluster.settle_node(node).await.unwrap();
    let address = cluster.nodes[node].caller_address;
    let answer = cluster.caller.call(address, "answer", &call("x")).await.unwrap();
    assert_eq!(answer.output, Some(expected_answer("x")));
}

#[tokio::test(flavor = "multi_thread")]
async fn pipeline_change_affects_only_new_requests() {
    let mut cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    for (name, handle) in cluster.upstreams.clone() {
        if handle.spec.pool == "encoders" {
            let slow = Behaviour { service_ms: 500.0, ..handle.spec.behaviour };
            cluster.control_upstream(&name, &slow).await.unwrap();
        }
    }
    let (caller, address) = (cluster.caller.clone(), cluster.nodes[0].caller_address);
    let old = tokio::spawn(async move { caller.call(address, "answer", &call("old")).await });
    cluster.wait_runs("encoders", |runs| !runs.is_empty()).await.unwrap();
    let short = pipeline(vec![stage("generate", "engines", 5, 1)], LONG_WINDOW_MS);
    let put = Operation::PutPipeline { name: "answer".to_owned(), pipeline: Arc::new(short) };
    cluster.publish(vec![put]).await.unwrap();
    cluster.settle().await.unwrap();
    let new = cluster.caller.call(address, "answer", &call("new")).await.unwrap();
    assert_eq!(new.output.as_deref(), Some("generate(new)"));
    assert_eq!(old.await.unwrap().unwrap().output, Some(expected_answer("old")));
}

async fn send_ten_rounds(cluster: &Cluster) {
    for number in 0..10 {
        for node in &cluster.nodes {
            let input = format!("request {number}");
            let answer = cluster.caller.call(node.caller_address, "answer", &call(&input)).await;
            assert_eq!(answer.unwrap().output, Some(expected_answer(&input)));
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn upstream_leaving_in_vm_list_gets_no_requests() {
    let mut cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    cluster.set_vm_state("retrievers-0", VmState::Leaving).await.unwrap();
    for node in &cluster.nodes {
        node.process.wait_event("vms_leaving");
    }
    let before = cluster.runs("retrievers-0").await.unwrap().len();
    send_ten_rounds(&cluster).await;
    assert_eq!(cluster.runs("retrievers-0").await.unwrap().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_of_leaving_upstream_lose_no_answer() {
    let cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    let leaving = Behaviour { leaving: true, silent: true, ..Behaviour::default() };
    cluster.control_upstream("letters-1", &leaving).await.unwrap();
    for number in 0..10 {
        for node in &cluster.nodes {
            let input = format!("letter {number}");
            let letter = keyed(&input);
            let answer = cluster.caller.call(node.caller_address, "letter", &letter).await.unwrap();
            assert_eq!(answer.output, Some(expected_letter(&input)), "{answer:?}");
        }
    }
    assert_eq!(cluster.pool_runs("letters").await.unwrap().len(), 30);
}

#[tokio::test(flavor = "multi_thread")]
async fn crashed_upstream_loses_no_pure_answer() {
    let mut cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    cluster.kill_upstream("rerankers-2");
    cluster.upstreams.remove("rerankers-2");
    send_ten_rounds(&cluster).await;
}
