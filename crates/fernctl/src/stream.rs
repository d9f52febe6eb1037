//! The configuration stream, as an operator's command reads and appends to it.

use {
    crate::failure::Failure,
    anyhow::{Context, anyhow},
    clap::Args,
    fernring_core::change::{CONFIG_STREAM, Change, ChangeError, ConfigRecord, Version},
    fernring_platform::{HttpLog, LogService},
    fernring_policy::fold::{ConfigFold, ConfigPage},
    std::{net::SocketAddr, time::Duration},
};

/// How long an answer of the log is waited for.
const TIMEOUT: Duration = Duration::from_secs(5);
/// How often the stream is looked at again for a change whose append was not answered.
const LOOKS_FOR_OWN_CHANGE: u32 = 5;
/// How long the log may wait for a record in one look.
const LONG_POLL: Duration = Duration::from_secs(1);

/// Where the configuration stream is.
#[derive(Debug, Args)]
pub(crate) struct LogArgs {
    /// Address of the platform's log service
    #[arg(long, env = "FERNRING_LOG", value_name = "IP:PORT")]
    pub(crate) log: SocketAddr,
}

/// The configuration as folded from the log.
pub(crate) struct ConfigStream {
    log: HttpLog,
    fold: ConfigFold,
}

impl ConfigStream {
    /// Reads the stream to its end.
    pub(crate) async fn open(args: &LogArgs) -> Result<Self, Failure> {
        let log = HttpLog::new(args.log, TIMEOUT, None);
        let mut stream = Self { log, fold: ConfigFold::new() };
        while !stream.read(Duration::ZERO).await? {}
        if !stream.fold.is_ready() {
            let why = "the log no longer holds a whole configuration: no snapshot was appended \
                       before its retention ended; ask a node with `fernctl status`";
            return Err(Failure::Failed(anyhow!(why)));
        }
        Ok(stream)
    }

    /// Returns the fold.
    pub(crate) fn fold(&self) -> &ConfigFold {
        &self.fold
    }

    /// Appends a change and waits until the stream says what became of it.
    pub(crate) async fn submit(&mut self, change: Change) -> Result<Version, Failure> {
        if let Some(version) = self.outcome(&change)? {
            return Ok(version);
        }
        let id = change.id;
        let record = ConfigRecord::Change(change.clone());
        let data = serde_json::to_vec(&record).map_err(Failure::failed)?;
        // An append that was not answered may have taken effect: the stream decides.
        let appended = self.log.append(CONFIG_STREAM, &data).await;
        for _ in 0..LOOKS_FOR_OWN_CHANGE {
            self.read(LONG_POLL).await?;
            if let Some(version) = self.outcome(&change)? {
                return Ok(version);
            }
        }
        let why = match appended {
            Ok(_) => "the log took the change but does not show it".to_owned(),
            Err(error) => format!("{error}"),
        };
        let advice = "run the same command again: it can't take effect twice";
        Err(Failure::Failed(anyhow!("the outcome of change {id} is not known: {why}; {advice}")))
    }

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

    /// Reads one page; tells whether the end was reached.
    async fn read(&mut self, wait: Duration) -> Result<bool, Failure> {
        let from = self.fold.next_offset();
        let page = self.log.read(CONFIG_STREAM, from, wait).await;
        let page = page.context("could not read the configuration stream");
        let page = ConfigPage::decode(from, page.map_err(Failure::Failed)?);
        let next_offset = page.next_offset;
        self.fold.apply_page(page);
        Ok(self.fold.next_offset() >= next_offset)
    }
}
