//! Admits requests: collects the inputs of the decision in [`crate::admission`] and carries the
//! decision out.

use {
    super::Exchange,
    crate::{
        admission::{AdmissionDecision, RequestDemand, StageDemand, decide, decide_limited},
        backlog::rank_index,
        log,
        model::short_hash,
        refusal::Refusal,
        request_size::SizeBand,
        retry_after::RetryForecast,
        retry_schedule::RefusedRequest,
        slack::QueueKey,
        stage_shares::{LimitedRequest, PoolPieces},
        telemetry,
        worker_pools::WorkerPool,
        workers::expected_call_time,
        workspace_demands::WorkspaceRank,
    },
    fernring_core::{code::ResultCode, text::LogLine},
    rand::RngExt,
    std::{sync::Arc, time::Duration},
};

impl Exchange {
    /// Decides at arrival whether the request is admitted, and reserves capacity for its stages.
    pub(super) fn admit(&mut self) -> Result<(), Refusal> {
        let demand = self.admission_demand();
        let processing_time = demand.processing_time();
        let size = SizeBand::new(processing_time, self.route.objective);
        self.size = Some(size);
        telemetry::record_size(&self.route.name, size, "offered");
        let stages = self.route.stages.len();
        let has_no_pieces = (0..stages).all(|stage| self.plan.piece_count(stage) == 0);
        if has_no_pieces || !self.serving.decide_settings.get().admission {
            telemetry::record_size(&self.route.name, size, "admitted");
            return Ok(());
        }
        let has_shares = self.serving.stages.shares().is_enabled();
        let path = if has_shares { self.path() } else { Vec::new() };
        let limit = if has_shares { self.limit_by_share(&path) } else { None };
        let mean_slack = self.mean_slack(&demand);
        let decision = match &limit {
            Some(limit) => decide_limited(&demand, mean_slack, limit.is_admitted),
            None => decide(&demand, mean_slack),
        };
        self.due_at = self.serving.now() + demand.due_time();
        let (name, forecast) = match decision {
            AdmissionDecision::InTime(time) => ("in_time", Some(time)),
            AdmissionDecision::Late(time) => ("late", Some(time)),
            AdmissionDecision::Refused(_) => ("refused", None),
        };
        let line = LogLine::event("admission")
            .with("request", &self.request.id)
            .with("pipeline", &self.route.name)
            .with("rank", demand.rank)
            .with("verdict", name)
            .with_some("forecast_ms", forecast.map(|time| time.as_millis()))
            .with("objective_ms", demand.objective_left.as_millis())
            .with("prompt_tokens", self.prompt_tokens())
            .with("prefill_ms", demand.prefill_time.as_millis())
            .with("processing_ms", processing_time.as_millis())
            .with("due_ms", demand.due_time().as_millis())
            .with("mean_slack_ms", mean_slack.as_millis())
            .with_some("in_rank_ms", demand.time_in_rank().map(|time| time.as_millis()))
            .with_some("share", limit.as_ref().map(|l| format!("{:.3}", l.binding.share)))
            .with_some("short_service", limit.as_ref().map(|limit| &limit.pool))
            .with_some("is_workspace_share", limit.as_ref().map(|l| l.binding.is_of_workspace))
            .with_some("share_age_ms", limit.as_ref().map(|l| l.binding.age.as_millis()));
        log::info(line);
        let is_refused = matches!(decision, AdmissionDecision::Refused(_));
        if has_shares {
            let shares = self.serving.stages.shares();
            shares.record_decision(self.serving.now(), demand.rank, &path, !is_refused);
        }
        self.forecast_time = forecast;
        if let AdmissionDecision::Refused(after) = decision {
            let scheduled = limit.as_ref().and_then(|limit| self.scheduled_retry(limit, &path));
            let forecast = after.map_or(RetryForecast::Unknown, RetryForecast::DrainedAfter);
            let forecast = scheduled.unwrap_or(forecast);
            return Err(self.refusal_with_forecast(
                ResultCode::ExpiredInQueue,
                "overload",
                forecast,
            ));
        }
        telemetry::record_size(&self.route.name, size, "admitted");
        let backlogs = self.serving.stages.backlogs();
        for stage in (0..stages).filter(|stage| self.plan.piece_count(*stage) > 0) {
            let (pieces, spec) = (self.plan.piece_count(stage), self.plan.spec(stage));
            if let Some(pool) = self.likely_pool(&spec.service) {
                let reservation = backlogs.reserve(&pool, demand.rank, pieces);
                self.reservations.insert(stage, reservation);
            }
        }
        Ok(())
    }

