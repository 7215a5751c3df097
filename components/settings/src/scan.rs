//! Line numbers, which the INI library does not tell, and lines that it would
//! misread.

use compact_str::CompactString;

/// What a line holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Held {
    /// A section's head.
    Section,
    /// A key with its value.
    Key(CompactString),
    /// Something else, which is a fault.
    Broken,
}

/// A line that is neither blank nor a comment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Line {
    /// Its number, from 1.
    pub number: usize,
    /// The section that it is in or begins; `None` before the first.
    pub section: Option<CompactString>,
    /// What it holds.
    pub held: Held,
}

/// A file's lines, and its text without the broken ones.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    /// The lines that hold something.
    pub lines: Vec<Line>,
    /// The text with each broken line blanked out, so that the library reads
    /// the rest and all faults can be told at once.
    pub clean: String,
}

impl Scan {
    /// Scans a text.
    pub fn new(text: &str) -> Scan {
        let mut scan = Scan::default();
        let mut section = None;
        for (i, raw) in text.lines().enumerate() {
            let held = hold(raw.trim(), &mut section);
            if held != Some(Held::Broken) {
                scan.clean.push_str(raw.trim());
            }
            scan.clean.push('\n');
            if let Some(held) = held {
                scan.lines.push(Line {
                    number: i + 1,
                    section: section.clone(),
                    held,
                });
            }
        }
        scan
    }

    /// Returns the numbers of the lines that set a key.
    pub fn key_lines(&self, section: &str, key: &str) -> Vec<usize> {
        self.numbers(section, |held| matches!(held, Held::Key(k) if k == key))
    }

    /// Returns the numbers of the lines that begin a section.
    pub fn section_lines(&self, section: &str) -> Vec<usize> {
        self.numbers(section, |held| *held == Held::Section)
    }

    fn numbers(&self, section: &str, wanted: impl Fn(&Held) -> bool) -> Vec<usize> {
        let inside = |line: &&Line| line.section.as_deref() == Some(section) && wanted(&line.held);
        self.lines.iter().filter(inside).map(|l| l.number).collect()
    }
}

/// Reads one trimmed line; a section's head becomes the current section.
fn hold(line: &str, section: &mut Option<CompactString>) -> Option<Held> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return None;
    }
    // The library takes a backslash at the end for a continued line.
    if line.ends_with('\\') {
        return Some(Held::Broken);
    }
    if let Some(rest) = line.strip_prefix('[') {
        let name = rest.strip_suffix(']').map(str::trim);
        return match name {
            Some(name) if !name.is_empty() && !name.contains(['[', ']']) => {
                *section = Some(CompactString::new(name));
                Some(Held::Section)
            }
            _ => Some(Held::Broken),
        };
    }
    match line.split_once(['=', ':']) {
        Some((key, value)) if !key.trim().is_empty() && quotes_closed(value.trim()) => {
            Some(Held::Key(CompactString::new(key.trim())))
        }
        _ => Some(Held::Broken),
    }
}

/// The library reads on over line ends until a quote closes.
fn quotes_closed(value: &str) -> bool {
    let open = value.chars().next().filter(|c| ['"', '\''].contains(c));
    open.is_none_or(|quote| value.len() > 1 && value.ends_with(quote))
}
