//! The queue of log lines: bounded, and sampled by request.

use {fernring::log_queue::LineQueue, std::collections::BTreeMap};

fn push(queue: &LineQueue, level: &str, request: u32, event: &str) {
    queue.push(format!("level={level} event={event} request=r{request} x=1\n").as_bytes());
}

fn line_counts_by_request(text: &[u8]) -> BTreeMap<String, usize> {
    let mut line_counts = BTreeMap::new();
    for line in String::from_utf8_lossy(text).lines() {
        if let Some((_, rest)) = line.split_once(" request=") {
            let id = rest.split(' ').next().unwrap_or_default();
            *line_counts.entry(id.to_owned()).or_default() += 1;
        }
    }
    line_counts
}

/// Pushes three lines for each of `requests` requests, 12 times over, so that the sampling adjusts. Returns the lines
/// of the last time.
fn flood(queue: &LineQueue, requests: u32) -> Vec<u8> {
    let mut last = Vec::new();
    for _ in 0..12 {
        for event in ["routed", "stage_ended", "request_ended"] {
            for request in 0..requests {
                push(queue, "info", request, event);
            }
        }
        last = queue.take_pending();
    }
    last
}

#[test]
fn nothing_dropped_below_budget() {
    let queue = LineQueue::new(100_000);
    let text = flood(&queue, 10);
    assert_eq!(line_counts_by_request(&text).len(), 10);
    assert!(!String::from_utf8_lossy(&text).contains("lines_left_out"));
}

#[test]
fn flood_stays_in_budget_and_samples_whole_requests() {
    let bytes_per_s = 40_000;
    let queue = LineQueue::new(bytes_per_s);
    let text = flood(&queue, 5_000);
    assert!(
        text.len() <= bytes_per_s as usize / 4 * 2,
        "{} bytes in a quarter of a second",
        text.len()
    );
    let line_counts = line_counts_by_request(&text);
    assert!(!line_counts.is_empty());
    assert!(
        line_counts.values().all(|count| *count == 3),
        "all lines of a request are kept, or none"
    );
    let text = String::from_utf8(text).unwrap();
    assert!(text.contains("event=lines_left_out count="), "dropped lines are reported");
}

#[test]
fn warnings_and_node_lines_survive_flood() {
    let queue = LineQueue::new(40_000);
    flood(&queue, 5_000);
    for request in 0..100 {
        push(&queue, "warn", request, "request_ended");
    }
    queue.push(b"level=info event=config_taken from=1 to=2\n");
    let text = queue.take_pending();
    assert_eq!(line_counts_by_request(&text).len(), 100);
    assert!(String::from_utf8_lossy(&text).contains("config_taken"));
}

#[test]
fn unread_lines_are_bounded_and_counted() {
    let queue = LineQueue::new(40_000);
    for request in 0..100_000 {
        push(&queue, "info", request, "routed");
    }
    let text = queue.take_pending();
    assert!(text.len() <= (1 << 20) + 100, "{}", text.len());
    assert!(String::from_utf8_lossy(&text).contains("lines_left_out"));
}
