//! Queue of log lines when the reader is stalled or gone.

use std::io::Write;

use pomelopost::logs::LineQueue;

/// Number of lines, more than the queue holds.
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
    let written = text.lines().filter(|l| *l == line).count();
    let dropped = format!("\"count\":{}", LINES - written);
    assert!(text.lines().last().unwrap().contains(&dropped));
    // The queue accepts lines again after the write.
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
