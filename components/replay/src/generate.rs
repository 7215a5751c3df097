//! Random traces from a seed: jobs of all kinds under all faults, singly and
//! in pairs.

use std::fmt::Write;

use compact_str::{CompactString, format_compact};
use kernel::Millis;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};

use crate::trace::FleetPlan;

/// The services of a random trace's fleet.
const SERVICES: [&str; 2] = ["quote", "tariff"];

/// The median run time of a task in milliseconds.
const RUN_MEDIAN: f64 = 40.0;

/// The longest run time of a task in milliseconds.
const RUN_MOST: f64 = 900.0;

/// The longest pause between two jobs in milliseconds.
const JOB_PAUSE: u64 = 60;

/// The pause between two faults in milliseconds.
const FAULT_PAUSE: std::ops::Range<u64> = 600..2500;

/// How long a fault lasts in milliseconds.
const FAULT_SPAN: std::ops::Range<u64> = 200..2500;

/// Writes a random trace of about this length. The same seed gives the same
/// text.
pub fn generate(seed: u64, span: Millis) -> String {
    let mut writer = Writer::new(seed);
    writer.jobs(span.0);
    writer.faults(span.0);
    writer.publications(span.0);
    writer.text(seed)
}

/// A trace in the making.
struct Writer {
    /// The randomness.
    rng: Xoshiro256PlusPlus,
    /// The entry VMs.
    vms: Vec<CompactString>,
    /// The minions.
    minions: Vec<CompactString>,
    /// The failure domains.
    domains: Vec<CompactString>,
    /// Whether minions leave in this trace. Then nothing holds connections, as
    /// a task that was sent in time would arrive late through no fault of the
    /// VM's.
    leaves: bool,
    /// The lines so far, with their times.
    lines: Vec<(u64, Value)>,
}

impl Writer {
    fn new(seed: u64) -> Writer {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let plan = FleetPlan::default();
        let leaves = rng.random_bool(0.5);
        Writer {
            rng,
            vms: plan.vms().into_iter().map(|v| v.0.into()).collect(),
            minions: plan.minions().into_iter().map(|m| m.0.into()).collect(),
            domains: plan.domains.into_iter().map(CompactString::from).collect(),
            leaves,
            lines: Vec::new(),
        }
    }

    fn jobs(&mut self, span: u64) {
        let (mut at, mut n) = (0, 0);
        while at < span {
            n += 1;
            self.job(at, n);
            at += self.rng.random_range(1..=JOB_PAUSE);
        }
    }

    /// Writes a job with what its caller does later.
    fn job(&mut self, at: u64, n: u64) {
        let job = format_compact!("j{n}");
        let mut submit = self.submit(&job);
        self.put(at, "submit", submit.clone());
        let later = at + self.rng.random_range(1..600);
        match self.rng.random_range(0..100) {
            0..25 => {
                submit["via"] = self.vm().as_str().into();
                self.put(later, "submit", submit.clone());
                let again = later + self.rng.random_range(1..1500);
                submit["via"] = self.vm().as_str().into();
                self.put(again, "submit", submit);
            }
            25..30 => self.put(later, "hang_up", json!({"job": job})),
            30..35 => {
                self.put(later, "hang_up", json!({"job": job}));
                submit["via"] = self.vm().as_str().into();
                self.put(later + 20, "submit", submit);
            }
            35..40 => {
                let via = self.vm();
                self.put(later, "cancel", json!({"job": job, "via": via}));
            }
            _ => {}
        }
    }

    fn submit(&mut self, job: &str) -> Value {
        let count = match self.rng.random_range(0..20) {
            0 => self.rng.random_range(20..60),
            _ => self.rng.random_range(1..8),
        };
        let tasks: Vec<Value> = (0..count).map(|_| self.task()).collect();
        let keys = *["bare", "ticket"].choose(&mut self.rng).unwrap_or(&"bare");
        json!({
            "job": job,
            "team": format_compact!("t{}", self.rng.random_range(0..4)),
            "via": self.vm(),
            "service": SERVICES[self.rng.random_range(0..SERVICES.len())],
            "idempotent": self.rng.random_bool(0.3),
            "deadline_ms": self.rng.random_range(1500..4000),
            "keys": keys,
            "tasks": tasks,
        })
    }

