//! HTTP/1.1 on blocking sockets: just what the stand-ins need.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The head and body of a request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    /// The body, without its framing.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    /// The method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// The status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// A parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().1.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// Reads the head of a message. `None` if the connection ended before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.start.is_empty() {
            message.start = text;
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that belongs to a head; fails if it is cut off.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked"));
    if !is_chunked {
        let length = message.header("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::new(io::ErrorKind::UnexpectedEof, "no chunk"))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        chunk.truncate(size);
        message.body.extend(chunk);
    }
}

/// Reads a whole message. `None` if the connection ended before it began.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Serves each connection of a listener in a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                handle(stream);
            });
        }
    });
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    write!(stream, "HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

/// Sends a request on a new connection and reads the answer; an error if there is no whole one in time.
pub fn call(to: SocketAddr, request: &str, limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request.as_bytes())?;
    let answer = read(&mut BufReader::new(stream))?;
    answer.ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))
}
