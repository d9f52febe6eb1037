//! Key ownership: claims, tickets, and answers from the owners of keys.

use {
    super::{
        Dispatcher,
        admission::fingerprint,
        entry::{ClaimState, Entry, Phase},
        finish::KeptAnswer,
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

/// How a submission with a key is handled.
pub(super) enum KeyRoute {
    /// The key is unused as far as this node knows: admit the submission.
    New,
    /// The request of the key is running here: join it.
    Join(RequestId),
    /// The final answer is known.
    Answer(Answer),
    /// The submission is refused.
    Refuse(ResultCode),
    /// Another incarnation owns the key: relay the submission to it.
    Forward(OwnerAddress),
}

/// An incarnation and its peer address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnerAddress {
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
}

/// Mints tickets of this incarnation and tracks which are still valid.
///
/// Invariant: each serial in `1..next_serial` was issued once; serials below the start of the first
/// block have expired.
#[derive(Debug)]
pub(crate) struct TicketIssuer {
    next_serial: u64,
    blocks: VecDeque<TicketBlock>,
}

/// Tickets that were minted together and expire together.
#[derive(Debug, Clone, Copy)]
struct TicketBlock {
    first_serial: u64,
    minted_at: Duration,
}

impl Default for TicketIssuer {
    fn default() -> Self {
        Self { next_serial: 1, blocks: VecDeque::new() }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TicketState {
    Valid,
    Expired,
    NeverMinted,
}

impl TicketIssuer {
    fn first_valid_serial(&self) -> u64 {
        self.blocks.front().map_or(self.next_serial, |block| block.first_serial)
    }

    fn state(&self, serial: u64) -> TicketState {
        if serial == 0 || serial >= self.next_serial {
            return TicketState::NeverMinted;
        }
        if serial < self.first_valid_serial() { TicketState::Expired } else { TicketState::Valid }
    }

    /// Forgets blocks of tickets whose validity has ended.
    pub(super) fn expire(&mut self, now: Duration, settings: &PolicySettings) {
        let valid = Duration::from_millis(settings.ticket_valid_ms);
        while self.blocks.front().is_some_and(|block| block.minted_at + valid <= now) {
            self.blocks.pop_front();
        }
    }
}

impl Dispatcher {
    /// Mints tickets: keys whose requests only this incarnation may run.
    ///
    /// # Errors
    /// Refuses if the node is draining or the number of valid tickets would exceed `tickets_max`.
    pub fn mint_tickets(&mut self, now: Now, count: u64) -> Result<Vec<RequestKey>, Answer> {
        self.ticket_issuer.expire(now.monotonic, &self.settings);
        let outstanding = self.ticket_issuer.next_serial - self.ticket_issuer.first_valid_serial();
        let refusal = match self.draining {
            true => Some(ResultCode::NotReady),
            false if outstanding + count > self.settings.tickets_max => Some(ResultCode::NodeFull),
            false => None,
        };
        if let Some(code) = refusal {
            let proof = Unattempted::never_accepted();
            return Err(Answer::not_run(proof, code, self.settings.retry_after_ms));
        }
        let first_serial = self.ticket_issuer.next_serial;
        self.ticket_issuer.next_serial += count;
        if count > 0 {
            self.ticket_issuer
                .blocks
                .push_back(TicketBlock { first_serial, minted_at: now.monotonic });
        }
        let Self { identity, .. } = self;
        let ticket = |serial| {
            let (incarnation, address) = (identity.incarnation, identity.address);
            RequestKey::Ticket(Ticket { incarnation, address, serial })
        };
        Ok((first_serial..first_serial + count).map(ticket).collect())
    }

    /// Decides how to handle a submission with a key.
    pub(super) fn route_key(&self, now: Now, submission: &Submission, key: &ScopedKey) -> KeyRoute {
        if let Some(request) = self.request_by_key.get(key) {
            return KeyRoute::Join(*request);
        }
        if let Some(kept) = self.kept_answers.get(key) {
            return self.route_kept(kept, submission, key);
        }
        match key.key {
            RequestKey::Ticket(ticket) => self.route_ticket(ticket),
            RequestKey::Minted(_) => self.route_minted(now, submission, key),
        }
    }

    fn route_kept(&self, kept: &KeptAnswer, submission: &Submission, key: &ScopedKey) -> KeyRoute {
        if kept.fingerprint != fingerprint(submission) {
            return KeyRoute::Refuse(ResultCode::KeyMismatch);
        }
        if !kept.is_unsettled() || submission.forwarded {
            return KeyRoute::Answer(kept.answer.clone());
        }
        match self.claim_view.verdict(key) {
            Verdict::Undecided => KeyRoute::Answer(kept.answer.clone()),
            Verdict::Owned(owner) if owner.incarnation != self.identity.incarnation => {
                self.route_owned(owner)
            }
            // This node got the claim after all, but has already abandoned the key.
            _ if kept.answer.code().class() == Class::NotRun => {
                KeyRoute::Refuse(ResultCode::KeySpent)
            }
            _ => KeyRoute::Answer(Answer::failure(ResultCode::KeyEnded, 0)),
        }
    }

    fn route_ticket(&self, ticket: Ticket) -> KeyRoute {
        if ticket.incarnation != self.identity.incarnation {
            let Ticket { incarnation, address, .. } = ticket;
            return KeyRoute::Forward(OwnerAddress { incarnation, address });
        }
        match self.ticket_issuer.state(ticket.serial) {
            TicketState::Valid => KeyRoute::New,
            TicketState::Expired => KeyRoute::Answer(Answer::failure(ResultCode::KeyExpired, 0)),
            TicketState::NeverMinted => KeyRoute::Refuse(ResultCode::BadKey),
        }
    }

    fn route_minted(&self, now: Now, submission: &Submission, key: &ScopedKey) -> KeyRoute {
        match self.claim_view.verdict(key) {
            Verdict::Undecided => {}
            Verdict::Owned(owner) => return self.route_owned(owner),
            // This incarnation owned the key but no longer keeps its answer.
            Verdict::Won | Verdict::HistoryIncomplete => {
                return KeyRoute::Answer(Answer::failure(ResultCode::AnswerNotKept, 0));
            }
        }
        if submission.forwarded {
            return KeyRoute::Answer(Answer::failure(ResultCode::OwnerUnreachable, 0));
        }
        let minted_ms = key.key.minted_ms().unwrap_or(0);
        let wall_ms = now.wall_ms();
        if minted_ms + self.settings.claim_horizon_ms < wall_ms {
            // An earlier submission may have run, but its claim is past the horizon.
            return KeyRoute::Answer(Answer::failure(ResultCode::KeyExpired, 0));
        }
        if minted_ms > wall_ms + self.settings.clock_skew_ms {
            return KeyRoute::Refuse(ResultCode::KeyFromFuture);
        }
        KeyRoute::New
    }

    fn route_owned(&self, owner: Owner) -> KeyRoute {
        match owner.kind {
            ClaimKind::Spent => KeyRoute::Refuse(ResultCode::KeySpent),
            ClaimKind::Ended => KeyRoute::Answer(Answer::failure(ResultCode::KeyEnded, 0)),
            ClaimKind::Claim => KeyRoute::Forward(owner_address(owner)),
        }
    }

    /// Returns the status of a key as the claim stream shows it.
    pub(super) fn key_status_from_claims(&self, key: &ScopedKey) -> KeyStatus {
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

    /// Relays a submission to the incarnation that owns its key.
    ///
    /// A submission that was already relayed goes no further: the relaying node took this one for
    /// the owner, and this one does not own the key.
    pub(super) fn relay(
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
            return self.answer_waiter(waiter, answer);
        }
        self.counters.forwarded += 1;
        self.relayed_waiters.insert(waiter);
        self.set_waiter_window(now, waiter, window);
        self.forward(submission, owner);
    }

    /// Emits the action that forwards a submission, and logs it.
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
        self.actions.push(Action::Forward(Box::new(forward)));
    }

    /// Gives the answer of a key's owner to the waiters of the relayed submission. `None` means
    /// that the owner can't be reached or does not know the key.
    pub(super) fn handle_owner_answered(
        &mut self,
        now: Now,
        waiter: WaiterId,
        owner_answer: Option<OwnerAnswer>,
    ) {
        let owner_answer = owner_answer.unwrap_or(OwnerAnswer {
            code: ResultCode::OwnerUnreachable,
            output: None,
            retry_after_ms: Some(self.settings.retry_after_ms),
        });
        if self.relayed_waiters.remove(&waiter) {
            let answer = Answer::relayed(
                owner_answer.code,
                owner_answer.output,
                owner_answer.retry_after_ms,
                0,
            );
            return self.answer_waiter(waiter, answer);
        }
        let request = self.request_by_waiter.get(&waiter).copied();
        let Some(request) = request.filter(|id| self.ledger[*id].phase == Phase::AwaitingOwner)
        else {
            return;
        };
        let attempts = self.ledger[request].attempts_made;
        let answer = Answer::relayed(
            owner_answer.code,
            owner_answer.output,
            owner_answer.retry_after_ms,
            attempts,
        );
        self.end_request(now, request, answer);
    }

    /// Appends the next record to the claim stream, if one may be appended now.
    pub(super) fn append_claims(&mut self, now: Now) {
        let view = &self.claim_view;
        let own_incarnation = self.identity.incarnation;
        self.claim_queue.retain(|entry| match view.verdict(&entry.key) {
            Verdict::Undecided => true,
            Verdict::Owned(owner) => {
                owner.incarnation == own_incarnation && owner.kind < entry.kind
            }
            Verdict::Won | Verdict::HistoryIncomplete => entry.kind != ClaimKind::Claim,
        });
        let interval = Duration::from_millis(self.settings.claim_interval_ms);
        if let Some(entries) = self.claim_queue.take_batch(now.monotonic, interval) {
            self.counters.appends += 1;
            let record = build_batch(own_incarnation, self.identity.address, entries);
            self.actions.push(Action::AppendClaims(record));
        }
        if let Some(next_append_at) = self.claim_queue.next_append_at() {
            self.timers.set_queue_check(next_append_at);
        }
    }

    pub(super) fn handle_claims_outcome_unknown(&mut self, now: Now) {
        let pause = Duration::from_millis(self.settings.claim_retry_ms);
        self.claim_queue.record_unknown_outcome(now.monotonic, pause);
    }

    pub(super) fn handle_claims_read(&mut self, now: Now, page: ClaimPage) {
        for key in self.claim_view.apply_page(page) {
            if let Some(request) = self.request_by_key.get(&key).copied() {
                self.apply_verdict(now, request, &key);
            }
        }
    }

    /// Continues, ends or relays a request whose claim was decided.
    fn apply_verdict(&mut self, now: Now, request: RequestId, key: &ScopedKey) {
        let entry = &mut self.ledger[request];
        if entry.claim != ClaimState::Pending || entry.phase == Phase::AwaitingOwner {
            return;
        }
        match self.claim_view.verdict(key) {
            Verdict::Undecided => {}
            Verdict::Won => {
                entry.claim = ClaimState::Won;
                if entry.phase == Phase::AwaitingClaim {
                    self.start_stage(now, request);
                }
            }
            Verdict::HistoryIncomplete => {
                self.end_with_code(now, request, ResultCode::ClaimViewTooShort);
            }
            Verdict::Owned(owner) => self.handle_claim_lost(now, request, owner),
        }
    }

    /// Stops a request whose key belongs to another incarnation, and waits for the answer of that
    /// incarnation.
    fn handle_claim_lost(&mut self, now: Now, request: RequestId, owner: Owner) {
        self.cancel_live_attempts(request);
        let entry = &mut self.ledger[request];
        let phase = std::mem::replace(&mut entry.phase, Phase::AwaitingOwner);
        if let Phase::Queued(position) = phase
            && let Some(queue) = self.queues.get_mut(&entry.current_stage().pool)
        {
            queue.remove(&position);
        }
        let stages = entry.pipeline.stages.len() as u16;
        let workspace = &entry.submission.workspace;
        self.forecast.remove_pending(&entry.pipeline, entry.pending_from_stage, stages, workspace);
        entry.pending_from_stage = stages;
        let submission = entry.submission.clone();
        match owner.kind {
            ClaimKind::Claim => {
                // The answer is requested for the first waiter even if that waiter has left, since
                // the entry still has to end.
                self.request_by_waiter.insert(submission.waiter, request);
                self.forward(submission, owner_address(owner));
            }
            ClaimKind::Spent => self.end_with_code(now, request, ResultCode::KeySpent),
            ClaimKind::Ended => self.end_with_code(now, request, ResultCode::KeyEnded),
        }
    }

    /// Queues a claim record that the key of an ended request is used up, so that other nodes know
    /// it even after this node is gone.
    pub(super) fn queue_used_up_record(&mut self, entry: &Entry, key: &ScopedKey) {
        let is_minted = matches!(key.key, RequestKey::Minted(_));
        let effect_may_have_run = entry.effect_done || entry.effect_in_doubt();
        if !is_minted || entry.claim == ClaimState::NotNeeded || effect_may_have_run {
            return;
        }
        let kind = if entry.attempts_made == 0 { ClaimKind::Spent } else { ClaimKind::Ended };
        self.claim_queue.push(ClaimEntry { key: key.clone(), kind });
    }
}

fn owner_address(owner: Owner) -> OwnerAddress {
    OwnerAddress { incarnation: owner.incarnation, address: owner.address }
}
