//! Tests that the stand-in caller detects wrong answers and retries lost ones.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response};
use replay::{
    Action, Answer, Backend, Backends, Caller, End, Submission, SubmissionLog, Submit, Trace,
};
use standins::{Hops, Net};
use tokio::net::TcpListener;
use wire::{Handler, RequestBody, Server, ServerLimits};

const SUBMIT: &str = r#"{"at_ms":0,"submit":{"job":"j1","team":"t1","via":"a/vm-0","service":"quote","deadline_ms":3000,"tasks":[{"run_ms":1},{"run_ms":1}]}}"#;

const COMPLETE: &str = r#"{"outcome":"complete","answers":[
    {"id":"0","answer":{"job":"j1","task":"0","minion":"a/m-0"}},
    {"id":"1","answer":{"job":"j1","task":"1","minion":"a/m-0"}}]}"#;

const STOPPING: &str = r#"{"outcome":"failed","ran":"no","reason":"stopping"}"#;

const AWAY: &str = r#"{"outcome":"unknown","reason":"owner_away","retry_after_ms":1}"#;

/// A VM that gives these answers one after the other, then repeats the last one.
#[derive(Clone)]
struct ScriptedVm(Arc<Mutex<VecDeque<String>>>);

impl Handler for ScriptedVm {
    async fn handle(&self, _: Request<RequestBody>) -> Response<Full<Bytes>> {
        let mut answers = self.0.lock().unwrap();
        let next = match answers.len() {
            1 => answers[0].clone(),
            _ => answers.pop_front().unwrap(),
        };
        Response::new(Full::from(next))
    }
}

async fn vm(answers: &[&str]) -> SocketAddr {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any_port, ServerLimits::default())
        .await
        .unwrap();
    let addr = server.addr().unwrap();
    let answers = answers.iter().map(|a| (*a).to_owned()).collect();
    tokio::spawn(server.serve(ScriptedVm(Arc::new(Mutex::new(answers)))));
    addr
}

fn job() -> Submit {
    let trace: Trace = SUBMIT.parse().unwrap();
    match trace.steps[0].action.clone() {
        Action::Submit(submit) => submit,
        _ => panic!("no submit"),
    }
}

/// Submits the job to VMs at these addresses, of which the balancer picked the
/// first.
async fn submit(addrs: &[SocketAddr]) -> Submission {
    let (backends, submissions) = (Backends::default(), SubmissionLog::default());
    for (n, addr) in addrs.iter().enumerate() {
        backends.insert(Backend {
            vm: format!("a/vm-{n}").parse().unwrap(),
            domain: "a".parse().unwrap(),
            addr: *addr,
            live: true,
        });
    }
    let caller = Caller::new(Net::new(Hops::default()), backends, submissions.clone());
    let job = job();
    let n = submissions.add(&job);
    caller.submit(n, &job, "j1").await;
    submissions.all().swap_remove(n)
}

fn ends(sub: &Submission) -> Vec<End> {
    let ended = sub.attempts.iter().filter_map(|a| a.end.clone());
    ended.map(|e| e.1).collect()
}

#[tokio::test]
async fn complete_answer() {
    let sub = submit(&[vm(&[COMPLETE]).await]).await;
    assert_eq!(sub.answer.unwrap().1, Answer::Complete);
    assert!(!sub.wrong && !sub.partial);
}

#[tokio::test]
async fn wrong_answers() {
    let other_job = COMPLETE.replace(r#""job":"j1","task":"1""#, r#""job":"j2","task":"1""#);
    let other_task = COMPLETE.replace(r#""task":"1""#, r#""task":"0""#);
    let other_order = COMPLETE.replace(r#""id":"0""#, r#""id":"1""#);
    let no_answer = COMPLETE.replace(r#"{"job":"j1","task":"1","minion":"a/m-0"}"#, "null");
    for wrong in [other_job, other_task, other_order, no_answer] {
        let sub = submit(&[vm(&[&wrong]).await]).await;
        assert!(sub.wrong, "{wrong}");
    }
}

#[tokio::test]
async fn partial_answer() {
    let last = COMPLETE.rfind(r#"{"id":"1""#).unwrap();
    let partial = format!("{}]}}", COMPLETE[..last].trim_end().trim_end_matches(','));
    let sub = submit(&[vm(&[&partial]).await]).await;
    assert!(sub.partial && !sub.wrong);
}

#[tokio::test]
async fn retries() {
    let sub = submit(&[vm(&[AWAY, AWAY, COMPLETE]).await]).await;
    assert_eq!(sub.attempts.len(), 3);
    assert_eq!(sub.answer.unwrap().1, Answer::Complete);
}

#[tokio::test]
async fn tries_other_vms() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unused = listener.local_addr().unwrap();
    drop(listener);
    let sub = submit(&[unused, vm(&[STOPPING]).await, vm(&[COMPLETE]).await]).await;
    let stopping = End::Told(Answer::NotRun, "stopping".into());
    let complete = End::Told(Answer::Complete, "".into());
    assert_eq!(ends(&sub), [End::Refused, stopping, complete]);
}

#[tokio::test]
async fn final_failures() {
    let failed = r#"{"outcome":"failed","ran":"maybe","reason":"task_failed","task":"0"}"#;
    let forgotten = r#"{"outcome":"unknown","reason":"forgotten"}"#;
    let refused = r#"{"outcome":"refused","ran":"no","reason":"bad_request","field":"x"}"#;
    for (text, answer) in [
        (failed, Answer::Failed),
        (forgotten, Answer::Failed),
        (refused, Answer::NotRun),
    ] {
        let sub = submit(&[vm(&[text]).await]).await;
        assert_eq!(sub.answer.unwrap().1, answer, "{text}");
        assert_eq!(sub.attempts.len(), 1);
    }
}
