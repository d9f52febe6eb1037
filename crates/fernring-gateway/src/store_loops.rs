//! Keeping up with the platform's store: the configuration, the upstreams, the nodes.
//!
//! Each topic is read whole once, then followed by one call at a time that waits for the next
//! record: by one node of each failure domain, whose peers follow it (see [`crate::freshness`]).

use {
    crate::{
        alarm::Alarm,
        blame::Blame,
        config::ConfigState,
        directory::{Change, Effect, Entry, Upstream},
        evacuations::Word,
        following::Following,
        freshness::read_wait,
        log, measures,
        members::ReaderPart,
        owner::Owner,
        peers::Peers,
        position::Position,
        upstreams::Upstreams,
        wire::{Evacuation, KeyedRecord, Malformed, Page, Store, StoreError, Topic, Wire},
    },
    bytes::Bytes,
    fernring_core::{clock::Clock, text::LogLine},
    fernring_protocol::packing::{pack, unpack},
    rand::RngExt,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
    tokio::{task::spawn_local, time::sleep},
};

/// Pause after a failed call, at first; doubled up to [`PAUSE_MAX`].
const PAUSE_FIRST: Duration = Duration::from_millis(250);
/// Longest pause of a reader after a failed call: the return of a store that was out is known
/// within a second.
const PAUSE_MAX: Duration = Duration::from_millis(700);
/// Longest pause of any other node, which asks only because it hears nothing new.
const STAND_IN_PAUSE_MAX: Duration = Duration::from_secs(2);
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
/// Over how much time nodes spread what they write again to a store that came back from a copy: hundreds of them find out
/// within a second.
const WRITE_AGAIN_SPREAD: Duration = Duration::from_secs(1);
/// Tries to remove this node's own record when it shuts down.
const REMOVE_TRIES: u32 = 2;

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
    /// The other nodes.
    pub peers: Rc<Peers>,
    /// How well the configuration and the upstreams' records are known, in the order of [`Followed`].
    pub following: [RefCell<Following>; 2],
    /// When the node started.
    pub started_at: Duration,
    /// Whether the last call on the upstreams' records was answered.
    pub store_answers: Cell<bool>,
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