    fn task(&mut self) -> Value {
        let run = LogNormal::new(RUN_MEDIAN.ln(), 0.8).map(|d| d.sample(&mut self.rng));
        let run = run.unwrap_or(RUN_MEDIAN).clamp(1.0, RUN_MOST) as u64;
        let mut task = json!({"run_ms": run});
        if self.rng.random_bool(0.5) {
            task["declared_ms"] = (run * self.rng.random_range(1..6) / 2).into();
        }
        match self.rng.random_range(0..300) {
            0..3 => task["fails"] = true.into(),
            3 => task["needs"] = json!({"cores": 999}),
            _ => {}
        }
        task
    }

    fn faults(&mut self, span: u64) {
        let mut at = self.rng.random_range(FAULT_PAUSE);
        while at < span {
            self.fault(at);
            if self.rng.random_bool(0.4) {
                let soon = at + self.rng.random_range(0..100);
                self.fault(soon);
            }
            at += self.rng.random_range(FAULT_PAUSE);
        }
    }

    fn fault(&mut self, at: u64) {
        let lasting = self.rng.random_range(FAULT_SPAN);
        let (vm, minion) = (self.vm(), self.minion());
        let domain = self.domains[self.rng.random_range(0..self.domains.len())].clone();
        let fault = match self.rng.random_range(0..14) {
            0 => json!({"kind": "minion_dies", "target": minion, "for_ms": lasting}),
            1 => json!({"kind": "minion_fails_all", "target": minion, "for_ms": lasting}),
            2 => json!({"kind": "minion_slow", "target": minion, "factor": 5, "for_ms": lasting}),
            3 | 4 => json!({"kind": "minion_silent", "target": minion}),
            5 => json!({"kind": "vm_dies", "target": vm, "for_ms": lasting}),
            6 => json!({"kind": "vm_stops", "target": vm, "for_ms": 2000 + lasting}),
            7 => json!({"kind": "log_down", "for_ms": lasting}),
            8 => json!({"kind": "log_slow", "delay_ms": 150, "for_ms": lasting}),
            9 => json!({"kind": "log_loses_answers", "for_ms": lasting}),
            10 => json!({"kind": "log_trims", "keep": self.rng.random_range(0..50)}),
            _ if self.leaves => json!({"kind": "minion_leaves", "target": minion}),
            11 => json!({"kind": "vm_pauses", "target": vm, "for_ms": lasting}),
            _ => json!({"kind": "domain_cut", "target": domain, "for_ms": lasting}),
        };
        self.put(at, "fault", fault);
    }

    fn publications(&mut self, span: u64) {
        let mut at = self.rng.random_range(500..4000);
        while at < span {
            let slots = format_compact!("{}", self.rng.random_range(20..33));
            let quota = format_compact!("{}", self.rng.random_range(10..60));
            let mut rows: Vec<[&str; 4]> = Vec::new();
            rows.extend(SERVICES.map(|service| ["service", service, "*", slots.as_str()]));
            rows.push(["team", "t0", "*", quota.as_str()]);
            let base = match self.rng.random_bool(0.8) {
                true => "current",
                false => "stale",
            };
            let publish = json!({"by": "op1", "via": "platform", "rows": rows, "base": base});
            self.put(at, "publish", publish);
            at += self.rng.random_range(500..4000);
        }
    }

    fn vm(&mut self) -> CompactString {
        self.vms[self.rng.random_range(0..self.vms.len())].clone()
    }

    fn minion(&mut self) -> CompactString {
        self.minions[self.rng.random_range(0..self.minions.len())].clone()
    }

    fn put(&mut self, at: u64, action: &str, body: Value) {
        self.lines.push((at, json!({"at_ms": at, action: body})));
    }

    fn text(mut self, seed: u64) -> String {
        self.lines.sort_by_key(|line| line.0);
        let mut text = format!("# seed {seed}\n");
        let fleet = json!({"fleet": {"services": SERVICES}});
        let lines = self.lines.iter().map(|line| &line.1);
        for line in std::iter::once(&fleet).chain(lines) {
            // Writing to a text can't fail.
            let _ = writeln!(text, "{line}");
        }
        text
    }
}
