//! What counts as the same request.

use {
    fernring_gateway::fingerprint::Fingerprint,
    proptest::{collection::vec, option, prelude::*},
};

proptest! {
    /// Fields that run together would let a caller make a request that is taken for another's.
    #[test]
    fn only_the_same_caller_path_and_body_are_the_same(
        one in (option::of("[ab]{0,3}"), "[ab/]{0,3}", vec(97u8..99, 0..3)),
        other in (option::of("[ab]{0,3}"), "[ab/]{0,3}", vec(97u8..99, 0..3)),
    ) {
        let key = |(caller, path, body): &(Option<String>, String, Vec<u8>)| {
            Fingerprint::of(caller.as_deref(), path, body)
        };
        prop_assert_eq!(one == other, key(&one) == key(&other));
    }
}

#[test]
fn a_key_goes_over_the_wire_and_back() {
    let key = Fingerprint::of(Some("w"), "/x", b"y");
    assert_eq!(Fingerprint::from_bytes(key.bytes()), Some(key));
    assert_eq!(Fingerprint::from_bytes(&key.bytes()[1..]), None);
    assert_eq!(key.to_string().len(), 32, "as it stands in log lines");
}
