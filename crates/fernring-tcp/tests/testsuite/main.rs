//! Tests of the state of connections on the loopback interface.

use {
    fernring_tcp::{ack_state, unacknowledged_bytes},
    std::{
        fs::File,
        io::{Read, Write},
        net::{Shutdown, TcpListener, TcpStream},
        thread::sleep,
        time::Duration,
    },
};

fn connected() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (near, listener.accept().unwrap().0)
}

/// Probes of a closed window are answered while the reading process is paused.
#[test]
fn paused_reader_answers_probes() {
    let (mut near, mut far) = connected();
    near.set_nonblocking(true).unwrap();
    let block = vec![0; 1 << 20];
    while near.write(&block).is_ok() {}
    while !ack_state(&near).unwrap().is_retrying {
        sleep(Duration::from_millis(5));
    }
    for _ in 0..20 {
        // A probe that was just sent may await its answer at one moment, not for long.
        while ack_state(&near).unwrap().unanswered > 0 {
            sleep(Duration::from_millis(1));
        }
        sleep(Duration::from_millis(20));
    }
    let mut bytes = vec![0; 1 << 20];
    while ack_state(&near).unwrap().is_retrying {
        let _ = far.read(&mut bytes).unwrap();
    }
}

#[test]
fn bytes_count_until_they_are_acknowledged() {
    let (mut near, mut far) = connected();
    near.set_nonblocking(true).unwrap();
    assert_eq!(unacknowledged_bytes(&near).unwrap(), 0);
    let block = vec![0; 1 << 20];
    let mut written = 0;
    while let Ok(count) = near.write(&block) {
        written += count;
    }
    let unread = unacknowledged_bytes(&near).unwrap();
    assert!(unread > 0 && unread < written, "{unread} of {written}");
    near.shutdown(Shutdown::Write).unwrap();
    far.read_to_end(&mut Vec::new()).unwrap();
    while unacknowledged_bytes(&near).unwrap() > 0 {
        sleep(Duration::from_millis(1));
    }
}

#[test]
fn other_descriptors_have_no_state() {
    let file = File::open("/dev/null").unwrap();
    assert!(ack_state(&file).is_err());
    assert!(unacknowledged_bytes(&file).is_err());
}
