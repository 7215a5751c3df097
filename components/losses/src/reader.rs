//! Reads log files line by line into an account.

use std::io::{self, BufRead};

use crate::account::Account;

/// Longest line that is read; VMs write at most some kilobytes.
const MAX_LINE: usize = 1 << 20;

/// Reads lines of one file, or of standard input.
#[derive(Debug)]
pub struct LogReader<R> {
    input: R,
    buffer: Vec<u8>,
    /// Number of bytes read.
    pub bytes: u64,
}

impl<R: BufRead> LogReader<R> {
    /// Creates a reader.
    pub fn new(input: R) -> LogReader<R> {
        LogReader {
            input,
            buffer: Vec::new(),
            bytes: 0,
        }
    }

    /// Adds the next line to an account. Returns false at the end of the input. A line
    /// that is too long or not UTF-8 counts as skipped.
    ///
    /// # Errors
    ///
    /// Fails when the input can't be read.
    pub fn read(&mut self, account: &mut Account, file: &str) -> io::Result<bool> {
        self.buffer.clear();
        let read = self.read_line()?;
        if read == 0 {
            return Ok(false);
        }
        self.bytes += read;
        match std::str::from_utf8(&self.buffer) {
            Ok(text) if self.buffer.len() < MAX_LINE => account.add(text, file),
            _ => account.skipped.lines += 1,
        }
        Ok(true)
    }

    /// Reads up to the next line feed and keeps at most `MAX_LINE` bytes of it.
    fn read_line(&mut self) -> io::Result<u64> {
        let mut total = 0;
        loop {
            let chunk = self.input.fill_buf()?;
            if chunk.is_empty() {
                return Ok(total);
            }
            let end = chunk.iter().position(|b| *b == b'\n');
            let taken = end.map_or(chunk.len(), |at| at + 1);
            let kept = taken.min(MAX_LINE - self.buffer.len());
            self.buffer.extend_from_slice(&chunk[..kept]);
            self.input.consume(taken);
            total += taken as u64;
            if end.is_some() {
                return Ok(total);
            }
        }
    }
}
