//! Side effects run at most once when nodes are killed or paused and when the log fails. Three
//! records must agree: the runs of the upstreams, the answers to callers, and the nodes' counters.

use {
    crate::builder::{Builder, call, expected_answer, expected_letter, keyed},
    fernring_standins::{
        caller::{Answer, Call},
        cluster::Cluster,
        platform::{AppendFault, Control},
        upstream::Behaviour,
    },
    nix::sys::signal::Signal,
    tokio::task::JoinHandle,
};

/// Short heartbeats, so that nodes discover each other quickly.
const FAST_HEARTBEATS: &str = "[peers]\nheartbeat_ms = 50\nreport_every_ms = 50\n";

/// Sends a letter in the background.
fn send(cluster: &Cluster, node: usize, letter: &Call) -> JoinHandle<anyhow::Result<Answer>> {
    let (caller, address) = (cluster.caller.clone(), cluster.nodes[node].caller_address);
    let letter = letter.clone();
    tokio::spawn(async move { caller.call(address, "letter", &letter).await })
}

async fn set_stall(cluster: &Cluster, pool: &str, stall: bool) {
    for (name, handle) in &cluster.upstreams {
        if handle.spec.pool == pool {
            let behaviour = Behaviour { stall, ..handle.spec.behaviour.clone() };
            cluster.control_upstream(name, &behaviour).await.unwrap();
        }
    }
}

async fn count_letter_runs(cluster: &Cluster) -> usize {
    cluster.pool_runs("letters").await.unwrap().len()
}

