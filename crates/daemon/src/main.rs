//! Entry point of `quincespoked`.

use std::process;

use daemon::{options, run};

fn main() -> process::ExitCode {
    let code = match options::parse(std::env::args_os()) {
        Ok(options::Command::Run(options)) => run::run(&options),
        Ok(options::Command::Check(options)) => run::check(&options),
        Ok(options::Command::Print(text)) => run::print(&text),
        Err(error) => run::usage(&error),
    };
    code.into()
}
