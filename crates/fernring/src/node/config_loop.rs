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
/// A node looks for the need of a snapshot at random times up to this apart, so that mostly one
/// node appends it.
const SNAPSHOT_CHECK_MAX_MS: u64 = 60_000;

/// Reads the stream for as long as the node runs.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let from = lock(&node.fold).next_offset();
        match node.log.read(CONFIG_STREAM, from, LONG_POLL).await {
            Ok(page) => {
                let changed = lock(&node.fold).apply_page(ConfigPage::decode(from, page));
                let now_ms = saturating_ms(node.now().monotonic);
                node.config_read_at_ms.store(now_ms, Ordering::Relaxed);
                node.configured(changed);
            }
            Err(error) => {
                let line = LogLine::event("log_unreachable").with("stream", CONFIG_STREAM);
                warn!("{}", line.with("error", error));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Looks now and then whether the newest snapshot is past half of retention, and appends one.
/// Runs beside the reading, which never waits for it.
pub(super) async fn keep_snapshots(node: Arc<Node>) {
    let age_ms = node.settings.platform.log_retention_ms / 2;
    let every_ms = SNAPSHOT_CHECK_MAX_MS.min(age_ms / 4).max(1);
    loop {
        let pause_ms = rand::rng().random_range(every_ms / 2..=every_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        // What a reading has not shown yet may be another node's snapshot, so ask the log first.
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
    // Two snapshots, or one whose answer is lost, do no harm: folding one again changes nothing.
    let appended = node.log.append(CONFIG_STREAM, &data).await.is_ok();
    info!("{}", LogLine::event("snapshot").with("version", version).with("appended", appended));
}
