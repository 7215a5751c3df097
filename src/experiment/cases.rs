//! The cases of the experiment. Each starts a fleet of its own.

use std::time::Duration;

use compact_str::format_compact;
use hyper::Method;
use kernel::{Domain, Millis, MinionId};
use replay::{Fault, MinionFault};
use routing::PolicyKind;

use crate::error::CommandError;
use crate::experiment::{Row, Scale, Site};
use crate::load::{Arrivals, Keys, Plan, all_keys, submit};

/// The heading of a table of rows.
pub const ROW_HEAD: &str = "\
| case | policy | p50 | p99 | wasted/task | turned away/task | cancels/task | jobs | not run \
| late | lost to failures | good tasks/s | generator lag p99 ms | double starts |\n\
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

/// The deadline of jobs in loads below capacity.
const LONG_DEADLINE: Millis = Millis(10_000);

/// The deadline of jobs in overload.
const SHORT_DEADLINE: Millis = Millis(3000);

/// How much more comes during a burst.
const BURST_FACTOR: f64 = 10.0;

/// How long a burst lasts.
const BURST_SPAN: Millis = Millis(2000);

/// The jobs of a cancellation wave.
const WAVE_JOBS: usize = 400;

/// How long after its jobs a cancellation wave comes.
const WAVE_DELAY: Duration = Duration::from_millis(300);

/// A minion that is out of order.
#[derive(Debug, Clone, Copy)]
pub enum Bad {
    /// It fails every task at once.
    Fails,
    /// It takes 20 times as long.
    Slow,
}

/// Runs a load without faults.
///
/// # Errors
///
/// Fails when the fleet can't start or can't be asked.
pub async fn loads(scale: &Scale, policy: PolicyKind, load: f64) -> Result<Row, CommandError> {
    let site = Site::start(scale, policy).await?;
    let plan = scale.plan(load, LONG_DEADLINE);
    site.warm_up(&plan, scale.warm).await?;
    let case = format_compact!("load {:.0}%", load * 100.0);
    site.measure(&case, plan).await
}

/// Runs a load while one minion is out of order from its start.
///
/// # Errors
///
/// Fails when the fleet can't start or can't be asked.
pub async fn with_bad(
    scale: &Scale,
    policy: PolicyKind,
    load: f64,
    bad: Bad,
) -> Result<Row, CommandError> {
    let mut site = Site::start(scale, policy).await?;
    let plan = scale.plan(load, LONG_DEADLINE);
    site.warm_up(&plan, scale.warm).await?;
    let id: MinionId = name("a/m-0");
    let (word, fault) = match bad {
        Bad::Fails => ("one minion fails all", MinionFault::FailsAll),
        Bad::Slow => ("one minion 20 times slower", MinionFault::Slow(20.0)),
    };
    site.begin(&Fault::Minion(id, fault)).await?;
    let case = format_compact!("{word}, load {:.0}%", load * 100.0);
    site.measure(&case, plan).await
}

/// Runs a load with short deadlines.
///
/// # Errors
///
/// Fails when the fleet can't start or can't be asked.
pub async fn overload(scale: &Scale, policy: PolicyKind, load: f64) -> Result<Row, CommandError> {
    let site = Site::start(scale, policy).await?;
    let plan = scale.plan(load, SHORT_DEADLINE);
    site.warm_up(&plan, scale.warm).await?;
    let case = format_compact!("deadline {SHORT_DEADLINE}, load {:.0}%", load * 100.0);
    site.measure(&case, plan).await
}

/// Runs a load of 50% with a burst in its middle, and measures both together
/// and the load after the burst.
///
/// # Errors
///
/// Fails when the fleet can't start or can't be asked.
pub async fn burst(scale: &Scale, policy: PolicyKind) -> Result<[Row; 2], CommandError> {
    let site = Site::start(scale, policy).await?;
    let base = scale.plan(0.5, SHORT_DEADLINE);
    site.warm_up(&base, scale.warm).await?;
    let peak = Plan {
        duration: BURST_SPAN,
        ..scale.plan(0.5 * BURST_FACTOR, SHORT_DEADLINE)
    };
    let during = site
        .measure("10 times the load of 50% for 2 s", peak)
        .await?;
    let after = site.measure("load 50% right after it", base).await?;
    Ok([during, after])
}

/// Cuts a domain off and lets it come back, under a load of 70%.
///
/// # Errors
///
/// Fails when the fleet can't start or can't be asked.
pub async fn cut(scale: &Scale, policy: PolicyKind) -> Result<[Row; 2], CommandError> {
    let mut site = Site::start(scale, policy).await?;
    let plan = scale.plan(0.7, SHORT_DEADLINE);
    site.warm_up(&plan, scale.warm).await?;
    let domain: Domain = name("b");
    let fault = Fault::Cut(domain);
    site.begin(&fault).await?;
    let during = site
        .measure("one domain cut off, load 70%", plan.clone())
        .await?;
    site.end(&fault).await?;
    let after = site.measure("right after its return", plan).await?;
    Ok([during, after])
}

/// Submits many jobs at once and cancels every other one; returns a sentence
/// on what that took.
///
/// # Errors
///
/// Fails when the fleet can't start or can't be asked.
pub async fn wave(scale: &Scale, policy: PolicyKind) -> Result<String, CommandError> {
    let site = Site::start(scale, policy).await?;
    let plan = scale.plan(0.7, LONG_DEADLINE);
    site.warm_up(&plan, scale.warm).await?;
    let before = site.counts().await?;
    let starts = site.starts();
    let jobs: Vec<_> = Arrivals::new(plan).take(WAVE_JOBS).collect();
    let fleet = site.callers();
    let keys = all_keys(fleet, Keys::Ticket, jobs.len()).await?;
    let wait = LONG_DEADLINE.duration();
    let vm = |n: usize| fleet.vms()[n % fleet.vms().len()];
    let sent = jobs
        .iter()
        .enumerate()
        .map(|(n, job)| submit(fleet, vm(n), &keys[n], job.body.clone(), wait));
    let cancels = async {
        tokio::time::sleep(WAVE_DELAY).await;
        let every = keys.iter().enumerate().step_by(2);
        let cancel = |(n, key)| {
            let path = format!("/v1/jobs/{key}");
            let req = crate::fleet::request(Method::DELETE, &path, bytes::Bytes::new());
            fleet.send(vm(n), req, wait)
        };
        futures::future::join_all(every.map(cancel)).await.len()
    };
    let (answers, cancelled) = tokio::join!(futures::future::join_all(sent), cancels);
    let answered = answers.iter().filter(|a| a.is_ok()).count();
    let free = site.settled().await;
    let after = site.counts().await?;
    let count = |name: &str| after.get(name).unwrap_or(&0) - before.get(name).unwrap_or(&0);
    Ok(format!(
        "{WAVE_JOBS} jobs at once, {cancelled} cancelled after 300 ms: {answered} answered, \
         {} tasks started, {} cancel messages, {} turned away, all slots free at the end: {free}.",
        site.starts() - starts,
        count("waste.cancel"),
        count("waste.not_started"),
    ))
}

fn name<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse();
    parsed.unwrap_or_else(|_| unreachable!("{text} is well formed"))
}
