//! The nodes' reports to the controller of a roll-out. No I/O.
//!
//! Reports may overtake each other: a node that has lost its link opens another one, and what it
//! sent before may be read last, even after the first report of its next incarnation. The counts of
//! an incarnation only rise, and an incarnation that another one has followed is over.

use {
    super::counts::RolloutCounts,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// The last report of a node.
#[derive(Debug, Clone)]
pub struct NodeReport {
    /// What the node's incarnation has counted since the order was given.
    pub counts: RolloutCounts,
    /// The incarnation.
    pub incarnation: u64,
    /// Whether the node has no requests in flight at other versions.
    pub is_drained: bool,
    /// When the report was received.
    pub received_at: Duration,
}

/// The reports on one order.
#[derive(Debug, Default)]
pub struct NodeReports {
    by_node: HashMap<SocketAddr, NodeReport>,
    /// Counts of incarnations that are over.
    before_restarts: RolloutCounts,
    /// Incarnations that are over.
    ended: HashSet<(SocketAddr, u64)>,
}

impl NodeReports {
    /// Records a report, unless the node has sent a later one.
    pub fn record(&mut self, node: SocketAddr, report: NodeReport) {
        if self.ended.contains(&(node, report.incarnation)) {
            return;
        }
        let Some(before) = self.by_node.get(&node) else {
            self.by_node.insert(node, report);
            return;
        };
        if before.incarnation != report.incarnation {
            self.ended.insert((node, before.incarnation));
            let counts = RolloutCounts { in_flight_at_others: 0, ..before.counts.clone() };
            self.before_restarts += &counts;
        } else if !report.counts.includes(&before.counts) {
            return;
        }
        self.by_node.insert(node, report);
    }

    /// Returns whether a node has reported.
    pub fn contains(&self, node: SocketAddr) -> bool {
        self.by_node.contains_key(&node)
    }

    /// Lists the last reports.
    pub fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &NodeReport)> {
        self.by_node.iter()
    }

    /// Returns the sum of the counts of all incarnations.
    pub fn sum(&self) -> RolloutCounts {
        let mut sum = self.before_restarts.clone();
        self.by_node.values().for_each(|report| sum += &report.counts);
        sum
    }
}
