//! Tests of parsing and writing the planners' CSV.

use kernel::{IdError, Slots};
use proptest::prelude::*;
use sheet::{CellFault, Column, MAX_AMOUNT, MAX_ROWS, RowFault, Sheet};

const VALID: &str = "what,name,where,amount\n\
    service,quote,suva-a,32\n\
    service,quote,*,8\n\
    team,t1,*,20\n\
    team,t1,suva-a,5\n";

fn faults(text: &[u8]) -> Vec<(u64, Column, CellFault)> {
    let faults = Sheet::parse_bytes(text).expect_err("faulty");
    let fields = |f: RowFault| (f.line, f.column, f.fault);
    faults.into_iter().map(fields).collect()
}

fn slots(sheet: &Sheet, service: &str, domain: &str) -> Option<Slots> {
    sheet.service_slots(&service.parse().unwrap(), &domain.parse().unwrap())
}

#[test]
fn valid_sheet() {
    let sheet = Sheet::parse(VALID).unwrap();
    assert_eq!(slots(&sheet, "quote", "suva-a"), Some(Slots(32)));
    assert_eq!(slots(&sheet, "quote", "nadi-b"), Some(Slots(8)));
    assert_eq!(slots(&sheet, "tariff", "suva-a"), None);
    let team = "t1".parse().unwrap();
    let quota = |domain: &str| sheet.team_quota(&team, &domain.parse().unwrap());
    assert_eq!(quota("suva-a"), Some(Slots(5)));
    assert_eq!(quota("nadi-b"), None);
    assert_eq!(sheet.team_total(&team), Some(Slots(20)));
    assert_eq!(sheet.team_total(&"t2".parse().unwrap()), None);
}

#[test]
fn any_name() {
    let text =
        "what,name,where,amount\nservice,*,a,4\nservice,quote,b,9\nteam,*,*,7\nteam,t1,*,8\n";
    let sheet = Sheet::parse(text).unwrap();
    assert_eq!(slots(&sheet, "quote", "a"), Some(Slots(4)));
    assert_eq!(slots(&sheet, "quote", "b"), Some(Slots(9)));
    assert_eq!(slots(&sheet, "quote", "c"), None);
    assert_eq!(sheet.team_total(&"t1".parse().unwrap()), Some(Slots(8)));
    assert_eq!(sheet.team_total(&"t9".parse().unwrap()), Some(Slots(7)));
}

#[test]
fn unlimited_sheet() {
    let sheet = Sheet::unlimited();
    assert_eq!(slots(&sheet, "any", "where"), Some(Slots(MAX_AMOUNT)));
    assert_eq!(sheet.team_total(&"t1".parse().unwrap()), None);
    assert_eq!(Sheet::parse(&sheet.to_csv()), Ok(sheet));
}

#[test]
fn spreadsheet_export() {
    let text = format!(
        "\u{feff}{}",
        VALID.replace('\n', "\r\n").replace("quote", "\"quote\"")
    );
    assert_eq!(Sheet::parse(&text), Sheet::parse(VALID));
}

#[test]
fn every_fault() {
    let text = b"what,name,where,amount\n\
        service,quote,suva-a,32\n\
        \n\
        machine,quote,suva-a,3\n\
        service,,su\xffva,-4\n\
        team,t 1,a\n\
        team,t1,*,many\n\
        team,t1,*,1000001\n\
        team,t1,*,5,6\n\
        service,quote,suva-a,31\n";
    let expected = vec![
        (4, Column::What, CellFault::UnknownWhat),
        (5, Column::Where, CellFault::NotUtf8),
        (5, Column::Name, CellFault::Name(IdError::Empty)),
        (5, Column::Amount, CellFault::Negative),
        (6, Column::Amount, CellFault::Missing),
        (6, Column::Name, CellFault::Name(IdError::Char { at: 1 })),
        (7, Column::Amount, CellFault::NotANumber),
        (8, Column::Amount, CellFault::TooLarge { max: MAX_AMOUNT }),
        (9, Column::Whole, CellFault::Extra { columns: 5 }),
        (10, Column::Whole, CellFault::Duplicate { first: 2 }),
    ];
    assert_eq!(faults(text), expected);
}

#[test]
fn missing_header() {
    let row_fault = |line, fault| vec![(line, Column::Whole, fault)];
    assert_eq!(faults(b"team,t1,*,5\n"), row_fault(1, CellFault::Header));
    assert_eq!(faults(b""), row_fault(1, CellFault::Empty));
    assert_eq!(
        faults(b"what,name,where,amount\n"),
        row_fault(1, CellFault::Empty)
    );
}

#[test]
fn size_bounds() {
    let mut text = String::from("what,name,where,amount\n");
    for i in 0..=MAX_ROWS {
        text.push_str(&format!("team,t{i},*,1\n"));
    }
    let max = MAX_ROWS;
    let line = MAX_ROWS as u64 + 2;
    let expected = vec![(line, Column::Whole, CellFault::TooManyRows { max })];
    assert_eq!(faults(text.as_bytes()), expected);
    let huge = vec![b'x'; sheet::MAX_BYTES + 1];
    let max = sheet::MAX_BYTES;
    let expected = vec![(1, Column::Whole, CellFault::TooManyBytes { max })];
    assert_eq!(faults(&huge), expected);
}

#[test]
fn row_diff() {
    let old = Sheet::parse(VALID).unwrap();
    let text = VALID
        .replace("t1,*,20", "t1,*,25")
        .replace("suva-a,32", "lautoka-c,2");
    let new = Sheet::parse(&text).unwrap();
    let shown: Vec<String> = old.diff(&new).rows.iter().map(|r| r.to_string()).collect();
    let expected = [
        "service,quote,suva-a: 32 -> none",
        "team,t1,*: 20 -> 25",
        "service,quote,lautoka-c: none -> 2",
    ];
    assert_eq!(shown, expected);
    assert!(old.diff(&old).is_empty());
}

proptest! {
    #[test]
    fn csv_round_trip(rows in proptest::collection::btree_map(("[a-z]{1,5}", "[a-c]"), 0..MAX_AMOUNT, 1..40)) {
        let mut text = String::from("what,name,where,amount\n");
        for ((name, place), amount) in &rows {
            text.push_str(&format!("team,{name},{place},{amount}\n"));
        }
        let sheet = Sheet::parse(&text).unwrap();
        prop_assert_eq!(sheet.to_csv(), text);
        prop_assert_eq!(Sheet::from_rows(&sheet.cells()).unwrap(), sheet);
    }

    #[test]
    fn any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        let _ = Sheet::parse_bytes(&bytes);
    }
}
