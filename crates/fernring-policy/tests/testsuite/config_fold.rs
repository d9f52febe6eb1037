//! Property tests of `ConfigFold`: random streams, read with gaps, against a simple fold of the
//! complete stream.

use {
    fernring_core::{
        catalog::{Catalog, Workspace},
        change::{Change, ConfigRecord, Operation, Snapshot, apply},
    },
    fernring_policy::fold::{ConfigFold, ConfigLogRecord, ConfigPage},
    proptest::prelude::*,
    std::{collections::BTreeMap, sync::Arc},
    uuid::Uuid,
};

/// One step of the stream or of one of the two readers.
#[derive(Debug, Clone)]
enum Step {
    /// An operator appends a change that is based on a version number this much below the newest.
    Append { versions_behind: u64, weight: u32 },
    /// A node appends a snapshot of the version this many versions back.
    Snapshot { versions_back: usize },
    /// The log drops its oldest records.
    Drop { count: u64 },
    /// A reader reads at most this many records.
    Read { reader: usize, count: usize },
    /// A reader adopts the state of the other.
    Adopt { reader: usize },
    /// A reader restarts with an empty state.
    Restart { reader: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let reader = 0..2_usize;
    prop_oneof![
        4 => (0..2_u64, 1..100_u32)
            .prop_map(|(versions_behind, weight)| Step::Append { versions_behind, weight }),
        2 => (0..3_usize).prop_map(|versions_back| Step::Snapshot { versions_back }),
        2 => (1..4_u64).prop_map(|count| Step::Drop { count }),
        6 => (reader.clone(), 1..5_usize).prop_map(|(reader, count)| Step::Read { reader, count }),
        1 => reader.clone().prop_map(|reader| Step::Adopt { reader }),
        1 => reader.prop_map(|reader| Step::Restart { reader }),
    ]
}

#[derive(Default)]
struct Stream {
    records: Vec<ConfigRecord>,
    first_offset: u64,
    truth: BTreeMap<u64, Catalog>,
}

impl Stream {
    fn version(&self) -> u64 {
        self.truth.last_key_value().map_or(0, |(version, _)| *version)
    }

    fn append(&mut self, versions_behind: u64, weight: u32) {
        let version = self.version();
        let workspace = Arc::new(Workspace { weight, limit_per_s: 0, pipelines: Vec::new() });
        let operation = Operation::PutWorkspace { name: format!("w{}", weight % 5), workspace };
        let base = version.saturating_sub(versions_behind);
        let operations = vec![operation];
        let change = Change { base, id: Uuid::now_v7(), author: "test".to_owned(), operations };
        let catalog = self.truth.get(&version).cloned().unwrap_or_default();
        // This repeats the acceptance rule on purpose, so that the rule of the fold is checked.
        let accepted = base == version;
        if accepted && let Ok(next) = apply(&catalog, base, &change) {
            self.truth.insert(self.records.len() as u64 + 1, next);
        }
        self.records.push(ConfigRecord::Change(change));
    }

    fn snapshot(&mut self, versions_back: usize) {
        if let Some((version, catalog)) = self.truth.iter().nth_back(versions_back) {
            // The offset of the next accepted change is one below the next version.
            let later = self.truth.range(version + 1..).next();
            let newest = self.records.len() as u64;
            let folded_to = later.map_or(newest, |(version, _)| version - 1);
            let (version, catalog) = (*version, catalog.clone());
            let snapshot = Snapshot { version, folded_to, catalog };
            self.records.push(ConfigRecord::Snapshot(snapshot));
        }
    }

    fn page(&self, from: u64, count: usize) -> ConfigPage {
        let begin = from.max(self.first_offset);
        let records = self.records.iter().enumerate().skip(begin as usize).take(count);
        let read = |(offset, record): (usize, &ConfigRecord)| ConfigLogRecord {
            offset: offset as u64,
            time_ms: offset as u64,
            record: Some(record.clone()),
        };
        ConfigPage {
            from,
            first_offset: self.first_offset,
            next_offset: self.records.len() as u64,
            records: records.map(read).collect(),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn catalog_matches_version_and_never_goes_back(
        steps in proptest::collection::vec(step(), 1..60),
    ) {
        let mut stream = Stream::default();
        let mut readers = [ConfigFold::new(), ConfigFold::new()];
        for step in steps {
            let previous_versions = [readers[0].version(), readers[1].version()];
            let mut restarted = None;
            match step {
                Step::Append { versions_behind, weight } => stream.append(versions_behind, weight),
                Step::Snapshot { versions_back } => stream.snapshot(versions_back),
                Step::Drop { count } => {
                    let end = stream.records.len() as u64;
                    stream.first_offset = (stream.first_offset + count).min(end);
                }
                Step::Read { reader, count } => {
                    let page = stream.page(readers[reader].next_offset(), count);
                    readers[reader].apply_page(page);
                }
                Step::Adopt { reader } => {
                    if let Some(snapshot) = readers[1 - reader].snapshot() {
                        readers[reader].adopt(snapshot);
                    }
                }
                Step::Restart { reader } => {
                    readers[reader] = ConfigFold::new();
                    restarted = Some(reader);
                }
            }
            for (index, reader) in readers.iter().enumerate() {
                let truth = stream.truth.get(&reader.version()).cloned().unwrap_or_default();
                prop_assert_eq!(reader.catalog().as_ref(), &truth);
                prop_assert!(
                    reader.version() >= previous_versions[index] || restarted == Some(index)
                );
            }
        }
        // A reader that reads to the end, past a snapshot of the newest version, has that version.
        stream.snapshot(0);
        for reader in &mut readers {
            let page = stream.page(reader.next_offset(), usize::MAX);
            reader.apply_page(page);
            prop_assert_eq!(reader.version(), stream.version());
            prop_assert!(!reader.has_gap() || stream.version() == 0);
        }
    }
}

#[test]
fn snapshot_is_due_by_log_age() {
    let mut stream = Stream::default();
    let mut fold = ConfigFold::new();
    stream.append(0, 1);
    fold.apply_page(stream.page(0, usize::MAX));
    assert!(!fold.needs_snapshot(99, 100), "the only record is 99 ms old");
    assert!(fold.needs_snapshot(100, 100));
    stream.snapshot(0);
    fold.apply_page(stream.page(fold.next_offset(), usize::MAX));
    assert!(!fold.needs_snapshot(100, 100), "the snapshot is 99 ms old");
}
