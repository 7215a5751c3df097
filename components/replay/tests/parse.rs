//! Tests of the trace parser: what it accepts, and the line named by its errors.

use kernel::{Cores, Millis};
use proptest::prelude::*;
use replay::{
    Action, Answer, Base, Expectation, Fault, Keys, LogFault, MinionFault, Trace, TraceErrorKind,
    Verdict, VmFault,
};

const SUBMIT: &str = r#"{"at_ms":5,"submit":{"job":"j1","team":"t1","via":"a/vm-0","service":"quote","deadline_ms":3000,"tasks":[{"run_ms":80,"declared_ms":40,"fails":true,"needs":{"cores":99}}]}}"#;

fn parse(text: &str) -> Trace {
    text.parse().unwrap()
}

fn parse_error(text: &str) -> (usize, TraceErrorKind) {
    let err = text.parse::<Trace>().unwrap_err();
    assert!(err.to_string().starts_with(&format!("line {}: ", err.line)));
    (err.line, err.kind)
}

#[test]
fn empty_trace() {
    let trace = parse("\n# nothing\n  \n");
    assert_eq!(trace.fleet.vms().len(), 6);
    assert_eq!(trace.fleet.minions().len(), 12);
    assert!(trace.steps.is_empty());
}

#[test]
fn fleet_line() {
    let trace =
        parse(r#"{"fleet":{"domains":["x"],"vms":1,"minions":3,"slots":2,"services":["s"]}}"#);
    assert_eq!(trace.fleet.vms()[0].0.as_str(), "x/vm-0");
    assert_eq!(trace.fleet.minions()[2].0.as_str(), "x/m-2");
}

#[test]
fn submit_line() {
    let trace = parse(SUBMIT);
    let Action::Submit(submit) = &trace.steps[0].action else {
        panic!("no submit");
    };
    let task = &submit.tasks[0];
    assert_eq!(
        (task.run_ms, task.declared_ms, task.fails),
        (80, Some(40), true)
    );
    assert_eq!(task.needs.unwrap().cores, Cores(99));
    assert!(!submit.idempotent);
    assert_eq!(submit.keys, None);
}

#[test]
fn invalid_jobs_accepted() {
    let none = SUBMIT.replace(
        r#"{"run_ms":80,"declared_ms":40,"fails":true,"needs":{"cores":99}}"#,
        "",
    );
    parse(&none);
    let many = vec![r#"{"run_ms":1}"#; 141].join(",");
    parse(&none.replace("[]", &format!("[{many}]")));
    parse(&SUBMIT.replace(r#""quote""#, r#""unheard-of""#));
}

#[test]
fn ticket_keys() {
    let ticket = SUBMIT.replace(r#""job""#, r#""keys":"ticket","job""#);
    let Action::Submit(submit) = &parse(&format!("{ticket}\n{SUBMIT}")).steps[0].action else {
        panic!("no submit");
    };
    assert_eq!(submit.keys, Some(Keys::Ticket));
    let (line, kind) = parse_error(&format!("{SUBMIT}\n{ticket}"));
    assert!(matches!((line, kind), (2, TraceErrorKind::Keys(_))));
}

#[test]
fn all_faults() {
    let fault = |rest: &str| {
        let trace = parse(&format!(r#"{{"at_ms":1,"fault":{{{rest}}}}}"#));
        match trace.steps[0].action.clone() {
            Action::Fault(fault, span) => (fault, span),
            _ => panic!("no fault"),
        }
    };
    let minion = |f| Fault::Minion("b/m-3".parse().unwrap(), f);
    let vm = |f| Fault::Vm("c/vm-1".parse().unwrap(), f);
    let at = r#""target":"b/m-3""#;
    let on = r#""target":"c/vm-1""#;
    let span = Some(Millis(7));
    let cases = [
        (
            format!(r#""kind":"minion_dies",{at},"for_ms":7"#),
            (minion(MinionFault::Dies), span),
        ),
        (
            format!(r#""kind":"minion_fails_all",{at}"#),
            (minion(MinionFault::FailsAll), None),
        ),
        (
            format!(r#""kind":"minion_slow",{at},"factor":2.5"#),
            (minion(MinionFault::Slow(2.5)), None),
        ),
        (
            format!(r#""kind":"minion_leaves",{at}"#),
            (minion(MinionFault::Leaves), None),
        ),
        (
            format!(r#""kind":"minion_silent",{at}"#),
            (minion(MinionFault::Silent), None),
        ),
        (
            format!(r#""kind":"vm_dies",{on}"#),
            (vm(VmFault::Dies), None),
        ),
        (
            format!(r#""kind":"vm_returns",{on}"#),
            (vm(VmFault::Returns), None),
        ),
        (
            format!(r#""kind":"vm_stops",{on}"#),
            (vm(VmFault::Stops), None),
        ),
        (
            format!(r#""kind":"vm_pauses",{on},"for_ms":7"#),
            (vm(VmFault::Pauses), span),
        ),
        (
            r#""kind":"log_down","for_ms":7"#.into(),
            (Fault::Log(LogFault::Down), span),
        ),
        (
            r#""kind":"log_slow","delay_ms":9"#.into(),
            (Fault::Log(LogFault::Slow(Millis(9))), None),
        ),
        (
            r#""kind":"log_loses_answers""#.into(),
            (Fault::Log(LogFault::LosesAnswers), None),
        ),
        (
            r#""kind":"log_trims","keep":0"#.into(),
            (Fault::Log(LogFault::Trims(0)), None),
        ),
        (
            r#""kind":"domain_cut","target":"a""#.into(),
            (Fault::Cut("a".parse().unwrap()), None),
        ),
    ];
    for (text, expected) in cases {
        assert_eq!(fault(&text), expected, "{text}");
    }
}

#[test]
fn publish_line() {
    let trace = parse(
        r#"{"at_ms":1,"publish":{"by":"op1","via":"platform","rows":[["service","quote","a","32"],["odd"]],"base":"stale"}}"#,
    );
    let Action::Publish(publish) = &trace.steps[0].action else {
        panic!("no publish");
    };
    assert_eq!((publish.rows.len(), publish.base), (2, Base::Stale));
}

#[test]
fn expect_lines() {
    let text = format!(
        "{}\n{SUBMIT}\n{}\n{}\n{}\n{}",
        r#"{"at_ms":1,"publish":{"by":"op1","via":"platform","rows":[]}}"#,
        r#"{"expect":{"job":"j1","answer":"complete"}}"#,
        r#"{"expect":{"job":"j1","answer":["failed","not_run"]}}"#,
        r#"{"expect":{"publish":1,"verdict":"refused"}}"#,
        r#"{"expect":{"total":"messages_per_task","at_most":2.1}}"#,
    );
    let trace = parse(&text);
    let what: Vec<_> = trace
        .expects
        .into_iter()
        .map(|e| (e.line, e.what))
        .collect();
    assert!(matches!(&what[0], (3, Expectation::Job(_, a)) if a == &[Answer::Complete]));
    assert!(matches!(&what[1], (4, Expectation::Job(_, a)) if a.len() == 2));
    assert!(matches!(
        &what[2],
        (5, Expectation::Publish(1, Verdict::Refused))
    ));
    assert!(
        matches!(&what[3], (6, Expectation::Total(_, b)) if b.contains(2.1) && !b.contains(2.2))
    );
}

#[test]
fn malformed_lines() {
    type Kind = TraceErrorKind;
    type Check = fn(&Kind) -> bool;
    let cases: [(&str, Check); 26] = [
        ("{", |k| matches!(k, Kind::Json(_))),
        ("[]", |k| matches!(k, Kind::Json(_) | Kind::Action)),
        ("{}", |k| matches!(k, Kind::Action)),
        (r#"{"at_ms":1}"#, |k| matches!(k, Kind::Action)),
        (r#"{"at_ms":1,"sumbit":{}}"#, |k| matches!(k, Kind::Json(_))),
        (r#"{"at_ms":-1,"hang_up":{"job":"j1"}}"#, |k| {
            matches!(k, Kind::Json(_))
        }),
        (r#"{"at_ms":"1","hang_up":{"job":"j1"}}"#, |k| {
            matches!(k, Kind::Json(_))
        }),
        (r#"{"hang_up":{"job":"j1"}}"#, |k| {
            matches!(k, Kind::TimeMissing)
        }),
        (r#"{"at_ms":1,"hang_up":{"job":"j1"}}"#, |k| {
            matches!(k, Kind::Unsorted)
        }),
        (r#"{"at_ms":9,"hang_up":{"job":"j2"}}"#, |k| {
            matches!(k, Kind::Job(_))
        }),
        (
            r#"{"at_ms":9,"hang_up":{"job":"j1"},"cancel":{"job":"j1","via":"a/vm-0"}}"#,
            |k| matches!(k, Kind::Action),
        ),
        (r#"{"at_ms":9,"cancel":{"job":"j1","via":"a/vm-9"}}"#, |k| {
            matches!(k, Kind::Target(_))
        }),
        (
            r#"{"at_ms":9,"cancel":{"job":"j1","via":"a/vm-0","why":1}}"#,
            |k| matches!(k, Kind::Json(_)),
        ),
        (
            r#"{"at_ms":9,"fault":{"kind":"vm_melts","target":"a/vm-0"}}"#,
            |k| matches!(k, Kind::Json(_)),
        ),
        (
            r#"{"at_ms":9,"fault":{"kind":"vm_dies","target":"a/m-0"}}"#,
            |k| matches!(k, Kind::Target(_)),
        ),
        (r#"{"at_ms":9,"fault":{"kind":"vm_dies"}}"#, |k| {
            matches!(k, Kind::Missing("target"))
        }),
        (
            r#"{"at_ms":9,"fault":{"kind":"log_down","target":"a"}}"#,
            |k| matches!(k, Kind::Extra("target")),
        ),
        (
            r#"{"at_ms":9,"fault":{"kind":"vm_pauses","target":"a/vm-0"}}"#,
            |k| matches!(k, Kind::Missing("for_ms")),
        ),
        (
            r#"{"at_ms":9,"fault":{"kind":"minion_slow","target":"a/m-0","factor":-1}}"#,
            |k| matches!(k, Kind::Range("factor")),
        ),
        (r#"{"fleet":{"vms":1}}"#, |k| matches!(k, Kind::FleetLate)),
        (
            r#"{"at_ms":9,"expect":{"job":"j1","answer":"complete"}}"#,
            |k| matches!(k, Kind::TimeGiven),
        ),
        (r#"{"expect":{"job":"j1","answer":"done"}}"#, |k| {
            matches!(k, Kind::Json(_))
        }),
        (r#"{"expect":{"job":"j1","at_most":1}}"#, |k| {
            matches!(k, Kind::Expect)
        }),
        (r#"{"expect":{"total":"joy","at_most":1}}"#, |k| {
            matches!(k, Kind::Total(_))
        }),
        (r#"{"expect":{"publish":1,"verdict":"in_force"}}"#, |k| {
            matches!(k, Kind::Publish(1))
        }),
        (
            r#"{"at_ms":9,"publish":{"by":"op1","via":"a/vm-0","rows":[]}}"#,
            |k| matches!(k, Kind::Json(_)),
        ),
    ];
    for (text, expected) in cases {
        let (line, kind) = parse_error(&format!("# first\n{SUBMIT}\n\n{text}"));
        assert_eq!(line, 4, "{text}");
        assert!(expected(&kind), "{text}: {kind}");
    }
}

#[test]
fn bad_fleets() {
    for field in [
        r#""domains":[]"#,
        r#""domains":["a","a"]"#,
        r#""vms":0"#,
        r#""slots":0"#,
        r#""services":[]"#,
    ] {
        let (line, kind) = parse_error(&format!(r#"{{"fleet":{{{field}}}}}"#));
        assert!(
            matches!((line, kind), (1, TraceErrorKind::FleetRange(_))),
            "{field}"
        );
    }
    let (_, kind) = parse_error(r#"{"at_ms":0,"fleet":{"vms":1}}"#);
    assert!(matches!(kind, TraceErrorKind::TimeGiven));
}

proptest! {
    #[test]
    fn random_text(text in "\\PC{0,200}") {
        let _ = text.parse::<Trace>();
    }

    #[test]
    fn random_cuts(cut in 0..SUBMIT.len(), with in "[\\[\\]{}\",:0-9a-z]{0,3}") {
        let text = format!("{}{with}{}", &SUBMIT[..cut], &SUBMIT[cut..]);
        if let Err(err) = text.parse::<Trace>() {
            prop_assert_eq!(err.line, 1);
        }
    }
}
