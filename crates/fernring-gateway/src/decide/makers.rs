//! What the owner of a stage service knows of its makers: the upstreams that work on pieces. No I/O.

use {
    crate::model::{BatchConfig, UpstreamKey},
    slotmap::SecondaryMap,
    std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration},
};

/// Calls without pieces after which half of what something else takes of a maker's room is believed to be
/// free again. After all nodes were lost, the results of before lie there for their whole lifetime; a maker
/// that is filled up to its room again and again makes calls for a few pieces only.
const UNKNOWN_CALLS: f64 = 1.25;
/// Part of a maker's room below which what something else takes there is forgotten: one of so many.
const UNKNOWN_PARTS: u64 = 16;
/// Part of a call's usual time beyond which its pieces are given to another maker as well. Calls
/// of sound makers take at most 1.15 times what is said of them, and twice that behind the call of
/// another owner (as logged); at 1.6 such calls were made twice for nothing.
const OVERDUE_PART: f64 = 2.2;
/// Time that a call may take besides before it is overdue: connecting, and fetching inputs.
const OVERDUE_GRACE: Duration = Duration::from_millis(100);
/// How many times what is said of it a call may take before it counts as slow.
const SLOWNESS_MAX: f64 = 2.5;
/// Calls in a row that are slow before a maker counts as slow: a single one may have waited for the
/// call of another owner, or for inputs.
const SLOW_CALLS: u32 = 2;
/// How long a slow maker is left out before it is tried again.
const SLOW_TIME: Duration = Duration::from_millis(1_500);
/// A result that lies at its maker.
#[derive(Debug)]
pub struct Kept {
    /// Its size.
    pub bytes: u64,
    /// When it was made.
    pub made_at: Duration,
    /// The node that asked for it.
    pub asker: SocketAddr,
}

/// One maker.
#[derive(Debug, Default)]
pub struct Maker {
    /// When the call under way will have ended, about; `None` without one.
    busy_until: Option<Duration>,
    /// The results that lie there, by handle.
    kept: HashMap<Arc<str>, Kept>,
    /// Bytes of results that are being made.
    making: u64,
    /// Bytes that something else takes, as a refusal for want of room has shown, and until when
    /// that is believed.
    unknown: Option<(u64, Duration)>,
    /// Slow calls in a row.
    slow_calls: u32,
    /// When the last of them ended.
    slow_at: Duration,
}

impl Maker {
    /// Returns when the call under way will have ended, about; `None` without one.
    pub fn busy_until(&self) -> Option<Duration> {
        self.busy_until
    }

    /// Returns the bytes of its room that are taken.
    pub fn kept_bytes(&self) -> u64 {
        let unknown = self.unknown.map_or(0, |(bytes, _)| bytes);
        self.kept.values().map(|kept| kept.bytes).sum::<u64>() + self.making + unknown
    }

    /// Lists the results that a node asked for.
    pub fn asked_by(&self, asker: SocketAddr) -> impl Iterator<Item = &Arc<str>> {
        let theirs = self.kept.iter().filter(move |(_, kept)| kept.asker == asker);
        theirs.map(|(handle, _)| handle)
    }

    /// Takes in that a call began that should end at `ends_at` and makes `bytes`.
    pub fn call_began(&mut self, ends_at: Duration, bytes: u64) {
        self.busy_until = Some(ends_at);
        self.making += bytes;
    }

    /// Takes in that the call has ended.
    pub fn call_ended(&mut self, bytes: u64) {
        self.busy_until = None;
        self.making = self.making.saturating_sub(bytes);
    }

    /// Takes in how long a call took that should have taken `usual`.
    pub fn took(&mut self, now: Duration, time: Duration, usual: Duration) {
        let is_slow = time > usual.mul_f64(SLOWNESS_MAX);
        self.slow_calls = if is_slow { self.slow_calls + 1 } else { 0 };
        self.slow_at = now;
    }

