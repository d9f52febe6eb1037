//! HTTP/1.1 by hand: reading messages, and servers with a thread for each connection.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, v)| &**v)
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A connection whose messages are read.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?)
    }

    /// Returns whether the other end has closed or reset the connection.
    pub fn has_ended(&self) -> bool {
        let mut byte = [0];
        drop(self.stream.set_nonblocking(true));
        let peeked = self.stream.peek(&mut byte);
        drop(self.stream.set_nonblocking(false));
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        let mut line = String::new();
        loop {
            line.clear();
            if self.reader.read_line(&mut line)? == 0 {
                return match message.first.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            let text = line.trim_end();
            if message.first.is_empty() {
                message.first = text.to_owned();
            } else if text.is_empty() {
                return Ok(Some(message));
            } else if let Some((name, value)) = text.split_once(':') {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body of a message; `chunk` sees its parts as they arrive. A body that ends early
    /// is kept, and isn't whole.
    pub fn read_body(&mut self, message: &mut Message, mut chunk: impl FnMut(&[u8])) {
        message.is_whole = self.read_body_parts(message, &mut chunk).is_ok();
    }

    fn read_body_parts(
        &mut self,
        message: &mut Message,
        chunk: &mut impl FnMut(&[u8]),
    ) -> io::Result<()> {
        let is_chunked =
            message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let mut line = String::new();
                if self.reader.read_line(&mut line)? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                let size = line.trim().split(';').next().unwrap_or("");
                let size = usize::from_str_radix(size, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let mut data = vec![0; size + 2];
                self.reader.read_exact(&mut data)?;
                if size == 0 {
                    return Ok(());
                }
                chunk(&data[..size]);
                message.body.extend_from_slice(&data[..size]);
            }
        }
        let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut data = vec![0; length];
        self.reader.read_exact(&mut data)?;
        chunk(&data);
        message.body = data;
        Ok(())
    }

    /// Reads a whole message; `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut message, |_| {});
        match message.is_whole {
            true => Ok(Some(message)),
            false => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }
}

/// Builds a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Serves connections of a listener, each in a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                if let Ok(connection) = Connection::new(stream) {
                    handle(connection);
                }
            });
        }
    });
}

pub fn write(stream: &TcpStream, bytes: &[u8]) -> io::Result<()> {
    let mut stream = stream;
    stream.write_all(bytes)
}
