//! A small specification of claims, checked exhaustively.
//!
//! Two nodes, one key, a log with retention. Steps: a caller submits the key at either node, any
//! number of times; an append lands now, later, or never; it is sent again; the log drops old
//! records; a node reads one record at a time or pauses for as long as it likes; one node crashes
//! and starts as a new incarnation with an empty view; an owner gives up and says so. The rules
//! are those of `ClaimView`; `claim_view.rs` compares the two on random logs.

use crate::explore::{Exploration, explore};

/// The key is minted at this time.
const MINTED: u8 = 1;
/// Time stops here.
const END: u8 = 3;
/// The log keeps a record for this long: as tight as the rules allow.
const RETENTION: u8 = 1;
/// Oldest key that a record may claim.
const HORIZON: u8 = 1;
/// Appends that each incarnation may send.
const APPENDS_MAX: u8 = 2;
/// Appends under way at once.
const NETWORK_MAX: usize = 2;
/// Records that the log takes in all.
const RECORDS_MAX: u8 = 3;

/// A rule that is switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    None,
    /// An own claim wins wherever it stands in the log.
    AnyOwnClaimWins,
    /// A reading that began late counts as complete.
    LateReadingCounts,
    /// A gap in the reading does not void what was known before.
    GapKeepsView,
    /// Records that come after the key's horizon count.
    NoHorizon,
    /// An owner that gave up runs the key when its claim turns up after all.
    RunsAfterGivingUp,
    /// The owner says that the key is used up before it knows that the key is its own.
    SaysSpentWhileUnsettled,
    /// A restarted node takes its predecessor's claims for its own.
    InheritsIncarnation,
    /// A won claim may be run again on a repeat.
    RunsTwice,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Record {
    node: u8,
    incarnation: u8,
    spent: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Logged {
    time: u8,
    record: Record,
}

/// What a reader knows: the first valid record, and since when it has read without a gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
struct View {
    next: u8,
    began: Option<u8>,
    owner: Option<Record>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
enum Entry {
    #[default]
    None,
    Pending,
    Ran,
    GaveUp,
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
    log: Vec<Logged>,
    nodes: [Node; 2],
    /// Appends under way: each lands once, or never.
    network: Vec<Record>,
    effects: u8,
    /// Whether a caller was told that the key will never run.
    told_spent: bool,
}

impl State {
    fn start() -> Self {
        Self {
            time: 0,
            first_offset: 0,
            log: Vec::new(),
            nodes: Default::default(),
            network: Vec::new(),
            effects: 0,
            told_spent: false,
        }
    }

    /// At most one effect, and none once a caller was told that there will be none.
    fn broken(&self) -> bool {
        self.effects > 1 || (self.told_spent && self.effects > 0)
    }

    fn successors(&self, mutant: Mutant) -> Vec<Self> {
        let mut list = Vec::new();
        self.push_time(&mut list);
        self.push_network(&mut list);
        for index in 0..self.nodes.len() {
            self.push_submit(index, &mut list);
            self.push_append_again(index, &mut list);
            self.push_read(index, mutant, &mut list);
            self.push_run(index, mutant, &mut list);
            self.push_give_up(index, mutant, &mut list);
            self.push_crash(index, &mut list);
        }
        list
    }

    fn push_time(&self, list: &mut Vec<Self>) {
        if self.time == END {
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

    fn push_network(&self, list: &mut Vec<Self>) {
        for index in 0..self.network.len() {
            let mut lost = self.clone();
            let record = lost.network.remove(index);
            let mut landed = lost.clone();
            landed.log.push(Logged { time: self.time, record });
            list.push(lost);
            if self.first_offset + (self.log.len() as u8) < RECORDS_MAX {
                list.push(landed);
            }
        }
    }

    fn can_send(&self) -> bool {
        self.network.len() < NETWORK_MAX
    }

    fn send(&mut self, index: usize, spent: bool) {
        let node = &mut self.nodes[index];
        node.appends += 1;
        let record = Record { node: index as u8, incarnation: node.incarnation, spent };
        self.network.push(record);
        self.network.sort();
    }

    /// A caller submits the key. A node that knows an owner passes it on instead.
    fn push_submit(&self, index: usize, list: &mut Vec<Self>) {
        let node = &self.nodes[index];
        if !self.can_send()
            || self.time < MINTED
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

    fn push_append_again(&self, index: usize, list: &mut Vec<Self>) {
        let node = &self.nodes[index];
        let again = node.entry == Entry::Pending && node.appends < APPENDS_MAX;
        if again && self.can_send() {
            let mut next = self.clone();
            next.send(index, false);
            list.push(next);
        }
    }

    /// Reads one record, or learns that the stream is empty.
    fn push_read(&self, index: usize, mutant: Mutant, list: &mut Vec<Self>) {
        let mut next = self.clone();
        let view = &mut next.nodes[index].view;
        let first = self.first_offset;
        let gap = first > view.next;
        let starts = view.began.is_none();
        view.next = view.next.max(first);
        let position = usize::from(view.next - first);
        let record = self.log.get(position).copied();
        if starts || (gap && mutant != Mutant::GapKeepsView) {
            let complete = starts && first == 0;
            let shown = record.map_or(self.time, |logged| logged.time);
            view.began = Some(if complete { 0 } else { shown });
        }
        if let Some(logged) = record {
            view.next += 1;
            let too_old = MINTED + HORIZON < logged.time;
            if too_old {
                // Nothing valid can follow, so what was known need not be kept.
                view.owner = None;
            }
            if !too_old || mutant == Mutant::NoHorizon {
                view.fold(logged.record);
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
        let same_run = owner.incarnation == node.incarnation;
        let mine = same_node && (same_run || mutant == Mutant::InheritsIncarnation);
        let reaches_back = node.view.began.is_some_and(|began| began < MINTED);
        let reaches_back = reaches_back || mutant == Mutant::LateReadingCounts;
        mine && !owner.spent && reaches_back
    }

    fn push_run(&self, index: usize, mutant: Mutant, list: &mut Vec<Self>) {
        let entry = self.nodes[index].entry;
        let node = &self.nodes[index];
        let any_own = mutant == Mutant::AnyOwnClaimWins && node.view.next > self.first_offset && {
            let read = usize::from(node.view.next - self.first_offset);
            let mine = |logged: &Logged| {
                usize::from(logged.record.node) == index
                    && logged.record.incarnation == node.incarnation
                    && !logged.record.spent
            };
            self.log.iter().take(read).any(mine)
        };
        let wins = self.owns(index, mutant) || any_own;
        let waiting = match entry {
            Entry::Pending => true,
            Entry::GaveUp => mutant == Mutant::RunsAfterGivingUp,
            Entry::Ran => mutant == Mutant::RunsTwice,
            Entry::None => mutant == Mutant::InheritsIncarnation,
            Entry::Lost => false,
        };
        let mut next = self.clone();
        if waiting && wins {
            next.nodes[index].entry = Entry::Ran;
            next.effects += 1;
            list.push(next);
        } else if entry == Entry::Pending && node.view.owner.is_some() {
            next.nodes[index].entry = Entry::Lost;
            list.push(next);
        }
    }

    /// The owner's window ends before it ran. It says that the key is used up only if the log
    /// has shown that the key is its own; it notes on the log that it never will run it.
    fn push_give_up(&self, index: usize, mutant: Mutant, list: &mut Vec<Self>) {
        if self.nodes[index].entry != Entry::Pending || !self.can_send() {
            return;
        }
        let mut next = self.clone();
        next.nodes[index].entry = Entry::GaveUp;
        next.told_spent |=
            self.owns(index, Mutant::None) || mutant == Mutant::SaysSpentWhileUnsettled;
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
                let same = owner.node == record.node && owner.incarnation == record.incarnation;
                owner.spent |= same && record.spent;
            }
        }
    }
}

fn check(mutant: Mutant) -> Exploration<State> {
    explore(State::start(), |state| state.successors(mutant), State::broken)
}

#[test]
fn a_key_runs_at_most_once_and_never_after_it_was_called_spent() {
    check(Mutant::None).assert_property("claims", true);
}

#[test]
fn each_rule_is_needed() {
    let mutants = [
        Mutant::AnyOwnClaimWins,
        Mutant::LateReadingCounts,
        Mutant::GapKeepsView,
        Mutant::NoHorizon,
        Mutant::RunsAfterGivingUp,
        Mutant::SaysSpentWhileUnsettled,
        Mutant::InheritsIncarnation,
        Mutant::RunsTwice,
    ];
    for mutant in mutants {
        check(mutant).assert_property(&format!("claims without a rule: {mutant:?}"), false);
    }
}
