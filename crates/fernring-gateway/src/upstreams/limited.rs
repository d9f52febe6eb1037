//! What upstreams say of how much they take from all nodes together, and the question before each send there.
//!
//! [`crate::limits`] knows the newest words, [`crate::turns_granted`] grants. All nodes ask the same node for an upstream, as far
//! as they see the same members; a word is told on in heartbeats, in questions and in their answers.

use {
    super::{Target, Upstreams},
    crate::{
        backlog::RANKS,
        barred::Barred,
        limits::{LimitChange, LimitWord, Limits},
        log, telemetry,
        model::{LimitHeader, UpstreamKey, UpstreamRecord},
        turns_granted::{Denied, Grants, drained_together, part_of},
    },
    fernring_core::text::LogLine,
    fernring_protocol::gateway::{self, PermitResponse, PermitRequest},
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::{
        sync::oneshot,
        time::{sleep, timeout},
    },
};

/// Longest wait for the node that counts: some round trips between failure domains. A request that got no word goes elsewhere.
const ANSWER_WAIT: Duration = Duration::from_millis(100);
/// How long a node doesn't ask again that got no word: until it knows who counts now.
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);
/// Time after its start in which a node grants nothing: it may count while it doesn't know of the others yet.
const START_TIME: Duration = Duration::from_secs(1);
/// Pause between two looks whether this node has caught up, and how often it looks at most.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(5);
const CATCH_UP_LOOKS: usize = 80;
/// Most words that a heartbeat tells, some 400 bytes. Further ones have their turn in the next.
const TOLD_MAX: usize = 24;

/// Finds and asks the nodes that count for all.
pub trait Counters {
    /// Returns the node that counts for a start of an upstream; `None` if it is this one.
    fn counter(&self, run: u64) -> Option<SocketAddr>;

    /// Returns how many nodes are heard, this one included.
    fn heard(&self) -> usize;

    /// Tells whether peers may have named a limit that this node hasn't read yet.
    fn is_behind(&self) -> bool;

    /// Sends a question.
    fn ask(&self, counter: SocketAddr, question: PermitRequest);

    /// Sends an answer.
    fn answer(&self, asker: SocketAddr, answer: PermitResponse);
}

/// That an upstream takes no more for some time, as this node was told.
#[derive(Debug, Clone, Copy, Default)]
struct Closed {
    /// By rank. Invariant: a less urgent rank isn't told to ask sooner.
    until: [Duration; RANKS],
    /// When what is asked for should be done.
    drained_at: Duration,
}

/// What is known of upstreams that name limits.
#[derive(Default)]
pub(super) struct Limited {
    limits: Limits,
    closed: HashMap<u64, Closed>,
    /// What this node has granted.
    grants: HashMap<u64, Grants>,
    /// Questions that wait for their answers.
    pending: HashMap<u64, oneshot::Sender<PermitResponse>>,
    /// Starts whose last answer named a limit that is no number: said once, not with each answer.
    refused: HashSet<u64>,
    last_ticket: u64,
    /// Words told so far, for whose turn it is.
    told: usize,
    counters: Option<Rc<dyn Counters>>,
}

impl std::fmt::Debug for Limited {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Limited").field("limits", &self.limits).finish_non_exhaustive()
    }
}

impl Limited {
    fn close(&mut self, now: Duration, run: u64, rank: usize, denied: Denied) {
        let closed = self.closed.entry(run).or_default();
        closed.drained_at = now + denied.drained_after;
        for until in closed.until.iter_mut().skip(rank) {
            *until = (*until).max(now + denied.ask_again_after);
        }
    }

    fn is_closed(&self, now: Duration, run: u64, rank: usize) -> bool {
        let until = self.closed.get(&run).map(|closed| closed.until[rank.min(RANKS - 1)]);
        self.limits.of(run).is_some() && until.is_some_and(|until| now < until)
    }

    fn message(&self, now: Duration, run: u64) -> gateway::LimitReport {
        let word = self.limits.word(run);
        gateway::LimitReport {
            incarnation_id: run,
            per_s: word.and_then(|word| word.per_s),
            age_ms: word.map_or(u32::MAX, |word| age_ms(now, word.at)),
        }
    }
}

impl Upstreams {
    /// Sets who finds and asks the nodes that count; without, this node counts alone.
    pub fn set_counters(&self, counters: Rc<dyn Counters>) {
        self.limited.borrow_mut().counters = Some(counters);
    }

    /// Takes in what an answer of an upstream says of how much it takes, whose request left at `sent_at`.
    pub fn said_limit(&self, target: &Target, sent_at: Duration, said: LimitHeader) {
        let (now, run) = (self.clock.now().monotonic, target.run_id());
        let mut limited = self.limited.borrow_mut();
        if said == LimitHeader::Unreadable {
            // What was known stays.
            if limited.refused.insert(run) {
                let line = LogLine::event("upstream_limit_refused");
                log::warn(line.with("upstream", &target.instance));
            }
            return;
        }
        limited.refused.remove(&run);
        if let Some(change) = limited.limits.heard(now, run, sent_at, said) {
            log_limit(run, change, &target.instance);
        }
    }

