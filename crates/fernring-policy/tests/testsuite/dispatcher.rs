//! Single decisions of the dispatcher, each in a short scripted scenario.

use {
    fernring_core::{
        catalog::{Catalog, Pipeline, Stage, Upstream, UpstreamKind, Workspace},
        claim::{ClaimBatch, ClaimEntry, ClaimKind, ClaimPage, ClaimRecord},
        clock::{Clock, ManualClock},
        code::{Class, ResultCode},
        ids::{Incarnation, RequestKey, ScopedKey, WaiterId},
    },
    fernring_policy::{
        answer::Answer,
        assembly::ResponsePart,
        dispatcher::{Dispatcher, Identity},
        event::{
            Action, AttemptEnd, Dispatch, EchoedPart, Event, Forward, OwnerAnswer, Submission,
        },
        settings::{PolicyMode, PolicySettings},
        upstreams::UpstreamReport,
    },
    std::{sync::Arc, time::Duration},
    uuid::{NoContext, Timestamp, Uuid},
};

const START_MS: u64 = 1_800_000_000_000;
const POOL_SIZE: usize = 4;

/// Drives one dispatcher with a manual clock and collects its actions.
///
/// The catalog has a pure pipeline (`pure`: encode, generate) and one with a side effect
/// (`letter`: generate, post), each stage expected to take 100 ms.
struct Harness {
    dispatcher: Dispatcher,
    clock: ManualClock,
    last_waiter: u64,
    actions: Vec<Action>,
}

fn catalog(concurrency: u32, limit_per_s: u64) -> Catalog {
    let stage = |name: &str, effect| Stage {
        name: name.to_owned(),
        pool: name.to_owned(),
        effect,
        expected_ms: 100,
        cost_milli_per_s: 0,
    };
    let pipeline = |stages| Pipeline { stages, default_window_ms: 1_000, max_window_ms: 10_000 };
    let mut catalog = Catalog::default();
    let pure = pipeline(vec![stage("encode", false), stage("generate", false)]);
    let letter = pipeline(vec![stage("generate", false), stage("post", true)]);
    catalog.pipelines.insert("pure".to_owned(), Arc::new(pure));
    catalog.pipelines.insert("letter".to_owned(), Arc::new(letter));
    let workspace = Workspace { weight: 1, limit_per_s, pipelines: Vec::new() };
    for name in ["members", "press"] {
        catalog.workspaces.insert(name.to_owned(), Arc::new(workspace.clone()));
    }
    for pool in ["encode", "generate", "post"] {
        for index in 0..POOL_SIZE {
            let kind = if pool == "generate" { UpstreamKind::Engine } else { UpstreamKind::Plain };
            let upstream = Upstream {
                pool: pool.to_owned(),
                failure_domain: if index < 2 { "a" } else { "b" }.to_owned(),
                address: format!("127.0.0.1:{}", 1 + index).parse().unwrap(),
                kind,
                concurrency,
                checks_fencing: false,
                draining: false,
            };
            catalog.upstreams.insert(format!("{pool}-{index}"), Arc::new(upstream));
        }
    }
    catalog
}

impl Harness {
    fn new(settings: PolicySettings, catalog: Catalog) -> Self {
        let identity = Identity {
            incarnation: incarnation(1),
            address: "127.0.0.1:7000".parse().unwrap(),
            failure_domain: "a".into(),
        };
        let clock = ManualClock::at_unix_ms(START_MS);
        let dispatcher = Dispatcher::new(identity, settings, 7);
        let mut harness = Self { dispatcher, clock, last_waiter: 0, actions: Vec::new() };
        harness.handle(Event::Configured(Arc::new(catalog)));
        harness
    }

    fn handle(&mut self, event: Event) {
        let actions = self.dispatcher.handle(self.clock.now(), event);
        self.actions.extend(actions);
    }

    fn advance(&mut self, ms: u64) {
        self.clock.advance(Duration::from_millis(ms));
        self.handle(Event::Tick);
    }

    fn submit(&mut self, pipeline: &str, key: Option<RequestKey>, window_ms: u64) -> WaiterId {
        self.submit_for("members", pipeline, key, window_ms)
    }

