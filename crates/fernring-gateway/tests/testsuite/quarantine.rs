//! Which requests are quarantined for crashes of upstreams, and which aren't.

use {
    fernring_gateway::{
        crash_detection::Incarnation,
        fingerprint::Fingerprint,
        quarantine::{ATTRIBUTION_LIFETIME, CRASHES_MAX, ClearanceRecord, CrashRecord, Quarantine},
    },
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom},
    std::{collections::HashMap, time::Duration},
};

const NOW: Duration = Duration::from_secs(10_000);

fn incarnation(number: usize) -> Incarnation {
    Incarnation { instance: format!("i-{number}").into(), started_ms: None }
}

fn fingerprint(number: usize) -> Fingerprint {
    Fingerprint::of(None, &number.to_string(), b"")
}

fn seconds(seconds: u64) -> Duration {
    NOW + Duration::from_secs(seconds)
}

/// Attributes the crash of incarnation `number` at second `number` to requests.
fn crash(quarantine: &mut Quarantine, number: usize, fingerprints: &[usize]) -> Vec<Fingerprint> {
    let fingerprints: Vec<_> = fingerprints.iter().map(|number| fingerprint(*number)).collect();
    let at = seconds(number as u64);
    quarantine.record_crash(at, &incarnation(number), at, &fingerprints).newly_quarantined
}

#[test]
fn third_crash_quarantines_a_request() {
    let mut quarantine = Quarantine::default();
    assert!(
        crash(&mut quarantine, 1, &[7]).is_empty() && crash(&mut quarantine, 2, &[7]).is_empty()
    );
    assert_eq!(crash(&mut quarantine, 3, &[7, 8]), [fingerprint(7)]);
    assert!(
        quarantine.is_quarantined(fingerprint(7)) && !quarantine.is_quarantined(fingerprint(8))
    );
    assert_eq!(
        quarantine.crashes_of(fingerprint(7)),
        [incarnation(1), incarnation(2), incarnation(3)]
    );
}

/// Something that several requests share may be the cause of crashes under a request that is always in flight.
#[test]
fn explained_crash_no_longer_counts_for_a_quarantined_request() {
    let mut quarantine = Quarantine::default();
    (1..=3).for_each(|number| drop(crash(&mut quarantine, number, &[7])));
    assert!(quarantine.is_quarantined(fingerprint(7)));
    quarantine.record_explained(&incarnation(2), seconds(2));
    assert!(!quarantine.is_quarantined(fingerprint(7)));
    assert!(crash(&mut quarantine, 2, &[7]).is_empty(), "it was explained");
    assert_eq!(crash(&mut quarantine, 4, &[7]), [fingerprint(7)]);
}

#[test]
fn same_incarnation_counts_once() {
    let mut quarantine = Quarantine::default();
    for _ in 0..5 {
        assert!(crash(&mut quarantine, 1, &[7]).is_empty());
    }
    let again = quarantine.record_crash(seconds(9), &incarnation(1), seconds(2), &[fingerprint(7)]);
    assert!(!again.is_new, "observed by another node at a later time");
    assert_eq!(quarantine.crashes_of(fingerprint(7)), [incarnation(1)]);
}

#[test]
fn answer_covers_earlier_crashes_and_the_next_minute() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, &[7]);
    crash(&mut quarantine, 2, &[7]);
    assert!(quarantine.record_answer(fingerprint(7), seconds(5)));
    assert!(!quarantine.record_answer(fingerprint(8), seconds(6)), "no crash is attributed to it");
    for (number, at) in [(3, 4), (4, 6), (5, 65)] {
        let covered = quarantine.record_crash(
            seconds(at),
            &incarnation(number),
            seconds(at),
            &[fingerprint(7)],
        );
        assert!(!covered.is_new, "a crash at {at} s");
    }
    for number in [66, 67] {
        assert!(crash(&mut quarantine, number, &[7]).is_empty());
    }
    assert_eq!(crash(&mut quarantine, 68, &[7]), [fingerprint(7)]);
}

/// A frequent harmless request was quarantined because it was in flight at most crashes.
#[test]
fn often_answered_request_is_not_quarantined() {
    let mut quarantine = Quarantine::default();
    quarantine.record_answer(fingerprint(7), seconds(0));
    for number in 1..=5 {
        assert!(crash(&mut quarantine, number, &[7, 100 + number]).is_empty());
    }
    quarantine.record_answer(fingerprint(7), seconds(50));
    for number in 60..100 {
        assert!(crash(&mut quarantine, number, &[7, 100 + number]).is_empty());
    }
    let mut unrelated = Quarantine::default();
    for number in 0..10_000 {
        unrelated
            .record_answer(fingerprint(number), seconds(0) + Duration::from_millis(number as u64));
    }
    let (crashes, _) = unrelated.records(usize::MAX);
    assert!(crashes.is_empty(), "answers alone create no attributions");
}

