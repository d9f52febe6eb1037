//! Model checking of a small specification of the configuration fold, over all reachable states.
//!
//! Two nodes read one stream with retention. Operators append changes based on a version that some
//! node had in force, and nodes append snapshots of their state. A node restarts with an empty
//! state, stays disconnected for any time, or adopts the state of the other. The state is the list
//! of accepted changes, so that a lost, repeated or reordered change is detected.

use crate::explore::{Exploration, explore};

/// Most records that are ever appended to the log.
const RECORDS_MAX: u8 = 4;
/// Number of records that the log retains.
const RETAINED_RECORDS: usize = 2;

/// The rule that is switched off in a run of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// A change is accepted regardless of the version that it is based on.
    NoVersionCheck,
    /// A late reader adopts any snapshot, even one that does not cover the records before its first
    /// one.
    AnySnapshot,
    /// A late reader drops the records that it can't apply yet.
    BuffersNothing,
    /// A peer's state is adopted even if it is older.
    AdoptsOlderState,
}

/// Identities of the accepted changes, in order.
type Changes = Vec<u8>;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Record {
    Change { base: u8, id: u8 },
    Snapshot { version: u8, folded_to: u8, changes: Changes },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Reader {
    next: u8,
    version: u8,
    changes: Changes,
    gap: bool,
    contiguous_from: u8,
    buffered: Vec<(u8, Record)>,
    /// Highest version that this incarnation of the node had in force.
    highest_version: u8,
    restarted: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct State {
    first_offset: u8,
    log: Vec<Record>,
    /// Versions and their states by a complete fold of all records ever appended.
    truth: Vec<(u8, Changes)>,
    readers: [Reader; 2],
    next_id: u8,
}

impl State {
    fn next_offset(&self) -> u8 {
        self.first_offset + self.log.len() as u8
    }

    /// Returns whether a node has a state that does not match its version, or its version fell.
    fn violates_property(&self) -> bool {
        self.readers.iter().any(|reader| {
            let truth = self.truth.iter().find(|(version, _)| *version == reader.version);
            let true_changes = truth.map(|(_, changes)| changes.clone()).unwrap_or_default();
            reader.version < reader.highest_version || reader.changes != true_changes
        })
    }

    fn append(&self, record: Record) -> Option<Self> {
        let offset = self.next_offset();
        if offset == RECORDS_MAX {
            return None;
        }
        let mut next = self.clone();
        if let Record::Change { base, id } = record {
            let (version, changes) = self.truth.last().cloned().unwrap_or_default();
            if base == version {
                let changes = [changes, vec![id]].concat();
                next.truth.push((offset + 1, changes));
            }
            next.next_id += 1;
        }
        next.log.push(record);
        Some(next)
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut list = Vec::new();
        for reader in &self.readers {
            let change = Record::Change { base: reader.version, id: self.next_id };
            list.extend(self.append(change));
            if !reader.gap && reader.version > 0 {
                let (version, folded_to) = (reader.version, reader.next.max(reader.version));
                let changes = reader.changes.clone();
                list.extend(self.append(Record::Snapshot { version, folded_to, changes }));
            }
        }
        if self.log.len() > RETAINED_RECORDS {
            let mut next = self.clone();
            next.log.remove(0);
            next.first_offset += 1;
            list.push(next);
        }
        for index in 0..self.readers.len() {
            self.push_reader_steps(index, mutant, &mut list);
        }
        list
    }

    fn push_reader_steps(&self, index: usize, mutant: Mutant, list: &mut Vec<Self>) {
        let mut read = self.clone();
        read.readers[index].read(self.first_offset, &self.log, mutant);
        if read != *self {
            list.push(read);
        }
        let other = &self.readers[1 - index];
        if other.version > self.readers[index].version || mutant == Mutant::AdoptsOlderState {
            let mut adopted = self.clone();
            adopted.readers[index].adopt(other);
            if adopted != *self {
                list.push(adopted);
            }
        }
        if !self.readers[index].restarted {
            let mut restarted = self.clone();
            restarted.readers[index] = Reader { restarted: true, ..Reader::default() };
            list.push(restarted);
        }
    }
}

impl Reader {
    fn read(&mut self, first_offset: u8, log: &[Record], mutant: Mutant) {
        if first_offset > self.next {
            self.next = first_offset;
            self.contiguous_from = first_offset;
            self.buffered.clear();
            self.gap = self.version < first_offset;
        }
        let Some(record) = log.get(usize::from(self.next - first_offset)) else {
            return;
        };
        let offset = self.next;
        self.next += 1;
        match record {
            Record::Snapshot { version, folded_to, changes } => {
                let covers_gap =
                    *folded_to >= self.contiguous_from || mutant == Mutant::AnySnapshot;
                if self.gap && covers_gap {
                    if *version > self.version {
                        self.set_version(*version, changes.clone());
                    }
                    self.close_gap(mutant);
                }
            }
            change if self.gap => {
                if mutant != Mutant::BuffersNothing {
                    self.buffered.push((offset, change.clone()));
                }
            }
            change => self.fold(offset, change, mutant),
        }
    }

    fn fold(&mut self, offset: u8, record: &Record, mutant: Mutant) {
        let Record::Change { base, id } = record else {
            return;
        };
        let matches = *base == self.version || mutant == Mutant::NoVersionCheck;
        if offset >= self.version && matches {
            let changes = [self.changes.clone(), vec![*id]].concat();
            self.set_version(offset + 1, changes);
        }
    }

    fn set_version(&mut self, version: u8, changes: Changes) {
        self.version = version;
        self.changes = changes;
        self.highest_version = self.highest_version.max(version);
    }

    fn adopt(&mut self, other: &Self) {
        self.set_version(other.version, other.changes.clone());
        let folded_to = if other.gap { other.version } else { other.next.max(other.version) };
        if folded_to >= self.contiguous_from {
            self.close_gap(Mutant::None);
        }
    }

    fn close_gap(&mut self, mutant: Mutant) {
        self.gap = false;
        for (offset, record) in std::mem::take(&mut self.buffered) {
            self.fold(offset, &record, mutant);
        }
    }
}

fn check(mutant: Mutant) -> Exploration<State> {
    explore(State::default(), |state| state.successors(mutant), State::violates_property)
}

#[test]
fn state_matches_version_and_never_goes_back() {
    check(Mutant::None).assert_property("configuration", true);
}

#[test]
fn property_fails_without_any_single_rule() {
    let mutants = [
        Mutant::NoVersionCheck,
        Mutant::AnySnapshot,
        Mutant::BuffersNothing,
        Mutant::AdoptsOlderState,
    ];
    for mutant in mutants {
        check(mutant).assert_property(&format!("configuration without a rule: {mutant:?}"), false);
    }
}
