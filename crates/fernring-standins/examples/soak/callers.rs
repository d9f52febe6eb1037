//! Callers: each sends one request on a connection of its own and judges what comes back.

use {
    crate::{
        ledger::{End, Kind, Ledger},
        nodes::Nodes,
        upstreams::{EVENTS, event_data, plain_body},
    },
    fernring_standins::message::{Message, read_part},
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

/// How long a caller waits, in milliseconds.
pub(crate) const DEADLINE_MS: u64 = 4_000;

/// Sends requests at a rate until `end`, and waits for their answers.
pub(crate) async fn run(
    nodes: Arc<Nodes>,
    ledger: Arc<Ledger>,
    seed: u64,
    rate: f64,
    end: tokio::time::Instant,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut number = 0;
    while tokio::time::Instant::now() < end {
        let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
        let node = random.random_range(0..nodes.count());
        let caller = Caller { nodes: nodes.clone(), ledger: ledger.clone(), node, kind };
        tokio::spawn(caller.ask(format!("r{number}")));
        number += 1;
        sleep(Duration::from_secs_f64(1.0 / rate)).await;
    }
}

struct Caller {
    nodes: Arc<Nodes>,
    ledger: Arc<Ledger>,
    node: usize,
    kind: Kind,
}

impl Caller {
    async fn ask(self, id: String) {
        let sent_at = Instant::now();
        self.ledger.asked(&id, self.kind);
        let connecting = TcpStream::connect(self.nodes.callers(self.node));
        let connected = timeout(Duration::from_secs(1), connecting).await;
        let Ok(Ok(mut stream)) = connected else {
            return self.ledger.ended(&id, End::NotConnected);
        };
        let end = match stream.write_all(self.request(&id).as_bytes()).await {
            Ok(()) => {
                let time = Duration::from_millis(DEADLINE_MS + 500);
                let answer = timeout(time, read_part(&mut stream)).await.ok().flatten();
                self.judge(&id, answer)
            }
            Err(_) => End::Broken,
        };
        // A plain answer is held until it is whole, so only the node's own end breaks it. What
        // crosses the close of one that stops as planned must not have been passed on.
        let is_plain = matches!(self.kind, Kind::Safe | Kind::Once);
        let may_cross = self.nodes.was_stopping(self.node, sent_at) && !self.ledger.has_run(&id);
        if end == End::Broken
            && is_plain
            && !may_cross
            && !self.nodes.was_disturbed(self.node, sent_at)
        {
            let (kind, node) = (self.kind.name(), self.node);
            self.ledger.broken(format!("{id} ({kind}) got no whole answer from sound node {node}"));
        }
        self.ledger.ended(&id, end);
    }

    fn request(&self, id: &str) -> String {
        let more = match self.kind {
            Kind::Staged => format!(
                "Pieces: 2,3\r\nPiece-Key: {id}\r\nToken-Counts: 100,10\r\nPrompt-Prefix: a:90,b:10\r\n"
            ),
            _ => String::new(),
        };
        let method = if self.kind == Kind::Safe { "GET" } else { "POST" };
        format!(
            "{method} /{}/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\nDeadline-Remaining: {DEADLINE_MS}\r\n\
             Authorization: Bearer secret\r\n{more}Content-Length: 0\r\n\r\n",
            self.kind.name()
        )
    }

    fn judge(&self, id: &str, answer: Option<(Message, bool)>) -> End {
        let Some((answer, is_whole)) = answer else {
            return End::Broken;
        };
        match answer.status() {
            200 if self.has_right_body(id, &answer, is_whole) => match is_whole {
                true => End::Served,
                false => End::Broken,
            },
            200 => {
                let body = String::from_utf8_lossy(&answer.body).into_owned();
                self.ledger.broken(format!("{id} ({}) got {body:?}", self.kind.name()));
                End::Failed(200)
            }
            status @ (408 | 421 | 429 | 503) => End::NotRun(status),
            status @ 400..500 => {
                self.ledger.broken(format!("{id} was answered {status}"));
                End::Failed(status)
            }
            status => End::Failed(status),
        }
    }

    /// Tells whether a body is the request's own: the whole one, or the beginning of its events.
    fn has_right_body(&self, id: &str, answer: &Message, is_whole: bool) -> bool {
        let body = String::from_utf8_lossy(&answer.body);
        if matches!(self.kind, Kind::Safe | Kind::Once) {
            return !is_whole || body == plain_body(id);
        }
        let all: String = (1..=EVENTS)
            .map(|number| format!("id: {number}\ndata: {}\n\n", event_data(id, number)))
            .collect();
        if is_whole { body == all } else { all.starts_with(&*body) }
    }
}