    /// Takes in what a peer tells of upstreams' limits.
    pub fn told_limits(&self, words: &[gateway::LimitReport]) {
        let now = self.clock.now().monotonic;
        for word in words {
            let at = now.saturating_sub(Duration::from_millis(word.age_ms.into()));
            if word.per_s.is_some_and(|per_s| !(per_s.is_finite() && per_s >= 0.0)) {
                continue;
            }
            let told = LimitWord { per_s: word.per_s, at };
            let change = self.limited.borrow_mut().limits.told(word.incarnation_id, told);
            if let Some(change) = change {
                log_limit(word.incarnation_id, change, "peer");
            }
        }
    }

    /// Lists what peers are to be told of upstreams' limits.
    pub fn limits_to_tell(&self) -> Vec<gateway::LimitReport> {
        let now = self.clock.now().monotonic;
        let mut limited = self.limited.borrow_mut();
        let mut runs: Vec<_> = limited.limits.to_tell(now).map(|(run, _)| run).collect();
        runs.sort_unstable();
        let count = runs.len().min(TOLD_MAX);
        let first = limited.told % runs.len().max(1);
        limited.told = first + count;
        let in_turn = runs.iter().cycle().skip(first).take(count);
        in_turn.map(|run| limited.message(now, *run)).collect()
    }

    /// Returns the number of upstreams that name a limit.
    pub fn limited(&self) -> usize {
        self.limited.borrow().limits.in_force()
    }

    /// Returns the requests a second that an upstream takes from all nodes, if it names a limit.
    pub fn limit_of(&self, record: &UpstreamRecord) -> Option<f64> {
        self.limited.borrow().limits.of(record.incarnation_id())
    }

    /// Tells whether this node knows that an upstream takes no more of a rank now.
    pub(super) fn takes_no_more(
        &self,
        now: Duration,
        record: &UpstreamRecord,
        rank: usize,
    ) -> bool {
        let limited = self.limited.borrow();
        !limited.closed.is_empty() && limited.is_closed(now, record.incarnation_id(), rank)
    }

    /// Tells whether an upstream takes no word of results that are given up now.
    pub fn takes_no_release(&self, key: UpstreamKey) -> bool {
        let now = self.clock.now().monotonic;
        let directory = self.directory.borrow();
        directory.get(key).is_some_and(|u| self.takes_no_more(now, &u.record, RANKS - 1))
    }

    /// Returns when requests to a service may be served again of which all upstreams that could take work have said how much
    /// they take, and have no turn left for a rank; `None` if that isn't so.
    pub fn limited_for(&self, service: &str, rank: usize) -> Option<Duration> {
        let now = self.clock.now().monotonic;
        let directory = self.directory.borrow();
        let limited = self.limited.borrow();
        let cold_start = self.cold_start(service);
        let able = directory
            .of_service(service)
            .filter(|(key, upstream)| self.may_send_to(*key, upstream, cold_start).is_ok());
        let mut drained = Vec::new();
        for (_, upstream) in able {
            let run = upstream.record.incarnation_id();
            if !limited.is_closed(now, run, rank) {
                return None;
            }
            let drained_at = limited.closed.get(&run).map(|closed| closed.drained_at)?;
            drained.push(drained_at.saturating_sub(now));
        }
        drained_together(&drained)
    }

    /// Asks for a turn at an upstream if it names a limit.
    pub(super) async fn take_limited_turn(
        &self,
        target: &Target,
        rank: usize,
    ) -> Result<(), Barred> {
        let run = target.run_id();
        self.catch_up(run).await;
        let now = self.clock.now().monotonic;
        let counters = {
            let limited = self.limited.borrow();
            if limited.limits.of(run).is_none() {
                return Ok(());
            }
            if limited.is_closed(now, run, rank) {
                return Err(Barred::Limited);
            }
            limited.counters.clone()
        };
        let elsewhere = counters.as_ref().and_then(|c| Some((c, c.counter(run)?)));
        let asked = match elsewhere {
            None => self.grant(run, rank),
            Some((counters, counter)) => self.ask(&**counters, counter, run, rank).await,
        };
        telemetry::record_permit(asked.is_ok());
        let now = self.clock.now().monotonic;
        asked.map_err(|denied| {
            self.limited.borrow_mut().close(now, run, rank, denied);
            Barred::Limited
        })
    }

    /// Waits for what peers have said while this node stood still, unless a limit of the upstream is known. Without it, what callers
    /// had asked for meanwhile is all sent on waking, whatever the upstream takes.
    async fn catch_up(&self, run: u64) {
        for _ in 0..CATCH_UP_LOOKS {
            if !self.may_lack_limit(run) {
                return;
            }
            sleep(CATCH_UP_PAUSE).await;
        }
    }

