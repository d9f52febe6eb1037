//! Injects faults drawn at random: signals to nodes, upstreams that leave or crash, outages of the
//! store, and configuration changes.

use {
    crate::{
        ledger::{Ledger, Outcome, RequestKind},
        nodes::Nodes,
        upstreams::{DEADLY_PREFIX, DEADLY_SEPARATOR, Upstream, Upstreams},
    },
    clap::ValueEnum,
    fernring_standins::{
        message::read_message,
        store::{Mode, StandinStore},
    },
    nix::sys::signal::Signal,
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Time within which a configuration must be in force: the guaranteed 2 s plus 0.6 s of tolerance.
const CONFIG_IN_FORCE_MAX: Duration = Duration::from_millis(2_600);
/// How long a leaving upstream continues to serve.
const LEAVING_TIME: Duration = Duration::from_secs(3);
/// Time from the first response that announces that an upstream is leaving until its record says so.
const RECORD_DELAY: Duration = Duration::from_secs(1);
/// Crashes after which nodes must know a deadly request, and a deadly part of prompts.
const REQUEST_CRASHES_MAX: usize = 3;
const PART_CRASHES_MAX: usize = 5;
/// Number of times that a deadly request is sent, and the pause between two of them.
const DEADLY_REQUESTS: usize = 24;
const DEADLY_PAUSE: Duration = Duration::from_millis(300);
/// How long the store keeps the record of a crashed upstream: three of its heartbeats.
const RECORD_EXPIRY: Duration = Duration::from_millis(3_600);
/// Shares of the upstreams of a service that fall silent at once.
const SILENT_SHARES: [f64; 3] = [0.3, 0.6, 1.0];
/// How long upstreams are silent: less than callers wait for the next event.
const SILENCE_MS: std::ops::Range<u64> = 1_000..2_500;
/// Pause between two silences of an upstream.
const SILENCE_PAUSE: Duration = Duration::from_millis(200);
/// Time before the end in which no new fault is injected, so that the system can settle.
const QUIESCE_TIME: Duration = Duration::from_secs(3);

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub(crate) enum FaultKind {
    /// SIGKILL of a node.
    Kill,
    /// SIGTERM of a node.
    Stop,
    /// SIGSTOP of a node, and SIGCONT later.
    Freeze,
    /// An upstream drains and leaves.
    Leave,
    /// An upstream crashes.
    Crash,
    /// The store refuses all calls.
    StoreBusy,
    /// The store does not answer.
    StoreSilent,
    /// A new configuration is written.
    Config,
    /// A request that crashes each upstream that runs it is sent repeatedly.
    Deadly,
    /// Requests that share a deadly part of their prompts; no other fault is injected.
    DeadlyPart,
    /// A node's settings file is rewritten unchanged, changed and invalid, with a SIGHUP each time.
    Settings,
    /// Upstreams announce limits; no other fault is injected.
    Limit,
    /// Versions are rolled out; no other fault is injected.
    Rollout,
    /// Upstreams are overloaded; no other fault is injected.
    Overload,
    /// One, some or all upstreams of a service fall silent, at times twice, while configurations are
    /// written.
    Silence,
    /// All or half of the nodes are killed at once while the versions of a service change; no other
    /// fault is injected.
    Versions,
}

/// The kinds that are drawn at random; limits, roll-outs, overload and versions run in parallel to
/// them.
const DRAWN_KINDS: [FaultKind; 11] = [
    FaultKind::Kill,
    FaultKind::Stop,
    FaultKind::Freeze,
    FaultKind::Leave,
    FaultKind::Crash,
    FaultKind::StoreBusy,
    FaultKind::StoreSilent,
    FaultKind::Config,
    FaultKind::Deadly,
    FaultKind::Settings,
    FaultKind::Silence,
];

/// The processes and stand-ins that faults are injected into.
#[derive(Clone)]
pub(crate) struct SystemUnderTest {
    /// The store.
    pub(crate) store: Arc<StandinStore>,
    /// The upstreams.
    pub(crate) upstreams: Arc<Upstreams>,
    /// The nodes.
    pub(crate) nodes: Arc<Nodes>,
    /// The record of the run.
    pub(crate) ledger: Arc<Ledger>,
}

/// Limits that upstreams announce, in requests per second.
const LIMITS_PER_S: [f64; 4] = [0.5, 1.0, 3.0, 10.0];

/// Has upstreams announce limits until `end`, in parallel to all other faults.
pub(crate) async fn announce_limits(
    system: SystemUnderTest,
    mut random: StdRng,
    end: tokio::time::Instant,
) {
    let mut running = tokio::task::JoinSet::new();
    while tokio::time::Instant::now() + QUIESCE_TIME < end {
        sleep(Duration::from_millis(random.random_range(500..3_000))).await;
        let per_s = LIMITS_PER_S.choose(&mut random).copied().unwrap_or(1.0);
        let time = Duration::from_millis(random.random_range(3_000..9_000));
        let Some(upstream) = system.upstreams.pick(random.random::<u32>() as usize) else {
            continue;
        };
        system.ledger.record_fault("Limit");
        running.spawn(async move {
            upstream.announce_limit(Some(per_s));
            sleep(time).await;
            upstream.announce_limit(None);
        });
    }
    while running.join_next().await.is_some() {}
}

/// Overloads upstreams until `end`, in parallel to all other faults.
pub(crate) async fn overload_upstreams(
    system: SystemUnderTest,
    mut random: StdRng,
    end: tokio::time::Instant,
) {
    let mut running = tokio::task::JoinSet::new();
    while tokio::time::Instant::now() + QUIESCE_TIME < end {
        sleep(Duration::from_millis(random.random_range(500..4_000))).await;
        let time = Duration::from_millis(random.random_range(300..2_000));
        let Some(upstream) = system.upstreams.pick(random.random::<u32>() as usize) else {
            continue;
        };
        system.ledger.record_fault("Overload");
        running.spawn(async move {
            upstream.set_overloaded(true);
            sleep(time).await;
            upstream.set_overloaded(false);
        });
    }
    while running.join_next().await.is_some() {}
}

/// Injects faults until `end`; those that last overlap with the next ones.
///
/// # Errors
/// If a node or an upstream can't be started, or a node can't be signalled.
pub(crate) async fn inject_faults(
    system: SystemUnderTest,
    mut random: StdRng,
    only: Option<FaultKind>,
    end: tokio::time::Instant,
) -> anyhow::Result<()> {
    let mut version = 1;
    let mut running = tokio::task::JoinSet::new();
    while tokio::time::Instant::now() + QUIESCE_TIME < end {
        let pause_ms = match only {
            // Each part crashes several upstreams, and some must be left. Silences of an upstream
            // that overlap would be longer than callers wait.
            Some(FaultKind::DeadlyPart | FaultKind::Silence) => 2_000..5_000,
            _ => 200..1_500,
        };
        sleep(Duration::from_millis(random.random_range(pause_ms))).await;
        let kind =
            only.or_else(|| DRAWN_KINDS.choose(&mut random).copied()).unwrap_or(FaultKind::Config);
        system.ledger.record_fault(&format!("{kind:?}"));
        version += u64::from(matches!(kind, FaultKind::Config | FaultKind::Silence));
        let time = Duration::from_millis(random.random_range(500..2_500));
        running.spawn(system.clone().inject(kind, random.random(), time, version));
    }
    while let Some(result) = running.join_next().await {
        result??;
    }
    Ok(())
}

impl SystemUnderTest {
    async fn inject(
        self,
        kind: FaultKind,
        draw: u64,
        time: Duration,
        version: u64,
    ) -> anyhow::Result<()> {
        match kind {
            FaultKind::Kill | FaultKind::Stop | FaultKind::Freeze => {
                let node = draw as usize % self.nodes.count();
                if !self.nodes.reserve(node) {
                    return Ok(());
                }
                let result = self.inject_node_fault(kind, node, time).await;
                self.nodes.release(node);
                result
            }
            FaultKind::Leave => self.replace_upstream(draw as usize, true).await,
            FaultKind::Crash => self.replace_upstream(draw as usize, false).await,
            FaultKind::StoreBusy => self.inject_store_outage(Mode::Busy, time).await,
            FaultKind::StoreSilent => self.inject_store_outage(Mode::Silent, time).await,
            FaultKind::Config => self.change_config(version).await,
            FaultKind::Deadly => self.send_deadly_requests(draw, false).await,
            FaultKind::DeadlyPart => self.send_deadly_requests(draw, true).await,
            FaultKind::Settings => {
                let node = draw as usize % self.nodes.count();
                // A node that is killed and started meanwhile may read invalid settings.
                let is_reserved = self.nodes.reserve(node);
                let result = self.nodes.rewrite_settings(node).await;
                if is_reserved {
                    self.nodes.release(node);
                }
                result
            }
            FaultKind::Silence => self.silence_upstreams(draw, version).await,
            // `announce_limits`, `overload_upstreams`, `rollouts::order_rollouts` and
            // `versions::change_versions` inject these.
            FaultKind::Limit | FaultKind::Rollout | FaultKind::Overload | FaultKind::Versions => {
                Ok(())
            }
        }
    }

    /// Lets one, some or all upstreams of a service fall silent, once or twice, while a configuration is
    /// written.
    async fn silence_upstreams(&self, draw: u64, version: u64) -> anyhow::Result<()> {
        let mut random = StdRng::seed_from_u64(draw);
        let mut upstreams = self.upstreams.all();
        let Some(service) = upstreams.choose(&mut random).map(|upstream| upstream.service) else {
            return Ok(());
        };
        let share = SILENT_SHARES.choose(&mut random).copied().unwrap_or(1.0);
        upstreams.retain(|upstream| upstream.service == service && random.random_bool(share));
        let times = random.random_range(1..=2);
        let silence = async {
            for _ in 0..times {
                upstreams.iter().for_each(|upstream| upstream.set_silent(true));
                sleep(Duration::from_millis(random.random_range(SILENCE_MS) / times)).await;
                upstreams.iter().for_each(|upstream| upstream.set_silent(false));
                sleep(SILENCE_PAUSE).await;
            }
        };
        let (changed, ()) = tokio::join!(self.change_config(version), silence);
        changed
    }

    async fn inject_node_fault(
        &self,
        kind: FaultKind,
        node: usize,
        time: Duration,
    ) -> anyhow::Result<()> {
        if kind == FaultKind::Stop {
            return self.nodes.stop(node).await;
        }
        self.nodes.mark_disturbed(node, time);
        if kind == FaultKind::Kill {
            return self.nodes.kill(node).await;
        }
        self.nodes.signal(node, Signal::SIGSTOP)?;
        sleep(time).await;
        self.nodes.signal(node, Signal::SIGCONT)
    }

    /// Starts a new upstream in place of another, which drains first or crashes at once.
    async fn replace_upstream(&self, draw: usize, is_planned: bool) -> anyhow::Result<()> {
        let Some(upstream) = self.upstreams.take_any(draw) else {
            return Ok(());
        };
        self.upstreams.replace(&upstream).await?;
        self.retire(&upstream, is_planned).await;
        Ok(())
    }

    /// Ends an upstream that was taken out of the set: drained first or crashed at once.
    pub(crate) async fn retire(&self, upstream: &Upstream, is_planned: bool) {
        let write_record = |state| {
            let Upstream { instance, service, version, address, .. } = upstream;
            self.store.put_upstream_version(version, instance, service, *address, state);
            self.ledger.record_leaving(instance);
        };
        if is_planned {
            upstream.announce_leaving();
            sleep(RECORD_DELAY).await;
            write_record(Some("draining"));
        } else {
            upstream.crash();
        }
        sleep(LEAVING_TIME).await;
        write_record(None);
        sleep(LEAVING_TIME).await;
        upstream.crash();
    }

    /// Sends the same deadly request repeatedly under new ids, or requests that share a deadly part
    /// and are otherwise different, to various nodes, and replaces the upstreams that they crash.
    async fn send_deadly_requests(&self, draw: u64, share_part: bool) -> anyhow::Result<()> {
        let kinds =
            [RequestKind::Safe, RequestKind::Once, RequestKind::Stream, RequestKind::Resume];
        let kind = kinds[draw as usize % kinds.len()];
        let (name, limit) = match share_part {
            true => (format!("{DEADLY_PREFIX}-part-{draw}"), PART_CRASHES_MAX),
            false => (format!("{DEADLY_PREFIX}-{draw}"), REQUEST_CRASHES_MAX),
        };
        self.ledger.limit_crashes(&name, limit);
        for number in 0..DEADLY_REQUESTS {
            let id = format!("{name}-{number}");
            let (headers, body) = match share_part {
                true => {
                    let part = format!("{:x}", draw | 1 << 60);
                    let prompt = format!("Prompt-Prefix: a:90,{part}:10,{number:x}:5\r\n");
                    (prompt, format!("{name}{DEADLY_SEPARATOR}{number}"))
                }
                false => (String::new(), name.clone()),
            };
            let node = (draw as usize / 7 + number * 5) % self.nodes.count();
            self.ledger.record_deadly_request(&id, kind, node);
            tokio::spawn(self.clone().send_deadly_request(id, kind, node, headers, body));
            sleep(DEADLY_PAUSE).await;
            for crashed in self.upstreams.take_crashed() {
                self.upstreams.replace(&crashed).await?;
                let store = self.store.clone();
                tokio::spawn(async move {
                    sleep(RECORD_EXPIRY).await;
                    store.put_upstream(&crashed.instance, crashed.service, crashed.address, None);
                });
            }
        }
        Ok(())
    }

    async fn send_deadly_request(
        self,
        id: String,
        kind: RequestKind,
        node: usize,
        headers: String,
        body: String,
    ) {
        let request = format!(
            "POST /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: 4000\r\n\
             Authorization: Bearer secret\r\n{headers}Content-Length: {}\r\n\r\n{body}",
            kind.name(),
            body.len()
        );
        let exchange = async {
            let mut stream = TcpStream::connect(self.nodes.caller_address(node)).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            read_message(&mut stream).await
        };
        let answer = timeout(Duration::from_secs(5), exchange).await.ok().flatten();
        let outcome = match answer.map(|answer| answer.status()) {
            Some(status @ (408 | 421 | 429 | 503)) => Outcome::NotRun(status),
            Some(status) => Outcome::Failed(status),
            None => Outcome::Broken,
        };
        self.ledger.record_outcome(&id, outcome);
    }

    async fn inject_store_outage(&self, mode: Mode, time: Duration) -> anyhow::Result<()> {
        self.ledger.record_outage(time);
        // Nodes can't read any record during the outage.
        (0..self.nodes.count()).for_each(|node| self.nodes.mark_disturbed(node, time));
        self.store.set_mode(mode);
        sleep(time).await;
        self.store.set_mode(Mode::Up);
        Ok(())
    }

    /// Writes a configuration and checks that all nodes serve its new route in time.
    async fn change_config(&self, version: u64) -> anyhow::Result<()> {
        self.store.put_config(version);
        let sent_at = Instant::now();
        sleep(CONFIG_IN_FORCE_MAX).await;
        for node in 0..self.nodes.count() {
            let status = self.status_of(node, &format!("/v{version}/x")).await;
            if status == Some(404) && !self.nodes.was_disturbed(node, sent_at) {
                let elapsed = sent_at.elapsed();
                self.ledger.record_violation(format!(
                    "node {node} lacks configuration {version} {elapsed:?} after"
                ));
            }
        }
        Ok(())
    }

    async fn status_of(&self, node: usize, path: &str) -> Option<u16> {
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer secret\r\n\r\n"
        );
        let exchange = async {
            let mut stream = TcpStream::connect(self.nodes.caller_address(node)).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            read_message(&mut stream).await
        };
        Some(timeout(Duration::from_secs(1), exchange).await.ok()??.status())
    }
}
