//! The sheet itself.

use std::collections::BTreeMap;

use kernel::{Domain, Place, Service, Slots, Team, key_hash};
use serde::{Deserialize, Serialize};

use crate::diff::Diff;
use crate::fault::{RowFault, RowFaults};
use crate::parse::{HEADER, Rows, read_file};
use crate::row::{Cells, MAX_AMOUNT, Row, RowKey, Subject};

/// The name that stands for all that have no row of their own.
const ANY_NAME: &str = "*";

/// What runs where and how much.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(try_from = "Vec<Cells>", into = "Vec<Cells>")]
pub struct Sheet {
    /// The amount of each row.
    rows: BTreeMap<RowKey, Slots>,
    /// The services' amounts, for look-ups that clone nothing.
    services: BTreeMap<Service, Amounts>,
    /// The teams' amounts, likewise.
    teams: BTreeMap<Team, Amounts>,
    /// What holds for services without rows of their own.
    any_service: Amounts,
    /// What holds for teams without rows of their own.
    any_team: Amounts,
}

/// The amounts of one service or team.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Amounts {
    /// The amount of the row that holds everywhere.
    everywhere: Option<Slots>,
    /// The amounts of the rows that hold in one failure domain.
    domains: BTreeMap<Domain, Slots>,
}

impl Amounts {
    fn put(&mut self, place: &Place, amount: Slots) {
        match place {
            Place::Everywhere => self.everywhere = Some(amount),
            Place::In(domain) => {
                self.domains.insert(domain.clone(), amount);
            }
        }
    }

    fn within(&self, domain: &Domain) -> Option<Slots> {
        self.domains.get(domain).copied()
    }
}

impl Sheet {
    /// Reads the planners' CSV.
    ///
    /// # Errors
    ///
    /// Lists every fault by line and column. The list is bounded by
    /// [`MAX_ROWS`](crate::MAX_ROWS) times the columns.
    pub fn parse(text: &str) -> Result<Sheet, Vec<RowFault>> {
        Sheet::parse_bytes(text.as_bytes())
    }

    /// Reads the planners' CSV, which may not even be UTF-8.
    ///
    /// # Errors
    ///
    /// Like [`Sheet::parse`].
    pub fn parse_bytes(bytes: &[u8]) -> Result<Sheet, Vec<RowFault>> {
        read_file(bytes).map(Sheet::index)
    }

    /// Builds a sheet from rows of cells without the header. In faults, the
    /// first row counts as line 2, as it would in the CSV.
    ///
    /// # Errors
    ///
    /// Like [`Sheet::parse`]; a sheet of no rows is allowed here.
    pub fn from_rows(cells: &[Cells]) -> Result<Sheet, Vec<RowFault>> {
        let mut rows = Rows::default();
        for (at, row) in cells.iter().enumerate() {
            let line = at as u64 + 2;
            if rows.is_full(line) {
                break;
            }
            let bytes = row.each_ref().map(|c| c.as_bytes());
            rows.add(line, &bytes);
        }
        rows.finish().map(Sheet::index)
    }

    /// Builds the sheet that gives every service all slots everywhere and no
    /// team a quota.
    pub fn open() -> Sheet {
        let any: Result<Service, _> = ANY_NAME.parse();
        let rows = any.map(|service| {
            let key = RowKey {
                subject: Subject::Service(service),
                place: Place::Everywhere,
            };
            (key, Slots(MAX_AMOUNT))
        });
        Sheet::index(rows.into_iter().collect())
    }

    /// Writes the CSV, rows in order, so that equal sheets give equal texts.
    pub fn to_csv(&self) -> String {
        let mut text = HEADER.join(",");
        text.push('\n');
        for cells in self.cells() {
            text.push_str(&cells.join(","));
            text.push('\n');
        }
        text
    }

    /// Returns the rows in order.
    pub fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        self.rows.iter().map(|(key, amount)| Row {
            key: key.clone(),
            amount: *amount,
        })
    }

    /// Returns the rows' cells in order.
    pub fn cells(&self) -> Vec<Cells> {
        self.rows().map(|row| row.cells()).collect()
    }

    /// Returns how many rows there are.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Tells whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the amount of one row.
    pub fn amount(&self, key: &RowKey) -> Option<Slots> {
        self.rows.get(key).copied()
    }

    /// Returns a hash that equal sheets share on every VM.
    pub fn digest(&self) -> u128 {
        key_hash(self.to_csv().as_bytes())
    }

    /// Returns how many slots a service may use in a failure domain; `None`
    /// when the sheet gives it nothing there. The most special row decides: the
    /// service there, the service everywhere, any service there, any service.
    pub fn service_slots(&self, service: &Service, domain: &Domain) -> Option<Slots> {
        let own = self.services.get(service);
        let pick = |a: &Amounts| a.within(domain).or(a.everywhere);
        own.and_then(pick).or_else(|| pick(&self.any_service))
    }

    /// Returns how many slots a team may hold at once in one failure domain;
    /// `None` when nothing bounds it there.
    pub fn team_quota(&self, team: &Team, domain: &Domain) -> Option<Slots> {
        let own = self.teams.get(team).and_then(|a| a.within(domain));
        own.or_else(|| self.any_team.within(domain))
    }

    /// Returns how many slots a team may hold at once everywhere together;
    /// `None` when nothing bounds it.
    pub fn team_total(&self, team: &Team) -> Option<Slots> {
        let own = self.teams.get(team).and_then(|a| a.everywhere);
        own.or(self.any_team.everywhere)
    }

    /// Lists the rows in which `other` differs from this sheet.
    pub fn diff(&self, other: &Sheet) -> Diff {
        Diff::between(self, other)
    }

    pub(crate) fn index(rows: BTreeMap<RowKey, Slots>) -> Sheet {
        let mut sheet = Sheet::default();
        for (key, amount) in &rows {
            let amounts = match &key.subject {
                subject if subject.name() == ANY_NAME => sheet.any(subject),
                Subject::Service(s) => sheet.services.entry(s.clone()).or_default(),
                Subject::Team(t) => sheet.teams.entry(t.clone()).or_default(),
            };
            amounts.put(&key.place, *amount);
        }
        sheet.rows = rows;
        sheet
    }

    fn any(&mut self, subject: &Subject) -> &mut Amounts {
        match subject {
            Subject::Service(_) => &mut self.any_service,
            Subject::Team(_) => &mut self.any_team,
        }
    }

    pub(crate) fn table(&self) -> &BTreeMap<RowKey, Slots> {
        &self.rows
    }
}

impl TryFrom<Vec<Cells>> for Sheet {
    type Error = RowFaults;

    fn try_from(cells: Vec<Cells>) -> Result<Sheet, RowFaults> {
        Sheet::from_rows(&cells).map_err(RowFaults)
    }
}

impl From<Sheet> for Vec<Cells> {
    fn from(sheet: Sheet) -> Vec<Cells> {
        sheet.cells()
    }
}
