//! A small HTTP/1.1 server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that the server has read.
pub struct Request {
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns a parameter of the query.
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map(|(_, v)| v)
    }
}

/// An answer: status and body. `None` in its place leaves the call unanswered.
pub type Answer = Option<(u16, Vec<u8>)>;

/// Serves a listener until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(Request) -> Answer + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let spawned = std::thread::Builder::new().stack_size(256 << 10);
            let _ = spawned.spawn(move || connection(stream, &*handler));
        }
    });
}

fn connection(stream: TcpStream, handler: &(dyn Fn(Request) -> Answer + Send + Sync)) {
    let _ = stream.set_nodelay(true);
    let mut out = &stream;
    let mut input = BufReader::new(&stream);
    while let Some(request) = read_request(&mut input) {
        let Some((status, body)) = handler(request) else {
            // The call stays unanswered until its sender closes the connection.
            let mut rest = [0; 256];
            while matches!(input.read(&mut rest), Ok(n) if n > 0) {}
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut whole = head.into_bytes();
        whole.extend_from_slice(&body);
        if out.write_all(&whole).is_err() {
            return;
        }
    }
}

fn read_head(input: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if input.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn length(headers: &[(String, String)]) -> usize {
    let found = headers.iter().find(|(n, _)| n == "content-length");
    found.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn read_request(input: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(input)?;
    let mut words = first.split(' ');
    let target = words.nth(1)?.to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let mut body = vec![0; length(&headers)];
    input.read_exact(&mut body).ok()?;
    Some(Request {
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    })
}

/// Calls a server on a connection of its own and returns status and body, or `None` if
/// no whole answer came in time. The connection is closed at the end.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    wait: Duration,
) -> Option<(u16, Vec<u8>)> {
    let end = Instant::now() + wait;
    let mut stream = TcpStream::connect_timeout(&to, wait).ok()?;
    let _ = stream.set_nodelay(true);
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut whole = head.into_bytes();
    whole.extend_from_slice(body);
    stream.write_all(&whole).ok()?;
    let left = end.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut input = BufReader::new(stream);
    let (first, headers) = read_head(&mut input)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length(&headers)];
    input.read_exact(&mut body).ok()?;
    Some((status, body))
}
