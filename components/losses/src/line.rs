//! One log line of a VM (docs/LOGS.md).

use std::borrow::Cow;

use serde::Deserialize;

use crate::time::WallMillis;

/// The fields of a log line that the account uses. Which of them a line has depends
/// on its message.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
#[expect(missing_docs, reason = "docs/LOGS.md describes the fields")]
pub struct Line<'a> {
    pub time: WallMillis,
    #[serde(borrow)]
    pub message: Cow<'a, str>,
    #[serde(borrow)]
    pub job: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub task: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub shard: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub queue: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub answer: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub outcome: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub minion: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub vm: Option<Cow<'a, str>>,
    #[serde(borrow)]
    pub domain: Option<Cow<'a, str>>,
    pub tasks: u32,
    pub cores: f64,
    pub objective_ms: u64,
    pub patience_ms: u64,
    pub took_ms: u64,
    pub waited_ms: u64,
    pub expected_ms: u64,
    pub link_ms: u64,
    pub run_ratio: f64,
    pub last_ratio: f64,
    pub failures: u32,
    pub room: f64,
    pub waiting: f64,
    pub age_ms: u64,
    pub retry_ms: u64,
    #[serde(deserialize_with = "flag")]
    pub evacuated: bool,
}

/// Reads a flag, which the logger writes as a string.
fn flag<'de, D: serde::Deserializer<'de>>(from: D) -> Result<bool, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Flag<'a> {
        Plain(bool),
        Text(Cow<'a, str>),
    }
    match Flag::deserialize(from)? {
        Flag::Plain(flag) => Ok(flag),
        Flag::Text(text) => Ok(text == "true"),
    }
}

impl<'a> Line<'a> {
    /// Parses a line. A collector may have put anything before its first brace.
    ///
    /// # Errors
    ///
    /// Fails if what follows is not a JSON object, or a field has another type than
    /// docs/LOGS.md says.
    pub fn parse(text: &'a str) -> Result<Line<'a>, serde_json::Error> {
        let from = text.find('{').unwrap_or(0);
        serde_json::from_str(&text[from..])
    }

    /// Returns the word before the first brace, by which collectors name the VM.
    pub fn source(text: &str) -> Option<&str> {
        let (before, _) = text.split_once('{')?;
        before.split_whitespace().next_back()
    }
}
