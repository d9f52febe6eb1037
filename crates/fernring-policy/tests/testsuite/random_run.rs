//! Randomised runs of several dispatchers that share one claim stream, with injected faults.
//!
//! Each node is the shipped `Dispatcher`. The claim stream, the upstreams, the forwards between
//! nodes and the callers are simulated and fail at random. After every step the simulation's own
//! record of what the upstreams ran is compared with the answers that callers got.
//!
//! `FERNRING_SEED`, `FERNRING_CASES` and `FERNRING_STEPS` set the seed, the number of runs and
//! the greatest number of steps per run. The seed is printed.

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
/// Rounds at the end of a run that complete outstanding work; far more than it can need.
const SETTLE_ROUNDS: usize = 200;

/// Steps taken by all runs of this process.
static STEPS: AtomicU64 = AtomicU64::new(0);
/// Side effects executed in all runs of this process.
static EFFECTS: AtomicU64 = AtomicU64::new(0);
/// Final answers given in all runs of this process.
static ANSWERS: AtomicU64 = AtomicU64::new(0);

/// The key that a submission carries.
#[derive(Debug, Clone, Copy)]
enum KeyChoice {
    None,
    New,
    /// A key that was used before, by index modulo their number.
    Repeat(usize),
    Ticket,
}

/// How an attempt ends.
#[derive(Debug, Clone, Copy)]
enum AttemptFate {
    Completes,
    /// The parts arrive twice and in reverse order, after parts that belong to other attempts.
    CompletesOutOfOrder,
    /// Only the first part arrives; the attempt stays open.
    SendsFirstPart,
    /// The response ends properly, but its last part is missing.
    OmitsLastPart,
    FailsAfterRunning,
    FailsBeforeRunning,
    NotSent,
    Refuses,
    Leaves,
}

/// How an append to the claim stream ends.
#[derive(Debug, Clone, Copy)]
enum AppendFate {
    Succeeds,
    /// The record is appended, but the node learns no result.
    ResponseLost,
    /// The node learns no result, and the record is appended at a later step.
    Delayed,
    /// The record is lost, and the node learns no result.
    Dropped,
}

#[derive(Debug, Clone)]
enum Step {
    Submit {
        node: usize,
        effect: bool,
        key: KeyChoice,
        window_ms: u64,
        streaming: bool,
    },
    /// Ends an attempt, by index modulo the number of attempts; other indices work alike.
    EndAttempt {
        index: usize,
        fate: AttemptFate,
    },
    EndAppend {
        index: usize,
        fate: AppendFate,
    },
    AppendDelayed {
        index: usize,
    },
    ReadClaims {
        node: usize,
        count: usize,
    },
    DeliverForward {
        index: usize,
        lost: bool,
    },
    Advance {
        ms: u64,
    },
    Crash {
        node: usize,
    },
    Drain {
        node: usize,
    },
    CallerLeaves {
        index: usize,
    },
}

