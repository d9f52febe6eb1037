//! Requests that wait for an upstream of one pool.
//!
//! One queue a pool, so that a slow stage can hold up only its own. Inside it, workspaces share
//! by weight (start-time fair queueing) and each workspace is served by earliest deadline.

use {
    fernring_core::ids::RequestId,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Scale of virtual time: one request of weight 1 advances its workspace by this much.
const VIRTUAL_UNIT: u64 = 1 << 20;

/// The order in which requests are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// Fair between workspaces, then earliest deadline.
    FairDeadline,
    /// First come, first served.
    Arrival,
}

/// Where a waiting request stands; needed to take it out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuePosition {
    workspace: Arc<str>,
    rank: Rank,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Duration,
    serial: u64,
}

#[derive(Debug, Default)]
struct Lane {
    /// Virtual time at which the workspace's next request is due.
    due: u64,
    weight: u32,
    waiting: BTreeMap<Rank, RequestId>,
}

/// The queue of one pool.
///
/// Invariant: `active` holds exactly the workspaces whose lane is not empty, by their due time;
/// `len` is the number of requests in all lanes.
#[derive(Debug)]
pub struct PoolQueue {
    order: QueueOrder,
    lanes: HashMap<Arc<str>, Lane>,
    active: BTreeSet<(u64, Arc<str>)>,
    virtual_time: u64,
    serial: u64,
    len: usize,
}

impl PoolQueue {
    /// Creates an empty queue.
    pub fn new(order: QueueOrder) -> Self {
        Self {
            order,
            lanes: HashMap::new(),
            active: BTreeSet::new(),
            virtual_time: 0,
            serial: 0,
            len: 0,
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request and returns its place.
    pub fn push(
        &mut self,
        request: RequestId,
        workspace: &Arc<str>,
        weight: u32,
        deadline: Duration,
    ) -> QueuePosition {
        self.serial += 1;
        let lane_name = match self.order {
            QueueOrder::FairDeadline => workspace.clone(),
            QueueOrder::Arrival => Arc::from(""),
        };
        let deadline = if self.order == QueueOrder::Arrival { Duration::ZERO } else { deadline };
        let rank = Rank { deadline, serial: self.serial };
        let lane = self.lanes.entry(lane_name.clone()).or_default();
        lane.weight = weight.max(1);
        if lane.waiting.is_empty() {
            lane.due = lane.due.max(self.virtual_time);
            self.active.insert((lane.due, lane_name.clone()));
        }
        lane.waiting.insert(rank, request);
        self.len += 1;
        QueuePosition { workspace: lane_name, rank }
    }

    /// Returns the request that is next, without taking it.
    pub fn peek(&self) -> Option<RequestId> {
        let (_, name) = self.active.first()?;
        self.lanes.get(name)?.waiting.values().next().copied()
    }

    /// Takes the request that is next.
    pub fn pop(&mut self) -> Option<RequestId> {
        let (due, name) = self.active.pop_first()?;
        let lane = self.lanes.get_mut(&name)?;
        let (_, request) = lane.waiting.pop_first()?;
        self.len -= 1;
        self.virtual_time = self.virtual_time.max(due);
        lane.due = due + VIRTUAL_UNIT / u64::from(lane.weight);
        self.settle(name);
        Some(request)
    }

    /// Takes out a request that no longer waits.
    pub fn remove(&mut self, place: &QueuePosition) {
        let Some(lane) = self.lanes.get_mut(&place.workspace) else {
            return;
        };
        if lane.waiting.remove(&place.rank).is_none() {
            return;
        }
        self.len -= 1;
        self.active.remove(&(lane.due, place.workspace.clone()));
        self.settle(place.workspace.clone());
    }

    /// Puts a lane back among the active ones, or forgets it once it owes nothing.
    fn settle(&mut self, name: Arc<str>) {
        let Some(lane) = self.lanes.get(&name) else {
            return;
        };
        if !lane.waiting.is_empty() {
            self.active.insert((lane.due, name));
        } else if lane.due <= self.virtual_time || self.len == 0 {
            self.lanes.remove(&name);
        }
    }
}
