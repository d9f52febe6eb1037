//! Which requests upstreams end under, and who is turned away for it. No I/O.
//!
//! Load it answers: one request, sent again and again under new ids and at any node, that ends each upstream that begins to
//! run it, and with it whatever else runs there; and days on which upstreams end by themselves under requests that are not at
//! fault. A request is known by its content. Whatever was in hand at an upstream when it ended is charged with that end; with the
//! third it is turned away. Two things keep the innocent out: a whole answer, since what ends its upstreams never gets one, and
//! ends that are explained by a request that is turned away, which are taken off all others' accounts. Two requests that were in hand
//! at the same three ends are in doubt for a moment: neither is sent, and repeats wait whether an answer clears one. An answer covers the ends of
//! before it and those of the next minute: a content that is asked many times a second is in hand at nearly every end, and three
//! of these may come before its next answer.
//!
//! Inputs: ends and whole answers that this node saw, or that peers tell of, with their ages. They may come in any order and
//! more than once: the start that ended tells ends apart, and a clearing covers what ended before it.
//!
//! ```
//! use {
//!     fernring_gateway::{fingerprint::Fingerprint, endings::Run, suspects::Suspects},
//!     std::time::Duration,
//! };
//!
//! let (now, content) = (Duration::from_secs(9), Fingerprint::of(None, "/x", b""));
//! let mut suspects = Suspects::default();
//! for instance in ["i-1", "i-2", "i-3"] {
//!     assert!(!suspects.is_turned_away(content));
//!     suspects.ended(now, &Run { instance: instance.into(), started_ms: None }, now, &[content]);
//! }
//! assert!(suspects.is_turned_away(content));
//! ```

use {
    crate::{fingerprint::Fingerprint, endings::Run},
    std::{
        collections::{HashMap, HashSet},
        time::Duration,
    },
};

/// How long after its last end a request is in doubt that shares all its ends with another one: a whole answer to one of
/// them that was being given when the last upstream ended comes within about this time.
const DOUBT_TIME: Duration = Duration::from_millis(600);
/// Ends under a request with which it is turned away: what the users allow one request to end.
pub const ENDS_MAX: usize = 3;
/// How long an end counts, and so how long a request is turned away after its last one. A caller who repeats comes back within
/// seconds or minutes; what may run again after a release of the upstreams waits a quarter of an hour at most, and what still ends
/// them costs twelve ends an hour.
pub const LIFETIME: Duration = Duration::from_secs(15 * 60);
/// How long after a whole answer an end isn't charged. What made a harmless request deadly, a release of the upstreams, takes
/// longer to reach the third of them.
const COVERED_TIME: Duration = Duration::from_secs(60);
/// Whole answers that are remembered, some 200 KB; when there are more, the older half goes. Who is asked more rarely than
/// once in so many answers of a node isn't in hand at three ends in a row by chance.
const ANSWERS_MAX: usize = 4_096;
/// Most accounts that are kept, some 600 KB. When there are more, those with the fewest ends go first, and of these the
/// oldest: to push out an account with two ends takes thousands of requests that ended two upstreams each.
const ACCOUNTS_MAX: usize = 4_096;

/// An end of an upstream's start, as it is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndFact {
    /// The start.
    pub run: Run,
    /// When it ended.
    pub at: Duration,
    /// What was in hand there and is charged with it.
    pub contents: Vec<Fingerprint>,
}

/// That a request got a whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClearFact {
    /// The request.
    pub content: Fingerprint,
    /// When.
    pub at: Duration,
}

/// What taking something in has changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct News {
    /// Whether anything was new.
    pub is_new: bool,
    /// Requests that are turned away from now on.
    pub turned_away: Vec<Fingerprint>,
}

/// The ends that one request is charged with.
#[derive(Debug, Clone, Default)]
struct Account {
    /// Each start once, in the order in which they ended; [`ENDS_MAX`] at most.
    ends: Vec<(Duration, Run)>,
    /// The last whole answer since the first end.
    cleared_at: Option<Duration>,
}

impl Account {
    fn is_turned_away(&self) -> bool {
        self.ends.len() >= ENDS_MAX
    }

    fn last_at(&self) -> Duration {
        let ended_at = self.ends.last().map(|(at, _)| *at);
        ended_at.max(self.cleared_at).unwrap_or_default()
    }

