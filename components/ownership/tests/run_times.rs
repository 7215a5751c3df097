//! Run times in heartbeats: bounded, checked, summed over owners and dropped when
//! they are old.

use std::net::SocketAddr;

use kernel::{Incarnation, Millis, Timestamp};
use ownership::{Heartbeat, Reports, VmInfo};
use proptest::collection::vec;
use proptest::prelude::*;
use schedule::{EvidenceReport, PairReport};
use serde::Serialize;
use wire::{decode, encode};

/// Maximum size of a heartbeat in bytes, as in the engine.
const MAX_HEARTBEAT: usize = 8 << 10;

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn vm(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn pair(kind: &str, runs: f32) -> PairReport {
    let mut counts = vec![0; 16];
    counts[6] = 255;
    PairReport {
        kind: kind.parse().unwrap(),
        queue: "long".into(),
        runs,
        mean: 0.0,
        counts,
    }
}

fn report(runs: f32) -> EvidenceReport {
    EvidenceReport {
        pairs: vec![pair("a/16000/0/0", runs)],
    }
}

fn heartbeat(evidence: EvidenceReport) -> Heartbeat {
    Heartbeat {
        from: VmInfo {
            addr: vm(1),
            domain: "suva-a".parse().unwrap(),
            share: 100,
            room: 10,
            incarnation: format!("{:032x}", 7).parse::<Incarnation>().unwrap(),
            leaving: false,
        },
        interval: Millis(100),
        version: 1,
        reports: Vec::new(),
        known: Vec::new(),
        evacuations: kernel::Offset(0),
        evidence,
        register: kernel::Offset(0),
        crashes: Vec::new(),
        sent: kernel::Timestamp(0),
        calls: None,
    }
}

/// A heartbeat of a build that does not know run times.
#[derive(Serialize)]
struct EarlierHeartbeat {
    from: VmInfo,
    interval: Millis,
    version: u64,
    reports: Vec<()>,
    known: Vec<()>,
}

#[test]
fn earlier_build() {
    // Guards against a build that ignores the VMs of the previous one.
    let new = heartbeat(EvidenceReport::default());
    let earlier = EarlierHeartbeat {
        from: new.from.clone(),
        interval: new.interval,
        version: new.version,
        reports: Vec::new(),
        known: Vec::new(),
    };
    let bytes = encode(&earlier).unwrap();
    assert_eq!(decode::<Heartbeat>(&bytes).unwrap(), new);
}

#[test]
fn largest_heartbeat() {
    // Guards against run times that leave no space for reports of shards.
    let mut full = EvidenceReport::default();
    for _ in 0..8 {
        let mut pair = pair(&"k".repeat(96), 1e6);
        pair.queue = "q".repeat(128).into();
        full.pairs.push(pair);
    }
    assert_eq!(
        Reports::default().record(vm(1), full.clone(), at(0)),
        Ok(())
    );
    let heartbeat = heartbeat(full);
    let bytes = encode(&heartbeat).unwrap();
    assert!(bytes.len() < MAX_HEARTBEAT / 2, "{} bytes", bytes.len());
    assert_eq!(decode::<Heartbeat>(&bytes).unwrap(), heartbeat);
}

#[test]
fn newest_counts() {
    // Guards against an owner whose runs count once for each of its reports.
    let mut reports = Reports::default();
    for ms in [0, 1_000, 2_000] {
        reports.record(vm(1), report(100.0), at(ms)).unwrap();
    }
    reports.record(vm(2), report(50.0), at(2_000)).unwrap();
    let current = reports.current(at(2_000));
    let runs: f32 = current.iter().flat_map(|r| &r.pairs).map(|p| p.runs).sum();
    assert_eq!(runs, 150.0);
}

#[test]
fn old_reports() {
    // Guards against the speeds of long ago: a report counts less with its age,
    // and not at all after 30 s.
    let mut reports = Reports::default();
    reports.record(vm(1), report(100.0), at(0)).unwrap();
    let aged = reports.current(at(10_000))[0].pairs[0].runs;
    assert!((30.0..45.0).contains(&aged), "{aged}");
    assert_eq!(reports.current(at(30_000)), Vec::new());
}

#[test]
fn implausible_figures() {
    // Guards against figures that would decide every placement: the owner's
    // earlier report stays.
    let mut reports = Reports::default();
    reports.record(vm(1), report(100.0), at(0)).unwrap();
    let with = |change: fn(&mut PairReport)| {
        let mut report = report(100.0);
        change(&mut report.pairs[0]);
        report
    };
    let absurd = [
        with(|p| p.runs = f32::NAN),
        with(|p| p.runs = -1.0),
        with(|p| p.runs = 1e30),
        with(|p| p.mean = f32::INFINITY),
        with(|p| p.mean = 40.0),
        with(|p| p.counts = vec![0; 16]),
        with(|p| p.counts = vec![1; 15]),
        with(|p| p.queue = "q".repeat(129).into()),
        EvidenceReport {
            pairs: vec![pair("a", 1.0); 9],
        },
    ];
    for report in absurd {
        assert!(
            reports.record(vm(1), report.clone(), at(1)).is_err(),
            "{report:?}"
        );
    }
    assert_eq!(reports.current(at(0)), vec![report(100.0)]);
}

proptest! {
    #[test]
    fn garbled_reports(
        kind in "[a-z/]{0,120}",
        runs in any::<f32>(),
        mean in any::<f32>(),
        counts in vec(any::<u8>(), 0..20),
        cut in 0..400_usize,
        noise in vec(any::<u8>(), 0..16),
    ) {
        // Guards against a panic or an unbounded effect of what the network
        // delivers: it is decoded and kept, or refused.
        let bytes = encode(&(&[(kind, "q", runs, mean, counts)],)).unwrap();
        let mut cut_bytes = bytes[..cut.min(bytes.len())].to_vec();
        cut_bytes.extend(noise);
        for bytes in [bytes.to_vec(), cut_bytes] {
            if let Ok(report) = decode::<(EvidenceReport,)>(&bytes) {
                let mut reports = Reports::default();
                let kept = reports.record(vm(1), report.0, at(0)).is_ok();
                let current = reports.current(at(5_000));
                let finite = |p: &PairReport| p.runs.is_finite() && p.mean.is_finite();
                prop_assert!(current.iter().flat_map(|r| &r.pairs).all(finite));
                prop_assert!(kept || current.is_empty());
            }
        }
    }
}