    fn submit_for(
        &mut self,
        workspace: &str,
        pipeline: &str,
        key: Option<RequestKey>,
        window_ms: u64,
    ) -> WaiterId {
        self.last_waiter += 1;
        let waiter = WaiterId(self.last_waiter);
        self.handle(Event::Submit(Submission {
            waiter,
            uid: Uuid::from_u128(u128::from(self.last_waiter)),
            pipeline: pipeline.to_owned(),
            workspace: workspace.into(),
            key,
            non_idempotent: false,
            window_ms: Some(window_ms),
            input: "x".into(),
            prefix: None,
            streaming: false,
            forwarded: false,
        }));
        waiter
    }

    /// Removes and returns the dispatches collected since the last call.
    fn take_dispatches(&mut self) -> Vec<Dispatch> {
        let mut taken = Vec::new();
        self.actions.retain(|action| match action {
            Action::Dispatch(dispatch) => {
                taken.push(dispatch.clone());
                false
            }
            _ => true,
        });
        taken
    }

    fn complete(&mut self, dispatch: &Dispatch) {
        let part = EchoedPart {
            uid: dispatch.uid,
            stage: dispatch.attempt.stage,
            attempt: dispatch.attempt.attempt,
            part: ResponsePart { sequence: 0, text: "y".into(), last: true },
        };
        self.handle(Event::Parts { attempt: dispatch.attempt, parts: vec![part] });
        self.end_attempt(dispatch, AttemptEnd::Completed);
    }

    fn end_attempt(&mut self, dispatch: &Dispatch, end: AttemptEnd) {
        self.handle(Event::AttemptEnded { attempt: dispatch.attempt, end });
    }

    fn answer(&self, waiter: WaiterId) -> Option<Answer> {
        self.actions.iter().find_map(|action| match action {
            Action::Finish { waiter: answered, answer } if *answered == waiter => {
                Some(answer.clone())
            }
            _ => None,
        })
    }

    fn answer_code(&self, waiter: WaiterId) -> Option<ResultCode> {
        self.answer(waiter).map(|answer| answer.code())
    }

    fn is_cancelled(&self, dispatch: &Dispatch) -> bool {
        let cancel = Action::Cancel(dispatch.attempt);
        self.actions.contains(&cancel)
    }

    /// Returns the number of records appended to the claim stream so far.
    fn append_count(&self) -> usize {
        self.actions.iter().filter(|action| matches!(action, Action::AppendClaims(_))).count()
    }

    fn first_forward(&self) -> Option<Forward> {
        self.actions.iter().find_map(|action| match action {
            Action::Forward(forward) => Some(forward.as_ref().clone()),
            _ => None,
        })
    }

    fn read_claim(&mut self, owner: u8, key: RequestKey, kind: ClaimKind) {
        let scoped = ScopedKey { workspace: "members".into(), key };
        let batch = ClaimBatch {
            incarnation: incarnation(owner),
            address: "127.0.0.1:7001".parse().unwrap(),
            entries: vec![ClaimEntry { key: scoped, kind }],
        };
        let offset = self.dispatcher.claim_view().next_offset();
        let time_ms = self.clock.now().wall_ms();
        let record = ClaimRecord { offset, time_ms, batch: Some(batch) };
        self.handle(Event::ClaimsRead(ClaimPage {
            from: offset,
            first_offset: 0,
            next_offset: offset + 1,
            time_ms,
            records: vec![record],
        }));
    }
}

fn incarnation(number: u8) -> Incarnation {
    Incarnation(Uuid::from_u128(u128::from(number)))
}

fn minted_key() -> RequestKey {
    RequestKey::Minted(Uuid::new_v7(Timestamp::from_unix(NoContext, START_MS / 1_000, 0)))
}

fn default_harness() -> Harness {
    Harness::new(PolicySettings::default(), catalog(4, 0))
}

