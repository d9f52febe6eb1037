//! This node's own record in the store: written at the start, written again after the store was
//! restored from a backup, and removed at shutdown.

use {
    super::{PEER_DISCOVERY_TIME, RETRY_PAUSE_MAX, RETRY_PAUSE_MIN, StoreLoops, jitter},
    crate::{
        log,
        members::ReaderRole,
        wire::{Page, Topic},
    },
    fernring_core::text::LogLine,
    rand::RngExt,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Period over which nodes spread the rewrite of their records after the store was restored from a
/// backup: hundreds of nodes notice it within a second.
const REWRITE_SPREAD: Duration = Duration::from_secs(1);
/// Time that the store needs for one record, with capacity left for other writers. It refuses
/// writes that come faster.
const WRITE_TIME: Duration = Duration::from_millis(8);
/// Most nodes that may write at the same moment.
const WRITERS_MAX: usize = 50;
/// Attempts to remove this node's own record at shutdown.
const REMOVE_TRIES: u32 = 2;

/// Draws the pause after which one of this many nodes writes its record.
fn write_pause(nodes: usize) -> Duration {
    (WRITE_TIME * nodes as u32).mul_f64(rand::rng().random_range(0.0..1.0))
}

impl StoreLoops {
    /// Reads the records of the nodes and writes this node's own.
    pub async fn join(self: Rc<Self>) {
        let mut pause = RETRY_PAUSE_MIN;
        loop {
            match self.store.read_newest(Topic::Nodes, None).await {
                Ok(newest) => {
                    let node_count = self.apply_nodes(&newest.page);
                    self.stream_origins.set_first_start(node_count == 0);
                    if node_count > WRITERS_MAX {
                        sleep(write_pause(node_count)).await;
                    }
                    self.write_own_records().await;
                    match newest.next {
                        Some(next) => self.read_other_nodes(next).await,
                        None => self.read_again_without_peers().await,
                    }
                    return;
                }
                Err(error) => self.record_failure(Topic::Nodes, &error),
            }
            sleep(jitter(pause)).await;
            pause = (pause * 2).min(self.nodes_retry_pause_max());
        }
    }

    /// Applies records of nodes; returns how many nodes they name.
    fn apply_nodes(&self, page: &Page) -> usize {
        self.crash_attribution.load_records(&page.records);
        let addresses = page.records.iter().filter(|record| record.value.is_some());
        let addresses: Vec<_> = addresses.filter_map(|record| record.key.parse().ok()).collect();
        let node_count = addresses.len();
        self.upstreams.set_recorded_nodes(node_count);
        self.peers.suggest(addresses);
        node_count
    }

    /// Reads the records after the first page, if this node is a reader or has no reachable peer.
    /// All other nodes receive them from peers.
    async fn read_other_nodes(&self, mut after: Arc<str>) {
        sleep(PEER_DISCOVERY_TIME).await;
        while self.peers.reader_role() != ReaderRole::None {
            match self.store.read_newest(Topic::Nodes, Some(&after)).await {
                Ok(newest) => {
                    self.apply_nodes(&newest.page);
                    let Some(next) = newest.next else {
                        return;
                    };
                    after = next;
                }
                Err(error) => {
                    self.record_failure(Topic::Nodes, &error);
                    sleep(jitter(RETRY_PAUSE_MAX)).await;
                }
            }
        }
    }

    /// Reads the records again if this node has heard no peer. Nodes that start at the same moment
    /// all read before any of them has written its record; of any two, the one that wrote later
    /// finds the other now.
    async fn read_again_without_peers(&self) {
        sleep(PEER_DISCOVERY_TIME).await;
        while self.peers.node_count() == 1 {
            match self.store.read_newest(Topic::Nodes, None).await {
                Ok(newest) => {
                    self.apply_nodes(&newest.page);
                    return;
                }
                Err(error) => {
                    self.record_failure(Topic::Nodes, &error);
                    sleep(jitter(RETRY_PAUSE_MAX)).await;
                }
            }
        }
    }

    /// Writes this node's record; retries until the store has it.
    pub(super) async fn write_own_records(&self) {
        let own_address = self.peers.address().to_string();
        loop {
            let era = self.store.era();
            match self.store.write(Topic::Nodes, &own_address, Some(b"1")).await {
                // If the era has changed meanwhile, the record may be lost again.
                Ok(()) if self.store.era() == era => return self.registered_era.set(Some(era)),
                Ok(()) => {}
                Err(error) => {
                    self.record_failure(Topic::Nodes, &error);
                    sleep(RETRY_PAUSE_MAX.max(write_pause(self.peers.node_count()))).await;
                }
            }
        }
    }

    /// Handles the era of the store named by a response of the store or by a peer. In a later era
    /// than the known one, this node's record may be lost, so it is written again.
    pub fn handle_era(self: &Rc<Self>, era: u64) {
        self.store.record_era(era);
        let Some(before) = self.registered_era.get().filter(|before| *before < self.store.era())
        else {
            return;
        };
        self.registered_era.set(Some(self.store.era()));
        let line = LogLine::event("store_came_back").with("from_era", before);
        log::warn(line.with("era", self.store.era()));
        self.crash_attribution.handle_store_restored();
        self.stream_origins.handle_store_restored();
        let loops = self.clone();
        spawn_local(async move {
            sleep(REWRITE_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))).await;
            loops.write_own_records().await;
        });
    }

    /// Removes this node's own record.
    pub async fn remove_own_record(&self) {
        let own_address = self.peers.address().to_string();
        for _ in 0..REMOVE_TRIES {
            match self.store.write(Topic::Nodes, &own_address, None).await {
                Ok(()) => return,
                Err(error) => self.record_failure(Topic::Nodes, &error),
            }
        }
    }
}
