//! Fingerprints of requests: equal for requests with the same caller, path and body, regardless of
//! their ids.
//!
//! ```
//! use fernring_gateway::fingerprint::Fingerprint;
//!
//! let fingerprint = Fingerprint::of(Some("w"), "/line/7", b"why?");
//! assert_eq!(fingerprint, Fingerprint::of(Some("w"), "/line/7", b"why?"));
//! assert_ne!(fingerprint, Fingerprint::of(Some("v"), "/line/7", b"why?"), "another caller");
//! assert_ne!(fingerprint, Fingerprint::of(Some("w"), "/line/", b"7why?"), "fields don't run together");
//! ```

use {
    crate::model::RequestFields,
    std::{fmt, rc::Rc, sync::Arc},
};

/// Context string of the key derivation, which separates this digest from other uses of the same
/// function.
const CONTEXT: &str = "fernring: what a request asks";
/// Length of a fingerprint in bytes: two requests with the same fingerprint take some 2^64 attempts
/// to find.
const FINGERPRINT_BYTES: usize = 16;

/// Digest of a request's caller, path with query, and body. It needs no secret shared between
/// nodes: the hash function is collision resistant, so a caller can't forge a request with the
/// fingerprint of another caller's request.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// Computes the fingerprint of a request. `caller` is its workspace, if there is one.
    pub fn of(caller: Option<&str>, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        hasher.update(&[u8::from(caller.is_some())]);
        for field in [caller.unwrap_or_default().as_bytes(), path.as_bytes(), body] {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut key = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut key);
        Self(key)
    }

    /// Decodes a fingerprint from bytes; `None` if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Parses a fingerprint in its displayed form, 32 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex =
            text.len() == 2 * FINGERPRINT_BYTES && text.bytes().all(|c| c.is_ascii_hexdigit());
        let number = is_hex.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(Self(number.to_be_bytes()))
    }

    /// Returns the bytes of the fingerprint.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}

/// A part of prompts, as the upstreams of one service process it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartKey {
    /// The service.
    pub service: Arc<str>,
    /// Identifier of the part.
    pub id: u64,
}

impl fmt::Display for PartKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.service, self.id)
    }
}

/// What a crash of an upstream may be attributed to: the whole request, and the parts of its prompt
/// that other requests may share.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestTraits {
    /// Fingerprint of the whole request.
    pub fingerprint: Fingerprint,
    /// The shared parts of its prompt.
    pub parts: Rc<[PartKey]>,
}

impl RequestTraits {
    /// Returns the traits of a request to a service.
    pub fn new(fingerprint: Fingerprint, service: &Arc<str>, fields: &RequestFields) -> Self {
        let key = |id| PartKey { service: service.clone(), id };
        let parts = fields.shared_parts().iter().map(|part| key(part.id));
        Self { fingerprint, parts: parts.collect() }
    }

    /// Returns the traits of a request whose prompt is unknown.
    pub fn without_parts(fingerprint: Fingerprint) -> Self {
        Self { fingerprint, parts: Rc::default() }
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
