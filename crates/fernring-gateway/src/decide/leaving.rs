//! Upstreams that announced in a response that they are leaving. No I/O.
//!
//! An announcement holds for an incarnation until its process ends. It is kept by incarnation and
//! not with the upstream's record: the record may still say that the upstream is ready, or lapse and
//! return, while the store is unavailable.

use std::{collections::HashMap, time::Duration};

/// How long an announcement is kept for an incarnation without a record. The process may still
/// respond, and its record may return.
const UNRECORDED_RETENTION: Duration = Duration::from_secs(600);

/// The incarnations that are leaving, by [`crate::model::UpstreamRecord::incarnation_id`].
#[derive(Debug, Default)]
pub struct LeavingUpstreams {
    /// When each incarnation last announced that it is leaving, or last had a record.
    confirmed_at: HashMap<u64, Duration>,
}

impl LeavingUpstreams {
    /// Records an announcement; returns whether it is the first one.
    pub fn record(&mut self, now: Duration, incarnation_id: u64) -> bool {
        self.confirmed_at.insert(incarnation_id, now).is_none()
    }

    /// Returns whether an incarnation is leaving.
    pub fn contains(&self, incarnation_id: u64) -> bool {
        self.confirmed_at.contains_key(&incarnation_id)
    }

    /// Returns whether no incarnation is leaving.
    pub fn is_empty(&self) -> bool {
        self.confirmed_at.is_empty()
    }

    /// Lists the incarnations that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = u64> {
        self.confirmed_at.keys().copied()
    }

    /// Removes incarnations that have had no record for `UNRECORDED_RETENTION`.
    pub fn expire(&mut self, now: Duration, is_recorded: impl Fn(u64) -> bool) {
        self.confirmed_at.retain(|incarnation_id, confirmed_at| {
            if is_recorded(*incarnation_id) {
                *confirmed_at = now;
            }
            now < *confirmed_at + UNRECORDED_RETENTION
        });
    }
}
