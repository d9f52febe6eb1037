//! Changes the versions of a service while all or half of the nodes are killed at once, and checks
//! that streams which callers take up hold events of one version and go on where they can.

use {
    crate::{
        callers::DEADLINE_MS,
        faults::SystemUnderTest,
        ledger::{Outcome, RequestKind},
        upstreams::{FEED_EVENTS, FEED_SERVICE, FEED_UPSTREAMS, Upstream, event_data},
    },
    fernring_standins::message::{Message, read_partial_message},
    rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom},
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::TcpStream,
        time::{sleep, timeout},
    },
};

/// Streams that begin each second.
const STREAMS_PER_S: u64 = 20;
/// How long a caller takes a stream up, and how long it waits for the last event.
const TAKEN_UP_WITHIN: Duration = Duration::from_millis(DEADLINE_MS);
const STREAM_TIME_MAX: Duration = Duration::from_millis(DEADLINE_MS + 2_000);
/// Times that a caller takes up a stream.
const TAKE_UPS_MAX: usize = 3;
/// Pauses before a stream is taken up, and after a refused connection.
const TAKE_UP_PAUSE: Duration = Duration::from_millis(150);
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Time from the first event after which a stream must survive the end of all nodes.
const KEPT_AFTER: Duration = Duration::from_millis(300);
/// Time after an outage of the store in which nodes may still lack records.
const STORE_SETTLE_TIME: Duration = Duration::from_secs(2);
/// The smallest number of streams taken up after an end of all nodes whose share is checked, and the
/// smallest ratio of that share to the share of new streams that begin.
const CHECKED_TAKE_UPS_MIN: usize = 8;
const KEPT_RATIO_MIN: f64 = 0.5;
/// The versions, and the share of the kills that spare half of the nodes, as of those that are
/// repeated.
const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
const HALF_SHARE: f64 = 0.3;
/// How long the upstreams of a version that has left serve on.
const LEAVING_TIME: Duration = Duration::from_secs(3);
/// How long killed nodes count as disturbed: until they have started.
const START_TIME: Duration = Duration::from_secs(2);
/// Time for which streams are taken up before versions change again.
const TAKE_UPS_TIME: Duration = Duration::from_millis(1_800);
/// Time that a change of versions takes.
const ROUND_TIME: Duration = Duration::from_secs(4);

/// What becomes of the old version when nodes are killed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// There is one version.
    None,
    /// It serves beside the new one.
    Stays,
    /// It leaves shortly before.
    LeavesBefore,
    /// It leaves while the nodes are down.
    LeavesMeanwhile,
    /// Its instances start again with the new version while the nodes are down.
    StartsAgain,
    /// It stays, and the new one comes shortly before and is gone while the nodes are down.
    Returns,
}

const CHANGES: [Change; 6] = [
    Change::None,
    Change::Stays,
    Change::LeavesBefore,
    Change::LeavesMeanwhile,
    Change::StartsAgain,
    Change::Returns,
];

/// How many of the streams that were taken up after an end of all nodes went on, and how many of the
/// new ones beside them began: of each, the number and how many did.
#[derive(Debug, Default)]
struct Kept {
    taken_up: (usize, usize),
    new: (usize, usize),
}

#[derive(Debug, Default)]
struct Inner {
    /// When all nodes were killed at once, and what became of the old version.
    ends: Vec<(Instant, Change)>,
    kept: BTreeMap<usize, Kept>,
}

/// What callers saw of the streams whose versions change.
#[derive(Debug, Default)]
pub(crate) struct Streams(Mutex<Inner>);

impl Streams {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of the last end of all nodes, if `since` is long enough before it.
    fn last_end(&self, since: Instant) -> Option<usize> {
        let inner = self.lock();
        let (at, _) = inner.ends.last()?;
        (since + KEPT_AFTER <= *at).then(|| inner.ends.len() - 1)
    }

    fn record(&self, end: usize, select: impl Fn(&mut Kept) -> &mut (usize, usize), is_kept: bool) {
        let mut inner = self.lock();
        let is_cut = inner.ends.len() != end + 1;
        if is_cut && !is_kept {
            return;
        }
        let (count, kept) = select(inner.kept.entry(end).or_default());
        *count += 1;
        *kept += usize::from(is_kept);
    }

