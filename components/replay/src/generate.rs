//! Generates random traces from a seed: all kinds of jobs, with single faults and
//! pairs of faults of all kinds.

use std::fmt::Write;

use compact_str::{CompactString, format_compact};
use kernel::Millis;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::{Value, json};

use crate::trace::FleetPlan;

/// Services of the fleet of a random trace.
const SERVICES: [&str; 2] = ["quote", "tariff"];

/// Median run time of a task in milliseconds.
const MEDIAN_RUN_MS: f64 = 40.0;

/// Longest run time of a task in milliseconds.
const MAX_RUN_MS: f64 = 900.0;

/// Longest pause between two jobs in milliseconds.
const MAX_JOB_PAUSE_MS: u64 = 60;

/// Range of the pause between two faults in milliseconds.
const FAULT_PAUSE_MS: std::ops::Range<u64> = 600..2500;

/// Range of the duration of a fault in milliseconds.
const FAULT_SPAN_MS: std::ops::Range<u64> = 200..2500;

/// Generates the text of a random trace that lasts for about `span`. The same seed
/// gives the same text.
pub fn generate(seed: u64, span: Millis) -> String {
    let mut generator = Generator::new(seed);
    generator.jobs(span.0);
    generator.faults(span.0);
    generator.publications(span.0);
    generator.into_text(seed)
}

/// A generator with the lines of the trace so far.
struct Generator {
    /// Source of random numbers.
    rng: Xoshiro256PlusPlus,
    /// Ids of the entry VMs.
    vms: Vec<CompactString>,
    /// Ids of the minions.
    minions: Vec<CompactString>,
    /// Names of the failure domains.
    domains: Vec<CompactString>,
    /// Whether minions leave in this trace. Then no fault stalls connections, as a
    /// task that the VM sent in time could otherwise start late on a leaving
    /// minion through no error of the VM.
    minions_leave: bool,
    /// Lines with their times in milliseconds.
    lines: Vec<(u64, Value)>,
}

impl Generator {
    fn new(seed: u64) -> Generator {
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let plan = FleetPlan::default();
        let minions_leave = rng.random_bool(0.5);
        Generator {
            rng,
            vms: plan.vms().into_iter().map(|v| v.0.into()).collect(),
            minions: plan.minions().into_iter().map(|m| m.0.into()).collect(),
            domains: plan.domains.into_iter().map(CompactString::from).collect(),
            minions_leave,
            lines: Vec::new(),
        }
    }

    fn jobs(&mut self, span: u64) {
        let (mut at, mut n) = (0, 0);
        while at < span {
            n += 1;
            self.job(at, n);
            at += self.rng.random_range(1..=MAX_JOB_PAUSE_MS);
        }
    }

    /// Adds a job and what its caller does later.
    fn job(&mut self, at: u64, n: u64) {
        let job = format_compact!("j{n}");
        let mut submit = self.submit(&job);
        self.push(at, "submit", submit.clone());
        let later = at + self.rng.random_range(1..600);
        match self.rng.random_range(0..100) {
            0..25 => {
                submit["via"] = self.vm().as_str().into();
                self.push(later, "submit", submit.clone());
                let again = later + self.rng.random_range(1..1500);
                submit["via"] = self.vm().as_str().into();
                self.push(again, "submit", submit);
            }
            25..30 => self.push(later, "hang_up", json!({"job": job})),
            30..35 => {
                self.push(later, "hang_up", json!({"job": job}));
                submit["via"] = self.vm().as_str().into();
                self.push(later + 20, "submit", submit);
            }
            35..40 => {
                let via = self.vm();
                self.push(later, "cancel", json!({"job": job, "via": via}));
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
        let run = LogNormal::new(MEDIAN_RUN_MS.ln(), 0.8).map(|d| d.sample(&mut self.rng));
        let run = run.unwrap_or(MEDIAN_RUN_MS).clamp(1.0, MAX_RUN_MS) as u64;
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
        let mut at = self.rng.random_range(FAULT_PAUSE_MS);
        while at < span {
            self.fault(at);
            if self.rng.random_bool(0.4) {
                let soon = at + self.rng.random_range(0..100);
                self.fault(soon);
            }
            at += self.rng.random_range(FAULT_PAUSE_MS);
        }
    }

    fn fault(&mut self, at: u64) {
        let span = self.rng.random_range(FAULT_SPAN_MS);
        let (vm, minion) = (self.vm(), self.minion());
        let domain = self.domains[self.rng.random_range(0..self.domains.len())].clone();
        let fault = match self.rng.random_range(0..14) {
            0 => json!({"kind": "minion_dies", "target": minion, "for_ms": span}),
            1 => json!({"kind": "minion_fails_all", "target": minion, "for_ms": span}),
            2 => json!({"kind": "minion_slow", "target": minion, "factor": 5, "for_ms": span}),
            3 | 4 => json!({"kind": "minion_silent", "target": minion}),
            5 => json!({"kind": "vm_dies", "target": vm, "for_ms": span}),
            6 => json!({"kind": "vm_stops", "target": vm, "for_ms": 2000 + span}),
            7 => json!({"kind": "log_down", "for_ms": span}),
            8 => json!({"kind": "log_slow", "delay_ms": 150, "for_ms": span}),
            9 => json!({"kind": "log_loses_answers", "for_ms": span}),
            10 => json!({"kind": "log_trims", "keep": self.rng.random_range(0..50)}),
            _ if self.minions_leave => json!({"kind": "minion_leaves", "target": minion}),
            11 => json!({"kind": "vm_pauses", "target": vm, "for_ms": span}),
            _ => json!({"kind": "domain_cut", "target": domain, "for_ms": span}),
        };
        self.push(at, "fault", fault);
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
            self.push(at, "publish", publish);
            at += self.rng.random_range(500..4000);
        }
    }

    fn vm(&mut self) -> CompactString {
        self.vms[self.rng.random_range(0..self.vms.len())].clone()
    }

    fn minion(&mut self) -> CompactString {
        self.minions[self.rng.random_range(0..self.minions.len())].clone()
    }

    fn push(&mut self, at: u64, action: &str, body: Value) {
        self.lines.push((at, json!({"at_ms": at, action: body})));
    }

    fn into_text(mut self, seed: u64) -> String {
        self.lines.sort_by_key(|line| line.0);
        let mut text = format!("# seed {seed}\n");
        let fleet = json!({"fleet": {"services": SERVICES}});
        let lines = self.lines.iter().map(|line| &line.1);
        for line in std::iter::once(&fleet).chain(lines) {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{line}");
        }
        text
    }
}
