//! Where a stream may go on: only at the version of the software that began it.

use {
    super::{Exchange, OpenedResponse, StreamFailure},
    crate::{
        model::RetryPolicy,
        origin_table::{Origin, STREAM_LIFETIME},
        refusal::Refusal,
        selection::Candidate,
    },
    fernring_core::code::ResultCode,
    std::sync::Arc,
};

impl Exchange {
    /// Finds the version that began a stream that the caller resumes.
    ///
    /// # Errors
    /// If it isn't known or no upstream of it takes the request.
    pub async fn find_origin(&mut self) -> Result<(), Refusal> {
        if self.resume_after.is_none() {
            return Ok(());
        }
        let resumes = self.request.fields.resumes.as_ref();
        let origins = &self.serving.stream_origins;
        let found = origins.find(&self.request.id, resumes, &self.service).await;
        let Some(found) = found else {
            let detail = "the version that began the stream isn't known";
            return Err(self.refusal_for(ResultCode::OriginUnavailable, detail));
        };
        if let Origin::Version { service, .. } = &found
            && self.route.traffic_split.iter().any(|part| part.service == *service)
        {
            self.service = service.clone();
        }
        self.origin = Some(found);
        self.check_origin()
    }

    /// Checks that an upstream that may get new work has the version at which the stream has to go
    /// on.
    pub(super) fn check_origin(&self) -> Result<(), Refusal> {
        let is_available = match &self.origin {
            None => true,
            Some(Origin::Ambiguous) => false,
            Some(Origin::Version { service, version }) => {
                *service == self.service && self.serving.upstreams.has_version(service, version)
            }
        };
        match is_available {
            true => Ok(()),
            false => {
                let detail = "no upstream has the version that began the stream";
                Err(self.refusal_for(ResultCode::OriginUnavailable, detail))
            }
        }
    }

    /// Returns the version at which the stream has to go on, if any.
    pub(super) fn required_version(&self) -> Option<&Arc<str>> {
        match &self.origin {
            Some(Origin::Version { version, .. }) => Some(version),
            Some(Origin::Ambiguous) | None => None,
        }
    }

    /// Keeps the candidates at which the stream may go on.
    pub(super) fn filter_by_origin(&self, mut candidates: Vec<Candidate>) -> Vec<Candidate> {
        if let Some(version) = self.required_version() {
            let directory = self.serving.upstreams.directory();
            candidates.retain(|candidate| {
                let upstream = directory.get(candidate.key);
                upstream.is_some_and(|upstream| upstream.record.version == *version)
            });
        }
        candidates
    }

    /// Returns whether a new stream begins that may be resumed, so that the version that begins it
    /// has to be known after a restart of all nodes.
    fn begins_resumable_stream(&self) -> bool {
        self.origin.is_none() && self.retry_policy() == RetryPolicy::Resume
    }

    /// Waits until the store has the record of a version that can begin the stream.
    pub(super) async fn wait_until_version_recorded(&self) {
        if self.begins_resumable_stream() {
            self.serving.stream_origins.wait_until_recorded(&self.service).await;
        }
    }

    /// Leaves out candidates whose version isn't recorded in the store, unless no recorded version
    /// can begin streams.
    pub(super) fn filter_by_record(&self, candidates: Vec<Candidate>) -> Vec<Candidate> {
        if !self.begins_resumable_stream() {
            return candidates;
        }
        let directory = self.serving.upstreams.directory();
        let unrecorded = self.serving.stream_origins.unrecorded_versions(&self.service);
        if unrecorded.is_empty() {
            return candidates;
        }
        let is_unrecorded = |candidate: &Candidate| {
            let upstream = directory.get(candidate.key);
            upstream.is_some_and(|upstream| unrecorded.contains(&upstream.record.version))
        };
        let (unrecorded, recorded): (Vec<_>, Vec<_>) =
            candidates.into_iter().partition(is_unrecorded);
        match self.serving.stream_origins.has_recorded_version(&self.service) {
            true => recorded,
            false => unrecorded,
        }
    }

    /// Records the version of the upstream whose first complete event is about to be forwarded.
    ///
    /// # Errors
    /// If the upstream's process may be another one than the one that was chosen, and the stream
    /// has events already.
    pub fn record_origin(&mut self, opened: &OpenedResponse) -> Result<(), StreamFailure> {
        let is_certain = !self.serving.upstreams.has_other_version_since(&opened.target);
        if self.origin.is_some() && !is_certain {
            return Err(StreamFailure::Broken("the upstream's version has changed".to_owned()));
        }
        let origin = self.origin.get_or_insert_with(|| match is_certain {
            true => Origin::Version {
                service: self.service.clone(),
                version: opened.target.version.clone(),
            },
            false => Origin::Ambiguous,
        });
        let resumes = self
            .request
            .fields
            .resumes
            .as_ref()
            .filter(|_| self.request.fields.last_event.is_some());
        let lifetime = self.request.fields.remaining.unwrap_or(STREAM_LIFETIME);
        let id = resumes.unwrap_or(&self.request.id);
        self.serving.stream_origins.record(id, origin, lifetime);
        Ok(())
    }
}
