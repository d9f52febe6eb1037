//! Which parts of prompts are quarantined for crashes of upstreams, and which aren't.

use {
    fernring_gateway::{
        crash_detection::Incarnation,
        fingerprint::{Fingerprint, PartKey, RequestTraits},
        part_quarantine::{PartClearance, PartCrashRecord, PartQuarantine},
        quarantine::ATTRIBUTION_LIFETIME,
    },
    rand::{RngExt, SeedableRng, rngs::StdRng},
    std::time::Duration,
};

const NOW: Duration = Duration::from_secs(10_000);
/// Crashes that one part may cause.
const CRASHES_ALLOWED: usize = 5;
/// Requests with the part that may reach upstreams after these crashes.
const LATE_REQUESTS_ALLOWED: usize = 3;

fn part(id: u64) -> PartKey {
    PartKey { service: "llm".into(), id }
}

fn parts(ids: &[u64]) -> Vec<PartKey> {
    ids.iter().copied().map(part).collect()
}

fn incarnation(number: usize) -> Incarnation {
    Incarnation { instance: format!("i-{number}").into(), started_ms: None }
}

fn request(number: usize, ids: &[u64]) -> RequestTraits {
    let fingerprint = Fingerprint::of(None, &number.to_string(), b"");
    RequestTraits { fingerprint, parts: parts(ids).into() }
}

fn at_ms(ms: u64) -> Duration {
    NOW + Duration::from_millis(ms)
}

fn record(number: usize, at: Duration, requests: &[RequestTraits]) -> PartCrashRecord {
    PartCrashRecord { incarnation: incarnation(number), at, requests: requests.to_vec() }
}

/// Records the crash of incarnation `number` at second `number`, under a request with the same number.
fn crash(quarantine: &mut PartQuarantine, number: usize, ids: &[u64]) {
    let at = at_ms(number as u64 * 1_000);
    quarantine.record_crash(at, &record(number, at, &[request(number, ids)]));
}

fn refuses(quarantine: &PartQuarantine, ids: &[u64]) -> bool {
    quarantine.culprit(&parts(ids)).is_some()
}

#[test]
fn part_of_all_crashes_is_quarantined_within_the_allowed_crashes() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_ALLOWED {
        crash(&mut quarantine, number, &[1, 100 + number as u64]);
    }
    assert!(refuses(&quarantine, &[1, 7]));
    assert!(!refuses(&quarantine, &[100, 7]), "it was in flight at one crash");
}

#[test]
fn answered_part_beside_a_crashing_one_is_not_quarantined() {
    let mut quarantine = PartQuarantine::default();
    quarantine.record_answer(&part(2), NOW);
    for number in 0..10 {
        crash(&mut quarantine, number, &[2, 1]);
    }
    assert!(refuses(&quarantine, &[2, 1]));
    assert!(!refuses(&quarantine, &[2, 3]));
}

/// Requests whose parts were in flight at the same crashes include the culprit only if they have all of these parts.
#[test]
fn indistinguishable_parts_are_refused_only_together() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_ALLOWED {
        crash(&mut quarantine, number, &[2, 1]);
    }
    assert!(refuses(&quarantine, &[2, 1]));
    assert!(!refuses(&quarantine, &[2, 3]) && !refuses(&quarantine, &[1, 3]));
    crash(&mut quarantine, CRASHES_ALLOWED, &[1, 3]);
    assert!(refuses(&quarantine, &[1, 4]), "one more crash tells them apart");
    assert!(!refuses(&quarantine, &[2, 3]));
}

#[test]
fn answer_tells_indistinguishable_parts_apart() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_ALLOWED {
        crash(&mut quarantine, number, &[2, 1]);
    }
    assert!(quarantine.record_answer(&part(2), at_ms(6_000)).is_new);
    assert!(refuses(&quarantine, &[1, 4]));
    assert!(!refuses(&quarantine, &[2, 3]));
}

/// A request that is repeated is the whole request's matter.
#[test]
fn repeats_of_one_request_count_once() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..10 {
        let at = at_ms(number as u64 * 1_000);
        quarantine.record_crash(at, &record(number, at, &[request(0, &[1])]));
    }
    assert!(!refuses(&quarantine, &[1]));
}

