//! Keeps up with the topics of the platform's store: the configuration, the upstreams, the nodes.
//!
//! Each topic is read in full once. After that, one node of each failure domain reads the changes,
//! with one call at a time that waits for the next record, and its peers rely on that node (see
//! [`crate::freshness`]). `operator_records` and `upstream_records` apply what is read or passed on
//! by peers; `node_records` maintains this node's own record.

mod node_records;
mod operator_records;
mod upstream_records;

pub use upstream_records::PeerRecords;

use {
    crate::{
        bootstrap::Bootstrap,
        config::ConfigState,
        crash_attribution::CrashAttribution,
        deadline_timer::DeadlineTimer,
        freshness::read_wait,
        full_read::FullRead,
        log,
        members::ReaderRole,
        owner::Owner,
        peers::Peers,
        position::Position,
        rollout::coordinator::Rollouts,
        stream_origins::StreamOrigins,
        tailing::Tailing,
        telemetry,
        upstreams::Upstreams,
        wire::{Page, Store, StoreError, Topic, Wire},
    },
    fernring_core::{clock::Clock, text::LogLine},
    rand::RngExt,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        time::Duration,
    },
    tokio::time::sleep,
};

/// First pause after a failed call; doubled up to [`RETRY_PAUSE_MAX`].
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(250);
/// Longest pause of a reader after a failed call: the end of a store outage is noticed within a
/// second.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(700);
/// Longest pause of any other node, which reads only because its state isn't confirmed; more in a
/// large fleet ([`TailedTopic::retry_pause`]).
const STAND_IN_RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause between two reads of the configuration by all such nodes together: a small part of the
/// calls that the store answers in a second.
const CONFIG_STAND_IN_PAUSE: Duration = Duration::from_micros(500);
/// What the nodes that don't read for others together request of the store in a second by repeated
/// reads of one topic: an eighth of what the users' store sends. If they request more than it sends,
/// each response comes too late and is requested again.
const REPEATED_READ_BYTES_PER_S: f64 = 10e6;
/// Assumed size of the configuration as the store sends it, in bytes.
const CONFIG_BYTES: usize = 100 << 10;
/// Assumed size of the first page of the upstreams' records, in bytes.
const FIRST_PAGE_BYTES: usize = 150 << 10;
/// Assumed size of the first page of the nodes' records, in bytes for each node.
const NODE_RECORD_BYTES: usize = 55;
/// Most records of a page.
const PAGE_RECORDS_MAX: usize = 500;
/// Assumed size of an upstream's record in the store, in bytes.
const UPSTREAM_RECORD_BYTES: usize = 300;
/// Largest response to a read, in bytes.
const READ_BYTES_MAX: usize = 1 << 20;
/// How often a starting node checks whether it has to read the remaining pages itself.
const BOOTSTRAP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often a node that doesn't read the store checks whether it has to.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest pause between two checks whether a read is overdue.
const OVERDUE_CHECK_MIN: Duration = Duration::from_millis(20);
/// Time after the start in which a node doesn't know its peers yet, so that it doesn't act as a
/// reader for others.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(1);
/// Pause between two reads of the upstreams' records, so that the heartbeats of many upstreams are
/// read with one call. Well below the time after which a draining upstream may get no new work.
const COALESCE_PAUSE: Duration = Duration::from_millis(600);
/// How often lapsed upstreams are checked for expiry.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// The background loops that keep up with the store.
pub struct StoreLoops {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The timer for waits until a deadline.
    pub deadline_timer: Rc<DeadlineTimer>,
    /// The platform's formats.
    pub wire: Rc<dyn Wire>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// The configuration in force.
    pub config: Rc<RefCell<ConfigState>>,
    /// The upstreams.
    pub upstreams: Rc<Upstreams>,
    /// The owner of stages; it is notified of changes of upstreams.
    pub owner: Rc<Owner>,
    /// The attribution of upstreams' crashes to requests.
    pub crash_attribution: Rc<CrashAttribution>,
    /// The origins of streams, and the versions that services have had.
    pub stream_origins: Rc<StreamOrigins>,
    /// Versions that operators order to be rolled out.
    pub rollouts: Rc<Rollouts>,
    /// The other nodes.
    pub peers: Rc<Peers>,
    /// The state of the configuration's topic and of the upstreams' topic, in the order of
    /// [`TailedTopic`].
    pub tailing: [Rc<RefCell<Tailing>>; 2],
    /// When the node started.
    pub started_at: Duration,
    /// Whether the store responded to the last read of the upstreams' records.
    pub store_answers: Cell<bool>,
    /// Longest time for which operators' orders may be unconfirmed: the bound of an evacuation.
    pub evacuation_bound: Cell<Duration>,
    /// Whether that bound was exceeded at the last check.
    pub has_unconfirmed_orders: Cell<bool>,
    /// Era of the store in which this node's own record was last written; `None` before the first
    /// write.
    pub registered_era: Cell<Option<u64>>,
}

