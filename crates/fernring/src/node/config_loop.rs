//! Reads the configuration stream, and appends snapshots to it before the log's retention drops the records that
//! the configuration was built from.

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

/// How long the log service may wait for a record before it responds with none.
const LONG_POLL: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Longest pause between two checks whether a snapshot is due. The pauses are random, so that usually only one node
/// appends the snapshot.
const SNAPSHOT_CHECK_MAX_MS: u64 = 60_000;

/// Reads the configuration stream for as long as the node runs.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let from = lock(&node.fold).next_offset();
        match node.log.read(CONFIG_STREAM, from, LONG_POLL).await {
            Ok(page) => {
                let changed = lock(&node.fold).apply_page(ConfigPage::decode(from, page));
                let now_ms = saturating_ms(node.now().monotonic);
                node.config_read_at_ms.store(now_ms, Ordering::Relaxed);
                node.apply_config(changed);
            }
            Err(error) => {
                let line = LogLine::event("log_unreachable").with("stream", CONFIG_STREAM);
                warn!("{}", line.with("error", error));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Appends a snapshot when the newest one is older than half of the log's retention; checked at random intervals.
/// Runs as a task of its own, so that reading the stream never waits for it.
pub(super) async fn append_snapshots(node: Arc<Node>) {
    let age_ms = node.settings.platform.log_retention_ms / 2;
    let interval_ms = SNAPSHOT_CHECK_MAX_MS.min(age_ms / 4).max(1);
    loop {
        let pause_ms = rand::rng().random_range(interval_ms / 2..=interval_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        // Records that this node hasn't read yet may contain another node's snapshot, so read the log first.
        let from = lock(&node.fold).next_offset();
        let Ok(page) = node.log.read(CONFIG_STREAM, from, Duration::ZERO).await else {
            continue;
        };
        let is_at_end = page.next_offset == from;
        if is_at_end && lock(&node.fold).needs_snapshot(page.time_ms, age_ms) {
            append_snapshot(&node).await;
        }
    }
}

async fn append_snapshot(node: &Arc<Node>) {
    let Some(snapshot) = lock(&node.fold).snapshot() else {
        return;
    };
    let version = snapshot.version;
    let Ok(data) = serde_json::to_vec(&ConfigRecord::Snapshot(snapshot)) else {
        return;
    };
    // Two snapshots, or one whose response is lost, do no harm: applying a snapshot again changes nothing.
    let appended = node.log.append(CONFIG_STREAM, &data).await.is_ok();
    info!("{}", LogLine::event("snapshot").with("version", version).with("appended", appended));
}
