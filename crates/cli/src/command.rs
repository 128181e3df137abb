//! Runs a subcommand and returns its report.

use std::collections::BTreeSet;

use platform::findings::Severity;
use serde_json::{Value, json};
use wire::status;

use crate::{
    attempts, checked, clock, configuration, disagreements, error, fetch, help, hosts, latency,
    logs, options, output, poison, revisions, settings, stragglers, trace, watch,
};

/// Runs the subcommand, or prints the help or version, as the options say.
///
/// # Errors
///
/// Returns an error if there is nothing to report. If there is a report, the error is in
/// [`output::Report::error`].
pub async fn run(
    options: &options::Options,
    source: &dyn fetch::Source,
    clock: &dyn clock::Clock,
) -> Result<output::Report, error::Error> {
    if options.help {
        return Ok(text_report(help::text(options.subcommand)));
    }
    let Some(subcommand) = options.subcommand.filter(|_| !options.version) else {
        return Ok(text_report(format!("quincespoke {}\n", env!("CARGO_PKG_VERSION"))));
    };
    Ok(match subcommand {
        options::Subcommand::Check => check(options)?,
        options::Subcommand::Hosts => hosts(options, source).await,
        options::Subcommand::Revisions => revisions(options, source).await,
        options::Subcommand::Explain if !options.logs.is_empty() => explain_saved(options)?,
        options::Subcommand::Explain => explain(options, source).await,
        options::Subcommand::Stragglers => stragglers(options, source).await,
        options::Subcommand::Quarantine => quarantine(options, source).await,
        options::Subcommand::Histograms => histograms(options, source).await,
        options::Subcommand::WatchDrain => {
            let mut condition =
                watch::Drain { host: &options.host, seen_addresses: BTreeSet::new() };
            watch::run(options, source, clock, &mut condition).await
        }
        options::Subcommand::WatchRevision => {
            let mut condition =
                watch::Revision { branch: &options.branch, revision: options.revision };
            watch::run(options, source, clock, &mut condition).await
        }
    })
}

fn text_report(text: String) -> output::Report {
    output::Report { text, json: Value::Null, error: None }
}

fn check(options: &options::Options) -> Result<output::Report, error::Error> {
    let against = options.against.as_deref();
    let checked = if options.process {
        settings::check_processes(&options.paths)?
    } else if options.platform {
        configuration::check(&options.paths, against)?
    } else {
        settings::check_trees(&options.paths, against)?
    };
    let errors = checked.count(Severity::Error);
    let error = (errors > 0).then_some(error::Error::Invalid { errors, files: checked.files });
    Ok(output::Report { text: checked::text(&checked), json: checked::json(&checked), error })
}

async fn fetch_statuses(
    options: &options::Options,
    source: &dyn fetch::Source,
) -> (Vec<status::Status>, Option<error::Error>) {
    fetch::fetch_statuses(source, &options.at).await.into_values()
}

async fn hosts(options: &options::Options, source: &dyn fetch::Source) -> output::Report {
    let (statuses, error) = fetch_statuses(options, source).await;
    let rows = hosts::rows(&statuses);
    let revisions = disagreements::revisions(&statuses);
    let leaving = disagreements::leaving(&statuses);
    let text = hosts::text(&rows, &revisions, &leaving);
    let json = json!({
        "processes": rows,
        "disagreements": {"revisions": revisions, "leaving": leaving},
    });
    output::Report::with_unreachable(text, json, error)
}

async fn revisions(options: &options::Options, source: &dyn fetch::Source) -> output::Report {
    let (statuses, error) = fetch_statuses(options, source).await;
    let rows = revisions::rows(&statuses);
    output::Report::with_unreachable(revisions::text(&rows), json!({"revisions": rows}), error)
}

async fn stragglers(options: &options::Options, source: &dyn fetch::Source) -> output::Report {
    let (statuses, error) = fetch_statuses(options, source).await;
    let stragglers = stragglers::find(&statuses, options.slow_factor);
    output::Report::with_unreachable(
        stragglers::text(&stragglers),
        json!({"stragglers": stragglers}),
        error,
    )
}

async fn quarantine(options: &options::Options, source: &dyn fetch::Source) -> output::Report {
    let (statuses, error) = fetch_statuses(options, source).await;
    let merged = poison::merge(&statuses);
    output::Report::with_unreachable(poison::text(&merged), json!({"fingerprints": merged}), error)
}

async fn histograms(options: &options::Options, source: &dyn fetch::Source) -> output::Report {
    let responses =
        fetch::fetch_all::<Vec<status::Histogram>>(source, &options.at, "/histograms").await;
    let (histograms, error) = responses.into_values();
    let rows = latency::merge(histograms, options.account.as_deref(), options.tier.as_deref());
    output::Report::with_unreachable(latency::text(&rows), json!({"histograms": rows}), error)
}

fn explain_saved(options: &options::Options) -> Result<output::Report, error::Error> {
    let mut logs = logs::Logs::default();
    for path in &options.logs {
        logs.read(path)?;
    }
    let lines = logs.request_lines(&options.id);
    let error = lines.is_empty().then(|| error::Error::NotLogged {
        request: options.id.clone(),
        lines: logs.lines.len(),
        skipped: logs.skipped,
    });
    let mut text = if lines.is_empty() { String::new() } else { logs::text(&lines, logs.skipped) };
    let mut json = logs::json(&options.id, &lines, logs.skipped);
    let attempts = attempts::find(&lines);
    if !attempts.is_empty() {
        text = format!("{}\n{text}", attempts::text(&attempts));
        json["attempts"] = attempts::json(&attempts);
    }
    Ok(output::Report { text, json, error })
}

async fn explain(options: &options::Options, source: &dyn fetch::Source) -> output::Report {
    let request = options.request.map(|request| request.to_string()).unwrap_or_default();
    let path = format!("/requests/{request}");
    let mut responses = fetch::fetch_all::<Vec<status::Trace>>(source, &options.at, &path).await;
    let queried = responses.queried();
    // Processes that did not handle the request, or no longer have its trace, are no failures.
    responses.failures.retain(|failure| failure.cause != fetch::Cause::Status(fetch::NOT_FOUND));
    let failures = responses.failures;
    let traces = responses.received.into_iter().map(|response| response.value).collect();
    let merged = trace::merge(traces);
    let error = if !failures.is_empty() {
        Some(error::Error::Unreachable { queried, failures })
    } else if merged.is_empty() {
        Some(error::Error::NoTrace { request: request.clone() })
    } else {
        None
    };
    let text = if merged.is_empty() { String::new() } else { trace::text(&merged) };
    output::Report::with_unreachable(text, json!({"request": request, "trace": merged}), error)
}