/// A peer that saw the answer reports it; a node that had attributed crashes to the request removes
/// them, in whichever order the reports arrive.
#[test]
fn answer_reported_by_peer_clears_a_request() {
    let mut quarantine = Quarantine::default();
    for number in 1..=CRASHES_MAX {
        crash(&mut quarantine, number, &[7]);
    }
    assert!(quarantine.is_quarantined(fingerprint(7)));
    let record = ClearanceRecord { fingerprint: fingerprint(7), at: seconds(1) };
    assert!(
        quarantine.record_clearance(seconds(5), record)
            && !quarantine.record_clearance(seconds(6), record)
    );
    assert!(!quarantine.is_quarantined(fingerprint(7)), "it was answered at the first crash");
}

#[test]
fn explained_crashes_are_not_attributed_to_others() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, &[7, 8]);
    crash(&mut quarantine, 2, &[7, 8]);
    crash(&mut quarantine, 3, &[7]);
    assert!(
        quarantine.crashes_of(fingerprint(8)).is_empty(),
        "the quarantined request explains both crashes"
    );
    crash(&mut quarantine, 4, &[7, 8, 9]);
    assert!(
        quarantine.crashes_of(fingerprint(8)).is_empty()
            && quarantine.crashes_of(fingerprint(9)).is_empty()
    );
    let from_another_node =
        quarantine.record_crash(seconds(5), &incarnation(3), seconds(3), &[fingerprint(9)]);
    assert!(!from_another_node.is_new && quarantine.crashes_of(fingerprint(9)).is_empty());
}

#[test]
fn attribution_expires_after_its_lifetime() {
    let mut quarantine = Quarantine::default();
    for number in 1..=CRASHES_MAX {
        crash(&mut quarantine, number, &[7]);
    }
    let last = seconds(CRASHES_MAX as u64);
    assert!(quarantine.expire(last + ATTRIBUTION_LIFETIME - Duration::from_secs(1)).is_empty());
    assert_eq!(quarantine.expire(last + ATTRIBUTION_LIFETIME), [fingerprint(7)]);
    assert!(
        !quarantine.is_quarantined(fingerprint(7))
            && quarantine.records(9) == (Vec::new(), Vec::new())
    );
    let old = quarantine.record_crash(
        last + ATTRIBUTION_LIFETIME,
        &incarnation(1),
        seconds(1),
        &[fingerprint(7)],
    );
    assert!(!old.is_new, "a peer with a slow clock reports an expired crash");
}

/// A caller that sends many requests that crash one upstream each can't evict a request with two
/// crashes.
#[test]
fn attributions_are_bounded_and_keep_most_crashes() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, &[7]);
    crash(&mut quarantine, 2, &[7]);
    let unrelated: Vec<_> = (100..10_000).collect();
    for (number, chunk) in unrelated.chunks(64).enumerate() {
        crash(&mut quarantine, 10 + number, chunk);
    }
    let (_, clearances) = quarantine.records(usize::MAX);
    assert!(clearances.is_empty());
    let (crashes, _) = quarantine.records(10_000);
    let attributions: usize = crashes.iter().map(|record| record.fingerprints.len()).sum();
    assert!(attributions <= 4_097, "{attributions}");
    assert_eq!(quarantine.crashes_of(fingerprint(7)).len(), 2);
    let (first, _) = quarantine.records(1);
    assert!(
        first.iter().all(|record| record.fingerprints == [fingerprint(7)]),
        "listed before all others"
    );
}

/// The state of a node depends neither on the order of the records nor on receiving a record twice.
#[test]
fn nodes_agree_whatever_the_order_of_records() {
    for seed in 0..200 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut records = Vec::new();
        for number in 1..12 {
            let in_flight = (0..6).filter(|_| random.random_bool(0.3)).map(fingerprint).collect();
            records.push(Ok(CrashRecord {
                incarnation: incarnation(number),
                at: seconds(number as u64),
                fingerprints: in_flight,
            }));
        }
        for number in 0..2 {
            let at = seconds(random.random_range(1..12)) + Duration::from_millis(500);
            records.push(Err(ClearanceRecord { fingerprint: fingerprint(number), at }));
        }
        let mut apply_records = |records: &mut Vec<Result<CrashRecord, ClearanceRecord>>| {
            let again = records[random.random_range(0..records.len())].clone();
            records.push(again);
            records.shuffle(&mut random);
            let mut quarantine = Quarantine::default();
            for record in &*records {
                match record {
                    Ok(crash) => drop(quarantine.record_crash(
                        seconds(20),
                        &crash.incarnation,
                        crash.at,
                        &crash.fingerprints,
                    )),
                    Err(clearance) => drop(quarantine.record_clearance(seconds(20), *clearance)),
                }
            }
            quarantine
        };
        let (first, second) = (apply_records(&mut records), apply_records(&mut records));
        // Two requests with the same evidence can't be told apart: the first one with three crashes
        // explains those of the others. No request is cleared at one node and known to crash
        // upstreams at another.
        for number in 0..2 {
            let is_cleared = |quarantine: &Quarantine| {
                let (_, clearances) = quarantine.records(usize::MAX);
                clearances.iter().any(|record| record.fingerprint == fingerprint(number))
            };
            assert_eq!(is_cleared(&first), is_cleared(&second), "seed {seed}");
        }
    }
}

