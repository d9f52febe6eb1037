//! Runs the stages of a request: determines the input, the failure domain and the deadline of each
//! stage.

use {
    super::Exchange,
    crate::{
        backlog::rank_index,
        model::{PieceInput, StageSpec},
        owner::{Work, WorkOutcome},
        refusal::Refusal,
        stage_plan::StagePlan,
    },
    fernring_core::code::ResultCode,
    futures_util::stream::{FuturesUnordered, StreamExt},
    std::{sync::Arc, time::Duration},
};

/// Expected queueing time of a stage, as a share of the time of a call without pieces.
const QUEUE_WAIT_SHARE: f64 = 0.5;
/// Bytes that one piece reads or produces from which on it is placed by failure domain. The
/// transfer of less data between domains costs less than the wait for a worker in a particular
/// domain.
const PLACED_BYTES_MIN: u64 = 200_000;
/// Time after the deadline of a stage within which its owner reports that it has expired.
const EXPIRY_MARGIN: Duration = Duration::from_millis(80);
/// Most runs of the stages of a request; they are run again when results were lost.
const STAGE_RUNS_MAX: u32 = 2;

impl Exchange {
    /// Admits the request and runs all of its stages.
    ///
    /// # Errors
    /// If the request is refused or its stages were not completed in time; the request itself has
    /// not run.
    pub async fn admit_and_run_stages(&mut self) -> Result<(), Refusal> {
        self.wait_for_quarantine_decision().await;
        if self.serving.crash_attribution.is_quarantined(&self.traits) {
            return Err(self.refusal_for(ResultCode::EndsUpstreams, ""));
        }
        if self.serving.upstreams.connector().is_isolated() {
            return Err(self.refusal_for(ResultCode::NoUpstream, "no path to any upstream"));
        }
        if let Some(service) = self.evacuated_service() {
            let detail = format!("service {service}");
            return Err(self.refusal_for(ResultCode::Evacuated, &detail));
        }
        if let Some(service) = self.service_outside_regions() {
            let detail = format!("service {service}");
            return Err(self.refusal_for(ResultCode::OutsideRegions, &detail));
        }
        if let Some(forecast) = self.serving.upstreams.throttled_until(&self.service, self.rank()) {
            return Err(self.refusal_with_forecast(ResultCode::Limited, "", forecast));
        }
        self.admit()?;
        self.run_admitted_stages().await
    }

    /// Returns the first service needed by the request whose upstreams are all evacuated, so that
    /// the caller is answered at once.
    fn evacuated_service(&self) -> Option<Arc<str>> {
        self.services().find(|service| self.serving.upstreams.is_evacuated(service)).cloned()
    }

    /// Returns the first service needed by the request that has no upstreams in the regions where
    /// the request may be served.
    fn service_outside_regions(&self) -> Option<Arc<str>> {
        let upstreams = &self.serving.upstreams;
        self.services()
            .find(|service| upstreams.is_outside_regions(service, &self.residency))
            .cloned()
    }

