//! Parts of prompts: the crashes attributed to them, and what the nodes tell each other about them.

use {
    super::{CrashAttribution, Observation, join_names},
    crate::{
        crash_detection::{Disconnect, Incarnation},
        fingerprint::{Fingerprint, PartKey, RequestTraits},
        log,
        part_quarantine::{PartClearance, PartCrashRecord, PartQuarantineChange},
        upstreams::Target,
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    fernring_protocol::gateway::{CrashReport, PartClearanceReport, SuspectRequest},
    std::{rc::Rc, sync::Arc, time::Duration},
    tokio::{task::spawn_local, time::sleep},
};

/// How long after the end of a response evidence of a crash is awaited: the probes of the upstream's
/// address, and the record of a process that has already restarted there.
const END_EVIDENCE_TIME: Duration = Duration::from_secs(1);

/// How long after the last crash under a whole request it is decided whether a part is the cause.
const PART_DECISION_TIME: Duration = Duration::from_secs(2);

impl CrashAttribution {
    /// Returns whether upstreams have crashed under several requests that share a part with this
    /// one, so that it should not be sent a second time.
    pub fn forbids_retry(&self, request: &RequestTraits) -> bool {
        self.decide_settings.get().turn_away
            && self.part_quarantine.borrow().forbids_retry(&request.parts)
    }

    /// Records that the answer to a request is complete, or has progressed well beyond its
    /// beginning, which clears its parts.
    pub fn record_part_answer(self: &Rc<Self>, request: &RequestTraits) {
        let at = self.now();
        for part in request.parts.iter() {
            let change = self.part_quarantine.borrow_mut().record_answer(part, at);
            if change.is_new {
                log::info(LogLine::event("part_cleared").with("part", part).with("by", "own"));
                let clearance = PartClearance { part: part.clone(), at };
                self.publish(Observation::PartClearance(clearance));
            }
            self.handle_part_change(&change);
        }
    }

    /// Records that a response whose end isn't marked ended with its connection. Whether it is
    /// complete shows only if its upstream still runs afterwards.
    pub fn record_unmarked_end(self: &Rc<Self>, target: &Target, request: &RequestTraits) {
        let now = self.now();
        if self.part_quarantine.borrow().without_covered(request, now).parts.is_empty() {
            return;
        }
        self.record_broken_send(target, Disconnect::Closed, Some(request));
        let (crash_attribution, key, request) = (self.clone(), target.key, request.clone());
        spawn_local(async move {
            sleep(END_EVIDENCE_TIME).await;
            if crash_attribution.crash_detector.borrow().has_crashed(key) == Some(false) {
                crash_attribution.record_part_answer(&request);
            }
        });
    }

    /// Returns whether the crashes under a request may turn out to be those of a part that several
    /// requests share. A part needs more crashes than a request to be quarantined.
    pub(super) fn may_be_explained(&self, fingerprint: Fingerprint) -> bool {
        let quarantine = self.quarantine.borrow();
        let is_recent = quarantine
            .last_at(fingerprint)
            .is_some_and(|last_at| self.now() < last_at + PART_DECISION_TIME);
        let part_quarantine = self.part_quarantine.borrow();
        let mut crashes = quarantine.crashes_of(fingerprint).into_iter();
        is_recent && crashes.any(|incarnation| part_quarantine.may_explain(&incarnation))
    }

    pub(super) fn attribute_to_parts(&self, record: &PartCrashRecord) -> bool {
        let change = self.part_quarantine.borrow_mut().record_crash(self.now(), record);
        self.handle_part_change(&change);
        change.is_new
    }

    fn handle_part_change(&self, change: &PartQuarantineChange) {
        for (incarnation, at) in &change.newly_explained {
            self.quarantine.borrow_mut().record_explained(incarnation, *at);
        }
        let quarantine = self.part_quarantine.borrow();
        for part in &change.newly_quarantined {
            let crashes = quarantine.crashes_of(part);
            let incarnations: Vec<_> =
                crashes.iter().map(|crash| crash.incarnation.clone()).collect();
            let requests: Vec<_> = crashes.iter().map(|crash| crash.request.to_string()).collect();
            let others: Vec<_> =
                quarantine.indistinguishable(part).map(PartKey::to_string).collect();
            let line = LogLine::event("part_turned_away").with("part", part);
            let line = line.with("ended", join_names(&incarnations));
            let line = line.with("contents", requests.join(","));
            log::warn(line.with_some("only_with", (!others.is_empty()).then(|| others.join(","))));
        }
        let has_quarantined = quarantine.quarantined().next().is_some();
        drop(quarantine);
        if change.is_new && has_quarantined {
            self.quarantine_changed.notify_waiters();
        }
    }

    /// Handles a peer's reports of answers. The node that reported the crash passes on what its
    /// peers reply, since they reply to it alone.
    pub(super) fn handle_part_clearances(
        self: &Rc<Self>,
        received: Vec<PartClearanceReport>,
        is_reply: bool,
    ) -> Vec<PartClearanceReport> {
        let now = self.now();
        let mut new = Vec::new();
        for report in received {
            let part = PartKey { service: report.service.as_str().into(), id: report.part };
            let at = now.saturating_sub(Duration::from_millis(report.age_ms.into()));
            let clearance = PartClearance { part, at };
            let change = self.part_quarantine.borrow_mut().record_clearance(now, &clearance);
            self.handle_part_change(&change);
            if !change.is_new {
                continue;
            }
            let line = LogLine::event("part_cleared").with("part", &clearance.part);
            log::info(line.with("by", "peer"));
            match is_reply {
                true => self.publish(Observation::PartClearance(clearance)),
                false => new.push(report),
            }
        }
        new
    }

    /// Returns the answers known here that cover a crash for the parts of a peer's report.
    pub(super) fn covering_part_answers(&self, record: &PartCrashRecord) -> Vec<PartClearance> {
        let quarantine = self.part_quarantine.borrow();
        let parts = record.requests.iter().flat_map(|request| request.parts.iter());
        parts.filter_map(|part| quarantine.covering_answer(part, record.at)).collect()
    }

    /// Returns requests without the parts that are cleared here. Peers hear only of suspects.
    pub(super) fn suspects_of(
        &self,
        requests: &[RequestTraits],
        at: Duration,
    ) -> Vec<RequestTraits> {
        let quarantine = self.part_quarantine.borrow();
        let with_parts = requests.iter().filter(|request| !request.parts.is_empty());
        with_parts.map(|request| quarantine.without_covered(request, at)).collect()
    }
}

pub(super) fn encode_requests(requests: &[RequestTraits]) -> Vec<SuspectRequest> {
    let encode = |request: &RequestTraits| SuspectRequest {
        fingerprint: Bytes::copy_from_slice(request.fingerprint.bytes()),
        service: request.parts.first().map_or_else(String::new, |part| part.service.to_string()),
        parts: request.parts.iter().map(|part| part.id).collect(),
    };
    requests.iter().map(encode).collect()
}

/// Decodes the requests of a peer's report of a crash.
pub(super) fn decode_crash(
    report: &CrashReport,
    incarnation: &Incarnation,
    at: Duration,
) -> PartCrashRecord {
    let decode = |request: &SuspectRequest| {
        let service: Arc<str> = request.service.as_str().into();
        let key = |id: &u64| PartKey { service: service.clone(), id: *id };
        let fingerprint = Fingerprint::from_bytes(&request.fingerprint)?;
        Some(RequestTraits { fingerprint, parts: request.parts.iter().map(key).collect() })
    };
    let requests = report.requests.iter().filter_map(decode).collect();
    PartCrashRecord { incarnation: incarnation.clone(), at, requests }
}
