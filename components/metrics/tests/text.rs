//! The text page of metrics.

use std::time::Duration;

use metrics::{Count, Gauge, Metrics, TextPage, Timing};

#[test]
fn whole_page() {
    let table = Metrics::new();
    table.add(Count::JobComplete, 3);
    table.set(Gauge::ShardsOwned, 2);
    for ms in [10, 20, 30] {
        table.time(Timing::Response, Duration::from_millis(ms));
    }
    let page = TextPage::new(table).unwrap();
    let text = page.render();
    assert!(
        text.contains("\npomelopost_jobs_complete_total 3\n"),
        "{text}"
    );
    assert!(text.contains("\npomelopost_shards_owned 2\n"));
    assert!(text.contains("pomelopost_jobs_response_seconds_count 3"));
    // Timings accumulate over all renderings.
    assert!(
        page.render()
            .contains("pomelopost_jobs_response_seconds_count 3")
    );
}
