//! Entry point of `quincespoke-load`.

use std::{env, process};

use load::{
    error::Error,
    exit_code::Code,
    matrix,
    options::{self, Options},
    plot,
    policy::Policy,
    scenario::Scenario,
    table, target, workload,
};

fn main() -> process::ExitCode {
    match run() {
        Ok(()) => Code::Ok.into(),
        Err(error) => {
            eprintln!("error: {error}");
            Code::from(&error).into()
        }
    }
}

fn run() -> Result<(), Error> {
    match options::parse(env::args_os().skip(1))? {
        Options::Help => print!("{}", options::HELP),
        Options::Version => println!("quincespoke-load {}", env!("CARGO_PKG_VERSION")),
        Options::List => {
            let scenarios = Scenario::all();
            scenarios.iter().for_each(|scenario| println!("{}", scenario.name));
            Policy::ALL.iter().for_each(|policy| println!("{}", policy.name()));
        }
        Options::Run { plan, plots, counters } => {
            let (name, rate) = (plan.deployment.name, workload::capacity(&plan.deployment));
            println!("{name}: capacity {rate:.1} model calls/s, {} seeds\n", plan.seeds);
            let results = matrix::run(&plan);
            print!("{}", table::render(&plan, &results));
            print!("\n{}", target::render(&plan, &results));
            if counters {
                print!("\n{}", table::counters(&plan, &results));
            }
            if let Some(dir) = plots {
                plot::write(&dir, &plan, &results)?;
            }
        }
    }
    Ok(())
}
