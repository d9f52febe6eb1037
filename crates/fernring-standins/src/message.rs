//! Reads raw HTTP messages from a socket, for stand-ins and tests that must see or write details
//! that an HTTP library would normalise.

use tokio::{io::AsyncReadExt, net::TcpStream};

/// An HTTP message: a request as an upstream receives it, or a response as a caller does.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The start line.
    pub start: String,
    /// The headers, in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header with a name, ignoring case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0 if the start line has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message. Returns `None` if the connection ends or breaks before its end.
pub async fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let (message, is_complete) = read_partial_message(stream).await?;
    is_complete.then_some(message)
}

/// Reads one message, or its beginning if the connection ends early, and returns it with whether it
/// is complete. Returns `None` if not even its head is complete.
pub async fn read_partial_message(stream: &mut TcpStream) -> Option<(Message, bool)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(head).ok()?;
    let mut lines = text.trim_end().split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_owned(), value.trim().to_owned()));
    let mut message = Message { start, headers: headers.collect(), body: Vec::new() };
    let is_complete = if message.header("transfer-encoding").is_some() {
        read_chunks(stream, &mut message.body).await.is_some()
    } else {
        let length = message.header("content-length").and_then(|length| length.parse().ok());
        let mut rest = stream.take(length.unwrap_or(0));
        let read = rest.read_to_end(&mut message.body).await;
        read.is_ok() && message.body.len() as u64 == length.unwrap_or(0)
    };
    Some((message, is_complete))
}

async fn read_chunks(stream: &mut TcpStream, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(stream.read_u8().await.ok()?);
        }
        let length = usize::from_str_radix(String::from_utf8_lossy(&line).trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        stream.read_exact(&mut chunk).await.ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}