#[test]
fn relayed_not_run_becomes_failed_after_stages_ran() {
    let mut harness = default_harness();
    let key = minted_key();
    let waiter = harness.submit("letter", Some(key), 1_000);
    assert_eq!(
        harness.take_dispatches().len(),
        1,
        "the stage without a side effect is sent before the claim is decided"
    );
    harness.read_claim(2, key, ClaimKind::Claim);
    let forward = harness.first_forward().unwrap();
    assert_eq!((forward.waiter, forward.incarnation), (waiter, incarnation(2)));
    let code = ResultCode::KeySpent;
    let answer = Some(OwnerAnswer { code, output: None, retry_after_ms: Some(0) });
    harness.handle(Event::OwnerAnswered { waiter, answer });
    assert_eq!(harness.answer_code(waiter), Some(ResultCode::KeyEnded));
    assert_eq!(ResultCode::KeyEnded.class(), Class::Failed);
}

#[test]
fn late_request_is_refused_on_arrival() {
    let mut harness = default_harness();
    let waiter = harness.submit("pure", None, 150);
    let answer = harness.answer(waiter).unwrap();
    assert_eq!(answer.code(), ResultCode::WouldBeLate);
    assert!(answer.retry_after_ms().unwrap() > 0);
    assert!(harness.take_dispatches().is_empty());

    let settings = PolicySettings { mode: PolicyMode::Baseline, ..PolicySettings::default() };
    let mut baseline = Harness::new(settings, catalog(4, 0));
    baseline.submit("pure", None, 150);
    assert_eq!(baseline.take_dispatches().len(), 1);
}

#[test]
fn admission_counts_accepted_work() {
    let mut harness = Harness::new(PolicySettings::default(), catalog(1, 0));
    let mut refused = 0;
    for _ in 0..40 {
        let waiter = harness.submit("pure", None, 1_000);
        refused += usize::from(harness.answer_code(waiter) == Some(ResultCode::WouldBeLate));
    }
    // With two slots in the own failure domain and 100 ms per stage, about twenty fit into a
    // second.
    assert!((15..=25).contains(&refused), "{refused} of 40 refused");
}

#[test]
fn expired_queued_request_is_reported_not_run() {
    let settings = PolicySettings { admission: false, ..PolicySettings::default() };
    let mut harness = Harness::new(settings, catalog(1, 0));
    let waiters: Vec<_> = (0..6).map(|_| harness.submit("pure", None, 500)).collect();
    assert_eq!(harness.take_dispatches().len(), 3, "two in the own failure domain, one spilled");
    harness.advance(500);
    assert_eq!(harness.answer_code(waiters[0]), Some(ResultCode::WindowEnded));
    assert_eq!(harness.answer_code(waiters[5]), Some(ResultCode::ExpiredInQueue));
}

#[test]
fn straggler_gets_one_hedge_and_loser_is_cancelled() {
    let mut harness = default_harness();
    let waiter = harness.submit("pure", None, 10_000);
    let first = harness.take_dispatches().pop().unwrap();
    harness.advance(300);
    let hedge = harness.take_dispatches().pop().expect("a hedge");
    assert_ne!(first.address, hedge.address);
    harness.advance(3_000);
    assert!(harness.take_dispatches().is_empty(), "a second hedge");
    harness.complete(&hedge);
    assert!(harness.is_cancelled(&first));
    harness.complete(&first);
    let next = harness.take_dispatches();
    assert_eq!(next.len(), 1, "the superseded attempt started the next stage again");
    harness.complete(&next[0]);
    assert_eq!(harness.answer_code(waiter), Some(ResultCode::Ok));
    assert_eq!(harness.dispatcher.counters().parts_late, 0);
    let costs: Vec<_> = harness.dispatcher.costs().rows().map(|(_, cost)| *cost).collect();
    assert!(costs.iter().any(|cost| cost.hedged_ms > 0.0), "{costs:?}");
    assert!(costs.iter().all(|cost| cost.abandoned_ms == 0.0), "{costs:?}");
}

#[test]
fn losing_last_stage_hedge_costs_as_hedge() {
    let mut harness = default_harness();
    harness.submit("pure", None, 10_000);
    let encode = harness.take_dispatches().pop().unwrap();
    harness.complete(&encode);
    let first = harness.take_dispatches().pop().unwrap();
    harness.advance(300);
    let hedge = harness.take_dispatches().pop().expect("a hedge");
    harness.complete(&first);
    harness.end_attempt(&hedge, AttemptEnd::Cancelled);
    let costs: Vec<_> = harness.dispatcher.costs().rows().map(|(_, cost)| *cost).collect();
    assert!(costs.iter().all(|cost| cost.abandoned_ms == 0.0), "{costs:?}");
}

