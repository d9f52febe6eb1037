//! Claims, tickets, and the word of other owners.

use {
    super::{
        Dispatcher,
        admit::fingerprint,
        entry::{ClaimState, Entry, Phase},
        finish::Kept,
    },
    crate::{
        answer::{Answer, Unattempted},
        claims::{Owner, Verdict, build_batch},
        event::{Action, Forward, KeyStatus, OwnerAnswer, Submission},
        settings::PolicySettings,
    },
    fernring_core::{
        claim::{ClaimEntry, ClaimKind, ClaimPage},
        clock::Now,
        code::{Class, ResultCode},
        ids::{Incarnation, RequestId, RequestKey, ScopedKey, Ticket, WaiterId},
        text::LogLine,
    },
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// Where a submission with a key goes.
pub(super) enum KeyPath {
    /// Nothing is known of the key: admit it.
    Fresh,
    /// Its request is under way here.
    Join(RequestId),
    /// Its word is known.
    Answer(Answer),
    /// It can't be taken.
    Refuse(ResultCode),
    /// Another incarnation answers for it.
    Owner(OwnerAddress),
}

/// An incarnation and where it is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnerAddress {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
}

/// Tickets minted by this incarnation.
///
/// Invariant: serials in `1..next` were handed out once; those below the first block's start are
/// no longer valid.
#[derive(Debug)]
pub(crate) struct TicketBook {
    next: u64,
    blocks: VecDeque<TicketBlock>,
}

#[derive(Debug, Clone, Copy)]
struct TicketBlock {
    first: u64,
    minted: Duration,
}

