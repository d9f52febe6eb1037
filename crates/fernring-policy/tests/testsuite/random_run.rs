//! Randomised runs of several nodes' decisions over one log, with faults of every kind.
//!
//! The nodes are the shipped `Dispatcher`; around them the log, the upstreams, the forwards and
//! the callers are as unreliable as a random choice makes them. After every step the world's own
//! record of what upstreams ran is compared with what callers were told.
//!
//! `FERNRING_SEED`, `FERNRING_CASES` and `FERNRING_STEPS` set the seed, the number of runs and
//! their longest length; the seed is printed.

use {
    fernring_core::{
        catalog::{Catalog, Pipeline, Stage, Upstream, UpstreamKind, Workspace},
        claim::{ClaimBatch, ClaimPage, ClaimRecord},
        clock::Now,
        code::{Advice, Class, ResultCode},
        ids::{AttemptRef, Incarnation, RequestKey, ScopedKey, WaiterId},
    },
    fernring_policy::{
        answer::Answer,
        assembly::ResponsePart,
        dispatcher::{Dispatcher, Identity},
        event::{
            Action, AttemptEnd, Dispatch, EchoedPart, Event, Forward, KeyStatus, OwnerAnswer,
            Submission,
        },
        settings::PolicySettings,
    },
    proptest::{
        prelude::*,
        test_runner::{Config, RngSeed, TestRunner},
    },
    proptest_state_machine::{ReferenceStateMachine, StateMachineTest},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, UNIX_EPOCH},
    },
    uuid::Uuid,
};

const NODES: usize = 3;
const START_MS: u64 = 1_800_000_000_000;
const RETENTION_MS: u64 = 10_000;
const DEFAULT_CASES: u32 = 1_500;
const DEFAULT_STEPS: usize = 120;
/// Steps that bring a run to rest: far more than anything outstanding needs.
const SETTLE_ROUNDS: usize = 200;

/// Steps taken by all runs of this process.
static STEPS: AtomicU64 = AtomicU64::new(0);
/// Side effects run in all runs of this process.
static EFFECTS: AtomicU64 = AtomicU64::new(0);
/// Final answers given in all runs of this process.
static ANSWERS: AtomicU64 = AtomicU64::new(0);

/// Which key a submission carries.
#[derive(Debug, Clone, Copy)]
enum KeyChoice {
    None,
    Fresh,
    Repeat(usize),
    Ticket,
}

/// What becomes of an attempt.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Completes,
    /// Parts come twice, in reverse order, behind another attempt's.
    CompletesInDisorder,
    /// Only the first part comes for now.
    SendsFirstPart,
    LosesLastPart,
    FailsAfterRunning,
    FailsBeforeRunning,
    NotSent,
    Refuses,
    Leaves,
}

/// What becomes of an append.
#[derive(Debug, Clone, Copy)]
enum AppendFate {
    Lands,
    LandsUnanswered,
    /// The node is told nothing; the record lands at a later step.
    LandsLater,
    Dropped,
}

#[derive(Debug, Clone)]
enum Step {
    Submit { node: usize, effect: bool, key: KeyChoice, window_ms: u64, streaming: bool },
    Attempt { index: usize, fate: Fate },
    Append { index: usize, fate: AppendFate },
    LandLate { index: usize },
    Read { node: usize, count: usize },
    Forward { index: usize, lost: bool },
    Advance { ms: u64 },
    Crash { node: usize },
    Drain { node: usize },
    Leave { index: usize },
}

/// The reference holds nothing: every step is possible at any time.
struct AnyStep;

