//! A VM process with lowered limits, crowds of clients that misbehave towards it, and
//! what the process uses meanwhile.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Weak};
use std::thread;
use std::time::{Duration, Instant};

use futures::future::join_all;
use kernel::{Mebibytes, Millis};
use platform_standin::{Answer, Caller, Job, VmLimits};
use soak::{Shape, Site, lasting_queue};
use standins::Work;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Mutex, MutexGuard, Semaphore, oneshot};
use tokio::task::JoinHandle;

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelopost");

/// Limits of the VM's process. A crowd of large bodies sends three times the memory.
pub const LIMITS: VmLimits = VmLimits {
    memory: Mebibytes(48),
    descriptors: 2_400,
};

/// Greatest size of a body that the configuration allows.
pub const LEGAL_BODY: usize = 262_144;

/// Time after which a wait in a test fails or, for a crowd, ends.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Time that an ordinary caller waits. It is shorter than the time for which the
/// configuration lets a connection be idle.
const DEADLINE: Millis = Millis(5_000);

/// State of a listening socket in the system's table.
const LISTENING: &str = "0A";

/// Number of a crowd's first client, which its requests carry as the id of their job.
const FIRST_CLIENT: u64 = 0x10_0000;

/// Time without any progress after which a crowd's bytes are taken as not read.
const SETTLING: Duration = Duration::from_secs(1);

/// Interval between samples of what the process uses.
const SAMPLING: Duration = Duration::from_millis(50);

/// Bounds the connections being opened. The system drops those that its queues have no
/// room for and opens them seconds later.
static CONNECTING: Semaphore = Semaphore::const_new(16);

/// Ensures that one test runs at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// A VM with two minions.
pub struct Scenario {
    pub site: Site,
    caller: Caller,
    usage: Arc<Usage>,
    _turn: MutexGuard<'static, ()>,
}

impl Scenario {
    /// Starts the VM and waits until it completes a job.
    pub async fn start(name: &str) -> Scenario {
        let turn = TURN.lock().await;
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("crowd-{name}"));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        let shape = Shape {
            domains: 1,
            vms: 1,
            minions: 2,
        };
        let program = Path::new(PROGRAM);
        let site = Site::start_limited(shape, LIMITS, program, &folder).await;
        let site = site.unwrap();
        let process = site.vms[0].process_id().unwrap();
        let usage = Arc::new(Usage::default());
        let ip = site.vms[0].front.ip();
        // On a thread of its own, as it would delay the stand-ins.
        thread::spawn({
            let usage = Arc::downgrade(&usage);
            move || sample(process, ip, &usage)
        });
        let scenario = Scenario {
            site,
            caller: Caller::default(),
            usage,
            _turn: turn,
        };
        scenario.await_service().await;
        scenario
    }

    /// Waits until the VM completes a job.
    pub async fn await_service(&self) {
        let deadline = Instant::now() + TIMEOUT;
        while self.submit(1).await != Answer::Completed {
            assert!(Instant::now() < deadline, "the VM does not serve");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    pub fn front(&self) -> SocketAddr {
        self.site.vms[0].front
    }

    /// Submits an ordinary job over a connection of its own.
    pub async fn submit(&self, number: u64) -> Answer {
        let job = Job {
            id: format!("{number:016x}").parse().unwrap(),
            tasks: 2,
            work: Work::new(1, Millis(30)),
            estimate: Millis(30),
            timeout: DEADLINE,
        };
        let caller = match number {
            1 => self.caller.clone(),
            _ => Caller::default(),
        };
        let queue = lasting_queue().unwrap();
        caller.submit(self.front(), &queue, &job).await
    }

    /// Checks after a crowd, whose clients may still be connected, that the process has
    /// not ended, that it kept to its limits, and that it serves.
    pub async fn assert_sound(&mut self) {
        let answer = self.submit(0xffff).await;
        self.site.supervise().await.unwrap();
        assert!(self.site.ended.is_empty(), "the process has ended");
        let peak = self.usage.memory.load(Ordering::Relaxed);
        let open = self.usage.descriptors.load(Ordering::Relaxed);
        println!("peak memory {peak} KiB, open descriptors {open}, afterwards {answer:?}");
        assert!(peak > 0 && open > 0, "the process was not sampled");
        let bound = LIMITS.memory.0 as usize * 1024;
        assert!(peak <= bound, "memory of {peak} KiB, allowed {bound}");
        let bound = LIMITS.descriptors;
        assert!(open <= bound, "{open} descriptors, allowed {bound}");
        assert_eq!(answer, Answer::Completed);
    }
}

/// The most that a process has used.
#[derive(Debug, Default)]
struct Usage {
    /// Resident memory, or with the bytes that its connections have queued, in KiB.
    memory: AtomicUsize,
    descriptors: AtomicUsize,
}

/// Records what the process uses until `usage` is dropped.
fn sample(process: u32, ip: IpAddr, usage: &Weak<Usage>) {
    while let Some(usage) = usage.upgrade() {
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let held = field(&status, "VmRSS:") + queued_bytes(ip).div_ceil(1024);
        let memory = held.max(field(&status, "VmHWM:"));
        usage.memory.fetch_max(memory, Ordering::Relaxed);
        let open = fs::read_dir(format!("/proc/{process}/fd"));
        let open = open.map_or(0, Iterator::count);
        usage.descriptors.fetch_max(open, Ordering::Relaxed);
        thread::sleep(SAMPLING);
    }
}

/// Returns a figure of a process's status in KiB.
fn field(status: &str, name: &str) -> usize {
    let line = status.lines().find_map(|l| l.strip_prefix(name));
    let figure = line.and_then(|l| l.split_whitespace().next());
    figure.and_then(|f| f.parse().ok()).unwrap_or_default()
}

/// Returns the number of bytes that sockets of the address have received and that were
/// not read, or that they could not send.
fn queued_bytes(ip: IpAddr) -> usize {
    let sockets = sockets();
    let own = sockets.iter().filter(|s| s.local == ip);
    own.map(|s| s.unread + s.unsent).sum()
}

/// Returns the number of bytes that are on their way to the address, or unread there.
fn pending_bytes(ip: IpAddr) -> usize {
    let sockets = sockets();
    let sent = sockets.iter().filter(|s| s.remote == ip);
    sent.map(|s| s.unsent).sum::<usize>() + queued_bytes(ip)
}

/// A connection in the system's table.
struct Socket {
    local: IpAddr,
    remote: IpAddr,
    unsent: usize,
    unread: usize,
}

fn sockets() -> Vec<Socket> {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let rows = table.lines().skip(1);
    rows.filter_map(parse_socket).collect()
}

fn parse_socket(row: &str) -> Option<Socket> {
    let fields: Vec<&str> = row.split_whitespace().collect();
    let &[_, local, remote, state, queues, ..] = fields.as_slice() else {
        return None;
    };
    let (unsent, unread) = queues.split_once(':')?;
    let bytes = |hex| usize::from_str_radix(hex, 16).ok();
    // A listening socket shows the connections that wait in place of bytes.
    (state != LISTENING).then_some(Socket {
        local: parse_ip(local)?,
        remote: parse_ip(remote)?,
        unsent: bytes(unsent)?,
        unread: bytes(unread)?,
    })
}

/// Reads an address such as `0100007F:1FE1`.
fn parse_ip(text: &str) -> Option<IpAddr> {
    let (ip, _) = text.split_once(':')?;
    let octets = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    Some(IpAddr::from(octets))
}

/// What a client of a crowd sends.
#[derive(Clone)]
pub struct Script {
    /// Writes the head of a client's request from the client's number.
    pub head: fn(u64) -> Vec<u8>,
    /// Sent after the head in turn, with a pause after each. All clients share the bytes.
    pub parts: Vec<Arc<[u8]>>,
    pub pause: Duration,
    /// How often the client connects and sends; it stays connected after the last time.
    pub rounds: usize,
    /// Whether the crowd waits for the answer to each client, or for its closing.
    pub awaits_answers: bool,
    /// Whether the clients read what they are sent.
    pub reads: bool,
}

impl Script {
    pub fn once(head: fn(u64) -> Vec<u8>, parts: Vec<Vec<u8>>) -> Script {
        Script {
            head,
            parts: parts.into_iter().map(Arc::from).collect(),
            pause: Duration::ZERO,
            rounds: 1,
            awaits_answers: false,
            reads: true,
        }
    }
}

/// Clients that stay connected until the crowd is dropped.
pub struct Crowd {
    clients: Vec<JoinHandle<()>>,
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.clients.iter().for_each(JoinHandle::abort);
    }
}

