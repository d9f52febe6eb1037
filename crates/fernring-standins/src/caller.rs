//! A caller of a node's HTTP interface.

use {
    anyhow::Context,
    reqwest::{Client, Response},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::net::SocketAddr,
};

/// A request.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Call {
    /// Name of the workspace.
    pub workspace: String,
    /// Key by which a repeated request is recognised.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Window, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub window_ms: Option<u64>,
    /// Input of the first stage.
    pub input: String,
    /// Whether no stage of it may run twice.
    pub non_idempotent: bool,
    /// Whether the answer is streamed in parts.
    pub stream: bool,
}

/// A final answer.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub struct Answer {
    /// Number of the result code.
    pub code: u16,
    /// Class of the result code.
    pub class: String,
    /// The complete output.
    #[serde(default)]
    pub output: Option<String>,
    /// Advice on what to do next.
    #[serde(default)]
    pub advice: Option<String>,
    /// When to retry, in milliseconds.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

/// A streamed answer.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct StreamedAnswer {
    /// The parts in the order of arrival.
    pub parts: Vec<String>,
    /// The final answer, if the stream reached it.
    pub answer: Option<Answer>,
}

#[derive(Debug, Deserialize)]
struct PartBody {
    text: String,
}

/// An HTTP client of nodes and stand-ins.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
}

impl Default for Caller {
    fn default() -> Self {
        Self::new()
    }
}

impl Caller {
    /// Creates a caller that neither retries nor uses a proxy.
    pub fn new() -> Self {
        let builder = Client::builder().no_proxy().retry(reqwest::retry::never());
        Self { client: builder.build().expect("a client without TLS needs nothing") }
    }

    /// Sends a request to a node and waits for the final answer.
    ///
    /// # Errors
    /// If the node does not respond.
    pub async fn call(
        &self,
        node: SocketAddr,
        pipeline: &str,
        call: &Call,
    ) -> anyhow::Result<Answer> {
        let response = self.send(node, pipeline, call).await?;
        Ok(response.json().await?)
    }

    /// Sends a request and returns the raw response.
    ///
    /// # Errors
    /// If the node does not respond.
    pub async fn send(
        &self,
        node: SocketAddr,
        pipeline: &str,
        call: &Call,
    ) -> anyhow::Result<Response> {
        let url = format!("http://{node}/v1/pipelines/{pipeline}/requests");
        Ok(self.client.post(url).json(call).send().await?)
    }

    /// Sends a request and reads the parts of its streamed answer.
    ///
    /// # Errors
    /// If the node does not respond.
    pub async fn stream(
        &self,
        node: SocketAddr,
        pipeline: &str,
        call: &Call,
    ) -> anyhow::Result<StreamedAnswer> {
        let call = Call { stream: true, ..call.clone() };
        let response = self.send(node, pipeline, &call).await?;
        let is_stream = response
            .headers()
            .get("content-type")
            .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        let text = response.text().await?;
        if !is_stream {
            let answer = serde_json::from_str(&text)?;
            return Ok(StreamedAnswer { parts: Vec::new(), answer: Some(answer) });
        }
        parse_events(&text)
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    /// If there is no response or its body can't be decoded.
    pub async fn get<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> anyhow::Result<T> {
        let response = self.client.get(format!("http://{address}{path}")).send().await?;
        response.json().await.with_context(|| format!("GET {path}"))
    }

    /// Posts a JSON document to a path, such as the control of a stand-in.
    ///
    /// # Errors
    /// If there is no response.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<Response> {
        let request = self.client.post(format!("http://{address}{path}")).json(body);
        Ok(request.send().await?)
    }

    /// Puts a JSON document at a path.
    ///
    /// # Errors
    /// If there is no response or its status is an error.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> anyhow::Result<()> {
        let request = self.client.put(format!("http://{address}{path}")).json(body);
        request.send().await?.error_for_status()?;
        Ok(())
    }
}

fn parse_events(text: &str) -> anyhow::Result<StreamedAnswer> {
    let mut streamed = StreamedAnswer::default();
    for event in text.split("\n\n") {
        let field = |name: &str| {
            event.lines().find_map(|line| line.strip_prefix(name)).map(str::trim_start)
        };
        let Some(data) = field("data:") else { continue };
        match field("event:") {
            Some("part") => {
                streamed.parts.push(serde_json::from_str::<PartBody>(data)?.text);
            }
            Some("answer") => streamed.answer = Some(serde_json::from_str(data)?),
            _ => {}
        }
    }
    Ok(streamed)
}
