//! Tests of the text form of request keys.

use {
    fernring_core::ids::{Incarnation, KeyError, RequestKey, Ticket},
    uuid::{NoContext, Timestamp, Uuid},
};

#[test]
fn uuid_key_yields_its_creation_time() {
    let uuid = Uuid::new_v7(Timestamp::from_unix(NoContext, 1_800_000_000, 123_000_000));
    let key: RequestKey = uuid.to_string().parse().unwrap();
    assert_eq!(key, RequestKey::Minted(uuid));
    assert_eq!(key.minted_ms(), Some(1_800_000_000_123));
}

#[test]
fn ticket_round_trips_through_text() {
    for address in ["10.1.2.3:7000", "[fe80::1]:7000"] {
        let address = address.parse().unwrap();
        let incarnation = Incarnation(Uuid::from_u128(42));
        let ticket = RequestKey::Ticket(Ticket { incarnation, address, serial: 7 });
        assert_eq!(ticket.to_string().parse(), Ok(ticket));
        assert_eq!(ticket.minted_ms(), None);
    }
}

#[test]
fn invalid_keys_are_rejected() {
    let cases = [
        ("", KeyError::Malformed),
        ("tk", KeyError::Malformed),
        ("tk_1_2_3", KeyError::Malformed),
        ("not a key", KeyError::Malformed),
        ("00000000-0000-4000-8000-000000000000", KeyError::NotVersion7),
    ];
    for (text, error) in cases {
        assert_eq!(text.parse::<RequestKey>(), Err(error), "{text:?}");
    }
    assert_eq!("7".repeat(1_000).parse::<RequestKey>(), Err(KeyError::TooLong));
}
