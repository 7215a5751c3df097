//! Runs a VM as a process, from its settings file to the planned stop, and runs
//! `pomeloctl` and the commands of docs/API.md against it.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};
use std::time::Duration;

use bytes::Bytes;
use kernel::{Cores, Millis, Slots};
use logstore::{HttpPlatform, Platform, Stream};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::Value;
use sheet::{Base, Body, Change, ChangeId, Sheet, SheetRecord};
use standins::{Ledger, MinionConfig, MinionStandin, PlatformConfig, PlatformStandin};
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::{sleep, timeout};
use wire::{Client, PoolLimits, TcpConnect};

/// Timeout for every wait in a test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two polls.
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Process of a VM, with stand-ins for the platform and a minion.
struct Site {
    /// Process of the VM.
    vm: Child,
    /// Standard output of the VM.
    lines: Lines<BufReader<ChildStdout>>,
    /// Log lines read so far.
    log: Vec<Value>,
    /// Address at which the VM serves callers.
    addr: SocketAddr,
    /// Stand-in for the platform.
    platform: PlatformStandin,
    /// Stand-in for a minion, which runs until the site is dropped.
    _minion: MinionStandin,
}

impl Site {
    async fn start(name: &str) -> Site {
        let config = PlatformConfig {
            lag: Duration::ZERO,
            ..PlatformConfig::default()
        };
        let platform = PlatformStandin::start(config).await.unwrap();
        let minion = MinionConfig {
            id: "a/m-0".parse().unwrap(),
            domain: "a".parse().unwrap(),
            services: vec!["quote".parse().unwrap()],
            slots: Slots(8),
            cores: Cores(30),
        };
        let minion = MinionStandin::start(minion, Ledger::default())
            .await
            .unwrap();
        let row = minion.row();
        platform.change(|list| list.minions.push(row));
        publish_sheet(platform.addr()).await;
        let mut vm = Command::new(env!("CARGO_BIN_EXE_pomelopost"))
            .arg("--settings")
            .arg(settings_file(name, platform.addr()))
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let lines = BufReader::new(vm.stdout.take().unwrap()).lines();
        let mut site = Site {
            vm,
            lines,
            log: Vec::new(),
            addr: "127.0.0.1:0".parse().unwrap(),
            platform,
            _minion: minion,
        };
        let line = site
            .read_until(|l| field_contains(l, "message", "serves callers at"))
            .await;
        let text = line["message"].as_str().unwrap().to_owned();
        site.addr = text.rsplit(' ').next().unwrap().parse().unwrap();
        timeout(TIMEOUT, site.ready())
            .await
            .expect("not ready in time");
        site
    }

    /// Waits until the VM is ready, reaches the log and knows a minion.
    async fn ready(&self) {
        loop {
            let output = self.pomeloctl(&["status", "--json"]).await;
            let status: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
            let minions = status["minions"].as_array().map_or(0, Vec::len);
            if status["ready"] == true && status["log"] == "answers" && minions > 0 {
                return;
            }
            sleep(POLL_PERIOD).await;
        }
    }

    /// Waits until a task has been sent.
    async fn task_sent(&self) {
        let sent = |output: Output| output.stdout.windows(9).any(|w| w == b"task sent");
        while !sent(self.pomeloctl(&["timeline", "--all"]).await) {
            sleep(POLL_PERIOD).await;
        }
    }

    /// Reads log lines up to the first that matches. Every line must be JSON.
    async fn read_until(&mut self, is_match: impl Fn(&Value) -> bool) -> Value {
        loop {
            let line = timeout(TIMEOUT, self.lines.next_line())
                .await
                .expect("no line in time");
            let line = line.unwrap().expect("the process ended");
            let line: Value = serde_json::from_str(&line).expect(&line);
            self.log.push(line.clone());
            if is_match(&line) {
                return line;
            }
        }
    }

    async fn terminate(&self) {
        let pid = self.vm.id().unwrap().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status().await;
        assert!(status.unwrap().success());
    }

    async fn pomeloctl(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_pomeloctl"))
            .args(["--vm", &self.addr.to_string()])
            .args(args)
            .output()
            .await
            .unwrap()
    }
}

fn field_contains(line: &Value, key: &str, part: &str) -> bool {
    line[key].as_str().is_some_and(|text| text.contains(part))
}

fn temp_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(name)
}

fn settings_file(name: &str, platform: SocketAddr) -> PathBuf {
    let text = format!(
        "[vm]\nid = a/{name}\ndomain = a\ncallers = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
         platform = {platform}\n[timeline]\nlines = all\n"
    );
    let path = temp_path(&format!("{name}.ini"));
    std::fs::write(&path, text).unwrap();
    path
}

/// Writes a submission of one task to a file.
fn job_file(name: &str, run_ms: u64) -> PathBuf {
    let text = format!(
        r#"{{"team":"t1","service":"quote","deadline_ms":50000,
        "tasks":[{{"id":"roof","payload":{{"run_ms":{run_ms}}}}}]}}"#
    );
    let path = temp_path(&format!("{name}.json"));
    std::fs::write(&path, text).unwrap();
    path
}

