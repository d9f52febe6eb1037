//! This node's own path to the upstreams.

use {
    super::dial::{ConnectFailure, Dial, dial_in_time},
    crate::{
        handover::PROBE_INTERVAL,
        log,
        reachability::{PathState, Probes, Reachability},
    },
    fernring_core::{clock::Clock, text::LogLine},
    futures_util::future::join_all,
    std::{
        cell::{Ref, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::net::TcpStream,
};

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens direct connections, and records which upstreams they reach. Clones share what they record.
#[derive(Debug, Clone)]
pub struct OwnPath {
    clock: Rc<dyn Clock>,
    dialer: Rc<dyn Dial>,
    reachability: Rc<RefCell<Reachability>>,
    /// When silent upstreams were last probed.
    silent_probed_at: Rc<RefCell<HashMap<SocketAddr, Duration>>>,
}

/// An exchange on a direct connection that awaits a response, until it is dropped.
#[derive(Debug)]
pub struct ExchangeGuard {
    reachability: Rc<RefCell<Reachability>>,
    exchange: u64,
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.reachability.borrow_mut().end_exchange(self.exchange);
    }
}

impl OwnPath {
    /// Creates the path of a node that hasn't opened any connection.
    pub fn new(clock: Rc<dyn Clock>, dialer: Rc<dyn Dial>) -> Self {
        Self { clock, dialer, reachability: Rc::default(), silent_probed_at: Rc::default() }
    }

    /// Returns the time on the node's clock.
    pub fn now(&self) -> Duration {
        self.clock.now().monotonic
    }

    /// Gives access to what this node knows about this path.
    pub fn reachability(&self) -> Ref<'_, Reachability> {
        self.reachability.borrow()
    }

    /// Returns the state of the path.
    pub fn state(&self) -> PathState {
        self.reachability.borrow().state()
    }

    /// Changes what this node knows about this path, and logs changes of the path's state.
    fn update<T>(&self, change: impl FnOnce(&mut Reachability) -> T) -> T {
        let before = self.state();
        let result = change(&mut self.reachability.borrow_mut());
        let state = self.state();
        if state != before {
            let line = LogLine::event("upstream_path_changed").with("path", state.name());
            log::warn(line.with("before", before.name()));
        }
        result
    }

    pub(super) fn record(&self, address: SocketAddr, is_reached: bool) {
        self.update(|reachability| reachability.record(self.now(), address, is_reached));
    }

    /// Returns which upstreams to probe now.
    pub(crate) fn probes_due(&self) -> Probes {
        self.update(|reachability| reachability.probes_due(self.now()))
    }

    /// Probes upstreams directly.
    pub(crate) async fn probe(&self, addresses: &[SocketAddr]) {
        let probe = |address: &SocketAddr| self.connect(*address, PROBE_TIMEOUT);
        join_all(addresses.iter().map(probe)).await;
    }

    /// Probes an upstream that is silent, unless it was probed within [`PROBE_INTERVAL`].
    pub(crate) async fn probe_silent(&self, address: SocketAddr) {
        let now = self.now();
        let last = self.silent_probed_at.borrow().get(&address).copied();
        if last.is_none_or(|at| now >= at + PROBE_INTERVAL) {
            self.silent_probed_at.borrow_mut().insert(address, now);
            self.probe(&[address]).await;
        }
    }

    /// Records that the results of all verification probes are recorded.
    pub(crate) fn finish_verification(&self) {
        self.update(Reachability::finish_verification);
    }

    /// Forgets results that are too old.
    pub(super) fn expire(&self) {
        let now = self.now();
        self.silent_probed_at.borrow_mut().retain(|_, at| now < *at + PROBE_INTERVAL);
        self.update(|reachability| reachability.expire(now));
    }

    /// Records that a request was sent on a direct connection, until the returned guard is dropped.
    pub(super) fn track_exchange(&self) -> ExchangeGuard {
        let exchange = self.reachability.borrow_mut().begin_exchange(self.now());
        ExchangeGuard { reachability: self.reachability.clone(), exchange }
    }

    /// Opens a connection to an upstream by this path.
    ///
    /// # Errors
    /// Returns the reason if no connection could be opened in time.
    pub async fn connect(
        &self,
        address: SocketAddr,
        time_limit: Duration,
    ) -> Result<TcpStream, ConnectFailure> {
        let dialed = dial_in_time(&*self.dialer, address, time_limit).await;
        let is_reached = matches!(dialed, Ok(_) | Err(ConnectFailure::Reset));
        self.record(address, is_reached);
        dialed
    }
}
