//! HTTP/1.1 over blocking sockets: heads, bodies and chunks.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A connection and what was read ahead of it.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

/// The first line of a message and its headers, with names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, Vec<u8>)>,
}

impl Head {
    pub fn bytes(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_slice())
    }

    pub fn text(&self, name: &str) -> Option<String> {
        self.bytes(name).map(|value| String::from_utf8_lossy(value).into_owned())
    }

    /// The second word of the first line: the target of a request, or the status of an answer.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn is_chunked(&self) -> bool {
        self.text("transfer-encoding").is_some_and(|coding| coding.contains("chunked"))
    }

    pub fn length(&self) -> Option<usize> {
        self.text("content-length")?.trim().parse().ok()
    }
}

fn ended() -> io::Error {
    io::Error::from(io::ErrorKind::UnexpectedEof)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn connect(address: SocketAddr, time: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, time).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 << 10];
        match self.stream.read(&mut buffer)? {
            0 => Err(ended()),
            count => {
                self.ahead.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<Vec<u8>> {
        loop {
            if let Some(end) = self.ahead.iter().position(|byte| *byte == b'\n') {
                let mut line: Vec<u8> = self.ahead.drain(..=end).collect();
                line.pop();
                if line.last() == Some(&b'\r') {
                    line.pop();
                }
                return Ok(line);
            }
            self.fill()?;
        }
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head::default();
        head.first_line = String::from_utf8_lossy(&self.line()?).into_owned();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            let colon = line.iter().position(|byte| *byte == b':').unwrap_or(line.len() - 1);
            let name = String::from_utf8_lossy(&line[..colon]).to_ascii_lowercase();
            head.headers.push((name, line[colon + 1..].trim_ascii().to_vec()));
        }
    }

    pub fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// One chunk; the last one is empty.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = String::from_utf8_lossy(&self.line()?).into_owned();
        let digits = line.split(';').next().unwrap_or_default().trim();
        let length = usize::from_str_radix(digits, 16).map_err(io::Error::other)?;
        let data = self.exactly(length)?;
        self.line()?;
        Ok(data)
    }

    /// The body of a request, which has a length, comes in chunks or is empty.
    pub fn request_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exactly(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            match self.chunk()? {
                data if data.is_empty() => return Ok(body),
                data => body.extend(data),
            }
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn write_chunk(&mut self, data: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
        self.write(&bytes)
    }

    pub fn write_answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        self.write(&[head.as_bytes(), body].concat())
    }
}

/// The value of a field of a query, unescaped.
pub fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    let mut bytes = Vec::new();
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex: Vec<u8> = rest.by_ref().take(2).collect();
            let hex = String::from_utf8_lossy(&hex).into_owned();
            bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}
