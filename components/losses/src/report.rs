//! The HTML page with tables and plots.

use std::fmt::Write;

use plotters::prelude::*;

use crate::account::Account;
use crate::cause::{Cause, find_cause};
use crate::error::ReportError;
use crate::table::{Breakdown, Losses};
use crate::time::{WallMillis, Window};

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (900, 320);

/// Number of points above which a scatter plot shows an even selection of them.
const MAX_POINTS: usize = 4_000;

/// A point of a plot.
type Point = (f64, f64);

/// Writes the page: the table of causes, and plots over time.
///
/// # Errors
///
/// Fails if a plot can't be drawn.
pub fn write_report(account: &Account, window: Window) -> Result<String, ReportError> {
    let losses = Losses::count(account, Breakdown::Queue, window);
    let mut page = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Jobs not served in time</title>\
         <style>body{font:15px sans-serif;max-width:60em;margin:2em auto}\
         td,th{padding:.2em .6em;text-align:left}svg{max-width:100%}</style></head><body>\n\
         <h1>Jobs not served in time</h1>\n",
    );
    write_table(&mut page, &losses)?;
    write_outages(&mut page, account)?;
    writeln!(page, "<h2>Losses by cause over time</h2>")?;
    page.push_str(&plot_causes(account, window)?);
    writeln!(page, "<h2>Wait until the last start</h2>")?;
    let waits = scatter(account, |_, ended| f64::from(ended.waited));
    page.push_str(&plot_points("ms", &waits, None)?);
    writeln!(
        page,
        "<h2>Run time of the last run, as a multiple of its estimate</h2>"
    )?;
    let ratios = scatter(account, |_, ended| f64::from(ended.last_ratio));
    page.push_str(&plot_points("multiple", &ratios, Some(1.0))?);
    writeln!(
        page,
        "<h2>Cores asked for by arriving jobs and free cores of all shards</h2>"
    )?;
    page.push_str(&plot_load(account, window)?);
    page.push_str("</body></html>\n");
    Ok(page)
}

fn write_table(page: &mut String, losses: &Losses) -> Result<(), ReportError> {
    let totals = &losses.totals;
    writeln!(
        page,
        "<p>{} jobs: {} in time, {} late, {} not served. {:.1}% of the losses have a cause.</p>",
        totals.jobs,
        totals.served,
        totals.late,
        totals.lost,
        100.0 * losses.explained()
    )?;
    writeln!(
        page,
        "<table><tr><th>cause<th>late<th>not served<th>example</tr>"
    )?;
    for (cause, row) in &losses.rows {
        let (id, why) = &row.example;
        let why = escape(why);
        writeln!(
            page,
            "<tr><td>{cause}<td>{}<td>{}<td>{}: {why}</tr>",
            row.late,
            row.lost,
            escape(id)
        )?;
    }
    writeln!(page, "</table>")?;
    Ok(())
}

fn write_outages(page: &mut String, account: &Account) -> Result<(), ReportError> {
    writeln!(page, "<h2>VMs that ended</h2>\n<table>")?;
    writeln!(
        page,
        "<tr><th>VM<th>last line<th>next start<th>planned</tr>"
    )?;
    for outage in account.site.outages() {
        let vm = escape(account.names.get(outage.vm));
        let until = outage.until.map(|t| t.to_string()).unwrap_or_default();
        let planned = if outage.planned { "yes" } else { "no" };
        writeln!(
            page,
            "<tr><td>{vm}<td>{}<td>{until}<td>{planned}</tr>",
            outage.from
        )?;
    }
    writeln!(page, "</table>")?;
    Ok(())
}

/// Escapes what log lines contain, as callers choose some of it.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// Returns a figure of each job's end by the time at which it was received, in seconds.
fn scatter(
    account: &Account,
    figure: impl Fn(&crate::job::Received, &crate::job::OwnerEnd) -> f64,
) -> Vec<Point> {
    let start = account.site.first.unwrap_or(WallMillis(0));
    let jobs = account.jobs.values();
    let ended = jobs.filter_map(|job| Some((job.received?, job.ended?)));
    let mut points: Vec<Point> = ended
        .map(|(received, ended)| {
            let at = received.at.since(start) as f64 / 1_000.0;
            (at, figure(&received, &ended))
        })
        .collect();
    points.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let step = points.len().div_ceil(MAX_POINTS).max(1);
    points.into_iter().step_by(step).collect()
}