/// A reference machine without state: every step is possible at any time.
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
        4 => Just(KeyChoice::New),
        4 => (0..16_usize).prop_map(KeyChoice::Repeat),
        1 => Just(KeyChoice::Ticket),
        ];
        let fate = prop_oneof![
        8 => Just(AttemptFate::Completes),
        2 => Just(AttemptFate::CompletesOutOfOrder),
        2 => Just(AttemptFate::SendsFirstPart),
        1 => Just(AttemptFate::OmitsLastPart),
        1 => Just(AttemptFate::FailsAfterRunning),
        1 => Just(AttemptFate::FailsBeforeRunning),
        1 => Just(AttemptFate::NotSent),
        1 => Just(AttemptFate::Refuses),
        1 => Just(AttemptFate::Leaves),
        ];
        let append = prop_oneof![
        6 => Just(AppendFate::Succeeds),
        2 => Just(AppendFate::ResponseLost),
        2 => Just(AppendFate::Delayed),
        1 => Just(AppendFate::Dropped),
        ];
        let submit = (node.clone(), any::<bool>(), key, 1..4_000_u64, any::<bool>());
        prop_oneof![
        8 => submit.prop_map(|(node, effect, key, window_ms, streaming)| {
        Step::Submit { node, effect, key, window_ms, streaming }
        }),
        24 => (index.clone(), fate).prop_map(|(index, fate)| Step::EndAttempt { index, fate }),
        10 => (index.clone(), append).prop_map(|(index, fate)| Step::EndAppend { index, fate }),
        2 => index.clone().prop_map(|index| Step::AppendDelayed { index }),
        16 => (node.clone(), 1..8_usize)
        .prop_map(|(node, count)| Step::ReadClaims { node, count }),
        4 => (index.clone(), prop::bool::weighted(0.2))
        .prop_map(|(index, lost)| Step::DeliverForward { index, lost }),
        4 => prop_oneof![1..50_u64, 50..1_500_u64, 4_000..12_000_u64]
        .prop_map(|ms| Step::Advance { ms }),
        1 => node.clone().prop_map(|node| Step::Crash { node }),
        1 => node.prop_map(|node| Step::Drain { node }),
        1 => index.prop_map(|index| Step::CallerLeaves { index }),
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

/// An attempt that an upstream is working on.
struct Attempt {
    node: usize,
    incarnation: Incarnation,
    dispatch: Dispatch,
}

/// An append that has not taken effect yet.
struct Append {
    node: usize,
    incarnation: Incarnation,
    batch: ClaimBatch,
}

/// A submission that was forwarded but has not reached the owner of its key yet.
struct PendingForward {
    node: usize,
    incarnation: Incarnation,
    forward: Forward,
}

/// The party that waits for an answer under a [`WaiterId`].
#[derive(Clone)]
enum Waiter {
    Caller(Box<Caller>),
    /// Another node, on behalf of its own waiter.
    Node {
        node: usize,
        incarnation: Incarnation,
        waiter: WaiterId,
    },
}

/// A caller, its submission and what it has received.
#[derive(Clone)]
struct Caller {
    submission: Submission,
    effect: bool,
    answer_given: Option<Answer>,
    /// The streamed parts received so far, joined.
    text: String,
}

/// The nodes and their simulated environment.
struct Simulation {
    now: Duration,
    nodes: Vec<Node>,
    /// Records of the claim stream that are still retained.
    log: Vec<ClaimRecord>,
    first_offset: u64,
    delayed_appends: Vec<ClaimBatch>,
    /// Attempts in flight, also of incarnations that have crashed.
    attempts: Vec<Attempt>,
    appends: Vec<Append>,
    forwards: Vec<PendingForward>,
    waiters: BTreeMap<WaiterId, Waiter>,
    /// Keys used so far; `true` if used for the pipeline with a side effect.
    keys: Vec<(RequestKey, bool)>,
    /// Uids of requests of which an upstream ran at least one stage.
    executed_requests: BTreeSet<Uuid>,
    /// Number of times that upstreams ran the side effect, by key.
    effect_runs: BTreeMap<RequestKey, u32>,
    /// Keys whose answer told a caller that the side effect has not run and never will.
    effect_free_keys: BTreeSet<RequestKey>,
    serial: u64,
    /// Callers by the node that they sent their request to.
    callers_by_node: BTreeMap<usize, BTreeSet<WaiterId>>,
    /// Callers that left or whose node crashed, which need not get an answer.
    may_lack_answer: BTreeSet<WaiterId>,
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

/// Returns the output of a stage for an input.
fn output_of(stage: &str, input: &str) -> String {
    format!("{stage}({input})")
}

/// Returns the output of a whole pipeline for an input.
fn expected_output(effect: bool, input: &str) -> String {
    let stages = if effect { ["generate", "post"] } else { ["encode", "generate"] };
    stages.iter().fold(input.to_owned(), |text, stage| output_of(stage, &text))
}

impl Simulation {
    fn new() -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            nodes: Vec::new(),
            log: Vec::new(),
            first_offset: 0,
            delayed_appends: Vec::new(),
            attempts: Vec::new(),
            appends: Vec::new(),
            forwards: Vec::new(),
            waiters: BTreeMap::new(),
            keys: Vec::new(),
            executed_requests: BTreeSet::new(),
            effect_runs: BTreeMap::new(),
            effect_free_keys: BTreeSet::new(),
            serial: 0,
            callers_by_node: BTreeMap::new(),
            may_lack_answer: BTreeSet::new(),
        };
        for node in 0..NODES {
            let new_node = simulation.new_node(node);
            simulation.nodes.push(new_node);
        }
        simulation
    }

    fn next_serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn new_node(&mut self, node: usize) -> Node {
        let incarnation = Incarnation(Uuid::from_u128(u128::from(self.next_serial()) << 64));
        // A restarted node keeps its address.
        let address: SocketAddr = format!("127.0.0.1:{}", 9_000 + node).parse().unwrap();
        let failure_domain = if node == 0 { "a" } else { "b" }.into();
        let identity = Identity { incarnation, address, failure_domain };
        let dispatcher = Dispatcher::new(identity.clone(), settings(), self.serial);
        Node { dispatcher, identity, configured: false }
    }

    /// Returns the time at a node. Wall clocks of neighbouring nodes differ by 100 ms.
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
            self.perform(node, actions);
        }
        let actions = self.nodes[node].dispatcher.handle(now, event);
        self.perform(node, actions);
    }

    fn perform(&mut self, node: usize, actions: Vec<Action>) {
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
                    self.forwards.push(PendingForward { node, incarnation, forward: *forward });
                }
                Action::Log(_) => {}
            }
        }
    }

    fn is_alive(&self, node: usize, incarnation: Incarnation) -> bool {
        self.nodes[node].identity.incarnation == incarnation
    }

    fn cancel(&mut self, node: usize, incarnation: Incarnation, reference: AttemptRef) {
        let is_cancelled = |attempt: &Attempt| {
            attempt.incarnation == incarnation && attempt.dispatch.attempt == reference
        };
        if let Some(index) = self.attempts.iter().position(is_cancelled) {
            let attempt = self.attempts.remove(index);
            assert!(!attempt.dispatch.effect, "a side effect was cancelled");
            self.executed_requests.insert(attempt.dispatch.uid);
            self.handle(
                node,
                Event::AttemptEnded { attempt: reference, end: AttemptEnd::Cancelled },
            );
        }
    }

    fn deliver(&mut self, waiter: WaiterId, part: &str) {
        let Some(Waiter::Caller(caller)) = self.waiters.get_mut(&waiter) else {
            panic!("a part was delivered to a waiter that is not a caller");
        };
        let Caller { submission, effect, answer_given, text } = caller.as_mut();
        assert!(answer_given.is_none(), "a part was delivered after the final answer");
        text.push_str(part);
        let expected = expected_output(*effect, &submission.input);
        assert!(expected.starts_with(text.as_str()), "{text} is not the start of {expected}");
    }

    fn finish(&mut self, waiter: WaiterId, answer: Answer) {
        match self.waiters.get_mut(&waiter) {
            None => panic!("an answer for an unknown waiter"),
            Some(Waiter::Caller(caller)) => {
                let Caller { submission, effect, answer_given, text } = caller.as_mut();
                assert!(answer_given.is_none(), "a caller got a second answer");
                ANSWERS.fetch_add(1, Ordering::Relaxed);
                if let Some(output) = answer.output() {
                    assert_eq!(output.as_ref(), expected_output(*effect, &submission.input));
                    assert!(
                        text.is_empty() || *text == output.as_ref(),
                        "the parts do not add up to the output"
                    );
                }
                *answer_given = Some(answer.clone());
                let (submission, effect) = (submission.clone(), *effect);
                self.check_answer(&submission, effect, &answer);
            }
            Some(Waiter::Node { node, incarnation, waiter }) => {
                let (node, incarnation, waiter) = (*node, *incarnation, *waiter);
                if self.is_alive(node, incarnation) {
                    let owner_answer = OwnerAnswer {
                        code: answer.code(),
                        output: answer.output().cloned(),
                        retry_after_ms: answer.retry_after_ms(),
                    };
                    let answer = Some(owner_answer);
                    self.handle(node, Event::OwnerAnswered { waiter, answer });
                }
            }
        }
    }

    /// Checks that an answer agrees with what the upstreams ran.
    fn check_answer(&mut self, submission: &Submission, effect: bool, answer: &Answer) {
        let class = answer.code().class();
        if class == Class::NotRun {
            assert!(
                !self.executed_requests.contains(&submission.uid),
                "NOT_RUN, but a stage ran: {answer:?}"
            );
        }
        let Some(key) = submission.key.filter(|_| effect) else {
            return;
        };
        let runs = self.effect_runs.get(&key).copied().unwrap_or(0);
        if class == Class::Answered {
            assert_eq!(runs, 1, "answered, but its side effect ran {runs} times");
        }
        // Advice to use a new key means that the old key's side effect has not run and never will.
        if answer.advice() == Some(Advice::NewKey) {
            assert_eq!(runs, 0, "{answer:?}, but its side effect ran");
            self.effect_free_keys.insert(key);
        }
    }

    /// Records that an upstream ran a stage, and checks that no side effect runs twice.
    fn run_stage(&mut self, dispatch: &Dispatch, key: Option<RequestKey>) {
        self.executed_requests.insert(dispatch.uid);
        if !dispatch.effect {
            return;
        }
        let key = key.expect("a side effect has a key");
        EFFECTS.fetch_add(1, Ordering::Relaxed);
        let runs = self.effect_runs.entry(key).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "a side effect ran twice: {key}");
        assert!(
            !self.effect_free_keys.contains(&key),
            "a side effect ran after its caller was told to use a new key: {key}"
        );
    }

    /// Returns the key of a dispatch. The input of a keyed request is its key, so the key is the
    /// innermost part of the stage's nested input.
    fn key_of(&self, dispatch: &Dispatch) -> Option<RequestKey> {
        let innermost = dispatch.input.rsplit('(').next()?.trim_end_matches(')');
        innermost.parse().ok()
    }

    fn end_attempt(&mut self, index: usize, fate: AttemptFate) {
        if self.attempts.is_empty() {
            return;
        }
        let index = index % self.attempts.len();
        let stays_open = matches!(fate, AttemptFate::SendsFirstPart);
        let (node, incarnation) = (self.attempts[index].node, self.attempts[index].incarnation);
        let dispatch = self.attempts[index].dispatch.clone();
        if !stays_open {
            self.attempts.remove(index);
        }
        let runs = !matches!(
            fate,
            AttemptFate::FailsBeforeRunning
                | AttemptFate::NotSent
                | AttemptFate::Refuses
                | AttemptFate::Leaves
                | AttemptFate::SendsFirstPart
        );
        if runs {
            let key = self.key_of(&dispatch);
            self.run_stage(&dispatch, key);
        }
        if stays_open && !dispatch.effect {
            self.executed_requests.insert(dispatch.uid);
        }
        if !self.is_alive(node, incarnation) {
            return;
        }
        let attempt = dispatch.attempt;
        // A first part proves that the stage runs; a side effect that stays open has not begun.
        let parts =
            if stays_open && dispatch.effect { Vec::new() } else { parts_of(&dispatch, fate) };
        if !parts.is_empty() {
            self.handle(node, Event::Parts { attempt, parts });
        }
        let end = match fate {
            AttemptFate::Completes
            | AttemptFate::CompletesOutOfOrder
            | AttemptFate::OmitsLastPart => AttemptEnd::Completed,
            AttemptFate::SendsFirstPart => return,
            AttemptFate::FailsAfterRunning | AttemptFate::FailsBeforeRunning => AttemptEnd::Failed,
            AttemptFate::NotSent => AttemptEnd::NotSent,
            AttemptFate::Refuses => AttemptEnd::Refused,
            AttemptFate::Leaves => AttemptEnd::Leaving,
        };
        // Handling the parts may already have ended the request and this attempt.
        self.handle(node, Event::AttemptEnded { attempt, end });
    }

    fn append_to_log(&mut self, batch: ClaimBatch) {
        let offset = self.first_offset + self.log.len() as u64;
        self.log.push(ClaimRecord { offset, time_ms: self.log_time_ms(), batch: Some(batch) });
    }

    fn end_append(&mut self, index: usize, fate: AppendFate) {
        if self.appends.is_empty() {
            return;
        }
        let append = self.appends.remove(index % self.appends.len());
        let event = match fate {
            AppendFate::Succeeds => {
                self.append_to_log(append.batch);
                Event::ClaimsAppended
            }
            AppendFate::ResponseLost => {
                self.append_to_log(append.batch);
                Event::ClaimsOutcomeUnknown
            }
            AppendFate::Delayed => {
                self.delayed_appends.push(append.batch);
                Event::ClaimsOutcomeUnknown
            }
            AppendFate::Dropped => Event::ClaimsOutcomeUnknown,
        };
        if self.is_alive(append.node, append.incarnation) {
            self.handle(append.node, event);
        }
    }

    fn read_claims(&mut self, node: usize, count: usize) {
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

    fn deliver_forward(&mut self, index: usize, lost: bool) {
        if self.forwards.is_empty() {
            return;
        }
        let pending = self.forwards.remove(index % self.forwards.len());
        let PendingForward { node, incarnation, forward } = pending;
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

    fn submit(
        &mut self,
        node: usize,
        effect: bool,
        key: KeyChoice,
        window_ms: u64,
        streaming: bool,
    ) {
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
            _ => (Some(self.mint_key()), effect),
        };
        if let Some(key) = key {
            self.keys.push((key, effect));
        }
        let waiter = WaiterId(self.next_serial());
        let uid = Uuid::from_u128(u128::from(self.next_serial()));
        // The input is the key, so that a side effect can be traced back to its key.
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
            window_ms: Some(window_ms),
            input,
            prefix: None,
            streaming,
            forwarded: false,
        };
        let (answer_given, text) = (None, String::new());
        let caller = Caller { submission: submission.clone(), effect, answer_given, text };
        let caller = Waiter::Caller(Box::new(caller));
        self.waiters.insert(waiter, caller);
        self.may_lack_answer.remove(&waiter);
        self.handle(node, Event::Submit(submission));
        self.callers_by_node.entry(node).or_default().insert(waiter);
    }

    /// Mints a key whose bits depend only on the run, so that a run can be replayed from its seed.
    fn mint_key(&mut self) -> RequestKey {
        let minted = u128::from(self.log_time_ms()) << 80;
        let version_and_variant = (7 << 76) | (2 << 62);
        let serial = u128::from(self.next_serial());
        RequestKey::Minted(Uuid::from_u128(minted | version_and_variant | serial))
    }

    fn crash(&mut self, node: usize) {
        let waiting = self.callers_by_node.remove(&node).unwrap_or_default();
        self.may_lack_answer.extend(waiting);
        self.nodes[node] = self.new_node(node);
        self.forwards.retain(|pending| pending.node != node);
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
            Step::EndAttempt { index, fate } => self.end_attempt(index, fate),
            Step::EndAppend { index, fate } => self.end_append(index, fate),
            Step::AppendDelayed { index } => {
                if !self.delayed_appends.is_empty() {
                    let batch = self.delayed_appends.remove(index % self.delayed_appends.len());
                    self.append_to_log(batch);
                }
            }
            Step::ReadClaims { node, count } => self.read_claims(node, count),
            Step::DeliverForward { index, lost } => self.deliver_forward(index, lost),
            Step::Advance { ms } => self.advance(ms),
            Step::Crash { node } => self.crash(node),
            Step::Drain { node } => self.handle(node, Event::Drain),
            Step::CallerLeaves { index } => self.caller_leaves(index),
        }
        self.check_keys();
    }

    fn caller_leaves(&mut self, index: usize) {
        let waiting: Vec<_> = self
            .callers_by_node
            .iter()
            .flat_map(|(node, waiters)| waiters.iter().map(|waiter| (*node, *waiter)))
            .collect();
        if waiting.is_empty() {
            return;
        }
        let (node, waiter) = waiting[index % waiting.len()];
        let unanswered = match &self.waiters[&waiter] {
            Waiter::Caller(caller) => caller.answer_given.is_none(),
            Waiter::Node { .. } => false,
        };
        if unanswered {
            self.may_lack_answer.insert(waiter);
            self.handle(node, Event::WaiterLeft(waiter));
        }
    }

    /// Checks that each node's status of a key agrees with what the upstreams ran.
    fn check_keys(&self) {
        for (key, _) in self.keys.iter().filter(|(_, effect)| *effect) {
            let runs = self.effect_runs.get(key).copied().unwrap_or(0);
            let scoped = ScopedKey { workspace: "members".into(), key: *key };
            for node in &self.nodes {
                if let KeyStatus::Ended(answer) = node.dispatcher.key_status(&scoped) {
                    let says_effect_free = answer.advice() == Some(Advice::NewKey);
                    assert!(!says_effect_free || runs == 0, "{answer:?}, but its side effect ran");
                    let answered = answer.code() == ResultCode::Ok;
                    assert!(!answered || runs == 1, "answered, but its side effect did not run");
                }
            }
        }
    }

    /// Completes all outstanding work and checks that every caller got its answer.
    fn settle(&mut self) {
        for _ in 0..SETTLE_ROUNDS {
            self.advance(100);
            while !self.delayed_appends.is_empty() {
                self.step(Step::AppendDelayed { index: 0 });
            }
            while !self.appends.is_empty() {
                self.end_append(0, AppendFate::Succeeds);
            }
            for node in 0..NODES {
                self.read_claims(node, usize::MAX);
            }
            while !self.forwards.is_empty() {
                self.deliver_forward(0, false);
            }
            while !self.attempts.is_empty() {
                self.end_attempt(0, AttemptFate::Completes);
            }
        }
        for node in &self.nodes {
            assert_eq!(node.dispatcher.counters().in_flight, 0);
            assert_eq!(node.dispatcher.relays_in_flight(), 0);
            assert_eq!(node.dispatcher.attempts_in_flight(), 0);
        }
        for (id, waiter) in &self.waiters {
            if let Waiter::Caller(caller) = waiter
                && !self.may_lack_answer.contains(id)
            {
                let Caller { submission, effect, answer_given, text } = caller.as_ref();
                let answer =
                    answer_given.as_ref().unwrap_or_else(|| panic!("no answer: {submission:?}"));
                let streamed = !text.is_empty() && answer.code() == ResultCode::Ok;
                assert!(!streamed || *text == expected_output(*effect, &submission.input));
                if answer.code().class() == Class::NotRun {
                    assert!(
                        !self.executed_requests.contains(&submission.uid),
                        "NOT_RUN, but a stage ran later"
                    );
                }
            }
        }
    }
}

