//! Stand-ins for the users' platform, written from the users' pages: the store, minions
//! and clients, and the processes of entry VMs. It uses the standard library only.
//!
//! `stand SCENARIO` plays one scenario in a temporary folder, writes `record.txt` to the
//! folder named by `RECORD`, and exits with 1 if the rule was broken, 0 if it held and 2
//! if the scenario could not run. `TROUBLE=0` leaves out the disruption.

mod clients;
mod fleet;
mod http;
mod json;
mod minions;
mod scenarios;
mod store;

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    /// Returns the milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Writes a line with the time.
    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", now);
    }
}

fn main() {
    let name = std::env::args().nth(1).unwrap_or_default();
    let folder = std::env::var("RECORD").unwrap_or_else(|_| ".".into());
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let Ok(record) = Record::create(&format!("{folder}/record.txt")) else {
        std::process::exit(2);
    };
    record.line(&format!("scenario {name}, trouble {trouble}"));
    let code = match scenarios::play(&name, trouble, &record) {
        Ok(broken) if broken.is_empty() => {
            record.line("the rule held");
            println!("the rule held");
            0
        }
        Ok(broken) => {
            for b in &broken {
                record.line(&format!("BROKEN {b}"));
                println!("BROKEN {b}");
            }
            1
        }
        Err(e) => {
            record.line(&format!("could not run: {e}"));
            println!("could not run: {e}");
            2
        }
    };
    std::process::exit(code);
}
