//! The little of HTTP/1.1 that the stand-ins need, on blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// A request or the head of a response, with its headers.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the path of a request, with its query.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns a value of the query of a request.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }

    pub fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads the first line and the headers. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        match line.split_once(':') {
            Some((name, value)) if !message.first_line.is_empty() => {
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
            _ => message.first_line = line.to_owned(),
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(length) = message.header("content-length").and_then(|v| v.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads one chunk of a body. Returns `None` after the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Sends a response with a length. `headers` are complete lines.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

/// Sends one chunk of a body; an empty one ends it.
pub fn send_chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