/// Two nodes on different sides of a network partition exchange the important records and then
/// agree.
#[test]
fn exchanged_records_quarantine_the_same_requests() {
    let mut first = Quarantine::default();
    for number in 1..=5 {
        crash(&mut first, number, &[7, 10 + number]);
    }
    first.record_answer(fingerprint(12), seconds(6));
    let mut second = Quarantine::default();
    let (crashes, clearances) = first.records(512);
    for record in crashes {
        second.record_crash(seconds(7), &record.incarnation, record.at, &record.fingerprints);
    }
    for record in clearances {
        second.record_clearance(seconds(7), record);
    }
    let quarantined = |quarantine: &Quarantine| quarantine.quarantined().collect::<HashMap<_, _>>();
    assert_eq!(quarantined(&first), quarantined(&second));
    assert!(second.is_quarantined(fingerprint(7)));
}

/// Random crashes of a third of the upstreams, with retries by nodes and callers.
#[test]
fn random_crashes_quarantine_no_request() {
    let (mut crashes_met, mut quarantined) = (0, 0);
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut quarantine = Quarantine::default();
        let mut incarnations = [0; 18];
        let crash_times: Vec<u64> = (0..4).map(|wave| 3_000 + 5_000 * wave).collect();
        for request in 0..2_000 {
            let mut at_ms = random.random_range(0..22_000);
            // Two tries of a caller, with up to three upstreams each; a request runs for up to
            // three seconds.
            for _ in 0..6 {
                let upstream = random.random_range(0..18);
                let lasts_ms = random.random_range(50..3_000);
                let crash_index =
                    crash_times.iter().position(|crash| (at_ms..at_ms + lasts_ms).contains(crash));
                let Some(wave) = crash_index.filter(|_| upstream % 3 == 0) else {
                    quarantine.record_answer(
                        fingerprint(request),
                        NOW + Duration::from_millis(at_ms + lasts_ms),
                    );
                    break;
                };
                crashes_met += 1;
                incarnations[upstream] = incarnations[upstream].max(wave + 1);
                let crashed_incarnation = Incarnation {
                    instance: format!("i-{upstream}").into(),
                    started_ms: Some(wave as u64),
                };
                let at = NOW + Duration::from_millis(crash_times[wave]);
                let change = quarantine.record_crash(
                    seconds(30),
                    &crashed_incarnation,
                    at,
                    &[fingerprint(request)],
                );
                quarantined += change.newly_quarantined.len();
                at_ms = crash_times[wave] + random.random_range(1..300);
            }
        }
    }
    assert!(crashes_met > 10_000, "the days had fewer crashes than intended: {crashes_met}");
    assert_eq!(quarantined, 0, "of {crashes_met} crashes met");
}

/// A harmless request was refused before its first answer, with the crashes of a deadly one.
#[test]
fn requests_sharing_all_crashes_are_briefly_ambiguous() {
    let mut quarantine = Quarantine::default();
    for number in 1..=3 {
        crash(&mut quarantine, number, &[7, 8]);
    }
    let third = seconds(3);
    let is_ambiguous = |quarantine: &Quarantine, number, later_ms| {
        quarantine.is_ambiguous(third + Duration::from_millis(later_ms), fingerprint(number))
    };
    assert!(is_ambiguous(&quarantine, 7, 0) && is_ambiguous(&quarantine, 8, 500));
    assert!(!is_ambiguous(&quarantine, 7, 700), "an answer would have arrived by now");
    assert!(!is_ambiguous(&quarantine, 9, 0), "it isn't quarantined");
    // The answer in progress settles it: the other request is no longer ambiguous, and stays
    // quarantined.
    assert!(quarantine.record_answer(fingerprint(8), third + Duration::from_millis(100)));
    assert!(!is_ambiguous(&quarantine, 7, 200) && !is_ambiguous(&quarantine, 8, 200));
    assert!(
        quarantine.is_quarantined(fingerprint(7)) && !quarantine.is_quarantined(fingerprint(8))
    );
}

#[test]
fn request_with_a_crash_of_its_own_is_not_ambiguous() {
    let mut quarantine = Quarantine::default();
    crash(&mut quarantine, 1, &[7, 8]);
    crash(&mut quarantine, 2, &[7, 8]);
    assert_eq!(crash(&mut quarantine, 3, &[7]), [fingerprint(7)]);
    assert!(!quarantine.is_ambiguous(seconds(3), fingerprint(7)));
}
