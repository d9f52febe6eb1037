//! What of a request is known when an upstream ended under it: gathers the signs, looks, and says so.

use {
    crate::{
        connections::connect,
        content::ContentKey,
        directory::Effect,
        endings::{Break, Ended, Endings, Probe},
        log,
        upstreams::{Target, Upstreams},
    },
    fernring_core::{clock::Clock, text::LogLine},
    std::{cell::RefCell, io::ErrorKind, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        task::spawn_local,
        time::{sleep, timeout},
    },
};

/// Pauses before the looks at an address: a process that ends closes its connections before or after what it listens on.
const PROBE_PAUSES: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(280)];
/// Longest wait for a connection while looking. A refusal takes a round trip, a few milliseconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// The upstreams that ended, and what ran there.
pub struct Blame {
    clock: Rc<dyn Clock>,
    upstreams: Rc<Upstreams>,
    endings: RefCell<Endings>,
}

impl Blame {
    /// Starts with nothing known.
    pub fn new(clock: Rc<dyn Clock>, upstreams: Rc<Upstreams>) -> Self {
        Self { clock, upstreams, endings: RefCell::default() }
    }

    /// Takes in that a send broke off.
    pub fn broke(self: &Rc<Self>, target: &Target, how: Break, content: ContentKey) {
        if self.upstreams.is_leaving(target.key) {
            return;
        }
        let now = self.now();
        let ended = self.endings.borrow_mut().broke(now, target.key, &target.run(), how, content);
        self.ended(ended);
        if self.endings.borrow_mut().shall_probe(now, target.key) {
            spawn_local(self.clone().probe(target.clone()));
        }
    }

    /// Takes in that upstreams came or went.
    pub fn upstreams_changed(&self, effects: &[Effect]) {
        let now = self.now();
        for effect in effects {
            let ended = match effect {
                Effect::Gone(key) => self.endings.borrow_mut().removed(now, *key),
                Effect::Restarted { old, .. } => self.endings.borrow_mut().restarted(now, *old),
                _ => None,
            };
            self.ended(ended);
        }
    }

    /// Lets time pass.
    pub fn expire(&self) {
        self.endings.borrow_mut().expire(self.now());
    }

    async fn probe(self: Rc<Self>, target: Target) {
        for pause in PROBE_PAUSES {
            sleep(pause).await;
            let found = look(target.address).await;
            let line = LogLine::event("upstream_probed").with("upstream", target.run());
            log::info(line.with("address", target.address).with("found", found.name()));
            let ended = self.endings.borrow_mut().probed(target.key, found);
            self.ended(ended);
            if found != Probe::Accepted {
                return;
            }
        }
    }

    fn ended(&self, ended: Option<Ended>) {
        let Some(Ended { run, contents }) = ended else {
            return;
        };
        for content in &contents {
            let line = LogLine::event("upstream_ended").with("upstream", &run);
            log::warn(line.with("content", content));
        }
    }

    fn now(&self) -> Duration {
        self.clock.now().monotonic
    }
}

/// Looks whether anybody takes connections at an address.
async fn look(address: SocketAddr) -> Probe {
    match timeout(PROBE_TIMEOUT, connect(address)).await {
        Ok(Ok(_)) => Probe::Accepted,
        Ok(Err(error)) => match error.kind() {
            ErrorKind::ConnectionRefused => Probe::Refused,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => Probe::Accepted,
            _ => Probe::Silent,
        },
        Err(_) => Probe::Silent,
    }
}
