//! What upstreams say of how much they take from all nodes together, and which of their words is the newest. No I/O.
//!
//! The load that this answers: an upstream in need names a limit in its answers for as long as it holds. Each answer reaches
//! one node, answers overtake each other, and nodes tell each other what they have read with its age. A word that allows
//! more than the one that is known counts only if it surely is newer: its request had left after that one came. A word
//! that allows less counts at once: at worst an old one holds until the next answer.

use {
    crate::model::LimitHeader,
    std::{collections::HashMap, time::Duration},
};

/// How long nodes tell each other that a limit is over. Whoever hears of it later learns it by an answer of its own.
const LIFTED_TOLD_FOR: Duration = Duration::from_secs(10);
/// How long a word is kept of a start that no record names: the record may be on its way.
const UNRECORDED_KEPT: Duration = Duration::from_secs(60);

/// The newest word of one start of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitWord {
    /// The requests a second that it takes from all nodes together; `None` if it names no limit any more.
    pub per_s: Option<f64>,
    /// When it was said, as far as is known.
    pub at: Duration,
}

/// That what is known of an upstream's limit has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before.
    pub before: Option<f64>,
    /// The limit now.
    pub now: Option<f64>,
}

/// The newest words of all upstreams, by their starts ([`crate::model::UpstreamRecord::incarnation_id`]).
#[derive(Debug, Default)]
pub struct Limits {
    words: HashMap<u64, LimitWord>,
}

impl Limits {
    /// Takes in what an answer says whose request left at `sent_at`; returns what that changes.
    pub fn heard(
        &mut self,
        now: Duration,
        run: u64,
        sent_at: Duration,
        said: LimitHeader,
    ) -> Option<LimitChange> {
        let per_s = match said {
            LimitHeader::None => None,
            LimitHeader::PerSecond(per_s) => Some(per_s),
            LimitHeader::Unreadable => return None,
        };
        let held = self.words.get(&run).copied();
        if held.is_none() && per_s.is_none() {
            return None;
        }
        let before = held.and_then(|held| held.per_s);
        let allows_more = match (before, per_s) {
            (Some(_), None) => true,
            (Some(before), Some(per_s)) => per_s > before,
            (None, _) => false,
        };
        if allows_more && held.is_some_and(|held| sent_at <= held.at) {
            return None;
        }
        let at = if allows_more || per_s.is_none() { sent_at } else { now };
        let at = held.map_or(at, |held| at.max(held.at));
        self.put(run, LimitWord { per_s, at })
    }

    /// Takes in what a peer has told; returns what that changes.
    pub fn told(&mut self, run: u64, word: LimitWord) -> Option<LimitChange> {
        match self.words.get(&run) {
            Some(held) if held.at >= word.at => None,
            None if word.per_s.is_none() => None,
            _ => self.put(run, word),
        }
    }

    fn put(&mut self, run: u64, word: LimitWord) -> Option<LimitChange> {
        let before = self.words.insert(run, word).and_then(|before| before.per_s);
        (before != word.per_s).then_some(LimitChange { before, now: word.per_s })
    }

    /// Returns the limit of an upstream, if it names one.
    pub fn of(&self, run: u64) -> Option<f64> {
        self.words.get(&run)?.per_s
    }

    /// Returns the newest word of an upstream.
    pub fn word(&self, run: u64) -> Option<LimitWord> {
        self.words.get(&run).copied()
    }

    /// Lists the words that peers are to be told.
    pub fn to_tell(&self, now: Duration) -> impl Iterator<Item = (u64, LimitWord)> {
        let is_told =
            move |word: &LimitWord| word.per_s.is_some() || now < word.at + LIFTED_TOLD_FOR;
        self.words.iter().filter(move |(_, word)| is_told(word)).map(|(run, word)| (*run, *word))
    }

    /// Tells whether no word is known.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Returns the number of upstreams that name a limit.
    pub fn in_force(&self) -> usize {
        self.words.values().filter(|word| word.per_s.is_some()).count()
    }

    /// Forgets starts that are over: a new start takes nothing over from the one before.
    pub fn retain(&mut self, now: Duration, is_recorded: impl Fn(u64) -> bool) {
        self.words.retain(|run, word| is_recorded(*run) || now < word.at + UNRECORDED_KEPT);
    }
}
