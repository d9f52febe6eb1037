//! Tests of the fingerprints of requests.

use {
    fernring_gateway::fingerprint::Fingerprint,
    proptest::{collection::vec, option, prelude::*},
};

proptest! {
    /// Without separated fields, a caller could forge a request with the fingerprint of another
    /// caller's request.
    #[test]
    fn fingerprints_match_only_for_equal_requests(
        one in (option::of("[ab]{0,3}"), "[ab/]{0,3}", vec(97u8..99, 0..3)),
        other in (option::of("[ab]{0,3}"), "[ab/]{0,3}", vec(97u8..99, 0..3)),
    ) {
        let fingerprint_of = |(caller, path, body): &(Option<String>, String, Vec<u8>)| {
            Fingerprint::of(caller.as_deref(), path, body)
        };
        prop_assert_eq!(one == other, fingerprint_of(&one) == fingerprint_of(&other));
    }
}

#[test]
fn fingerprint_survives_encoding() {
    let fingerprint = Fingerprint::of(Some("w"), "/x", b"y");
    assert_eq!(Fingerprint::from_bytes(fingerprint.bytes()), Some(fingerprint));
    assert_eq!(Fingerprint::from_bytes(&fingerprint.bytes()[1..]), None);
    assert_eq!(fingerprint.to_string().len(), 32, "the form in log lines");
}
