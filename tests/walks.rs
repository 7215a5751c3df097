//! docs/OPERATIONS.md leads from a failed request's id to its cause: each of its
//! failures is caused on real VM processes, and the page's own command finds the
//! lines that the page names.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use futures::future::{Either, select};
use kernel::Millis;
use platform_standin::{Answer, Caller, Job};
use soak::{Shape, Site, lasting_queue};
use standins::Work;

const PAGE: &str = include_str!("../docs/OPERATIONS.md");

const PROGRAM: &str = env!("CARGO_BIN_EXE_pomelopost");

/// The longest wait for anything.
const WAIT: Duration = Duration::from_secs(20);

/// A site of two VMs in one domain, with two minions.
struct Walk {
    site: Site,
    folder: PathBuf,
    caller: Caller,
}

impl Walk {
    async fn start(name: &str) -> Walk {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("walk-{name}"));
        // Logs of an earlier run would be found too.
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        let shape = Shape {
            domains: 1,
            vms: 2,
            minions: 2,
        };
        let site = Site::start(shape, Path::new(PROGRAM), &folder).await;
        let walk = Walk {
            site: site.unwrap(),
            folder,
            caller: Caller::default(),
        };
        for vm in 0..2 {
            let until = Instant::now() + WAIT;
            while walk.submit(vm, 0xf0 + vm as u64, 1, work(30)).await != Answer::Completed {
                assert!(Instant::now() < until, "VM {vm} does not serve");
            }
        }
        walk
    }

    async fn submit(&self, vm: usize, number: u64, tasks: u16, work: Work) -> Answer {
        let job = Job {
            id: id(number).parse().unwrap(),
            tasks,
            work,
            estimate: work.span,
            timeout: Millis(6_000),
        };
        let front = self.site.vms[vm].front;
        let queue = lasting_queue().unwrap();
        self.caller.submit(front, &queue, &job).await
    }

    /// Runs the page's command for a job's id until it finds all the lines.
    async fn finds(&self, number: u64, lines: &[&str]) {
        let command = PAGE.lines().find(|l| l.starts_with("    grep")).unwrap();
        let command = command.replace("5c0e7a21d94b36f8", &id(number));
        let until = Instant::now() + WAIT;
        loop {
            let output = Command::new("sh")
                .args(["-c", command.trim()])
                .current_dir(&self.folder)
                .output();
            let found = String::from_utf8(output.unwrap().stdout).unwrap();
            if lines.iter().all(|line| found.contains(line)) {
                return;
            }
            assert!(Instant::now() < until, "{lines:?} not all in:\n{found}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn work(span: u64) -> Work {
    Work::new(14, Millis(span))
}

/// The page's section with this title must name each line.
fn named(title: &str, lines: &[&str]) {
    let sections = PAGE.split("\n## ");
    let section = sections.into_iter().find(|s| s.starts_with(title)).unwrap();
    for line in lines {
        assert!(section.contains(line), "{title}: {line}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused() {
    let lines = ["job refused: no free capacity in time"];
    named("Refused", &lines);
    let walk = Walk::start("refused").await;
    // No minion has 60 cores, now or ever.
    let answer = walk.submit(0, 1, 1, Work::new(60, Millis(30))).await;
    assert!(matches!(answer, Answer::Refused(Some(_))), "{answer:?}");
    walk.finds(1, &[lines[0], "\"answer\":\"Refused"]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed() {
    let lines = ["run failed", "job ended"];
    named("Failed by its minions", &lines);
    let walk = Walk::start("failed").await;
    let fails = Work {
        fails: true,
        ..work(30)
    };
    assert_eq!(walk.submit(0, 2, 2, fails).await, Answer::Failed);
    let answered = "\"answer\":\"Failed\"";
    walk.finds(2, &[lines[0], lines[1], answered]).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_vm() {
    let lines = ["job lost: no answer from the owner", "job run again"];
    named("Lost with a VM", &lines);
    let walk = Walk::start("lost").await;
    let owner = owner(&walk).await;
    let begin = walk.site.fleet.starts().len();
    let job = async { walk.submit(1 - owner, 3, 1, work(1_500)).await };
    // The page's case is an owner that is killed while it runs the job.
    let site = &walk.site;
    let started = async {
        while site.fleet.starts().len() == begin {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let job = std::pin::pin!(job);
    let started = std::pin::pin!(started);
    let Either::Right((_, job)) = select(job, started).await else {
        panic!("answered before it was started");
    };
    walk.site.kill_process(owner).unwrap();
    assert_eq!(job.await, Answer::Completed);
    walk.finds(3, &lines).await;
}

/// Returns the VM that owns the shard, by its log.
async fn owner(walk: &Walk) -> usize {
    let taken = |vm: usize| {
        let log = walk.folder.join(format!("vm-{vm}.log"));
        let text = std::fs::read_to_string(log).unwrap();
        text.contains("\"shard taken\"") && !text.contains("shard yielded")
    };
    let until = Instant::now() + WAIT;
    loop {
        if let Some(vm) = (0..2).find(|vm| taken(*vm)) {
            return vm;
        }
        assert!(Instant::now() < until, "no owner");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
