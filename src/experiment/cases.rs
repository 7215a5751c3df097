//! Cases of the experiment. Each case starts a fleet of its own.

use std::time::Duration;

use compact_str::format_compact;
use hyper::Method;
use kernel::{Domain, Millis, MinionId};
use replay::{Fault, MinionFault};
use routing::PolicyKind;

use crate::error::CommandError;
use crate::experiment::{Row, Scale, Site};
use crate::load::{Arrivals, KeySource, Plan, prepare_keys, submit};

/// Head of the Markdown table of rows.
pub const TABLE_HEAD: &str = "\
| case | policy | p50 | p99 | wasted/task | turned away/task | cancels/task | jobs | not run \
| late | lost to failures | good tasks/s | generator lag p99 ms | double starts |\n\
|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";

/// Deadline of jobs in loads below capacity.
const LONG_DEADLINE: Millis = Millis(10_000);

/// Deadline of jobs in overload, bursts and domain cuts.
const SHORT_DEADLINE: Millis = Millis(3000);

/// Load during a burst, as a multiple of the load around it.
const BURST_FACTOR: f64 = 10.0;

/// Duration of a burst.
const BURST_SPAN: Millis = Millis(2000);

/// Number of jobs submitted before a cancellation wave.
const WAVE_JOBS: usize = 400;

/// Delay from the submissions to the cancellation wave.
const WAVE_DELAY: Duration = Duration::from_millis(300);

/// Defect of a minion.
#[derive(Debug, Clone, Copy)]
pub enum Defect {
    /// The minion fails every task at once.
    FailsAll,
    /// Tasks take 20 times as long.
    Slow,
}

/// Runs a load without faults.
///
/// # Errors
///
/// Fails when the fleet can't start or a VM does not answer.
pub async fn steady_load(
    scale: &Scale,
    policy: PolicyKind,
    load: f64,
) -> Result<Row, CommandError> {
    let site = Site::start(scale, policy).await?;
    let plan = scale.plan(load, LONG_DEADLINE);
    site.warm_up(&plan, scale.warm_up).await?;
    let case = format_compact!("load {:.0}%", load * 100.0);
    site.measure(&case, plan).await
}

/// Runs a load during which one minion is defective.
///
/// # Errors
///
/// Fails when the fleet can't start or a VM does not answer.
pub async fn faulty_minion(
    scale: &Scale,
    policy: PolicyKind,
    load: f64,
    defect: Defect,
) -> Result<Row, CommandError> {
    let mut site = Site::start(scale, policy).await?;
    let plan = scale.plan(load, LONG_DEADLINE);
    site.warm_up(&plan, scale.warm_up).await?;
    let id: MinionId = parse("a/m-0");
    let (title, fault) = match defect {
        Defect::FailsAll => ("one minion fails all", MinionFault::FailsAll),
        Defect::Slow => ("one minion 20 times slower", MinionFault::Slow(20.0)),
    };
    site.begin(&Fault::Minion(id, fault)).await?;
    let case = format_compact!("{title}, load {:.0}%", load * 100.0);
    site.measure(&case, plan).await
}

/// Runs a load with short deadlines.
///
/// # Errors
///
/// Fails when the fleet can't start or a VM does not answer.
pub async fn overload(scale: &Scale, policy: PolicyKind, load: f64) -> Result<Row, CommandError> {
    let site = Site::start(scale, policy).await?;
    let plan = scale.plan(load, SHORT_DEADLINE);
    site.warm_up(&plan, scale.warm_up).await?;
    let case = format_compact!("deadline {SHORT_DEADLINE}, load {:.0}%", load * 100.0);
    site.measure(&case, plan).await
}

/// Runs a burst of ten times the load of 50%, then that load itself, and
/// measures each.
///
/// # Errors
///
/// Fails when the fleet can't start or a VM does not answer.
pub async fn burst(scale: &Scale, policy: PolicyKind) -> Result<[Row; 2], CommandError> {
    let site = Site::start(scale, policy).await?;
    let base = scale.plan(0.5, SHORT_DEADLINE);
    site.warm_up(&base, scale.warm_up).await?;
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

/// Measures a load of 70% while one failure domain is isolated, and again after
/// the isolation ends.
///
/// # Errors
///
/// Fails when the fleet can't start or a VM does not answer.
pub async fn domain_cut(scale: &Scale, policy: PolicyKind) -> Result<[Row; 2], CommandError> {
    let mut site = Site::start(scale, policy).await?;
    let plan = scale.plan(0.7, SHORT_DEADLINE);
    site.warm_up(&plan, scale.warm_up).await?;
    let domain: Domain = parse("b");
    let fault = Fault::Cut(domain);
    site.begin(&fault).await?;
    let during = site
        .measure("one domain cut off, load 70%", plan.clone())
        .await?;
    site.end(&fault).await?;
    let after = site.measure("right after its return", plan).await?;
    Ok([during, after])
}

/// Submits many jobs at once and cancels every other one. Returns a sentence
/// with the costs.
///
/// # Errors
///
/// Fails when the fleet can't start or a VM does not answer.
pub async fn cancel_wave(scale: &Scale, policy: PolicyKind) -> Result<String, CommandError> {
    let site = Site::start(scale, policy).await?;
    let plan = scale.plan(0.7, LONG_DEADLINE);
    site.warm_up(&plan, scale.warm_up).await?;
    let before = site.counts().await?;
    let starts = site.starts();
    let jobs: Vec<_> = Arrivals::new(plan).take(WAVE_JOBS).collect();
    let fleet = site.client();
    let keys = prepare_keys(fleet, KeySource::Ticket, jobs.len()).await?;
    let timeout = LONG_DEADLINE.duration();
    let vm = |n: usize| fleet.vms()[n % fleet.vms().len()];
    let sent = jobs
        .iter()
        .enumerate()
        .map(|(n, job)| submit(fleet, vm(n), &keys[n], job.body.clone(), timeout));
    let cancels = async {
        tokio::time::sleep(WAVE_DELAY).await;
        let every = keys.iter().enumerate().step_by(2);
        let cancel = |(n, key)| {
            let path = format!("/v1/jobs/{key}");
            let req = crate::fleet::request(Method::DELETE, &path, bytes::Bytes::new());
            fleet.send(vm(n), req, timeout)
        };
        futures::future::join_all(every.map(cancel)).await.len()
    };
    let (answers, cancelled) = tokio::join!(futures::future::join_all(sent), cancels);
    let answered = answers.iter().filter(|a| a.is_ok()).count();
    let free = site.wait_idle().await;
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

fn parse<T: std::str::FromStr>(text: &str) -> T {
    let parsed = text.parse();
    parsed.unwrap_or_else(|_| unreachable!("{text} is well formed"))
}
