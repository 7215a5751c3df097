//! Reads the planners' CSV and lists every fault in it.

use std::collections::BTreeMap;
use std::str::FromStr;

use compact_str::CompactString;
use csv::{ByteRecord, ReaderBuilder};
use kernel::{IdError, Slots};

use crate::fault::{CellFault, Column, RowFault};
use crate::row::{MAX_AMOUNT, Row, RowKey, Subject};

/// The header that each sheet begins with.
pub const HEADER: [&str; 4] = ["what", "name", "where", "amount"];

/// The most bytes that a sheet may have.
pub const MAX_BYTES: usize = 2 * 1024 * 1024;

/// The most rows that a sheet may have, besides the header.
pub const MAX_ROWS: usize = 20_000;

/// How many bytes of a wrong cell are shown.
const MAX_SHOWN: usize = 40;

/// The byte order mark that spreadsheet programs put first.
const BOM: &[u8] = b"\xef\xbb\xbf";

/// The rows read so far and what is wrong with them.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    /// The good rows, with their lines.
    pub(crate) good: BTreeMap<RowKey, (Slots, u64)>,
    /// The faults, in the order of lines.
    pub(crate) faults: Vec<RowFault>,
    /// How many rows there are, good or bad.
    count: usize,
}

impl Rows {
    /// Reads one row's cells and keeps what they say.
    pub(crate) fn add(&mut self, line: u64, cells: &[&[u8]]) {
        self.count += 1;
        if let Some(row) = read_row(line, cells, &mut self.faults) {
            self.insert(line, row);
        }
    }

    /// Ends the reading.
    pub(crate) fn finish(self) -> Result<BTreeMap<RowKey, Slots>, Vec<RowFault>> {
        if !self.faults.is_empty() {
            return Err(self.faults);
        }
        let plain = self.good.into_iter().map(|(k, (amount, _))| (k, amount));
        Ok(plain.collect())
    }

    /// Tells whether there are as many rows as allowed, and notes the fault.
    pub(crate) fn is_full(&mut self, line: u64) -> bool {
        if self.count < MAX_ROWS {
            return false;
        }
        let fault = CellFault::TooManyRows { max: MAX_ROWS };
        self.faults.push(whole(line, fault));
        true
    }

    fn insert(&mut self, line: u64, row: Row) {
        if let Some((_, first)) = self.good.get(&row.key) {
            let fault = CellFault::Duplicate { first: *first };
            self.faults.push(whole(line, fault));
            return;
        }
        self.good.insert(row.key, (row.amount, line));
    }
}

/// Reads a whole file.
pub(crate) fn read_file(bytes: &[u8]) -> Result<BTreeMap<RowKey, Slots>, Vec<RowFault>> {
    if bytes.len() > MAX_BYTES {
        let fault = CellFault::TooManyBytes { max: MAX_BYTES };
        return Err(vec![whole(1, fault)]);
    }
    let text = bytes.strip_prefix(BOM).unwrap_or(bytes);
    let mut rows = Rows::default();
    let mut header = false;
    // No cell may hold a line break, so each line is a row; this keeps the line
    // numbers right whatever quotation marks a broken file has.
    for (at, raw) in text.split(|b| *b == b'\n').enumerate() {
        let line = at as u64 + 1;
        let raw = raw.strip_suffix(b"\r").unwrap_or(raw);
        if raw.trim_ascii().is_empty() {
            continue;
        }
        let record = split_line(raw);
        let cells: Vec<&[u8]> = record.iter().collect();
        if !header {
            header = true;
            check_header(line, &cells, &mut rows);
            continue;
        }
        if rows.is_full(line) {
            break;
        }
        rows.add(line, &cells);
    }
    if rows.count == 0 && rows.faults.is_empty() {
        rows.faults.push(whole(1, CellFault::Empty));
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
    // Reading from memory can't fail, and an unclosed quotation mark is no
    // error to the reader; the cells' own checks find what is wrong.
    let _ = reader.read_byte_record(&mut record);
    record
}

fn check_header(line: u64, cells: &[&[u8]], rows: &mut Rows) {
    let same =
        cells.len() == HEADER.len() && cells.iter().zip(HEADER).all(|(c, h)| *c == h.as_bytes());
    if !same {
        rows.faults.push(whole(line, CellFault::Header));
    }
}

fn read_row(line: u64, cells: &[&[u8]], faults: &mut Vec<RowFault>) -> Option<Row> {
    let before = faults.len();
    if cells.len() > HEADER.len() {
        let columns = cells.len();
        faults.push(whole(line, CellFault::Extra { columns }));
    }
    let mut check = |column, at: usize| {
        let found = text_of(cells.get(at).copied());
        found
            .map_err(|fault| faults.push(at_cell(line, column, fault, "")))
            .ok()
    };
    let what = check(Column::What, 0);
    let name = check(Column::Name, 1);
    let place = check(Column::Where, 2);
    let amount = check(Column::Amount, 3);

    let mut note = |column, text: &str, fault| faults.push(at_cell(line, column, fault, text));
    let subject = match (what, name) {
        (Some(what), name) => read_subject(what, name, &mut note),
        (None, _) => None,
    };
    let place = place.and_then(|t| keep(t.parse(), t, Column::Where, &mut note));
    let amount = amount.and_then(|t| match read_amount(t) {
        Ok(amount) => Some(amount),
        Err(fault) => {
            note(Column::Amount, t, fault);
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

fn read_subject(
    what: &str,
    name: Option<&str>,
    note: &mut impl FnMut(Column, &str, CellFault),
) -> Option<Subject> {
    match what {
        "service" => keep(name?.parse(), name?, Column::Name, note).map(Subject::Service),
        "team" => keep(name?.parse(), name?, Column::Name, note).map(Subject::Team),
        _ => {
            note(Column::What, what, CellFault::UnknownWhat);
            None
        }
    }
}

fn keep<T: FromStr<Err = IdError>>(
    read: Result<T, IdError>,
    text: &str,
    column: Column,
    note: &mut impl FnMut(Column, &str, CellFault),
) -> Option<T> {
    read.map_err(|e| note(column, text, CellFault::Name(e)))
        .ok()
}

fn read_amount(text: &str) -> Result<Slots, CellFault> {
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

fn text_of(cell: Option<&[u8]>) -> Result<&str, CellFault> {
    let bytes = cell.ok_or(CellFault::Missing)?;
    std::str::from_utf8(bytes).map_err(|_| CellFault::NotUtf8)
}

fn whole(line: u64, fault: CellFault) -> RowFault {
    at_cell(line, Column::Whole, fault, "")
}

fn at_cell(line: u64, column: Column, fault: CellFault, text: &str) -> RowFault {
    let end = text.floor_char_boundary(MAX_SHOWN);
    RowFault {
        line,
        column,
        fault,
        text: CompactString::new(&text[..end]),
    }
}
