//! The stages of a request on its way: what each works on, where, and until when.

use {
    super::Exchange,
    crate::{
        backlog::rank,
        model::{PieceInput, StageSpec},
        owner::{Work, WorkEnd},
        refusal::Refusal,
        stage_plan::StagePlan,
    },
    fernring_core::code::ResultCode,
    futures_util::stream::{FuturesUnordered, StreamExt},
    std::{sync::Arc, time::Duration},
};

/// Wait of a stage for its turn, as a part of a call without pieces.
const TURN_PART: f64 = 0.5;
/// What one piece makes or reads, in bytes, from which on it is placed by failure domain. What
/// less costs between domains is not worth a wait for a maker there.
const NEAR_BYTES_MIN: u64 = 200_000;
/// Times that the stages of a request are made again because results were gone.
const STAGE_ROUNDS_MAX: u32 = 2;

impl Exchange {
    /// Has all stages made.
    ///
    /// # Errors
    /// If they could not be made in time; the request itself has not run.
    pub async fn make_stages(&mut self) -> Result<(), Refusal> {
        self.settle_doubt().await;
        if self.serving.blame.is_turned_away(self.request.content) {
            return Err(self.give_up(ResultCode::EndsUpstreams, ""));
        }
        if let Some(service) = self.evacuated_service() {
            let detail = format!("service {service}");
            return Err(self.give_up(ResultCode::Evacuated, &detail));
        }
        if let Some(service) = self.outside_service() {
            let detail = format!("service {service}");
            return Err(self.give_up(ResultCode::OutsideRegions, &detail));
        }
        if let Some(after) = self.serving.upstreams.limited_for(&self.service, self.rank()) {
            return Err(self.give_up_until(ResultCode::Limited, "", Some(after)));
        }
        self.admit()?;
        self.make_admitted().await
    }

    /// Returns the first service on the request's way whose upstreams are all evacuated, so that it is told at once.
    fn evacuated_service(&self) -> Option<Arc<str>> {
        self.services().find(|service| self.serving.upstreams.is_evacuated(service)).cloned()
    }

    /// Returns the first service on the request's way that has no upstreams in the regions where it may be served.
    fn outside_service(&self) -> Option<Arc<str>> {
        let upstreams = &self.serving.upstreams;
        self.services().find(|service| upstreams.is_outside(service, &self.residency)).cloned()
    }

