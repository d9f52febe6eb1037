//! Tickets: keys that allow requests with side effects during an outage of the log.

use {
    crate::builder::{Builder, call, expected_letter},
    fernring_standins::{caller::Call, platform::Control},
    serde::Deserialize,
    serde_json::json,
    std::net::SocketAddr,
};

#[derive(Debug, Deserialize)]
struct Tickets {
    tickets: Vec<String>,
}

async fn fetch_tickets(
    cluster: &fernring_standins::cluster::Cluster,
    node: SocketAddr,
) -> Vec<String> {
    let body = json!({ "count": 4 });
    let response = cluster.caller.post(node, "/v1/tickets", &body).await.unwrap();
    response.json::<Tickets>().await.unwrap().tickets
}

#[tokio::test(flavor = "multi_thread")]
async fn letters_with_tickets_run_during_log_outage() {
    let mut cluster = Builder::new().start().await;
    let tickets = fetch_tickets(&cluster, cluster.nodes[0].caller_address).await;
    assert_eq!(tickets.len(), 4);
    let down = Control { log_down: true, ..Control::default() };
    cluster.control_platform(&down).await.unwrap();
    for (index, ticket) in tickets[..3].iter().enumerate() {
        let letter = Call { key: Some(ticket.clone()), ..call(&format!("letter {index}")) };
        // Any node accepts it; only the node that issued the ticket runs it, once.
        for node in &cluster.nodes {
            let answer = cluster.caller.call(node.caller_address, "letter", &letter).await.unwrap();
            assert_eq!(answer.output, Some(expected_letter(&format!("letter {index}"))));
        }
    }
    assert_eq!(cluster.pool_runs("letters").await.unwrap().len(), 3);

    cluster.nodes[0].process.kill();
    let letter = Call { key: Some(tickets[3].clone()), ..call("last") };
    let answer = cluster.caller.call(cluster.nodes[1].caller_address, "letter", &letter).await;
    assert_eq!(answer.unwrap().class, "UNKNOWN");
    assert_eq!(cluster.pool_runs("letters").await.unwrap().len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_ticket_is_refused() {
    let cluster = Builder::new().start().await;
    let node = cluster.nodes[0].caller_address;
    let ticket = fetch_tickets(&cluster, node).await.pop().unwrap();
    let mut fields: Vec<_> = ticket.split('_').map(str::to_owned).collect();
    fields[2] = "1000000".to_owned();
    let letter = Call { key: Some(fields.join("_")), ..call("forged") };
    let answer = cluster.caller.call(node, "letter", &letter).await.unwrap();
    assert_eq!((answer.code, answer.class.as_str()), (2004, "NOT_RUN"));
    assert!(cluster.pool_runs("letters").await.unwrap().is_empty());
}
