//! At most once, under kills, freezes and faults of the log. Three records must agree: what the
//! upstreams ran, what the callers were told, and what the nodes report.

use {
    crate::builder::{Builder, call, keyed, whole_answer, whole_letter},
    fernring_standins::{
        caller::{Answer, Call},
        cluster::Cluster,
        platform::{AppendFault, Control},
        upstream::Behaviour,
    },
    nix::sys::signal::Signal,
    tokio::task::JoinHandle,
};

/// Short heartbeats, so that nodes learn of each other soon.
const FAST: &str = "[peers]\nheartbeat_ms = 50\nreport_every_ms = 50\n";

/// Sends a letter without waiting for its answer.
fn send(cluster: &Cluster, node: usize, letter: &Call) -> JoinHandle<anyhow::Result<Answer>> {
    let (caller, address) = (cluster.caller.clone(), cluster.nodes[node].caller_address);
    let letter = letter.clone();
    tokio::spawn(async move { caller.call(address, "letter", &letter).await })
}

async fn stall(cluster: &Cluster, pool: &str, stall: bool) {
    for (name, handle) in &cluster.upstreams {
        if handle.spec.pool == pool {
            let behaviour = Behaviour { stall, ..handle.spec.behaviour.clone() };
            cluster.control_upstream(name, &behaviour).await.unwrap();
        }
    }
}

async fn letters_run(cluster: &Cluster) -> usize {
    cluster.pool_runs("letters").await.unwrap().len()
}

