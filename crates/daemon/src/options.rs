//! Command-line options, parsed once.

use std::{ffi::OsString, path::PathBuf};

const HELP: &str = "\
quincespoked: request scheduler for model engines and plain services

Usage:
  quincespoked --settings FILE          run the role that FILE names: entry, agent or gateway
  quincespoked check --settings FILE    check FILE and print every error
  quincespoked --help | --version

Options:
  -s, --settings FILE    process settings in INI, see docs/settings.md
  -h, --help             print this help
  -V, --version          print the version

SIGTERM or SIGINT starts a planned stop: no new work is taken, requests in
progress finish, then the process exits.

Exit codes: 0 success, 1 bad settings, 2 bad command line, 3 could not start.

Example:
  quincespoked check -s entry.ini && quincespoked -s entry.ini
";

/// A command with its options, as given on the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    Run(Options),
    Check(Options),
    Print(String),
}

/// Options of a run or a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Path of the process settings file.
    pub settings: PathBuf,
}

/// Parses the command line; the first argument is the program's name.
///
/// # Errors
///
/// Returns an error that names the argument at fault.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    use lexopt::prelude::{Long, Short, Value};

    let mut parser = lexopt::Parser::from_iter(args);
    let mut settings = None;
    let mut check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Short('h') | Long("help") => return Ok(Command::Print(HELP.into())),
            Short('V') | Long("version") => return Ok(Command::Print(version())),
            Short('s') | Long("settings") => settings = Some(PathBuf::from(parser.value()?)),
            Value(word) if word == "check" && !check => check = true,
            _ => return Err(argument.unexpected()),
        }
    }
    let settings = settings.ok_or("missing option '--settings FILE'")?;
    let options = Options { settings };
    Ok(if check { Command::Check(options) } else { Command::Run(options) })
}

fn version() -> String {
    format!("quincespoked {}\n", env!("CARGO_PKG_VERSION"))
}
