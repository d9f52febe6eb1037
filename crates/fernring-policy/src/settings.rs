//! Settings of the decisions. Every setting has a default.

use {
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// The part of the policy that is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Default)]
#[serde(rename_all = "snake_case")]
pub enum PolicyMode {
    /// The full policy.
    #[default]
    Full,
    /// Round robin, first come first served, no admission control, no hedges. The full policy is
    /// compared with this mode.
    Baseline,
}

/// Settings of the decisions: the table `[policy]` of a node's settings file.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PolicySettings {
    /// Whether the full policy or the baseline decides.
    pub mode: PolicyMode,
    /// Whether requests that can't finish within their window are refused on arrival.
    pub admission: bool,
    /// Whether a straggling attempt without side effect gets one hedge.
    pub hedging: bool,
    /// Whether engines are chosen by prompt prefix.
    pub prefix_affinity: bool,
    /// Most requests that the node holds at once.
    pub requests_max: usize,
    /// Most requests that wait for one pool.
    pub queue_max: usize,
    /// Largest response of one stage, in bytes.
    pub answer_max_bytes: usize,
    /// Most attempts at one stage of one request.
    pub stage_attempts_max: u32,
    /// Extra attempts allowed, in percent of recent first attempts.
    pub retry_budget_percent: u32,
    /// Largest share of a pool that may be ejected at once, in percent.
    pub eject_max_percent: u32,
    /// Number of consecutive failures after which an upstream is ejected.
    pub eject_after_failures: u32,
    /// Largest part of a pool's concurrency that a node may use, in percent of its even share. A
    /// higher value balances nodes that are not equally busy; a lower one keeps waiting requests
    /// queued in the nodes instead of at the upstreams.
    pub share_headroom_percent: u32,
    /// Duration of the first ejection of an upstream, in milliseconds. Repeated ejections last
    /// longer.
    pub eject_base_ms: u64,
    /// Time until an upstream that returns to service gets its full share, in milliseconds.
    pub slow_start_ms: u64,
    /// Age beyond which reports of upstreams are ignored, in milliseconds.
    pub report_stale_ms: u64,
    /// Largest age of a key that may be claimed, in milliseconds. Must be well below the log's
    /// retention.
    pub claim_horizon_ms: u64,
    /// Largest assumed difference between clocks when the age of a key is checked, in
    /// milliseconds.
    pub clock_skew_ms: u64,
    /// Time for which appends of claims may fail before requests that need a new claim are refused
    /// on arrival, in milliseconds.
    pub claim_patience_ms: u64,
    /// Minimum time between two appends of the node to the claim stream, in milliseconds.
    pub claim_interval_ms: u64,
    /// Pause before a failed append is tried again, in milliseconds.
    pub claim_retry_ms: u64,
    /// Validity of a ticket, in milliseconds.
    pub ticket_valid_ms: u64,
    /// Most tickets that are valid at once.
    pub tickets_max: u64,
    /// Time for which finished answers are stored with their output for repeats, in milliseconds.
    pub kept_answer_ms: u64,
    /// Most finished answers that are stored with their output.
    pub kept_answers_max: usize,
    /// Retry-after time of a refusal for which no better estimate exists, in milliseconds.
    pub retry_after_ms: u64,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            mode: PolicyMode::Full,
            admission: true,
            hedging: true,
            prefix_affinity: true,
            requests_max: 10_000,
            queue_max: 5_000,
            answer_max_bytes: 1 << 20,
            stage_attempts_max: 3,
            retry_budget_percent: 10,
            eject_max_percent: 50,
            eject_after_failures: 5,
            share_headroom_percent: 200,
            eject_base_ms: 1_000,
            slow_start_ms: 3_000,
            report_stale_ms: 2_000,
            claim_horizon_ms: 600_000,
            clock_skew_ms: 2_000,
            claim_patience_ms: 1_000,
            claim_interval_ms: 50,
            claim_retry_ms: 100,
            ticket_valid_ms: 3_600_000,
            tickets_max: 100_000,
            kept_answer_ms: 60_000,
            kept_answers_max: 10_000,
            retry_after_ms: 1_000,
        }
    }
}

/// Error for a setting whose value is not allowed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("policy.{key}: {problem}")]
pub struct PolicySettingError {
    /// Key within `[policy]`.
    pub key: &'static str,
    /// The problem and the allowed values.
    pub problem: String,
}

impl PolicySettings {
    /// Checks that all values are allowed.
    ///
    /// # Errors
    /// Returns an error for the first value that is not allowed.
    pub fn check(&self) -> Result<(), PolicySettingError> {
        let counts = [
            ("requests_max", self.requests_max as u64),
            ("queue_max", self.queue_max as u64),
            ("answer_max_bytes", self.answer_max_bytes as u64),
            ("stage_attempts_max", u64::from(self.stage_attempts_max)),
            ("eject_after_failures", u64::from(self.eject_after_failures)),
            ("share_headroom_percent", u64::from(self.share_headroom_percent)),
            ("eject_base_ms", self.eject_base_ms),
            ("report_stale_ms", self.report_stale_ms),
            ("claim_horizon_ms", self.claim_horizon_ms),
            ("claim_patience_ms", self.claim_patience_ms),
            ("claim_retry_ms", self.claim_retry_ms),
            ("ticket_valid_ms", self.ticket_valid_ms),
            ("retry_after_ms", self.retry_after_ms),
        ];
        for (key, value) in counts {
            if value == 0 {
                return Err(PolicySettingError { key, problem: "must be 1 or more".to_owned() });
            }
        }
        let percents = [
            ("retry_budget_percent", self.retry_budget_percent),
            ("eject_max_percent", self.eject_max_percent),
        ];
        for (key, value) in percents {
            if value > 100 {
                return Err(PolicySettingError { key, problem: "must be 0 to 100".to_owned() });
            }
        }
        if self.clock_skew_ms >= self.claim_horizon_ms {
            let problem = "must be less than claim_horizon_ms".to_owned();
            return Err(PolicySettingError { key: "clock_skew_ms", problem });
        }
        Ok(())
    }

    pub(crate) fn is_full(&self) -> bool {
        self.mode == PolicyMode::Full
    }

    pub(crate) fn answer_retention(&self) -> Duration {
        Duration::from_millis(self.kept_answer_ms)
    }
}
