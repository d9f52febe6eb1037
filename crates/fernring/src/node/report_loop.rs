//! Polls the reports of upstreams and the VM list.

use {
    super::state::{Node, lock},
    fernring_core::text::LogLine,
    fernring_platform::{VmEntry, VmRole, VmState},
    fernring_policy::{
        event::Event,
        membership::{PeerHint, ReportDigest, upstream_hash},
        upstreams::UpstreamReport,
    },
    futures_util::{Stream, StreamExt, stream},
    spdlog::{info, warn},
    std::{collections::BTreeSet, pin::pin, sync::Arc, time::Duration},
};

/// Most requests for reports that are in flight at the same time.
const REPORTS_IN_FLIGHT_MAX: usize = 32;

/// Polls the reports of this node's share of the failure domain's upstreams for as long as the node runs. The other
/// nodes receive them with the heartbeats.
pub(super) async fn poll_upstreams(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.peers.report_every_ms);
    loop {
        tokio::time::sleep(interval).await;
        let names = assigned_upstreams(&node);
        let assigned: BTreeSet<u32> = names.iter().map(|name| upstream_hash(name)).collect();
        lock(&node.own_reports).retain(|upstream, _| assigned.contains(upstream));
        let mut reports = pin!(fetch_reports(&node, names));
        // Each report is handled as soon as it arrives: an upstream that doesn't respond must not delay the report
        // that another one is leaving.
        while let Some(report) = reports.next().await {
            let upstream = upstream_hash(&report.upstream);
            let digest = ReportDigest { upstream, load: report.load, leaving: report.leaving };
            lock(&node.own_reports).insert(upstream, digest);
            node.handle(Event::UpstreamsReported(vec![report]));
        }
    }
}

/// Lists the upstreams whose reports this node polls.
fn assigned_upstreams(node: &Node) -> Vec<String> {
    let catalog = lock(&node.fold).catalog().clone();
    let now = node.now().monotonic;
    let membership = lock(&node.membership);
    let domain = node.identity.failure_domain.as_ref();
    let in_domain = catalog.upstreams_in_domain(domain).map(|(name, _)| name);
    in_domain.filter(|name| membership.polls(now, name)).map(str::to_owned).collect()
}

/// Fetches the reports of upstreams and records the models that they hold. The stream yields the reports in the
/// order in which they arrive.
pub(super) fn fetch_reports(
    node: &Arc<Node>,
    names: Vec<String>,
) -> impl Stream<Item = UpstreamReport> {
    let catalog = lock(&node.fold).catalog().clone();
    let requests = names.into_iter().filter_map(|name| {
        let address = catalog.upstreams.get(&name)?.address;
        let node = node.clone();
        Some(async move {
            let report = node.upstream.fetch_report(address).await?;
            lock(&node.models_by_upstream).insert(name.clone(), report.models);
            Some(UpstreamReport { upstream: name, load: report.load, leaving: report.leaving })
        })
    });
    let requests: Vec<_> = requests.collect();
    let responses = stream::iter(requests).buffer_unordered(REPORTS_IN_FLIGHT_MAX);
    responses.filter_map(|report| async { report })
}

/// Handles the upstream reports that another node of the failure domain sent with its heartbeat.
pub(super) fn handle_digests(node: &Arc<Node>, digests: &[ReportDigest]) {
    if digests.is_empty() {
        return;
    }
    let names = lock(&node.names_by_hash).clone();
    let report = |digest: &ReportDigest| {
        let upstream = names.get(&digest.upstream)?.clone();
        Some(UpstreamReport { upstream, load: digest.load, leaving: digest.leaving })
    };
    let reports: Vec<_> = digests.iter().filter_map(report).collect();
    node.handle(Event::UpstreamsReported(reports));
}

/// Reads the VM list for as long as the node runs.
pub(super) async fn read_vm_list(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.platform.vm_list_every_ms);
    loop {
        match node.vm_list.list().await {
            Ok(list) => apply_vm_list(&node, &list),
            Err(error) => {
                warn!("{}", LogLine::event("vm_list_unreachable").with("error", error));
            }
        }
        tokio::time::sleep(interval).await;
    }
}

fn apply_vm_list(node: &Arc<Node>, list: &[VmEntry]) {
    let entry_vms = list.iter().filter(|vm| vm.role == VmRole::Entry);
    let hints = entry_vms
        .map(|vm| PeerHint { address: vm.address, failure_domain: vm.failure_domain.clone() })
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
