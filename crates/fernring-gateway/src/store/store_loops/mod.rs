//! Keeping up with the platform's store: the configuration, the upstreams, the nodes.
//!
//! Each topic is read whole once, then followed by one call at a time that waits for the next
//! record: by one node of each failure domain, whose peers follow it (see [`crate::freshness`]). `operators` and `listing` take in
//! what is
//! read or passed on, `joining` keeps this node's own records.

mod joining;
mod listing;
mod operators;

pub use listing::PeerRecords;

use {
    crate::{
        alarm::Alarm,
        blame::Blame,
        config::ConfigState,
        following::Following,
        freshness::read_wait,
        log, telemetry,
        members::ReaderPart,
        owner::Owner,
        peers::Peers,
        position::Position,
        rollout::shell::Rollouts,
        starting::Starting,
        upstreams::Upstreams,
        whole::WholeReading,
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
const PAUSE_FIRST: Duration = Duration::from_millis(250);
/// Longest pause of a reader after a failed call: the return of a store that was out is known
/// within a second.
const PAUSE_MAX: Duration = Duration::from_millis(700);
/// Longest pause of any other node, which asks only because it hears nothing new.
const STAND_IN_PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause between two questions of all such nodes together.
const STAND_IN_PAUSE_PER_NODE: Duration = Duration::from_millis(10);
/// How often a starting node looks whether it has to read on by itself.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How often a node that doesn't read looks whether it has to.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest pause between two looks whether a read has lasted too long.
const SILENCE_CHECK_MIN: Duration = Duration::from_millis(20);
/// Time after the start in which a node doesn't know its peers yet, so that it takes nobody's part.
const START_TIME: Duration = Duration::from_secs(1);
/// Pause between two reads of the upstreams' records, so that the heartbeats of all of them don't
/// cost a call each. Well below the time after which a leaving upstream may get no new work.
const GATHER_PAUSE: Duration = Duration::from_millis(600);
/// How often the upstreams whose records lapsed are looked through.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// The loops that follow the store.
pub struct StoreLoops {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Wakes those who wait for its points.
    pub alarm: Rc<Alarm>,
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
    pub blame: Rc<Blame>,
    /// Versions that operators order to be rolled out.
    pub rollouts: Rc<Rollouts>,
    /// The other nodes.
    pub peers: Rc<Peers>,
    /// How well the configuration and the upstreams' records are known, in the order of [`Followed`].
    pub following: [RefCell<Following>; 2],
    /// When the node started.
    pub started_at: Duration,
    /// Whether the last call on the upstreams' records was answered.
    pub store_answers: Cell<bool>,
    /// Longest time for which operators' words may go unconfirmed: the bound of an evacuation.
    pub word_bound: Cell<Duration>,
    /// Whether that time was over at the last look.
    pub is_unheard: Cell<bool>,
    /// Era of the store in which this node's own records were written last, once they were.
    pub joined_in: Cell<Option<u64>>,
}

/// The topics that nodes pass on to each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Followed {
    /// The configuration; it is marked by its version.
    Config,
    /// The upstreams' records, marked by the number up to which they are known.
    Upstreams,
}

impl Followed {
    fn topic(self) -> Topic {
        match self {
            Self::Config => Topic::Config,
            Self::Upstreams => Topic::Upstreams,
        }
    }
}

impl StoreLoops {
    /// Follows the configuration.
    pub async fn follow_config(self: Rc<Self>) {
        self.follow(Followed::Config, Duration::ZERO, |page, is_whole| {
            self.take_operator_records(page, is_whole);
        })
        .await;
    }

    /// Follows the upstreams' records.
    pub async fn follow_upstreams(self: Rc<Self>) {
        self.follow(Followed::Upstreams, GATHER_PAUSE, |page, is_whole| {
            self.take_upstreams(page, is_whole);
        })
        .await;
    }

    /// Reads a topic whole, then follows it whenever this node has to.
    async fn follow(self: &Rc<Self>, what: Followed, gather: Duration, take: impl Fn(Page, bool)) {
        let topic = what.topic();
        let mut from: Option<Position> = None;
        let mut reading = WholeReading::default();
        let mut starting = None;
        let mut pause = PAUSE_FIRST;
        let mut has_failed = false;
        let mut has_read = false;
        loop {
            let part = self.part();
            if !self.following(what).borrow().shall_read(self.now(), part) {
                (pause, has_failed) = (PAUSE_FIRST, false);
                reading = WholeReading::default();
                sleep(WATCH_INTERVAL).await;
                continue;
            }
            // What peers have told is known up to a position, too. Once the store has answered, its answers say where to read on.
            let told = self.known_from_peers(what).filter(|_| !has_read);
            if (reading.has_begun() || told.is_some()) && !self.shall_read_on(what, &mut starting) {
                sleep(START_CHECK_INTERVAL).await;
                continue;
            }
            // What was read in an earlier era of the store says nothing of this one: it is read anew.
            from = from.map(|from| self.known_to(what, from)).or(told);
            from = from.filter(|from| from.era == self.store.era());
            if !reading.has_begun() {
                self.reads(what, part);
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
                        () = self.silence(what, wait) => continue,
                    }
                }
            };
            has_failed = answer.is_err();
            has_read |= matches!(answer, Ok(_) | Err(StoreError::Expired));
            match answer {
                Ok(page) => {
                    pause = PAUSE_FIRST;
                    let is_whole = from.is_none();
                    let has_records = !page.records.is_empty();
                    // An end below what was read means that the store has lost its history; in a later era, what follows the
                    // number that was read up to isn't what followed it then.
                    let end = page.end_position();
                    let went_back = from.is_some_and(|from| end < from || end.era != from.era);
                    from = (!went_back).then_some(end);
                    self.answered(what);
                    note_unreadable(topic, &page);
                    let read_at = self.now().saturating_sub(page.took);
                    self.hear_era(page.era);
                    if !went_back {
                        take(page, is_whole);
                        self.following(what).borrow_mut().was_read(read_at, part);
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
                    self.did_not_answer(topic, &error);
                    sleep(spread(pause)).await;
                    let is_reader = part != ReaderPart::None;
                    let pause_max = if is_reader { PAUSE_MAX } else { self.stand_in_pause_max() };
                    pause = (pause * 2).min(pause_max);
                }
            }
        }
    }

    /// Reads the next page of a topic that isn't known; returns all records if it was the last.
    async fn read_page(
        &self,
        what: Followed,
        reading: &mut WholeReading,
    ) -> Result<Option<Page>, StoreError> {
        let is_first = !reading.has_begun();
        let page = self.store.read_newest(what.topic(), reading.next()).await?;
        let whole = reading.take(page)?;
        if whole.is_none() {
            telemetry::record_store_call(what.topic().name(), "answered");
            if let Some(first) = reading.pages().filter(|_| is_first) {
                self.take_preview(what, first);
            }
        }
        Ok(whole)
    }

    /// Tells whether this node reads on in a topic of which it knows something, or waits for peers that know all of it.
    fn shall_read_on(&self, what: Followed, starting: &mut Option<Starting>) -> bool {
        if self.age(what).is_some() {
            return true;
        }
        let now = self.now();
        let following = self.following(what).borrow();
        let link = following.link_bytes_per_s();
        let starting = starting.get_or_insert_with(|| Starting::new(now, link, rand::random()));
        starting.shall_read_on(now, following.behind().shown_at())
    }

    /// Returns the position to read on from that peers have told, if this node has never read by itself.
    fn known_from_peers(&self, what: Followed) -> Option<Position> {
        let end = self.upstreams.directory().end();
        (what == Followed::Upstreams && end > Position::default()).then_some(end)
    }

    /// Returns the longest pause of a node that asks the store only because it hears nothing new. All that do so together ask as
    /// often in a large fleet as in a small one.
    fn stand_in_pause_max(&self) -> Duration {
        STAND_IN_PAUSE_MAX.max(STAND_IN_PAUSE_PER_NODE * self.peers.nodes() as u32)
    }

    /// Returns the position to read on from: peers may have told more than this node has read.
    fn known_to(&self, what: Followed, from: Position) -> Position {
        match what {
            // Without it a node that has long followed peers would read all versions since.
            // Not in another era, of which this node has to read the operators' words on failure domains, too.
            Followed::Config if self.config.borrow().end().era == from.era => {
                self.config.borrow().end().max(from)
            }
            Followed::Config => from,
            Followed::Upstreams => self.upstreams.directory().end().max(from),
        }
    }

    /// Returns how long the next read waits for a record. After a failure the question is whether
    /// the store is back, and after silence what it holds; these have no time.
    fn read_wait(&self, what: Followed, part: ReaderPart, has_failed: bool) -> Duration {
        let following = self.following(what).borrow();
        let is_in_doubt = following.freshness().is_in_doubt(self.now());
        if has_failed || (is_in_doubt && part != ReaderPart::Alone) {
            return Duration::ZERO;
        }
        let drawn = rand::rng().random_range(read_wait(part));
        following.freshness().wait_of_read(self.now(), part, drawn)
    }

    /// Waits until a read that was to wait for `wait` has lasted too long: nothing has confirmed
    /// for a while what is known, though others could. The read of a lone node ends by itself, and
    /// so does one whose answer is coming: a large one may take longer than that.
    async fn silence(&self, what: Followed, wait: Duration) {
        loop {
            let sure_for = self.following(what).borrow().freshness().sure_for(self.now());
            sleep(sure_for.max(SILENCE_CHECK_MIN)).await;
            let is_in_doubt = self.following(what).borrow().freshness().is_in_doubt(self.now());
            let has_time = wait.is_zero() || self.part() == ReaderPart::Alone;
            if is_in_doubt && !has_time && !self.store.is_receiving(what.topic()) {
                return;
            }
        }
    }

    /// Returns this node's part in reading the store for others.
    fn part(&self) -> ReaderPart {
        match self.now() >= self.started_at + START_TIME {
            true => self.peers.reader_part(),
            false => ReaderPart::None,
        }
    }

    /// Returns how well a topic is known.
    pub fn following(&self, what: Followed) -> &RefCell<Following> {
        &self.following[what as usize]
    }

    /// Returns the time since what is known was the newest for sure.
    pub fn age(&self, what: Followed) -> Option<Duration> {
        self.following(what).borrow().freshness().age(self.now())
    }

    /// Says that this node reads a topic, if it does so in place of the readers.
    fn reads(&self, what: Followed, part: ReaderPart) {
        if part != ReaderPart::None {
            return;
        }
        let behind = self.following(what).borrow().behind();
        let behind_ms = behind.since.map(|since| (self.now() - since).as_millis());
        let line = LogLine::event("store_stand_in").with("topic", what.topic().name());
        let line = line.with_some("age_ms", self.age(what).map(|age| age.as_millis()));
        log::info(line.with_some("behind_ms", behind_ms));
    }

    /// Returns the mark of what is known.
    fn mark(&self, what: Followed) -> Position {
        match what {
            Followed::Config => self.config.borrow().version().into(),
            Followed::Upstreams => self.upstreams.directory().end(),
        }
    }

    /// Takes in what a peer says of its knowledge; tells whether it is to be asked for it.
    pub fn heard(&self, what: Followed, mark: Position, age: Option<Duration>) -> bool {
        let (now, own) = (self.now(), self.mark(what));
        let shall_ask = self.following(what).borrow_mut().heard(now, own, mark, age);
        if mark == own
            && let Some(age) = age
        {
            self.peer_hears_store(what, now.saturating_sub(age));
        }
        shall_ask
    }

    /// Takes in that a peer read the store `age` ago, which then had nothing newer than is known here.
    fn known_from_peer(&self, what: Followed, age: Duration) {
        let at = self.now().saturating_sub(age);
        self.following(what).borrow_mut().confirmed(at);
        self.peer_hears_store(what, at);
    }

    /// Takes in that a peer was answered by the store at some time. Whether records may have lapsed, it says itself.
    fn peer_hears_store(&self, what: Followed, at: Duration) {
        let is_stale = self.following(what).borrow().freshness().is_stale(self.now());
        if what == Followed::Upstreams && !is_stale {
            self.store_answers.set(true);
            self.upstreams.records_read(at);
        }
    }

    fn answered(&self, what: Followed) {
        telemetry::record_store_call(what.topic().name(), "answered");
        if what == Followed::Config {
            return;
        }
        self.upstreams.records_read(self.now());
        if !self.store_answers.replace(true) {
            self.upstreams.store_was_out(self.now());
            log::info(LogLine::event("store_regained"));
        }
    }

    fn did_not_answer(&self, topic: Topic, error: &StoreError) {
        telemetry::record_store_call(topic.name(), "failed");
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
            self.alarm.look();
            let effects = self.upstreams.expire(self.now());
            self.upstreams_changed(&effects);
            self.upstreams.set_nodes(self.peers.nodes());
            self.note_unheard();
        }
    }

    /// Says that operators' words have gone unconfirmed for longer than an evacuation may take, and when that is over: until
    /// then this node may send into a domain that was evacuated.
    fn note_unheard(&self) {
        let Some(age) = self.age(Followed::Config) else {
            return;
        };
        let is_unheard = age > self.word_bound.get();
        if self.is_unheard.replace(is_unheard) == is_unheard {
            return;
        }
        let line = LogLine::event("operators_unheard").with("is_unheard", is_unheard);
        let line = line.with("age_ms", age.as_millis());
        log::warn(line.with("bound_ms", self.word_bound.get().as_millis()));
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Spreads a pause, so that nodes which failed together don't ask again together.
fn spread(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.5))
}

/// Says that a page held records without a readable key. Only a read of changes brings them, so each is said once.
fn note_unreadable(topic: Topic, page: &Page) {
    if page.unreadable > 0 {
        telemetry::record_rejected_record(topic.name());
        let line = LogLine::event("records_unreadable").with("topic", topic.name());
        log::warn(line.with("records", page.unreadable).with("end", page.end));
    }
}
