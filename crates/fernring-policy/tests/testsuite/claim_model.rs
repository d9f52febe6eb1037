//! Model checking of a small specification of claims, over all reachable states.
//!
//! The model has two nodes, one key and a log with retention. Its steps: a caller submits the key
//! at either node, any number of times; an append takes effect now, later or never; an append is
//! repeated; the log drops old records; a node reads one record at a time or pauses for any time;
//! one node crashes and restarts as a new incarnation with an empty view; an owner abandons the
//! key and reports it as spent. The rules are those of `ClaimView`, which `claim_view.rs` tests
//! against random logs.

use crate::explore::{Exploration, explore};

/// Time at which the key is minted.
const MINTED_AT: u8 = 1;
/// Last time of the model.
const END_TIME: u8 = 3;
/// Time for which the log keeps a record: the shortest that the rules allow.
const RETENTION: u8 = 1;
/// Largest age of a key that a record may claim.
const HORIZON: u8 = 1;
/// Most appends that each incarnation may send.
const APPENDS_MAX: u8 = 2;
/// Most appends in flight at once.
const IN_FLIGHT_MAX: usize = 2;
/// Most records that are ever appended to the log.
const RECORDS_MAX: u8 = 3;

/// The rule that is switched off in a run of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// A node's own claim wins at any position in the log.
    AnyOwnClaimWins,
    /// A view that starts too late to have seen every claim counts as complete.
    IncompleteHistoryCounts,
    /// A gap in the records read does not invalidate the earlier history of the view.
    GapKeepsView,
    /// Records later than the key's horizon count.
    NoHorizon,
    /// An owner that abandoned the key runs it when its claim shows up in the log later.
    RunsAfterAbandoning,
    /// The owner reports the key as spent before it knows that it owns the key.
    ReportsSpentBeforeOwnership,
    /// A restarted node treats the claims of its previous incarnation as its own.
    InheritsOldClaims,
    /// A repeated submission runs a key again that its owner has already run.
    RunsTwice,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Record {
    node: u8,
    incarnation: u8,
    spent: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LogRecord {
    time: u8,
    record: Record,
}

/// A node's view of the log: the first valid record, and the time from which it has read without a
/// gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct View {
    next: u8,
    history_from: Option<u8>,
    owner: Option<Record>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
enum Entry {
    #[default]
    None,
    Pending,
    Ran,
    Abandoned,
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct Node {
    incarnation: u8,
    entry: Entry,
    appends: u8,
    view: View,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    time: u8,
    first_offset: u8,
    log: Vec<LogRecord>,
    nodes: [Node; 2],
    /// Appends in flight: each takes effect once or never.
    in_flight: Vec<Record>,
    effects: u8,
    /// Whether a caller got the answer that the key will never run.
    reported_spent: bool,
}

impl State {
    fn start() -> Self {
        Self {
            time: 0,
            first_offset: 0,
            log: Vec::new(),
            nodes: Default::default(),
            in_flight: Vec::new(),
            effects: 0,
            reported_spent: false,
        }
    }

    /// Returns whether there was more than one effect, or any effect although a caller got the
    /// answer that there will be none.
    fn violates_property(&self) -> bool {
        self.effects > 1 || (self.reported_spent && self.effects > 0)
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut list = Vec::new();
        self.push_time(&mut list);
        self.push_append_outcomes(&mut list);
        for index in 0..self.nodes.len() {
            self.push_submit(index, &mut list);
            self.push_repeated_append(index, &mut list);
            self.push_read(index, mutant, &mut list);
            self.push_run(index, mutant, &mut list);
            self.push_abandon(index, mutant, &mut list);
            self.push_crash(index, &mut list);
        }
        list
    }

    fn push_time(&self, list: &mut Vec<Self>) {
        if self.time == END_TIME {
            return;
        }
        let mut next = self.clone();
        next.time += 1;
        while next.log.first().is_some_and(|old| old.time + RETENTION < next.time) {
            next.log.remove(0);
            next.first_offset += 1;
        }
        list.push(next);
    }

    fn push_append_outcomes(&self, list: &mut Vec<Self>) {
        for index in 0..self.in_flight.len() {
            let mut lost = self.clone();
            let record = lost.in_flight.remove(index);
            let mut appended = lost.clone();
            appended.log.push(LogRecord { time: self.time, record });
            list.push(lost);
            if self.first_offset + (self.log.len() as u8) < RECORDS_MAX {
                list.push(appended);
            }
        }
    }

    fn can_send(&self) -> bool {
        self.in_flight.len() < IN_FLIGHT_MAX
    }

    fn send(&mut self, index: usize, spent: bool) {
        let node = &mut self.nodes[index];
        node.appends += 1;
        let record = Record { node: index as u8, incarnation: node.incarnation, spent };
        self.in_flight.push(record);
        self.in_flight.sort();
    }

    /// A caller submits the key. A node that knows an owner would forward the submission instead.
    fn push_submit(&self, index: usize, list: &mut Vec<Self>) {
        let node = &self.nodes[index];
        if !self.can_send()
            || self.time < MINTED_AT
            || node.entry != Entry::None
            || node.view.owner.is_some()
        {
            return;
        }
        let mut next = self.clone();
        next.nodes[index].entry = Entry::Pending;
        next.send(index, false);
        list.push(next);
    }

    fn push_repeated_append(&self, index: usize, list: &mut Vec<Self>) {
        let node = &self.nodes[index];
        let may_repeat = node.entry == Entry::Pending && node.appends < APPENDS_MAX;
        if may_repeat && self.can_send() {
            let mut next = self.clone();
            next.send(index, false);
            list.push(next);
        }
    }

    /// A node reads one record, or finds that there is none to read.
    fn push_read(&self, index: usize, mutant: Mutant, list: &mut Vec<Self>) {
        let mut next = self.clone();
        let view = &mut next.nodes[index].view;
        let first = self.first_offset;
        let has_gap = first > view.next;
        let is_first_read = view.history_from.is_none();
        view.next = view.next.max(first);
        let position = usize::from(view.next - first);
        let record = self.log.get(position).copied();
        if is_first_read || (has_gap && mutant != Mutant::GapKeepsView) {
            let is_from_first_record = is_first_read && first == 0;
            let observed_time = record.map_or(self.time, |log_record| log_record.time);
            view.history_from = Some(if is_from_first_record { 0 } else { observed_time });
        }
        if let Some(log_record) = record {
            view.next += 1;
            let is_too_old = MINTED_AT + HORIZON < log_record.time;
            if is_too_old {
                // No valid record can follow, so the owner need not be remembered.
                view.owner = None;
            }
            if !is_too_old || mutant == Mutant::NoHorizon {
                view.fold(log_record.record);
            }
        }
        if next != *self {
            list.push(next);
        }
    }

    fn owns(&self, index: usize, mutant: Mutant) -> bool {
        let node = &self.nodes[index];
        let Some(owner) = node.view.owner else {
            return false;
        };
        let same_node = usize::from(owner.node) == index;
        let same_incarnation = owner.incarnation == node.incarnation;
        let is_own = same_node && (same_incarnation || mutant == Mutant::InheritsOldClaims);
        let reaches_back =
            node.view.history_from.is_some_and(|history_from| history_from < MINTED_AT);
        let reaches_back = reaches_back || mutant == Mutant::IncompleteHistoryCounts;
        is_own && !owner.spent && reaches_back
    }

    fn push_run(&self, index: usize, mutant: Mutant, list: &mut Vec<Self>) {
        let entry = self.nodes[index].entry;
        let node = &self.nodes[index];
        let has_any_own_claim =
            mutant == Mutant::AnyOwnClaimWins && node.view.next > self.first_offset && {
                let read = usize::from(node.view.next - self.first_offset);
                let is_own = |log_record: &LogRecord| {
                    usize::from(log_record.record.node) == index
                        && log_record.record.incarnation == node.incarnation
                        && !log_record.record.spent
                };
                self.log.iter().take(read).any(is_own)
            };
        let is_owner = self.owns(index, mutant) || has_any_own_claim;
        let may_run = match entry {
            Entry::Pending => true,
            Entry::Abandoned => mutant == Mutant::RunsAfterAbandoning,
            Entry::Ran => mutant == Mutant::RunsTwice,
            Entry::None => mutant == Mutant::InheritsOldClaims,
            Entry::Lost => false,
        };
        let mut next = self.clone();
        if may_run && is_owner {
            next.nodes[index].entry = Entry::Ran;
            next.effects += 1;
            list.push(next);
        } else if entry == Entry::Pending && node.view.owner.is_some() {
            next.nodes[index].entry = Entry::Lost;
            list.push(next);
        }
    }

    /// The owner's window ends before the key ran. The owner reports the key as spent only if the
    /// log has shown that it owns the key, and appends a record that it will never run the key.
    fn push_abandon(&self, index: usize, mutant: Mutant, list: &mut Vec<Self>) {
        if self.nodes[index].entry != Entry::Pending || !self.can_send() {
            return;
        }
        let mut next = self.clone();
        next.nodes[index].entry = Entry::Abandoned;
        next.reported_spent |=
            self.owns(index, Mutant::None) || mutant == Mutant::ReportsSpentBeforeOwnership;
        next.send(index, true);
        list.push(next);
    }

    fn push_crash(&self, index: usize, list: &mut Vec<Self>) {
        let node = &self.nodes[index];
        if index == 0 && node.incarnation == 0 && *node != Node::default() {
            let mut next = self.clone();
            next.nodes[index] = Node { incarnation: 1, ..Node::default() };
            list.push(next);
        }
    }
}

impl View {
    fn fold(&mut self, record: Record) {
        match &mut self.owner {
            None => self.owner = Some(record),
            Some(owner) => {
                let same_owner =
                    owner.node == record.node && owner.incarnation == record.incarnation;
                owner.spent |= same_owner && record.spent;
            }
        }
    }
}

fn check(mutant: Mutant) -> Exploration<State> {
    explore(State::start(), |state| state.successors(mutant), State::violates_property)
}

#[test]
fn key_runs_at_most_once_and_never_once_spent() {
    check(Mutant::None).assert_property("claims", true);
}

#[test]
fn property_fails_without_any_single_rule() {
    let mutants = [
        Mutant::AnyOwnClaimWins,
        Mutant::IncompleteHistoryCounts,
        Mutant::GapKeepsView,
        Mutant::NoHorizon,
        Mutant::RunsAfterAbandoning,
        Mutant::ReportsSpentBeforeOwnership,
        Mutant::InheritsOldClaims,
        Mutant::RunsTwice,
    ];
    for mutant in mutants {
        check(mutant).assert_property(&format!("claims without a rule: {mutant:?}"), false);
    }
}