/// Returns the ranges of a plot that contains the points.
fn ranges(points: &[Point]) -> (std::ops::Range<f64>, std::ops::Range<f64>) {
    let last = points.iter().map(|(x, _)| *x).fold(1.0, f64::max);
    let highest = points.iter().map(|(_, y)| *y).fold(1.0, f64::max);
    let first = points.iter().map(|(x, _)| *x).fold(last, f64::min);
    (first..last.max(first + 1.0), 0.0..highest * 1.05)
}

/// Plots lines with a legend.
fn plot_lines(unit: &str, lines: &[(&str, Vec<Point>)]) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let all: Vec<Point> = lines.iter().flat_map(|(_, line)| line.clone()).collect();
        let (x, y) = ranges(&all);
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(x, y)?;
        chart.configure_mesh().x_desc("s").y_desc(unit).draw()?;
        for (i, (name, line)) in lines.iter().enumerate() {
            let colour = Palette99::pick(i).to_rgba();
            let series = LineSeries::new(line.iter().copied(), colour.stroke_width(2));
            let drawn = chart.draw_series(series)?;
            let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour);
            drawn.label(*name).legend(legend);
        }
        let labels = chart.configure_series_labels().border_style(BLACK).draw();
        labels?;
        root.present()?;
    }
    Ok(svg)
}

/// Plots points, and a line at `level`.
fn plot_points(unit: &str, points: &[Point], level: Option<f64>) -> Result<String, ReportError> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let (x, y) = ranges(points);
        let (first, last) = (x.start, x.end);
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .x_label_area_size(35)
            .y_label_area_size(60)
            .build_cartesian_2d(x, y)?;
        chart.configure_mesh().x_desc("s").y_desc(unit).draw()?;
        let dots = points.iter().map(|p| Circle::new(*p, 1, BLUE.filled()));
        chart.draw_series(dots)?;
        if let Some(level) = level {
            chart.draw_series(LineSeries::new([(first, level), (last, level)], RED))?;
        }
        root.present()?;
    }
    Ok(svg)
}

/// Plots the number of losses of each cause by the time at which the jobs came.
fn plot_causes(account: &Account, window: Window) -> Result<String, ReportError> {
    let start = account.site.first.unwrap_or(WallMillis(0));
    let mut counts = std::collections::BTreeMap::<(Cause, u64), u64>::new();
    for job in account.jobs.values() {
        let finding = find_cause(account, job);
        if let (Some((cause, _)), Some(received)) = (finding.cause(), job.received) {
            *counts
                .entry((cause, window.of(received.at, start)))
                .or_default() += 1;
        }
    }
    let last = account.site.last.since(start);
    let mut lines = Vec::new();
    for cause in Cause::ALL {
        if !counts.keys().any(|(c, _)| *c == cause) {
            continue;
        }
        let times = (0..=last).step_by(window.0.max(1) as usize);
        let count = |at: u64| counts.get(&(cause, at)).copied().unwrap_or(0) as f64;
        let line = times.map(|at| (at as f64 / 1_000.0, count(at)));
        lines.push((cause.name(), line.collect()));
    }
    plot_lines("jobs", &lines)
}

/// Plots the work that arrives and the free cores over time.
fn plot_load(account: &Account, window: Window) -> Result<String, ReportError> {
    let start = account.site.first.unwrap_or(WallMillis(0));
    let last = account.site.last.since(start);
    let mut asked = std::collections::BTreeMap::<u64, f64>::new();
    for received in account.jobs.values().filter_map(|j| j.received) {
        *asked.entry(window.of(received.at, start)).or_default() += f64::from(received.cores);
    }
    let seconds = window.0.max(1) as f64 / 1_000.0;
    let times = || (0..=last).step_by(window.0.max(1) as usize);
    let arriving = times().map(|at| {
        let cores = asked.get(&at).copied().unwrap_or(0.0) / seconds;
        (at as f64 / 1_000.0, cores)
    });
    let free = times().map(|at| {
        let cores = account.site.room_at(WallMillis(start.0 + at));
        (at as f64 / 1_000.0, cores)
    });
    let lines = [
        ("cores asked for a second", arriving.collect()),
        ("free cores that tasks could use", free.collect()),
    ];
    plot_lines("cores", &lines)
}
