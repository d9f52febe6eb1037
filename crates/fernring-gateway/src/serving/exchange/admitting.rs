//! Whether a request is taken on: gathers what [`crate::admission`] decides by, and carries it out.

use {
    super::Exchange,
    crate::{
        admission::{Need, StageNeed, Verdict, decide},
        backlog::rank,
        log,
        makers::usual_time,
        pools::MakerPool,
        refusal::Refusal,
    },
    fernring_core::{code::ResultCode, text::LogLine},
    std::{sync::Arc, time::Duration},
};

impl Exchange {
    /// Decides at arrival whether the request is taken on, and promises its stages what they need.
    pub(super) fn admit(&mut self) -> Result<(), Refusal> {
        let stages = self.route.stages.len();
        let is_plain = (0..stages).all(|stage| self.plan.count(stage) == 0);
        if is_plain || !self.serving.rules.get().admission {
            return Ok(());
        }
        let need = self.need();
        let verdict = decide(&need);
        let (name, forecast) = match verdict {
            Verdict::InTime(time) => ("in_time", Some(time)),
            Verdict::Late(time) => ("late", Some(time)),
            Verdict::Refused(_) => ("refused", None),
        };
        let line = LogLine::event("admission")
            .with("request", &self.request.id)
            .with("pipeline", &self.route.name)
            .with("verdict", name)
            .with_some("forecast_ms", forecast.map(|time| time.as_millis()))
            .with("objective_ms", need.objective_left.as_millis());
        log::info(line);
        self.forecast = forecast;
        if let Verdict::Refused(after) = verdict {
            return Err(self.give_up_until(ResultCode::ExpiredInQueue, "overload", after));
        }
        let backlogs = self.serving.stages.backlogs();
        for stage in (0..stages).filter(|stage| self.plan.count(*stage) > 0) {
            let (pieces, spec) = (self.plan.count(stage), self.plan.spec(stage));
            if let Some(pool) = self.pool_of(&spec.service) {
                let promise = backlogs.promise(&pool, need.rank, pieces);
                self.promises.insert(stage, promise);
            }
        }
        Ok(())
    }

    /// Returns the makers that a stage is likely to be asked of.
    fn pool_of(&self, service: &Arc<str>) -> Option<MakerPool> {
        self.serving.stages.pool_for(service, None, &self.request.id, &self.residency)
    }

    fn need(&self) -> Need {
        let held = self.serving.config.borrow().current();
        let now = self.serving.now();
        let stage_need = |stage: usize| {
            let spec = self.plan.spec(stage);
            let pieces = self.plan.count(stage);
            let backlog = self.pool_of(&spec.service);
            let backlog = backlog.and_then(|pool| self.serving.stages.backlog(&pool));
            let service = held.as_ref().and_then(|held| held.config.services.get(&spec.service));
            let shape = service.and_then(|service| service.batch);
            let ahead = backlog.map_or(0, |backlog| backlog.waiting.iter().sum());
            let call_time = shape.map_or(Duration::ZERO, |shape| {
                usual_time(&shape, shape.pieces_max.min((pieces + ahead) as usize))
            });
            StageNeed { after: spec.depends_on.clone(), pieces, backlog, call_time }
        };
        Need {
            rank: rank(self.priority()),
            stages: (0..self.route.stages.len()).map(stage_need).collect(),
            reading_time: self.reading_time(),
            objective_left: self.objective_at.saturating_sub(now),
            time_left: self.hold_until.saturating_sub(now),
        }
    }
}
