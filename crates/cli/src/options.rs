//! Parses the command line into one struct.

use std::{ffi::OsString, fmt, path::PathBuf, str, time::Duration};

use lexopt::ValueExt;
use wire::id;

use crate::{addresses, error};

const DEFAULT_TIMEOUT_MS: u64 = 2000;
const DEFAULT_INTERVAL_MS: u64 = 500;
const DEFAULT_SLOW_FACTOR: f64 = 3.0;

/// Subcommand to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subcommand {
    Check,
    Hosts,
    Revisions,
    Explain,
    Stragglers,
    Quarantine,
    Histograms,
    WatchDrain,
    WatchRevision,
}

impl Subcommand {
    /// All subcommands, in the order in which the help lists them.
    pub const ALL: [Subcommand; 9] = [
        Subcommand::Check,
        Subcommand::Hosts,
        Subcommand::Revisions,
        Subcommand::Explain,
        Subcommand::Stragglers,
        Subcommand::Quarantine,
        Subcommand::Histograms,
        Subcommand::WatchDrain,
        Subcommand::WatchRevision,
    ];

    /// Returns the name used on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Subcommand::Check => "check",
            Subcommand::Hosts => "hosts",
            Subcommand::Revisions => "revisions",
            Subcommand::Explain => "explain",
            Subcommand::Stragglers => "stragglers",
            Subcommand::Quarantine => "quarantine",
            Subcommand::Histograms => "histograms",
            Subcommand::WatchDrain => "watch-drain",
            Subcommand::WatchRevision => "watch-revision",
        }
    }

    /// Returns the names of the operands; the PATH of `check` may be repeated.
    fn operands(self) -> &'static [&'static str] {
        match self {
            Subcommand::Check => &["PATH"],
            Subcommand::Explain => &["ID"],
            Subcommand::WatchDrain => &["HOST"],
            Subcommand::WatchRevision => &["BRANCH", "REVISION"],
            _ => &[],
        }
    }

    /// Returns whether the subcommand takes a long option.
    fn allows(self, option: &str) -> bool {
        match option {
            "json" => true,
            "process" | "platform" | "against" => self == Subcommand::Check,
            "at" | "at-file" | "timeout-ms" => self != Subcommand::Check,
            "account" | "tier" => self == Subcommand::Histograms,
            "log" => self == Subcommand::Explain,
            "slow-factor" => self == Subcommand::Stragglers,
            "within" | "interval-ms" => {
                matches!(self, Subcommand::WatchDrain | Subcommand::WatchRevision)
            }
            _ => false,
        }
    }
}

/// Parsed command line. Fields that a subcommand does not use have their defaults.
#[derive(Clone, Debug)]
pub struct Options {
    /// Subcommand to run; none to print the general help or the version.
    pub subcommand: Option<Subcommand>,
    /// `--help`: print the help of the subcommand, or the general help.
    pub help: bool,
    /// `--version`: print the version of the tool.
    pub version: bool,
    /// `--json`: print JSON instead of text tables.
    pub json: bool,
    /// `--at HOST:PORT` and the lines of `--at-file FILE`: operator addresses of the
    /// processes to query, without duplicates.
    pub at: Vec<String>,
    /// `--timeout-ms N`: time to wait for the response of each process.
    pub timeout: Duration,
    /// `check PATH...`: settings trees, or files with `--process` or `--platform`.
    pub paths: Vec<PathBuf>,
    /// `check --process`: the paths are process settings files.
    pub process: bool,
    /// `check --platform`: the paths are files with the platform's configuration.
    pub platform: bool,
    /// `check --against PATH`: the version in force, of the same form as the path.
    pub against: Option<PathBuf>,
    /// `explain ID`: the request identifier, as in the `x-request-id` header of its response.
    pub request: Option<id::Request>,
    /// `explain --log FILE ID`: saved logs to read instead of querying processes.
    pub logs: Vec<PathBuf>,
    /// `explain --log FILE ID`: the request identifier, as it is written in the logs.
    pub id: String,
    /// `stragglers --slow-factor N`: list hosts slower than this many times the median of
    /// their pool.
    pub slow_factor: f64,
    /// `histograms --account A`: show this client account only.
    pub account: Option<String>,
    /// `histograms --tier T`: show this tier only.
    pub tier: Option<String>,
    /// `watch-drain HOST`: the host to watch, by its name in the host list.
    pub host: String,
    /// `watch-revision BRANCH REVISION`: the settings branch to watch.
    pub branch: String,
    /// `watch-revision BRANCH REVISION`: the revision to wait for, or a higher one.
    pub revision: u64,
    /// `--within SECONDS`: time limit of a watch; none to watch without limit.
    pub within: Option<Duration>,
    /// `--interval-ms N`: time between two polls of a watch.
    pub interval: Duration,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            subcommand: None,
            help: false,
            version: false,
            json: false,
            at: Vec::new(),
            timeout: Duration::from_millis(DEFAULT_TIMEOUT_MS),
            paths: Vec::new(),
            process: false,
            platform: false,
            against: None,
            request: None,
            logs: Vec::new(),
            id: String::new(),
            slow_factor: DEFAULT_SLOW_FACTOR,
            account: None,
            tier: None,
            host: String::new(),
            branch: String::new(),
            revision: 0,
            within: None,
            interval: Duration::from_millis(DEFAULT_INTERVAL_MS),
        }
    }
}