/// Kills a node while its letter is at `pool`, sends the letter again to the other nodes and checks
/// the number of runs.
async fn check_kill_during(pool: &str, expected_runs: usize) {
    let mut cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    set_stall(&cluster, pool, true).await;
    let letter = keyed("dear member");
    let first = send(&cluster, 0, &letter);
    cluster.wait_runs(pool, |runs| !runs.is_empty()).await.unwrap();
    cluster.nodes[0].process.kill();
    assert!(first.await.unwrap().is_err(), "the killed node answered");
    set_stall(&cluster, pool, false).await;
    for node in 1..cluster.nodes.len() {
        let again = send(&cluster, node, &letter).await.unwrap().unwrap();
        assert_eq!(again.class, "UNKNOWN", "the letter at {pool} may have been sent: {again:?}");
    }
    assert_eq!(count_letter_runs(&cluster).await, expected_runs);
    // The remaining nodes serve a new letter.
    let answer = send(&cluster, 1, &keyed("next")).await.unwrap().unwrap();
    assert_eq!(answer.output, Some(expected_letter("next")), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn node_killed_at_first_stage_sends_no_letter() {
    check_kill_during("retrievers", 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_killed_while_generating_sends_no_letter() {
    check_kill_during("engines", 0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn node_killed_at_effect_sends_at_most_one_letter() {
    check_kill_during("letters", 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_holder_sends_at_most_one_letter() {
    let cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    set_stall(&cluster, "engines", true).await;
    let letter = keyed("dear member");
    let first = send(&cluster, 0, &letter);
    cluster.wait_runs("engines", |runs| !runs.is_empty()).await.unwrap();
    cluster.nodes[0].process.signal(Signal::SIGSTOP).unwrap();

    let short = Call { window_ms: Some(700), ..letter.clone() };
    let meanwhile = send(&cluster, 1, &short).await.unwrap().unwrap();
    assert_eq!(meanwhile.class, "UNKNOWN", "{meanwhile:?}");

    set_stall(&cluster, "engines", false).await;
    cluster.nodes[0].process.signal(Signal::SIGCONT).unwrap();
    // The stalled attempt never ends: either a hedge replaces it or the window expires.
    let first = first.await.unwrap().unwrap();
    let again = send(&cluster, 1, &letter).await.unwrap().unwrap();
    // If the window expired, the repeat reads in the key's record that there will be no letter. If
    // a hedge succeeded, the repeat gets the same answer. Either way both requests get the same
    // result.
    let visible_answer = |answer: &Answer| (answer.output.clone(), answer.advice.clone());
    assert_eq!(visible_answer(&first), visible_answer(&again), "{first:?} {again:?}");
    assert!(first.class != "UNKNOWN" && again.class != "UNKNOWN", "{first:?} {again:?}");
    assert_eq!(count_letter_runs(&cluster).await, usize::from(first.class == "ANSWERED"));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append_answer_is_settled_by_reading() {
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
    assert_eq!(answer.output, Some(expected_letter("dear member")), "{answer:?}");
    let again = send(&cluster, 2, &letter).await.unwrap().unwrap();
    assert_eq!(again.output, answer.output);
    assert_eq!(count_letter_runs(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn late_append_never_doubles_a_letter() {
    let cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
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
    let mut answers = Vec::new();
    for node in [1, 2, 0] {
        answers.push(send(&cluster, node, &letter).await.unwrap().unwrap());
    }
    let answered = answers.iter().filter(|answer| answer.class == "ANSWERED").count();
    let runs = count_letter_runs(&cluster).await;
    assert!(runs <= 1, "{runs} letters: {answers:?}");
    assert_eq!(runs == 1, answered > 0, "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn kill_with_lost_append_answer_never_doubles_letter() {
    let mut cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
    let fault = Control {
        append_fault: AppendFault::AnswerLost,
        append_fault_count: 1,
        ..Control::default()
    };
    cluster.control_platform(&fault).await.unwrap();
    set_stall(&cluster, "letters", true).await;
    let letter = keyed("dear member");
    let first = send(&cluster, 0, &letter);
    cluster.wait_runs("letters", |runs| !runs.is_empty()).await.unwrap();
    cluster.nodes[0].process.kill();
    assert!(first.await.unwrap().is_err());
    set_stall(&cluster, "letters", false).await;
    let again = send(&cluster, 1, &letter).await.unwrap().unwrap();
    assert_eq!(again.class, "UNKNOWN", "{again:?}");
    assert_eq!(count_letter_runs(&cluster).await, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn letter_refused_during_log_outage_was_not_run() {
    let cluster = Builder::new().settings("[policy]\nclaim_patience_ms = 1\n").start().await;
    let down = Control { log_down: true, ..Control::default() };
    cluster.control_platform(&down).await.unwrap();
    let letter = Call { window_ms: Some(500), ..keyed("first") };
    let first = send(&cluster, 0, &letter).await.unwrap().unwrap();
    assert_ne!(first.class, "ANSWERED", "{first:?}");
    // The node now knows that the log is down and refuses the next letter at once, without running
    // it.
    let runs_before = cluster.pool_runs("retrievers").await.unwrap().len();
    let refused = send(&cluster, 0, &keyed("second")).await.unwrap().unwrap();
    assert_eq!((refused.code, refused.class.as_str()), (3005, "NOT_RUN"));
    assert!(refused.retry_after_ms.is_some());
    assert_eq!(cluster.pool_runs("retrievers").await.unwrap().len(), runs_before);
    // Requests without side effects are still served.
    let caller = &cluster.caller;
    let pure_answer =
        caller.call(cluster.nodes[0].caller_address, "answer", &call("x")).await.unwrap();
    assert_eq!(pure_answer.output, Some(expected_answer("x")));
    assert_eq!(count_letter_runs(&cluster).await, 0);

    cluster.control_platform(&Control::default()).await.unwrap();
    let node = &cluster.nodes[0];
    let mut answer = send(&cluster, 0, &keyed("third")).await.unwrap().unwrap();
    while answer.code == 3005 {
        answer = send(&cluster, 0, &keyed("third")).await.unwrap().unwrap();
    }
    assert_eq!(
        answer.output,
        Some(expected_letter("third")),
        "{answer:?} {:?}",
        node.process.lines()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn records_of_upstreams_callers_and_nodes_agree() {
    let cluster = Builder::new().settings(FAST_HEARTBEATS).start().await;
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
            assert_eq!(answer.output, Some(expected_letter(&format!("letter {number}"))));
            answered.insert(number);
        }
    }
    let runs = cluster.pool_runs("letters").await.unwrap();
    let inputs: std::collections::BTreeSet<_> = runs.iter().map(|run| &run.input).collect();
    assert_eq!(inputs.len(), runs.len(), "a letter ran twice");
    assert_eq!(runs.len(), answered.len(), "numbers of letters run and answered differ");
    let mut effects = 0;
    for node in 0..cluster.nodes.len() {
        effects += cluster.status(node).await.unwrap().counters["effects"];
    }
    assert_eq!(effects as usize, runs.len(), "numbers of letters run and reported differ");
}