/// A request that is sent again crashes a second upstream, at the moment at which another request crashes one.
#[test]
fn crash_of_a_repeat_hides_no_other_request() {
    let mut quarantine = PartQuarantine::default();
    let crashes = [(150, 1), (270, 2), (300, 1), (390, 3), (420, 2), (510, 4), (540, 3), (660, 4)];
    for (number, (ms, of)) in crashes.into_iter().enumerate() {
        let at = at_ms(ms);
        quarantine.record_crash(at, &record(number, at, &[request(of, &[1])]));
    }
    assert!(refuses(&quarantine, &[1]));
}

/// A failure domain ends with all its upstreams, some of which have requests of the same caller in flight.
#[test]
fn crashes_at_the_same_moment_count_once() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..12 {
        let at = at_ms(number as u64 * 10);
        quarantine.record_crash(at, &record(number, at, &[request(number, &[1])]));
    }
    assert!(!refuses(&quarantine, &[1]));
}

#[test]
fn part_that_explains_few_crashes_needs_more_of_them() {
    let mut quarantine = PartQuarantine::default();
    let mut number = 0;
    let mut crashes_with_part = 0;
    while !refuses(&quarantine, &[1]) {
        let ids: &[u64] = if number % 8 == 0 { &[1] } else { &[1_000 + number as u64] };
        crashes_with_part += usize::from(number % 8 == 0);
        crash(&mut quarantine, number, ids);
        number += 1;
    }
    assert!(crashes_with_part > CRASHES_ALLOWED, "{crashes_with_part}");
    assert!(crashes_with_part <= CRASHES_ALLOWED + LATE_REQUESTS_ALLOWED, "{crashes_with_part}");
}

#[test]
fn crashes_explained_by_a_culprit_accuse_nobody_else() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..20 {
        let at = at_ms(number as u64 * 1_000);
        let bystander = request(100 + number, &[if number < 2 { 9 } else { 8 }]);
        let requests = [request(number, &[1]), bystander];
        quarantine.record_crash(at, &record(number, at, &requests));
    }
    assert!(refuses(&quarantine, &[1]));
    assert!(!refuses(&quarantine, &[8]) && !refuses(&quarantine, &[9]));
    assert!(quarantine.crashes_of(&part(8)).is_empty());
}

/// Somebody who sends another's part beside a crashing one of their own must not get it refused.
#[test]
fn part_of_a_quiet_caller_beside_a_crashing_one_is_served() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..12 {
        crash(&mut quarantine, number, &[50, 1]);
    }
    assert!(!refuses(&quarantine, &[50, 3]));
    assert!(!refuses(&quarantine, &[50]));
}

#[test]
fn other_service_is_not_affected() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_ALLOWED {
        crash(&mut quarantine, number, &[1]);
    }
    assert!(refuses(&quarantine, &[1]));
    assert!(quarantine.culprit(&[PartKey { service: "other".into(), id: 1 }]).is_none());
}

#[test]
fn request_with_a_suspect_part_is_not_sent_twice() {
    let mut quarantine = PartQuarantine::default();
    crash(&mut quarantine, 0, &[1]);
    assert!(!quarantine.forbids_retry(&parts(&[1])));
    crash(&mut quarantine, 1, &[1]);
    assert!(quarantine.forbids_retry(&parts(&[1, 2])) && !quarantine.forbids_retry(&parts(&[2])));
    quarantine.record_answer(&part(1), at_ms(2_000));
    assert!(!quarantine.forbids_retry(&parts(&[1])));
}

/// An upstream's new release may have made the part harmless.
#[test]
fn quarantine_ends_after_the_lifetime_of_its_crashes() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_ALLOWED {
        crash(&mut quarantine, number, &[1]);
    }
    assert!(quarantine.expire(at_ms(5_000)).is_empty());
    assert_eq!(quarantine.expire(at_ms(5_000) + ATTRIBUTION_LIFETIME), [part(1)]);
    assert!(!refuses(&quarantine, &[1]));
}

