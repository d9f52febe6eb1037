//! Measures the time until a leaving upstream gets its last new request.

use {
    crate::{POLL_INTERVAL, start_cluster},
    fernring_platform::VmState,
    fernring_standins::{
        caller::{Call, Caller},
        cluster::Cluster,
        upstream::Behaviour,
    },
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::task::JoinSet,
};

/// Sends pure requests without pause until `end`, through all nodes in turn.
async fn keep_sending(
    caller: Caller,
    nodes: Vec<SocketAddr>,
    end: Instant,
) -> BTreeMap<String, u64> {
    let mut tasks = JoinSet::new();
    for offset in 0..16 {
        let (caller, nodes) = (caller.clone(), nodes.clone());
        tasks.spawn(async move {
            let mut classes: BTreeMap<String, u64> = BTreeMap::new();
            let mut number = offset;
            while Instant::now() < end {
                let call = Call {
                    workspace: "members".to_owned(),
                    input: format!("request {number}"),
                    ..Call::default()
                };
                let answer = caller.call(nodes[number % nodes.len()], "answer", &call).await;
                let class = answer.map_or("NO_ANSWER".to_owned(), |answer| answer.class);
                *classes.entry(class).or_default() += 1;
                number += 1;
            }
            classes
        });
    }
    let mut all: BTreeMap<String, u64> = BTreeMap::new();
    for classes in tasks.join_all().await {
        for (class, count) in classes {
            *all.entry(class).or_default() += count;
        }
    }
    all
}

/// Polls an upstream until 4 s after `begin` and returns when its last new request arrived.
async fn last_request(cluster: &Cluster, name: &str, begin: Instant) -> anyhow::Result<Duration> {
    let mut last = Duration::ZERO;
    let mut known = cluster.runs(name).await?.len();
    while begin.elapsed() < Duration::from_secs(4) {
        let now = cluster.runs(name).await?.len();
        if now > known {
            known = now;
            last = begin.elapsed();
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(last)
}

pub(crate) async fn measure() -> anyhow::Result<()> {
    let mut cluster = start_cluster().await?;
    let nodes: Vec<_> = cluster.nodes.iter().map(|node| node.caller_address).collect();
    for (way, name) in [
        ("own report", "retrievers-0"),
        ("VM list", "retrievers-1"),
        ("own answer", "retrievers-2"),
    ] {
        let end = Instant::now() + Duration::from_secs(6);
        let load = tokio::spawn(keep_sending(cluster.caller.clone(), nodes.clone(), end));
        tokio::time::sleep(Duration::from_secs(1)).await;
        let begin = Instant::now();
        let usual = cluster.upstreams[name].spec.behaviour.clone();
        match way {
            "VM list" => cluster.set_vm_state(name, VmState::Leaving).await?,
            // Only the report says that it is leaving; the stand-in still accepts requests.
            "own report" => {
                let announces = Behaviour { leaving_report: true, ..usual };
                cluster.control_upstream(name, &announces).await?;
            }
            _ => {
                let refuses = Behaviour { leaving: true, silent: true, ..usual };
                cluster.control_upstream(name, &refuses).await?;
            }
        }
        let last = last_request(&cluster, name, begin).await?;
        println!("{way}: last new request after {last:?}; answers {:?}", load.await?);
    }
    Ok(())
}
