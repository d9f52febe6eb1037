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

use std::fmt;

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
