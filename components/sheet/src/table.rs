//! The sheet: amounts of slots per service, team and failure domain.

use std::collections::BTreeMap;

use kernel::{Domain, Place, Service, Slots, Team, key_hash};
use serde::{Deserialize, Serialize};

use crate::diff::Diff;
use crate::fault::{RowFault, RowFaults};
use crate::parse::{HEADER, Rows, parse_file};
use crate::row::{Cells, MAX_AMOUNT, Row, RowKey, Subject};

/// Name that stands for all services or teams without a row of their own.
const ANY_NAME: &str = "*";

/// The sheet, which sets how many slots each service and team may use in each
/// failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(try_from = "Vec<Cells>", into = "Vec<Cells>")]
pub struct Sheet {
    /// Amount of each row.
    rows: BTreeMap<RowKey, Slots>,
    /// Amounts by service, for lookups without a [`RowKey`].
    services: BTreeMap<Service, Amounts>,
    /// Amounts by team.
    teams: BTreeMap<Team, Amounts>,
    /// Amounts for services without rows of their own.
    any_service: Amounts,
    /// Amounts for teams without rows of their own.
    any_team: Amounts,
}

/// The amounts of one service or team.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Amounts {
    /// Amount of the row that applies everywhere.
    everywhere: Option<Slots>,
    /// Amounts of the rows that apply in one failure domain.
    domains: BTreeMap<Domain, Slots>,
}

impl Amounts {
    fn insert(&mut self, place: &Place, amount: Slots) {
        match place {
            Place::Everywhere => self.everywhere = Some(amount),
            Place::In(domain) => {
                self.domains.insert(domain.clone(), amount);
            }
        }
    }

    fn in_domain(&self, domain: &Domain) -> Option<Slots> {
        self.domains.get(domain).copied()
    }
}

impl Sheet {
    /// Parses the planners' CSV.
    ///
    /// # Errors
    ///
    /// Lists every fault by line and column. The list is bounded by
    /// [`MAX_ROWS`](crate::MAX_ROWS) times the columns.
    pub fn parse(text: &str) -> Result<Sheet, Vec<RowFault>> {
        Sheet::parse_bytes(text.as_bytes())
    }

    /// Parses the planners' CSV, which need not be valid UTF-8.
    ///
    /// # Errors
    ///
    /// Lists every fault like [`Sheet::parse`].
    pub fn parse_bytes(bytes: &[u8]) -> Result<Sheet, Vec<RowFault>> {
        parse_file(bytes).map(Sheet::from_map)
    }

    /// Builds a sheet from rows of cells without the header. Faults count the
    /// first row as line 2, as in the CSV.
    ///
    /// # Errors
    ///
    /// Lists every fault like [`Sheet::parse`], but accepts a sheet without rows.
    pub fn from_rows(cells: &[Cells]) -> Result<Sheet, Vec<RowFault>> {
        let mut rows = Rows::default();
        for (index, row) in cells.iter().enumerate() {
            let line = index as u64 + 2;
            if rows.reject_extra(line) {
                break;
            }
            let bytes = row.each_ref().map(|c| c.as_bytes());
            rows.add(line, &bytes);
        }
        rows.finish().map(Sheet::from_map)
    }

    /// Builds a sheet that gives every service [`MAX_AMOUNT`] slots in each
    /// failure domain and sets no team quotas.
    pub fn unlimited() -> Sheet {
        let any: Result<Service, _> = ANY_NAME.parse();
        let rows = any.map(|service| {
            let key = RowKey {
                subject: Subject::Service(service),
                place: Place::Everywhere,
            };
            (key, Slots(MAX_AMOUNT))
        });
        Sheet::from_map(rows.into_iter().collect())
    }

    /// Returns the CSV with sorted rows, so that equal sheets give equal texts.
    pub fn to_csv(&self) -> String {
        let mut text = HEADER.join(",");
        text.push('\n');
        for cells in self.cells() {
            text.push_str(&cells.join(","));
            text.push('\n');
        }
        text
    }

    /// Returns the rows, sorted by key.
    pub fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        self.rows.iter().map(|(key, amount)| Row {
            key: key.clone(),
            amount: *amount,
        })
    }

    /// Returns the cells of all rows, sorted by key.
    pub fn cells(&self) -> Vec<Cells> {
        self.rows().map(|row| row.cells()).collect()
    }

    /// Returns the number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether the sheet has no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the amount of one row.
    pub fn amount(&self, key: &RowKey) -> Option<Slots> {
        self.rows.get(key).copied()
    }

    /// Returns a hash of the CSV, which is the same for equal sheets on all VMs.
    pub fn digest(&self) -> u128 {
        key_hash(self.to_csv().as_bytes())
    }

    /// Returns how many slots a service may use in a failure domain; `None`
    /// when the sheet gives it nothing there. The most specific row applies, in
    /// this order: the service in the domain, the service everywhere, any service
    /// in the domain, any service everywhere.
    pub fn service_slots(&self, service: &Service, domain: &Domain) -> Option<Slots> {
        let own = self.services.get(service);
        let pick = |a: &Amounts| a.in_domain(domain).or(a.everywhere);
        own.and_then(pick).or_else(|| pick(&self.any_service))
    }

    /// Returns how many slots a team may hold at once in one failure domain;
    /// `None` when there is no limit.
    pub fn team_quota(&self, team: &Team, domain: &Domain) -> Option<Slots> {
        let own = self.teams.get(team).and_then(|a| a.in_domain(domain));
        own.or_else(|| self.any_team.in_domain(domain))
    }

    /// Returns how many slots a team may hold at once in all failure domains
    /// together; `None` when there is no limit.
    pub fn team_total(&self, team: &Team) -> Option<Slots> {
        let own = self.teams.get(team).and_then(|a| a.everywhere);
        own.or(self.any_team.everywhere)
    }

    /// Returns the rows in which `other` differs from this sheet.
    pub fn diff(&self, other: &Sheet) -> Diff {
        Diff::between(self, other)
    }

    /// Builds a sheet from its rows and indexes them by service and team.
    pub(crate) fn from_map(rows: BTreeMap<RowKey, Slots>) -> Sheet {
        let mut sheet = Sheet::default();
        for (key, amount) in &rows {
            let amounts = match &key.subject {
                subject if subject.name() == ANY_NAME => sheet.any_amounts(subject),
                Subject::Service(s) => sheet.services.entry(s.clone()).or_default(),
                Subject::Team(t) => sheet.teams.entry(t.clone()).or_default(),
            };
            amounts.insert(&key.place, *amount);
        }
        sheet.rows = rows;
        sheet
    }

    fn any_amounts(&mut self, subject: &Subject) -> &mut Amounts {
        match subject {
            Subject::Service(_) => &mut self.any_service,
            Subject::Team(_) => &mut self.any_team,
        }
    }

    pub(crate) fn row_map(&self) -> &BTreeMap<RowKey, Slots> {
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