#[test]
fn side_effect_is_never_hedged_retried_or_cancelled() {
    let mut harness = default_harness();
    let key = minted_key();
    let waiter = harness.submit("letter", Some(key), 5_000);
    harness.read_claim(1, key, ClaimKind::Claim);
    let generate = harness.take_dispatches().pop().unwrap();
    harness.complete(&generate);
    let post = harness.take_dispatches().pop().unwrap();
    assert!(post.effect);
    harness.advance(4_900);
    assert!(harness.take_dispatches().is_empty());
    harness.advance(200);
    assert_eq!(harness.answer_code(waiter), Some(ResultCode::EffectUnknown));
    assert!(!harness.is_cancelled(&post));
    harness.end_attempt(&post, AttemptEnd::Failed);
    assert!(harness.take_dispatches().is_empty());
    let again = harness.submit("letter", Some(key), 5_000);
    assert_eq!(
        harness.answer_code(again),
        Some(ResultCode::EffectUnknown),
        "the final answer of a key never changes"
    );
}

#[test]
fn unsent_side_effect_is_sent_to_another_upstream() {
    let mut harness = default_harness();
    let key = minted_key();
    let waiter = harness.submit("letter", Some(key), 5_000);
    harness.read_claim(1, key, ClaimKind::Claim);
    let generate = harness.take_dispatches().pop().unwrap();
    harness.complete(&generate);
    for end in [AttemptEnd::NotSent, AttemptEnd::Leaving, AttemptEnd::Refused] {
        let post = harness.take_dispatches().pop().unwrap();
        harness.end_attempt(&post, end);
    }
    let post = harness.take_dispatches().pop().unwrap();
    harness.complete(&post);
    assert_eq!(harness.answer_code(waiter), Some(ResultCode::Ok));
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let settings = PolicySettings {
        eject_after_failures: 1,
        retry_budget_percent: 100,
        hedging: false,
        ..PolicySettings::default()
    };
    let mut harness = Harness::new(settings, catalog(4, 0));
    for _ in 0..20 {
        harness.submit("pure", None, 10_000);
        for dispatch in harness.take_dispatches() {
            harness.end_attempt(&dispatch, AttemptEnd::Failed);
        }
    }
    let ejected = harness.actions.iter().filter(|action| match action {
        Action::Log(line) => line.to_string().starts_with("event=eject"),
        _ => false,
    });
    assert_eq!(ejected.count(), POOL_SIZE / 2);
}

#[test]
fn retries_stay_within_their_budget() {
    let settings = PolicySettings { hedging: false, ..PolicySettings::default() };
    let mut harness = Harness::new(settings, catalog(100, 0));
    for _ in 0..1_000 {
        harness.submit("pure", None, 10_000);
        for dispatch in harness.take_dispatches() {
            harness.end_attempt(&dispatch, AttemptEnd::Failed);
        }
        for retry in harness.take_dispatches() {
            harness.end_attempt(&retry, AttemptEnd::Failed);
        }
    }
    let counters = harness.dispatcher.counters();
    let allowed = counters.first_attempts / 10 + 10;
    assert!(counters.retries <= allowed, "{counters:?}");
    assert!(counters.retries * 2 >= allowed, "{counters:?}");
}

#[test]
fn leaving_upstream_gets_no_attempts() {
    let mut harness = default_harness();
    for name in ["encode-0", "encode-1", "encode-2"] {
        let report = UpstreamReport { upstream: name.to_owned(), load: 0, leaving: true };
        harness.handle(Event::UpstreamsReported(vec![report]));
    }
    for _ in 0..4 {
        harness.submit("pure", None, 10_000);
    }
    let dispatches = harness.take_dispatches();
    assert_eq!(dispatches.len(), 4);
    assert!(dispatches.iter().all(|dispatch| dispatch.address.port() == 4), "{dispatches:?}");
    let report = UpstreamReport { upstream: "encode-3".to_owned(), load: 0, leaving: true };
    harness.handle(Event::UpstreamsReported(vec![report]));
    let waiter = harness.submit("pure", None, 10_000);
    assert_eq!(harness.answer_code(waiter), Some(ResultCode::NoUpstream));
}

