//! Reads the configuration stream and appends changes to it.

use {
    crate::failure::Failure,
    anyhow::{Context, anyhow},
    clap::Args,
    fernring_core::change::{CONFIG_STREAM, Change, ChangeError, ConfigRecord, Version},
    fernring_platform::{HttpLog, LogService},
    fernring_policy::fold::{ConfigFold, ConfigPage},
    std::{net::SocketAddr, time::Duration},
};

/// Timeout for responses of the log service.
const LOG_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of reads of the stream to find the outcome of an appended change.
const OUTCOME_READS_MAX: u32 = 5;
/// Time that the log service may wait for a new record in one of these reads.
const LONG_POLL: Duration = Duration::from_secs(1);

/// Options for access to the configuration stream.
#[derive(Debug, Args)]
pub(crate) struct LogArgs {
    /// Address of the platform's log service
    #[arg(long, env = "FERNRING_LOG", value_name = "IP:PORT")]
    pub(crate) log: SocketAddr,
}

/// The configuration stream with the configuration that its records give.
pub(crate) struct ConfigStream {
    log: HttpLog,
    fold: ConfigFold,
}

impl ConfigStream {
    /// Connects to the log service and reads the stream to its end.
    pub(crate) async fn open(args: &LogArgs) -> Result<Self, Failure> {
        let log = HttpLog::new(args.log, LOG_TIMEOUT, None);
        let mut stream = Self { log, fold: ConfigFold::new() };
        while !stream.read_page(Duration::ZERO).await? {}
        if !stream.fold.is_ready() {
            let message = "the log no longer holds a whole configuration: no snapshot was appended \
                       before its retention ended; ask a node with `fernctl status`";
            return Err(Failure::Failed(anyhow!(message)));
        }
        Ok(stream)
    }

    /// Returns the configuration read so far.
    pub(crate) fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Appends a change, unless the stream already holds it, and returns the version at which the
    /// change is in force. Waits for the outcome for at most [`OUTCOME_READS_MAX`] reads.
    pub(crate) async fn submit(&mut self, change: Change) -> Result<Version, Failure> {
        if let Some(version) = self.outcome(&change)? {
            return Ok(version);
        }
        let id = change.id;
        let record = ConfigRecord::Change(change.clone());
        let data = serde_json::to_vec(&record).map_err(Failure::failed)?;
        // A failed append may still have taken effect, so only the stream shows the outcome.
        let appended = self.log.append(CONFIG_STREAM, &data).await;
        for _ in 0..OUTCOME_READS_MAX {
            self.read_page(LONG_POLL).await?;
            if let Some(version) = self.outcome(&change)? {
                return Ok(version);
            }
        }
        let reason = match appended {
            Ok(_) => "the log took the change but does not show it".to_owned(),
            Err(error) => format!("{error}"),
        };
        let advice = "run the same command again: it can't take effect twice";
        Err(Failure::Failed(anyhow!("the outcome of change {id} is not known: {reason}; {advice}")))
    }

    /// Returns the version at which a change was accepted, `None` if its outcome is not known yet, or
    /// an error if it was refused.
    fn outcome(&self, change: &Change) -> Result<Option<Version>, Failure> {
        match self.fold.outcome(change.id).map(|outcome| &outcome.result) {
            None => Ok(None),
            Some(Ok(version)) => Ok(Some(*version)),
            Some(Err(error @ ChangeError::Conflict { .. })) => {
                Err(Failure::Refused(error.to_string()))
            }
            Some(Err(error)) => Err(Failure::bad_input(error.clone())),
        }
    }

    /// Reads one page and returns whether the end of the stream is reached.
    async fn read_page(&mut self, wait: Duration) -> Result<bool, Failure> {
        let from = self.fold.next_offset();
        let page = self.log.read(CONFIG_STREAM, from, wait).await;
        let page = page.context("could not read the configuration stream");
        let page = ConfigPage::decode(from, page.map_err(Failure::Failed)?);
        let next_offset = page.next_offset;
        self.fold.apply_page(page);
        Ok(self.fold.next_offset() >= next_offset)
    }
}
