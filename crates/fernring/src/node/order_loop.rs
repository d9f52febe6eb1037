//! Reads the order stream, acquires the grant to order the failure domain's engines, and sends the orders.

use {
    super::{
        report_loop,
        state::{Node, lock},
    },
    crate::upstream::OrderOutcome,
    fernring_core::{orders::ORDER_STREAM, text::LogLine},
    fernring_policy::placement::{EngineOrder, GrantRecord, PlacementStep},
    futures_util::StreamExt,
    spdlog::{info, warn},
    std::{collections::BTreeSet, sync::Arc, time::Duration},
};

/// Pause between two steps of placement.
const STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Takes part in placement for as long as the node runs.
pub(super) async fn run(node: Arc<Node>) {
    let mut from = 0;
    loop {
        tokio::time::sleep(STEP_INTERVAL).await;
        let Ok(page) = node.log.read(ORDER_STREAM, from, Duration::ZERO).await else {
            continue;
        };
        let records: Vec<_> = page.records.iter().map(GrantRecord::decode).collect();
        from = records.last().map_or(from.max(page.first_offset), |last| last.offset + 1);
        if is_order_holder(&node) {
            // The holder of the grant compares the models that engines hold with those that they should hold, so it
            // fetches their reports itself.
            let names = placed_upstreams(&node);
            report_loop::fetch_reports(&node, names).for_each(|_| async {}).await;
        }
        let now = node.now();
        let step = {
            let catalog = lock(&node.fold).catalog().clone();
            let models = lock(&node.models_by_upstream).clone();
            let mut placement = lock(&node.placement);
            placement.apply_records(now.monotonic, page.time_ms, &records);
            // A draining node doesn't acquire the grant, so that another node does.
            match node.is_draining() {
                true => PlacementStep::Idle,
                false => placement.step(now.monotonic, now.wall_ms(), &catalog, &models),
            }
        };
        execute_step(&node, step).await;
    }
}

fn is_order_holder(node: &Node) -> bool {
    let holder = lock(&node.placement).holder();
    holder.is_some_and(|holder| holder.incarnation == node.identity.incarnation)
}

/// Lists the engines of this node's failure domain on which the catalog's events place models.
fn placed_upstreams(node: &Node) -> Vec<String> {
    let catalog = lock(&node.fold).catalog().clone();
    let placed = catalog.events.values().flat_map(|event| &event.placements);
    let names: BTreeSet<&String> = placed.map(|placement| &placement.upstream).collect();
    let domain = node.identity.failure_domain.as_ref();
    let is_in_domain = |name: &&String| {
        catalog.upstreams.get(name.as_str()).is_some_and(|u| u.failure_domain == domain)
    };
    names.into_iter().filter(is_in_domain).cloned().collect()
}

async fn execute_step(node: &Arc<Node>, step: PlacementStep) {
    match step {
        PlacementStep::Idle => {}
        PlacementStep::Append(grant) => {
            let Ok(data) = serde_json::to_vec(&grant) else { return };
            if node.log.append(ORDER_STREAM, &data).await.is_err() {
                lock(&node.placement).append_failed();
            }
        }
        PlacementStep::Order(orders) => {
            for order in orders {
                send_order(node, order).await;
            }
        }
    }
}

async fn send_order(node: &Arc<Node>, target: EngineOrder) {
    let catalog = lock(&node.fold).catalog().clone();
    let Some(upstream) = catalog.upstreams.get(&target.upstream) else {
        return;
    };
    let outcome = node.upstream.send_order(upstream.address, &target.order).await;
    let line = LogLine::event("order")
        .with("upstream", &target.upstream)
        .with("models", target.order.models.join(","))
        .with("fence", target.order.fence)
        .with("checks_fencing", upstream.checks_fencing)
        .with("outcome", format!("{outcome:?}").to_lowercase());
    match outcome {
        OrderOutcome::Taken => info!("{line}"),
        OrderOutcome::Fenced | OrderOutcome::Unknown => warn!("{line}"),
    }
}