impl Crowd {
    /// Connects a crowd. Returns when each client has sent everything or was cut off, and
    /// the server has read what it reads, within [`TIMEOUT`].
    pub async fn send(to: SocketAddr, count: usize, script: &Script) -> Crowd {
        let sent = (0..count).map(|number| {
            let (sent_tx, sent_rx) = oneshot::channel();
            let head = (script.head)(FIRST_CLIENT + number as u64);
            let client = run_client(to, head, script.clone(), sent_tx);
            (tokio::spawn(client), sent_rx)
        });
        let (clients, sent): (Vec<_>, Vec<_>) = sent.unzip();
        let arrived = async {
            join_all(sent).await;
            let mut pending = usize::MAX;
            while pending != 0 {
                tokio::time::sleep(SETTLING).await;
                let count = tokio::task::spawn_blocking(move || pending_bytes(to.ip()));
                let left = count.await.unwrap();
                if left == std::mem::replace(&mut pending, left) {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(TIMEOUT, arrived).await;
        Crowd { clients }
    }
}

async fn run_client(to: SocketAddr, head: Vec<u8>, script: Script, sent_tx: oneshot::Sender<()>) {
    for _ in 1..script.rounds {
        if let Some((mut reader, _writer)) = send_parts(to, &head, &script).await {
            let _ = reader.read_to_end(&mut Vec::new()).await;
        }
    }
    let mut connection = send_parts(to, &head, &script).await;
    if let Some((reader, _)) = &mut connection
        && script.awaits_answers
    {
        let _ = reader.read(&mut [0; 64]).await;
    }
    let _ = sent_tx.send(());
    if let Some((mut reader, _writer)) = connection {
        if script.reads {
            let _ = reader.read_to_end(&mut Vec::new()).await;
        }
        // The client's own end stays open.
        std::future::pending::<()>().await;
    }
}

/// Connects and sends everything, or as much as the server takes.
async fn send_parts(
    to: SocketAddr,
    head: &[u8],
    script: &Script,
) -> Option<(OwnedReadHalf, OwnedWriteHalf)> {
    let permit = CONNECTING.acquire().await.ok()?;
    let stream = TcpStream::connect(to).await.ok()?;
    drop(permit);
    let (reader, mut writer) = stream.into_split();
    let parts = std::iter::once(head).chain(script.parts.iter().map(|p| &**p));
    for part in parts {
        if writer.write_all(part).await.is_err() {
            break;
        }
        tokio::time::sleep(script.pause).await;
    }
    Some((reader, writer))
}