#[test]
fn workspace_over_limit_gets_retry_after() {
    let mut harness = Harness::new(PolicySettings::default(), catalog(100, 10));
    let waiters: Vec<_> = (0..20).map(|_| harness.submit("pure", None, 10_000)).collect();
    let over: Vec<_> = waiters
        .iter()
        .filter_map(|waiter| harness.answer(*waiter))
        .filter(|answer| answer.code() == ResultCode::OverLimit)
        .collect();
    assert_eq!(over.len(), 15, "a burst of half a second's requests is admitted at once");
    let wait_ms = over[0].retry_after_ms().unwrap();
    assert!((1..=100).contains(&wait_ms), "{wait_ms}");
    harness.advance(wait_ms + 50);
    let waiter = harness.submit("pure", None, 10_000);
    assert_eq!(
        harness.answer(waiter),
        None,
        "the request is accepted after the reported retry time"
    );
}

#[test]
fn draining_node_refuses_new_and_finishes_old_requests() {
    let mut harness = default_harness();
    let old = harness.submit("pure", None, 10_000);
    harness.handle(Event::Drain);
    let new = harness.submit("pure", None, 10_000);
    assert_eq!(harness.answer_code(new), Some(ResultCode::NotReady));
    for _ in 0..2 {
        let dispatch = harness.take_dispatches().pop().unwrap();
        harness.complete(&dispatch);
    }
    assert_eq!(harness.answer_code(old), Some(ResultCode::Ok));
}

#[test]
fn requests_of_one_prefix_stay_on_one_engine() {
    let mut harness = default_harness();
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..5 {
        harness.submit("letter", Some(minted_key()), 10_000);
        let generate = harness.take_dispatches().pop().unwrap();
        seen.insert(generate.address);
        harness.complete(&generate);
    }
    assert_eq!(seen.len(), 1, "{seen:?}");
}

#[test]
fn stuck_stage_blocks_only_its_own_requests() {
    let settings = PolicySettings { admission: false, ..PolicySettings::default() };
    let mut harness = Harness::new(settings, catalog(1, 0));
    for _ in 0..50 {
        harness.submit("pure", None, 10_000);
    }
    let stuck = harness.take_dispatches();
    assert!(stuck.iter().all(|dispatch| dispatch.stage_name == "encode"));
    for _ in 0..POOL_SIZE {
        harness.submit("letter", Some(minted_key()), 10_000);
    }
    let free = harness.take_dispatches();
    assert_eq!(free.len(), 3, "two in the own failure domain, one spilled");
    assert!(free.iter().all(|dispatch| dispatch.stage_name == "generate"));
}

#[test]
fn flooding_workspace_does_not_get_another_refused() {
    let mut harness = Harness::new(PolicySettings::default(), catalog(1, 0));
    for _ in 0..100 {
        harness.submit_for("press", "pure", None, 1_000);
    }
    let flooded = harness.submit_for("press", "pure", None, 1_000);
    assert_eq!(harness.answer_code(flooded), Some(ResultCode::WouldBeLate));
    let small = harness.submit_for("members", "pure", None, 1_000);
    assert_eq!(harness.answer_code(small), None);
    // The request of the small workspace is also the next in the queue.
    let first = harness.take_dispatches().remove(0);
    harness.complete(&first);
    let next: Vec<_> = harness.take_dispatches().into_iter().map(|dispatch| dispatch.uid).collect();
    assert!(next.contains(&Uuid::from_u128(u128::from(small.0))), "{next:?}");
}