/// The topics that nodes pass on to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TailedTopic {
    /// The configuration; its mark is the version.
    Config,
    /// The upstreams' records; their mark is the position up to which they are known.
    Upstreams,
}

impl TailedTopic {
    fn topic(self) -> Topic {
        match self {
            Self::Config => Topic::Config,
            Self::Upstreams => Topic::Upstreams,
        }
    }

    /// Returns the pause between the first reads of any two of the nodes that stand in for their
    /// readers, given the number of known upstreams.
    pub fn stand_in_pause(self, upstreams: usize) -> Duration {
        match self {
            // Most responses are empty, and all nodes have to read within the time in which a
            // configuration has to be in force.
            Self::Config => CONFIG_STAND_IN_PAUSE,
            Self::Upstreams => self.retry_pause(upstreams).max(CONFIG_STAND_IN_PAUSE),
        }
    }

    /// Returns the pause between the repeated reads of any two of the nodes that don't read for
    /// others, given the number of known upstreams.
    pub fn retry_pause(self, upstreams: usize) -> Duration {
        match (self, upstreams) {
            (Self::Config, _) => read_time(CONFIG_BYTES),
            (Self::Upstreams, 0) => read_time(FIRST_PAGE_BYTES),
            (Self::Upstreams, _) => {
                read_time((upstreams * UPSTREAM_RECORD_BYTES).min(READ_BYTES_MAX))
            }
        }
    }
}

/// Returns the time that responses of this size take at [`REPEATED_READ_BYTES_PER_S`].
fn read_time(bytes: usize) -> Duration {
    Duration::from_secs_f64(bytes as f64 / REPEATED_READ_BYTES_PER_S)
}

impl StoreLoops {
    /// Keeps up with the operators' records: the configuration, evacuations and roll-outs.
    pub async fn tail_config(self: Rc<Self>) {
        self.tail(TailedTopic::Config, Duration::ZERO, |page, is_full| {
            self.apply_operator_page(page, is_full);
        })
        .await;
    }

    /// Keeps up with the upstreams' records.
    pub async fn tail_upstreams(self: Rc<Self>) {
        self.tail(TailedTopic::Upstreams, COALESCE_PAUSE, |page, is_full| {
            self.apply_upstream_page(page, is_full);
        })
        .await;
    }

