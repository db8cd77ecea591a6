//! Help texts, shell completions and invalid command lines.

use snapbox::{assert_data_eq, str};
use tempfile::TempDir;

use crate::support::run;

const TURMERICLOFT: &str = env!("CARGO_BIN_EXE_turmericloft");
const GATEWAY: &str = env!("CARGO_BIN_EXE_turmericloft-gateway");
const REPORTER: &str = env!("CARGO_BIN_EXE_turmericloft-reporter");

fn run_in_empty_folder(program: &str, args: &[&str]) -> String {
    let folder = TempDir::new().expect("an empty folder");
    run(program, folder.path(), args)
}

#[test]
fn help_names_subcommands_examples_and_exit_codes() {
    assert_data_eq!(
        run_in_empty_folder(TURMERICLOFT, &["--help"]),
        str![[r#"
exit code: 0
stdout:
Checks and publishes documents, and shows the state and the reports of an installation

Usage: turmericloft <COMMAND>

Commands:
  audit        Shows who changed the document and when, and when it became active at each gateway
  check        Reports every fault of a document with its line and key, and warns of risky settings
  completions  Prints the completion script for a shell
  demo         Runs a complete installation in this process, under load and faults, and shows its
               report
  explain      Lists the log lines of one request from the logs of several gateways, by time
  gateway      Runs a gateway for the endpoints of the users' platform until SIGTERM
  promote      Activates a document in production that was active, unchanged, in the trial
               environment
  report       Shows how many requests each caller, service or kind made, and how they ended
  status       Shows the gateways, their condition and the document version that is active at each
  trial        Activates a document in the trial environment
  help         Print this message or the help of the given subcommand(s)

Options:
  -h, --help     Print help
  -V, --version  Print version

Examples:
  turmericloft demo
  turmericloft check environment.toml
  turmericloft trial environment.toml --author anna --log-service 10.0.1.1:7000 --environment trial
  turmericloft promote environment.toml --author anna --log-service 10.0.1.1:7000
  turmericloft report --log-service 10.0.1.1:7000 --environment production

Exit codes:
  0  success
  1  failure; the message states what was not done
  2  invalid command line arguments
  3  rejected: another promotion was accepted first
  4  undecided: the message contains the command that settles the promotion

"#]]
    );
}

#[test]
fn help_of_the_daemons_names_flags_and_exit_codes() {
    assert_data_eq!(
        run_in_empty_folder(GATEWAY, &["--help"]),
        str![[r#"
exit code: 0
stdout:
Runs a gateway until SIGTERM or SIGINT

The first signal starts a graceful stop: the gateway reports that it is not ready, accepts no new
requests and finishes those in flight. A second signal, or the stop deadline in the settings, cuts
off the requests that are still in flight.

Usage: turmericloft-gateway [OPTIONS] --settings <SETTINGS>

Options:
      --settings <SETTINGS>
          Settings file of this process, in TOML

      --set <KEY=VALUE>
          Setting that overrides the one in the file, as KEY=VALUE; may be given several times

  -h, --help
          Print help (see a summary with '-h')

  -V, --version
          Print version

Exit codes:
  0  every request in flight was finished
  1  the gateway could not run
  2  invalid command line arguments
  4  requests in flight or guarded actions were cut off; the message states how many

"#]]
    );
    assert_data_eq!(
        run_in_empty_folder(REPORTER, &["--help"]),
        str![[r#"
exit code: 0
stdout:
Runs a reporter until SIGTERM or SIGINT

Usage: turmericloft-reporter [OPTIONS] --settings <SETTINGS>

Options:
      --settings <SETTINGS>  Settings file of this process, in TOML
      --set <KEY=VALUE>      Setting that overrides the one in the file, as KEY=VALUE; may be given
                             several times
  -h, --help                 Print help
  -V, --version              Print version

Exit codes:
  0  all counts that were held are published
  1  the reporter could not run
  2  invalid command line arguments

"#]]
    );
}

#[test]
fn unknown_subcommand_exits_with_code_2_and_suggests_a_known_one() {
    assert_data_eq!(
        run_in_empty_folder(TURMERICLOFT, &["promot"]),
        str![[r#"
exit code: 2
stderr:
error: unrecognized subcommand 'promot'

  tip: a similar subcommand exists: 'promote'

Usage: turmericloft <COMMAND>

For more information, try '--help'.

"#]]
    );
}

#[test]
fn missing_required_flags_are_named_with_exit_code_2() {
    assert_data_eq!(
        run_in_empty_folder(TURMERICLOFT, &["report"]),
        str![[r#"
exit code: 2
stderr:
error: the following required arguments were not provided:
  --log-service <LOG_SERVICE>
  --environment <ENVIRONMENT>

Usage: turmericloft report --log-service <LOG_SERVICE> --environment <ENVIRONMENT>

For more information, try '--help'.

"#]]
    );
}

#[test]
fn completions_for_an_unknown_shell_list_the_known_ones() {
    assert_data_eq!(
        run_in_empty_folder(TURMERICLOFT, &["completions", "sh"]),
        str![[r#"
exit code: 2
stderr:
error: invalid value 'sh' for '<SHELL>'
  [possible values: bash, elvish, fish, powershell, zsh]

For more information, try '--help'.

"#]]
    );
}

#[test]
fn completions_for_each_shell_name_every_subcommand() {
    let help = run_in_empty_folder(TURMERICLOFT, &["--help"]);
    let commands = help.split("Commands:\n").nth(1).expect("help has commands");
    let commands = commands.lines().take_while(|line| !line.is_empty());
    let commands: Vec<_> = commands
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    assert!(commands.len() > 5, "{commands:?}");
    for shell in ["bash", "zsh", "fish", "elvish", "powershell"] {
        let script = run_in_empty_folder(TURMERICLOFT, &["completions", shell]);
        let missing: Vec<_> = commands.iter().filter(|c| !script.contains(**c)).collect();
        assert!(missing.is_empty(), "{shell} lacks {missing:?}");
    }
}
