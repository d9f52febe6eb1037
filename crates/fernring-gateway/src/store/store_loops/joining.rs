//! This node's own records in the store: written at the start, again after the store came back from a copy, removed at the end.

use {
    super::{PAUSE_FIRST, PAUSE_MAX, START_TIME, StoreLoops, spread},
    crate::{
        log,
        members::ReaderPart,
        wire::{Page, Topic},
    },
    fernring_core::text::LogLine,
    rand::RngExt,
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// Over how much time nodes spread what they write again to a store that came back from a copy: hundreds of them find out
/// within a second.
const WRITE_AGAIN_SPREAD: Duration = Duration::from_secs(1);
/// Time in which the store takes in one record, with room for others. What more nodes write together is refused.
const WRITE_TIME: Duration = Duration::from_millis(8);
/// Nodes that may write at the same moment.
const WRITERS_MAX: usize = 50;
/// Tries to remove this node's own record when it shuts down.
const REMOVE_TRIES: u32 = 2;

/// Draws when one of so many nodes writes its record.
fn write_pause(nodes: usize) -> Duration {
    (WRITE_TIME * nodes as u32).mul_f64(rand::rng().random_range(0.0..1.0))
}

impl StoreLoops {
    /// Reads the nodes' records and writes this node's own.
    pub async fn join(self: Rc<Self>) {
        let mut pause = PAUSE_FIRST;
        loop {
            match self.store.read_newest(Topic::Nodes, None).await {
                Ok(newest) => {
                    let recorded = self.take_nodes(&newest.page);
                    if recorded > WRITERS_MAX {
                        sleep(write_pause(recorded)).await;
                    }
                    self.write_own_records().await;
                    if let Some(next) = newest.next {
                        self.read_other_nodes(next).await;
                    }
                    return;
                }
                Err(error) => self.did_not_answer(Topic::Nodes, &error),
            }
            sleep(spread(pause)).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    /// Takes in records of nodes; returns how many nodes they name.
    fn take_nodes(&self, page: &Page) -> usize {
        self.blame.learn(&page.records);
        let addresses = page.records.iter().filter(|record| record.value.is_some());
        let addresses: Vec<_> = addresses.filter_map(|record| record.key.parse().ok()).collect();
        let recorded = addresses.len();
        self.upstreams.nodes_recorded(recorded);
        self.peers.suggest(addresses);
        recorded
    }

    /// Reads the records after a first page of them, if this node reads for others or hears nobody. Everybody else is told by
    /// peers.
    async fn read_other_nodes(&self, mut after: Arc<str>) {
        sleep(START_TIME).await;
        while self.peers.reader_part() != ReaderPart::None {
            match self.store.read_newest(Topic::Nodes, Some(&after)).await {
                Ok(newest) => {
                    self.take_nodes(&newest.page);
                    let Some(next) = newest.next else {
                        return;
                    };
                    after = next;
                }
                Err(error) => {
                    self.did_not_answer(Topic::Nodes, &error);
                    sleep(spread(PAUSE_MAX)).await;
                }
            }
        }
    }

    /// Writes this node's record, until the store has it.
    pub(super) async fn write_own_records(&self) {
        let me = self.peers.address().to_string();
        loop {
            let era = self.store.era();
            match self.store.write(Topic::Nodes, &me, Some(b"1")).await {
                // In a later era it may be lost again.
                Ok(()) if self.store.era() == era => return self.joined_in.set(Some(era)),
                Ok(()) => {}
                Err(error) => {
                    self.did_not_answer(Topic::Nodes, &error);
                    sleep(PAUSE_MAX.max(write_pause(self.peers.nodes()))).await;
                }
            }
        }
    }

    /// Takes in the era of the store that an answer or a peer names. In a later one than was known, what this node wrote may
    /// be lost, and it writes it again.
    pub fn hear_era(self: &Rc<Self>, era: u64) {
        self.store.record_era(era);
        let Some(before) = self.joined_in.get().filter(|before| *before < self.store.era()) else {
            return;
        };
        self.joined_in.set(Some(self.store.era()));
        let line = LogLine::event("store_came_back").with("from_era", before);
        log::warn(line.with("era", self.store.era()));
        self.blame.store_came_back();
        let loops = self.clone();
        spawn_local(async move {
            sleep(WRITE_AGAIN_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0))).await;
            loops.write_own_records().await;
        });
    }

    /// Removes this node's own record.
    pub async fn leave(&self) {
        let me = self.peers.address().to_string();
        for _ in 0..REMOVE_TRIES {
            match self.store.write(Topic::Nodes, &me, None).await {
                Ok(()) => return,
                Err(error) => self.did_not_answer(Topic::Nodes, &error),
            }
        }
    }
}
