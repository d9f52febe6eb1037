//! Chooses the upstream of a request from what this node knows of all upstreams.

use {
    super::Exchange,
    crate::{
        engine_speeds::are_unequal,
        log,
        prefill_budget::{EngineChoice, EngineDemand, STREAM_TOKENS, choose_engine},
        rollout::orders::AdmittedVersions,
        selection::{Candidate, PromptDemand, choose, choose_model},
        telemetry,
        upstreams::Target,
    },
    fernring_core::text::LogLine,
    std::time::Duration,
};

/// Share of the time left until the first event is due that prefill may take. The rest is for load unknown
/// to this node: requests of other nodes since their last heartbeat.
const PREFILL_SHARE: f64 = 0.7;
/// The unit of time of the prefill speed in log lines.
const ONE_MS: Duration = Duration::from_millis(1);
const ONE_SECOND: Duration = Duration::from_secs(1);

/// An upstream that was chosen.
pub(super) struct Chosen {
    pub(super) target: Target,
    /// Expected tokens to prefill, for a model engine.
    pub(super) tokens: Option<f64>,
    /// The choice by speed, if that is enabled.
    pub(super) by_speed: Option<EngineChoice>,
    /// Speed of the upstream relative to the average of its service.
    pub(super) relative_speed: f64,
}

impl Exchange {
    /// Chooses the upstream for the next send.
    pub(super) fn choose(&self) -> Option<Chosen> {
        let (chosen, candidates) = self.choose_among_candidates()?;
        self.log_choice("routed", &chosen, &candidates);
        if let Some(choice) = chosen.by_speed {
            telemetry::record_engine_choice(&self.service, choice.reason.name());
            self.record_prompt();
        }
        Some(chosen)
    }

    /// Chooses the upstream whose failure domain is to store the results. Nothing is sent to it
    /// yet.
    pub(super) fn choose_home(&self) -> Option<Target> {
        let (chosen, candidates) = self.choose_among_candidates()?;
        self.log_choice("home_chosen", &chosen, &candidates);
        Some(chosen.target)
    }

    /// Returns whether there is an upstream for a further send.
    pub(super) fn has_candidate(&self) -> bool {
        self.choose_among_candidates().is_some()
    }

    fn choose_among_candidates(&self) -> Option<(Chosen, Vec<Candidate>)> {
        let upstreams = &self.serving.upstreams;
        let is_unreachable = |domain: &str| self.serving.peers.is_domain_unreachable(domain);
        let untried = |candidate: &Candidate| !self.tried.contains(&candidate.key);
        let rank = self.rank();
        let candidates = upstreams.candidates(
            self.serving.now(),
            &self.service,
            rank,
            &self.residency,
            is_unreachable,
        );
        let candidates: Vec<_> = candidates.into_iter().filter(untried).collect();
        let mut candidates = match self.required_version() {
            Some(_) => self.filter_by_origin(candidates),
            None => self.filter_by_record(self.filter_by_version(candidates)),
        };
        let mut by_speed = None;
        let (key, tokens) = match self.prompt_demand() {
            Some(demand) if self.chooses_by_speed(&mut candidates) => {
                let choice =
                    choose_engine(&candidates, self.engine_demand(demand), rand::random())?;
                by_speed = Some(choice);
                (choice.key, Some(choice.tokens_ahead + choice.own_tokens))
            }
            Some(demand) => {
                let choice = choose_model(&candidates, demand)?;
                (choice.key, Some(choice.tokens))
            }
            None => (choose(&candidates, rand::random())?, None),
        };
        let target = upstreams.target(key)?;
        let chosen = candidates.iter().find(|candidate| candidate.key == key);
        let relative_speed =
            chosen.filter(|_| by_speed.is_some()).map_or(1.0, |c| c.relative_speed);
        Some((Chosen { target, tokens, by_speed, relative_speed }, candidates))
    }

    fn record_prompt(&self) {
        if let Some(demand) = self.prompt_demand() {
            let mut demands = self.serving.prefix_demands.borrow_mut();
            demands.record_prompt(self.serving.now(), demand.prefix, demand.uncached_tokens);
        }
    }

    /// Sets the relative speeds of the candidates; returns whether these are chosen by speed.
    fn chooses_by_speed(&self, candidates: &mut [Candidate]) -> bool {
        if !self.serving.decide_settings.get().load_control.engine_speeds {
            return false;
        }
        self.serving.upstreams.set_relative_speeds(self.serving.now(), candidates);
        let speeds: Vec<_> = candidates.iter().map(|candidate| candidate.relative_speed).collect();
        are_unequal(&speeds)
    }

    fn engine_demand(&self, prompt: PromptDemand) -> EngineDemand {
        let current = self.serving.config.borrow().current();
        let services = current.as_ref().map(|current| &current.config.services);
        let service = services.and_then(|services| services.get(&self.service));
        let now = self.serving.now();
        let speed = self.serving.prefill_speeds.for_service(&self.service);
        let homes = self.serving.prefix_demands.borrow().homes_needed(
            now,
            prompt.prefix,
            self.serving.peers.node_count(),
            speed.tokens_in(ONE_SECOND),
        );
        EngineDemand {
            prompt,
            time_left: self.due_at.saturating_sub(now).mul_f64(PREFILL_SHARE),
            pause_max: service.and_then(|service| service.event_gap_objective),
            usual_pause: self.serving.prefill_pauses.for_service(&self.service),
            speed,
            homes,
        }
    }

