//! Which version of an upstream's software began each stream, and which versions a service has had.
//! No I/O.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

/// Time after which no caller waits for a stream any more.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(60);
/// Most streams whose origins are known; beyond that, the earliest ones are forgotten.
const STREAMS_MAX: usize = 20_000;

/// The version that a stream may go on at.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// This version of this service.
    Version {
        /// The service.
        service: Arc<str>,
        /// The version.
        version: Arc<str>,
    },
    /// None: what is known contradicts itself.
    Ambiguous,
}

#[derive(Debug)]
struct KnownStream {
    origin: Origin,
    expires_at: Duration,
    /// Whether this node forwarded the stream's first event.
    is_own: bool,
}

/// The origins of streams, by the caller's request that brought the first event.
#[derive(Debug, Default)]
pub struct StreamOriginTable {
    streams: HashMap<Arc<str>, KnownStream>,
    /// Invariant: holds the keys of `streams`, each once, in the order in which they were added.
    order: VecDeque<Arc<str>>,
}

impl StreamOriginTable {
    /// Records the origin of a stream. Different origins under one request make it ambiguous.
    pub fn record(
        &mut self,
        request: &Arc<str>,
        origin: Origin,
        expires_at: Duration,
        is_own: bool,
    ) {
        if let Some(known) = self.streams.get_mut(request) {
            if known.origin != origin {
                known.origin = Origin::Ambiguous;
            }
            known.expires_at = known.expires_at.max(expires_at);
            known.is_own |= is_own;
            return;
        }
        if self.order.len() >= STREAMS_MAX
            && let Some(earliest) = self.order.pop_front()
        {
            self.streams.remove(&earliest);
        }
        self.streams.insert(request.clone(), KnownStream { origin, expires_at, is_own });
        self.order.push_back(request.clone());
    }

    /// Returns the origin of a stream, if it is known.
    pub fn find(&self, now: Duration, request: &str) -> Option<&Origin> {
        let known = self.streams.get(request).filter(|known| now < known.expires_at);
        known.map(|known| &known.origin)
    }

    /// Lists the streams of a service whose first event this node forwarded, and until when they
    /// may be resumed.
    pub fn own_of_service(
        &self,
        now: Duration,
        service: &str,
    ) -> impl Iterator<Item = (&Arc<str>, &Origin, Duration)> {
        let is_of_service = move |known: &KnownStream| match &known.origin {
            Origin::Version { service: known_service, .. } => **known_service == *service,
            Origin::Ambiguous => false,
        };
        let own = self.streams.iter().filter(move |(_, known)| {
            known.is_own && now < known.expires_at && is_of_service(known)
        });
        own.map(|(request, known)| (request, &known.origin, known.expires_at))
    }

    /// Forgets streams that can't be resumed any more.
    pub fn expire(&mut self, now: Duration) {
        while let Some(earliest) = self.order.front() {
            if self.streams.get(earliest).is_some_and(|known| now < known.expires_at) {
                return;
            }
            self.streams.remove(earliest);
            self.order.pop_front();
        }
    }
}

/// The versions that the upstreams of each service have had.
#[derive(Debug, Default)]
pub struct VersionHistory {
    by_service: HashMap<Arc<str>, ServiceVersions>,
}

#[derive(Debug)]
struct ServiceVersions {
    known_since: Duration,
    /// When each version was there last.
    last_seen: Vec<(Arc<str>, Duration)>,
}

impl VersionHistory {
    /// Records the versions that a service has now.
    pub fn record<'a>(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        versions: impl Iterator<Item = &'a Arc<str>>,
    ) {
        let history = self
            .by_service
            .entry(service.clone())
            .or_insert_with(|| ServiceVersions { known_since: now, last_seen: Vec::new() });
        for version in versions {
            match history.last_seen.iter_mut().find(|(known, _)| known == version) {
                Some((_, seen_at)) => *seen_at = now,
                None => history.last_seen.push((version.clone(), now)),
            }
        }
        history.last_seen.retain(|(_, seen_at)| now < *seen_at + STREAM_LIFETIME);
    }

    /// Records that the node has no current records of upstreams: it may miss a version that comes
    /// and goes meanwhile.
    pub fn record_gap(&mut self, now: Duration) {
        for history in self.by_service.values_mut() {
            history.known_since = now;
        }
    }

    /// Lists the versions that a service has had for as long as a stream may last.
    pub fn recent(&self, service: &str) -> impl Iterator<Item = &Arc<str>> {
        let history = self.by_service.get(service);
        history.into_iter().flat_map(|history| history.last_seen.iter().map(|(version, _)| version))
    }

    /// Lists the services with the versions that each has had for as long as a stream may last.
    pub fn all(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.by_service.iter().flat_map(|(service, history)| {
            history.last_seen.iter().map(move |(version, _)| (service, version))
        })
    }

    /// Returns whether a service has had several versions for as long as a stream may last.
    pub fn has_several(&self, service: &str) -> bool {
        self.recent(service).nth(1).is_some()
    }

    /// Returns whether a service has been known without a gap for as long as a stream may last.
    pub fn is_long_known(&self, now: Duration, service: &str) -> bool {
        let history = self.by_service.get(service);
        history.is_some_and(|history| now >= history.known_since + STREAM_LIFETIME)
    }
}
