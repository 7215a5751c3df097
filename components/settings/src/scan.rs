//! Scans the lines of a settings file. The INI library reports no line numbers for
//! sections and keys, and would misread some invalid lines.

use compact_str::CompactString;

/// The element on a line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Item {
    /// A section header.
    Section,
    /// A key with its value. Holds the key's name.
    Key(CompactString),
    /// A line with invalid syntax.
    Invalid,
}

/// A line that is neither blank nor a comment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Line {
    /// Number of the line, from 1.
    pub number: usize,
    /// The section that contains the line or starts there; `None` before the first
    /// section.
    pub section: Option<CompactString>,
    /// The element on the line.
    pub item: Item,
}

/// The lines of a file, and its text without the invalid ones.
#[derive(Debug, Default)]
pub(crate) struct Scan {
    /// The lines that are neither blank nor a comment.
    pub lines: Vec<Line>,
    /// The text with each invalid line replaced by a blank one, so that the INI
    /// library can parse the rest and all faults are reported at once.
    pub valid_text: String,
}

impl Scan {
    /// Scans the text of a settings file.
    pub fn new(text: &str) -> Scan {
        let mut scan = Scan::default();
        let mut section = None;
        for (i, raw) in text.lines().enumerate() {
            let item = parse_line(raw.trim(), &mut section);
            if item != Some(Item::Invalid) {
                scan.valid_text.push_str(raw.trim());
            }
            scan.valid_text.push('\n');
            if let Some(item) = item {
                scan.lines.push(Line {
                    number: i + 1,
                    section: section.clone(),
                    item,
                });
            }
        }
        scan
    }

    /// Returns the numbers of the lines that set a key.
    pub fn key_lines(&self, section: &str, key: &str) -> Vec<usize> {
        self.numbers(section, |item| matches!(item, Item::Key(k) if k == key))
    }

    /// Returns the numbers of the lines with the header of a section.
    pub fn section_lines(&self, section: &str) -> Vec<usize> {
        self.numbers(section, |item| *item == Item::Section)
    }

    /// Returns the numbers of the lines of a section whose item is `wanted`.
    fn numbers(&self, section: &str, wanted: impl Fn(&Item) -> bool) -> Vec<usize> {
        let inside = |line: &&Line| line.section.as_deref() == Some(section) && wanted(&line.item);
        self.lines.iter().filter(inside).map(|l| l.number).collect()
    }
}

/// Parses a trimmed line. Returns `None` for a blank line or a comment. A section
/// header sets `section`.
fn parse_line(line: &str, section: &mut Option<CompactString>) -> Option<Item> {
    if line.is_empty() || line.starts_with([';', '#']) {
        return None;
    }
    // The library treats a backslash at the end of a line as a continuation.
    if line.ends_with('\\') {
        return Some(Item::Invalid);
    }
    if let Some(rest) = line.strip_prefix('[') {
        let name = rest.strip_suffix(']').map(str::trim);
        return match name {
            Some(name) if !name.is_empty() && !name.contains(['[', ']']) => {
                *section = Some(CompactString::new(name));
                Some(Item::Section)
            }
            _ => Some(Item::Invalid),
        };
    }
    match line.split_once(['=', ':']) {
        Some((key, value)) if !key.trim().is_empty() && quotes_closed(value.trim()) => {
            Some(Item::Key(CompactString::new(key.trim())))
        }
        _ => Some(Item::Invalid),
    }
}

/// Returns whether a value that starts with a quote also ends with it. Otherwise
/// the library would read on over line ends until the next quote.
fn quotes_closed(value: &str) -> bool {
    let open = value.chars().next().filter(|c| ['"', '\''].contains(c));
    open.is_none_or(|quote| value.len() > 1 && value.ends_with(quote))
}