    /// Reads a topic in full, then reads its changes whenever this node has to.
    async fn tail(
        self: &Rc<Self>,
        tailed: TailedTopic,
        coalesce: Duration,
        apply: impl Fn(Page, bool),
    ) {
        let topic = tailed.topic();
        let mut from: Option<Position> = None;
        let mut full_read = FullRead::default();
        let mut bootstrap = None;
        let mut pause = RETRY_PAUSE_MIN;
        let mut has_failed = false;
        let mut has_read = false;
        let mut asked_at = self.now();
        loop {
            let role = self.reader_role();
            self.tailing(tailed).borrow_mut().set_follower_spread(self.follower_spread(tailed));
            if !self.tailing(tailed).borrow().should_read(self.now(), role) {
                (pause, has_failed) = (RETRY_PAUSE_MIN, false);
                full_read = FullRead::default();
                sleep(READER_CHECK_INTERVAL).await;
                continue;
            }
            // Records from peers are known up to a position, too. Once the store has responded,
            // its responses determine the position.
            let peer_position = self.position_from_peers(tailed).filter(|_| !has_read);
            if (full_read.has_started() || peer_position.is_some())
                && !self.should_read_on(tailed, &mut bootstrap)
            {
                sleep(BOOTSTRAP_CHECK_INTERVAL).await;
                continue;
            }
            // Positions of an earlier era of the store are invalid in this one: the topic is read
            // in full again.
            from = from.map(|from| self.resume_position(tailed, from)).or(peer_position);
            from = from.filter(|from| from.era == self.store.era());
            if !full_read.has_started() {
                self.log_stand_in(tailed, role);
                asked_at = self.now();
            }
            let mut waited = Duration::ZERO;
            let response = match from {
                None => match self.read_page(tailed, &mut full_read).await {
                    Ok(None) => continue,
                    Ok(Some(page)) => Ok(page),
                    Err(error) => Err(error),
                },
                Some(from) => {
                    let wait = self.read_wait(tailed, role, has_failed);
                    asked_at = self.now();
                    waited = wait;
                    tokio::select! {
                    response = self.store.read(topic, from.offset, wait) => response,
                    () = self.until_overdue(tailed, wait) => continue,
                    }
                }
            };
            has_failed = response.is_err();
            has_read |= matches!(response, Ok(_) | Err(StoreError::Expired));
            match response {
                Ok(page) => {
                    pause = RETRY_PAUSE_MIN;
                    let is_full = from.is_none();
                    let has_records = !page.records.is_empty();
                    let has_more = page.has_more;
                    // An end before the position that was read up to means that the store has lost
                    // its history. In a later era other records follow that offset.
                    let end = page.end_position();
                    let has_regressed = from.is_some_and(|from| end < from || end.era != from.era);
                    from = (!has_regressed).then_some(end);
                    self.record_response(tailed);
                    report_unreadable(topic, &page);
                    let read_at = self.now().saturating_sub(page.took);
                    let is_of =
                        if has_records { asked_at } else { (asked_at + waited).min(read_at) };
                    self.handle_era(page.era);
                    if !has_regressed {
                        apply(page, is_full);
                        if !has_more {
                            self.tailing(tailed).borrow_mut().record_read(read_at, role);
                            self.record_proof(tailed, is_of);
                        }
                    }
                    if has_records && !has_more && !coalesce.is_zero() {
                        sleep(coalesce).await;
                    }
                }
                Err(StoreError::Expired) => {
                    log::warn(LogLine::event("store_expired").with("topic", topic.name()));
                    from = None;
                }
                Err(error) => {
                    self.record_failure(topic, &error);
                    let pause_max = match role {
                        ReaderRole::None => self.stand_in_retry_pause_max(tailed),
                        _ => RETRY_PAUSE_MAX,
                    };
                    let pause_min = match self.repeats_large_reads(tailed, role) {
                        true => pause_max,
                        false => RETRY_PAUSE_MIN,
                    };
                    pause = pause.clamp(pause_min, pause_max);
                    self.pause_before_retry(role, jitter(pause)).await;
                    pause = (pause * 2).min(pause_max);
                }
            }
        }
    }

    /// Pauses after a failed call. The pause of a node that becomes a reader meanwhile ends at once,
    /// since others depend on its reads.
    async fn pause_before_retry(&self, role: ReaderRole, pause: Duration) {
        let end = self.now() + pause;
        while self.now() < end && (role != ReaderRole::None || self.reader_role() == role) {
            sleep(READER_CHECK_INTERVAL.min(end.saturating_sub(self.now()))).await;
        }
    }

    /// Reads the next page of a full read; returns all records if it was the last one.
    async fn read_page(
        &self,
        tailed: TailedTopic,
        full_read: &mut FullRead,
    ) -> Result<Option<Page>, StoreError> {
        let is_first = !full_read.has_started();
        let page = self.store.read_newest(tailed.topic(), full_read.page_token()).await?;
        let all_records = full_read.add_page(page)?;
        if all_records.is_none() {
            telemetry::record_store_call(tailed.topic().name(), "answered");
            if let Some(first) = full_read.pages().filter(|_| is_first) {
                self.apply_preview(tailed, first);
            }
        }
        Ok(all_records)
    }

    /// Returns whether this node reads the rest of a partly known topic itself; otherwise it waits
    /// for peers that know all of it.
    fn should_read_on(&self, tailed: TailedTopic, bootstrap: &mut Option<Bootstrap>) -> bool {
        if self.age(tailed).is_some() {
            return true;
        }
        let now = self.now();
        let tailing = self.tailing(tailed).borrow();
        let link = tailing.link_bytes_per_s();
        let bootstrap = bootstrap.get_or_insert_with(|| Bootstrap::new(now, link, rand::random()));
        bootstrap.should_read_on(now, tailing.lag().peer_ahead_at())
    }

    /// Returns the position up to which peers have sent records; used while this node hasn't read
    /// the store itself.
    fn position_from_peers(&self, tailed: TailedTopic) -> Option<Position> {
        let end = self.upstreams.directory().end();
        (tailed == TailedTopic::Upstreams && end > Position::default()).then_some(end)
    }

