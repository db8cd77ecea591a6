//! `turmericloft promote`

use turmericloft::{core::Name, ops, sources::log_service::HttpLog, util::clock::unix_ms};

use super::{
    CommandResult,
    publish::{PublishArgs, differences, finish, options},
};

/// Puts a document in force in production, exactly as it was in force in the trial environment
///
/// Exit code: 0 accepted, or in force already; 1 failed, nothing was written; 2 wrong flags;
/// 3 rejected, another document was first; 4 undecided, with the command that settles it.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    publish: PublishArgs,
    /// Environment
    #[arg(long, default_value = "production")]
    environment: String,
    /// Environment in which documents are tried
    #[arg(long, default_value = "trial")]
    trial_environment: String,
}

/// Runs the subcommand.
pub async fn exec(args: Args) -> CommandResult {
    let environment = Name::new(&args.environment)?;
    let log = HttpLog::new(args.publish.log_service);
    if let Some(id) = &args.publish.settle {
        let promotion = ops::settle(&log, &environment, id).await?;
        return finish(
            &args.publish,
            "promote",
            &environment,
            Vec::new(),
            &promotion,
        );
    }
    let trial_environment = Name::new(&args.trial_environment)?;
    let options = options(&args.publish, &environment)?;
    let differences = differences(&log, &options).await?;
    let promotion = ops::promote(&log, options, &trial_environment, unix_ms()).await?;
    finish(
        &args.publish,
        "promote",
        &environment,
        differences,
        &promotion,
    )
}