impl ReferenceStateMachine for AnyStep {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let index = 0..64_usize;
        let key = prop_oneof![
            1 => Just(KeyChoice::None),
            4 => Just(KeyChoice::Fresh),
            4 => (0..16_usize).prop_map(KeyChoice::Repeat),
            1 => Just(KeyChoice::Ticket),
        ];
        let fate = prop_oneof![
            8 => Just(Fate::Completes),
            2 => Just(Fate::CompletesInDisorder),
            2 => Just(Fate::SendsFirstPart),
            1 => Just(Fate::LosesLastPart),
            1 => Just(Fate::FailsAfterRunning),
            1 => Just(Fate::FailsBeforeRunning),
            1 => Just(Fate::NotSent),
            1 => Just(Fate::Refuses),
            1 => Just(Fate::Leaves),
        ];
        let append = prop_oneof![
            6 => Just(AppendFate::Lands),
            2 => Just(AppendFate::LandsUnanswered),
            2 => Just(AppendFate::LandsLater),
            1 => Just(AppendFate::Dropped),
        ];
        let submit = (node.clone(), any::<bool>(), key, 1..4_000_u64, any::<bool>());
        prop_oneof![
            8 => submit.prop_map(|(node, effect, key, window_ms, streaming)| {
                Step::Submit { node, effect, key, window_ms, streaming }
            }),
            24 => (index.clone(), fate).prop_map(|(index, fate)| Step::Attempt { index, fate }),
            10 => (index.clone(), append).prop_map(|(index, fate)| Step::Append { index, fate }),
            2 => index.clone().prop_map(|index| Step::LandLate { index }),
            16 => (node.clone(), 1..8_usize).prop_map(|(node, count)| Step::Read { node, count }),
            4 => (index.clone(), prop::bool::weighted(0.2))
                .prop_map(|(index, lost)| Step::Forward { index, lost }),
            4 => prop_oneof![1..50_u64, 50..1_500_u64, 4_000..12_000_u64]
                .prop_map(|ms| Step::Advance { ms }),
            1 => node.clone().prop_map(|node| Step::Crash { node }),
            1 => node.prop_map(|node| Step::Drain { node }),
            1 => index.prop_map(|index| Step::Leave { index }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Node {
    dispatcher: Dispatcher,
    identity: Identity,
    configured: bool,
}

/// An attempt that an upstream has.
struct Attempt {
    node: usize,
    incarnation: Incarnation,
    dispatch: Dispatch,
}

/// An append on its way.
struct Append {
    node: usize,
    incarnation: Incarnation,
    batch: ClaimBatch,
}

/// A submission on its way to the owner of its key.
struct Passed {
    node: usize,
    incarnation: Incarnation,
    forward: Forward,
}

/// Who waits under a waiter's number.
#[derive(Clone)]
enum Waiter {
    Caller(Box<Caller>),
    /// Another node, for its own waiter.
    Node {
        node: usize,
        incarnation: Incarnation,
        waiter: WaiterId,
    },
}

/// A caller and what it was told.
#[derive(Clone)]
struct Caller {
    submission: Submission,
    effect: bool,
    told: Option<Answer>,
    /// The parts that it was given.
    text: String,
}

struct World {
    now: Duration,
    nodes: Vec<Node>,
    log: Vec<ClaimRecord>,
    first_offset: u64,
    late: Vec<ClaimBatch>,
    attempts: Vec<Attempt>,
    appends: Vec<Append>,
    passed: Vec<Passed>,
    waiters: BTreeMap<WaiterId, Waiter>,
    /// Keys used so far, with the pipeline they were used for.
    keys: Vec<(RequestKey, bool)>,
    /// Requests whose stages an upstream ran, by identity.
    ran: BTreeSet<Uuid>,
    /// Side effects that an upstream ran, by key.
    effects: BTreeMap<RequestKey, u32>,
    /// Keys that a caller was told will not run, or have not had their side effect.
    promised: BTreeSet<RequestKey>,
    serial: u64,
    /// Callers by the node they sent their request to.
    waiting_at: BTreeMap<usize, BTreeSet<WaiterId>>,
    /// Callers that left, or whose node crashed: they may get no answer.
    crashed: BTreeSet<WaiterId>,
}

fn catalog() -> Catalog {
    let stage = |name: &str, effect| Stage {
        name: name.to_owned(),
        pool: name.to_owned(),
        effect,
        expected_ms: 10,
        cost_milli_per_s: 0,
    };
    let pipeline =
        |stages| Arc::new(Pipeline { stages, default_window_ms: 1_000, max_window_ms: 600_000 });
    let mut catalog = Catalog::default();
    let pure = pipeline(vec![stage("encode", false), stage("generate", false)]);
    let letter = pipeline(vec![stage("generate", false), stage("post", true)]);
    catalog.pipelines.insert("pure".to_owned(), pure);
    catalog.pipelines.insert("letter".to_owned(), letter);
    let workspace = Workspace { weight: 1, limit_per_s: 0, pipelines: Vec::new() };
    catalog.workspaces.insert("members".to_owned(), Arc::new(workspace));
    for pool in ["encode", "generate", "post"] {
        for index in 0..2 {
            let upstream = Upstream {
                pool: pool.to_owned(),
                failure_domain: if index == 0 { "a" } else { "b" }.to_owned(),
                address: "127.0.0.1:1".parse().unwrap(),
                kind: UpstreamKind::Plain,
                concurrency: 4,
                checks_fencing: false,
                draining: false,
            };
            catalog.upstreams.insert(format!("{pool}-{index}"), Arc::new(upstream));
        }
    }
    catalog
}

fn settings() -> PolicySettings {
    PolicySettings {
        claim_horizon_ms: 4_000,
        clock_skew_ms: 500,
        claim_patience_ms: 2_000,
        ticket_valid_ms: 20_000,
        ..PolicySettings::default()
    }
}

/// What a stage makes of its input.
fn output_of(stage: &str, input: &str) -> String {
    format!("{stage}({input})")
}

fn whole(effect: bool, input: &str) -> String {
    let stages = if effect { ["generate", "post"] } else { ["encode", "generate"] };
    stages.iter().fold(input.to_owned(), |text, stage| output_of(stage, &text))
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            log: Vec::new(),
            first_offset: 0,
            late: Vec::new(),
            attempts: Vec::new(),
            appends: Vec::new(),
            passed: Vec::new(),
            waiters: BTreeMap::new(),
            keys: Vec::new(),
            ran: BTreeSet::new(),
            effects: BTreeMap::new(),
            promised: BTreeSet::new(),
            serial: 0,
            waiting_at: BTreeMap::new(),
            crashed: BTreeSet::new(),
        };
        for node in 0..NODES {
            let fresh = world.fresh_node(node);
            world.nodes.push(fresh);
        }
        world
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn fresh_node(&mut self, node: usize) -> Node {
        let incarnation = Incarnation(Uuid::from_u128(u128::from(self.next_serial()) << 64));
        // A restarted node has its predecessor's address.
        let address: SocketAddr = format!("127.0.0.1:{}", 9_000 + node).parse().unwrap();
        let failure_domain = if node == 0 { "a" } else { "b" }.into();
        let identity = Identity { incarnation, address, failure_domain };
        let dispatcher = Dispatcher::new(identity.clone(), settings(), self.serial);
        Node { dispatcher, identity, configured: false }
    }

    /// Nodes' clocks differ a little.
    fn now_at(&self, node: usize) -> Now {
        let skew = Duration::from_millis(node as u64 * 100);
        Now {
            monotonic: self.now,
            wall: UNIX_EPOCH + Duration::from_millis(START_MS) + self.now + skew,
        }
    }

    fn log_time_ms(&self) -> u64 {
        START_MS + self.now.as_millis() as u64
    }

    fn handle(&mut self, node: usize, event: Event) {
        let now = self.now_at(node);
        if !self.nodes[node].configured {
            self.nodes[node].configured = true;
            let catalog = Event::Configured(Arc::new(catalog()));
            let actions = self.nodes[node].dispatcher.handle(now, catalog);
            self.act(node, actions);
        }
        let actions = self.nodes[node].dispatcher.handle(now, event);
        self.act(node, actions);
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        let incarnation = self.nodes[node].identity.incarnation;
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => {
                    self.attempts.push(Attempt { node, incarnation, dispatch });
                }
                Action::Cancel(reference) => self.cancel(node, incarnation, reference),
                Action::Deliver { waiter, text } => self.deliver(waiter, &text),
                Action::Finish { waiter, answer } => self.finish(waiter, answer),
                Action::AppendClaims(batch) => {
                    self.appends.push(Append { node, incarnation, batch });
                }
                Action::Forward(forward) => {
                    self.passed.push(Passed { node, incarnation, forward: *forward });
                }
                Action::Log(_) => {}
            }
        }
    }

