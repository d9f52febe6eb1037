//! The speeds of model engines, from this node's streams and from what other nodes report.

use {
    super::{Upstreams, loads::LoadSource, rotate},
    crate::{
        engine_speeds::{EventGaps, GapEstimate, GapEstimates, relative_speeds},
        model::UpstreamKey,
        selection::Candidate,
    },
    fernring_protocol::gateway::{GatewayHeartbeat, LoadScope},
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Engines in one heartbeat. With this limit, the estimates of a hundred engines take a second to
/// spread, which is less than they stay valid, and no more than 250 bytes of a heartbeat.
const REPORTED_MAX: usize = 24;

#[derive(Debug, Default)]
pub(super) struct EngineSpeeds {
    own: GapEstimates,
    by_source: HashMap<LoadSource, GapEstimates>,
    reported_count: usize,
}

impl EngineSpeeds {
    fn total(&self, now: Duration, engine: u32) -> GapEstimate {
        let reported = self.by_source.values().map(|estimates| estimates.get(now, engine));
        reported.fold(self.own.get(now, engine), GapEstimate::merged)
    }

    /// Returns the estimates of this node and, for a report on the domain, of its peers.
    fn reported_sources(&self, load_scope: LoadScope) -> Vec<&GapEstimates> {
        let is_peer = |source: &LoadSource| matches!(source, LoadSource::Peer(_));
        let peers = self.by_source.iter().filter(|(source, _)| is_peer(source));
        let peers = peers.map(|(_, estimates)| estimates);
        match load_scope {
            LoadScope::Sender => vec![&self.own],
            LoadScope::Domain => peers.chain([&self.own]).collect(),
            LoadScope::Omitted => Vec::new(),
        }
    }

    pub(super) fn expire(&mut self, now: Duration) {
        self.own.expire(now);
        self.by_source.retain(|_, estimates| estimates.expire(now));
    }
}

impl Upstreams {
    /// Records the event gaps of a stream of a model engine.
    pub fn record_event_gaps(&self, now: Duration, key: UpstreamKey, gaps: &EventGaps) {
        let directory = self.directory.borrow();
        if let (Some(upstream), Some(gap)) = (directory.get(key), gaps.undisturbed()) {
            let engine = upstream.record.incarnation_hash();
            self.engine_speeds.borrow_mut().own.record_stream(now, engine, gap);
        }
    }

    /// Sets the relative speeds of the engines of one service.
    pub fn set_relative_speeds(&self, now: Duration, candidates: &mut [Candidate]) {
        let directory = self.directory.borrow();
        let engine_speeds = self.engine_speeds.borrow();
        let estimate = |candidate: &Candidate| {
            let upstream = directory.get(candidate.key);
            let engine = upstream.map(|upstream| upstream.record.incarnation_hash());
            engine.map_or_else(GapEstimate::default, |engine| engine_speeds.total(now, engine))
        };
        let estimates: Vec<_> = candidates.iter().map(estimate).collect();
        for (candidate, speed) in candidates.iter_mut().zip(relative_speeds(&estimates)) {
            candidate.relative_speed = speed;
        }
    }

    /// Adds estimates to a heartbeat, for some engines at a time: those of this node, or of all nodes
    /// of the failure domain, of which this node is a delegate.
    pub fn report_gaps(
        &self,
        now: Duration,
        heartbeat: &mut GatewayHeartbeat,
        load_scope: LoadScope,
    ) {
        let engine_speeds = &mut *self.engine_speeds.borrow_mut();
        let mut reported_count = engine_speeds.reported_count;
        let sources = engine_speeds.reported_sources(load_scope);
        let engines: BTreeSet<_> = sources.iter().flat_map(|source| source.engines()).collect();
        let engines: Vec<_> = engines.into_iter().collect();
        for engine in rotate(&engines, REPORTED_MAX, &mut reported_count) {
            let estimates = sources.iter().map(|source| source.get(now, engine));
            let estimate = estimates.fold(GapEstimate::default(), GapEstimate::merged);
            heartbeat.engine_upstreams.push(engine);
            heartbeat.engine_gaps_us.push(estimate.gap().as_micros() as u32);
            heartbeat.engine_streams_percent.push((estimate.streams() * 100.0) as u32);
        }
        engine_speeds.reported_count = reported_count;
    }

    /// Applies the estimates in a peer's heartbeat. Those of this node's own domain contain the
    /// estimates of this node, whose double weight doesn't matter for a mean.
    pub fn apply_peer_gaps(
        &self,
        now: Duration,
        peer: SocketAddr,
        heartbeat: &GatewayHeartbeat,
        load_scope: LoadScope,
    ) {
        if heartbeat.engine_upstreams.is_empty() {
            return;
        }
        let source = match load_scope {
            LoadScope::Sender => LoadSource::Peer(peer),
            LoadScope::Domain => LoadSource::Domain(heartbeat.failure_domain.as_str().into()),
            LoadScope::Omitted => return,
        };
        let gaps = heartbeat.engine_gaps_us.iter().zip(&heartbeat.engine_streams_percent);
        let estimates = gaps.map(|(gap_us, streams_percent)| {
            let gap = Duration::from_micros((*gap_us).into());
            GapEstimate::new(f64::from(*streams_percent) / 100.0, gap)
        });
        let mut engine_speeds = self.engine_speeds.borrow_mut();
        let known = engine_speeds.by_source.entry(source).or_default();
        for (engine, estimate) in heartbeat.engine_upstreams.iter().zip(estimates) {
            known.set(now, *engine, estimate);
        }
    }
}
