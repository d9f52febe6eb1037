//! Finds the parts of prompts under which upstreams crash, and quarantines them. No I/O.
//!
//! Handles a part that crashes each upstream that begins to answer a request with it, while no two
//! of these requests are alike, so that none of them is ever in flight at a second crash
//! ([`crate::quarantine`]). The other parts of these requests are shared by sound ones. Days on
//! which upstreams crash by themselves must not quarantine the part of a quiet caller.
//!
//! A crash counts for all parts of the requests that were in flight there. What protects sound
//! parts:
//!
//! - An answer clears a part, or progress well beyond the beginning of one. It covers the crashes
//!   before it and those of the next minute, since a popular part is in flight at nearly every
//!   crash.
//! - Crashes count only once for the same request, and those at the same moment count once: with a
//!   failure domain, many upstreams end together.
//! - A part that explains few of the crashes of its time needs more of them.
//! - Of parts that share all crashes, one may be the cause. Only requests with all of them are
//!   refused, until an answer or a crash under one of them tells them apart.
//! - Crashes that are explained by a quarantined part no longer count for others.
//!
//! ```
//! use {
//!     fernring_gateway::{
//!         crash_detection::Incarnation,
//!         fingerprint::{Fingerprint, PartKey, RequestTraits},
//!         part_quarantine::{PartCrashRecord, PartQuarantine},
//!     },
//!     std::time::Duration,
//! };
//!
//! let start = Duration::from_secs(10_000);
//! let part = PartKey { service: "llm".into(), id: 7 };
//! let mut quarantine = PartQuarantine::default();
//! for number in 0..4 {
//!     assert!(quarantine.culprit(&[part.clone()]).is_none());
//!     let request = RequestTraits {
//!         fingerprint: Fingerprint::of(None, "/x", &[number]),
//!         parts: [part.clone()].into(),
//!     };
//!     let at = start + Duration::from_secs(number.into());
//!     let incarnation = Incarnation { instance: format!("i-{number}").into(), started_ms: None };
//!     quarantine.record_crash(at, &PartCrashRecord { incarnation, at, requests: vec![request] });
//! }
//! assert_eq!(quarantine.culprit(&[part.clone()]), Some(&part));
//! ```

use {
    crate::{
        crash_detection::Incarnation,
        fingerprint::{Fingerprint, PartKey, RequestTraits},
        quarantine::{ANSWER_COVERAGE_TIME, ANSWERS_MAX, ATTRIBUTION_LIFETIME, drop_older_half},
    },
    std::{
        collections::{BTreeMap, HashMap, HashSet},
        time::Duration,
    },
};

/// Number of different requests in flight at crashes, from which on their part is quarantined if it
/// explains enough of the crashes. Users allow a part to cause five crashes.
const REQUESTS_MIN: usize = 4;
/// Number of crashes from which on the part is quarantined in any case. Users allow three requests
/// to reach upstreams after the fifth crash.
const CRASHES_MAX: usize = 7;
/// Share of the crashes of its time that a part with fewer than [`CRASHES_MAX`] must explain. Of
/// upstreams that crash by themselves, a rare part is in flight at few.
const EXPLAINED_SHARE_MIN: f64 = 1.0 / 3.0;
/// Number of different requests in flight at crashes, from which on their part is taken for a
/// possible cause: requests with it aren't sent a second time.
const SUSPECT_REQUESTS_MIN: usize = 2;
/// Crashes within this time of each other count once.
const COINCIDENCE_TIME: Duration = Duration::from_millis(150);
/// Most crashes that are kept of one part.
const KEPT_CRASHES_MAX: usize = 16;
/// Most parts with attributions. Beyond it, those with the fewest crashes are dropped first, and of
/// these the oldest.
const ATTRIBUTIONS_MAX: usize = 4_096;
/// Most crashes that are remembered to compute shares.
const OBSERVED_MAX: usize = 4_096;