    /// Returns the longest pause of a node that doesn't read for others.
    fn stand_in_retry_pause_max(&self, tailed: TailedTopic) -> Duration {
        let pause = tailed.retry_pause(self.upstreams.directory().len());
        STAND_IN_RETRY_PAUSE_MAX.max(pause * self.peers.node_count() as u32)
    }

    /// Returns whether this node is one of many that read all records of the last seconds: a short
    /// first pause of each would multiply what they request together.
    fn repeats_large_reads(&self, tailed: TailedTopic, role: ReaderRole) -> bool {
        let is_follower = role == ReaderRole::None && !self.peers.is_delegate();
        is_follower && tailed == TailedTopic::Upstreams && self.age(tailed).is_some()
    }

    /// Returns the period over which the followers spread the reads that they make because their
    /// state isn't confirmed; `None` on a delegate.
    fn follower_spread(&self, tailed: TailedTopic) -> Option<Duration> {
        let pause = tailed.stand_in_pause(self.upstreams.directory().len());
        (!self.peers.is_delegate()).then(|| pause * self.peers.node_count() as u32)
    }

    /// Returns the longest pause between two reads of the first page of the nodes' records.
    fn nodes_retry_pause_max(&self) -> Duration {
        let nodes = self.peers.node_count();
        let page = read_time(nodes.min(PAGE_RECORDS_MAX) * NODE_RECORD_BYTES);
        RETRY_PAUSE_MAX.max(page * nodes as u32)
    }

    /// Returns the position to read on from: peers may have sent more than this node has read.
    fn resume_position(&self, tailed: TailedTopic, from: Position) -> Position {
        match tailed {
            // Without this, a node that has long relied on peers would read all versions written
            // since its last read. In another era it has to read all operators' orders for failure
            // domains, too.
            TailedTopic::Config if self.config.borrow().end().era == from.era => {
                self.config.borrow().end().max(from)
            }
            TailedTopic::Config => from,
            TailedTopic::Upstreams => self.upstreams.directory().end().max(from),
        }
    }

    /// Returns how long the next read waits for a record. A read that checks whether the store is
    /// back after a failure, or refreshes an unconfirmed state, doesn't wait.
    fn read_wait(&self, tailed: TailedTopic, role: ReaderRole, has_failed: bool) -> Duration {
        let tailing = self.tailing(tailed).borrow();
        let is_unconfirmed = tailing.freshness().needs_confirmation(self.now());
        if has_failed || (is_unconfirmed && role != ReaderRole::Standalone) {
            return Duration::ZERO;
        }
        let drawn = rand::rng().random_range(read_wait(role));
        tailing.freshness().read_wait_of(self.now(), role, drawn)
    }

    /// Completes when a read that waits for `wait` is overdue: this node's state has been
    /// unconfirmed for a while, though peers could confirm it. Never completes for the read of a
    /// lone node or while a response is being received, since a large one may take longer; these
    /// reads end by themselves.
    async fn until_overdue(&self, tailed: TailedTopic, wait: Duration) {
        loop {
            let confirmed_for =
                self.tailing(tailed).borrow().freshness().time_until_doubt(self.now());
            sleep(confirmed_for.max(OVERDUE_CHECK_MIN)).await;
            let is_unconfirmed =
                self.tailing(tailed).borrow().freshness().needs_confirmation(self.now());
            let may_wait = wait.is_zero() || self.reader_role() == ReaderRole::Standalone;
            if is_unconfirmed && !may_wait && !self.store.is_receiving(tailed.topic()) {
                return;
            }
        }
    }

    /// Returns this node's role in reading the store for others.
    fn reader_role(&self) -> ReaderRole {
        match self.now() >= self.started_at + PEER_DISCOVERY_TIME {
            true => self.peers.reader_role(),
            false => ReaderRole::None,
        }
    }

    /// Returns the state of a topic.
    pub fn tailing(&self, tailed: TailedTopic) -> &RefCell<Tailing> {
        &self.tailing[tailed as usize]
    }

    /// Returns the time since this node's state of a topic was last confirmed.
    pub fn age(&self, tailed: TailedTopic) -> Option<Duration> {
        self.tailing(tailed).borrow().freshness().age(self.now())
    }