impl Default for TicketBook {
    fn default() -> Self {
        Self { next: 1, blocks: VecDeque::new() }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TicketState {
    Valid,
    Expired,
    NeverMinted,
}

impl TicketBook {
    fn first_valid(&self) -> u64 {
        self.blocks.front().map_or(self.next, |block| block.first)
    }

    fn state(&self, serial: u64) -> TicketState {
        if serial == 0 || serial >= self.next {
            return TicketState::NeverMinted;
        }
        if serial < self.first_valid() { TicketState::Expired } else { TicketState::Valid }
    }

    pub(super) fn expire(&mut self, now: Duration, settings: &PolicySettings) {
        let valid = Duration::from_millis(settings.ticket_valid_ms);
        while self.blocks.front().is_some_and(|block| block.minted + valid <= now) {
            self.blocks.pop_front();
        }
    }
}

impl Dispatcher {
    /// Mints tickets: keys that only this incarnation may ever run.
    ///
    /// # Errors
    /// Refuses when the node is draining or as many tickets are valid as its settings allow.
    pub fn mint_tickets(&mut self, now: Now, count: u64) -> Result<Vec<RequestKey>, Answer> {
        self.tickets.expire(now.monotonic, &self.settings);
        let outstanding = self.tickets.next - self.tickets.first_valid();
        let refusal = match self.draining {
            true => Some(ResultCode::NotReady),
            false if outstanding + count > self.settings.tickets_max => Some(ResultCode::NodeFull),
            false => None,
        };
        if let Some(code) = refusal {
            let proof = Unattempted::never_accepted();
            return Err(Answer::not_run(proof, code, self.settings.retry_after_ms));
        }
        let first = self.tickets.next;
        self.tickets.next += count;
        if count > 0 {
            self.tickets.blocks.push_back(TicketBlock { first, minted: now.monotonic });
        }
        let Self { me, .. } = self;
        let ticket = |serial| {
            let (incarnation, address) = (me.incarnation, me.address);
            RequestKey::Ticket(Ticket { incarnation, address, serial })
        };
        Ok((first..first + count).map(ticket).collect())
    }

    /// Decides where a submission with a key goes.
    pub(super) fn key_path(&self, now: Now, submission: &Submission, key: &ScopedKey) -> KeyPath {
        if let Some(request) = self.by_key.get(key) {
            return KeyPath::Join(*request);
        }
        if let Some(kept) = self.kept.get(key) {
            return self.kept_path(kept, submission, key);
        }
        match key.key {
            RequestKey::Ticket(ticket) => self.ticket_path(ticket),
            RequestKey::Minted(_) => self.minted_path(now, submission, key),
        }
    }

    fn kept_path(&self, kept: &Kept, submission: &Submission, key: &ScopedKey) -> KeyPath {
        if kept.fingerprint != fingerprint(submission) {
            return KeyPath::Refuse(ResultCode::KeyMismatch);
        }
        if !kept.is_unsettled() || submission.forwarded {
            return KeyPath::Answer(kept.answer.clone());
        }
        match self.claim_view.verdict(key) {
            Verdict::Undecided => KeyPath::Answer(kept.answer.clone()),
            Verdict::Owned(owner) if owner.incarnation != self.me.incarnation => {
                self.owned_path(owner)
            }
            // The claim turned out to be this node's own, which has given the key up.
            _ if kept.answer.code().class() == Class::NotRun => {
                KeyPath::Refuse(ResultCode::KeySpent)
            }
            _ => KeyPath::Answer(Answer::failure(ResultCode::KeyEnded, 0)),
        }
    }

    fn ticket_path(&self, ticket: Ticket) -> KeyPath {
        if ticket.incarnation != self.me.incarnation {
            let Ticket { incarnation, address, .. } = ticket;
            return KeyPath::Owner(OwnerAddress { incarnation, address });
        }
        match self.tickets.state(ticket.serial) {
            TicketState::Valid => KeyPath::Fresh,
            TicketState::Expired => KeyPath::Answer(Answer::failure(ResultCode::KeyExpired, 0)),
            TicketState::NeverMinted => KeyPath::Refuse(ResultCode::BadKey),
        }
    }

    fn minted_path(&self, now: Now, submission: &Submission, key: &ScopedKey) -> KeyPath {
        match self.claim_view.verdict(key) {
            Verdict::Undecided => {}
            Verdict::Owned(owner) => return self.owned_path(owner),
            // This incarnation owned the key and no longer remembers what became of it.
            Verdict::Won | Verdict::HistoryIncomplete => {
                return KeyPath::Answer(Answer::failure(ResultCode::AnswerNotKept, 0));
            }
        }
        if submission.forwarded {
            return KeyPath::Answer(Answer::failure(ResultCode::OwnerUnreachable, 0));
        }
        let minted_ms = key.key.minted_ms().unwrap_or(0);
        let wall_ms = now.wall_ms();
        if minted_ms + self.settings.claim_horizon_ms < wall_ms {
            // An earlier submission may have run; nobody can tell any more.
            return KeyPath::Answer(Answer::failure(ResultCode::KeyExpired, 0));
        }
        if minted_ms > wall_ms + self.settings.clock_skew_ms {
            return KeyPath::Refuse(ResultCode::KeyFromFuture);
        }
        KeyPath::Fresh
    }

    fn owned_path(&self, owner: Owner) -> KeyPath {
        match owner.kind {
            ClaimKind::Spent => KeyPath::Refuse(ResultCode::KeySpent),
            ClaimKind::Ended => KeyPath::Answer(Answer::failure(ResultCode::KeyEnded, 0)),
            ClaimKind::Claim => KeyPath::Owner(address_of(owner)),
        }
    }

    pub(super) fn status_by_claims(&self, key: &ScopedKey) -> KeyStatus {
        let proof = Unattempted::never_accepted();
        match self.claim_view.verdict(key) {
            Verdict::Owned(Owner { kind: ClaimKind::Spent, .. }) => {
                KeyStatus::Ended(Answer::not_run(proof, ResultCode::KeySpent, 0))
            }
            Verdict::Owned(Owner { kind: ClaimKind::Ended, .. }) => {
                KeyStatus::Ended(Answer::failure(ResultCode::KeyEnded, 0))
            }
            Verdict::Owned(Owner { incarnation, address, .. }) => {
                KeyStatus::OwnedElsewhere { incarnation, address }
            }
            Verdict::Won | Verdict::HistoryIncomplete => {
                KeyStatus::Ended(Answer::failure(ResultCode::AnswerNotKept, 0))
            }
            Verdict::Undecided => KeyStatus::Unknown,
        }
    }

    /// Passes a submission on to the incarnation that owns its key. One that was already passed
    /// on goes no further: the word that the key is owned elsewhere came from an owner that does
    /// not know it.
    pub(super) fn pass_on(
        &mut self,
        now: Now,
        submission: Submission,
        owner: OwnerAddress,
        window: Duration,
    ) {
        let waiter = submission.waiter;
        if submission.forwarded {
            let retry_after_ms = self.settings.retry_after_ms;
            let answer = Answer::failure(ResultCode::OwnerUnreachable, retry_after_ms);
            return self.finish_waiter(waiter, answer);
        }
        self.counters.forwarded += 1;
        self.relays.insert(waiter);
        self.watch_waiter(now, waiter, window);
        self.forward(submission, owner);
    }

    fn forward(&mut self, submission: Submission, owner: OwnerAddress) {
        let line = LogLine::event("forward")
            .with("request", submission.uid)
            .with("workspace", &submission.workspace)
            .with_some("key", submission.key)
            .with("owner", owner.incarnation)
            .with("address", owner.address);
        self.log(line);
        let forward = Forward {
            waiter: submission.waiter,
            incarnation: owner.incarnation,
            address: owner.address,
            submission: Submission { forwarded: true, streaming: false, ..submission },
        };
        self.out.push(Action::Forward(Box::new(forward)));
    }

    pub(super) fn owner_answered(&mut self, now: Now, waiter: WaiterId, word: Option<OwnerAnswer>) {
        let word = word.unwrap_or(OwnerAnswer {
            code: ResultCode::OwnerUnreachable,
            output: None,
            retry_after_ms: Some(self.settings.retry_after_ms),
        });
        if self.relays.remove(&waiter) {
            let answer = Answer::relayed(word.code, word.output, word.retry_after_ms, 0);
            return self.finish_waiter(waiter, answer);
        }
        let request = self.waiting.get(&waiter).copied();
        let Some(request) = request.filter(|id| self.ledger[*id].phase == Phase::Relaying) else {
            return;
        };
        let attempts = self.ledger[request].attempts_made;
        let answer = Answer::relayed(word.code, word.output, word.retry_after_ms, attempts);
        self.end(now, request, answer);
    }

    /// Hands the next record over for the claim stream, if one may be appended now.
    pub(super) fn append_claims(&mut self, now: Now) {
        let view = &self.claim_view;
        let me = self.me.incarnation;
        self.claim_queue.retain(|entry| match view.verdict(&entry.key) {
            Verdict::Undecided => true,
            Verdict::Owned(owner) => owner.incarnation == me && owner.kind < entry.kind,
            Verdict::Won | Verdict::HistoryIncomplete => entry.kind != ClaimKind::Claim,
        });
        let interval = Duration::from_millis(self.settings.claim_interval_ms);
        if let Some(entries) = self.claim_queue.take_batch(now.monotonic, interval) {
            self.counters.appends += 1;
            let record = build_batch(me, self.me.address, entries);
            self.out.push(Action::AppendClaims(record));
        }
        if let Some(due_at) = self.claim_queue.next_append_at() {
            self.timers.set_pump(due_at);
        }
    }

    pub(super) fn claims_in_doubt(&mut self, now: Now) {
        let pause = Duration::from_millis(self.settings.claim_retry_ms);
        self.claim_queue.record_unknown_outcome(now.monotonic, pause);
    }

    pub(super) fn claims_read(&mut self, now: Now, page: ClaimPage) {
        for key in self.claim_view.apply_page(page) {
            if let Some(request) = self.by_key.get(&key).copied() {
                self.claim_decided(now, request, &key);
            }
        }
    }

    fn claim_decided(&mut self, now: Now, request: RequestId, key: &ScopedKey) {
        let entry = &mut self.ledger[request];
        if entry.claim != ClaimState::Pending || entry.phase == Phase::Relaying {
            return;
        }
        match self.claim_view.verdict(key) {
            Verdict::Undecided => {}
            Verdict::Won => {
                entry.claim = ClaimState::Won;
                if entry.phase == Phase::AwaitingClaim {
                    self.enter_stage(now, request);
                }
            }
            Verdict::HistoryIncomplete => self.end_with(now, request, ResultCode::ClaimViewTooShort),
            Verdict::Owned(owner) => self.claim_lost(now, request, owner),
        }
    }

    /// Stops running a request whose key belongs to another incarnation and waits for its word.
    fn claim_lost(&mut self, now: Now, request: RequestId, owner: Owner) {
        self.cancel_live(request);
        let entry = &mut self.ledger[request];
        let phase = std::mem::replace(&mut entry.phase, Phase::Relaying);
        if let Phase::Queued(place) = phase
            && let Some(queue) = self.queues.get_mut(&entry.current_stage().pool)
        {
            queue.remove(&place);
        }
        let stages = entry.pipeline.stages.len() as u16;
        let workspace = &entry.submission.workspace;
        self.forecast.settle(&entry.pipeline, entry.pending_from, stages, workspace);
        entry.pending_from = stages;
        let submission = entry.submission.clone();
        match owner.kind {
            ClaimKind::Claim => {
                // The first waiter may have left; the word is asked for under its name all the
                // same, since the entry still has to end.
                self.waiting.insert(submission.waiter, request);
                self.forward(submission, address_of(owner));
            }
            ClaimKind::Spent => self.end_with(now, request, ResultCode::KeySpent),
            ClaimKind::Ended => self.end_with(now, request, ResultCode::KeyEnded),
        }
    }

    /// Notes on the log that the key of an ended entry is used up, so that the truth outlives
    /// this node.
    pub(super) fn note_unused_claim(&mut self, entry: &Entry, key: &ScopedKey) {
        let minted = matches!(key.key, RequestKey::Minted(_));
        let effect = entry.effect_done || entry.effect_in_doubt();
        if !minted || entry.claim == ClaimState::NotNeeded || effect {
            return;
        }
        let kind = if entry.attempts_made == 0 { ClaimKind::Spent } else { ClaimKind::Ended };
        self.claim_queue.push(ClaimEntry { key: key.clone(), kind });
    }
}

fn address_of(owner: Owner) -> OwnerAddress {
    OwnerAddress { incarnation: owner.incarnation, address: owner.address }
}