/// Parses the arguments that follow the program's name, and reads `--at-file` files.
///
/// # Errors
///
/// Returns an error that names the invalid argument.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Options, error::Error> {
    let mut parser = lexopt::Parser::from_args(args);
    let mut options = Options::default();
    let mut operands = Vec::new();
    let mut given_options = Vec::new();
    while let Some(arg) = parser.next().map_err(|error| usage_error(&options, error))? {
        match arg {
            lexopt::Arg::Value(value) if options.subcommand.is_none() => {
                options.subcommand = Some(parse_subcommand(&value)?);
            }
            lexopt::Arg::Value(value) => operands.push(value),
            lexopt::Arg::Short('h') => options.help = true,
            lexopt::Arg::Short('V') => options.version = true,
            lexopt::Arg::Short(letter) => {
                return Err(usage_error(&options, format!("unknown option -{letter}")));
            }
            lexopt::Arg::Long(name) => {
                let name = name.to_owned();
                parse_option(&mut options, &name, &mut parser)?;
                given_options.push(name);
            }
        }
    }
    if options.help || options.version {
        return Ok(options);
    }
    let Some(subcommand) = options.subcommand else {
        return Err(usage_error(&options, "no subcommand given"));
    };
    if let Some(option) = given_options.iter().find(|option| !subcommand.allows(option)) {
        let message = format!("{} does not take --{option}", subcommand.name());
        return Err(usage_error(&options, message));
    }
    set_operands(&mut options, subcommand, operands)?;
    if !options.logs.is_empty() && !options.at.is_empty() {
        return Err(usage_error(&options, "explain takes --log or --at, not both"));
    }
    if subcommand != Subcommand::Check && options.at.is_empty() && options.logs.is_empty() {
        let message = format!(
            "{} needs an operator address, add --at HOST:PORT or --at-file FILE",
            subcommand.name()
        );
        return Err(usage_error(&options, message));
    }
    Ok(options)
}

fn parse_subcommand(value: &OsString) -> Result<Subcommand, error::Error> {
    let found = Subcommand::ALL.into_iter().find(|subcommand| value == subcommand.name());
    found.ok_or_else(|| usage_error(&Options::default(), format!("unknown subcommand {value:?}")))
}

fn parse_option(
    options: &mut Options,
    name: &str,
    parser: &mut lexopt::Parser,
) -> Result<(), error::Error> {
    match name {
        "help" => options.help = true,
        "version" => options.version = true,
        "json" => options.json = true,
        "process" => options.process = true,
        "platform" => options.platform = true,
        "against" => {
            let path = parser.value().map_err(|error| usage_error(options, error))?;
            options.against = Some(path.into());
        }
        "at" => {
            let address = text_value(options, name, parser)?;
            addresses::check(&address)
                .map_err(|cause| usage_error(options, format!("--at {address:?}: {cause}")))?;
            add_address(options, address);
        }
        "at-file" => {
            let path = parser.value().map_err(|error| usage_error(options, error))?;
            for address in addresses::read(PathBuf::from(path), options.subcommand)? {
                add_address(options, address);
            }
        }
        "timeout-ms" => {
            options.timeout = Duration::from_millis(positive_value(options, name, parser)?);
        }
        "interval-ms" => {
            options.interval = Duration::from_millis(positive_value(options, name, parser)?);
        }
        "within" => {
            options.within =
                Some(Duration::from_secs(number_value(options, name, parser, "seconds")?));
        }
        "slow-factor" => {
            let factor = number_value::<f64>(options, name, parser, "a number of at least 1")?;
            if !factor.is_finite() || factor < 1.0 {
                let message = format!("--slow-factor {factor}: allowed is at least 1");
                return Err(usage_error(options, message));
            }
            options.slow_factor = factor;
        }
        "log" => {
            let path = parser.value().map_err(|error| usage_error(options, error))?;
            options.logs.push(path.into());
        }
        "account" => options.account = Some(text_value(options, name, parser)?),
        "tier" => options.tier = Some(text_value(options, name, parser)?),
        _ => return Err(usage_error(options, format!("unknown option --{name}"))),
    }
    Ok(())
}

