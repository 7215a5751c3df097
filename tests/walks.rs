//! Causes each failure that docs/OPERATIONS.md describes on real VM processes,
//! and checks that the page's command, given the job's id, finds the log lines
//! that the page names.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use kernel::Millis;
use platform_standin::{Answer, Caller, Job};
use soak::{Fault, Shape, Site, lasting_queue};
use standins::{Fate, Work};

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelopost");

/// Timeout for every wait in a test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Two VMs and two minions in one failure domain.
struct Scenario {
    site: Site,
    folder: PathBuf,
    caller: Caller,
}

impl Scenario {
    async fn start(name: &str) -> Scenario {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("walk-{name}"));
        // Remove the logs of an earlier run, as the page's command would find
        // their lines.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let shape = Shape {
            domains: 1,
            vms: 2,
            minions: 2,
        };
        let site = Site::start(shape, Path::new(PROGRAM), &folder).await;
        let scenario = Scenario {
            site: site.unwrap(),
            folder,
            caller: Caller::default(),
        };
        for vm in 0..2 {
            let deadline = Instant::now() + TIMEOUT;
            while scenario.submit(vm, 0xf0 + vm as u64, 1, work(30)).await != Answer::Completed {
                assert!(Instant::now() < deadline, "VM {vm} does not serve");
            }
        }
        scenario
    }

    async fn submit(&self, vm: usize, number: u64, tasks: u16, work: Work) -> Answer {
        let job = Job {
            id: job_id(number).parse().unwrap(),
            tasks,
            work,
            estimate: work.span,
            timeout: Millis(6_000),
        };
        let front = self.site.vms[vm].front;
        let queue = lasting_queue().unwrap();
        self.caller.submit(front, &queue, &job).await
    }

    /// Runs the page's command with a job's id until its output contains every
    /// line.
    async fn assert_finds(&self, number: u64, lines: &[&str]) {
        let command = PAGE.lines().find(|l| l.starts_with("    grep")).unwrap();
        let command = command.replace("5c0e7a21d94b36f8", &job_id(number));
        let deadline = Instant::now() + TIMEOUT;
        loop {
            let output = Command::new("sh")
                .args(["-c", command.trim()])
                .current_dir(&self.folder)
                .output();
            let found = String::from_utf8(output.unwrap().stdout).unwrap();
            if lines.iter().all(|line| found.contains(line)) {
                return;
            }
            assert!(Instant::now() < deadline, "{lines:?} not all in:\n{found}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn job_id(number: u64) -> String {
    format!("{number:016x}")
}

fn work(span: u64) -> Work {
    Work::new(14, Millis(span))
}

/// Asserts that the section of the page with this title names each line.
fn assert_named(title: &str, lines: &[&str]) {
    let sections = PAGE.split("\n## ");
    let section = sections.into_iter().find(|s| s.starts_with(title)).unwrap();
    for line in lines {
        assert!(section.contains(line), "{title}: {line}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_refused() {
    let lines = ["job refused: no free capacity in time"];
    assert_named("Refused", &lines);
    let scenario = Scenario::start("refused").await;
    // No minion ever has 60 cores.
    let answer = scenario.submit(0, 1, 1, Work::new(60, Millis(30))).await;
    assert!(matches!(answer, Answer::Refused(Some(_))), "{answer:?}");
    scenario
        .assert_finds(1, &[lines[0], "\"answer\":\"Refused"])
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn job_failed() {
    let lines = ["run failed", "job ended"];
    assert_named("Failed by its minions", &lines);
    let scenario = Scenario::start("failed").await;
    let fails = Work {
        fate: Fate::Fails,
        ..work(30)
    };
    assert_eq!(scenario.submit(0, 2, 2, fails).await, Answer::Failed);
    let answered = "\"answer\":\"Failed\"";
    scenario
        .assert_finds(2, &[lines[0], lines[1], answered])
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn owner_killed() {
    let lines = ["job lost: no answer from the owner", "job run again"];
    assert_named("Lost with a VM", &lines);
    let scenario = Scenario::start("lost").await;
    let owner = find_owner(&scenario).await;
    let starts = scenario.site.fleet.starts().len();
    let job = async { scenario.submit(1 - owner, 3, 1, work(1_500)).await };
    // The page describes an owner that is killed while it runs the job.
    let site = &scenario.site;
    let started = async {
        while site.fleet.starts().len() == starts {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let job = std::pin::pin!(job);
    let started = std::pin::pin!(started);
    let Either::Right((_, job)) = select(job, started).await else {
        panic!("answered before it was started");
    };
    scenario.site.kill_process(owner).unwrap();
    assert_eq!(job.await, Answer::Completed);
    scenario.assert_finds(3, &lines).await;
}

/// Fails if the operator can't see in the logs that an evacuation is in force and
/// why a job was refused meanwhile, or that it has ended.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn evacuated_domain() {
    let lines = ["evacuated domains changed", "evacuation in force"];
    assert_named("Evacuating a failure domain", &lines);
    let mut scenario = Scenario::start("evacuated").await;
    let fault = Fault::Evacuate(0);
    scenario.site.begin(fault, Millis(0), 0).await.unwrap();
    await_lines(&scenario, &lines).await;
    let refused = Answer::Refused(Some(Millis(1_000)));
    assert_eq!(scenario.submit(0, 4, 1, work(30)).await, refused);
    scenario.assert_finds(4, &["\"answer\":\"Refused"]).await;
    scenario.site.end(fault).await.unwrap();
    await_lines(&scenario, &["evacuation ended"]).await;
    assert_eq!(scenario.submit(0, 5, 1, work(30)).await, Answer::Completed);
}

/// Waits until the logs of the VMs together contain each line.
async fn await_lines(scenario: &Scenario, lines: &[&str]) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let logs = (0..2).map(|vm| scenario.folder.join(format!("vm-{vm}.log")));
        let text: String = logs.map(|l| std::fs::read_to_string(l).unwrap()).collect();
        if lines.iter().all(|line| text.contains(line)) {
            return;
        }
        assert!(Instant::now() < deadline, "{lines:?} not all in the logs");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns the index of the VM that owns the shard, according to the logs.
async fn find_owner(scenario: &Scenario) -> usize {
    let owns = |vm: usize| {
        let log = scenario.folder.join(format!("vm-{vm}.log"));
        let text = std::fs::read_to_string(log).unwrap();
        text.contains("\"shard taken\"") && !text.contains("shard yielded")
    };
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Some(vm) = (0..2).find(|vm| owns(*vm)) {
            return vm;
        }
        assert!(Instant::now() < deadline, "no owner");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
