//! The configuration stream: reading it, and appending snapshots before retention ends.

use {
    super::state::{Node, lock},
    fernring_core::{
        change::{CONFIG_STREAM, ConfigRecord},
        clock::saturating_ms,
        text::LogLine,
    },
    fernring_policy::fold::ConfigPage,
    rand::RngExt,
    spdlog::{info, warn},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
};

/// How long the log service may wait for a record before it answers with none.
const LONG_POLL: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// A snapshot is appended after a random pause up to this, so that mostly one node does it.
const SNAPSHOT_SPREAD_MS: u64 = 5_000;

/// Reads the stream for as long as the node runs.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let from = lock(&node.fold).next_offset();
        match node.log.read(CONFIG_STREAM, from, LONG_POLL).await {
            Ok(page) => {
                let log_time_ms = page.time_ms;
                let changed = lock(&node.fold).read(ConfigPage::decode(from, page));
                let now_ms = saturating_ms(node.now().monotonic);
                node.config_read_at_ms.store(now_ms, Ordering::Relaxed);
                node.configured(changed);
                keep_snapshot(&node, log_time_ms).await;
            }
            Err(error) => {
                let line = LogLine::event("log_unreachable").with("stream", CONFIG_STREAM);
                warn!("{}", line.with("error", error));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Appends a snapshot when the newest one is past half of retention.
async fn keep_snapshot(node: &Arc<Node>, log_time_ms: u64) {
    let age_ms = node.settings.platform.log_retention_ms / 2;
    if !lock(&node.fold).wants_snapshot(log_time_ms, age_ms) {
        return;
    }
    let spread_ms = SNAPSHOT_SPREAD_MS.min(age_ms / 10);
    let pause_ms = rand::rng().random_range(0..=spread_ms);
    tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    let from = lock(&node.fold).next_offset();
    // Another node may have appended one meanwhile; then there is something to read first.
    match node.log.read(CONFIG_STREAM, from, Duration::ZERO).await {
        Ok(page) if page.next_offset == from => {}
        _ => return,
    }
    let Some(snapshot) = lock(&node.fold).snapshot() else {
        return;
    };
    let version = snapshot.version;
    let Ok(data) = serde_json::to_vec(&ConfigRecord::Snapshot(snapshot)) else {
        return;
    };
    // Two snapshots, or one whose answer is lost, do no harm: folding one again changes nothing.
    let appended = node.log.append(CONFIG_STREAM, &data).await.is_ok();
    info!("{}", LogLine::event("snapshot").with("version", version).with("appended", appended));
}
