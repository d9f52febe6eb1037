//! Property tests of `ClaimView`: random logs, read in random pages, against a simple evaluation of
//! the complete log.

use {
    fernring_core::{
        claim::{ClaimBatch, ClaimEntry, ClaimKind, ClaimPage, ClaimRecord},
        ids::{Incarnation, RequestKey, ScopedKey},
    },
    fernring_policy::claims::{ClaimRules, ClaimView, Verdict},
    proptest::prelude::*,
    uuid::{NoContext, Timestamp, Uuid},
};

const CLAIM_RULES: ClaimRules = ClaimRules { horizon_ms: 4_000, skew_ms: 1_000 };
const START_MS: u64 = 1_800_000_000_000;

fn incarnation(number: u8) -> Incarnation {
    Incarnation(Uuid::from_u128(u128::from(number)))
}

fn key(minted_s: u64) -> ScopedKey {
    let minted = Timestamp::from_unix(NoContext, START_MS / 1_000 + minted_s, 0);
    let mut bytes = *Uuid::new_v7(minted).as_bytes();
    // The random part is fixed, so that the minting time determines the key.
    bytes[6] = 0x70;
    bytes[7] = 0;
    bytes[8..].fill(0x80);
    let key = RequestKey::Minted(Uuid::from_bytes(bytes));
    ScopedKey { workspace: "members".into(), key }
}

/// A record of the log: after a pause, one incarnation appends one entry for one key.
#[derive(Debug, Clone)]
struct LoggedClaim {
    pause_s: u64,
    incarnation: u8,
    minted_s: u64,
    kind: ClaimKind,
}

fn logged_claim() -> impl Strategy<Value = LoggedClaim> {
    let kind = prop_oneof![
        4 => Just(ClaimKind::Claim),
        1 => Just(ClaimKind::Spent),
        1 => Just(ClaimKind::Ended)
    ];
    (0..3_u64, 1..4_u8, 0..12_u64, kind).prop_map(|(pause_s, incarnation, minted_s, kind)| {
        LoggedClaim { pause_s, incarnation, minted_s, kind }
    })
}

fn build_log(claims: &[LoggedClaim]) -> Vec<ClaimRecord> {
    let mut time_ms = START_MS;
    let record = |(offset, claim): (usize, &LoggedClaim)| {
        time_ms += claim.pause_s * 1_000;
        let entry = ClaimEntry { key: key(claim.minted_s), kind: claim.kind };
        let batch = ClaimBatch {
            incarnation: incarnation(claim.incarnation),
            address: "127.0.0.1:1".parse().unwrap(),
            entries: vec![entry],
        };
        ClaimRecord { offset: offset as u64, time_ms, batch: Some(batch) }
    };
    claims.iter().enumerate().map(record).collect()
}

/// Returns the owner of a key: the incarnation of its first valid record in the complete log.
fn true_owner(log: &[ClaimRecord], key: &ScopedKey) -> Option<Incarnation> {
    let minted_ms = key.key.minted_ms().unwrap();
    let valid = |record: &&ClaimRecord| {
        let names_key = record.batch.as_ref().unwrap().entries[0].key == *key;
        let is_too_old = minted_ms + CLAIM_RULES.horizon_ms < record.time_ms;
        let is_too_new = minted_ms > record.time_ms + CLAIM_RULES.skew_ms;
        names_key && !is_too_old && !is_too_new
    };
    log.iter().find(valid).map(|record| record.batch.as_ref().unwrap().incarnation)
}

fn page(log: &[ClaimRecord], from: u64, first_offset: u64, to: u64) -> ClaimPage {
    let begin = from.max(first_offset) as usize;
    let records = log.get(begin..to as usize).unwrap_or_default().to_vec();
    let last_record = records.last().or_else(|| log.get((to as usize).saturating_sub(1)));
    let time_ms = last_record.map_or(START_MS, |record| record.time_ms);
    ClaimPage { from, first_offset, next_offset: to, time_ms, records }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// Regardless of how a log is read, a node owns each key that its view reports as won.
    #[test]
    fn won_key_is_truly_owned(
        claims in proptest::collection::vec(logged_claim(), 1..25),
        steps in proptest::collection::vec((0..6_u64, 0..4_u64), 1..20),
    ) {
        let log = build_log(&claims);
        let own_incarnation = incarnation(1);
        let mut view = ClaimView::new(own_incarnation, CLAIM_RULES);
        let (mut end, mut first) = (0, 0);
        for (appended, dropped) in steps {
            end = (end + appended).min(log.len() as u64);
            first = (first + dropped).min(end);
            view.apply_page(page(&log, view.next_offset(), first, end));
            for minted_s in 0..12 {
                let key = key(minted_s);
                let owner = true_owner(&log[..end as usize], &key);
                match view.verdict(&key) {
                    Verdict::Won => prop_assert_eq!(owner, Some(own_incarnation)),
                    Verdict::Owned(found) if view.covers_history_of(&key) => {
                        prop_assert_eq!(owner, Some(found.incarnation));
                    }
                    _ => {}
                }
            }
        }
    }

    /// A node that has read the log from its first record knows the owner of every key within the
    /// horizon.
    #[test]
    fn full_read_decides_every_key(claims in proptest::collection::vec(logged_claim(), 1..25)) {
        let log = build_log(&claims);
        let own_incarnation = incarnation(1);
        let mut view = ClaimView::new(own_incarnation, CLAIM_RULES);
        view.apply_page(page(&log, 0, 0, log.len() as u64));
        let last_ms = log.last().unwrap().time_ms;
        for minted_s in 0..12 {
            let key = key(minted_s);
            let is_within_horizon =
                key.key.minted_ms().unwrap() + CLAIM_RULES.horizon_ms >= last_ms;
            if let Some(owner) = true_owner(&log, &key).filter(|_| is_within_horizon) {
                let found = match view.verdict(&key) {
                    Verdict::Won => Some(own_incarnation),
                    Verdict::Owned(found) => Some(found.incarnation),
                    Verdict::Undecided | Verdict::HistoryIncomplete => None,
                };
                prop_assert_eq!(found, Some(owner));
            }
        }
    }
}