    /// Lists the services on the request's way.
    fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let used = (0..self.route.stages.len()).filter(|stage| self.plan.count(*stage) > 0);
        let services = used.map(|stage| &self.plan.spec(stage).service);
        services.chain(std::iter::once(&self.service))
    }

    pub(super) async fn make_admitted(&mut self) -> Result<(), Refusal> {
        if self.serving.rules.get().placing && self.plan.makes_any(NEAR_BYTES_MIN) {
            self.home = self.choose_home();
        }
        for _ in 0..STAGE_ROUNDS_MAX {
            match self.run_stages().await {
                WorkEnd::Made(_) => {
                    self.inputs = self.plan.final_handles();
                    return Ok(());
                }
                WorkEnd::InputGone => {
                    self.release_all();
                    let counts = &self.request.fields.piece_counts;
                    self.plan = StagePlan::new(&self.route.stages, counts);
                }
                WorkEnd::TurnedAway => {
                    return Err(self.give_up(ResultCode::NoUpstream, "a stage failed"));
                }
                WorkEnd::Late => return Err(self.give_up(ResultCode::ExpiredInQueue, "stage")),
                WorkEnd::Failed | WorkEnd::OwnerLost | WorkEnd::NoMakers => {
                    let code = if self.evacuated_service().is_some() {
                        ResultCode::Evacuated
                    } else if self.outside_service().is_some() {
                        ResultCode::OutsideRegions
                    } else {
                        ResultCode::NoUpstream
                    };
                    return Err(self.give_up(code, "a stage failed"));
                }
            }
        }
        Err(self.give_up(ResultCode::NoUpstream, "results of stages were lost"))
    }

    async fn run_stages(&mut self) -> WorkEnd {
        let serving = self.serving.clone();
        let lead = self.chain_lead();
        let mut running = FuturesUnordered::new();
        loop {
            for stage in self.plan.start_ready(lead) {
                let Some(work) = self.stage_work(stage) else {
                    return WorkEnd::NoMakers;
                };
                self.promises.remove(&stage);
                let stages = &serving.stages;
                running.push(async move { (stage, stages.run_stage(work).await) });
            }
            let Some((stage, end)) = running.next().await else {
                debug_assert!(self.plan.is_done());
                return WorkEnd::Made(Vec::new());
            };
            match end {
                WorkEnd::Made(handles) => self.plan.finish(stage, handles),
                other => return other,
            }
            for (stage, handles) in self.plan.take_spent() {
                serving.stages.release(&self.plan.spec(stage).service, handles, &self.residency);
            }
        }
    }

    /// Stages by which a chain may be longer than another and both start: one, so that the other is
    /// not what the request waits for in the end. Requests of the lowest rank do without, and
    /// leave the room for results to the others meanwhile.
    fn chain_lead(&self) -> usize {
        if !self.serving.rules.get().made_late {
            return self.route.stages.len();
        }
        let held = self.serving.config.borrow().current();
        let routes = held.iter().flat_map(|held| &held.config.routes);
        let lowest = routes.filter(|route| !route.stages.is_empty()).map(|route| route.priority);
        usize::from(lowest.max().is_some_and(|lowest| self.route.priority < lowest))
    }

    /// Returns the pieces of a stage; `None` if no maker is where the request may be served.
    fn stage_work(&self, stage: usize) -> Option<Work> {
        let spec = self.plan.spec(stage);
        let key = self.request.fields.piece_key.clone().unwrap_or_else(|| Arc::from(""));
        let input = match self.plan.inputs(stage) {
            Some(handles) => PieceInput::Results(handles.into()),
            None => PieceInput::Key(key),
        };
        let near = self.near(stage);
        let pool = self.serving.stages.pool_for(
            &spec.service,
            near.as_ref(),
            &self.request.id,
            &self.residency,
        )?;
        Some(Work {
            pool,
            request_id: self.request.id.clone(),
            content: self.request.content,
            stage: stage as u32,
            pieces: self.plan.count(stage),
            input,
            due_at: self.due_at(stage),
            near,
            deadline_at: self
                .hold_until
                .saturating_sub(self.time_after(stage) + self.reading_time()),
            priority: self.priority(),
            result_bytes: spec.result_bytes,
            residency: self.residency.clone(),
            asker: self.serving.peers.address(),
        })
    }

    /// When a stage's results are due for the first event to be on time.
    fn due_at(&self, stage: usize) -> Duration {
        self.objective_at.saturating_sub(self.time_after(stage) + self.reading_time())
    }

    /// Time that the stages after one take.
    fn time_after(&self, stage: usize) -> Duration {
        let held = self.serving.config.borrow().current();
        let time_of = |spec: &StageSpec, pieces: u32| {
            let service = held.as_ref().and_then(|held| held.config.services.get(&spec.service));
            let Some(shape) = service.and_then(|service| service.batch) else {
                return Duration::ZERO;
            };
            let pieces = pieces.min(shape.pieces_max as u32);
            shape.call_time.mul_f64(1.0 + TURN_PART) + shape.piece_time * pieces
        };
        self.plan.time_after(stage, &time_of)
    }

    /// Time that a model engine needs for the whole prompt.
    pub(super) fn reading_time(&self) -> Duration {
        self.serving.reading.of(&self.service).time_for(self.prompt_tokens())
    }

    /// Failure domain in which a stage's pieces are best made: where its results are read if they
    /// are large, else where the results lie that each piece reads, if those are.
    fn near(&self, stage: usize) -> Option<Arc<str>> {
        if !self.serving.rules.get().placing {
            return None;
        }
        let spec = self.plan.spec(stage);
        if spec.result_bytes >= NEAR_BYTES_MIN {
            return self.home.as_ref().map(|home| home.failure_domain.clone());
        }
        let inputs = self.plan.inputs_by_stage(stage);
        let bytes: u64 = inputs.iter().map(|(bytes, handles)| bytes * handles.len() as u64).sum();
        if bytes < NEAR_BYTES_MIN {
            return None;
        }
        let largest = inputs.iter().max_by_key(|(bytes, handles)| bytes * handles.len() as u64);
        largest.and_then(|(_, handles)| self.serving.upstreams.domain_of(handles))
    }

    /// Returns the request's rank as an index.
    pub(super) fn rank(&self) -> usize {
        rank(self.priority())
    }

    pub(super) fn priority(&self) -> u32 {
        let of_workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        of_workspace.unwrap_or(self.route.priority)
    }
}
