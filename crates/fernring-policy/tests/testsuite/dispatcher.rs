//! The dispatcher's decisions one at a time.

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
        event::{Action, AttemptEnd, Dispatch, EchoedPart, Event, Forward, OwnerAnswer, Submission},
        settings::{PolicyMode, PolicySettings},
        upstreams::UpstreamReport,
    },
    std::{sync::Arc, time::Duration},
    uuid::{NoContext, Timestamp, Uuid},
};

const START_MS: u64 = 1_800_000_000_000;
const POOL_SIZE: usize = 4;

/// A dispatcher with a pure pipeline (`pure`: encode, generate) and one with a side effect
/// (`letter`: generate, post), each stage expected to take 100 ms.
struct Bench {
    dispatcher: Dispatcher,
    clock: ManualClock,
    waiters: u64,
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

impl Bench {
    fn new(settings: PolicySettings, catalog: Catalog) -> Self {
        let identity = Identity {
            incarnation: incarnation(1),
            address: "127.0.0.1:7000".parse().unwrap(),
            failure_domain: "a".into(),
        };
        let clock = ManualClock::at_unix_ms(START_MS);
        let dispatcher = Dispatcher::new(identity, settings, 7);
        let mut bench = Self { dispatcher, clock, waiters: 0, actions: Vec::new() };
        bench.handle(Event::Configured(Arc::new(catalog)));
        bench
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
        self.waiters += 1;
        let waiter = WaiterId(self.waiters);
        self.handle(Event::Submit(Submission {
            waiter,
            uid: Uuid::from_u128(u128::from(self.waiters)),
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

    /// Takes the dispatches that have not been taken yet.
    fn dispatches(&mut self) -> Vec<Dispatch> {
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
        self.end(dispatch, AttemptEnd::Completed);
    }

    fn end(&mut self, dispatch: &Dispatch, end: AttemptEnd) {
        self.handle(Event::AttemptEnded { attempt: dispatch.attempt, end });
    }

    fn answer(&self, waiter: WaiterId) -> Option<Answer> {
        self.actions.iter().find_map(|action| match action {
            Action::Finish { waiter: told, answer } if *told == waiter => Some(answer.clone()),
            _ => None,
        })
    }

    fn code(&self, waiter: WaiterId) -> Option<ResultCode> {
        self.answer(waiter).map(|answer| answer.code())
    }

    fn cancelled(&self, dispatch: &Dispatch) -> bool {
        let cancel = Action::Cancel(dispatch.attempt);
        self.actions.contains(&cancel)
    }

    /// Counts the records handed over for the claim stream so far.
    fn appends(&self) -> usize {
        self.actions.iter().filter(|action| matches!(action, Action::AppendClaims(_))).count()
    }

    fn forward(&self) -> Option<Forward> {
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

fn key() -> RequestKey {
    RequestKey::Minted(Uuid::new_v7(Timestamp::from_unix(NoContext, START_MS / 1_000, 0)))
}

fn usual() -> Bench {
    Bench::new(PolicySettings::default(), catalog(4, 0))
}

#[test]
fn a_node_that_ran_stages_does_not_pass_not_run_on() {
    let mut bench = usual();
    let key = key();
    let waiter = bench.submit("letter", Some(key), 1_000);
    assert_eq!(bench.dispatches().len(), 1, "the stage without side effect runs meanwhile");
    bench.read_claim(2, key, ClaimKind::Claim);
    let forward = bench.forward().unwrap();
    assert_eq!((forward.waiter, forward.incarnation), (waiter, incarnation(2)));
    let code = ResultCode::KeySpent;
    let answer = Some(OwnerAnswer { code, output: None, retry_after_ms: Some(0) });
    bench.handle(Event::OwnerAnswered { waiter, answer });
    assert_eq!(bench.code(waiter), Some(ResultCode::KeyEnded));
    assert_eq!(ResultCode::KeyEnded.class(), Class::Failed);
}

#[test]
fn a_request_that_can_not_finish_in_time_is_refused_at_once() {
    let mut bench = usual();
    let waiter = bench.submit("pure", None, 150);
    let answer = bench.answer(waiter).unwrap();
    assert_eq!(answer.code(), ResultCode::WouldBeLate);
    assert!(answer.retry_after_ms().unwrap() > 0);
    assert!(bench.dispatches().is_empty());

    let settings = PolicySettings { mode: PolicyMode::Baseline, ..PolicySettings::default() };
    let mut baseline = Bench::new(settings, catalog(4, 0));
    baseline.submit("pure", None, 150);
    assert_eq!(baseline.dispatches().len(), 1);
}

#[test]
fn admission_counts_the_work_already_accepted() {
    let mut bench = Bench::new(PolicySettings::default(), catalog(1, 0));
    let mut refused = 0;
    for _ in 0..40 {
        let waiter = bench.submit("pure", None, 1_000);
        refused += usize::from(bench.code(waiter) == Some(ResultCode::WouldBeLate));
    }
    // Two slots in the own failure domain, 100 ms each: about twenty fit into a second.
    assert!((15..=25).contains(&refused), "{refused} of 40 refused");
}

#[test]
fn a_window_that_ends_while_a_request_waits_says_that_it_was_not_run() {
    let settings = PolicySettings { admission: false, ..PolicySettings::default() };
    let mut bench = Bench::new(settings, catalog(1, 0));
    let waiters: Vec<_> = (0..6).map(|_| bench.submit("pure", None, 500)).collect();
    assert_eq!(bench.dispatches().len(), 3, "two in the own failure domain, one spilled");
    bench.advance(500);
    assert_eq!(bench.code(waiters[0]), Some(ResultCode::WindowEnded));
    assert_eq!(bench.code(waiters[5]), Some(ResultCode::ExpiredInQueue));
}

#[test]
fn a_straggler_gets_one_hedge_and_the_loser_is_cancelled() {
    let mut bench = usual();
    let waiter = bench.submit("pure", None, 10_000);
    let first = bench.dispatches().pop().unwrap();
    bench.advance(300);
    let hedge = bench.dispatches().pop().expect("a hedge");
    assert_ne!(first.address, hedge.address);
    bench.advance(3_000);
    assert!(bench.dispatches().is_empty(), "a second hedge");
    bench.complete(&hedge);
    assert!(bench.cancelled(&first));
    bench.complete(&first);
    let next = bench.dispatches();
    assert_eq!(next.len(), 1, "the late loser started the next stage again");
    bench.complete(&next[0]);
    assert_eq!(bench.code(waiter), Some(ResultCode::Ok));
    assert_eq!(bench.dispatcher.counters().parts_late, 0);
    let costs: Vec<_> = bench.dispatcher.costs().rows().map(|(_, cost)| *cost).collect();
    assert!(costs.iter().any(|cost| cost.hedged_ms > 0.0), "{costs:?}");
    assert!(costs.iter().all(|cost| cost.abandoned_ms == 0.0), "{costs:?}");
}

#[test]
fn a_hedge_that_loses_at_the_last_stage_is_counted_as_a_hedge() {
    let mut bench = usual();
    bench.submit("pure", None, 10_000);
    let encode = bench.dispatches().pop().unwrap();
    bench.complete(&encode);
    let first = bench.dispatches().pop().unwrap();
    bench.advance(300);
    let hedge = bench.dispatches().pop().expect("a hedge");
    bench.complete(&first);
    bench.end(&hedge, AttemptEnd::Cancelled);
    let costs: Vec<_> = bench.dispatcher.costs().rows().map(|(_, cost)| *cost).collect();
    assert!(costs.iter().all(|cost| cost.abandoned_ms == 0.0), "{costs:?}");
}

#[test]
fn a_side_effect_is_neither_hedged_nor_retried_nor_cancelled() {
    let mut bench = usual();
    let key = key();
    let waiter = bench.submit("letter", Some(key), 5_000);
    bench.read_claim(1, key, ClaimKind::Claim);
    let generate = bench.dispatches().pop().unwrap();
    bench.complete(&generate);
    let post = bench.dispatches().pop().unwrap();
    assert!(post.effect);
    bench.advance(4_900);
    assert!(bench.dispatches().is_empty());
    bench.advance(200);
    assert_eq!(bench.code(waiter), Some(ResultCode::EffectUnknown));
    assert!(!bench.cancelled(&post));
    bench.end(&post, AttemptEnd::Failed);
    assert!(bench.dispatches().is_empty());
    let again = bench.submit("letter", Some(key), 5_000);
    assert_eq!(bench.code(again), Some(ResultCode::EffectUnknown), "the word never changes");
}

#[test]
fn a_side_effect_that_never_left_this_node_is_sent_to_another_upstream() {
    let mut bench = usual();
    let key = key();
    let waiter = bench.submit("letter", Some(key), 5_000);
    bench.read_claim(1, key, ClaimKind::Claim);
    let generate = bench.dispatches().pop().unwrap();
    bench.complete(&generate);
    for end in [AttemptEnd::NotSent, AttemptEnd::Leaving, AttemptEnd::Refused] {
        let post = bench.dispatches().pop().unwrap();
        bench.end(&post, end);
    }
    let post = bench.dispatches().pop().unwrap();
    bench.complete(&post);
    assert_eq!(bench.code(waiter), Some(ResultCode::Ok));
}

#[test]
fn a_failing_upstream_is_ejected_but_never_more_than_half_of_a_pool() {
    let settings = PolicySettings {
        eject_after_failures: 1,
        retry_budget_percent: 100,
        hedging: false,
        ..PolicySettings::default()
    };
    let mut bench = Bench::new(settings, catalog(4, 0));
    for _ in 0..20 {
        bench.submit("pure", None, 10_000);
        for dispatch in bench.dispatches() {
            bench.end(&dispatch, AttemptEnd::Failed);
        }
    }
    let ejected = bench.actions.iter().filter(|action| match action {
        Action::Log(line) => line.to_string().starts_with("event=eject"),
        _ => false,
    });
    assert_eq!(ejected.count(), POOL_SIZE / 2);
}

#[test]
fn retries_stay_within_their_budget() {
    let settings = PolicySettings { hedging: false, ..PolicySettings::default() };
    let mut bench = Bench::new(settings, catalog(100, 0));
    for _ in 0..1_000 {
        bench.submit("pure", None, 10_000);
        for dispatch in bench.dispatches() {
            bench.end(&dispatch, AttemptEnd::Failed);
        }
        for retry in bench.dispatches() {
            bench.end(&retry, AttemptEnd::Failed);
        }
    }
    let counters = bench.dispatcher.counters();
    let allowed = counters.first_attempts / 10 + 10;
    assert!(counters.retries <= allowed, "{counters:?}");
    assert!(counters.retries * 2 >= allowed, "{counters:?}");
}

#[test]
fn an_upstream_that_reports_that_it_leaves_gets_nothing_more() {
    let mut bench = usual();
    for name in ["encode-0", "encode-1", "encode-2"] {
        let report = UpstreamReport { upstream: name.to_owned(), load: 0, leaving: true };
        bench.handle(Event::UpstreamsReported(vec![report]));
    }
    for _ in 0..4 {
        bench.submit("pure", None, 10_000);
    }
    let dispatches = bench.dispatches();
    assert_eq!(dispatches.len(), 4);
    assert!(dispatches.iter().all(|dispatch| dispatch.address.port() == 4), "{dispatches:?}");
    let report = UpstreamReport { upstream: "encode-3".to_owned(), load: 0, leaving: true };
    bench.handle(Event::UpstreamsReported(vec![report]));
    let waiter = bench.submit("pure", None, 10_000);
    assert_eq!(bench.code(waiter), Some(ResultCode::NoUpstream));
}

#[test]
fn a_workspace_over_its_limit_is_told_when_to_come_back() {
    let mut bench = Bench::new(PolicySettings::default(), catalog(100, 10));
    let waiters: Vec<_> = (0..20).map(|_| bench.submit("pure", None, 10_000)).collect();
    let over: Vec<_> = waiters
        .iter()
        .filter_map(|waiter| bench.answer(*waiter))
        .filter(|answer| answer.code() == ResultCode::OverLimit)
        .collect();
    assert_eq!(over.len(), 15, "half a second's worth at once");
    let wait_ms = over[0].retry_after_ms().unwrap();
    assert!((1..=100).contains(&wait_ms), "{wait_ms}");
    bench.advance(wait_ms + 50);
    let waiter = bench.submit("pure", None, 10_000);
    assert_eq!(bench.answer(waiter), None, "it is served after the time it was told");
}

#[test]
fn a_draining_node_refuses_new_requests_and_finishes_old_ones() {
    let mut bench = usual();
    let old = bench.submit("pure", None, 10_000);
    bench.handle(Event::Drain);
    let new = bench.submit("pure", None, 10_000);
    assert_eq!(bench.code(new), Some(ResultCode::NotReady));
    for _ in 0..2 {
        let dispatch = bench.dispatches().pop().unwrap();
        bench.complete(&dispatch);
    }
    assert_eq!(bench.code(old), Some(ResultCode::Ok));
}

#[test]
fn requests_of_one_prefix_stay_on_one_engine_while_it_has_room() {
    let mut bench = usual();
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..5 {
        bench.submit("letter", Some(key()), 10_000);
        let generate = bench.dispatches().pop().unwrap();
        seen.insert(generate.address);
        bench.complete(&generate);
    }
    assert_eq!(seen.len(), 1, "{seen:?}");
}

#[test]
fn a_stage_that_is_stuck_holds_up_only_its_own_requests() {
    let settings = PolicySettings { admission: false, ..PolicySettings::default() };
    let mut bench = Bench::new(settings, catalog(1, 0));
    for _ in 0..50 {
        bench.submit("pure", None, 10_000);
    }
    let stuck = bench.dispatches();
    assert!(stuck.iter().all(|dispatch| dispatch.stage_name == "encode"));
    for _ in 0..POOL_SIZE {
        bench.submit("letter", Some(key()), 10_000);
    }
    let free = bench.dispatches();
    assert_eq!(free.len(), 3, "two in the own failure domain, one spilled");
    assert!(free.iter().all(|dispatch| dispatch.stage_name == "generate"));
}

#[test]
fn a_flood_of_one_workspace_does_not_get_another_refused() {
    let mut bench = Bench::new(PolicySettings::default(), catalog(1, 0));
    for _ in 0..100 {
        bench.submit_for("press", "pure", None, 1_000);
    }
    let flooded = bench.submit_for("press", "pure", None, 1_000);
    assert_eq!(bench.code(flooded), Some(ResultCode::WouldBeLate));
    let small = bench.submit_for("members", "pure", None, 1_000);
    assert_eq!(bench.code(small), None);
    // It is also next in the queue.
    let first = bench.dispatches().remove(0);
    bench.complete(&first);
    let next: Vec<_> = bench.dispatches().into_iter().map(|dispatch| dispatch.uid).collect();
    assert!(next.contains(&Uuid::from_u128(u128::from(small.0))), "{next:?}");
}

#[test]
fn a_node_uses_its_share_of_a_pool() {
    let settings = PolicySettings { share_headroom_percent: 100, ..PolicySettings::default() };
    let mut bench = Bench::new(settings, catalog(6, 0));
    bench.dispatcher.set_peers(3, &[]);
    for _ in 0..20 {
        bench.submit("pure", None, 10_000);
    }
    // Two upstreams of 6 in the own failure domain over 3 nodes, and a quarter of that elsewhere.
    assert_eq!(bench.dispatches().len(), 4 + 1);
}

#[test]
fn a_busy_upstream_gets_no_hedge() {
    let mut bench = usual();
    bench.submit("pure", None, 10_000);
    bench.dispatches();
    for index in 0..POOL_SIZE {
        let upstream = format!("encode-{index}");
        let report = UpstreamReport { upstream, load: 4, leaving: false };
        bench.handle(Event::UpstreamsReported(vec![report]));
    }
    bench.advance(300);
    assert!(bench.dispatches().is_empty());
}

#[test]
fn claims_that_come_close_together_share_an_append() {
    let mut bench = usual();
    bench.submit("letter", Some(key()), 10_000);
    assert_eq!(bench.appends(), 1, "the first claim goes at once");
    bench.handle(Event::ClaimsAppended);
    for _ in 0..10 {
        bench.submit("letter", Some(key()), 10_000);
    }
    assert_eq!(bench.appends(), 1, "the next ones wait for the interval");
    bench.advance(60);
    assert_eq!(bench.appends(), 2);
    let entries = bench.actions.iter().rev().find_map(|action| match action {
        Action::AppendClaims(batch) => Some(batch.entries.len()),
        _ => None,
    });
    assert_eq!(entries, Some(10));
}

#[test]
fn an_upstream_that_sent_a_part_can_not_say_that_it_ran_nothing() {
    let mut bench = usual();
    let waiter = bench.submit("pure", None, 500);
    let encode = bench.dispatches().pop().unwrap();
    let part = EchoedPart {
        uid: encode.uid,
        stage: encode.attempt.stage,
        attempt: encode.attempt.attempt,
        part: ResponsePart { sequence: 0, text: "y".into(), last: false },
    };
    bench.handle(Event::Parts { attempt: encode.attempt, parts: vec![part] });
    bench.end(&encode, AttemptEnd::NotSent);
    for retry in bench.dispatches() {
        bench.end(&retry, AttemptEnd::NotSent);
    }
    bench.advance(500);
    assert_eq!(bench.answer(waiter).unwrap().code().class(), Class::Late);
}
