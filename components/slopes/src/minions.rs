//! Costs of the table of minions and of the platform's list.

use std::hint::black_box;

use kernel::{Cores, Timestamp};
use logstore::MachineList;
use routing::{Balanced, Fleet, RoutingConfig};

use crate::SlopeError;
use crate::figure::{Figure, Series};
use crate::fixtures;
use crate::usage::{memory, micros};

/// Number of failure domains.
const DOMAINS: usize = 5;

/// Number of tables over which the memory of one is averaged.
const COPIES: usize = 20;

/// Measures the table and the list against the number of minions.
pub(crate) fn measure() -> Result<Vec<Figure>, SlopeError> {
    let mut series = Series::new("minions in 5 domains");
    for count in [50, 200, 400, 830] {
        let infos = fixtures::minion_infos(count, DOMAINS);
        let new_fleet = || {
            let home = fixtures::domain(0);
            let fleet = Fleet::new(home, RoutingConfig::default(), Balanced);
            fleet.update(&infos);
            fleet
        };
        let (bytes, fleets) = memory(|| (0..COPIES).map(|_| new_fleet()).collect::<Vec<_>>());
        let fleet = &fleets[0];
        let now = Timestamp(1_000_000);
        let service = fixtures::service();
        let acquire = || drop(black_box(fleet.acquire(&service, Cores(1), &[], now)));
        let listing = MachineList {
            vms: Vec::new(),
            minions: fixtures::minion_rows(count, DOMAINS),
        };
        let text = serde_json::to_vec(&listing).unwrap_or_default();
        let parse = || {
            let _ = black_box(serde_json::from_slice::<MachineList>(&text));
        };
        series.add(
            count,
            &[
                ("table of minions, memory", "B", bytes / COPIES as f64),
                (
                    "table of minions, change",
                    "us",
                    micros(20, || fleet.update(&infos)),
                ),
                ("take and free a slot", "us", micros(20_000, acquire)),
                (
                    "digest of loads",
                    "us",
                    micros(200, || drop(black_box(fleet.digest(now)))),
                ),
                ("platform's list", "B", text.len() as f64),
                ("platform's list, reading it", "us", micros(20, parse)),
            ],
        );
    }
    Ok(series.finish())
}