fn parts_of(dispatch: &Dispatch, fate: AttemptFate) -> Vec<EchoedPart> {
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
        AttemptFate::Completes => vec![first, last],
        AttemptFate::CompletesOutOfOrder => {
            let other_attempt =
                EchoedPart { attempt: dispatch.attempt.attempt + 1, ..part(0, "not", false) };
            let other_request =
                EchoedPart { uid: Uuid::from_u128(1 << 100), ..part(0, "me", false) };
            vec![other_attempt, other_request, last.clone(), last, first.clone(), first]
        }
        AttemptFate::SendsFirstPart | AttemptFate::OmitsLastPart => vec![first],
        _ => Vec::new(),
    }
}

struct RandomRun(Simulation);

impl StateMachineTest for RandomRun {
    type SystemUnderTest = Self;
    type Reference = AnyStep;

    fn init_test((): &()) -> Self {
        Self(Simulation::new())
    }

    fn apply(mut state: Self, (): &(), step: Step) -> Self {
        state.0.step(step);
        state
    }

    fn teardown(mut state: Self, (): ()) {
        state.0.settle();
    }
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().expect("must be a number"))
}

#[test]
fn invariants_hold_under_random_faults() {
    let seed = env_number("FERNRING_SEED").unwrap_or(20_261_202);
    let cases = env_number("FERNRING_CASES").map_or(DEFAULT_CASES, |cases| cases as u32);
    let steps = env_number("FERNRING_STEPS").map_or(DEFAULT_STEPS, |steps| steps as usize);
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
        RandomRun::test_sequential(config.clone(), initial, steps, seen);
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
