//! Measures letters during an outage of the log, and the appends per letter.

use {
    crate::{letter, start_cluster},
    fernring_standins::{
        cluster::Cluster,
        platform::{Control, StreamCount},
    },
    serde::Deserialize,
    serde_json::json,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
    uuid::Uuid,
};

#[derive(Debug, Deserialize)]
struct Tickets {
    tickets: Vec<String>,
}

async fn send_letters(cluster: &Cluster, keys: Vec<String>, per_s: f64) -> BTreeMap<String, u64> {
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    for (number, key) in keys.into_iter().enumerate() {
        let at = begin + Duration::from_secs_f64(number as f64 / per_s);
        tokio::time::sleep_until(at.into()).await;
        let caller = cluster.caller.clone();
        let node = cluster.nodes[number % cluster.nodes.len()].caller_address;
        let letter = letter(key, &format!("letter {number}"));
        tasks.spawn(async move {
            let answer = caller.call(node, "letter", &letter).await;
            answer.map_or("NO_ANSWER".to_owned(), |answer| answer.class)
        });
    }
    let mut classes = BTreeMap::new();
    for class in tasks.join_all().await {
        *classes.entry(class).or_default() += 1;
    }
    classes
}

fn new_keys(count: usize) -> Vec<String> {
    (0..count).map(|_| Uuid::now_v7().to_string()).collect()
}

pub(crate) async fn measure() -> anyhow::Result<()> {
    let cluster = start_cluster().await?;
    let mut tickets = Vec::new();
    for node in &cluster.nodes {
        let body = json!({ "count": 25 });
        let response = cluster.caller.post(node.caller_address, "/v1/tickets", &body).await?;
        tickets.extend(response.json::<Tickets>().await?.tickets);
    }
    let down = Control { log_down: true, ..Control::default() };
    cluster.control_platform(&down).await?;
    let claims = send_letters(&cluster, new_keys(200), 20.0).await;
    println!("log down for 10 s, 200 letters with claims only: {claims:?}");
    tickets.truncate(200);
    let with_tickets = send_letters(&cluster, tickets, 20.0).await;
    println!("log down for 10 s, 200 letters with tickets: {with_tickets:?}");
    let run = cluster.pool_runs("letters").await?.len();
    println!("letters that upstreams ran: {run}");
    Ok(())
}

pub(crate) async fn measure_appends() -> anyhow::Result<()> {
    for per_s in [10.0, 50.0, 150.0, 300.0] {
        let cluster = start_cluster().await?;
        let count = (per_s * 5.0) as usize;
        let classes = send_letters(&cluster, new_keys(count), per_s).await;
        let counts: Vec<StreamCount> =
            cluster.caller.get(cluster.platform, "/control/appends").await?;
        let claims = counts.iter().find(|count| count.stream == "fernring-claims");
        let appends = claims.map_or(0, |count| count.appends);
        println!(
            "{per_s} letters/s over 9 nodes: {appends} appends for {count} letters, {:.2} a letter, \
             {:.0} a second; answers {classes:?}",
            appends as f64 / count as f64,
            appends as f64 / 5.0
        );
    }
    Ok(())
}