#[test]
fn clearance_of_a_peer_counts_as_an_answer() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_ALLOWED {
        crash(&mut quarantine, number, &[1]);
    }
    let clearance = PartClearance { part: part(1), at: at_ms(6_000) };
    assert!(quarantine.record_clearance(at_ms(6_000), &clearance).is_new);
    assert!(!quarantine.record_clearance(at_ms(6_001), &clearance).is_new);
    assert!(!refuses(&quarantine, &[1]));
    assert!(quarantine.covering_answer(&part(1), at_ms(7_000)).is_some());
}

#[test]
fn node_that_starts_later_learns_from_the_records() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_ALLOWED {
        crash(&mut quarantine, number, &[2, 1]);
    }
    quarantine.record_answer(&part(2), at_ms(6_000));
    let mut late = PartQuarantine::default();
    for record in quarantine.records(100) {
        late.record_crash(at_ms(7_000), &record);
    }
    assert!(refuses(&late, &[2, 1]));
    assert!(!refuses(&late, &[2, 3]));
}

/// Callers make up ids; they must not push out what is quarantined.
#[test]
fn made_up_parts_do_not_displace_quarantined_ones() {
    let mut quarantine = PartQuarantine::default();
    for number in 0..CRASHES_ALLOWED {
        crash(&mut quarantine, number, &[1]);
    }
    for number in 100..2_100 {
        let ids: Vec<_> = (0..5).map(|index| (number * 10 + index) as u64).collect();
        let at = at_ms(60_000 + number as u64);
        quarantine.record_crash(at, &record(number, at, &[request(number, &ids)]));
    }
    assert!(refuses(&quarantine, &[1]));
}

/// Four upstreams a second crash by themselves, each with a tenth of the requests in flight; nothing is quarantined, however
/// rarely a part comes.
#[test]
fn upstreams_that_crash_by_themselves_quarantine_no_part() {
    const RARE_PARTS: u64 = 60;
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut quarantine = PartQuarantine::default();
        for number in 0..480 {
            let at = at_ms(number as u64 * 250);
            // In a quarter of a second four requests end, of which one may be in flight at the crash.
            for index in 0..4 {
                let rare = rng.random_range(0..RARE_PARTS);
                let ids = [1_000, rare];
                if index == 0 && rng.random_bool(0.4) {
                    let request = request(number * 10 + index, &ids);
                    let request = quarantine.without_covered(&request, at);
                    quarantine.record_crash(at, &record(number, at, &[request]));
                } else {
                    ids.iter().for_each(|id| drop(quarantine.record_answer(&part(*id), at)));
                }
                let quarantined: Vec<_> = quarantine.quarantined().collect();
                assert!(quarantined.is_empty(), "seed {seed}: {quarantined:?}");
            }
        }
    }
}

/// A crashing part beside upstreams that crash by themselves is found within the allowed requests.
#[test]
fn crashing_part_beside_other_crashes_is_found_in_time() {
    for seed in 0..40 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut quarantine = PartQuarantine::default();
        let mut crashes_with_part = 0;
        for number in 0..400 {
            let at = at_ms(number as u64 * 200);
            let rare = 10 + rng.random_range(0..40);
            quarantine.record_answer(&part(1_000), at);
            if rng.random_bool(0.3) {
                let requests =
                    [request(number, &[1_000, 1]), request(1_000 + number, &[1_000, rare])];
                if refuses(&quarantine, &[1_000, 1]) {
                    break;
                }
                crashes_with_part += 1;
                quarantine.record_crash(at, &record(number, at, &requests));
            } else if rng.random_bool(0.5) {
                let requests = [request(1_000 + number, &[1_000, rare])];
                quarantine.record_crash(at, &record(number, at, &requests));
            } else {
                quarantine.record_answer(&part(rare), at);
            }
        }
        let allowed = CRASHES_ALLOWED + LATE_REQUESTS_ALLOWED;
        assert!(crashes_with_part <= allowed, "seed {seed}: {crashes_with_part}");
        let quarantined: Vec<_> = quarantine.quarantined().cloned().collect();
        assert_eq!(quarantined, [part(1)], "seed {seed}");
    }
}