    /// Returns a line for each end of all nodes, and the ends after which too few streams went on.
    pub(crate) fn check(&self) -> (Vec<String>, Vec<String>) {
        let inner = self.lock();
        let (mut lines, mut violations) = (Vec::new(), Vec::new());
        for (end, Kept { taken_up, new }) in &inner.kept {
            let share = |(count, kept): &(usize, usize)| *kept as f64 / (*count).max(1) as f64;
            let line = format!(
                "end {end} ({:?}): {} of {} streams went on, {} of {} new ones began",
                inner.ends[*end].1, taken_up.1, taken_up.0, new.1, new.0
            );
            if taken_up.0 >= CHECKED_TAKE_UPS_MIN && share(taken_up) < share(new) * KEPT_RATIO_MIN {
                violations.push(format!("LOST {line}"));
            }
            lines.push(line);
        }
        (lines, violations)
    }
}

/// Begins streams at a constant rate until `end`. Each runs in a task of its own.
async fn read_streams(
    system: SystemUnderTest,
    streams: Arc<Streams>,
    mut random: StdRng,
    end: tokio::time::Instant,
) {
    let mut number = 0;
    while tokio::time::Instant::now() < end {
        let node = random.random_range(0..system.nodes.count());
        let reader = Reader::new(&system, &streams, format!("f{number}"), random.random());
        tokio::spawn(reader.read(node));
        number += 1;
        sleep(Duration::from_secs(1) / STREAMS_PER_S as u32).await;
    }
}

/// What an attempt brought.
#[derive(Debug, PartialEq, Eq)]
enum Attempt {
    /// Events, or the end of the stream, or wrong ones, after which the caller is done.
    Answered { is_done: bool },
    /// No event.
    Nothing,
}

/// A caller that reads one stream.
struct Reader {
    system: SystemUnderTest,
    streams: Arc<Streams>,
    id: String,
    random: StdRng,
    started_at: Instant,
    first_event_at: Option<Instant>,
    /// Number of the last event, and the version that sent it.
    last: u64,
    version: Option<String>,
}

impl Reader {
    fn new(system: &SystemUnderTest, streams: &Arc<Streams>, id: String, seed: u64) -> Self {
        Self {
            system: system.clone(),
            streams: streams.clone(),
            id,
            random: StdRng::seed_from_u64(seed),
            started_at: Instant::now(),
            first_event_at: None,
            last: 0,
            version: None,
        }
    }

    /// Reads the stream from a node, and takes it up at other nodes when it breaks.
    async fn read(mut self, mut node: usize) {
        let mut attempt = self.send(self.id.clone(), node).await;
        for number in 1..=TAKE_UPS_MAX {
            let Some(first_event_at) = self.first_event_at else { return };
            if attempt == (Attempt::Answered { is_done: true }) {
                return;
            }
            sleep(TAKE_UP_PAUSE).await;
            let count = self.system.nodes.count();
            node = (node + self.random.random_range(1..count)) % count;
            while TcpStream::connect(self.system.nodes.caller_address(node)).await.is_err()
                && self.started_at.elapsed() < TAKEN_UP_WITHIN
            {
                sleep(RECONNECT_PAUSE).await;
                node = (node + 1) % count;
            }
            if self.started_at.elapsed() >= TAKEN_UP_WITHIN {
                return;
            }
            let id = format!("{}-{number}", self.id);
            let end = self.streams.last_end(first_event_at);
            let could_go_on = self.can_go_on(first_event_at);
            let beside = end.map(|_| self.begin_beside(format!("{id}-new"), node));
            attempt = self.send(id, node).await;
            let goes_on = attempt != Attempt::Nothing;
            let is_checked = could_go_on && (goes_on || self.can_go_on(first_event_at));
            if is_checked && let Some((end, beside)) = end.zip(beside) {
                self.streams.record(end, |kept| &mut kept.taken_up, goes_on);
                let streams = self.streams.clone();
                tokio::spawn(async move {
                    let has_begun = beside.await.unwrap_or(false);
                    streams.record(end, |kept| &mut kept.new, has_begun);
                });
            }
        }
    }