/// A crash of an upstream's incarnation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartCrashRecord {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Time of the crash.
    pub at: Duration,
    /// The requests with shared parts that were in flight there.
    pub requests: Vec<RequestTraits>,
}

/// An answer to a request with a part, which clears the part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartClearance {
    /// The part.
    pub part: PartKey,
    /// Time of the answer.
    pub at: Duration,
}

/// The change made by a record.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartQuarantineChange {
    /// Whether anything was new.
    pub is_new: bool,
    /// Parts that are quarantined from now on.
    pub newly_quarantined: Vec<PartKey>,
    /// Incarnations whose crash is explained by a part from now on, with the time of the crash.
    pub newly_explained: Vec<(Incarnation, Duration)>,
}

/// A crash with a part in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PartCrash {
    /// Time of the crash.
    pub at: Duration,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// One of the requests with the part that were in flight there.
    pub request: Fingerprint,
}

/// The crashes attributed to one part.
#[derive(Debug, Default)]
struct Attribution {
    /// Each incarnation once, in the order of the crashes; at most [`KEPT_CRASHES_MAX`].
    crashes: Vec<PartCrash>,
    /// Time of the last crash or answer.
    last_at: Duration,
    /// Time of the last answer since the first crash.
    cleared_at: Option<Duration>,
    is_quarantined: bool,
}

/// How many crashes of a part count.
struct Counts {
    crashes: usize,
    requests: usize,
}

impl Attribution {
    fn has_crash(&self, incarnation: &Incarnation) -> bool {
        self.crashes.iter().any(|crash| crash.incarnation == *incarnation)
    }

    fn is_covered(&self, at: Duration) -> bool {
        self.cleared_at.is_some_and(|cleared_at| at <= cleared_at + ANSWER_COVERAGE_TIME)
    }

    /// Attributes a crash; returns whether it is new.
    fn attribute(&mut self, crash: PartCrash) -> bool {
        if self.has_crash(&crash.incarnation) || self.is_covered(crash.at) {
            return false;
        }
        self.last_at = self.last_at.max(crash.at);
        if self.crashes.len() < KEPT_CRASHES_MAX {
            let index = self.crashes.partition_point(|known| known.at <= crash.at);
            self.crashes.insert(index, crash);
        }
        true
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts { crashes: 0, requests: 0 };
        let mut counted_requests = HashSet::new();
        let mut crashes = &self.crashes[..];
        while let Some(first) = crashes.first() {
            let end = crashes.partition_point(|crash| crash.at < first.at + COINCIDENCE_TIME);
            let (coincident, later) = crashes.split_at(end);
            counts.crashes += 1;
            // The other requests may count for a later crash.
            let uncounted =
                coincident.iter().filter(|crash| !counted_requests.contains(&crash.request));
            let first_gone = uncounted.min_by_key(|crash| self.last_crash_of(crash.request));
            counted_requests.extend(first_gone.map(|crash| crash.request));
            crashes = later;
        }
        counts.requests = counted_requests.len();
        counts
    }

    fn last_crash_of(&self, request: Fingerprint) -> Option<Duration> {
        self.crashes.iter().rfind(|crash| crash.request == request).map(|crash| crash.at)
    }

    fn is_shared_suspect(&self) -> bool {
        self.counts().requests >= SUSPECT_REQUESTS_MIN
    }

    /// Removes the crashes that an answer covers; returns whether there were any.
    fn clear(&mut self, at: Duration) -> bool {
        if self.cleared_at.is_some_and(|cleared_at| at <= cleared_at) {
            return false;
        }
        self.cleared_at = Some(at);
        self.last_at = self.last_at.max(at);
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at + ANSWER_COVERAGE_TIME);
        self.drop_quarantine_without_crashes();
        self.crashes.len() < before
    }

    fn drop_quarantine_without_crashes(&mut self) {
        self.is_quarantined &= !self.crashes.is_empty();
    }
}

