//! How soon a change is in force on all nodes.

use {
    crate::{POLL_INTERVAL, start},
    fernring_core::change::Operation,
    fernring_standins::{
        cluster::{Cluster, domain_ip},
        deployment::{DOMAINS, workspace},
        platform::Control,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Waits until nodes have the cluster's version in force and returns how long that took.
async fn in_force(cluster: &Cluster, nodes: &[usize]) -> Duration {
    let begin = Instant::now();
    for node in nodes {
        loop {
            let view = cluster.status(*node).await;
            if view.is_ok_and(|view| view.config_version >= cluster.version) {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    begin.elapsed()
}

fn any_change(number: u32) -> Vec<Operation> {
    let name = format!("customer-{number}");
    vec![Operation::PutWorkspace { name, workspace: Arc::new(workspace(1)) }]
}

pub(crate) async fn measure(changes: u32) -> anyhow::Result<()> {
    let mut cluster = start().await?;
    let all: Vec<usize> = (0..cluster.nodes.len()).collect();
    let mut healthy = Vec::new();
    for number in 0..changes {
        cluster.publish(any_change(number)).await?;
        healthy.push(in_force(&cluster, &all).await);
    }
    healthy.sort();
    println!(
        "healthy, {changes} changes, {} nodes: in force everywhere after {:?} (median), {:?} (most)",
        all.len(),
        healthy[healthy.len() / 2],
        healthy[healthy.len() - 1]
    );
    for other in &DOMAINS[1..] {
        cluster.partitions.partition(domain_ip("a"), domain_ip(other));
    }
    let cut = Control { cut: vec![domain_ip("a")], ..Control::default() };
    cluster.control_platform(&cut).await?;
    cluster.publish(any_change(changes)).await?;
    let others = in_force(&cluster, &all[3..]).await;
    // Long enough that every read of the cut nodes has run into its timeout.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.partitions.heal();
    cluster.control_platform(&Control::default()).await?;
    let healed = in_force(&cluster, &all[..3]).await;
    println!("domain a cut off: in force in the others after {others:?}, in a {healed:?} after");
    Ok(())
}