    fn may_lack_limit(&self, run: u64) -> bool {
        let limited = self.limited.borrow();
        let is_behind = || limited.counters.as_ref().is_some_and(|counters| counters.is_behind());
        limited.limits.of(run).is_none() && is_behind()
    }

    async fn ask(
        &self,
        counters: &dyn Counters,
        counter: SocketAddr,
        run: u64,
        rank: usize,
    ) -> Result<(), Denied> {
        let now = self.clock.now().monotonic;
        let (sender, receiver) = oneshot::channel();
        let question = {
            let mut limited = self.limited.borrow_mut();
            limited.last_ticket += 1;
            let ticket = limited.last_ticket;
            limited.pending.retain(|_, waiting| !waiting.is_closed());
            limited.pending.insert(ticket, sender);
            PermitRequest { ticket, limit: limited.message(now, run), rank: rank as u32 }
        };
        counters.ask(counter, question);
        let Ok(Ok(answer)) = timeout(ANSWER_WAIT, receiver).await else {
            log::info(LogLine::event("turn_unanswered").with("counter", counter));
            return Err(Denied {
                ask_again_after: UNANSWERED_PAUSE,
                drained_after: UNANSWERED_PAUSE,
            });
        };
        self.told_limits(&[answer.limit]);
        match answer.is_granted {
            true => Ok(()),
            false => Err(Denied {
                ask_again_after: Duration::from_millis(answer.retry_after_ms.into()),
                drained_after: Duration::from_millis(answer.queue_drain_ms.into()),
            }),
        }
    }

    /// Grants a send by this node's own count, or not.
    fn grant(&self, run: u64, rank: usize) -> Result<(), Denied> {
        let now = self.clock.now().monotonic;
        let (started_at, most) = {
            let cold = self.cold.borrow();
            (cold.started_at, cold.nodes.most())
        };
        let mut limited = self.limited.borrow_mut();
        let Some(limit) = limited.limits.of(run) else {
            return Ok(());
        };
        if now < started_at + START_TIME {
            let left = started_at + START_TIME - now;
            return Err(Denied { ask_again_after: left, drained_after: left });
        }
        let heard = limited.counters.as_ref().map_or(1, |counters| counters.heard());
        let part = part_of(heard, most);
        let grants =
            limited.grants.entry(run).or_insert_with(|| Grants::new(now, part, rand::random()));
        grants.ask(now, limit, part, rank, rand::random())
    }

    /// Takes in a peer's question, and answers it.
    pub fn turn_asked(&self, asker: SocketAddr, question: PermitRequest) {
        self.told_limits(&[question.limit]);
        let run = question.limit.incarnation_id;
        let granted = self.grant(run, question.rank as usize);
        let denied = granted.err();
        let ms = |time: Duration| time.as_millis().min(u32::MAX.into()) as u32;
        let limited = self.limited.borrow();
        let answer = PermitResponse {
            ticket: question.ticket,
            limit: limited.message(self.clock.now().monotonic, run),
            is_granted: denied.is_none(),
            retry_after_ms: denied.map_or(0, |denied| ms(denied.ask_again_after)),
            queue_drain_ms: denied.map_or(0, |denied| ms(denied.drained_after)),
        };
        if let Some(counters) = &limited.counters {
            counters.answer(asker, answer);
        }
    }

    /// Takes in the answer to a question.
    pub fn turn_answered(&self, answer: PermitResponse) {
        let waiting = self.limited.borrow_mut().pending.remove(&answer.ticket);
        // Whoever asked may have left meanwhile; the turn is lost then.
        let _unused = waiting.map(|waiting| waiting.send(answer));
    }

    pub(super) fn forget_old_limits(&self, now: Duration) {
        let mut limited = self.limited.borrow_mut();
        if limited.limits.is_empty() && limited.refused.is_empty() {
            return;
        }
        let directory = self.directory.borrow();
        let runs: HashSet<_> = directory.iter().map(|(_, u)| u.record.incarnation_id()).collect();
        let Limited { limits, closed, grants, refused, .. } = &mut *limited;
        refused.retain(|run| runs.contains(run));
        limits.retain(now, |run| runs.contains(&run));
        closed.retain(|run, _| limits.of(*run).is_some());
        grants.retain(|run, _| limits.of(*run).is_some());
    }
}

fn age_ms(now: Duration, at: Duration) -> u32 {
    now.saturating_sub(at).as_millis().min(u32::MAX.into()) as u32
}

fn log_limit(run: u64, change: LimitChange, from: &str) {
    let line = LogLine::event("upstream_limit").with("run", format_args!("{run:016x}"));
    let line = line.with("from", from).with_some("before_per_s", change.before);
    log::warn(line.with_some("per_s", change.now));
}
