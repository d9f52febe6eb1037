//! How many bytes of response bodies a node holds at the same time.

use fernring_gateway::{
    held_bodies::{HELD_BYTES_MAX, HeldBodies, HeldBody},
    response_progress::BODY_BYTES_MAX,
};

/// Bytes that a body grows by at a time.
const STEP_BYTES: usize = 64 << 10;

fn grow(body: &mut HeldBody) -> bool {
    body.add(STEP_BYTES).is_ok()
}

#[test]
fn a_single_body_of_the_largest_size_is_held() {
    let bodies = HeldBodies::default();
    let mut body = bodies.begin();
    assert!((0..BODY_BYTES_MAX / STEP_BYTES).all(|_| grow(&mut body)));
}

// Guards against bodies without end that leave no room for sound ones.
#[test]
fn bodies_without_end_leave_no_room_for_others() {
    for count in [1, 4, 40, 200] {
        let bodies = HeldBodies::default();
        let mut endless: Vec<_> = (0..count).map(|_| bodies.begin()).collect();
        while endless.iter_mut().map(grow).filter(|has_grown| *has_grown).count() > 0 {}
        assert!(bodies.bytes() <= HELD_BYTES_MAX, "{count}");
        assert!(grow(&mut bodies.begin()), "{count}");
        drop(endless);
        assert_eq!(bodies.bytes(), 0, "{count}");
    }
}