    /// Keeps the candidates of the version that was drawn for the request while a version is being
    /// rolled out. Repeated sends go to the other versions.
    fn filter_by_version(&self, candidates: Vec<Candidate>) -> Vec<Candidate> {
        let Some(admitted) = self.serving.upstreams.admits(&self.service) else {
            return candidates;
        };
        let (destination, others): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(|candidate| candidate.is_rollout_target);
        if destination.is_empty() {
            return others;
        }
        let is_first = self.tried.is_empty();
        match admitted {
            // Even if there are no others, a version that may be bad gets no more than its share.
            AdmittedVersions::Share(_) if is_first && self.draw_for_rollout() => destination,
            AdmittedVersions::Share(_) => others,
            AdmittedVersions::DestinationFirst if !is_first && !others.is_empty() => others,
            _ => destination,
        }
    }

    /// Returns whether the request was drawn for the version that is being rolled out; draws on the
    /// first call.
    fn draw_for_rollout(&self) -> bool {
        self.is_drawn_for_rollout.get().unwrap_or_else(|| {
            let is_drawn = self.serving.rollouts.sample_destination(&self.service);
            self.is_drawn_for_rollout.set(Some(is_drawn));
            is_drawn
        })
    }

    fn log_choice(&self, event: &'static str, choice: &Chosen, candidates: &[Candidate]) {
        let target = &choice.target;
        let by_speed = choice.by_speed;
        let chosen = candidates.iter().find(|candidate| candidate.key == target.key);
        let is_home = self.home.as_ref().is_some_and(|home| home.key == target.key);
        let age = self.serving.upstreams.records_age(self.serving.now());
        let line = LogLine::event(event)
            .with("request", &self.request.id)
            .with("pipeline", &self.route.name)
            .with_some("workspace", self.workspace.as_ref().map(|workspace| &workspace.name))
            .with("content", self.request.fingerprint)
            .with_some("parts", self.shared_part_names())
            .with("service", &self.service)
            .with("upstream", &target.instance)
            .with("version", &target.version)
            .with_some("last_event", self.resume_after)
            .with_some("resumes", self.request.fields.resumes.as_ref())
            .with("record", target.record_position)
            .with("records_age_ms", age.as_millis())
            .with("send", self.tried.len() + 1)
            .with("of", candidates.len())
            .with("load", chosen.map_or(0.0, |candidate| candidate.load.round()))
            .with("is_avoided", chosen.is_some_and(|candidate| candidate.is_avoided))
            .with("is_cold", chosen.is_some_and(|candidate| candidate.is_cold))
            .with("is_home", is_home)
            .with(
                "reads_per_ms",
                self.serving.prefill_speeds.for_service(&self.service).tokens_in(ONE_MS).round(),
            )
            .with_some("relative_speed", by_speed.map(|_| format!("{:.2}", choice.relative_speed)))
            .with_some("own_tokens", by_speed.map(|choice| choice.own_tokens))
            .with_some("prefill_ms", by_speed.map(|choice| choice.time.as_millis()))
            .with_some("reason", by_speed.map(|choice| choice.reason.name()))
            .with("config", self.serving.config.borrow().version())
            .with("left_ms", self.time_left().as_millis());
        log::info(line);
    }

    /// Returns the request's needs for the choice of a model engine; `None` if prefixes don't
    /// matter for its service.
    fn prompt_demand(&self) -> Option<PromptDemand> {
        if !self.route.prefix_affinity || !self.serving.decide_settings.get().prefixes {
            return None;
        }
        let prompt = &self.request.fields.prompt;
        let shared = prompt.len().checked_sub(2).and_then(|index| prompt.get(index));
        let own = prompt.last()?;
        let time_left = self.due_at.saturating_sub(self.serving.now());
        let speed = self.serving.prefill_speeds.for_service(&self.service);
        Some(PromptDemand {
            prefix: shared.unwrap_or(own).id,
            uncached_tokens: f64::from(own.tokens),
            total_tokens: self.prompt_tokens(),
            token_budget: speed.tokens_in(time_left.mul_f64(PREFILL_SHARE)),
            home: self.home.as_ref().map(|home| home.key),
        })
    }

    pub(super) fn prompt_tokens(&self) -> f64 {
        self.request.fields.prompt.iter().map(|part| f64::from(part.tokens)).sum()
    }

    /// Returns the load of the request until its first event: for a model engine the tokens to
    /// prefill, with the shared parts of the prompt assumed to be cached unless the choice knows
    /// better; else 1.
    pub(super) fn weight(&self, chosen: &Chosen) -> f64 {
        if let Some(choice) = chosen.by_speed {
            return choice.own_tokens + STREAM_TOKENS;
        }
        match self.prompt_demand() {
            Some(demand) => demand.uncached_tokens + STREAM_TOKENS,
            None => 1.0,
        }
    }
}
