//! What a request asks, whatever id it comes under.
//!
//! ```
//! use fernring_gateway::fingerprint::Fingerprint;
//!
//! let asked = Fingerprint::of(Some("w"), "/line/7", b"why?");
//! assert_eq!(asked, Fingerprint::of(Some("w"), "/line/7", b"why?"));
//! assert_ne!(asked, Fingerprint::of(Some("v"), "/line/7", b"why?"), "another caller's");
//! assert_ne!(asked, Fingerprint::of(Some("w"), "/line/", b"7why?"), "fields don't run together");
//! ```

use std::fmt;

/// Purpose of the digest, which keeps it apart from other uses of the same function.
const CONTEXT: &str = "fernring: what a request asks";
/// Bytes of a digest that are kept: two alike take some 2^64 tries to find.
const KEY_BYTES: usize = 16;

/// Digest of who asks, of the path with its query, and of the body. It needs no secret that nodes would have to
/// share: the function is collision resistant, so that a caller can't make a request that is taken for another's.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Fingerprint([u8; KEY_BYTES]);

impl Fingerprint {
    /// Digests a request. `caller` is its workspace, if there is one.
    pub fn of(caller: Option<&str>, path: &str, body: &[u8]) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTEXT);
        hasher.update(&[u8::from(caller.is_some())]);
        for field in [caller.unwrap_or_default().as_bytes(), path.as_bytes(), body] {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field);
        }
        let mut key = [0; KEY_BYTES];
        hasher.finalize_xof().fill(&mut key);
        Self(key)
    }

    /// Reads the bytes of a digest; `None` if there are more or fewer than it has.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// Reads a digest as it is displayed.
    pub fn parse(text: &str) -> Option<Self> {
        let is_hex = text.len() == 2 * KEY_BYTES && text.bytes().all(|c| c.is_ascii_hexdigit());
        let number = is_hex.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(Self(number.to_be_bytes()))
    }

    /// Returns the bytes of the digest.
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
