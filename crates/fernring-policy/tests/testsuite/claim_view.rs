//! `ClaimView` against a plain reading of the whole log, on random logs read in random pages.

use {
    fernring_core::{
        claim::{ClaimBatch, ClaimEntry, ClaimKind, ClaimPage, ClaimRecord},
        ids::{Incarnation, RequestKey, ScopedKey},
    },
    fernring_policy::claims::{ClaimRules, ClaimView, Verdict},
    proptest::prelude::*,
    uuid::{NoContext, Timestamp, Uuid},
};

const RULES: ClaimRules = ClaimRules { horizon_ms: 4_000, skew_ms: 1_000 };
const START_MS: u64 = 1_800_000_000_000;

fn incarnation(number: u8) -> Incarnation {
    Incarnation(Uuid::from_u128(u128::from(number)))
}

fn key(minted_s: u64) -> ScopedKey {
    let minted = Timestamp::from_unix(NoContext, START_MS / 1_000 + minted_s, 0);
    let mut bytes = *Uuid::new_v7(minted).as_bytes();
    // The random part is fixed, so that a key is a function of its minting time.
    bytes[6] = 0x70;
    bytes[7] = 0;
    bytes[8..].fill(0x80);
    let key = RequestKey::Minted(Uuid::from_bytes(bytes));
    ScopedKey { workspace: "members".into(), key }
}

/// A record: after a pause, one incarnation says something of one key.
#[derive(Debug, Clone)]
struct Said {
    pause_s: u64,
    incarnation: u8,
    minted_s: u64,
    kind: ClaimKind,
}

fn said() -> impl Strategy<Value = Said> {
    let kind = prop_oneof![
        4 => Just(ClaimKind::Claim),
        1 => Just(ClaimKind::Spent),
        1 => Just(ClaimKind::Ended)
    ];
    (0..3_u64, 1..4_u8, 0..12_u64, kind).prop_map(|(pause_s, incarnation, minted_s, kind)| Said {
        pause_s,
        incarnation,
        minted_s,
        kind,
    })
}

fn log_of(said: &[Said]) -> Vec<ClaimRecord> {
    let mut time_ms = START_MS;
    let record = |(offset, said): (usize, &Said)| {
        time_ms += said.pause_s * 1_000;
        let entry = ClaimEntry { key: key(said.minted_s), kind: said.kind };
        let batch = ClaimBatch {
            incarnation: incarnation(said.incarnation),
            address: "127.0.0.1:1".parse().unwrap(),
            entries: vec![entry],
        };
        ClaimRecord { offset: offset as u64, time_ms, batch: Some(batch) }
    };
    said.iter().enumerate().map(record).collect()
}

/// The first valid record of a key in the whole log decides.
fn true_owner(log: &[ClaimRecord], key: &ScopedKey) -> Option<Incarnation> {
    let minted_ms = key.key.minted_ms().unwrap();
    let valid = |record: &&ClaimRecord| {
        let names = record.batch.as_ref().unwrap().entries[0].key == *key;
        let old = minted_ms + RULES.horizon_ms < record.time_ms;
        let new = minted_ms > record.time_ms + RULES.skew_ms;
        names && !old && !new
    };
    log.iter().find(valid).map(|record| record.batch.as_ref().unwrap().incarnation)
}

fn page(log: &[ClaimRecord], from: u64, first_offset: u64, to: u64) -> ClaimPage {
    let begin = from.max(first_offset) as usize;
    let records = log.get(begin..to as usize).unwrap_or_default().to_vec();
    let shown = records.last().or_else(|| log.get((to as usize).saturating_sub(1)));
    let time_ms = shown.map_or(START_MS, |record| record.time_ms);
    ClaimPage { from, first_offset, next_offset: to, time_ms, records }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    /// However a log is read, a key that a node believes to have won is truly its own.
    #[test]
    fn a_won_key_is_truly_won(
        said in proptest::collection::vec(said(), 1..25),
        steps in proptest::collection::vec((0..6_u64, 0..4_u64), 1..20),
    ) {
        let log = log_of(&said);
        let me = incarnation(1);
        let mut view = ClaimView::new(me, RULES);
        let (mut end, mut first) = (0, 0);
        for (more, dropped) in steps {
            end = (end + more).min(log.len() as u64);
            first = (first + dropped).min(end);
            view.apply_page(page(&log, view.next_offset(), first, end));
            for minted_s in 0..12 {
                let key = key(minted_s);
                let owner = true_owner(&log[..end as usize], &key);
                match view.verdict(&key) {
                    Verdict::Won => prop_assert_eq!(owner, Some(me)),
                    Verdict::Owned(found) if view.covers_history_of(&key) => {
                        prop_assert_eq!(owner, Some(found.incarnation));
                    }
                    _ => {}
                }
            }
        }
    }

    /// A node that has read everything from the first record on knows every key of the horizon.
    #[test]
    fn a_whole_reading_decides_every_key(said in proptest::collection::vec(said(), 1..25)) {
        let log = log_of(&said);
        let me = incarnation(1);
        let mut view = ClaimView::new(me, RULES);
        view.apply_page(page(&log, 0, 0, log.len() as u64));
        let last_ms = log.last().unwrap().time_ms;
        for minted_s in 0..12 {
            let key = key(minted_s);
            let remembered = key.key.minted_ms().unwrap() + RULES.horizon_ms >= last_ms;
            if let Some(owner) = true_owner(&log, &key).filter(|_| remembered) {
                let found = match view.verdict(&key) {
                    Verdict::Won => Some(me),
                    Verdict::Owned(found) => Some(found.incarnation),
                    Verdict::Undecided | Verdict::HistoryIncomplete => None,
                };
                prop_assert_eq!(found, Some(owner));
            }
        }
    }
}
