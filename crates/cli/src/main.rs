//! Entry point of the `quincespoke` tool.

use std::{env, process};

use cli::{clock, command, error, fetch, options, output};

fn main() -> process::ExitCode {
    let code = match run() {
        Ok(code) => code,
        Err(error) => output::report_error(&error),
    };
    code.into()
}

fn run() -> Result<cli::exit_codes::Code, error::Error> {
    let options = options::parse(env::args_os().skip(1))?;
    let runtime = compio::runtime::Runtime::new().map_err(error::Error::Runtime)?;
    let report = runtime.block_on(async {
        let source = fetch::Http::new(options.timeout)?;
        command::run(&options, &source, &clock::System::default()).await
    })?;
    output::print(&report, options.json)
}
