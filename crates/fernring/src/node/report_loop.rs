//! Reports of upstreams, and the VM list.

use {
    super::state::{Node, lock},
    fernring_core::text::LogLine,
    fernring_platform::{VmEntry, VmRole, VmState},
    fernring_policy::{event::Event, membership::Hint, upstreams::UpstreamReport},
    futures_util::{StreamExt, stream},
    spdlog::{info, warn},
    std::{sync::Arc, time::Duration},
};

/// Reports asked for at the same time.
const REPORTS_AT_ONCE: usize = 32;

/// Asks the upstreams of the own failure domain for reports for as long as the node runs.
pub(super) async fn poll_upstreams(node: Arc<Node>) {
    let every = Duration::from_millis(node.settings.peers.report_every_ms);
    loop {
        tokio::time::sleep(every).await;
        let catalog = lock(&node.fold).catalog().clone();
        let domain = node.identity.failure_domain.as_ref();
        let own = catalog.upstreams.iter().filter(|(_, u)| u.failure_domain == domain);
        let targets: Vec<_> = own.map(|(name, u)| (name.clone(), u.address)).collect();
        let ask = |(name, address)| {
            let node = &node;
            async move { (name, node.upstream.report(address).await) }
        };
        let mut reports =
            stream::iter(targets.into_iter().map(ask)).buffer_unordered(REPORTS_AT_ONCE);
        while let Some((upstream, report)) = reports.next().await {
            let Some(report) = report else { continue };
            lock(&node.models).insert(upstream.clone(), report.models);
            let (load, leaving) = (report.load, report.leaving);
            node.handle(Event::Reported(UpstreamReport { upstream, load, leaving }));
        }
    }
}

/// Reads the VM list for as long as the node runs.
pub(super) async fn read_vm_list(node: Arc<Node>) {
    let every = Duration::from_millis(node.settings.platform.vm_list_every_ms);
    loop {
        match node.vm_list.list().await {
            Ok(list) => follow_vm_list(&node, &list),
            Err(error) => {
                warn!("{}", LogLine::event("vm_list_unreachable").with("error", error));
            }
        }
        tokio::time::sleep(every).await;
    }
}

fn follow_vm_list(node: &Arc<Node>, list: &[VmEntry]) {
    let entry_vms = list.iter().filter(|vm| vm.role == VmRole::Entry);
    let hints = entry_vms
        .map(|vm| Hint { address: vm.address, failure_domain: vm.failure_domain.clone() })
        .chain(node.settings.peers.seeds.iter().map(Into::into));
    lock(&node.membership).set_hints(hints);
    let is_leaving = |vm: &&VmEntry| vm.role == VmRole::Upstream && vm.state == VmState::Leaving;
    let mut leaving: Vec<_> = list.iter().filter(is_leaving).map(|vm| vm.vm.clone()).collect();
    leaving.sort();
    let changed = std::mem::replace(&mut *lock(&node.leaving_vms), leaving.clone()) != leaving;
    if changed {
        info!("{}", LogLine::event("vms_leaving").with("upstreams", leaving.join(",")));
        node.handle(Event::VmsLeaving(leaving));
    }
}