    /// Charges an end; tells whether it is new.
    fn charge(&mut self, run: &Run, at: Duration) -> bool {
        let is_known = self.ends.iter().any(|(_, known)| known == run);
        let is_covered = self.cleared_at.is_some_and(|cleared| at <= cleared + COVERED_TIME);
        if is_known || self.is_turned_away() || is_covered {
            return false;
        }
        let place = self.ends.partition_point(|(known_at, _)| *known_at <= at);
        self.ends.insert(place, (at, run.clone()));
        true
    }

    /// Takes off what a whole answer covers; tells whether that changed anything.
    fn clear(&mut self, at: Duration) -> bool {
        if self.cleared_at.is_some_and(|cleared| at <= cleared) {
            return false;
        }
        self.cleared_at = Some(at);
        self.ends.retain(|(ended_at, _)| *ended_at > at + COVERED_TIME);
        true
    }
}

/// The accounts of requests that upstreams ended under.
#[derive(Debug, Default)]
pub struct Suspects {
    accounts: HashMap<Fingerprint, Account>,
    /// Starts that ended under a request that is turned away, and when: nobody else is charged with them.
    explained: HashMap<Run, Duration>,
    /// When requests last got whole answers here.
    answers: HashMap<Fingerprint, Duration>,
}

impl Suspects {
    /// Tells whether a request is charged with any end.
    pub fn is_suspect(&self, content: Fingerprint) -> bool {
        self.accounts.get(&content).is_some_and(|account| !account.ends.is_empty())
    }

    /// Tells whether a request is turned away.
    pub fn is_turned_away(&self, content: Fingerprint) -> bool {
        self.accounts.get(&content).is_some_and(Account::is_turned_away)
    }

    /// Tells whether a request is turned away though another one was in hand at the same ends, all of them just now: one
    /// of the two may be harmless. Neither is sent meanwhile, so this costs no upstream.
    pub fn is_in_doubt(&self, now: Duration, content: Fingerprint) -> bool {
        let Some(account) = self.accounts.get(&content).filter(|a| a.is_turned_away()) else {
            return false;
        };
        let shares = |other: &Account| {
            account.ends.iter().all(|(_, run)| other.ends.iter().any(|(_, theirs)| theirs == run))
        };
        let mut others = self.accounts.iter().filter(|(other, _)| **other != content);
        now < account.last_at() + DOUBT_TIME && others.any(|(_, other)| shares(other))
    }

    /// Lists the starts that ended under a request.
    pub fn ends_of(&self, content: Fingerprint) -> Vec<Run> {
        let ends = self.accounts.get(&content).into_iter().flat_map(|account| &account.ends);
        ends.map(|(_, run)| run.clone()).collect()
    }

    /// Lists the requests that are turned away, with their last ends.
    pub fn turned_away(&self) -> impl Iterator<Item = (Fingerprint, Duration)> {
        let accounts = self.accounts.iter().filter(|(_, account)| account.is_turned_away());
        accounts.map(|(content, account)| (*content, account.last_at()))
    }

    /// Takes in that a start ended at some time with requests in hand.
    pub fn ended(
        &mut self,
        now: Duration,
        run: &Run,
        at: Duration,
        contents: &[Fingerprint],
    ) -> News {
        if now >= at + LIFETIME {
            return News::default();
        }
        let culprits: Vec<_> =
            contents.iter().copied().filter(|content| self.is_turned_away(*content)).collect();
        let mut news = News::default();
        if !culprits.is_empty() {
            news.is_new = self.explain(run, at, &culprits);
        }
        if self.explained.contains_key(run) {
            return news;
        }
        for content in contents {
            if self.covering(*content, at).is_some() {
                continue;
            }
            let account = self.accounts.entry(*content).or_default();
            if account.charge(run, at) {
                news.is_new = true;
                if account.is_turned_away() {
                    news.turned_away.push(*content);
                }
            }
        }
        for content in &news.turned_away {
            let ends = self.accounts[content].ends.clone();
            for (at, run) in ends {
                self.explain(&run, at, &news.turned_away);
            }
        }
        self.accounts.retain(|_, account| !account.ends.is_empty() || account.cleared_at.is_some());
        self.drop_least();
        news
    }

