//! Parses the planners' CSV and lists every fault in it.

use std::collections::BTreeMap;
use std::str::FromStr;

use compact_str::CompactString;
use csv::{ByteRecord, ReaderBuilder};
use kernel::{IdError, Slots};

use crate::fault::{CellFault, Column, RowFault};
use crate::row::{MAX_AMOUNT, Row, RowKey, Subject};

/// Header with which every sheet begins.
pub const HEADER: [&str; 4] = ["what", "name", "where", "amount"];

/// Greatest size of a sheet in bytes.
pub const MAX_BYTES: usize = 2 * 1024 * 1024;

/// Greatest number of rows of a sheet, without the header.
pub const MAX_ROWS: usize = 20_000;

/// Greatest number of bytes of a faulty cell that a fault shows.
const MAX_SHOWN_BYTES: usize = 40;

/// Byte order mark that spreadsheet programs write at the start of a file.
const BOM: &[u8] = b"\xef\xbb\xbf";

/// The rows parsed so far and the faults found in them.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    /// Amounts and line numbers of the valid rows.
    pub(crate) valid: BTreeMap<RowKey, (Slots, u64)>,
    /// Faults in the order of lines.
    pub(crate) faults: Vec<RowFault>,
    /// Number of all rows, valid or not.
    count: usize,
}

impl Rows {
    /// Parses one row's cells, and stores the row or its faults.
    pub(crate) fn add(&mut self, line: u64, cells: &[&[u8]]) {
        self.count += 1;
        if let Some(row) = parse_row(line, cells, &mut self.faults) {
            self.insert(line, row);
        }
    }

    /// Returns the rows, or the faults if there are any.
    pub(crate) fn finish(self) -> Result<BTreeMap<RowKey, Slots>, Vec<RowFault>> {
        if !self.faults.is_empty() {
            return Err(self.faults);
        }
        let amounts = self.valid.into_iter().map(|(k, (amount, _))| (k, amount));
        Ok(amounts.collect())
    }

    /// Returns true, and adds a fault, if there are already [`MAX_ROWS`] rows.
    pub(crate) fn reject_extra(&mut self, line: u64) -> bool {
        if self.count < MAX_ROWS {
            return false;
        }
        let fault = CellFault::TooManyRows { max: MAX_ROWS };
        self.faults.push(row_fault(line, fault));
        true
    }

    fn insert(&mut self, line: u64, row: Row) {
        if let Some((_, first)) = self.valid.get(&row.key) {
            let fault = CellFault::Duplicate { first: *first };
            self.faults.push(row_fault(line, fault));
            return;
        }
        self.valid.insert(row.key, (row.amount, line));
    }
}

/// Parses a CSV file.
pub(crate) fn parse_file(bytes: &[u8]) -> Result<BTreeMap<RowKey, Slots>, Vec<RowFault>> {
    if bytes.len() > MAX_BYTES {
        let fault = CellFault::TooManyBytes { max: MAX_BYTES };
        return Err(vec![row_fault(1, fault)]);
    }
    let text = bytes.strip_prefix(BOM).unwrap_or(bytes);
    let mut rows = Rows::default();
    let mut seen_header = false;
    // No cell may contain a line break, so each line is parsed as a row of its
    // own. Line numbers thus stay right even if a quotation mark is unclosed.
    for (index, raw) in text.split(|b| *b == b'\n').enumerate() {
        let line = index as u64 + 1;
        let raw = raw.strip_suffix(b"\r").unwrap_or(raw);
        if raw.trim_ascii().is_empty() {
            continue;
        }
        let record = split_line(raw);
        let cells: Vec<&[u8]> = record.iter().collect();
        if !seen_header {
            seen_header = true;
            check_header(line, &cells, &mut rows);
            continue;
        }
        if rows.reject_extra(line) {
            break;
        }
        rows.add(line, &cells);
    }
    if rows.count == 0 && rows.faults.is_empty() {
        rows.faults.push(row_fault(1, CellFault::Empty));
    }
    rows.finish()
}

