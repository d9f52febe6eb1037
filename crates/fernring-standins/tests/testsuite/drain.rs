//! Graceful shutdown interrupts no request.

use {
    crate::builder::{Builder, call, expected_answer, expected_letter, keyed},
    fernring_standins::{
        cluster::{NodeSpec, nodes_per_domain},
        upstream::Behaviour,
    },
    nix::sys::signal::Signal,
};

const QUICK_DRAIN: &str = "[drain]\nlinger_ms = 50\n[peers]\nheartbeat_ms = 50\n";

fn slow_engine() -> Behaviour {
    Behaviour { service_ms: 1_500.0, parts: 20, spread: 0.0, ..Behaviour::default() }
}

#[tokio::test(flavor = "multi_thread")]
async fn sigterm_finishes_requests_and_streams_in_flight() {
    let mut cluster = Builder::new().settings(QUICK_DRAIN).engine(slow_engine()).start().await;
    let address = cluster.nodes[0].caller_address;
    let mut streams = Vec::new();
    let mut letters = Vec::new();
    for number in 0..5 {
        let caller = cluster.caller.clone();
        let input = format!("stream {number}");
        streams.push(tokio::spawn(async move {
            (expected_answer(&input), caller.stream(address, "answer", &call(&input)).await)
        }));
        let caller = cluster.caller.clone();
        let input = format!("letter {number}");
        letters.push(tokio::spawn(async move {
            (expected_letter(&input), caller.call(address, "letter", &keyed(&input)).await)
        }));
    }
    cluster.wait_runs("engines", |runs| runs.len() >= 10).await.unwrap();
    cluster.nodes[0].process.signal(Signal::SIGTERM).unwrap();
    cluster.nodes[0].process.wait_event("drain");

    let refused = cluster.caller.call(address, "answer", &call("late")).await.unwrap();
    assert_eq!((refused.code, refused.class.as_str()), (3000, "NOT_RUN"));
    let ready: serde_json::Value = cluster.caller.get(address, "/readyz").await.unwrap();
    assert_eq!(ready["ready"], false);

    for stream in streams {
        let (expected, streamed) = stream.await.unwrap();
        let streamed = streamed.unwrap();
        assert_eq!(streamed.parts.concat(), expected);
        assert_eq!(streamed.answer.unwrap().output, Some(expected));
    }
    for answer in letters {
        let (expected, answer) = answer.await.unwrap();
        assert_eq!(answer.unwrap().output, Some(expected));
    }
    let status = cluster.nodes[0].process.wait().unwrap();
    assert!(status.success(), "{status}");
    let runs = cluster.pool_runs("letters").await.unwrap();
    assert_eq!(runs.len(), 5, "{runs:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_are_replaced_while_requests_run() {
    let mut cluster = Builder::new().settings(QUICK_DRAIN).nodes(nodes_per_domain(1)).start().await;
    let mut answers = Vec::new();
    for round in 0..3 {
        let fresh = cluster.start_node(NodeSpec { failure_domain: "a" }).await.unwrap();
        cluster.settle_node(fresh).await.unwrap();
        let old = if round == 0 { 0 } else { fresh - 1 };
        for number in 0..10 {
            let input = format!("request {round}.{number}");
            let (caller, address) = (cluster.caller.clone(), cluster.nodes[old].caller_address);
            answers.push(tokio::spawn(async move {
                (expected_answer(&input), caller.call(address, "answer", &call(&input)).await)
            }));
        }
        let accepted =
            |view: &fernring_standins::cluster::NodeStatus| view.counters["accepted"] >= 10;
        cluster.wait_node(old, "ten requests", accepted).await.unwrap();
        cluster.nodes[old].process.signal(Signal::SIGTERM).unwrap();
        assert!(cluster.nodes[old].process.wait().unwrap().success());
    }
    for answer in answers {
        let (expected, answer) = answer.await.unwrap();
        assert_eq!(answer.unwrap().output, Some(expected));
    }
}
