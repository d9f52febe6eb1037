//! Limits that upstreams announce on the requests that they take from all nodes together, and which
//! announcement is the newest. No I/O.
//!
//! Handles overloaded upstreams, which name a limit in each response for as long as it holds. A
//! response reaches only one node, responses overtake each other, and nodes publish the limits that
//! they have read, with their ages. An announcement that allows more than the known one counts only
//! if it is certainly newer: its request was sent after the known one arrived. An announcement that
//! allows less counts at once: at worst, an outdated one holds until the next response.

use {
    crate::model::LimitHeader,
    std::{collections::HashMap, time::Duration},
};

/// How long nodes publish that a limit was lifted. A node that misses this learns it from a
/// response of its own.
const LIFTED_PUBLISH_TIME: Duration = Duration::from_secs(10);
/// How long an announcement is kept for an incarnation without a record: the record may not have
/// arrived yet.
const UNRECORDED_RETENTION: Duration = Duration::from_secs(60);

/// The newest announcement of one incarnation of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnnouncedLimit {
    /// Requests per second that the upstream takes from all nodes together; `None` if it no longer
    /// names a limit.
    pub per_s: Option<f64>,
    /// Time of the announcement, as far as is known.
    pub at: Duration,
}

/// A change of an upstream's known limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The previous limit.
    pub before: Option<f64>,
    /// The present limit.
    pub now: Option<f64>,
}

/// The newest announcements of all upstreams, by incarnation
/// ([`crate::model::UpstreamRecord::incarnation_id`]).
#[derive(Debug, Default)]
pub struct AnnouncedLimits {
    announcements: HashMap<u64, AnnouncedLimit>,
}

impl AnnouncedLimits {
    /// Records the announcement in a response whose request was sent at `sent_at`; returns the
    /// change, if any.
    pub fn record_response(
        &mut self,
        now: Duration,
        incarnation: u64,
        sent_at: Duration,
        announced: LimitHeader,
    ) -> Option<LimitChange> {
        let per_s = match announced {
            LimitHeader::None => None,
            LimitHeader::PerSecond(per_s) => Some(per_s),
            LimitHeader::Unreadable => return None,
        };
        let known = self.announcements.get(&incarnation).copied();
        if known.is_none() && per_s.is_none() {
            return None;
        }
        let before = known.and_then(|known| known.per_s);
        let allows_more = match (before, per_s) {
            (Some(_), None) => true,
            (Some(before), Some(per_s)) => per_s > before,
            (None, _) => false,
        };
        if allows_more && known.is_some_and(|known| sent_at <= known.at) {
            return None;
        }
        let at = if allows_more || per_s.is_none() { sent_at } else { now };
        let at = known.map_or(at, |known| at.max(known.at));
        self.put(incarnation, AnnouncedLimit { per_s, at })
    }

    /// Records an announcement reported by a peer; returns the change, if any.
    pub fn record_peer_report(
        &mut self,
        incarnation: u64,
        announcement: AnnouncedLimit,
    ) -> Option<LimitChange> {
        match self.announcements.get(&incarnation) {
            Some(known) if known.at >= announcement.at => None,
            None if announcement.per_s.is_none() => None,
            _ => self.put(incarnation, announcement),
        }
    }

    fn put(&mut self, incarnation: u64, announcement: AnnouncedLimit) -> Option<LimitChange> {
        let before =
            self.announcements.insert(incarnation, announcement).and_then(|before| before.per_s);
        (before != announcement.per_s).then_some(LimitChange { before, now: announcement.per_s })
    }

    /// Returns the limit of an upstream, if it names one.
    pub fn limit_per_s(&self, incarnation: u64) -> Option<f64> {
        self.announcements.get(&incarnation)?.per_s
    }

    /// Returns the newest announcement of an upstream.
    pub fn announcement(&self, incarnation: u64) -> Option<AnnouncedLimit> {
        self.announcements.get(&incarnation).copied()
    }

    /// Lists the announcements to publish to peers.
    pub fn to_publish(&self, now: Duration) -> impl Iterator<Item = (u64, AnnouncedLimit)> {
        let is_published = move |announcement: &AnnouncedLimit| {
            announcement.per_s.is_some() || now < announcement.at + LIFTED_PUBLISH_TIME
        };
        self.announcements
            .iter()
            .filter(move |(_, announcement)| is_published(announcement))
            .map(|(incarnation, announcement)| (*incarnation, *announcement))
    }

    /// Returns whether no announcement is known.
    pub fn is_empty(&self) -> bool {
        self.announcements.is_empty()
    }

    /// Returns the number of upstreams that name a limit.
    pub fn active_count(&self) -> usize {
        self.announcements.values().filter(|announcement| announcement.per_s.is_some()).count()
    }

    /// Removes incarnations that are over: a new incarnation inherits nothing from the previous
    /// one.
    pub fn retain(&mut self, now: Duration, is_recorded: impl Fn(u64) -> bool) {
        self.announcements.retain(|incarnation, announcement| {
            is_recorded(*incarnation) || now < announcement.at + UNRECORDED_RETENTION
        });
    }
}
