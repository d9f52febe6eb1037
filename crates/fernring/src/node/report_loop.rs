//! Reports of upstreams, and the VM list.

use {
    super::state::{Node, lock},
    fernring_core::text::LogLine,
    fernring_platform::{VmEntry, VmRole, VmState},
    fernring_policy::{
        event::Event,
        membership::{Hint, ReportDigest, short_hash},
        upstreams::UpstreamReport,
    },
    futures_util::{Stream, StreamExt, stream},
    spdlog::{info, warn},
    std::{collections::BTreeSet, pin::pin, sync::Arc, time::Duration},
};

/// Reports asked for at the same time.
const REPORTS_AT_ONCE: usize = 32;

/// Asks this node's part of the failure domain's upstreams for reports for as long as the node
/// runs. The other nodes get them with the heartbeats.
pub(super) async fn poll_upstreams(node: Arc<Node>) {
    let every = Duration::from_millis(node.settings.peers.report_every_ms);
    loop {
        tokio::time::sleep(every).await;
        let names = own_part(&node);
        let asked: BTreeSet<u32> = names.iter().map(|name| short_hash(name)).collect();
        lock(&node.reports).retain(|upstream, _| asked.contains(upstream));
        let mut reports = pin!(ask(&node, names));
        // Each report counts as soon as it is here: an upstream that does not answer must not
        // delay the news that another one is leaving.
        while let Some(report) = reports.next().await {
            let upstream = short_hash(&report.upstream);
            let digest = ReportDigest { upstream, load: report.load, leaving: report.leaving };
            lock(&node.reports).insert(upstream, digest);
            node.handle(Event::Reported(vec![report]));
        }
    }
}

/// Lists the upstreams that this node asks.
fn own_part(node: &Node) -> Vec<String> {
    let catalog = lock(&node.fold).catalog().clone();
    let now = node.now().monotonic;
    let membership = lock(&node.membership);
    let domain = node.identity.failure_domain.as_ref();
    let own = catalog.upstreams_in_domain(domain).map(|(name, _)| name);
    own.filter(|name| membership.asks(now, name)).map(str::to_owned).collect()
}

/// Asks upstreams for reports, and notes the models that they hold. Reports come in the order in
/// which they arrive.
pub(super) fn ask(node: &Arc<Node>, names: Vec<String>) -> impl Stream<Item = UpstreamReport> {
    let catalog = lock(&node.fold).catalog().clone();
    let questions = names.into_iter().filter_map(|name| {
        let address = catalog.upstreams.get(&name)?.address;
        let node = node.clone();
        Some(async move {
            let report = node.upstream.report(address).await?;
            lock(&node.models).insert(name.clone(), report.models);
            Some(UpstreamReport { upstream: name, load: report.load, leaving: report.leaving })
        })
    });
    let questions: Vec<_> = questions.collect();
    let answers = stream::iter(questions).buffer_unordered(REPORTS_AT_ONCE);
    answers.filter_map(|report| async { report })
}

/// Takes in reports that another node of the failure domain passes on.
pub(super) fn take_digests(node: &Arc<Node>, digests: &[ReportDigest]) {
    if digests.is_empty() {
        return;
    }
    let names = lock(&node.names).clone();
    let report = |digest: &ReportDigest| {
        let upstream = names.get(&digest.upstream)?.clone();
        Some(UpstreamReport { upstream, load: digest.load, leaving: digest.leaving })
    };
    let reports: Vec<_> = digests.iter().filter_map(report).collect();
    node.handle(Event::Reported(reports));
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