/// Records of upstreams that a peer passes on.
#[derive(Debug)]
pub struct PeerRecords {
    /// Position up to which they are known.
    pub end: Position,
    /// The records.
    pub changes: Vec<Change>,
    /// Whether these are all; if not, those since the number that was asked for.
    pub is_whole: bool,
    /// Time for which removals may still be lapses.
    pub lapses_for: Duration,
    /// Time since they were the newest for sure.
    pub age: Option<Duration>,
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
        let mut pause = PAUSE_FIRST;
        let mut has_failed = false;
        loop {
            let part = self.part();
            if !self.following(what).borrow().shall_read(self.now(), part) {
                (pause, has_failed) = (PAUSE_FIRST, false);
                sleep(WATCH_INTERVAL).await;
                continue;
            }
            self.reads(what, part);
            // What was read in an earlier era of the store says nothing of this one: it is read anew.
            from = from.map(|from| self.known_to(what, from));
            from = from.filter(|from| from.era == self.store.era());
            let answer = match from {
                None => self.store.newest(topic).await,
                Some(from) => {
                    let wait = self.read_wait(what, part, has_failed);
                    tokio::select! {
                        answer = self.store.read(topic, from.offset, wait) => answer,
                        () = self.silence(what, wait) => continue,
                    }
                }
            };
            has_failed = answer.is_err();
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
                    sleep(pause).await;
                    let is_reader = part != ReaderPart::None;
                    let pause_max = if is_reader { PAUSE_MAX } else { STAND_IN_PAUSE_MAX };
                    pause = (pause * 2).min(pause_max);
                }
            }
        }
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
            if is_in_doubt && !has_time && !self.store.receives(what.topic()) {
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
        measures::store_called(what.topic().name(), "answered");
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
        measures::store_called(topic.name(), "failed");
        let line = LogLine::event("store_call_failed").with("topic", topic.name());
        log::warn(line.with("error", error));
        if topic == Topic::Upstreams {
            self.store_answers.set(false);
        }
    }

    /// Takes in the operators' records. Words on failure domains come first: a configuration takes time to decode.
    fn take_operator_records(&self, page: Page, is_whole: bool) {
        let mut configs = Vec::new();
        let mut words = Vec::new();
        for record in &page.records {
            match self.wire.decode_evacuation(record) {
                None => configs.push(record),
                Some(Ok(word)) => words.push((word, page.position(record))),
                Some(Err(error)) => self.evacuation_refused(record, &error, &mut words),
            }
        }
        if is_whole {
            self.take_all_evacuations(words, page.end_position());
        } else {
            for (word, at) in words {
                self.take_evacuation(word, at, "store");
            }
        }
        for record in configs {
            if let Some(value) = &record.value {
                let end = page.position(record).next();
                self.take_config(value, pack(value), end, "store");
            }
        }
    }

    /// Says that an operator's word can't be read. What was in force before it stays so, also if all words are read anew.
    fn evacuation_refused(
        &self,
        record: &KeyedRecord,
        error: &Malformed,
        words: &mut Vec<(Evacuation, Position)>,
    ) {
        measures::record_refused(Topic::Config.name());
        let line = LogLine::event("evacuation_refused").with("key", &record.key);
        log::warn(line.with("record", record.offset).with("error", error));
        let evacuations = self.upstreams.evacuations().borrow();
        let named = |(domain, _): &(&Arc<str>, _)| record.key.ends_with(&***domain);
        let known = evacuations.words().find(named).filter(|(_, word)| word.is_in_force);
        if let Some((domain, word)) = known {
            let kept = Evacuation { failure_domain: domain.clone(), is_in_force: true };
            words.push((kept, word.at));
        }
    }

    fn take_all_evacuations(&self, words: Vec<(Evacuation, Position)>, end: Position) {
        let present = words.into_iter().filter(|(word, _)| word.is_in_force);
        let present = present.map(|(word, at)| (word.failure_domain, at)).collect();
        let changed = self.upstreams.evacuations().borrow_mut().replace(present, end);
        for failure_domain in changed {
            self.evacuation_changed(&failure_domain, "store", end);
        }
    }

    /// Takes in an operator's word on a failure domain, from anywhere.
    pub fn take_evacuation(&self, word: Evacuation, at: Position, source: &str) {
        let Evacuation { failure_domain, is_in_force } = word;
        let mut evacuations = self.upstreams.evacuations().borrow_mut();
        let has_changed = evacuations.learn(failure_domain.clone(), Word { at, is_in_force });
        drop(evacuations);
        if has_changed {
            self.evacuation_changed(&failure_domain, source, at);
        }
    }

    fn evacuation_changed(&self, failure_domain: &Arc<str>, source: &str, at: Position) {
        let is_in_force = self.upstreams.evacuations().borrow().covers(failure_domain);
        let directory = self.upstreams.directory();
        let there = |upstream: &&Upstream| upstream.record.failure_domain == *failure_domain;
        let upstreams = directory.iter().map(|(_, upstream)| upstream).filter(there).count();
        drop(directory);
        let line = LogLine::event("evacuation_taken").with("failure_domain", failure_domain);
        let line = line.with("is_in_force", is_in_force).with("source", source).with("record", at);
        log::info(line.with("upstreams", upstreams));
        self.owner.pump_all();
    }

    /// Takes in a configuration from anywhere: its record, the same packed, and the store's number after it.
    fn take_config(&self, record: &[u8], packed: Bytes, end: Position, source: &str) {
        let config = match self.wire.decode_config(record) {
            Ok(config) => config,
            Err(error) => return config_refused(source, &error),
        };
        let (from, to) = (self.config.borrow().version(), config.version);
        let packed_bytes = packed.len();
        if !self.config.borrow_mut().offer(config, packed, end) {
            return;
        }
        let mut following = self.following(Followed::Config).borrow_mut();
        let behind = following.behind();
        following.caught_up(packed_bytes);
        let line = LogLine::event("config_taken").with("from", from).with("to", to);
        let line = line.with("source", source).with("bytes", record.len());
        let line = line.with("packed_bytes", packed_bytes);
        let behind_ms = behind.since.map(|since| (self.now() - since).as_millis());
        let line = line.with_some("behind_ms", behind_ms).with("asked", behind.asked);
        log::info(line.with("put_off", behind.put_off));
    }

    fn take_upstreams(&self, page: Page, is_whole: bool) {
        let decoded = page.records.iter().map(|record| self.decode(record, page.position(record)));
        let changes: Vec<_> = decoded.collect();
        self.apply_upstreams(changes, page.end_position(), is_whole);
    }

    /// Decodes a record; one that can't be read takes the upstream that its key named out of use.
    fn decode(&self, record: &KeyedRecord, at: Position) -> Change {
        let instance = record.key.clone();
        let error = match self.wire.decode_upstream(record) {
            Ok(entry) => {
                let change = Change { instance, at, entry };
                note_cold_time(&change);
                return change;
            }
            Err(error) => error,
        };
        // Whole readings bring it again and again; it is said once.
        if !self.upstreams.directory().is_refused(&record.key, at) {
            measures::record_refused(Topic::Upstreams.name());
            let line = LogLine::event("upstream_refused").with("instance", &record.key);
            log::warn(line.with("record", at).with("error", error));
        }
        Change { instance, at, entry: Entry::Unusable }
    }

    /// Takes in a packed configuration that a peer passes on, with the store's number after it. It confirms nothing:
    /// if it can't be read, what is known here may well be out of date.
    pub fn take_peer_config(&self, packed: Bytes, end: Position) {
        match unpack(&packed) {
            Ok(record) => self.take_config(&record, packed, end, "peer"),
            Err(error) => config_refused("peer", &error),
        }
    }

    /// Takes in records of upstreams that a peer passes on.
    pub fn take_peer_upstreams(&self, records: PeerRecords) {
        if records.end <= self.upstreams.directory().end() {
            return;
        }
        self.upstreams.lapses_known(self.now(), records.lapses_for);
        self.apply_upstreams(records.changes, records.end, records.is_whole);
        if let Some(age) = records.age {
            self.known_from_peer(Followed::Upstreams, age);
        }
    }

    /// Puts changes of upstreams in force, or all records, which reach up to `end`.
    fn apply_upstreams(&self, changes: Vec<Change>, end: Position, is_whole: bool) {
        let (now, known) = (self.now(), self.upstreams.directory().end());
        let effects = match is_whole {
            true => self.upstreams.replace(now, changes, end),
            false => self.upstreams.apply(now, changes),
        };
        self.upstreams.advance(end);
        if end > known {
            // Only changes are passed on, so what a peer sends is small.
            self.following(Followed::Upstreams).borrow_mut().caught_up(0);
        }
        self.upstreams_changed(&effects);
    }

    fn upstreams_changed(&self, effects: &[Effect]) {
        for effect in effects {
            let (key, what) = match effect {
                Effect::None => continue,
                Effect::Appeared(key) => (key, "appeared"),
                Effect::Draining(key) => (key, "draining"),
                Effect::Held(key) => (key, "held"),
                Effect::Returned(key) => (key, "returned"),
                Effect::Restarted { new, .. } => (new, "restarted"),
                Effect::Gone(key) => (key, "gone"),
            };
            let directory = self.upstreams.directory();
            let upstream = directory.get(*key);
            let line = LogLine::event("upstream_changed").with("change", what);
            let line = line.with_some("instance", upstream.map(|u| &u.record.instance));
            let line = line.with_some("record", upstream.map(|u| u.at));
            let started_ms = upstream.and_then(|upstream| upstream.record.started_ms);
            log::info(line.with_some("started_ms", started_ms));
        }
        self.blame.upstreams_changed(effects);
        self.owner.upstreams_changed(effects);
    }

    /// Lets lapsed upstreams go, for as long as the process runs.
    pub async fn expire(self: Rc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            self.alarm.look();
            let effects = self.upstreams.expire(self.now());
            self.upstreams_changed(&effects);
            self.upstreams.set_nodes(self.peers.nodes());
        }
    }

    /// Reads the nodes' records and writes this node's own.
    pub async fn join(self: Rc<Self>) {
        let mut pause = PAUSE_FIRST;
        loop {
            match self.store.newest(Topic::Nodes).await {
                Ok(page) => {
                    self.blame.learn(&page.records);
                    let addresses = page.records.iter().filter(|record| record.value.is_some());
                    let addresses: Vec<_> =
                        addresses.filter_map(|record| record.key.parse().ok()).collect();
                    self.upstreams.nodes_recorded(addresses.len());
                    self.peers.suggest(addresses);
                    break;
                }
                Err(error) => self.did_not_answer(Topic::Nodes, &error),
            }
            sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
        self.write_own_records().await;
    }

    /// Writes this node's record, until the store has it.
    async fn write_own_records(&self) {
        let me = self.peers.address().to_string();
        loop {
            let era = self.store.era();
            match self.store.write(Topic::Nodes, &me, Some(b"1")).await {
                // In a later era it may be lost again.
                Ok(()) if self.store.era() == era => return self.joined_in.set(Some(era)),
                Ok(()) => {}
                Err(error) => {
                    self.did_not_answer(Topic::Nodes, &error);
                    sleep(PAUSE_MAX).await;
                }
            }
        }
    }

    /// Takes in the era of the store that an answer or a peer names. In a later one than was known, what this node wrote may
    /// be lost, and it writes it again.
    pub fn hear_era(self: &Rc<Self>, era: u64) {
        self.store.note_era(era);
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

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Says that a page held records without a readable key. Only a read of changes brings them, so each is said once.
fn note_unreadable(topic: Topic, page: &Page) {
    if page.unreadable > 0 {
        measures::record_refused(topic.name());
        let line = LogLine::event("records_unreadable").with("topic", topic.name());
        log::warn(line.with("records", page.unreadable).with("end", page.end));
    }
}

/// Says that an upstream's record holds no time for how long it is cold; what was known of that stays so.
fn note_cold_time(change: &Change) {
    if let Entry::Present(record) = &change.entry
        && record.cold_for.is_none()
    {
        measures::record_refused(Topic::Upstreams.name());
        let line = LogLine::event("cold_time_refused").with("instance", &change.instance);
        log::warn(line.with("record", change.at));
    }
}

fn config_refused(source: &str, error: &dyn std::fmt::Display) {
    let line = LogLine::event("config_refused").with("source", source);
    log::warn(line.with("error", error));
}
