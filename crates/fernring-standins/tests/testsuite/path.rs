//! The complete path of a request: from the caller through a node and the stages of a pipeline, and
//! the answer back.

use {
    crate::builder::{Builder, call, expected_answer, expected_letter, keyed},
    fernring_standins::{caller::Call, process::value_of, upstream::Behaviour},
};

#[tokio::test(flavor = "multi_thread")]
async fn request_passes_every_stage() {
    // Without hedging, each stage has exactly one route line: on a busy machine a slow attempt
    // could otherwise get a hedge, which logs a second one.
    let cluster = Builder::new().settings("[policy]\nhedging = false\n").start().await;
    let node = &cluster.nodes[0];
    let answer = cluster.caller.call(node.caller_address, "answer", &call("hello")).await.unwrap();
    assert_eq!((answer.code, answer.class.as_str()), (1000, "ANSWERED"));
    assert_eq!(answer.output, Some(expected_answer("hello")));

    let finish = node.process.wait_event("finish");
    let request = value_of(&finish, "request").unwrap();
    let routes = node.process.events("route");
    let stages: Vec<_> = routes
        .iter()
        .filter(|line| value_of(line, "request") == Some(request))
        .map(|line| value_of(line, "stage").unwrap())
        .collect();
    assert_eq!(stages, ["encode", "retrieve", "rerank", "generate"]);
    assert!(routes.iter().all(|line| value_of(line, "upstream").is_some()));
    assert!(routes.iter().all(|line| value_of(line, "why").is_some()));
}

#[tokio::test(flavor = "multi_thread")]
async fn streamed_answer_is_complete_in_any_part_order() {
    let engine = Behaviour {
        parts: 6,
        shuffle: true,
        duplicate: true,
        misdirect: true,
        ..Behaviour::default()
    };
    let cluster = Builder::new().engine(engine).start().await;
    let node = cluster.nodes[1].caller_address;
    let streamed = cluster.caller.stream(node, "answer", &call("hello")).await.unwrap();
    assert_eq!(streamed.parts.concat(), expected_answer("hello"));
    assert!(streamed.parts.len() > 1, "{:?}", streamed.parts);
    let answer = streamed.answer.unwrap();
    assert_eq!(answer.code, 1000);
    assert_eq!(answer.output, Some(expected_answer("hello")));
    let view = cluster.status(1).await.unwrap();
    assert!(view.counters["parts_misdirected"] >= 1);
    assert!(view.counters["parts_duplicate"] >= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn letter_sent_repeatedly_runs_once() {
    let cluster = Builder::new().start().await;
    let letter = keyed("dear member");
    for node in &cluster.nodes {
        let answer = cluster.caller.call(node.caller_address, "letter", &letter).await.unwrap();
        assert_eq!(answer.output, Some(expected_letter("dear member")), "{answer:?}");
    }
    let runs = cluster.pool_runs("letters").await.unwrap();
    assert_eq!(runs.len(), 1, "{runs:?}");

    let other = Call { input: "another letter".to_owned(), ..letter };
    let answer = cluster.caller.call(cluster.nodes[0].caller_address, "letter", &other).await;
    assert_eq!(answer.unwrap().code, 2010, "the same key for another letter");
}

#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_needs_key_and_runs_once() {
    let cluster = Builder::new().start().await;
    let node = cluster.nodes[0].caller_address;
    let without_key = Call { non_idempotent: true, ..call("note") };
    let answer = cluster.caller.call(node, "answer", &without_key).await.unwrap();
    assert_eq!((answer.code, answer.class.as_str()), (2005, "NOT_RUN"));

    let with_key = Call { non_idempotent: true, ..keyed("note") };
    for node in &cluster.nodes {
        let answer = cluster.caller.call(node.caller_address, "answer", &with_key).await.unwrap();
        assert_eq!(answer.output, Some(expected_answer("note")), "{answer:?}");
    }
    assert_eq!(cluster.pool_runs("engines").await.unwrap().len(), 1);
}
