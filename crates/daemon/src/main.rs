//! Entry point of `quincespoked`.

use std::process;

use daemon::{options, run};

fn main() -> process::ExitCode {
    let code = match options::parse(std::env::args_os()) {
        Ok(options::Command::Run(options)) => run::run(&options),
        Ok(options::Command::Check(options)) => run::check(&options),
        Ok(options::Command::Print(text)) => run::print_text(&text),
        Err(error) => run::report_usage_error(&error),
    };
    code.into()
}