    /// Begins a stream at the same node as one that is taken up. The result is whether it has begun.
    fn begin_beside(&self, id: String, node: usize) -> tokio::task::JoinHandle<bool> {
        let mut reader = Self::new(&self.system, &self.streams, id.clone(), 0);
        tokio::spawn(async move { reader.send(id, node).await != Attempt::Nothing })
    }

    /// Returns whether its version serves and the store has been available since its first event.
    fn can_go_on(&self, first_event_at: Instant) -> bool {
        let is_same = |upstream: &Arc<Upstream>| {
            upstream.service == FEED_SERVICE && Some(&upstream.version) == self.version.as_ref()
        };
        self.system.upstreams.all().iter().any(is_same)
            && !self.system.ledger.had_outage_since(first_event_at - STORE_SETTLE_TIME)
    }

    /// Sends one request for the events after the last one.
    async fn send(&mut self, id: String, node: usize) -> Attempt {
        let ledger = self.system.ledger.clone();
        ledger.record_request(&id, RequestKind::Feed, node);
        let left = STREAM_TIME_MAX.saturating_sub(self.started_at.elapsed());
        let resumed = match self.last {
            0 => String::new(),
            last => format!("Last-Event-Id: {last}\r\nResumes: {}\r\n", self.id),
        };
        let request = format!(
            "POST /{FEED_SERVICE}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: {}\r\n\
             Authorization: Bearer secret\r\n{resumed}Content-Length: 0\r\n\r\n",
            left.as_millis()
        );
        let exchange = async {
            let mut stream =
                TcpStream::connect(self.system.nodes.caller_address(node)).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            // Nodes send the head of an answer with the first event.
            stream.peek(&mut [0]).await.ok()?;
            Some((Instant::now(), read_partial_message(&mut stream).await))
        };
        let answer = timeout(left, exchange).await.ok().flatten();
        let Some((at, Some((answer, is_whole)))) = answer else {
            ledger.record_outcome(&id, Outcome::Broken);
            return Attempt::Nothing;
        };
        let outcome = match answer.status() {
            200 if is_whole => Outcome::Served,
            200 => Outcome::Broken,
            status @ (408 | 421 | 429 | 503) => Outcome::NotRun(status),
            status => Outcome::Failed(status),
        };
        ledger.record_outcome(&id, outcome);
        if answer.status() != 200 {
            return Attempt::Nothing;
        }
        let last = self.last;
        let mut violation = self.take_events(&answer, &id);
        if violation.is_none() && is_whole && self.last != FEED_EVENTS {
            violation = Some(format!("ended as whole after event {}", self.last));
        }
        if let Some(violation) = violation {
            ledger.record_violation(format!("ORDER {id} {violation}"));
            return Attempt::Answered { is_done: true };
        }
        if !is_whole && self.last == last {
            return Attempt::Nothing;
        }
        self.first_event_at.get_or_insert(at);
        Attempt::Answered { is_done: is_whole }
    }

    /// Takes the complete events of an answer. Returns what is wrong with one, if anything: each must
    /// follow the one before and come from the same version.
    fn take_events(&mut self, answer: &Message, id: &str) -> Option<String> {
        let body = String::from_utf8_lossy(&answer.body);
        for event in body.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
            let number = self.last + 1;
            let start = format!("id: {number}\ndata: {}@", event_data(id, number));
            let Some(version) = event.strip_prefix(&start).map(str::trim_end) else {
                return Some(format!("got {event:?} after event {}", self.last));
            };
            let first = self.version.get_or_insert_with(|| version.to_owned());
            if first != version {
                return Some(format!("joins {version} to {first} at event {number}"));
            }
            self.last = number;
        }
        None
    }
}

/// Changes the versions of the service until `end`, in parallel to all other faults, while callers
/// read streams.
///
/// # Errors
/// If an upstream or a node can't be started.
pub(crate) async fn change_versions(
    system: SystemUnderTest,
    streams: Arc<Streams>,
    seed: u64,
    end: tokio::time::Instant,
) -> anyhow::Result<()> {
    let mut random = StdRng::seed_from_u64(seed.rotate_left(2));
    let readers = read_streams(system.clone(), streams.clone(), StdRng::from_rng(&mut random), end);
    let changes = async {
        let mut version = "v1";
        while tokio::time::Instant::now() + ROUND_TIME < end {
            version = system.change_version(&streams, version, &mut random).await?;
        }
        Ok(())
    };
    tokio::join!(readers, changes).1
}

