//! The platform's store: keyed topics of records.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, serve};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (usize, Vec<u8>)>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>,
}

impl Store {
    /// Serves the store at an address.
    pub fn open(&self, addr: SocketAddr) -> std::io::Result<()> {
        let store = self.clone();
        serve(
            TcpListener::bind(addr)?,
            Arc::new(move |req| store.answer(req)),
        );
        Ok(())
    }

    /// Writes a record under a key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        self.append(topic, record);
    }

    fn append(&self, topic: &str, record: Vec<u8>) -> usize {
        let mut topics = self.shared.0.lock().unwrap();
        let log = topics.entry(topic.to_owned()).or_default();
        let at = log.records.len();
        if let Some((&n, rest)) = record.split_first() {
            if rest.len() >= n as usize {
                let key = String::from_utf8_lossy(&rest[..n as usize]).into_owned();
                let value = rest[n as usize..].to_vec();
                match value.is_empty() {
                    true => log.newest.remove(&key),
                    false => log.newest.insert(key, (at, value)),
                };
            }
        }
        log.records.push(record);
        self.shared.1.notify_all();
        at
    }

    fn answer(&self, req: Request) -> Answer {
        let topic = req.param("topic").unwrap_or_default().to_owned();
        match req.path.as_str() {
            "/api/log-append" => {
                let mut rest = &req.body[..];
                let (mut first, mut end) = (None, 0);
                while rest.len() >= 4 {
                    let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = rest.get(4..4 + size)?.to_vec();
                    rest = &rest[4 + size..];
                    let at = self.append(&topic, record);
                    first.get_or_insert(at);
                    end = at + 1;
                }
                let body = format!("{{\"offset\":{},\"end\":{end}}}", first.unwrap_or(0));
                Some((200, body.into_bytes()))
            }
            "/api/log-newest" => {
                let topics = self.shared.0.lock().unwrap();
                let empty = Topic::default();
                let log = topics.get(&topic).unwrap_or(&empty);
                let after = req.param("depends-on").unwrap_or("");
                let rest = log.newest.iter().filter(|(k, _)| k.as_str() > after);
                let rest: Vec<_> = rest.collect();
                let item = |(key, (at, value)): &(&String, &(usize, Vec<u8>))| {
                    format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{at}}}",
                        base64(value)
                    )
                };
                let items: Vec<_> = rest.iter().take(500).map(item).collect();
                let body = format!(
                    "{{\"items\":[{}],\"has-more\":{},\"end\":{}}}",
                    items.join(","),
                    rest.len() > 500,
                    log.records.len()
                );
                Some((200, body.into_bytes()))
            }
            "/api/log-read" => {
                let from: usize = req.param("from")?.parse().ok()?;
                let wait: u64 = req.param("wait-ms").map_or(Some(0), |w| w.parse().ok())?;
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut topics = self.shared.0.lock().unwrap();
                loop {
                    let empty = Vec::new();
                    let records = topics.get(&topic).map_or(&empty, |t| &t.records);
                    let left = until.saturating_duration_since(Instant::now());
                    if records.len() > from || left.is_zero() {
                        let mut body = (records.len() as u64).to_be_bytes().to_vec();
                        body.extend_from_slice(&0u64.to_be_bytes());
                        for record in records.iter().skip(from) {
                            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                            body.extend_from_slice(record);
                        }
                        return Some((200, body));
                    }
                    topics = self.shared.1.wait_timeout(topics, left).unwrap().0;
                }
            }
            _ => Some((404, Vec::new())),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |w, i| w << 8 | u32::from(*part.get(i).unwrap_or(&0)));
        for i in 0..4 {
            match i <= part.len() {
                true => out.push(DIGITS[(word >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}
