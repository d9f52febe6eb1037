//! `fernctl status`: shows the status that nodes report.

use {
    super::{Output, OutputArgs, print_json},
    crate::{failure::Failure, node},
    clap::Args,
    serde_json::Value,
    std::net::SocketAddr,
};

/// Show what nodes tell of themselves: configuration, requests, costs by stage.
#[derive(Debug, Args)]
pub(crate) struct StatusArgs {
    /// Addresses of the nodes' caller interface
    #[arg(required = true, value_name = "IP:PORT")]
    nodes: Vec<SocketAddr>,
    #[command(flatten)]
    output: OutputArgs,
}

impl StatusArgs {
    pub(crate) async fn execute(self) -> Result<(), Failure> {
        let mut statuses = Vec::new();
        let mut last_failure = None;
        for address in &self.nodes {
            match node::get_json(*address, "/v1/status").await {
                Ok(status) => statuses.push(status),
                Err(failure) => {
                    eprintln!("fernctl: {failure}");
                    last_failure = Some(failure);
                }
            }
        }
        match self.output.output {
            Output::Json => print_json(&statuses)?,
            Output::Text => statuses.iter().for_each(print_status),
        }
        last_failure.map_or(Ok(()), Err)
    }
}

fn print_status(status: &Value) {
    let counters = &status["counters"];
    println!(
        "node {} in {}: {}",
        status["incarnation"].as_str().unwrap_or("?"),
        status["failure_domain"].as_str().unwrap_or("?"),
        if status["ready"] == true { "ready" } else { "not ready" }
    );
    println!(
        "  configuration version {} (read {} ms ago, highest known {})",
        status["config_version"], status["config_age_ms"], status["highest_peer_version"]
    );
    println!(
        "  accepted {} = answered {} + not run {} + failed {} + unknown {} + in flight {}; \
         refused {}",
        counters["accepted"],
        counters["answered"],
        counters["not_run"],
        counters["failed"],
        counters["unknown"],
        counters["in_flight"],
        counters["refused"]
    );
    for row in status["costs"].as_array().into_iter().flatten() {
        let ms = |key: &str| row[key].as_f64().unwrap_or(0.0);
        println!(
            "  cost {} {} {}: useful {:.0} ms, failed {:.0}, hedged {:.0}, abandoned {:.0}",
            row["pipeline"].as_str().unwrap_or("?"),
            row["workspace"].as_str().unwrap_or("?"),
            row["stage"].as_str().unwrap_or("?"),
            ms("useful_ms"),
            ms("failed_ms"),
            ms("hedged_ms"),
            ms("abandoned_ms")
        );
    }
}
