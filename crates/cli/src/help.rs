//! Help texts.

use crate::options;

const GENERAL: &str = "\
quincespoke - shows operators what a fleet of quincespoked processes does

Usage: quincespoke SUBCOMMAND [OPTIONS]

Subcommands:
  check           check settings before they are published
  hosts           list processes, and where their views differ
  revisions       list settings revisions in force, and refused ones
  explain         show what was decided about one request, where and why
  stragglers      list hosts that are ejected or slow
  quarantine      list requests that crashed engines
  histograms      show latencies by account and tier
  watch-drain     wait until a drained host has finished its work
  watch-revision  wait until a settings revision is in force everywhere

Options:
  -h, --help      show this help, or that of a subcommand
  -V, --version   show the version

The tool only reads: it changes nothing in any process.
";

const QUERY_OPTIONS: &str = "\
\x20 --at HOST:PORT     operator address of a process; may be repeated
  --at-file FILE     file of operator addresses, one on each line, # starts a comment
  --timeout-ms N     time to wait for each process (default 2000)
  --json             print JSON
  -h, --help         show this help
";

const WATCH_OPTIONS: &str = "\
\x20 --within SECONDS   give up after this time (default: never)
  --interval-ms N    time between two polls (default 500)
";

const CHECK_OPTIONS: &str = "\
\x20 --process          the paths are process settings files
  --platform         the paths are files with the platform's configuration, as JSON
  --against PATH     the version in force; print what changes for callers
  --json             print JSON
  -h, --help         show this help
";

const HISTOGRAM_OPTIONS: &str = "\
\x20 --account A        show this client account only
  --tier T           show this tier only
";

const EXPLAIN_OPTIONS: &str = "\
\x20 --log FILE         read this saved log, - for standard input; may be repeated
";

const STRAGGLER_OPTIONS: &str = "\
\x20 --slow-factor N    list hosts slower than N times the median of their pool (default 3)
";

const EXIT_CODES: &str = "
Exit codes:
  0  success
  1  a check failed, a watched condition was not met in time, or nothing was found
  2  the command line is wrong
  3  a process could not be reached
  4  a file or the standard output could not be used
";

/// Help of one subcommand.
struct Page {
    usage: &'static str,
    about: &'static str,
    options: &'static str,
    examples: &'static str,
}

/// Returns the help of a subcommand, or the general help.
pub fn text(subcommand: Option<options::Subcommand>) -> String {
    let Some(subcommand) = subcommand else {
        return format!("{GENERAL}{EXIT_CODES}");
    };
    let Page { usage, about, options, examples } = page(subcommand);
    let common = if subcommand == options::Subcommand::Check { "" } else { QUERY_OPTIONS };
    format!(
        "Usage: quincespoke {usage}\n\n{about}\nOptions:\n{options}{common}{EXIT_CODES}\n\
         Examples:\n{examples}"
    )
}

fn page(subcommand: options::Subcommand) -> Page {
    match subcommand {
        options::Subcommand::Check => check(),
        options::Subcommand::Hosts => hosts(),
        options::Subcommand::Revisions => revisions(),
        options::Subcommand::Explain => explain(),
        options::Subcommand::Stragglers => stragglers(),
        options::Subcommand::Quarantine => quarantine(),
        options::Subcommand::Histograms => histograms(),
        options::Subcommand::WatchDrain => watch_drain(),
        options::Subcommand::WatchRevision => watch_revision(),
    }
}

fn check() -> Page {
    Page {
        usage: "check [--process | --platform] [--against PATH] [--json] PATH...",
        about: "\
Checks settings by the rules that the processes apply, and prints every error and warning.
Nothing is sent. A PATH is the directory of a settings tree: each *.ini file in it is a
branch, named by its path in the tree without the extension. Of a branch with errors, only
the names of its sections take part in the checks of the others; warnings and changes are
printed once all branches can be read. Warnings leave the exit code at 0.
",
        options: CHECK_OPTIONS,
        examples: "\
\x20 quincespoke check settings/
  quincespoke check --process /etc/quincespoke/entry.ini
\x20 quincespoke check --platform --against in-force.json new.json
",
    }
}

