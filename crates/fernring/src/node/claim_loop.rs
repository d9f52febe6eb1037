//! Reads the claim stream and appends to it.

use {
    super::{
        codec::{decode_claims, encode_claims},
        state::{Node, lock},
    },
    fernring_core::{
        claim::{CLAIM_STREAM, ClaimBatch, ClaimPage, ClaimRecord},
        log::{LogPage, LogRecord},
        text::LogLine,
    },
    fernring_policy::event::Event,
    spdlog::warn,
    std::{sync::Arc, time::Duration},
};

/// How long the log service may wait for a record before it responds with none.
const LONG_POLL: Duration = Duration::from_secs(1);
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Reads the claim stream for as long as the node runs.
pub(super) async fn run(node: Arc<Node>) {
    loop {
        let from = lock(&node.dispatcher).claim_view().next_offset();
        match node.log.read(CLAIM_STREAM, from, LONG_POLL).await {
            Ok(page) => node.handle(Event::ClaimsRead(claim_page(from, page))),
            Err(error) => {
                let line = LogLine::event("log_unreachable").with("stream", CLAIM_STREAM);
                warn!("{}", line.with("error", error));
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Appends a claim record and passes the outcome to the dispatcher.
pub(super) async fn append(node: Arc<Node>, batch: ClaimBatch) {
    let appended = node.log.append(CLAIM_STREAM, &encode_claims(&batch)).await;
    let event = match appended {
        Ok(_) => Event::ClaimsAppended,
        Err(error) => {
            let line = LogLine::event("claims_in_doubt").with("entries", batch.entries.len());
            warn!("{}", line.with("error", error));
            Event::ClaimsOutcomeUnknown
        }
    };
    node.handle(event);
}

fn claim_page(from: u64, page: LogPage) -> ClaimPage {
    let record = |record: LogRecord| ClaimRecord {
        offset: record.offset,
        time_ms: record.time_ms,
        batch: decode_claims(&record.data),
    };
    ClaimPage {
        from,
        first_offset: page.first_offset,
        next_offset: page.next_offset,
        time_ms: page.time_ms,
        records: page.records.into_iter().map(record).collect(),
    }
}