    /// Says that an end is explained by `culprits`: it is taken off the accounts of all others that aren't turned away.
    /// Tells whether that is new.
    fn explain(&mut self, run: &Run, at: Duration, culprits: &[Fingerprint]) -> bool {
        if self.explained.insert(run.clone(), at).is_some() {
            return false;
        }
        for (content, account) in &mut self.accounts {
            if !culprits.contains(content) && !account.is_turned_away() {
                account.ends.retain(|(_, known)| known != run);
            }
        }
        true
    }

    /// Takes in that a request got a whole answer; tells whether it was charged with anything.
    pub fn answered(&mut self, content: Fingerprint, at: Duration) -> bool {
        self.answers.insert(content, at);
        self.drop_old_answers();
        let Some(account) = self.accounts.get_mut(&content) else {
            return false;
        };
        !account.ends.is_empty() && account.clear(at)
    }

    /// Returns the whole answer seen here that covers an end at some time, if there is one.
    pub fn covering(&self, content: Fingerprint, at: Duration) -> Option<ClearFact> {
        let answered_at = self.answers.get(&content).copied()?;
        let is_covered = at <= answered_at + COVERED_TIME;
        is_covered.then_some(ClearFact { content, at: answered_at })
    }

    /// Takes in that a peer saw a whole answer to a request; tells whether that was new.
    pub fn cleared(&mut self, now: Duration, fact: ClearFact) -> bool {
        if now >= fact.at + LIFETIME {
            return false;
        }
        let is_new = self.accounts.entry(fact.content).or_default().clear(fact.at);
        self.drop_least();
        is_new
    }

    /// Lists what is known of the `most` accounts that matter most: those with the most ends, then the latest.
    pub fn facts(&self, most: usize) -> (Vec<EndFact>, Vec<ClearFact>) {
        let mut accounts: Vec<_> = self.accounts.iter().collect();
        accounts.sort_unstable_by_key(|(content, account)| {
            (std::cmp::Reverse((account.ends.len(), account.last_at())), **content)
        });
        accounts.truncate(most);
        let mut ends: HashMap<&Run, EndFact> = HashMap::new();
        for (content, account) in &accounts {
            for (at, run) in &account.ends {
                let new = || EndFact { run: run.clone(), at: *at, contents: Vec::new() };
                ends.entry(run).or_insert_with(new).contents.push(**content);
            }
        }
        let cleared = accounts.iter().filter_map(|(content, account)| {
            Some(ClearFact { content: **content, at: account.cleared_at? })
        });
        (ends.into_values().collect(), cleared.collect())
    }

    /// Forgets what is too old; returns the requests that are no longer turned away for it.
    pub fn expire(&mut self, now: Duration) -> Vec<Fingerprint> {
        let is_old = |at: Duration| now >= at + LIFETIME;
        let over = self.accounts.iter().filter(|(_, account)| is_old(account.last_at()));
        let over: HashMap<_, _> =
            over.map(|(content, account)| (*content, account.is_turned_away())).collect();
        self.accounts.retain(|content, _| !over.contains_key(content));
        self.explained.retain(|_, at| !is_old(*at));
        over.into_iter().filter(|(_, was_turned_away)| *was_turned_away).map(|(c, _)| c).collect()
    }

    /// Keeps the number of answers bounded.
    fn drop_old_answers(&mut self) {
        if self.answers.len() <= ANSWERS_MAX {
            return;
        }
        let mut times: Vec<_> = self.answers.values().copied().collect();
        let (_, middle, _) = times.select_nth_unstable(ANSWERS_MAX / 2);
        let middle = *middle;
        self.answers.retain(|_, at| *at > middle);
    }

    /// Keeps the number of accounts bounded.
    fn drop_least(&mut self) {
        let over = self.accounts.len().saturating_sub(ACCOUNTS_MAX);
        if over == 0 {
            return;
        }
        let mut order: Vec<_> = self.accounts.iter().collect();
        order.sort_unstable_by_key(|(content, account)| {
            (account.ends.len(), account.last_at(), **content)
        });
        let least: HashSet<_> = order[..over].iter().map(|(content, _)| **content).collect();
        self.accounts.retain(|content, _| !least.contains(content));
    }
}
