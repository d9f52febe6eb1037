//! Callers: each sends one request on a connection of its own and checks the answer.

use {
    crate::{
        ledger::{Ledger, Outcome, RequestKind},
        nodes::Nodes,
        upstreams::{EVENTS, event_data, plain_body},
    },
    fernring_standins::message::{Message, read_partial_message},
    rand::{RngExt, SeedableRng, rngs::StdRng},
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

/// Deadline that callers give their requests, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 4_000;
/// How long callers wait for the end of an answer: the deadline and 0.5 s.
const PATIENCE: Duration = Duration::from_millis(DEADLINE_MS + 500);

/// Sends requests at a constant rate until `end`. Each request runs in a task of its own.
pub(crate) async fn generate_load(
    nodes: Arc<Nodes>,
    ledger: Arc<Ledger>,
    seed: u64,
    rate: f64,
    checks_streams: bool,
    end: tokio::time::Instant,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while tokio::time::Instant::now() < end {
        let kind = RequestKind::ALL[random.random_range(0..RequestKind::ALL.len())];
        let node = random.random_range(0..nodes.count());
        let (nodes, ledger) = (nodes.clone(), ledger.clone());
        let caller = Caller { nodes, ledger, node, kind, checks_streams };
        tokio::spawn(caller.send_request(format!("r{number}")));
        number += 1;
        sleep(Duration::from_secs_f64(1.0 / rate)).await;
    }
}

/// A caller of one request.
struct Caller {
    nodes: Arc<Nodes>,
    ledger: Arc<Ledger>,
    node: usize,
    kind: RequestKind,
    /// Whether streams may only be cut if their upstream broke off. With other faults than silent
    /// upstreams, streams are lost with their upstreams and nodes.
    checks_streams: bool,
}

impl Caller {
    async fn send_request(self, id: String) {
        let sent_at = Instant::now();
        self.ledger.record_request(&id, self.kind, self.node);
        let connecting = TcpStream::connect(self.nodes.caller_address(self.node));
        let connected = timeout(Duration::from_secs(1), connecting).await;
        let Ok(Ok(mut stream)) = connected else {
            return self.ledger.record_outcome(&id, Outcome::NotConnected);
        };
        let mut is_held = false;
        let outcome = match stream.write_all(self.request(&id).as_bytes()).await {
            Ok(()) => {
                let answer = timeout(PATIENCE, read_partial_message(&mut stream)).await;
                is_held = answer.is_err();
                self.classify(&id, answer.ok().flatten())
            }
            Err(_) => Outcome::Broken,
        };
        if is_held && !self.nodes.was_disturbed(self.node, sent_at) {
            let (kind, node) = (self.kind.name(), self.node);
            self.ledger.record_violation(format!(
                "{id} ({kind}) was held past its deadline by sound node {node}"
            ));
        }
        // Nodes buffer a plain answer until it is complete, so only the end of the node itself
        // breaks it off. A request that meets the planned stop of its node may be dropped, but
        // only if no upstream has run it.
        let is_plain = matches!(self.kind, RequestKind::Safe | RequestKind::Once);
        let may_be_dropped =
            self.nodes.was_stopping(self.node, sent_at) && !self.ledger.has_run(&id);
        let is_expired = sent_at.elapsed() >= Duration::from_millis(DEADLINE_MS);
        let is_cut = !is_expired && !self.ledger.was_broken_off(&id);
        if outcome == Outcome::Broken
            && (is_plain || self.checks_streams && is_cut)
            && !may_be_dropped
            && !self.nodes.was_disturbed(self.node, sent_at)
        {
            let (kind, node) = (self.kind.name(), self.node);
            self.ledger.record_violation(format!(
                "{id} ({kind}) got no whole answer from sound node {node}"
            ));
        }
        self.ledger.record_outcome(&id, outcome);
    }

    fn request(&self, id: &str) -> String {
        let extra_headers = match self.kind {
            RequestKind::Staged => format!(
                "Pieces: 2,3\r\nPiece-Key: {id}\r\nToken-Counts: 100,10\r\nPrompt-Prefix: a:90,b:10\r\n"
            ),
            _ => String::new(),
        };
        let method = if self.kind == RequestKind::Safe { "GET" } else { "POST" };
        format!(
            "{method} /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: {DEADLINE_MS}\r\n\
             Authorization: Bearer secret\r\n{extra_headers}Content-Length: 0\r\n\r\n",
            self.kind.name()
        )
    }

    fn classify(&self, id: &str, answer: Option<(Message, bool)>) -> Outcome {
        let Some((answer, is_whole)) = answer else {
            return Outcome::Broken;
        };
        match answer.status() {
            200 if self.has_right_body(id, &answer, is_whole) => match is_whole {
                true => Outcome::Served,
                false => Outcome::Broken,
            },
            200 => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                self.ledger.record_violation(format!("{id} ({}) got {body:?}", self.kind.name()));
                Outcome::Failed(200)
            }
            status @ (408 | 421 | 429 | 503) => Outcome::NotRun(status),
            status @ 400..500 => {
                self.ledger.record_violation(format!("{id} was answered {status}"));
                Outcome::Failed(status)
            }
            status => Outcome::Failed(status),
        }
    }

    /// Returns whether the body belongs to this request: the complete body, or a prefix of its
    /// events if the answer was broken off.
    fn has_right_body(&self, id: &str, answer: &Message, is_whole: bool) -> bool {
        let body = String::from_utf8_lossy(&answer.body);
        if matches!(self.kind, RequestKind::Safe | RequestKind::Once) {
            return !is_whole || body == plain_body(id);
        }
        let events: String = (1..=EVENTS)
            .map(|number| format!("id: {number}\ndata: {}\n\n", event_data(id, number)))
            .collect();
        if is_whole { body == events } else { events.starts_with(&*body) }
    }
}