    /// Lists the services needed by the request: those of its stages, then the one that answers it.
    fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        let used = (0..self.route.stages.len()).filter(|stage| self.plan.piece_count(*stage) > 0);
        let services = used.map(|stage| &self.plan.spec(stage).service);
        services.chain(std::iter::once(&self.service))
    }

    pub(super) async fn run_admitted_stages(&mut self) -> Result<(), Refusal> {
        if self.serving.decide_settings.get().placing
            && self.plan.produces_large_results(PLACED_BYTES_MIN)
        {
            self.home = self.choose_home();
        }
        for _ in 0..STAGE_RUNS_MAX {
            match self.run_stages_unless_quarantined().await {
                WorkOutcome::Completed(_) => {
                    self.inputs = self.plan.final_handles();
                    return Ok(());
                }
                WorkOutcome::InputGone => {
                    self.release_results();
                    let counts = &self.request.fields.piece_counts;
                    self.plan = StagePlan::new(&self.route.stages, counts);
                    self.renew_due_time();
                }
                WorkOutcome::Quarantined => {
                    return Err(self.refusal_for(ResultCode::NoUpstream, "a stage failed"));
                }
                WorkOutcome::Late if self.is_ended_by_shutdown() => {
                    return Err(self.refusal_without_time("stage"));
                }
                WorkOutcome::Late => {
                    return Err(self.refusal_for(ResultCode::ExpiredInQueue, "stage"));
                }
                WorkOutcome::Failed | WorkOutcome::OwnerLost | WorkOutcome::NoWorkers => {
                    let code = if self.evacuated_service().is_some() {
                        ResultCode::Evacuated
                    } else if self.service_outside_regions().is_some() {
                        ResultCode::OutsideRegions
                    } else {
                        ResultCode::NoUpstream
                    };
                    return Err(self.refusal_for(code, "a stage failed"));
                }
            }
        }
        Err(self.refusal_for(ResultCode::NoUpstream, "the results of stages were lost"))
    }

    /// Sets when the first event is due if all stages run again now. With the due time of the first
    /// run they would be late from the start, behind those of all other requests.
    pub(super) fn renew_due_time(&mut self) {
        self.due_at = self.serving.now() + self.admission_demand().due_time();
    }

    async fn run_stages_unless_quarantined(&mut self) -> WorkOutcome {
        let (serving, traits) = (self.serving.clone(), self.traits.clone());
        tokio::select! {
            outcome = self.run_stages_once() => outcome,
            () = serving.crash_attribution.wait_until_quarantined(&traits) => {
                WorkOutcome::Quarantined
            }
        }
    }

    async fn run_stages_once(&mut self) -> WorkOutcome {
        let serving = self.serving.clone();
        let lead = self.chain_lead();
        let mut running = FuturesUnordered::new();
        loop {
            for stage in self.plan.start_ready(lead) {
                let Some(work) = self.stage_work(stage) else {
                    return WorkOutcome::NoWorkers;
                };
                self.reservations.remove(&stage);
                let serving = &serving;
                let expires_at = work.deadline_at + EXPIRY_MARGIN;
                running.push(async move {
                    let outcome = serving.stages.run_stage(work);
                    let outcome = serving.complete_by(expires_at, outcome).await;
                    (stage, outcome.unwrap_or(WorkOutcome::Late))
                });
            }
            let Some((stage, outcome)) = running.next().await else {
                debug_assert!(self.plan.is_done());
                return WorkOutcome::Completed(Vec::new());
            };
            match outcome {
                WorkOutcome::Completed(handles) => self.plan.finish(stage, handles),
                other => return other,
            }
            for (stage, handles) in self.plan.take_consumed() {
                serving.stages.release(&self.plan.spec(stage).service, handles, &self.residency);
            }
        }
    }

    /// Returns by how many stages a chain may be shorter than the longest one and still start with
    /// it: one, so that the request doesn't wait for the shorter chain in the end. Zero for
    /// requests of the lowest rank, which leaves the capacity for results to other requests
    /// meanwhile. If stages aren't delayed at all, the number of stages.
    fn chain_lead(&self) -> usize {
        if !self.serving.decide_settings.get().made_late {
            return self.route.stages.len();
        }
        let current = self.serving.config.borrow().current();
        let routes = current.iter().flat_map(|current| &current.config.routes);
        let lowest = routes.filter(|route| !route.stages.is_empty()).map(|route| route.priority);
        usize::from(lowest.max().is_some_and(|lowest| self.route.priority < lowest))
    }

    /// Returns the work of a stage; `None` if there is no worker where the request may be served.
    fn stage_work(&self, stage: usize) -> Option<Work> {
        let spec = self.plan.spec(stage);
        let key = self.request.fields.piece_key.clone().unwrap_or_else(|| Arc::from(""));
        let input = match self.plan.input_handles(stage) {
            Some(handles) => PieceInput::Results(handles.into()),
            None => PieceInput::Key(key),
        };
        let consumer_domain = self.consumer_domain(stage);
        let pool = self.serving.stages.pool_for(
            &spec.service,
            consumer_domain.as_ref(),
            &self.request.id,
            &self.residency,
        )?;
        Some(Work {
            pool,
            request_id: self.request.id.clone(),
            fingerprint: self.request.fingerprint,
            stage: stage as u32,
            pieces: self.plan.piece_count(stage),
            input,
            due_at: self.stage_due_at(stage),
            consumer_domain,
            deadline_at: self
                .patience_ends_at
                .saturating_sub(self.time_after(stage) + self.prefill_time()),
            priority: self.priority(),
            result_bytes: spec.result_bytes,
            residency: self.residency.clone(),
            requester: self.serving.peers.address(),
            is_resubmitted: false,
        })
    }

    /// Returns when the results of a stage are due for the first event to come when it is due.
    fn stage_due_at(&self, stage: usize) -> Duration {
        self.due_at.saturating_sub(self.time_after(stage) + self.prefill_time())
    }

    /// Returns the expected time of the stages that follow a stage.
    fn time_after(&self, stage: usize) -> Duration {
        let current = self.serving.config.borrow().current();
        let time_of = |spec: &StageSpec, pieces: u32| {
            let service =
                current.as_ref().and_then(|current| current.config.services.get(&spec.service));
            let Some(batch_config) = service.and_then(|service| service.batch) else {
                return Duration::ZERO;
            };
            let pieces = pieces.min(batch_config.pieces_max as u32);
            batch_config.call_time.mul_f64(1.0 + QUEUE_WAIT_SHARE)
                + batch_config.piece_time * pieces
        };
        self.plan.time_after(stage, &time_of)
    }

    /// Returns the time that a model engine needs for the prefill of the whole prompt.
    pub(super) fn prefill_time(&self) -> Duration {
        self.serving.prefill_speeds.for_service(&self.service).time_for(self.prompt_tokens())
    }

    /// Returns the preferred failure domain for the pieces of a stage: the domain where the results
    /// are read if they are large, or else the domain that stores the inputs if these are large.
    fn consumer_domain(&self, stage: usize) -> Option<Arc<str>> {
        if !self.serving.decide_settings.get().placing {
            return None;
        }
        let spec = self.plan.spec(stage);
        if spec.result_bytes >= PLACED_BYTES_MIN {
            return self.home.as_ref().map(|home| home.failure_domain.clone());
        }
        let inputs = self.plan.inputs_by_stage(stage);
        let bytes: u64 = inputs.iter().map(|(bytes, handles)| bytes * handles.len() as u64).sum();
        if bytes < PLACED_BYTES_MIN {
            return None;
        }
        let largest = inputs.iter().max_by_key(|(bytes, handles)| bytes * handles.len() as u64);
        largest.and_then(|(_, handles)| self.serving.upstreams.domain_with_most_results(handles))
    }

    /// Returns the rank of the request's priority, as an index.
    pub(super) fn rank(&self) -> usize {
        rank_index(self.priority())
    }

    pub(super) fn priority(&self) -> u32 {
        let own_priority = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        own_priority.unwrap_or(self.route.priority)
    }
}