    /// Returns the mean slack at the service that the request waits for longest, and records its own
    /// at the services of all its stages.
    fn mean_slack(&self, demand: &RequestDemand) -> Duration {
        let slacks = &self.serving.mean_slacks;
        let key = |stage: usize| {
            let service = self.plan.spec(stage).service.clone();
            QueueKey { service, rank: demand.rank }
        };
        // Its own slack must not count for or against it.
        let mean = demand.longest_wait_stage().and_then(|stage| slacks.mean(&key(stage)));
        for (stage, part) in demand.stages.iter().enumerate().filter(|(_, part)| part.pieces > 0) {
            slacks.record(self.serving.now(), key(stage), part.pieces, demand.slack());
        }
        mean.unwrap_or_else(|| demand.slack())
    }

    /// Lists the pieces of the request's stages, by the pools that they are likely to use.
    fn path(&self) -> Vec<PoolPieces> {
        let used = (0..self.route.stages.len()).filter(|stage| self.plan.piece_count(*stage) > 0);
        let at_pool = |stage| {
            let pool = self.likely_pool(&self.plan.spec(stage).service)?;
            Some(PoolPieces { pool, pieces: self.plan.piece_count(stage) })
        };
        used.filter_map(at_pool).collect()
    }

    /// Returns the share that limits the request, if any of its services is short.
    fn limit_by_share(&self, path: &[PoolPieces]) -> Option<LimitedRequest> {
        let stages = &self.serving.stages;
        stages.update_owned_shares(path.iter().map(|part| &part.pool));
        let draw = rand::rng().random_range(0.0..1.0);
        let now = self.serving.now();
        let limit = stages.shares().limit_request(
            now,
            &self.route.name,
            self.workspace_rank(),
            path,
            draw,
        )?;
        telemetry::record_share_age(&limit.pool.service, limit.binding.age);
        Some(limit)
    }

    /// Schedules the retry of a request that is refused, at the pool that limits it.
    fn scheduled_retry(
        &self,
        limit: &LimitedRequest,
        path: &[PoolPieces],
    ) -> Option<RetryForecast> {
        let part = path.iter().find(|part| part.pool == limit.pool)?;
        let refused = RefusedRequest {
            rank: self.rank(),
            pieces: part.pieces,
            time_left: self.caller_time_left(),
        };
        let draw = rand::rng().random_range(0.0..1.0);
        let shares = self.serving.stages.shares();
        let now = self.serving.now();
        let retry = shares.schedule_retry(now, &self.request.id, &part.pool, &refused, draw)?;
        Some(RetryForecast::Scheduled(retry.after))
    }

    /// Returns the workspace and rank of the request; those without a workspace count as one.
    fn workspace_rank(&self) -> WorkspaceRank {
        let name = self.workspace.as_ref().map_or("", |workspace| &workspace.name);
        WorkspaceRank { workspace_hash: short_hash(name), rank: self.rank() }
    }

    /// Returns the worker pool that a stage of this service is likely to use.
    fn likely_pool(&self, service: &Arc<str>) -> Option<WorkerPool> {
        self.serving.stages.pool_for(service, None, &self.request.id, &self.residency)
    }

    pub(super) fn admission_demand(&self) -> RequestDemand {
        let current = self.serving.config.borrow().current();
        let now = self.serving.now();
        let stage_demand = |stage: usize| {
            let spec = self.plan.spec(stage);
            let pieces = self.plan.piece_count(stage);
            let backlog = self.likely_pool(&spec.service);
            let backlog = backlog.and_then(|pool| self.serving.stages.backlog(&pool));
            let service =
                current.as_ref().and_then(|current| current.config.services.get(&spec.service));
            let batch_config = service.and_then(|service| service.batch);
            let waiting = backlog.map_or(0, |backlog| backlog.waiting.iter().sum());
            let call_time = |pieces: usize| {
                batch_config.map_or(Duration::ZERO, |batch_config| {
                    let pieces = pieces.min(batch_config.pieces_max);
                    expected_call_time(&batch_config, pieces)
                })
            };
            StageDemand {
                depends_on: spec.depends_on.clone(),
                pieces,
                backlog,
                call_time: call_time((pieces + waiting) as usize),
                full_call_time: call_time(usize::MAX),
            }
        };
        RequestDemand {
            rank: rank_index(self.priority()),
            stages: (0..self.route.stages.len()).map(stage_demand).collect(),
            prefill_time: self.prefill_time(),
            objective_left: (self.arrived_at + self.route.objective).saturating_sub(now),
            time_left: self.patience_ends_at.saturating_sub(now),
        }
    }
}
