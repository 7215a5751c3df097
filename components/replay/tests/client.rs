//! The stand-in caller finds wrong answers and sees lost ones to their end.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use replay::{Action, Answer, Book, Caller, Door, Doors, End, Submission, Submit, Trace};
use standins::{Hops, Net};
use tokio::net::TcpListener;
use wire::{Handler, Server, ServerLimits};

const SUBMIT: &str = r#"{"at_ms":0,"submit":{"job":"j1","team":"t1","via":"a/vm-0","service":"quote","deadline_ms":3000,"tasks":[{"run_ms":1},{"run_ms":1}]}}"#;

const COMPLETE: &str = r#"{"outcome":"complete","answers":[
    {"id":"0","answer":{"job":"j1","task":"0","minion":"a/m-0"}},
    {"id":"1","answer":{"job":"j1","task":"1","minion":"a/m-0"}}]}"#;

const STOPPING: &str = r#"{"outcome":"failed","ran":"no","reason":"stopping"}"#;

const AWAY: &str = r#"{"outcome":"unknown","reason":"owner_away","retry_after_ms":1}"#;

/// A VM that gives these answers one after the other, the last for ever.
#[derive(Clone)]
struct Script(Arc<Mutex<VecDeque<String>>>);

impl Handler for Script {
    async fn handle(&self, _: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut lines = self.0.lock().unwrap();
        let next = match lines.len() {
            1 => lines[0].clone(),
            _ => lines.pop_front().unwrap(),
        };
        Response::new(Full::from(next))
    }
}

async fn vm(answers: &[&str]) -> SocketAddr {
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, ServerLimits::default()).await.unwrap();
    let addr = server.addr().unwrap();
    let lines = answers.iter().map(|a| (*a).to_owned()).collect();
    tokio::spawn(server.serve(Script(Arc::new(Mutex::new(lines)))));
    addr
}

fn job() -> Submit {
    let trace: Trace = SUBMIT.parse().unwrap();
    match trace.steps[0].action.clone() {
        Action::Submit(submit) => submit,
        _ => panic!("no submit"),
    }
}

/// Submits the job to VMs at these addresses, the first of them picked.
async fn submit(addrs: &[SocketAddr]) -> Submission {
    let (doors, book) = (Doors::default(), Book::default());
    for (n, addr) in addrs.iter().enumerate() {
        doors.put(Door {
            vm: format!("a/vm-{n}").parse().unwrap(),
            domain: "a".parse().unwrap(),
            addr: *addr,
            live: true,
        });
    }
    let caller = Caller::new(Net::new(Hops::default()), doors, book.clone());
    let job = job();
    let n = book.open(&job);
    caller.submit(n, &job, "j1").await;
    book.read().swap_remove(n)
}

fn ends(sub: &Submission) -> Vec<End> {
    let ended = sub.attempts.iter().filter_map(|a| a.end.clone());
    ended.map(|e| e.1).collect()
}

#[tokio::test]
async fn whole_answer() {
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
async fn asks_again() {
    let sub = submit(&[vm(&[AWAY, AWAY, COMPLETE]).await]).await;
    assert_eq!(sub.attempts.len(), 3);
    assert_eq!(sub.answer.unwrap().1, Answer::Complete);
}

#[tokio::test]
async fn goes_elsewhere() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dead = gone.local_addr().unwrap();
    drop(gone);
    let sub = submit(&[dead, vm(&[STOPPING]).await, vm(&[COMPLETE]).await]).await;
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
