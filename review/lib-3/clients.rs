//! Clients that submit jobs.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::Record;
use crate::fleet::{HOST, PREFIX};
use crate::http;

/// Submits a job whose result is only returned to its submission. `steps` are the JSON of
/// its phases. Returns status and body, or `None` if no whole answer came in time.
pub fn submit(
    to: SocketAddr,
    id: &str,
    spec: &str,
    steps: &str,
    deadline_ms: u64,
    record: &Record,
) -> Option<(u16, String)> {
    let body = format!("{{\"spec\":\"{spec}\",\"preemptible\":true,\"phases\":[{steps}]}}");
    let deadline = deadline_ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Content-Type", "application/json"),
        ("X-Request-Deadline", deadline.as_str()),
    ];
    record.line(&format!(
        "client: POST {id} to {to}, deadline {deadline_ms} ms"
    ));
    let wait = Duration::from_millis(deadline_ms);
    let answer = http::call(
        to,
        "POST",
        &format!("{PREFIX}{id}"),
        &headers,
        body.as_bytes(),
        wait,
    );
    let answer = answer.map(|(status, body)| (status, String::from_utf8_lossy(&body).into_owned()));
    record.line(&format!("client: POST {id} at {to} answered {answer:?}"));
    answer
}

/// Submits a job whose connection breaks after `after_ms`, before the answer. If `silent`,
/// the VM does not learn of it: no packet of the connection arrives any more. That lasts
/// until the returned stream is dropped.
#[allow(clippy::too_many_arguments)]
pub fn submit_and_lose(
    to: SocketAddr,
    id: &str,
    spec: &str,
    steps: &str,
    deadline_ms: u64,
    after_ms: u64,
    silent: bool,
    record: &Record,
) -> Option<TcpStream> {
    let body = format!("{{\"spec\":\"{spec}\",\"preemptible\":true,\"phases\":[{steps}]}}");
    let head = format!(
        "POST {PREFIX}{id} HTTP/1.1\r\nHost: {HOST}\r\nContent-Type: application/json\r\n\
         X-Request-Deadline: {deadline_ms}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    record.line(&format!(
        "client: POST {id} to {to}, deadline {deadline_ms} ms"
    ));
    let mut stream = TcpStream::connect(to).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    std::thread::sleep(Duration::from_millis(after_ms));
    let how = if silent {
        "silent towards the VM"
    } else {
        "closed"
    };
    record.line(&format!(
        "client: POST {id}: connection broken after {after_ms} ms, {how}"
    ));
    silent.then_some(stream)
}

/// Returns the text of a job's id.
pub fn id(number: u64) -> String {
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
}
