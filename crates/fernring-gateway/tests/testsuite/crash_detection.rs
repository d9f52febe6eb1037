//! Evidence that an upstream has crashed.

use {
    fernring_gateway::{
        crash_detection::{
            CRASH_EVIDENCE_TIME_MAX, CrashDetector, Disconnect, Incarnation, ProbeResult,
        },
        fingerprint::{Fingerprint, RequestTraits},
        model::UpstreamKey,
    },
    slotmap::SlotMap,
    std::{net::SocketAddr, time::Duration},
};

const NOW: Duration = Duration::from_secs(100);

fn incarnation() -> Incarnation {
    Incarnation { instance: "i-1".into(), started_ms: Some(7) }
}

fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 8080))
}

fn request(name: &str) -> RequestTraits {
    RequestTraits::without_parts(Fingerprint::of(None, name, b""))
}

/// Returns a detector with one broken send, and the key of its upstream.
fn detector_with_broken_send(disconnect: Disconnect) -> (CrashDetector, UpstreamKey) {
    let mut detector = CrashDetector::default();
    let key = UpstreamKey::default();
    let crash = detector.record_disconnect(
        NOW,
        (key, address()),
        &incarnation(),
        disconnect,
        Some(&request("a")),
    );
    assert_eq!(crash, None, "a disconnect alone is no evidence");
    (detector, key)
}

#[test]
fn refused_connection_after_disconnect_is_a_crash() {
    let (mut detector, key) = detector_with_broken_send(Disconnect::Closed);
    let crash = detector.record_probe(key, ProbeResult::Refused).unwrap();
    assert_eq!((crash.incarnation, crash.requests), (incarnation(), vec![request("a")]));
}

#[test]
fn disconnect_of_live_upstream_is_no_crash() {
    let (mut detector, key) = detector_with_broken_send(Disconnect::Closed);
    assert_eq!(detector.record_probe(key, ProbeResult::Accepted), None);
    assert_eq!(detector.record_removal(NOW, key), None, "it is leaving and still serves");
}

#[test]
fn restart_is_a_crash_whatever_the_probe_result() {
    let (mut detector, key) = detector_with_broken_send(Disconnect::Closed);
    assert_eq!(
        detector.record_probe(key, ProbeResult::Accepted),
        None,
        "the new process accepts connections"
    );
    assert!(detector.record_restart(NOW, key).is_some());
}

/// A paused node notices the disconnect only after another process has taken the address.
#[test]
fn new_upstream_at_the_address_is_a_crash() {
    let mut keys = SlotMap::<UpstreamKey, ()>::with_key();
    let next_key = keys.insert(());
    let (mut detector, key) = detector_with_broken_send(Disconnect::Closed);
    assert_eq!(
        (detector.record_probe(key, ProbeResult::Accepted), detector.record_removal(NOW, key)),
        (None, None)
    );
    let other_address = SocketAddr::from(([10, 0, 0, 2], 8080));
    assert!(detector.record_new_upstream(NOW, next_key, other_address).is_empty());
    assert_eq!(detector.record_new_upstream(NOW, next_key, address())[0].requests, [request("a")]);
}

#[test]
fn silence_is_a_crash_only_with_other_evidence() {
    let (mut detector, key) = detector_with_broken_send(Disconnect::Silent);
    assert!(!detector.start_probe(NOW, key), "there is no evidence of a crash");
    assert_eq!(
        detector.record_removal(NOW, key),
        None,
        "it may be leaving and still serve, or have lost the store"
    );
    assert!(detector.start_probe(NOW, key));
    assert!(
        detector.record_probe(key, ProbeResult::Silent).is_some(),
        "its record is gone, and the probe timed out"
    );
    let (mut detector, key) = detector_with_broken_send(Disconnect::Silent);
    assert_eq!(detector.record_probe(key, ProbeResult::Silent), None, "as in a network partition");
    let (mut detector, key) = detector_with_broken_send(Disconnect::Closed);
    assert!(
        detector.record_probe(key, ProbeResult::Silent).is_some(),
        "closed, then silent: its VM has crashed"
    );
}

#[test]
fn record_removed_before_disconnect_is_no_crash() {
    let mut detector = CrashDetector::default();
    let key = UpstreamKey::default();
    assert_eq!(detector.record_removal(NOW, key), None);
    assert_eq!(
        detector.record_disconnect(
            NOW,
            (key, address()),
            &incarnation(),
            Disconnect::Closed,
            Some(&request("a"))
        ),
        None
    );
    assert_eq!(detector.record_probe(key, ProbeResult::Refused), None);
}

#[test]
fn disconnect_of_leaving_upstream_is_no_crash() {
    let mut detector = CrashDetector::default();
    let key = UpstreamKey::default();
    detector.record_leaving(NOW, key);
    detector.record_removal(NOW, key);
    assert_eq!(
        detector.record_disconnect(
            NOW,
            (key, address()),
            &incarnation(),
            Disconnect::Closed,
            Some(&request("a"))
        ),
        None
    );
    assert_eq!(detector.record_probe(key, ProbeResult::Refused), None);
}

#[test]
fn disconnects_after_a_known_crash_belong_to_it() {
    let (mut detector, key) = detector_with_broken_send(Disconnect::Closed);
    detector.record_probe(key, ProbeResult::Refused);
    let second_crash = detector
        .record_disconnect(
            NOW,
            (key, address()),
            &incarnation(),
            Disconnect::Closed,
            Some(&request("b")),
        )
        .unwrap();
    assert_eq!(second_crash.requests, [request("b")], "each request is reported once");
    let mut detector = CrashDetector::default();
    assert_eq!(detector.record_restart(NOW, key), None);
    assert!(
        detector
            .record_disconnect(
                NOW,
                (key, address()),
                &incarnation(),
                Disconnect::Closed,
                Some(&request("c"))
            )
            .is_some()
    );
}

#[test]
fn crash_is_known_as_soon_as_evidence_decides() {
    let mut detector = CrashDetector::default();
    let key = UpstreamKey::default();
    assert_eq!(detector.has_crashed(key), None);
    assert_eq!(
        detector.record_disconnect(NOW, (key, address()), &incarnation(), Disconnect::Closed, None),
        None
    );
    assert_eq!(detector.has_crashed(key), None);
    assert_eq!(
        (detector.record_probe(key, ProbeResult::Accepted), detector.has_crashed(key)),
        (None, Some(false))
    );
    assert_eq!(
        detector.record_probe(key, ProbeResult::Refused),
        None,
        "there is no fingerprint to attribute the crash to"
    );
    assert_eq!(detector.has_crashed(key), Some(true));
}

#[test]
fn probes_are_paced_and_end_after_a_time() {
    let (mut detector, key) = detector_with_broken_send(Disconnect::Closed);
    assert!(detector.start_probe(NOW, key) && !detector.start_probe(NOW, key));
    assert!(detector.start_probe(NOW + Duration::from_millis(200), key));
    detector.expire(NOW + CRASH_EVIDENCE_TIME_MAX);
    assert_eq!(detector.record_probe(key, ProbeResult::Refused), None);
}
