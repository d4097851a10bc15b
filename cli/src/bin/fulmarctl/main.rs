//! Command-line tool for operators of fulmarford and for load tests.

mod bench;
mod change;
mod check;
mod demo;
mod embedded;
mod evacuate;
mod explain;
mod fake;
mod instance;
mod key;
mod plot;
mod run;
mod status;

use std::process::ExitCode;

use gumdrop::Options;

/// Checks, changes and explains a fulmarford deployment.
#[derive(Debug, Options)]
struct Arguments {
    /// Print this help.
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    /// Check a rules file or document: errors, entries without effect, differences.
    Check(check::Arguments),
    /// Create a key or hash an existing one.
    Key(key::Arguments),
    /// Submit a rules file as a change; needs --author.
    Apply(change::ApplyArguments),
    /// List the newest changes.
    History(change::HistoryArguments),
    /// Print the rules held by an instance.
    Show(change::ShowArguments),
    /// Evacuate a zone, or end that.
    Evacuate(evacuate::Arguments),
    /// Print the status of an instance and of its group.
    Status(status::Arguments),
    /// Print the routing decisions about a request from decision logs.
    Explain(explain::Arguments),
    /// Run both example deployments on embedded fakes.
    Demo(demo::Arguments),
    /// Compare policies under load and faults on embedded fakes.
    Bench(bench::Arguments),
    /// Serve a fake engine or service.
    Fake(fake::Arguments),
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let Some(command) = arguments.command else {
        eprintln!("{}\n\n{}", Arguments::usage(), command_list());
        return ExitCode::from(2);
    };
    let result = match command {
        Command::Check(arguments) => Ok(check::run(&arguments)),
        Command::Key(arguments) => key::run(&arguments),
        Command::Apply(arguments) => change::apply(&arguments),
        Command::History(arguments) => change::history(&arguments),
        Command::Show(arguments) => change::show(&arguments),
        Command::Evacuate(arguments) => evacuate::run(&arguments),
        Command::Status(arguments) => status::run(&arguments),
        Command::Explain(arguments) => explain::run(&arguments),
        Command::Demo(arguments) => demo::run(&arguments),
        Command::Bench(arguments) => bench::run(&arguments),
        Command::Fake(arguments) => fake::run(&arguments),
    };
    result.unwrap_or_else(|error| {
        eprintln!("fulmarctl: {error:#}");
        ExitCode::FAILURE
    })
}

fn command_list() -> String {
    format!(
        "Commands:\n{}",
        Arguments::command_list().unwrap_or_default()
    )
}
