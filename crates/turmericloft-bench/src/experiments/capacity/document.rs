//! Size of a document, and the time to parse, index and accept it, by its number of endpoints.

use std::{fmt::Write, hint::black_box, time::Instant};

use turmericloft::core::{
    Environment, Name,
    config::{AcceptedRecord, ConfigRecord},
    document::{Digest, Document},
};

use super::{
    super::ExperimentResult,
    Args,
    series::{SIZE_FRACTIONS, Series},
};
use crate::figure::Printer;

/// Runs of each timed step; the fastest counts, as other processes share the machine.
const RUNS: usize = 5;

pub(super) fn measure(args: &Args, figures: &Printer) -> ExperimentResult {
    let mut bytes = Series::new("document", "bytes", "bytes");
    let mut parse = Series::new("document", "parse_ms", "ms");
    let mut index = Series::new("document", "index_ms", "ms");
    let mut record = Series::new("document", "record_bytes", "bytes");
    let mut judge = Series::new("document", "judge_ms", "ms");
    for fraction in SIZE_FRACTIONS {
        let scaled = |n: usize| (n as f64 * fraction) as usize;
        let endpoints = scaled(args.endpoints);
        let text = render_document(scaled(args.services), endpoints, scaled(args.callers));
        let document = Document::parse(&text)?;
        let x = endpoints as f64;
        bytes.add_point(x, text.len() as f64);
        parse.add_point(x, fastest_ms(|| drop(black_box(Document::parse(&text)))));
        index.add_point(
            x,
            fastest_ms(|| drop(black_box(Environment::new(1, document.clone())))),
        );
        let encoded = first_record(text)?.encode()?;
        record.add_point(x, encoded.len() as f64);
        judge.add_point(
            x,
            fastest_ms(|| drop(black_box(AcceptedRecord::evaluate(None, 0, &encoded)))),
        );
    }
    [bytes, parse, index, record, judge]
        .iter()
        .for_each(|series| series.print(figures));
    Ok(())
}

/// The configuration record of a document's first promotion.
fn first_record(document: String) -> Result<ConfigRecord, Box<dyn std::error::Error>> {
    Ok(ConfigRecord {
        version: 1,
        parent: None,
        promotion_id: "1-capacity".to_owned(),
        author: Name::new("bench")?,
        promoted_at_ms: 0,
        digest: Digest::of(document.as_bytes()),
        document,
    })
}

/// Renders a document with this many services, endpoints over all services, and callers.
pub(super) fn render_document(services: usize, endpoints: usize, callers: usize) -> String {
    let mut text = "schema = 1\nzones = [{ name = \"a\", region = \"south\" }]\n".to_owned();
    let mut endpoint = 0;
    for service in 0..services {
        let _ = write!(
            text,
            "[[services]]\nname = \"service-{service}\"\ndeadline_ms = 2000\n\
             kinds = [{{ name = \"read\", method = \"GET\", handling = \"idempotent\" }},\n\
             {{ name = \"write\", method = \"POST\", handling = \"guarded\", weight = 5 }}]\n"
        );
        let end = endpoints * (service + 1) / services;
        while endpoint < end {
            let (high, low) = (endpoint / 250, endpoint % 250 + 1);
            let _ = write!(
                text,
                "[[services.endpoints]]\naddress = \"10.0.{high}.{low}:8080\"\nzone = \"a\"\n\
                 slots = 4\nconnections = 250\n"
            );
            endpoint += 1;
        }
    }
    for caller in 0..callers {
        let token = Digest::of(format!("token-{caller}").as_bytes());
        let _ = write!(
            text,
            "[[callers]]\nname = \"caller-{caller}\"\ntoken_sha256 = \"{token}\"\n\
             contracts = [{{ service = \"service-{}\" }}]\n",
            caller % services
        );
    }
    text
}

fn fastest_ms(run: impl Fn()) -> f64 {
    let times = (0..RUNS).map(|_| {
        let start = Instant::now();
        run();
        start.elapsed().as_secs_f64() * 1_000.0
    });
    times.fold(f64::INFINITY, f64::min)
}