    fn is_alive(&self, node: usize, incarnation: Incarnation) -> bool {
        self.nodes[node].identity.incarnation == incarnation
    }

    fn cancel(&mut self, node: usize, incarnation: Incarnation, reference: AttemptRef) {
        let same = |attempt: &Attempt| {
            attempt.incarnation == incarnation && attempt.dispatch.attempt == reference
        };
        if let Some(index) = self.attempts.iter().position(same) {
            let attempt = self.attempts.remove(index);
            assert!(!attempt.dispatch.effect, "a side effect was cancelled");
            self.ran.insert(attempt.dispatch.uid);
            self.handle(
                node,
                Event::AttemptEnded { attempt: reference, end: AttemptEnd::Cancelled },
            );
        }
    }

    fn deliver(&mut self, waiter: WaiterId, part: &str) {
        let Some(Waiter::Caller(caller)) = self.waiters.get_mut(&waiter) else {
            panic!("a part for somebody who takes none");
        };
        let Caller { submission, effect, told, text } = caller.as_mut();
        assert!(told.is_none(), "a part behind the final answer");
        text.push_str(part);
        let whole = whole(*effect, &submission.input);
        assert!(whole.starts_with(text.as_str()), "{text} is not of {whole}");
    }

    fn finish(&mut self, waiter: WaiterId, answer: Answer) {
        match self.waiters.get_mut(&waiter) {
            None => panic!("an answer for nobody"),
            Some(Waiter::Caller(caller)) => {
                let Caller { submission, effect, told, text } = caller.as_mut();
                assert!(told.is_none(), "a second answer");
                ANSWERS.fetch_add(1, Ordering::Relaxed);
                if let Some(output) = answer.output() {
                    assert_eq!(output.as_ref(), whole(*effect, &submission.input));
                    assert!(text.is_empty() || *text == output.as_ref(), "parts are not whole");
                }
                *told = Some(answer.clone());
                let (submission, effect) = (submission.clone(), *effect);
                self.check_answer(&submission, effect, &answer);
            }
            Some(Waiter::Node { node, incarnation, waiter }) => {
                let (node, incarnation, waiter) = (*node, *incarnation, *waiter);
                if self.is_alive(node, incarnation) {
                    let word = OwnerAnswer {
                        code: answer.code(),
                        output: answer.output().cloned(),
                        retry_after_ms: answer.retry_after_ms(),
                    };
                    let answer = Some(word);
                    self.handle(node, Event::OwnerAnswered { waiter, answer });
                }
            }
        }
    }