    /// Logs that this node reads a topic in place of the readers; does nothing if it is a reader.
    fn log_stand_in(&self, tailed: TailedTopic, role: ReaderRole) {
        if role != ReaderRole::None {
            return;
        }
        let lag = self.tailing(tailed).borrow().lag();
        let behind_ms = lag.since.map(|since| (self.now() - since).as_millis());
        let line = LogLine::event("store_stand_in").with("topic", tailed.topic().name());
        let line = line.with_some("age_ms", self.age(tailed).map(|age| age.as_millis()));
        log::info(line.with_some("behind_ms", behind_ms));
    }

    /// Returns this node's mark of a topic.
    fn own_mark(&self, tailed: TailedTopic) -> Position {
        match tailed {
            TailedTopic::Config => self.config.borrow().version().into(),
            TailedTopic::Upstreams => self.upstreams.directory().end(),
        }
    }

    /// Handles the mark and age that a peer reports for a topic; returns whether to request newer
    /// records from it.
    pub fn handle_peer_mark(
        &self,
        tailed: TailedTopic,
        mark: Position,
        age: Option<Duration>,
    ) -> bool {
        let (now, own) = (self.now(), self.own_mark(tailed));
        let should_request =
            self.tailing(tailed).borrow_mut().handle_peer_mark(now, own, mark, age);
        if mark == own
            && let Some(age) = age
        {
            self.record_peer_read(tailed, now.saturating_sub(age));
        }
        should_request
    }

    /// Records that a peer read the store `age` ago and found nothing newer than this node's state.
    fn confirm_from_peer(&self, tailed: TailedTopic, age: Duration) {
        let at = self.now().saturating_sub(age);
        self.tailing(tailed).borrow_mut().record_confirmation(at);
        self.record_peer_read(tailed, at);
    }

    /// Records that the store responded to a peer at `at`. The peer itself reports whether records
    /// may have lapsed.
    fn record_peer_read(&self, tailed: TailedTopic, at: Duration) {
        let is_stale = self.tailing(tailed).borrow().freshness().is_stale(self.now());
        if tailed == TailedTopic::Upstreams && !is_stale {
            self.store_answers.set(true);
            self.upstreams.mark_records_read(at);
        }
    }

    /// Records that this node's state of a topic was the newest at `at`, by a read of its own.
    fn record_proof(&self, tailed: TailedTopic, at: Duration) {
        if tailed == TailedTopic::Upstreams {
            self.upstreams.mark_records_proved(at);
        }
    }

    fn record_response(&self, tailed: TailedTopic) {
        telemetry::record_store_call(tailed.topic().name(), "answered");
        if tailed == TailedTopic::Config {
            return;
        }
        self.upstreams.mark_records_read(self.now());
        if !self.store_answers.replace(true) {
            self.upstreams.record_store_outage(self.now());
            log::info(LogLine::event("store_regained"));
        }
    }

    fn record_failure(&self, topic: Topic, error: &StoreError) {
        telemetry::record_store_call(topic.name(), "failed");
        let line = LogLine::event("store_call_failed").with("topic", topic.name());
        log::warn(line.with("error", error));
        if topic == Topic::Upstreams {
            self.store_answers.set(false);
        }
    }

    /// Removes lapsed upstreams periodically, for as long as the process runs.
    pub async fn expire(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            self.deadline_timer.check_for_suspension();
            let effects = self.upstreams.expire(self.now());
            self.handle_upstream_changes(&effects);
            self.upstreams.set_node_count(self.peers.node_count());
            self.check_order_confirmation();
        }
    }

    /// Logs when operators' orders have been unconfirmed for longer than an evacuation may take,
    /// and when that is over: meanwhile this node may send to a domain that was evacuated.
    fn check_order_confirmation(&self) {
        let Some(age) = self.age(TailedTopic::Config) else {
            return;
        };
        let is_unconfirmed = age > self.evacuation_bound.get();
        if self.has_unconfirmed_orders.replace(is_unconfirmed) == is_unconfirmed {
            return;
        }
        let line = LogLine::event("operators_unheard").with("is_unheard", is_unconfirmed);
        let line = line.with("age_ms", age.as_millis());
        log::warn(line.with("bound_ms", self.evacuation_bound.get().as_millis()));
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Randomizes a pause, so that nodes whose calls failed together don't retry together.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Logs that a page held records without a readable key. Only a read of changes returns them, so
/// each is logged once.
fn report_unreadable(topic: Topic, page: &Page) {
    if page.unreadable > 0 {
        telemetry::record_rejected_record(topic.name());
        let line = LogLine::event("records_unreadable").with("topic", topic.name());
        log::warn(line.with("records", page.unreadable).with("end", page.end));
    }
}
