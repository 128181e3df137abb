//! Plots of goodput and wasted prefill by load, as SVG.

use std::{fs, path::Path};

use plotters::prelude::*;

use crate::{
    error::Error,
    matrix::{Plan, Results},
    policy::Policy,
    summary::Summary,
    table,
};

/// A function that returns a figure of one run.
type Figure = fn(&Summary) -> f64;

const SIZE: (u32, u32) = (720, 420);

/// Writes the plots of a comparison into a directory.
///
/// # Errors
///
/// Returns an error if a file can't be written.
pub fn write(dir: &Path, plan: &Plan, results: &Results) -> Result<(), Error> {
    let name = plan.deployment.name;
    fs::create_dir_all(dir)
        .map_err(|error| Error::Plot { path: dir.into(), reason: error.to_string() })?;
    let plots: [(&str, &str, Figure); 2] = [
        ("goodput", "goodput (part of offered calls)", |run| run.total_goodput),
        ("wasted", "wasted prefill (part of prompt tokens)", |run| run.wasted_prefill),
    ];
    for (file, label, figure) in plots {
        let path = dir.join(format!("{name}-{file}.svg"));
        draw(&path, &format!("{name}: {label}"), plan, results, figure)
            .map_err(|error| Error::Plot { path, reason: error.to_string() })?;
    }
    Ok(())
}

fn points(plan: &Plan, results: &Results, policy: Policy, figure: Figure) -> Vec<(f64, f64)> {
    let steady = plan.scenarios.iter().enumerate().filter(|(_, s)| s.name.starts_with("steady"));
    steady
        .filter_map(|(index, scenario)| {
            let runs = results.get(&(index, policy))?;
            Some((scenario.load, table::median(runs.iter().map(figure).collect())))
        })
        .collect()
}

fn draw(
    path: &Path,
    title: &str,
    plan: &Plan,
    results: &Results,
    figure: Figure,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(44)
        .build_cartesian_2d(0.4..2.1, 0.0..1.02)?;
    chart.configure_mesh().x_desc("load relative to capacity").draw()?;
    for (index, &policy) in plan.policies.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                points(plan, results, policy, figure),
                colour.stroke_width(2),
            ))?
            .label(policy.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
