//! Command line of `quincespoke-load`.

use std::{ffi::OsString, path::PathBuf};

use lexopt::{Arg, Parser, ValueExt};

use crate::{
    deployment::Deployment, error::Error, matrix::Plan, policy::Policy, scenario::Scenario,
};

/// Text printed for `--help`.
pub const HELP: &str = "\
Runs the request scheduler against models of engines in virtual time.

Usage: quincespoke-load [OPTIONS]

  --deployment NAME   popayan or recife [popayan]
  --scenario NAME     only this scenario; may be given more than once
  --policy NAME       only this policy; may be given more than once
  --seeds N           seeds 1 to N for each scenario and policy [5]
  --jobs N            threads [4]
  --plots DIR         write plots of goodput and wasted prefill into DIR
  --counters          print the state machines' counters as well
  --list              print the names of scenarios and policies
  --help              print this text
  --version           print the version

Exit codes: 0 done, 2 wrong command line, 4 a plot could not be written.

Examples:
  quincespoke-load --deployment recife --plots docs/plots
  quincespoke-load --scenario steady-2.0 --scenario floor-alone --policy quincespoke
";

/// The parsed command line.
#[derive(Clone, Debug)]
pub enum Options {
    Help,
    Version,
    List,
    Run { plan: Plan, plots: Option<PathBuf>, counters: bool },
}

/// Parses the command line, given without the name of the program.
///
/// # Errors
///
/// Returns an error for an unknown option or an invalid value.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Options, Error> {
    parse_args(Parser::from_args(args)).map_err(Error::Usage)
}

fn parse_args(mut parser: Parser) -> Result<Options, lexopt::Error> {
    let mut deployment = Deployment::find("popayan").ok_or("no deployment")?;
    let (mut scenarios, mut policies) = (Vec::new(), Vec::new());
    let (mut seeds, mut jobs, mut plots, mut counters) = (5, 4, None, false);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("help") | Arg::Short('h') => return Ok(Options::Help),
            Arg::Long("version") | Arg::Short('V') => return Ok(Options::Version),
            Arg::Long("list") => return Ok(Options::List),
            Arg::Long("deployment") => {
                let name = parser.value()?.string()?;
                deployment =
                    Deployment::find(&name).ok_or(format!("unknown deployment {name:?}"))?;
            }
            Arg::Long("scenario") => {
                let name = parser.value()?.string()?;
                let found = Scenario::all().into_iter().find(|scenario| scenario.name == name);
                scenarios.push(found.ok_or(format!("unknown scenario {name:?}"))?);
            }
            Arg::Long("policy") => {
                let name = parser.value()?.string()?;
                let found = Policy::ALL.into_iter().find(|policy| policy.name() == name);
                policies.push(found.ok_or(format!("unknown policy {name:?}"))?);
            }
            Arg::Long("seeds") => seeds = parser.value()?.parse()?,
            Arg::Long("jobs") => jobs = parser.value()?.parse()?,
            Arg::Long("plots") => plots = Some(PathBuf::from(parser.value()?)),
            Arg::Long("counters") => counters = true,
            arg => return Err(arg.unexpected()),
        }
    }
    if scenarios.is_empty() {
        scenarios = Scenario::all();
    }
    if policies.is_empty() {
        policies = Policy::ALL.to_vec();
    }
    let plan = Plan { deployment, scenarios, policies, seeds, jobs };
    Ok(Options::Run { plan, plots, counters })
}
