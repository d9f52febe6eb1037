//! Tests of the limits on bytes that are no progress of a response.

use {
    fernring_gateway::response_progress::{
        FRAMING_BYTES_MAX, HEAD_BYTES_MAX, INTERIM_RESPONSES_MAX, NoProgress, ResponsePart,
        ResponseProgress, TRICKLE_TIME_MAX,
    },
    std::time::Duration,
};

const INTERIM: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const DROP_INTERVAL: Duration = Duration::from_millis(50);

fn started() -> ResponseProgress {
    let mut progress = ResponseProgress::default();
    progress.start();
    progress
}

/// Reads bytes one at a time; returns the time at which they are given up.
fn read_in_drops(progress: &mut ResponseProgress, bytes: &[u8]) -> Result<(), Duration> {
    let mut now = Duration::ZERO;
    for byte in bytes {
        progress.record_read(now, &[*byte]).map_err(|_| now)?;
        now += DROP_INTERVAL;
    }
    Ok(())
}

#[test]
fn head_without_end_is_limited_in_bytes() {
    for (start, repeated) in
        [("HTTP/1.1 200 OK\r\n", "X: a\r\n"), ("HTTP/1.1 200 ", "a"), ("", "\r\n")]
    {
        let mut progress = started();
        progress.record_read(Duration::ZERO, start.as_bytes()).unwrap();
        let mut read = start.len() as u64;
        while progress.record_read(Duration::ZERO, repeated.as_bytes()).is_ok() {
            read += repeated.len() as u64;
            assert!(read <= HEAD_BYTES_MAX);
        }
    }
}

#[test]
fn interim_responses_are_limited_in_number_and_bytes() {
    let mut progress = started();
    for _ in 0..INTERIM_RESPONSES_MAX {
        progress.record_read(Duration::ZERO, INTERIM).unwrap();
    }
    assert!(progress.record_read(Duration::ZERO, INTERIM).is_err());
    let mut progress = started();
    let long = [&INTERIM[..INTERIM.len() - 2], &vec![b'a'; HEAD_BYTES_MAX as usize]].concat();
    let NoProgress { part, bytes } = progress.record_read(Duration::ZERO, &long).unwrap_err();
    assert_eq!((part, bytes), (ResponsePart::Head, long.len() as u64));
}

#[test]
fn interim_responses_before_a_slow_response_are_progress() {
    let mut progress = started();
    for second in 0..u64::from(INTERIM_RESPONSES_MAX) {
        progress.record_read(Duration::from_secs(second), INTERIM).unwrap();
    }
    progress.record_read(Duration::from_secs(60), HEAD).unwrap();
}

#[test]
fn head_in_drops_is_limited_in_time() {
    for bytes in [HEAD, INTERIM, b"\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n"] {
        let given_up_at = read_in_drops(&mut started(), bytes).unwrap_err();
        assert!(given_up_at <= TRICKLE_TIME_MAX + DROP_INTERVAL, "{given_up_at:?}");
    }
}

#[test]
fn pause_inside_a_head_counts_as_a_single_drop() {
    let mut progress = started();
    for (second, part) in [(0, &HEAD[..5]), (3, &HEAD[5..30]), (9, &HEAD[30..])] {
        progress.record_read(Duration::from_secs(second), part).unwrap();
    }
}

#[test]
fn framing_is_limited_beyond_a_share_of_the_data() {
    let mut progress = started();
    progress.record_read(Duration::ZERO, HEAD).unwrap();
    for _ in 0..1_000_000 {
        progress.record_read(Duration::ZERO, b"1\r\na\r\n").unwrap();
        progress.record_delivered(1);
    }
    let mut progress = started();
    progress.record_read(Duration::ZERO, HEAD).unwrap();
    progress.record_read(Duration::ZERO, &vec![b'0'; FRAMING_BYTES_MAX as usize]).unwrap();
    let NoProgress { part, .. } = progress.record_read(Duration::ZERO, b"0").unwrap_err();
    assert_eq!(part, ResponsePart::Body);
}

/// A body of single bytes took six times its data on the wire.
#[test]
fn limited_body_is_read_beyond_its_limit_in_small_chunks() {
    let bytes_max = 1 << 20;
    let limit = bytes_max as u64 + FRAMING_BYTES_MAX;
    let chunk = b"1\r\na\r\n";
    let mut progress = started();
    progress.record_read(Duration::ZERO, HEAD).unwrap();
    progress.limit_body(bytes_max);
    let mut read = 0;
    while progress.record_read(Duration::ZERO, chunk).is_ok() {
        progress.record_delivered(1);
        read += chunk.len() as u64;
        assert!(read <= limit);
    }
    assert!(read + chunk.len() as u64 > limit);
}

#[test]
fn limited_body_of_common_chunks_is_refused() {
    let bytes_max = 1 << 20;
    let chunk = [&b"400\r\n"[..], &[b'a'; 1_024], b"\r\n"].concat();
    let mut progress = started();
    progress.record_read(Duration::ZERO, HEAD).unwrap();
    progress.limit_body(bytes_max);
    for _ in 0..bytes_max / 1_024 {
        progress.record_read(Duration::ZERO, &chunk).unwrap();
        progress.record_delivered(1_024);
    }
    progress.record_read(Duration::ZERO, b"0\r\n\r\n").unwrap();
}

#[test]
fn framing_in_drops_is_limited_in_time() {
    let mut progress = started();
    progress.record_read(Duration::ZERO, HEAD).unwrap();
    let given_up_at = read_in_drops(&mut progress, &[b'0'; 100]).unwrap_err();
    assert!(given_up_at <= TRICKLE_TIME_MAX + DROP_INTERVAL, "{given_up_at:?}");
}

#[test]
fn data_in_drops_is_progress() {
    let mut progress = started();
    progress.record_read(Duration::ZERO, HEAD).unwrap();
    for drop in 0..1_000 {
        progress.record_read(DROP_INTERVAL * drop, b"a").unwrap();
        progress.record_delivered(1);
    }
}

#[test]
fn next_response_on_the_connection_has_limits_of_its_own() {
    let mut progress = started();
    for _ in 0..100 {
        for _ in 0..INTERIM_RESPONSES_MAX {
            progress.record_read(Duration::ZERO, INTERIM).unwrap();
        }
        progress.record_read(Duration::ZERO, HEAD).unwrap();
        progress.limit_body(0);
        progress.record_read(Duration::ZERO, &vec![b'a'; FRAMING_BYTES_MAX as usize]).unwrap();
        progress.start();
    }
}
