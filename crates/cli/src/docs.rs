//! `completions` and `man`: pages made from the command itself.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use clap_mangen::Man;
use snafu::ResultExt;

use crate::error::StreamSnafu;
use crate::session::Session;
use crate::{Error, Exit, Platform, System};

const PROGRAM: &str = "verbenagap";

/// Makes both commands.
pub(crate) fn commands() -> [Command; 2] {
    let shell = Arg::new("shell").value_name("SHELL").required(true);
    let words = Arg::new("command").value_name("COMMAND").action(ArgAction::Append).num_args(0..);
    [
        Command::new("completions")
            .about("Prints completions for a shell")
            .arg(shell.value_parser(value_parser!(Shell))),
        Command::new("man")
            .about("Prints the manual page of the program or of a command")
            .arg(words.help("Words of the command, for instance `config apply`")),
    ]
}

/// Runs one of both commands.
pub(crate) fn run<P: Platform, Y: System>(
    session: &mut Session<'_, '_, P, Y>,
    name: &str,
    matches: &ArgMatches,
    mut command: Command,
) -> Result<Exit, Error> {
    let mut page = Vec::new();
    if name == "man" {
        man(matches, command)?.render(&mut page).context(StreamSnafu)?;
    } else if let Some(&shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(shell, &mut command, PROGRAM, &mut page);
    }
    session.print(&page)?;
    Ok(Exit::Success)
}

fn man(matches: &ArgMatches, mut command: Command) -> Result<Man, Error> {
    command.build();
    let words = matches.get_many::<String>("command").into_iter().flatten();
    for word in words {
        let found = command.find_subcommand(word).cloned();
        command = found.ok_or_else(|| Error::usage(format!("there is no command `{word}`")))?;
    }
    Ok(Man::new(command))
}
