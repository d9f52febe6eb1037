//! `fernctl explain`: explains a result code or shows the outcome of a request key.

use {
    super::{Output, OutputArgs, print_json},
    crate::{failure::Failure, node},
    anyhow::anyhow,
    clap::Args,
    fernring_core::{code::ResultCode, ids::RequestKey},
    percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode},
    serde_json::{Value, json},
    std::net::SocketAddr,
};

/// Explain a result code, or say what truly happened to a request's key.
#[derive(Debug, Args)]
pub(crate) struct ExplainArgs {
    /// Number of a result code, or a request's key
    what: String,
    /// Workspace of the key
    #[arg(long)]
    workspace: Option<String>,
    /// Address of a node's caller interface, to ask for the key
    #[arg(long, value_name = "IP:PORT")]
    node: Option<SocketAddr>,
    #[command(flatten)]
    output: OutputArgs,
}

impl ExplainArgs {
    pub(crate) async fn execute(self) -> Result<(), Failure> {
        if let Ok(number) = self.what.parse::<u16>() {
            let code = ResultCode::from_number(number);
            let code = code.ok_or_else(|| Failure::BadInput(anyhow!("no result code {number}")))?;
            return self.print_code(code);
        }
        let key: RequestKey = self.what.parse().map_err(Failure::bad_input)?;
        let (Some(workspace), Some(address)) = (&self.workspace, self.node) else {
            let error = anyhow!("a key is explained with --workspace and --node");
            return Err(Failure::BadInput(error));
        };
        let workspace = utf8_percent_encode(workspace, NON_ALPHANUMERIC);
        let path = format!("/v1/requests/{key}?workspace={workspace}");
        let request = node::get_json(address, &path).await?;
        match self.output.output {
            Output::Json => print_json(&request),
            Output::Text => {
                print_request(&request);
                Ok(())
            }
        }
    }

    fn print_code(&self, code: ResultCode) -> Result<(), Failure> {
        if self.output.output == Output::Json {
            return print_json(&json!({
                "code": code.number(), "name": code.name(), "class": code.class().name(),
                "http_status": code.http_status(), "meaning": code.meaning(),
                "advice": code.advice(),
            }));
        }
        println!("{} {} ({})", code.number(), code.name(), code.class().name());
        println!("  {}", code.meaning());
        if let Some(advice) = code.advice() {
            println!("  advice: {}", json!(advice).as_str().unwrap_or_default());
        }
        Ok(())
    }
}

fn print_request(request: &Value) {
    let answer = if request["state"] == "ended" { &request["answer"] } else { request };
    match request["state"].as_str() {
        Some("running") => println!("running, at stage {}", request["stage"]),
        _ => println!(
            "{} {} ({}): {}",
            answer["code"],
            answer["name"].as_str().unwrap_or("?"),
            answer["class"].as_str().unwrap_or("?"),
            answer["meaning"].as_str().unwrap_or("?")
        ),
    }
}
