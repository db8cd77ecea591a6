//! `turmericloft promote`

use turmericloft::{core::Name, ops, sources::log_service::HttpLog, util::clock::unix_ms};

use super::{
    CommandResult,
    publish::{PublishArgs, print_result, promote_options, read_differences},
};

/// Activates a document in production that was active, unchanged, in the trial environment
///
/// Exit code: 0 accepted, or already active; 1 failed, nothing was written; 2 invalid arguments;
/// 3 rejected, another promotion was accepted first; 4 undecided, the message contains the command
/// that settles the promotion.
#[derive(Debug, clap::Args)]
pub struct Args {
    #[command(flatten)]
    publish: PublishArgs,
    /// Environment in which the document is activated
    #[arg(long, default_value = "production")]
    environment: String,
    /// Environment in which the document was tried
    #[arg(long, default_value = "trial")]
    trial_environment: String,
}

/// Promotes the document, or settles an earlier promotion, and prints the result.
pub async fn exec(args: Args) -> CommandResult {
    let environment = Name::new(&args.environment)?;
    let log = HttpLog::new(args.publish.log_service);
    if let Some(id) = &args.publish.settle {
        let promotion = ops::settle(&log, &environment, id).await?;
        return print_result(
            &args.publish,
            "promote",
            &environment,
            Vec::new(),
            &promotion,
        );
    }
    let trial_environment = Name::new(&args.trial_environment)?;
    let options = promote_options(&args.publish, &environment)?;
    let differences = read_differences(&log, &options).await?;
    let promotion = ops::promote(&log, options, &trial_environment, unix_ms()).await?;
    print_result(
        &args.publish,
        "promote",
        &environment,
        differences,
        &promotion,
    )
}