fn hosts() -> Page {
    Page {
        usage: "hosts [OPTIONS]",
        about: "\
Lists each process, and the disagreements between them: branches with different revisions
in force, and hosts that only some processes report as leaving. Requests held without a
grant are listed as TIER:COUNT; tier 0 is the highest. Processes with equal digests have
equal revisions in force.
",
        options: "",
        examples: "\
\x20 quincespoke hosts --at 10.0.0.1:9300 --at 10.0.0.2:9300
\x20 quincespoke hosts --at-file fleet.txt --json
",
    }
}

fn revisions() -> Page {
    Page {
        usage: "revisions [OPTIONS]",
        about: "\
Lists the revision in force of each branch at each process, and the last revision that the
process refused, with the reason.
",
        options: "",
        examples: "\
\x20 quincespoke revisions --at-file fleet.txt
",
    }
}

fn explain() -> Page {
    Page {
        usage: "explain [OPTIONS] ID",
        about: "\
Shows what was decided about a request, at each host in order of time. ID is the value of
the x-request-id header of its response. Times of different hosts have different origins.

With --log the lines of the request are read from saved logs. For each process, the last
earlier lines about its start, configuration, settings, store connection and dropped log
lines come first. Lines that are no log lines are skipped and counted.
",
        options: EXPLAIN_OPTIONS,
        examples: "\
\x20 quincespoke explain --at-file fleet.txt 00000000000000a1-2f
  quincespoke explain --log front-1.log --log front-2.log 9c41d07be2a35f68
  collect-logs | quincespoke explain --log - 9c41d07be2a35f68
",
    }
}

fn stragglers() -> Page {
    Page {
        usage: "stragglers [OPTIONS]",
        about: "\
Lists hosts that an entry keeps out of placement, or measures as far slower than their
pool.
",
        options: STRAGGLER_OPTIONS,
        examples: "\
\x20 quincespoke stragglers --at-file entries.txt
\x20 quincespoke stragglers --at-file entries.txt --slow-factor 1.5
",
    }
}

fn quarantine() -> Page {
    Page {
        usage: "quarantine [OPTIONS]",
        about: "\
Lists the fingerprints of requests that crashed engines, with the largest count of crashes
and the longest remaining time that a process reports.
",
        options: "",
        examples: "\
\x20 quincespoke quarantine --at-file agents.txt
",
    }
}

fn histograms() -> Page {
    Page {
        usage: "histograms [OPTIONS]",
        about: "\
Shows latencies in milliseconds by account and tier. Counts are summed over processes. A
percentile is the largest one of any process, an upper bound for all of them together.
",
        options: HISTOGRAM_OPTIONS,
        examples: "\
\x20 quincespoke histograms --at-file entries.txt --tier urgent
\x20 quincespoke histograms --at 10.0.0.1:9300 --account shop --json
",
    }
}

fn watch_drain() -> Page {
    Page {
        usage: "watch-drain [OPTIONS] HOST",
        about: "\
Waits until HOST reports that it is leaving and has nothing queued or running. It must be
reachable at one of the addresses.
",
        options: WATCH_OPTIONS,
        examples: "\
\x20 quincespoke watch-drain --at 10.0.0.7:9300 --within 600 floor-3
",
    }
}

fn watch_revision() -> Page {
    Page {
        usage: "watch-revision [OPTIONS] BRANCH REVISION",
        about: "\
Waits until every process has at least REVISION of BRANCH in force. A process that does not
answer counts as one that has not.
",
        options: WATCH_OPTIONS,
        examples: "\
\x20 quincespoke watch-revision --at-file fleet.txt --within 10 accounts 4711
",
    }
}
