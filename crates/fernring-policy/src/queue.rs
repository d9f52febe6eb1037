//! Queues of requests that wait for an upstream of a pool.
//!
//! Each pool has its own queue, so that a slow stage delays only the requests of its pool. Within
//! a queue, workspaces share the pool by weight (start-time fair queueing), and the requests of a
//! workspace are served in order of their deadlines.

use {
    fernring_core::ids::RequestId,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        sync::Arc,
        time::Duration,
    },
};

/// Scale of virtual time: one request of weight 1 advances its workspace by this much.
const VIRTUAL_TIME_UNIT: u64 = 1 << 20;

/// The order in which a queue serves requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueOrder {
    /// Fair between workspaces, then earliest deadline first.
    FairDeadline,
    /// First come, first served.
    Arrival,
}

/// The position of a waiting request, by which it can be removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuePosition {
    workspace: Arc<str>,
    rank: Rank,
}

/// Order of the requests within a lane: by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    deadline: Duration,
    serial: u64,
}

/// The waiting requests of one workspace; of all workspaces in order of arrival.
#[derive(Debug, Default)]
struct Lane {
    /// Start tag of the workspace's next request, in virtual time.
    start_tag: u64,
    weight: u32,
    waiting: BTreeMap<Rank, RequestId>,
}

/// The queue of one pool.
///
/// Invariant: `active` holds exactly the workspaces whose lane is not empty, by start tag; `len` is
/// the number of requests in all lanes.
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

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request and returns its position.
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
            lane.start_tag = lane.start_tag.max(self.virtual_time);
            self.active.insert((lane.start_tag, lane_name.clone()));
        }
        lane.waiting.insert(rank, request);
        self.len += 1;
        QueuePosition { workspace: lane_name, rank }
    }

    /// Returns the next request without removing it.
    pub fn peek(&self) -> Option<RequestId> {
        let (_, name) = self.active.first()?;
        self.lanes.get(name)?.waiting.values().next().copied()
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<RequestId> {
        let (start_tag, name) = self.active.pop_first()?;
        let lane = self.lanes.get_mut(&name)?;
        let (_, request) = lane.waiting.pop_first()?;
        self.len -= 1;
        self.virtual_time = self.virtual_time.max(start_tag);
        lane.start_tag = start_tag + VIRTUAL_TIME_UNIT / u64::from(lane.weight);
        self.update_active(name);
        Some(request)
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, position: &QueuePosition) {
        let Some(lane) = self.lanes.get_mut(&position.workspace) else {
            return;
        };
        if lane.waiting.remove(&position.rank).is_none() {
            return;
        }
        self.len -= 1;
        self.active.remove(&(lane.start_tag, position.workspace.clone()));
        self.update_active(position.workspace.clone());
    }

    /// Returns a lane that is not empty to the active ones. Removes an empty lane as soon as its
    /// start tag no longer delays the workspace.
    fn update_active(&mut self, name: Arc<str>) {
        let Some(lane) = self.lanes.get(&name) else {
            return;
        };
        if !lane.waiting.is_empty() {
            self.active.insert((lane.start_tag, name));
        } else if lane.start_tag <= self.virtual_time || self.len == 0 {
            self.lanes.remove(&name);
        }
    }
}