impl SystemUnderTest {
    /// Changes the version and kills nodes once or twice. Returns the version that is left.
    async fn change_version(
        &self,
        streams: &Streams,
        old: &'static str,
        random: &mut StdRng,
    ) -> anyhow::Result<&'static str> {
        let mut pause = |ms| Duration::from_millis(random.random_range(ms));
        let pauses = [pause(400..900), pause(300..900), pause(50..900), pause(300..800)];
        let change = CHANGES.choose(random).copied().unwrap_or(Change::None);
        let others: Vec<_> = VERSIONS.into_iter().filter(|version| *version != old).collect();
        let new = others.choose(random).copied().unwrap_or(old);
        let is_half = random.random_bool(HALF_SHARE) && change != Change::StartsAgain;
        let count = self.nodes.count();
        let killed: Vec<usize> = (0..count).filter(|node| !is_half || node % 2 == 0).collect();
        self.ledger.record_fault(&format!("{change:?}{}", if is_half { " half" } else { "" }));
        sleep(pauses[0]).await;
        if !matches!(change, Change::None | Change::StartsAgain) {
            for _ in 0..FEED_UPSTREAMS {
                self.upstreams.add_version(FEED_SERVICE, new.to_owned(), false).await?;
            }
        }
        sleep(if change == Change::Returns { pauses[1] / 5 } else { pauses[1] }).await;
        if change == Change::LeavesBefore {
            self.remove_version(old);
            sleep(pauses[2]).await;
        }
        let meanwhile = async {
            match change {
                Change::LeavesMeanwhile => self.remove_version(old),
                Change::Returns => self.remove_version(new),
                Change::StartsAgain => {
                    for upstream in self.upstreams.take_version(FEED_SERVICE, old, true) {
                        upstream.announce_limit(None);
                        upstream.crash();
                        self.upstreams.restart(&upstream, new.to_owned()).await?;
                    }
                }
                Change::None | Change::Stays | Change::LeavesBefore => {}
            }
            Ok(())
        };
        self.kill_nodes(&killed, streams, change, meanwhile).await?;
        if random.random_bool(HALF_SHARE) {
            sleep(pauses[3]).await;
            self.kill_nodes(&killed, streams, change, async { Ok(()) }).await?;
        }
        sleep(TAKE_UPS_TIME).await;
        if change == Change::Stays {
            self.remove_version(old);
        }
        Ok(if matches!(change, Change::None | Change::Returns) { old } else { new })
    }

    async fn kill_nodes(
        &self,
        killed: &[usize],
        streams: &Streams,
        change: Change,
        meanwhile: impl Future<Output = anyhow::Result<()>>,
    ) -> anyhow::Result<()> {
        for node in killed {
            while !self.nodes.reserve(*node) {
                sleep(RECONNECT_PAUSE).await;
            }
            self.nodes.mark_disturbed(*node, START_TIME);
        }
        let killed_at = Instant::now();
        let is_end = killed.len() == self.nodes.count();
        if is_end {
            streams.lock().ends.push((killed_at, change));
        }
        let result = self.nodes.kill_together(killed, meanwhile).await;
        killed.iter().for_each(|node| self.nodes.release(*node));
        result?;
        self.nodes.wait_until_ready().await?;
        if is_end {
            self.ledger.record_downtime(killed_at);
        }
        Ok(())
    }

    /// Removes the records of a version. Its upstreams serve on and end later.
    fn remove_version(&self, version: &str) {
        for upstream in self.upstreams.take_version(FEED_SERVICE, version, true) {
            let Upstream { instance, service, version, address, .. } = &*upstream;
            self.store.put_upstream_version(version, instance, service, *address, None);
            self.ledger.record_leaving(instance);
            tokio::spawn(async move {
                sleep(LEAVING_TIME).await;
                upstream.crash();
            });
        }
    }
}