/// A node is killed while a letter is at `pool`; the letter is sent again to the others.
async fn kill_at(pool: &str, runs_allowed: usize) {
    let mut cluster = Builder::new().settings(FAST).start().await;
    stall(&cluster, pool, true).await;
    let letter = keyed("dear member");
    let first = send(&cluster, 0, &letter);
    cluster.wait_runs(pool, |runs| !runs.is_empty()).await.unwrap();
    cluster.nodes[0].process.kill();
    assert!(first.await.unwrap().is_err(), "the killed node answered");
    stall(&cluster, pool, false).await;
    for node in 1..cluster.nodes.len() {
        let again = send(&cluster, node, &letter).await.unwrap().unwrap();
        assert_eq!(again.class, "UNKNOWN", "the letter at {pool} may have been sent: {again:?}");
    }
    assert_eq!(letters_run(&cluster).await, runs_allowed);
    // A new letter goes through the remaining nodes.
    let answer = send(&cluster, 1, &keyed("next")).await.unwrap().unwrap();
    assert_eq!(answer.output, Some(whole_letter("next")), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_killed_at_the_first_stage_sends_no_letter() {
    kill_at("retrievers", 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_killed_while_it_generates_sends_no_letter() {
    kill_at("engines", 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_killed_at_the_side_effect_leaves_one_letter_at_most() {
    kill_at("letters", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_that_is_paused_and_wakes_still_sends_one_letter() {
    let cluster = Builder::new().settings(FAST).start().await;
    stall(&cluster, "engines", true).await;
    let letter = keyed("dear member");
    let first = send(&cluster, 0, &letter);
    cluster.wait_runs("engines", |runs| !runs.is_empty()).await.unwrap();
    cluster.nodes[0].process.signal(Signal::SIGSTOP).unwrap();

    let short = Call { window_ms: Some(700), ..letter.clone() };
    let meanwhile = send(&cluster, 1, &short).await.unwrap().unwrap();
    assert_eq!(meanwhile.class, "UNKNOWN", "{meanwhile:?}");

    stall(&cluster, "engines", false).await;
    cluster.nodes[0].process.signal(Signal::SIGCONT).unwrap();
    // The attempt that was stalled stays so; its straggler gets a hedge, or the window ends it.
    let first = first.await.unwrap().unwrap();
    let again = send(&cluster, 1, &letter).await.unwrap().unwrap();
    // Where the window ended it, the repeat learns from the key's record that there will be no letter; where a
    // hedge answered it, it gets the same answer. Both tell the caller the same.
    let told = |answer: &Answer| (answer.output.clone(), answer.advice.clone());
    assert_eq!(told(&first), told(&again), "{first:?} {again:?}");
    assert!(first.class != "UNKNOWN" && again.class != "UNKNOWN", "{first:?} {again:?}");
    assert_eq!(letters_run(&cluster).await, usize::from(first.class == "ANSWERED"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_append_answer_is_settled_by_reading() {
    let settings = "[policy]\nclaim_retry_ms = 20\n";
    let cluster = Builder::new().settings(settings).start().await;
    let fault = Control {
        append_fault: AppendFault::AnswerLost,
        append_fault_count: 1,
        ..Control::default()
    };
    cluster.control_platform(&fault).await.unwrap();
    let letter = keyed("dear member");
    let answer = send(&cluster, 0, &letter).await.unwrap().unwrap();
    assert_eq!(answer.output, Some(whole_letter("dear member")), "{answer:?}");
    let again = send(&cluster, 2, &letter).await.unwrap().unwrap();
    assert_eq!(again.output, answer.output);
    assert_eq!(letters_run(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_append_that_lands_late_never_doubles_a_letter() {
    let cluster = Builder::new().settings(FAST).start().await;
    let fault = Control {
        append_fault: AppendFault::Late,
        append_fault_count: 1,
        delay_ms: 1_500,
        ..Control::default()
    };
    cluster.control_platform(&fault).await.unwrap();
    let letter = keyed("dear member");
    let short = Call { window_ms: Some(400), ..letter.clone() };
    let first = send(&cluster, 0, &short).await.unwrap().unwrap();
    assert_ne!(first.class, "ANSWERED", "{first:?}");
    cluster.control_platform(&Control::default()).await.unwrap();
    let mut words = Vec::new();
    for node in [1, 2, 0] {
        words.push(send(&cluster, node, &letter).await.unwrap().unwrap());
    }
    let answered = words.iter().filter(|word| word.class == "ANSWERED").count();
    let runs = letters_run(&cluster).await;
    assert!(runs <= 1, "{runs} letters: {words:?}");
    assert_eq!(runs == 1, answered > 0, "{words:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_kill_while_an_append_answer_is_lost_never_doubles_a_letter() {
    let mut cluster = Builder::new().settings(FAST).start().await;
    let fault = Control {
        append_fault: AppendFault::AnswerLost,
        append_fault_count: 1,
        ..Control::default()
    };
    cluster.control_platform(&fault).await.unwrap();
    stall(&cluster, "letters", true).await;
    let letter = keyed("dear member");
    let first = send(&cluster, 0, &letter);
    cluster.wait_runs("letters", |runs| !runs.is_empty()).await.unwrap();
    cluster.nodes[0].process.kill();
    assert!(first.await.unwrap().is_err());
    stall(&cluster, "letters", false).await;
    let again = send(&cluster, 1, &letter).await.unwrap().unwrap();
    assert_eq!(again.class, "UNKNOWN", "{again:?}");
    assert_eq!(letters_run(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_letter_refused_during_an_outage_of_the_log_was_not_run() {
    let cluster = Builder::new().settings("[policy]\nclaim_patience_ms = 1\n").start().await;
    let down = Control { log_down: true, ..Control::default() };
    cluster.control_platform(&down).await.unwrap();
    let letter = Call { window_ms: Some(500), ..keyed("first") };
    let first = send(&cluster, 0, &letter).await.unwrap().unwrap();
    assert_ne!(first.class, "ANSWERED", "{first:?}");
    // The log is known to be down now: the next letter is refused at once, truly not run.
    let runs_before = cluster.pool_runs("retrievers").await.unwrap().len();
    let refused = send(&cluster, 0, &keyed("second")).await.unwrap().unwrap();
    assert_eq!((refused.code, refused.class.as_str()), (3005, "NOT_RUN"));
    assert!(refused.retry_after_ms.is_some());
    assert_eq!(cluster.pool_runs("retrievers").await.unwrap().len(), runs_before);
    // Requests without side effects are served all the same.
    let caller = &cluster.caller;
    let pure = caller.call(cluster.nodes[0].caller_address, "answer", &call("x")).await.unwrap();
    assert_eq!(pure.output, Some(whole_answer("x")));
    assert_eq!(letters_run(&cluster).await, 0);

    cluster.control_platform(&Control::default()).await.unwrap();
    let node = &cluster.nodes[0];
    let mut word = send(&cluster, 0, &keyed("third")).await.unwrap().unwrap();
    while word.code == 3005 {
        word = send(&cluster, 0, &keyed("third")).await.unwrap().unwrap();
    }
    assert_eq!(word.output, Some(whole_letter("third")), "{word:?} {:?}", node.process.lines());
}

#[tokio::test(flavor = "multi_thread")]
async fn records_of_upstreams_callers_and_nodes_agree() {
    let cluster = Builder::new().settings(FAST).start().await;
    for (name, handle) in &cluster.upstreams {
        if handle.spec.pool != "letters" {
            let behaviour = Behaviour { fail_share: 0.1, ..handle.spec.behaviour.clone() };
            cluster.control_upstream(name, &behaviour).await.unwrap();
        }
    }
    let mut sent = Vec::new();
    for number in 0..60 {
        let letter = keyed(&format!("letter {number}"));
        // Every letter is sent twice, to two nodes at the same time.
        sent.push((number, send(&cluster, number % 3, &letter)));
        sent.push((number, send(&cluster, (number + 1) % 3, &letter)));
    }
    let mut answered = std::collections::BTreeSet::new();
    for (number, answer) in sent {
        let answer = answer.await.unwrap().unwrap();
        if answer.class == "ANSWERED" {
            assert_eq!(answer.output, Some(whole_letter(&format!("letter {number}"))));
            answered.insert(number);
        }
    }
    let runs = cluster.pool_runs("letters").await.unwrap();
    let inputs: std::collections::BTreeSet<_> = runs.iter().map(|run| &run.input).collect();
    assert_eq!(inputs.len(), runs.len(), "a letter ran twice");
    assert_eq!(runs.len(), answered.len(), "letters run and letters answered differ");
    let mut effects = 0;
    for node in 0..cluster.nodes.len() {
        effects += cluster.status(node).await.unwrap().counters["effects"];
    }
    assert_eq!(effects as usize, runs.len(), "letters run and letters reported differ");
}