    /// Compares an answer with what the upstreams ran.
    fn check_answer(&mut self, submission: &Submission, effect: bool, answer: &Answer) {
        let class = answer.code().class();
        if class == Class::NotRun {
            assert!(!self.ran.contains(&submission.uid), "NOT_RUN, but it ran: {answer:?}");
        }
        let Some(key) = submission.key.filter(|_| effect) else {
            return;
        };
        let runs = self.effects.get(&key).copied().unwrap_or(0);
        if class == Class::Answered {
            assert_eq!(runs, 1, "answered, but its effect ran {runs} times");
        }
        // The caller may use a new key only if the old one never has its effect.
        if answer.advice() == Some(Advice::NewKey) {
            assert_eq!(runs, 0, "{answer:?}, but its effect ran");
            self.promised.insert(key);
        }
    }

    fn run_stage(&mut self, dispatch: &Dispatch, key: Option<RequestKey>) {
        self.ran.insert(dispatch.uid);
        if !dispatch.effect {
            return;
        }
        let key = key.expect("a side effect has a key");
        EFFECTS.fetch_add(1, Ordering::Relaxed);
        let runs = self.effects.entry(key).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "a side effect ran twice: {key}");
        assert!(!self.promised.contains(&key), "a side effect that was promised not to run");
    }

    /// The key of a dispatch: effects are told apart by the innermost input, which is the key.
    fn key_of(&self, dispatch: &Dispatch) -> Option<RequestKey> {
        let innermost = dispatch.input.rsplit('(').next()?.trim_end_matches(')');
        innermost.parse().ok()
    }

    fn end_attempt(&mut self, index: usize, fate: Fate) {
        if self.attempts.is_empty() {
            return;
        }
        let index = index % self.attempts.len();
        let keeps = matches!(fate, Fate::SendsFirstPart);
        let (node, incarnation) = (self.attempts[index].node, self.attempts[index].incarnation);
        let dispatch = self.attempts[index].dispatch.clone();
        if !keeps {
            self.attempts.remove(index);
        }
        let runs = !matches!(
            fate,
            Fate::FailsBeforeRunning
                | Fate::NotSent
                | Fate::Refuses
                | Fate::Leaves
                | Fate::SendsFirstPart
        );
        if runs {
            let key = self.key_of(&dispatch);
            self.run_stage(&dispatch, key);
        }
        if keeps && !dispatch.effect {
            self.ran.insert(dispatch.uid);
        }
        if !self.is_alive(node, incarnation) {
            return;
        }
        let attempt = dispatch.attempt;
        // A side effect's first part would say that it runs; here it has not begun.
        let parts = if keeps && dispatch.effect { Vec::new() } else { parts_of(&dispatch, fate) };
        if !parts.is_empty() {
            self.handle(node, Event::Parts { attempt, parts });
        }
        let end = match fate {
            Fate::Completes | Fate::CompletesInDisorder | Fate::LosesLastPart => {
                AttemptEnd::Completed
            }
            Fate::SendsFirstPart => return,
            Fate::FailsAfterRunning | Fate::FailsBeforeRunning => AttemptEnd::Failed,
            Fate::NotSent => AttemptEnd::NotSent,
            Fate::Refuses => AttemptEnd::Refused,
            Fate::Leaves => AttemptEnd::Leaving,
        };
        // A part that was handled may have ended the request and with it this attempt.
        self.handle(node, Event::AttemptEnded { attempt, end });
    }

    fn land(&mut self, batch: ClaimBatch) {
        let offset = self.first_offset + self.log.len() as u64;
        self.log.push(ClaimRecord { offset, time_ms: self.log_time_ms(), batch: Some(batch) });
    }

    fn append(&mut self, index: usize, fate: AppendFate) {
        if self.appends.is_empty() {
            return;
        }
        let append = self.appends.remove(index % self.appends.len());
        let event = match fate {
            AppendFate::Lands => {
                self.land(append.batch);
                Event::ClaimsAppended
            }
            AppendFate::LandsUnanswered => {
                self.land(append.batch);
                Event::ClaimsOutcomeUnknown
            }
            AppendFate::LandsLater => {
                self.late.push(append.batch);
                Event::ClaimsOutcomeUnknown
            }
            AppendFate::Dropped => Event::ClaimsOutcomeUnknown,
        };
        if self.is_alive(append.node, append.incarnation) {
            self.handle(append.node, event);
        }
    }

    fn read(&mut self, node: usize, count: usize) {
        let from = self.nodes[node].dispatcher.claim_view().next_offset();
        let skip = from.saturating_sub(self.first_offset) as usize;
        let records: Vec<_> = self.log.iter().skip(skip).take(count).cloned().collect();
        let page = ClaimPage {
            from,
            first_offset: self.first_offset,
            next_offset: self.first_offset + self.log.len() as u64,
            time_ms: self.log_time_ms(),
            records,
        };
        self.handle(node, Event::ClaimsRead(page));
    }

    fn pass(&mut self, index: usize, lost: bool) {
        if self.passed.is_empty() {
            return;
        }
        let passed = self.passed.remove(index % self.passed.len());
        let Passed { node, incarnation, forward } = passed;
        let owner = self.nodes.iter().position(|node| {
            let identity = &node.identity;
            identity.address == forward.address && identity.incarnation == forward.incarnation
        });
        let Some(owner) = owner.filter(|_| !lost) else {
            if self.is_alive(node, incarnation) {
                let waiter = forward.waiter;
                self.handle(node, Event::OwnerAnswered { waiter, answer: None });
            }
            return;
        };
        let waiter = WaiterId(self.next_serial());
        let origin = Waiter::Node { node, incarnation, waiter: forward.waiter };
        self.waiters.insert(waiter, origin);
        let uid = Uuid::from_u128(u128::from(self.next_serial()));
        let submission = Submission { waiter, uid, ..forward.submission };
        self.handle(owner, Event::Submit(submission));
    }

    fn submit(&mut self, node: usize, effect: bool, key: KeyChoice, ms: u64, streaming: bool) {
        let (key, effect) = match key {
            KeyChoice::None => (None, effect),
            KeyChoice::Repeat(index) if !self.keys.is_empty() => {
                let (key, effect) = self.keys[index % self.keys.len()];
                (Some(key), effect)
            }
            KeyChoice::Ticket => {
                let now = self.now_at(node);
                let minted = self.nodes[node].dispatcher.mint_tickets(now, 1);
                (minted.ok().and_then(|mut tickets| tickets.pop()), effect)
            }
            _ => (Some(self.fresh_key()), effect),
        };
        if let Some(key) = key {
            self.keys.push((key, effect));
        }
        let waiter = WaiterId(self.next_serial());
        let uid = Uuid::from_u128(u128::from(self.next_serial()));
        // The input names the key, so that an effect can be traced back to it.
        let input: Arc<str> = match key {
            Some(key) => key.to_string().into(),
            None => format!("request {uid}").into(),
        };
        let submission = Submission {
            waiter,
            uid,
            pipeline: if effect { "letter" } else { "pure" }.to_owned(),
            workspace: "members".into(),
            key,
            non_idempotent: false,
            window_ms: Some(ms),
            input,
            prefix: None,
            streaming,
            forwarded: false,
        };
        let (told, text) = (None, String::new());
        let caller = Caller { submission: submission.clone(), effect, told, text };
        let caller = Waiter::Caller(Box::new(caller));
        self.waiters.insert(waiter, caller);
        self.crashed.remove(&waiter);
        self.handle(node, Event::Submit(submission));
        self.waiting_at.entry(node).or_default().insert(waiter);
    }

    /// Mints a key whose bits depend on nothing but the run, so that a run can be replayed.
    fn fresh_key(&mut self) -> RequestKey {
        let minted = u128::from(self.log_time_ms()) << 80;
        let version_and_variant = (7 << 76) | (2 << 62);
        let serial = u128::from(self.next_serial());
        RequestKey::Minted(Uuid::from_u128(minted | version_and_variant | serial))
    }

    fn crash(&mut self, node: usize) {
        let waiting = self.waiting_at.remove(&node).unwrap_or_default();
        self.crashed.extend(waiting);
        self.nodes[node] = self.fresh_node(node);
        self.passed.retain(|passed| passed.node != node);
    }

    fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        let now_ms = self.log_time_ms();
        while self.log.first().is_some_and(|record| record.time_ms + RETENTION_MS < now_ms) {
            self.log.remove(0);
            self.first_offset += 1;
        }
        for node in 0..NODES {
            self.handle(node, Event::Tick);
        }
    }

    fn step(&mut self, step: Step) {
        STEPS.fetch_add(1, Ordering::Relaxed);
        match step {
            Step::Submit { node, effect, key, window_ms, streaming } => {
                self.submit(node, effect, key, window_ms, streaming);
            }
            Step::Attempt { index, fate } => self.end_attempt(index, fate),
            Step::Append { index, fate } => self.append(index, fate),
            Step::LandLate { index } => {
                if !self.late.is_empty() {
                    let batch = self.late.remove(index % self.late.len());
                    self.land(batch);
                }
            }
            Step::Read { node, count } => self.read(node, count),
            Step::Forward { index, lost } => self.pass(index, lost),
            Step::Advance { ms } => self.advance(ms),
            Step::Crash { node } => self.crash(node),
            Step::Drain { node } => self.handle(node, Event::Drain),
            Step::Leave { index } => self.leave(index),
        }
        self.check_keys();
    }

    fn leave(&mut self, index: usize) {
        let waiting: Vec<_> = self
            .waiting_at
            .iter()
            .flat_map(|(node, waiters)| waiters.iter().map(|waiter| (*node, *waiter)))
            .collect();
        if waiting.is_empty() {
            return;
        }
        let (node, waiter) = waiting[index % waiting.len()];
        let untold = match &self.waiters[&waiter] {
            Waiter::Caller(caller) => caller.told.is_none(),
            Waiter::Node { .. } => false,
        };
        if untold {
            self.crashed.insert(waiter);
            self.handle(node, Event::WaiterLeft(waiter));
        }
    }

    /// What a node says of a key must agree with what the upstreams ran.
    fn check_keys(&self) {
        for (key, _) in self.keys.iter().filter(|(_, effect)| *effect) {
            let runs = self.effects.get(key).copied().unwrap_or(0);
            let scoped = ScopedKey { workspace: "members".into(), key: *key };
            for node in &self.nodes {
                if let KeyStatus::Ended(answer) = node.dispatcher.key_status(&scoped) {
                    let none = answer.advice() == Some(Advice::NewKey);
                    assert!(!none || runs == 0, "{answer:?}, but its effect ran");
                    let answered = answer.code() == ResultCode::Ok;
                    assert!(!answered || runs == 1, "answered without its effect");
                }
            }
        }
    }

    /// Lets everything outstanding end well, and checks that nobody waits for nothing.
    fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            self.advance(100);
            while !self.late.is_empty() {
                self.step(Step::LandLate { index: 0 });
            }
            while !self.appends.is_empty() {
                self.append(0, AppendFate::Lands);
            }
            for node in 0..NODES {
                self.read(node, usize::MAX);
            }
            while !self.passed.is_empty() {
                self.pass(0, false);
            }
            while !self.attempts.is_empty() {
                self.end_attempt(0, Fate::Completes);
            }
        }
        for node in &self.nodes {
            assert_eq!(node.dispatcher.counters().in_flight, 0);
            assert_eq!(node.dispatcher.relays_in_flight(), 0);
            assert_eq!(node.dispatcher.attempts_in_flight(), 0);
        }
        for (id, waiter) in &self.waiters {
            if let Waiter::Caller(caller) = waiter
                && !self.crashed.contains(id)
            {
                let Caller { submission, effect, told, text } = caller.as_ref();
                let answer = told.as_ref().unwrap_or_else(|| panic!("no answer: {submission:?}"));
                let streamed = !text.is_empty() && answer.code() == ResultCode::Ok;
                assert!(!streamed || *text == whole(*effect, &submission.input));
                if answer.code().class() == Class::NotRun {
                    assert!(!self.ran.contains(&submission.uid), "NOT_RUN, but it ran later");
                }
            }
        }
    }
}

