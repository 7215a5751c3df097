//! Logs whose reader does not read.

use std::io::Write;

use pomelopost::logs::LineQueue;

/// More lines than the queue holds.
const LINES: usize = 100_000;

#[test]
fn stalled_reader() {
    let queue = LineQueue::default();
    let line = "x".repeat(100);
    for _ in 0..LINES {
        queue.push(&line);
    }
    let mut out = Vec::new();
    queue.write_to(&mut out).unwrap();
    assert!(out.len() < 2 << 20, "{}", out.len());
    let text = String::from_utf8(out).unwrap();
    let whole = text.lines().filter(|l| *l == line).count();
    let told = format!("\"count\":{}", LINES - whole);
    assert!(text.lines().last().unwrap().contains(&told));
    // Room is there again.
    queue.push("next");
    let mut out = Vec::new();
    queue.write_to(&mut out).unwrap();
    assert_eq!(out, b"next\n");
}

#[test]
fn broken_output() {
    struct Broken;
    impl Write for Broken {
        fn write(&mut self, _: &[u8]) -> std::io::Result<usize> {
            Err(std::io::ErrorKind::BrokenPipe.into())
        }
        fn flush(&mut self) -> std::io::Result<()> {
            Ok(())
        }
    }
    let queue = LineQueue::default();
    queue.push("line");
    assert!(queue.write_to(&mut Broken).is_err());
}
