//! Measures the time until a change is in force on all nodes.

use {
    crate::{POLL_INTERVAL, start_cluster},
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

/// Waits until nodes have the cluster's version in force and returns the elapsed time.
async fn wait_until_in_force(cluster: &Cluster, nodes: &[usize]) -> Duration {
    let begin = Instant::now();
    for node in nodes {
        loop {
            let status = cluster.status(*node).await;
            if status.is_ok_and(|status| status.config_version >= cluster.version) {
                break;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    begin.elapsed()
}

fn workspace_change(number: u32) -> Vec<Operation> {
    let name = format!("customer-{number}");
    vec![Operation::PutWorkspace { name, workspace: Arc::new(workspace(1)) }]
}

pub(crate) async fn measure(changes: u32) -> anyhow::Result<()> {
    let mut cluster = start_cluster().await?;
    let all: Vec<usize> = (0..cluster.nodes.len()).collect();
    let mut healthy = Vec::new();
    for number in 0..changes {
        cluster.publish(workspace_change(number)).await?;
        healthy.push(wait_until_in_force(&cluster, &all).await);
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
    let partition = Control { cut: vec![domain_ip("a")], ..Control::default() };
    cluster.control_platform(&partition).await?;
    cluster.publish(workspace_change(changes)).await?;
    let others = wait_until_in_force(&cluster, &all[3..]).await;
    // Long enough for every read of the partitioned nodes to time out.
    tokio::time::sleep(Duration::from_secs(3)).await;
    cluster.partitions.heal();
    cluster.control_platform(&Control::default()).await?;
    let healed = wait_until_in_force(&cluster, &all[..3]).await;
    println!("domain a cut off: in force in the others after {others:?}, in a {healed:?} after");
    Ok(())
}