fn add_address(options: &mut Options, address: String) {
    if !options.at.contains(&address) {
        options.at.push(address);
    }
}

fn text_value(
    options: &Options,
    name: &str,
    parser: &mut lexopt::Parser,
) -> Result<String, error::Error> {
    let value = parser.value().map_err(|error| usage_error(options, error))?;
    value
        .string()
        .map_err(|_| usage_error(options, format!("the value of --{name} is not valid UTF-8")))
}

fn number_value<T: str::FromStr>(
    options: &Options,
    name: &str,
    parser: &mut lexopt::Parser,
    allowed: &str,
) -> Result<T, error::Error> {
    let value = text_value(options, name, parser)?;
    value
        .parse()
        .map_err(|_| usage_error(options, format!("--{name} {value:?}: allowed is {allowed}")))
}

fn positive_value(
    options: &Options,
    name: &str,
    parser: &mut lexopt::Parser,
) -> Result<u64, error::Error> {
    let allowed = "a whole number of milliseconds from 1";
    match number_value(options, name, parser, allowed)? {
        0 => Err(usage_error(options, format!("--{name} 0: allowed is {allowed}"))),
        value => Ok(value),
    }
}

fn set_operands(
    options: &mut Options,
    subcommand: Subcommand,
    operands: Vec<OsString>,
) -> Result<(), error::Error> {
    let expected = subcommand.operands();
    if let Some(missing) = expected.get(operands.len()) {
        return Err(usage_error(options, format!("{} needs {missing}", subcommand.name())));
    }
    if subcommand == Subcommand::Check {
        options.paths = operands.into_iter().map(PathBuf::from).collect();
        return check_forms(options);
    }
    if let Some(extra) = operands.get(expected.len()) {
        return Err(usage_error(options, format!("unexpected argument {extra:?}")));
    }
    let mut values = Vec::new();
    for (name, operand) in expected.iter().zip(operands) {
        let value = operand.into_string();
        let value =
            value.map_err(|_| usage_error(options, format!("{name} is not valid UTF-8")))?;
        values.push(value);
    }
    match (subcommand, values.as_slice()) {
        (Subcommand::Explain, [id]) if !options.logs.is_empty() => options.id.clone_from(id),
        (Subcommand::Explain, [id]) => {
            let message = format!("ID {id:?}: allowed is a request identifier like 1f-2a");
            options.request = Some(id.parse().map_err(|_| usage_error(options, message))?);
        }
        (Subcommand::WatchDrain, [host]) => options.host.clone_from(host),
        (Subcommand::WatchRevision, [branch, revision]) => {
            let message = format!("REVISION {revision:?}: allowed is a whole number");
            options.branch.clone_from(branch);
            options.revision = revision.parse().map_err(|_| usage_error(options, message))?;
        }
        _ => {}
    }
    Ok(())
}

/// Checks the options of `check` that exclude each other.
fn check_forms(options: &Options) -> Result<(), error::Error> {
    if options.process && options.platform {
        return Err(usage_error(options, "check takes --process or --platform, not both"));
    }
    if options.process && options.against.is_some() {
        return Err(usage_error(options, "check takes --process or --against, not both"));
    }
    if options.against.is_some() && options.paths.len() > 1 {
        return Err(usage_error(options, "check --against takes one PATH"));
    }
    Ok(())
}

fn usage_error(options: &Options, message: impl fmt::Display) -> error::Error {
    error::Error::Usage { message: message.to_string(), subcommand: options.subcommand }
}