fn split_line(raw: &[u8]) -> ByteRecord {
    let mut reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(csv::Trim::All)
        .buffer_capacity(256)
        .from_reader(raw);
    let mut record = ByteRecord::new();
    // Reading from memory can't fail, and the reader accepts an unclosed quotation
    // mark; the checks of the cells report such faults.
    let _ = reader.read_byte_record(&mut record);
    record
}

fn check_header(line: u64, cells: &[&[u8]], rows: &mut Rows) {
    let is_header =
        cells.len() == HEADER.len() && cells.iter().zip(HEADER).all(|(c, h)| *c == h.as_bytes());
    if !is_header {
        rows.faults.push(row_fault(line, CellFault::Header));
    }
}

fn parse_row(line: u64, cells: &[&[u8]], faults: &mut Vec<RowFault>) -> Option<Row> {
    let before = faults.len();
    if cells.len() > HEADER.len() {
        let columns = cells.len();
        faults.push(row_fault(line, CellFault::Extra { columns }));
    }
    let mut check = |column, index: usize| {
        let text = cell_text(cells.get(index).copied());
        text.map_err(|fault| faults.push(cell_fault(line, column, fault, "")))
            .ok()
    };
    let what = check(Column::What, 0);
    let name = check(Column::Name, 1);
    let place = check(Column::Where, 2);
    let amount = check(Column::Amount, 3);

    let mut report = |column, text: &str, fault| faults.push(cell_fault(line, column, fault, text));
    let subject = match (what, name) {
        (Some(what), name) => parse_subject(what, name, &mut report),
        (None, _) => None,
    };
    let place = place.and_then(|t| ok_or_report(t.parse(), t, Column::Where, &mut report));
    let amount = amount.and_then(|t| match parse_amount(t) {
        Ok(amount) => Some(amount),
        Err(fault) => {
            report(Column::Amount, t, fault);
            None
        }
    });
    if faults.len() > before {
        return None;
    }
    let key = RowKey {
        subject: subject?,
        place: place?,
    };
    Some(Row {
        key,
        amount: amount?,
    })
}

fn parse_subject(
    what: &str,
    name: Option<&str>,
    report: &mut impl FnMut(Column, &str, CellFault),
) -> Option<Subject> {
    match what {
        "service" => ok_or_report(name?.parse(), name?, Column::Name, report).map(Subject::Service),
        "team" => ok_or_report(name?.parse(), name?, Column::Name, report).map(Subject::Team),
        _ => {
            report(Column::What, what, CellFault::UnknownWhat);
            None
        }
    }
}

fn ok_or_report<T: FromStr<Err = IdError>>(
    parsed: Result<T, IdError>,
    text: &str,
    column: Column,
    report: &mut impl FnMut(Column, &str, CellFault),
) -> Option<T> {
    parsed
        .map_err(|e| report(column, text, CellFault::Name(e)))
        .ok()
}

fn parse_amount(text: &str) -> Result<Slots, CellFault> {
    let digits = text.strip_prefix('-').unwrap_or(text);
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(CellFault::NotANumber);
    }
    if digits.len() < text.len() {
        return Err(CellFault::Negative);
    }
    match text.parse::<u32>() {
        Ok(n) if n <= MAX_AMOUNT => Ok(Slots(n)),
        _ => Err(CellFault::TooLarge { max: MAX_AMOUNT }),
    }
}

fn cell_text(cell: Option<&[u8]>) -> Result<&str, CellFault> {
    let bytes = cell.ok_or(CellFault::Missing)?;
    std::str::from_utf8(bytes).map_err(|_| CellFault::NotUtf8)
}

fn row_fault(line: u64, fault: CellFault) -> RowFault {
    cell_fault(line, Column::Whole, fault, "")
}

fn cell_fault(line: u64, column: Column, fault: CellFault, text: &str) -> RowFault {
    let end = text.floor_char_boundary(MAX_SHOWN_BYTES);
    RowFault {
        line,
        column,
        fault,
        text: CompactString::new(&text[..end]),
    }
}