fn parts_of(dispatch: &Dispatch, fate: Fate) -> Vec<EchoedPart> {
    let text = output_of(&dispatch.stage_name, &dispatch.input);
    let (head, tail) = text.split_at(dispatch.stage_name.len());
    let part = |sequence, text: &str, last| EchoedPart {
        uid: dispatch.uid,
        stage: dispatch.attempt.stage,
        attempt: dispatch.attempt.attempt,
        part: ResponsePart { sequence, text: text.into(), last },
    };
    let (first, last) = (part(0, head, false), part(1, tail, true));
    match fate {
        Fate::Completes => vec![first, last],
        Fate::CompletesInDisorder => {
            let other =
                EchoedPart { attempt: dispatch.attempt.attempt + 1, ..part(0, "not", false) };
            let stranger = EchoedPart { uid: Uuid::from_u128(1 << 100), ..part(0, "me", false) };
            vec![other, stranger, last.clone(), last, first.clone(), first]
        }
        Fate::SendsFirstPart | Fate::LosesLastPart => vec![first],
        _ => Vec::new(),
    }
}

struct Run(World);

impl StateMachineTest for Run {
    type SystemUnderTest = Self;
    type Reference = AnyStep;

    fn init_test((): &()) -> Self {
        Self(World::new())
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        state.0.step(step);
        state
    }

    fn teardown(mut state: Self, (): ()) {
        state.0.settle();
    }
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("must be a number"))
}

#[test]
fn nothing_is_lost_doubled_or_untrue_whatever_happens() {
    let seed = number("FERNRING_SEED").unwrap_or(20_261_202);
    let cases = number("FERNRING_CASES").map_or(DEFAULT_CASES, |cases| cases as u32);
    let steps = number("FERNRING_STEPS").map_or(DEFAULT_STEPS, |steps| steps as usize);
    println!("seed {seed}, {cases} runs of up to {steps} steps");
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new(config.clone());
    let strategy = AnyStep::sequential_strategy(steps / 2..=steps);
    let outcome = runner.run(&strategy, |(initial, steps, seen)| {
        Run::test_sequential(config.clone(), initial, steps, seen);
        Ok(())
    });
    println!(
        "{} steps, {} final answers, {} side effects",
        STEPS.load(Ordering::Relaxed),
        ANSWERS.load(Ordering::Relaxed),
        EFFECTS.load(Ordering::Relaxed)
    );
    if let Err(error) = outcome {
        panic!("seed {seed}: {error}");
    }
}