async fn publish_sheet(addr: SocketAddr) {
    let record = SheetRecord::Change(Change {
        id: ChangeId::draw(&mut Xoshiro256PlusPlus::seed_from_u64(5)),
        by: "op1".parse().unwrap(),
        base: Base::Empty,
        at: Millis(0),
        body: Body::encode(None, &Sheet::unlimited()),
    });
    let client = Client::new(TcpConnect, PoolLimits::default());
    let platform = HttpPlatform::new(client, addr, Millis(5000));
    let bytes = Bytes::from(record.to_json().unwrap());
    platform.append(Stream::Sheet, bytes).await.unwrap();
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn full_lifecycle() {
    let mut site = Site::start("life").await;
    let file = job_file("life", 30);
    let submit = ["job", "submit", file.to_str().unwrap(), "--key", "yard-1"];
    let output = site.pomeloctl(&submit).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let output = site.pomeloctl(&["job", "show", "yard-1"]).await;
    assert!(stdout(&output).contains(r#""outcome":"complete""#));
    let output = site.pomeloctl(&["timeline", "--job", "yard-1"]).await;
    for part in ["job received", "task sent", "minion a/m-0", "job completed"] {
        assert!(
            stdout(&output).contains(part),
            "no {part} in:\n{}",
            stdout(&output)
        );
    }
    let output = site.pomeloctl(&["status"]).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(stdout(&output).contains("a/life"));
    site.terminate().await;
    site.read_until(|l| l["what"] == "vm_stopped").await;
    let status = timeout(TIMEOUT, site.vm.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
    assert!(site.log.iter().any(|l| l["what"] == "job_completed"));
}

#[tokio::test(flavor = "multi_thread")]
async fn load_completes() {
    let site = Site::start("load").await;
    let args = [
        "load",
        "--rate",
        "50",
        "--duration",
        "1s",
        "--mix",
        "quote:2:10ms",
    ];
    let output = site.pomeloctl(&args).await;
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let report: Value = serde_json::from_str(stdout(&output).trim()).unwrap();
    assert_eq!(report["jobs"], report["complete"], "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_finishes_jobs() {
    let mut site = Site::start("waits").await;
    let file = job_file("waits", 1500);
    let submit = ["job", "submit", file.to_str().unwrap(), "--key", "yard-1"];
    let stop = async {
        timeout(TIMEOUT, site.task_sent())
            .await
            .expect("no task sent");
        site.terminate().await;
    };
    let (output, ()) = tokio::join!(site.pomeloctl(&submit), stop);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    let status = timeout(TIMEOUT, site.vm.wait()).await.unwrap().unwrap();
    assert_eq!(status.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn second_signal_exits() {
    let mut site = Site::start("twice").await;
    let file = job_file("twice", 40_000);
    let submit = ["job", "submit", file.to_str().unwrap(), "--key", "yard-1"];
    let stop = async {
        timeout(TIMEOUT, site.task_sent())
            .await
            .expect("no task sent");
        site.terminate().await;
    };
    let (submitted, ()) = tokio::join!(
        async {
            let output = site.pomeloctl(&submit);
            timeout(Duration::from_secs(5), output).await
        },
        stop
    );
    assert!(submitted.is_err(), "{submitted:?}");
    site.read_until(|l| field_contains(l, "message", "a second signal"))
        .await;
    site.terminate().await;
    let status = timeout(Duration::from_secs(20), site.vm.wait()).await;
    assert_eq!(status.unwrap().unwrap().code(), Some(1));
}

/// Returns the code blocks of a page that are curl commands.
fn curl_commands(page: &str) -> Vec<String> {
    let mut commands: Vec<String> = Vec::new();
    let mut in_command = false;
    for line in page.lines() {
        let code = line.strip_prefix("    ");
        match code {
            Some(code) if code.starts_with("curl ") => {
                commands.push(code.to_owned());
                in_command = true;
            }
            Some(code) if in_command => {
                let last = commands.last_mut().unwrap();
                last.push('\n');
                last.push_str(code);
            }
            _ => in_command = false,
        }
    }
    commands
}

#[tokio::test(flavor = "multi_thread")]
async fn api_page_commands() {
    let site = Site::start("page").await;
    let page = std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/docs/API.md"));
    let commands = curl_commands(&page.unwrap());
    assert_eq!(commands.len(), 8);
    for command in commands {
        let output = Command::new("sh")
            .args(["-c", &command])
            .env("VM", site.addr.to_string())
            .output()
            .await
            .unwrap();
        assert!(output.status.success(), "{command}: {output:?}");
        let expected = match &command {
            c if c.contains("%{http_code}") => "200",
            c if c.contains("tickets") => r#"{"tickets":["t1."#,
            c if c.contains("-X DELETE") => r#""outcome":"#,
            c if c.contains("/v1/jobs") => r#""outcome":"complete""#,
            c if c.contains("status") => r#""sheet":0"#,
            _ => "job_completed",
        };
        assert!(stdout(&output).contains(expected), "{command}: {output:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn sheet_publish() {
    let site = Site::start("sheet").await;
    let platform = site.platform.addr().to_string();
    for (offset, amount) in [(1, 24), (2, 16)] {
        let file = temp_path("morning.csv");
        let text = format!("what,name,where,amount\nservice,quote,a,{amount}\nteam,t1,*,8\n");
        std::fs::write(&file, text).unwrap();
        let file = file.to_str().unwrap();
        let publish = ["--platform", &platform, "sheet", "publish", file];
        let output = site.pomeloctl(&publish).await;
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        let expected = format!("accepted at offset {offset}\nin force on all 1 VMs\n");
        assert_eq!(stdout(&output), expected);
    }
}