#[test]
fn node_uses_its_share_of_a_pool() {
    let settings = PolicySettings { share_headroom_percent: 100, ..PolicySettings::default() };
    let mut harness = Harness::new(settings, catalog(6, 0));
    harness.dispatcher.set_peers(3, &[]);
    for _ in 0..20 {
        harness.submit("pure", None, 10_000);
    }
    // In the own failure domain, 2 upstreams of 6 slots are shared by 3 nodes: 4 slots each. The
    // other domain adds a quarter of that.
    assert_eq!(harness.take_dispatches().len(), 4 + 1);
}

#[test]
fn busy_upstream_gets_no_hedge() {
    let mut harness = default_harness();
    harness.submit("pure", None, 10_000);
    harness.take_dispatches();
    for index in 0..POOL_SIZE {
        let upstream = format!("encode-{index}");
        let report = UpstreamReport { upstream, load: 4, leaving: false };
        harness.handle(Event::UpstreamsReported(vec![report]));
    }
    harness.advance(300);
    assert!(harness.take_dispatches().is_empty());
}

#[test]
fn claims_within_interval_share_an_append() {
    let mut harness = default_harness();
    harness.submit("letter", Some(minted_key()), 10_000);
    assert_eq!(harness.append_count(), 1, "the first claim is appended at once");
    harness.handle(Event::ClaimsAppended);
    for _ in 0..10 {
        harness.submit("letter", Some(minted_key()), 10_000);
    }
    assert_eq!(harness.append_count(), 1, "later claims wait for the append interval");
    harness.advance(60);
    assert_eq!(harness.append_count(), 2);
    let entries = harness.actions.iter().rev().find_map(|action| match action {
        Action::AppendClaims(batch) => Some(batch.entries.len()),
        _ => None,
    });
    assert_eq!(entries, Some(10));
}

#[test]
fn not_sent_after_a_part_is_a_failure() {
    let mut harness = default_harness();
    let waiter = harness.submit("pure", None, 500);
    let encode = harness.take_dispatches().pop().unwrap();
    let part = EchoedPart {
        uid: encode.uid,
        stage: encode.attempt.stage,
        attempt: encode.attempt.attempt,
        part: ResponsePart { sequence: 0, text: "y".into(), last: false },
    };
    harness.handle(Event::Parts { attempt: encode.attempt, parts: vec![part] });
    harness.end_attempt(&encode, AttemptEnd::NotSent);
    for retry in harness.take_dispatches() {
        harness.end_attempt(&retry, AttemptEnd::NotSent);
    }
    harness.advance(500);
    assert_eq!(harness.answer(waiter).unwrap().code().class(), Class::Late);
}

/// At twice what the pools complete, requests with a short window and patient ones of the same
/// workspace are each answered at least half as often as all.
#[test]
fn requests_with_a_short_window_starve_beside_patient_ones() {
    const WINDOWS_MS: [u64; 2] = [1_000, 8_000];
    const STAGE_MS: u64 = 100;
    let mut harness = Harness::new(PolicySettings::default(), catalog(1, 0));
    let mut waiters = WINDOWS_MS.map(|_| Vec::new());
    let mut running: Vec<(u64, Dispatch)> = Vec::new();
    for now_ms in (0..30_000).step_by(25) {
        for (window_ms, waiters) in WINDOWS_MS.iter().zip(&mut waiters) {
            if now_ms < 20_000 {
                waiters.push(harness.submit("pure", None, *window_ms));
            }
        }
        for (_, dispatch) in running.extract_if(.., |(ends_ms, _)| *ends_ms <= now_ms) {
            harness.complete(&dispatch);
        }
        let started = harness.take_dispatches();
        running.extend(started.into_iter().map(|dispatch| (now_ms + STAGE_MS, dispatch)));
        harness.advance(25);
    }
    let answered = |waiter: &&WaiterId| harness.answer_code(**waiter) == Some(ResultCode::Ok);
    let shares = waiters
        .each_ref()
        .map(|waiters| waiters.iter().filter(answered).count() as f64 / waiters.len() as f64);
    let all = (shares[0] + shares[1]) / 2.0;
    assert!(all < 0.75, "the load is no crowd: {all} are answered");
    for (share, window_ms) in shares.into_iter().zip(WINDOWS_MS) {
        assert!(share >= all / 2.0, "window {window_ms} ms: {share:.2} answered, of all {all:.2}");
    }
}
