//! HTTP/1.1 over blocking sockets: what the stand-ins and their clients need of it.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

/// A request or an answer: its first line, headers and body.
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// The path of a request, without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A value in the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.target().split_once('?')?.1.split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let read = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..read]);
        Ok(read > 0)
    }

    /// Reads the next message; `None` if the connection ended before it began.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
        let head_end = loop {
            if let Some(at) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return if self.buf.is_empty() { Ok(None) } else { Err(broken()) };
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..head_end]).into_owned();
        self.buf.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let mut message = Message { line, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|length| length.parse::<usize>().ok());
        let is_chunked = message.header("transfer-encoding").is_some();
        if is_chunked {
            self.read_chunks(&mut message.body)?;
        } else if let Some(length) = length {
            while self.buf.len() < length {
                if !self.fill()? {
                    return Err(broken());
                }
            }
            message.body = self.buf.drain(..length).collect();
        }
        Ok(Some(message))
    }

    fn read_chunks(&mut self, body: &mut Vec<u8>) -> io::Result<()> {
        let broken = || io::Error::from(io::ErrorKind::UnexpectedEof);
        loop {
            let line_end = loop {
                if let Some(at) = self.buf.windows(2).position(|window| window == b"\r\n") {
                    break at;
                }
                if !self.fill()? {
                    return Err(broken());
                }
            };
            let size = String::from_utf8_lossy(&self.buf[..line_end]).trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(|_| broken())?;
            while self.buf.len() < line_end + 2 + size + 2 {
                if !self.fill()? {
                    return Err(broken());
                }
            }
            body.extend_from_slice(&self.buf[line_end + 2..line_end + 2 + size]);
            self.buf.drain(..line_end + 2 + size + 2);
            if size == 0 {
                return Ok(());
            }
        }
    }
}

/// Writes a message with a body of known length.
pub fn write(
    stream: &mut TcpStream,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{line}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends one request on a new connection; returns the answer, or why there is none.
pub fn call(
    address: SocketAddr,
    line: &str,
    headers: &[(&str, String)],
    body: &[u8],
    limit: Duration,
) -> Result<Message, String> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)));
    let mut stream = stream.map_err(|err| format!("no connection: {}", err.kind()))?;
    let _ = stream.set_nodelay(true);
    write(&mut stream, line, headers, body).map_err(|err| format!("not sent: {}", err.kind()))?;
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = stream.set_read_timeout(Some(left));
    match Reader::new(stream).next() {
        Ok(Some(answer)) => Ok(answer),
        Ok(None) => Err("closed without an answer".to_owned()),
        Err(err) => Err(format!("no whole answer: {}", err.kind())),
    }
}
