//! Entries expire as if all of them were looked through.

use {
    fernring_gateway::expiring_map::ExpiringMap,
    proptest::prelude::*,
    std::{collections::HashMap, sync::Arc, time::Duration},
};

const LIFETIME: Duration = Duration::from_millis(30);

#[derive(Debug, Clone)]
enum Step {
    Insert(u8),
    Remove(u8),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..6u8).prop_map(Step::Insert),
        (0..6u8).prop_map(Step::Remove),
        (0..20u64).prop_map(Step::Wait),
    ]
}

fn key(number: u8) -> Arc<str> {
    number.to_string().into()
}

proptest! {
    #[test]
    fn entries_expire_as_if_all_were_looked_through(steps in prop::collection::vec(step(), 0..200)) {
        let mut map = ExpiringMap::default();
        let mut model: HashMap<Arc<str>, (Duration, usize)> = HashMap::new();
        let mut now = Duration::ZERO;
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Insert(k) => {
                    let replaced = model.insert(key(k), (now, number)).map(|(_, value)| value);
                    prop_assert_eq!(map.insert(now, key(k), number), replaced);
                }
                Step::Remove(k) => {
                    let removed = model.remove(&key(k)).map(|(_, value)| value);
                    prop_assert_eq!(map.remove(&key(k)), removed);
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
            }
            let expired = model.extract_if(|_, (at, _)| now >= *at + LIFETIME);
            let mut expired: Vec<_> = expired.map(|(_, (_, value))| value).collect();
            expired.sort_unstable();
            let mut popped = Vec::new();
            while let Some(value) = map.pop_expired(now, LIFETIME) {
                popped.push(value);
            }
            // Of values that were added at the same time any may be the next.
            popped.sort_unstable();
            prop_assert_eq!(popped, expired);
            let mut kept: Vec<_> = map.iter().map(|(key, value)| (key.clone(), *value)).collect();
            let mut expected: Vec<_> =
                model.iter().map(|(key, (_, value))| (key.clone(), *value)).collect();
            kept.sort_unstable();
            expected.sort_unstable();
            prop_assert_eq!(kept, expected);
        }
    }
}
