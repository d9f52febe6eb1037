//! Messages of HTTP/1.1, as far as the stand-ins need them.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A request or a response.
#[derive(Debug, Clone)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body; empty for a response whose body is read separately.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message { start: start.trim_end().to_owned(), headers, body: Vec::new() }))
}

/// Reads a request with its body; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.header("content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// Reads the next chunk of a body in chunks; `None` after the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16);
    let length = length.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// How an answer to a client ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The answer is complete.
    Complete,
    /// The connection ended before the end of the answer, or before its head.
    Cut(String),
    /// The client has left, since nothing came for as long as it waits.
    Left,
}

/// An answer as a client received it.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status; 0 without a head.
    pub status: u16,
    /// The head.
    pub head: Option<Message>,
    /// All bytes of the body.
    pub body: Vec<u8>,
    /// How it ended.
    pub end: End,
}

/// Sends a request on a new connection and reads the answer. The client leaves if nothing comes
/// for `patience`.
pub fn exchange(
    address: std::net::SocketAddr,
    request: &[u8],
    patience: std::time::Duration,
) -> Answer {
    let mut answer = Answer { status: 0, head: None, body: Vec::new(), end: End::Complete };
    let result = (|| -> io::Result<()> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        stream.write_all(request)?;
        let mut reader = BufReader::new(stream);
        let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = head.status();
        let length = head.header("content-length").and_then(|length| length.parse().ok());
        let has_chunks = head.header("transfer-encoding").is_some();
        answer.head = Some(head);
        match (length, has_chunks) {
            (Some(length), _) => {
                answer.body = vec![0; length];
                reader.read_exact(&mut answer.body)?;
            }
            (None, true) => {
                while let Some(chunk) = read_chunk(&mut reader)? {
                    answer.body.extend(chunk);
                }
            }
            (None, false) => {
                reader.read_to_end(&mut answer.body)?;
            }
        }
        Ok(())
    })();
    if let Err(error) = result {
        answer.end = match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => End::Left,
            _ => End::Cut(error.to_string()),
        };
    }
    answer
}

/// Serves connections on a free port: `handler` answers each request. It may keep bytes for the
/// connection from one request to the next.
pub fn serve(
    handler: impl Fn(Message, &mut TcpStream, &mut Vec<u8>) -> io::Result<()> + Send + Sync + 'static,
) -> io::Result<std::net::SocketAddr> {
    let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = std::sync::Arc::new(handler);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || -> io::Result<()> {
                stream.set_nodelay(true)?;
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                let mut kept = Vec::new();
                while let Some(request) = read_request(&mut reader)? {
                    handler(request, &mut writer, &mut kept)?;
                }
                Ok(())
            });
        }
    });
    Ok(address)
}

/// Encodes a response with a length; `headers` are whole lines.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n");
    [head.into_bytes(), body.to_vec()].concat()
}

/// Encodes a chunk of a body.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).into_bytes(), bytes.to_vec(), b"\r\n".to_vec()].concat()
}