/// The attributions of all suspect parts.
#[derive(Debug, Default)]
pub struct PartQuarantine {
    attributions: HashMap<PartKey, Attribution>,
    /// Incarnations that crashed with requests with shared parts in flight, with the time of the
    /// crash.
    observed: HashMap<Incarnation, Duration>,
    /// Incarnations whose crash is explained by a quarantined part, with the time of the crash.
    explained: HashMap<Incarnation, Duration>,
    /// Time of the last answer to a request with each part, here or as a peer reported.
    answers: HashMap<PartKey, Duration>,
}

impl PartQuarantine {
    /// Returns the quarantined part because of which a request with these parts is refused, if
    /// there is one.
    pub fn culprit<'a>(&self, parts: &'a [PartKey]) -> Option<&'a PartKey> {
        parts.iter().find(|part| {
            self.is_quarantined(part)
                && self.indistinguishable(part).all(|other| parts.contains(other))
        })
    }

    /// Returns whether a request with these parts should not be sent a second time.
    pub fn forbids_retry(&self, parts: &[PartKey]) -> bool {
        let mut found = parts.iter().filter_map(|part| self.attributions.get(part));
        found.any(Attribution::is_shared_suspect)
    }

    /// Returns whether a part that several requests share may be the cause of a crash.
    pub fn may_explain(&self, incarnation: &Incarnation) -> bool {
        self.attributions.values().any(|attribution| {
            attribution.has_crash(incarnation) && attribution.is_shared_suspect()
        })
    }

    /// Lists the quarantined parts.
    pub fn quarantined(&self) -> impl Iterator<Item = &PartKey> {
        let quarantined =
            self.attributions.iter().filter(|(_, attribution)| attribution.is_quarantined);
        quarantined.map(|(part, _)| part)
    }

    /// Lists the crashes under a part, in their order.
    pub fn crashes_of(&self, part: &PartKey) -> &[PartCrash] {
        self.attributions.get(part).map_or(&[], |attribution| &attribution.crashes)
    }

    /// Lists the other parts that were in flight at all crashes of a part.
    pub fn indistinguishable<'a>(&'a self, part: &'a PartKey) -> impl Iterator<Item = &'a PartKey> {
        let crashes = self.crashes_of(part);
        let has_all = move |other: &Attribution| {
            crashes.iter().all(|crash| other.has_crash(&crash.incarnation))
        };
        let others = self.attributions.iter().filter(move |(other, attribution)| {
            *other != part && !crashes.is_empty() && has_all(attribution)
        });
        others.map(|(other, _)| other)
    }

    fn is_quarantined(&self, part: &PartKey) -> bool {
        self.attributions.get(part).is_some_and(|attribution| attribution.is_quarantined)
    }

    /// Records that an incarnation crashed with requests in flight.
    pub fn record_crash(
        &mut self,
        now: Duration,
        record: &PartCrashRecord,
    ) -> PartQuarantineChange {
        let PartCrashRecord { incarnation, at, requests } = record;
        let mut change = PartQuarantineChange::default();
        if now >= *at + ATTRIBUTION_LIFETIME || requests.is_empty() {
            return change;
        }
        if let Some(culprit) = self.known_cause(requests) {
            if let Some(attribution) = self.attributions.get_mut(&culprit) {
                attribution.last_at = attribution.last_at.max(*at);
            }
            change.is_new = self.explain(incarnation, *at, &culprit);
            change.newly_explained = vec![(incarnation.clone(), *at)];
            return change;
        }
        if self.explained.contains_key(incarnation) {
            return change;
        }
        self.observed.entry(incarnation.clone()).or_insert(*at);
        for request in requests {
            for part in request.parts.iter() {
                change.is_new |= self.attribute(part, *at, incarnation, request.fingerprint);
            }
        }
        if change.is_new {
            self.update_quarantine(&mut change);
        }
        self.evict_excess();
        change
    }

    /// Returns a quarantined part of one of the requests that no other part is mistaken for.
    fn known_cause(&self, requests: &[RequestTraits]) -> Option<PartKey> {
        let mut parts = requests.iter().flat_map(|request| request.parts.iter());
        let is_known = |part: &&PartKey| {
            self.is_quarantined(part) && self.indistinguishable(part).next().is_none()
        };
        parts.find(is_known).cloned()
    }

    fn attribute(
        &mut self,
        part: &PartKey,
        at: Duration,
        incarnation: &Incarnation,
        request: Fingerprint,
    ) -> bool {
        if self.covering_answer(part, at).is_some() {
            return false;
        }
        let crash = PartCrash { at, incarnation: incarnation.clone(), request };
        self.attributions.entry(part.clone()).or_default().attribute(crash)
    }

    /// Quarantines the parts with enough crashes. Crashes with a certain cause no longer count for
    /// other parts.
    fn update_quarantine(&mut self, change: &mut PartQuarantineChange) {
        let is_due = |(_, attribution): &(&PartKey, &Attribution)| {
            !attribution.is_quarantined && self.is_due(attribution)
        };
        let due: Vec<_> =
            self.attributions.iter().filter(is_due).map(|(part, _)| part.clone()).collect();
        for part in &due {
            if let Some(attribution) = self.attributions.get_mut(part) {
                attribution.is_quarantined = true;
            }
        }
        let certain: Vec<_> = self
            .quarantined()
            .filter(|part| self.indistinguishable(part).next().is_none())
            .cloned()
            .collect();
        for part in &certain {
            for PartCrash { incarnation, at, .. } in self.crashes_of(part).to_vec() {
                if self.explain(&incarnation, at, part) {
                    change.newly_explained.push((incarnation, at));
                }
            }
        }
        change.newly_quarantined =
            due.into_iter().filter(|part| self.is_quarantined(part)).collect();
    }

    fn is_due(&self, attribution: &Attribution) -> bool {
        let counts = attribution.counts();
        if counts.requests < REQUESTS_MIN {
            return false;
        }
        counts.crashes >= CRASHES_MAX || self.explained_share(attribution) >= EXPLAINED_SHARE_MIN
    }

    /// Returns the share of the crashes between the first and the last one of a part at which the
    /// part was in flight.
    fn explained_share(&self, attribution: &Attribution) -> f64 {
        let (Some(first), Some(last)) = (attribution.crashes.first(), attribution.crashes.last())
        else {
            return 0.0;
        };
        let is_between = |(_, at): &(&Incarnation, &Duration)| (first.at..=last.at).contains(at);
        let all = self.observed.iter().filter(is_between).count();
        attribution.crashes.len() as f64 / all.max(1) as f64
    }

    /// Marks a crash as explained by `culprit`: it no longer counts for other parts. Returns
    /// whether that is new.
    fn explain(&mut self, incarnation: &Incarnation, at: Duration, culprit: &PartKey) -> bool {
        if self.explained.insert(incarnation.clone(), at).is_some() {
            return false;
        }
        self.observed.remove(incarnation);
        for (part, attribution) in &mut self.attributions {
            if part != culprit {
                attribution.crashes.retain(|crash| crash.incarnation != *incarnation);
                attribution.drop_quarantine_without_crashes();
            }
        }
        true
    }

    /// Records an answer to a request with a part, or progress of one. The change is new if the
    /// answer removed any crash.
    pub fn record_answer(&mut self, part: &PartKey, at: Duration) -> PartQuarantineChange {
        let answered_at = self.answers.entry(part.clone()).or_default();
        *answered_at = at.max(*answered_at);
        self.evict_old_answers();
        let Some(attribution) = self.attributions.get_mut(part) else {
            return PartQuarantineChange::default();
        };
        let is_new = attribution.clear(at);
        let mut change = PartQuarantineChange { is_new, ..PartQuarantineChange::default() };
        if is_new {
            // Without this part, the cause of its crashes may be certain.
            self.update_quarantine(&mut change);
        }
        change
    }

    /// Records a peer's report of an answer.
    pub fn record_clearance(
        &mut self,
        now: Duration,
        clearance: &PartClearance,
    ) -> PartQuarantineChange {
        match now < clearance.at + ATTRIBUTION_LIFETIME {
            true => self.record_answer(&clearance.part, clearance.at),
            false => PartQuarantineChange::default(),
        }
    }

    /// Returns the answer that covers a crash at some time for a part, if there is one.
    pub fn covering_answer(&self, part: &PartKey, at: Duration) -> Option<PartClearance> {
        let answered_at = self.answers.get(part).copied()?;
        let is_covered = at <= answered_at + ANSWER_COVERAGE_TIME;
        is_covered.then(|| PartClearance { part: part.clone(), at: answered_at })
    }

    /// Returns a request without the parts for which an answer covers a crash at some time.
    pub fn without_covered(&self, request: &RequestTraits, at: Duration) -> RequestTraits {
        let uncovered =
            request.parts.iter().filter(|part| self.covering_answer(part, at).is_none());
        RequestTraits { fingerprint: request.fingerprint, parts: uncovered.cloned().collect() }
    }

    /// Lists the records of the `count_max` most important attributions: those of quarantined
    /// parts, then those with the most crashes, then the latest.
    pub fn records(&self, count_max: usize) -> Vec<PartCrashRecord> {
        let mut attributions: Vec<_> =
            self.attributions.iter().filter(|(_, found)| !found.crashes.is_empty()).collect();
        attributions.sort_unstable_by_key(|(part, attribution)| {
            (std::cmp::Reverse(importance(attribution)), *part)
        });
        attributions.truncate(count_max);
        let mut requests: BTreeMap<(&Incarnation, Fingerprint), (Duration, Vec<PartKey>)> =
            BTreeMap::new();
        for (part, attribution) in attributions {
            for crash in &attribution.crashes {
                let key = (&crash.incarnation, crash.request);
                let entry = requests.entry(key).or_insert_with(|| (crash.at, Vec::new()));
                entry.1.push(part.clone());
            }
        }
        let mut records: Vec<PartCrashRecord> = Vec::new();
        for ((incarnation, fingerprint), (at, parts)) in requests {
            let request = RequestTraits { fingerprint, parts: parts.into() };
            match records.last_mut().filter(|record| record.incarnation == *incarnation) {
                Some(record) => record.requests.push(request),
                None => records.push(PartCrashRecord {
                    incarnation: incarnation.clone(),
                    at,
                    requests: vec![request],
                }),
            }
        }
        records
    }

    /// Removes outdated attributions; returns the parts that are therefore no longer quarantined.
    pub fn expire(&mut self, now: Duration) -> Vec<PartKey> {
        let is_old = |at: Duration| now >= at + ATTRIBUTION_LIFETIME;
        let mut expired = Vec::new();
        self.attributions.retain(|part, attribution| {
            if is_old(attribution.last_at) && attribution.is_quarantined {
                expired.push(part.clone());
            }
            !is_old(attribution.last_at)
        });
        self.explained.retain(|_, at| !is_old(*at));
        self.observed.retain(|_, at| !is_old(*at));
        expired
    }

    fn evict_old_answers(&mut self) {
        if self.answers.len() <= ANSWERS_MAX {
            return;
        }
        drop_older_half(&mut self.answers);
    }

    /// Keeps the numbers of attributions and of observed crashes bounded.
    fn evict_excess(&mut self) {
        if self.observed.len() > OBSERVED_MAX {
            drop_older_half(&mut self.observed);
        }
        let excess = self.attributions.len().saturating_sub(ATTRIBUTIONS_MAX);
        if excess == 0 {
            return;
        }
        let mut order: Vec<_> = self.attributions.iter().collect();
        order.sort_unstable_by_key(|(part, attribution)| (importance(attribution), *part));
        let evicted: HashSet<_> = order[..excess].iter().map(|(part, _)| (*part).clone()).collect();
        self.attributions.retain(|part, _| !evicted.contains(part));
    }
}

fn importance(attribution: &Attribution) -> (bool, usize, Duration) {
    (attribution.is_quarantined, attribution.crashes.len(), attribution.last_at)
}
