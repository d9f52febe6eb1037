//! Keeping up with the platform's store: the configuration, the upstreams, the nodes.
//!
//! Each topic is read whole once, then followed by one call at a time that waits for the next
//! record: by one node of each failure domain, whose peers follow it (see [`crate::freshness`]). `operators` and `listing` take in
//! what is
//! read or passed on, `joining` keeps this node's own records.

mod node_records;
mod operator_records;
mod upstream_records;

pub use upstream_records::PeerRecords;

use {
    crate::{
        blame::Blame,
        bootstrap::Bootstrap,
        config::ConfigState,
        deadline_timer::DeadlineTimer,
        freshness::read_wait,
        full_read::FullRead,
        log, measures,
        members::ReaderPart,
        owner::Owner,
        peers::Peers,
        position::Position,
        rollout::shell::Rollouts,
        tailing::Tailing,
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

/// Pause after a failed call, at first; doubled up to [`PAUSE_MAX`].
const RETRY_PAUSE_MIN: Duration = Duration::from_millis(250);
/// Longest pause of a reader after a failed call: the return of a store that was out is known
/// within a second.
const RETRY_PAUSE_MAX: Duration = Duration::from_millis(700);
/// Longest pause of any other node, which asks only because it hears nothing new.
const STAND_IN_RETRY_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause between two questions of all such nodes together.
const STAND_IN_RETRY_PAUSE_PER_NODE: Duration = Duration::from_millis(10);
/// How often a starting node looks whether it has to read on by itself.
const BOOTSTRAP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often a node that doesn't read looks whether it has to.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest pause between two looks whether a read has lasted too long.
const OVERDUE_CHECK_MIN: Duration = Duration::from_millis(20);
/// Time after the start in which a node doesn't know its peers yet, so that it takes nobody's part.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(1);
/// Pause between two reads of the upstreams' records, so that the heartbeats of all of them don't
/// cost a call each. Well below the time after which a leaving upstream may get no new work.
const COALESCE_PAUSE: Duration = Duration::from_millis(600);
/// How often the upstreams whose records lapsed are looked through.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// The loops that follow the store.
pub struct StoreLoops {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Wakes those who wait for its points.
    pub deadline_timer: Rc<DeadlineTimer>,
    /// The platform's formats.
    pub wire: Rc<dyn Wire>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// The configuration in force.
    pub config: Rc<RefCell<ConfigState>>,
    /// The upstreams.
    pub upstreams: Rc<Upstreams>,
    /// The owner of stages, who wants to know of changes among upstreams.
    pub owner: Rc<Owner>,
    /// What is to be known of upstreams that ended.
    pub crash_attribution: Rc<Blame>,
    /// Versions that operators order to be rolled out.
    pub rollouts: Rc<Rollouts>,
    /// The other nodes.
    pub peers: Rc<Peers>,
    /// How well the configuration and the upstreams' records are known, in the order of [`TailedTopic`].
    pub tailing: [RefCell<Tailing>; 2],
    /// When the node started.
    pub started_at: Duration,
    /// Whether the last call on the upstreams' records was answered.
    pub store_answers: Cell<bool>,
    /// Longest time for which operators' words may go unconfirmed: the bound of an evacuation.
    pub evacuation_bound: Cell<Duration>,
    /// Whether that time was over at the last look.
    pub has_unconfirmed_orders: Cell<bool>,
    /// Era of the store in which this node's own records were written last, once they were.
    pub registered_era: Cell<Option<u64>>,
}

/// The topics that nodes pass on to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TailedTopic {
    /// The configuration; it is marked by its version.
    Config,
    /// The upstreams' records, marked by the number up to which they are known.
    Upstreams,
}

impl TailedTopic {
    fn topic(self) -> Topic {
        match self {
            Self::Config => Topic::Config,
            Self::Upstreams => Topic::Upstreams,
        }
    }
}

impl StoreLoops {
    /// Follows the configuration.
    pub async fn tail_config(self: Rc<Self>) {
        self.tail(TailedTopic::Config, Duration::ZERO, |page, is_whole| {
            self.apply_operator_page(page, is_whole);
        })
        .await;
    }

    /// Follows the upstreams' records.
    pub async fn tail_upstreams(self: Rc<Self>) {
        self.tail(TailedTopic::Upstreams, COALESCE_PAUSE, |page, is_whole| {
            self.apply_upstream_page(page, is_whole);
        })
        .await;
    }

    /// Reads a topic whole, then follows it whenever this node has to.
    async fn tail(self: &Rc<Self>, what: TailedTopic, gather: Duration, take: impl Fn(Page, bool)) {
        let topic = what.topic();
        let mut from: Option<Position> = None;
        let mut reading = FullRead::default();
        let mut starting = None;
        let mut pause = RETRY_PAUSE_MIN;
        let mut has_failed = false;
        let mut has_read = false;
        loop {
            let part = self.reader_part();
            if !self.following(what).borrow().should_read(self.now(), part) {
                (pause, has_failed) = (RETRY_PAUSE_MIN, false);
                reading = FullRead::default();
                sleep(READER_CHECK_INTERVAL).await;
                continue;
            }
            // What peers have told is known up to a position, too. Once the store has answered, its answers say where to read on.
            let told = self.position_from_peers(what).filter(|_| !has_read);
            if (reading.has_started() || told.is_some())
                && !self.should_read_on(what, &mut starting)
            {
                sleep(BOOTSTRAP_CHECK_INTERVAL).await;
                continue;
            }
            // What was read in an earlier era of the store says nothing of this one: it is read anew.
            from = from.map(|from| self.resume_position(what, from)).or(told);
            from = from.filter(|from| from.era == self.store.era());
            if !reading.has_started() {
                self.log_stand_in(what, part);
            }
            let answer = match from {
                None => match self.read_page(what, &mut reading).await {
                    Ok(None) => continue,
                    Ok(Some(page)) => Ok(page),
                    Err(error) => Err(error),
                },
                Some(from) => {
                    let wait = self.read_wait(what, part, has_failed);
                    tokio::select! {
                        answer = self.store.read(topic, from.offset, wait) => answer,
                        () = self.until_overdue(what, wait) => continue,
                    }
                }
            };
            has_failed = answer.is_err();
            has_read |= matches!(answer, Ok(_) | Err(StoreError::Expired));
            match answer {
                Ok(page) => {
                    pause = RETRY_PAUSE_MIN;
                    let is_whole = from.is_none();
                    let has_records = !page.records.is_empty();
                    // An end below what was read means that the store has lost its history; in a later era, what follows the
                    // number that was read up to isn't what followed it then.
                    let end = page.end_position();
                    let went_back = from.is_some_and(|from| end < from || end.era != from.era);
                    from = (!went_back).then_some(end);
                    self.record_answer(what);
                    report_unreadable(topic, &page);
                    let read_at = self.now().saturating_sub(page.took);
                    self.handle_era(page.era);
                    if !went_back {
                        take(page, is_whole);
                        self.following(what).borrow_mut().record_read(read_at, part);
                    }
                    if has_records && !gather.is_zero() {
                        sleep(gather).await;
                    }
                }
                Err(StoreError::Expired) => {
                    log::warn(LogLine::event("store_expired").with("topic", topic.name()));
                    from = None;
                }
                Err(error) => {
                    self.record_failure(topic, &error);
                    sleep(jitter(pause)).await;
                    let is_reader = part != ReaderPart::None;
                    let pause_max =
                        if is_reader { RETRY_PAUSE_MAX } else { self.stand_in_retry_pause_max() };
                    pause = (pause * 2).min(pause_max);
                }
            }
        }
    }

    /// Reads the next page of a topic that isn't known; returns all records if it was the last.
    async fn read_page(
        &self,
        what: TailedTopic,
        reading: &mut FullRead,
    ) -> Result<Option<Page>, StoreError> {
        let is_first = !reading.has_started();
        let page = self.store.newest(what.topic(), reading.page_token()).await?;
        let whole = reading.add_page(page)?;
        if whole.is_none() {
            measures::store_called(what.topic().name(), "answered");
            if let Some(first) = reading.pages().filter(|_| is_first) {
                self.apply_preview(what, first);
            }
        }
        Ok(whole)
    }

    /// Tells whether this node reads on in a topic of which it knows something, or waits for peers that know all of it.
    fn should_read_on(&self, what: TailedTopic, starting: &mut Option<Bootstrap>) -> bool {
        if self.age(what).is_some() {
            return true;
        }
        let now = self.now();
        let following = self.following(what).borrow();
        let link = following.link_bytes_per_s();
        let starting = starting.get_or_insert_with(|| Bootstrap::new(now, link, rand::random()));
        starting.should_read_on(now, following.lag().peer_ahead_at())
    }

    /// Returns the position to read on from that peers have told, if this node has never read by itself.
    fn position_from_peers(&self, what: TailedTopic) -> Option<Position> {
        let end = self.upstreams.directory().end();
        (what == TailedTopic::Upstreams && end > Position::default()).then_some(end)
    }

    /// Returns the longest pause of a node that asks the store only because it hears nothing new. All that do so together ask as
    /// often in a large fleet as in a small one.
    fn stand_in_retry_pause_max(&self) -> Duration {
        STAND_IN_RETRY_PAUSE_MAX.max(STAND_IN_RETRY_PAUSE_PER_NODE * self.peers.nodes() as u32)
    }

    /// Returns the position to read on from: peers may have told more than this node has read.
    fn resume_position(&self, what: TailedTopic, from: Position) -> Position {
        match what {
            // Without it a node that has long followed peers would read all versions since.
            // Not in another era, of which this node has to read the operators' words on failure domains, too.
            TailedTopic::Config if self.config.borrow().end().era == from.era => {
                self.config.borrow().end().max(from)
            }
            TailedTopic::Config => from,
            TailedTopic::Upstreams => self.upstreams.directory().end().max(from),
        }
    }

    /// Returns how long the next read waits for a record. After a failure the question is whether
    /// the store is back, and after silence what it holds; these have no time.
    fn read_wait(&self, what: TailedTopic, part: ReaderPart, has_failed: bool) -> Duration {
        let following = self.following(what).borrow();
        let is_in_doubt = following.freshness().needs_confirmation(self.now());
        if has_failed || (is_in_doubt && part != ReaderPart::Alone) {
            return Duration::ZERO;
        }
        let drawn = rand::rng().random_range(read_wait(part));
        following.freshness().read_wait_of(self.now(), part, drawn)
    }

    /// Waits until a read that was to wait for `wait` has lasted too long: nothing has confirmed
    /// for a while what is known, though others could. The read of a lone node ends by itself, and
    /// so does one whose answer is coming: a large one may take longer than that.
    async fn until_overdue(&self, what: TailedTopic, wait: Duration) {
        loop {
            let sure_for = self.following(what).borrow().freshness().time_until_doubt(self.now());
            sleep(sure_for.max(OVERDUE_CHECK_MIN)).await;
            let is_in_doubt =
                self.following(what).borrow().freshness().needs_confirmation(self.now());
            let has_time = wait.is_zero() || self.reader_part() == ReaderPart::Alone;
            if is_in_doubt && !has_time && !self.store.receives(what.topic()) {
                return;
            }
        }
    }

    /// Returns this node's part in reading the store for others.
    fn reader_part(&self) -> ReaderPart {
        match self.now() >= self.started_at + PEER_DISCOVERY_TIME {
            true => self.peers.reader_part(),
            false => ReaderPart::None,
        }
    }

    /// Returns how well a topic is known.
    pub fn following(&self, what: TailedTopic) -> &RefCell<Tailing> {
        &self.tailing[what as usize]
    }

    /// Returns the time since what is known was the newest for sure.
    pub fn age(&self, what: TailedTopic) -> Option<Duration> {
        self.following(what).borrow().freshness().age(self.now())
    }

    /// Says that this node reads a topic, if it does so in place of the readers.
    fn log_stand_in(&self, what: TailedTopic, part: ReaderPart) {
        if part != ReaderPart::None {
            return;
        }
        let behind = self.following(what).borrow().lag();
        let behind_ms = behind.since.map(|since| (self.now() - since).as_millis());
        let line = LogLine::event("store_stand_in").with("topic", what.topic().name());
        let line = line.with_some("age_ms", self.age(what).map(|age| age.as_millis()));
        log::info(line.with_some("behind_ms", behind_ms));
    }

    /// Returns the mark of what is known.
    fn own_mark(&self, what: TailedTopic) -> Position {
        match what {
            TailedTopic::Config => self.config.borrow().version().into(),
            TailedTopic::Upstreams => self.upstreams.directory().end(),
        }
    }

    /// Takes in what a peer says of its knowledge; tells whether it is to be asked for it.
    pub fn handle_peer_mark(
        &self,
        what: TailedTopic,
        mark: Position,
        age: Option<Duration>,
    ) -> bool {
        let (now, own) = (self.now(), self.own_mark(what));
        let shall_ask = self.following(what).borrow_mut().handle_peer_mark(now, own, mark, age);
        if mark == own
            && let Some(age) = age
        {
            self.record_peer_read(what, now.saturating_sub(age));
        }
        shall_ask
    }

    /// Takes in that a peer read the store `age` ago, which then had nothing newer than is known here.
    fn confirm_from_peer(&self, what: TailedTopic, age: Duration) {
        let at = self.now().saturating_sub(age);
        self.following(what).borrow_mut().record_confirmation(at);
        self.record_peer_read(what, at);
    }

    /// Takes in that a peer was answered by the store at some time. Whether records may have lapsed, it says itself.
    fn record_peer_read(&self, what: TailedTopic, at: Duration) {
        let is_stale = self.following(what).borrow().freshness().is_stale(self.now());
        if what == TailedTopic::Upstreams && !is_stale {
            self.store_answers.set(true);
            self.upstreams.records_read(at);
        }
    }

    fn record_answer(&self, what: TailedTopic) {
        measures::store_called(what.topic().name(), "answered");
        if what == TailedTopic::Config {
            return;
        }
        self.upstreams.records_read(self.now());
        if !self.store_answers.replace(true) {
            self.upstreams.store_was_out(self.now());
            log::info(LogLine::event("store_regained"));
        }
    }

    fn record_failure(&self, topic: Topic, error: &StoreError) {
        measures::store_called(topic.name(), "failed");
        let line = LogLine::event("store_call_failed").with("topic", topic.name());
        log::warn(line.with("error", error));
        if topic == Topic::Upstreams {
            self.store_answers.set(false);
        }
    }

    /// Lets lapsed upstreams go, for as long as the process runs.
    pub async fn expire(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            self.deadline_timer.check_for_suspension();
            let effects = self.upstreams.expire(self.now());
            self.upstreams_changed(&effects);
            self.upstreams.set_nodes(self.peers.nodes());
            self.check_order_confirmation();
        }
    }

    /// Says that operators' words have gone unconfirmed for longer than an evacuation may take, and when that is over: until
    /// then this node may send into a domain that was evacuated.
    fn check_order_confirmation(&self) {
        let Some(age) = self.age(TailedTopic::Config) else {
            return;
        };
        let is_unheard = age > self.evacuation_bound.get();
        if self.has_unconfirmed_orders.replace(is_unheard) == is_unheard {
            return;
        }
        let line = LogLine::event("operators_unheard").with("is_unheard", is_unheard);
        let line = line.with("age_ms", age.as_millis());
        log::warn(line.with("bound_ms", self.evacuation_bound.get().as_millis()));
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Spreads a pause, so that nodes which failed together don't ask again together.
fn jitter(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Says that a page held records without a readable key. Only a read of changes brings them, so each is said once.
fn report_unreadable(topic: Topic, page: &Page) {
    if page.unreadable > 0 {
        measures::record_refused(topic.name());
        let line = LogLine::event("records_unreadable").with("topic", topic.name());
        log::warn(line.with("records", page.unreadable).with("end", page.end));
    }
}