    fn is_slow(&self, now: Duration) -> bool {
        self.slow_calls >= SLOW_CALLS && now < self.slow_at + SLOW_TIME
    }

    /// Takes in a result that lies there.
    pub fn keep(&mut self, handle: Arc<str>, kept: Kept) {
        self.kept.insert(handle, kept);
    }

    /// Takes in that a result was given up.
    pub fn forget(&mut self, handle: &str) {
        self.kept.remove(handle);
    }

    /// Takes in that it refused a piece for want of room though there should be some; tells whether
    /// that is news.
    pub fn had_no_room(&mut self, now: Duration, shape: &BatchConfig) -> bool {
        let before = self.unknown.map_or(0, |(bytes, _)| bytes);
        let found = shape.result_capacity_bytes.saturating_sub(self.kept_bytes());
        self.unknown = Some((before + found, now + unknown_for(shape)));
        found > 0
    }

    fn expire(&mut self, now: Duration, shape: &BatchConfig) {
        self.kept.retain(|_, kept| now < kept.made_at + shape.result_lifetime);
        self.unknown = match self.unknown {
            Some((bytes, until)) if now >= until => {
                let is_much = bytes > shape.result_capacity_bytes / UNKNOWN_PARTS;
                is_much.then_some((bytes / 2, now + unknown_for(shape)))
            }
            other => other,
        };
    }
}

/// Returns how long room that something else takes is believed to be taken whole.
fn unknown_for(shape: &BatchConfig) -> Duration {
    shape.call_time.mul_f64(UNKNOWN_CALLS)
}

/// Returns the time that a call takes, by what is said of it.
pub fn usual_time(shape: &BatchConfig, pieces: usize) -> Duration {
    shape.call_time + shape.piece_time * pieces as u32
}

/// Returns the time after which a call is overdue.
pub fn overdue_after(shape: &BatchConfig, pieces: usize) -> Duration {
    usual_time(shape, pieces).mul_f64(OVERDUE_PART) + OVERDUE_GRACE
}

/// All makers that were given work.
#[derive(Debug, Default)]
pub struct MakerSet {
    makers: SecondaryMap<UpstreamKey, Maker>,
}

impl MakerSet {
    /// Returns a maker, if it was given work before.
    pub fn get(&self, key: UpstreamKey) -> Option<&Maker> {
        self.makers.get(key)
    }

    /// Returns a maker, if it was given work before.
    pub fn get_mut(&mut self, key: UpstreamKey) -> Option<&mut Maker> {
        self.makers.get_mut(key)
    }

    /// Returns a maker; `None` if its key is no longer in use.
    pub fn of(&mut self, key: UpstreamKey) -> Option<&mut Maker> {
        Some(self.makers.entry(key)?.or_default())
    }

    /// Lists all makers.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamKey, &Maker)> {
        self.makers.iter()
    }

    /// Lists those of some makers that could start a call, in the order given, with the room that each
    /// has for results. Slow makers are left out for a while, unless all are.
    pub fn free(
        &mut self,
        now: Duration,
        keys: &[UpstreamKey],
        shape: &BatchConfig,
    ) -> Vec<(UpstreamKey, u64)> {
        for key in keys {
            if let Some(maker) = self.makers.get_mut(*key) {
                maker.expire(now, shape);
            }
        }
        let is_slow = |key: &UpstreamKey| self.makers.get(*key).is_some_and(|m| m.is_slow(now));
        let any_fast = keys.iter().any(|key| !is_slow(key));
        let is_free = |key: &&UpstreamKey| {
            let is_busy = self.makers.get(**key).is_some_and(|maker| maker.busy_until.is_some());
            !is_busy && (!any_fast || !is_slow(key))
        };
        let room = |key: &UpstreamKey| {
            let kept = self.makers.get(*key).map_or(0, Maker::kept_bytes);
            (*key, shape.result_capacity_bytes.saturating_sub(kept))
        };
        keys.iter().filter(is_free).map(room).collect()
    }
}
