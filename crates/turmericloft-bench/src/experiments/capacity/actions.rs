//! Memory of guarded actions by the number that are kept.

use std::sync::Arc;

use bytes::Bytes;
use turmericloft::core::{
    Name, Outcome,
    guard::{
        ActionKey, ActionResponse, ActionTable, Fingerprint, Submission, Submitted, TableLimits,
        Waiter,
    },
};

use super::{
    super::ExperimentResult,
    Args,
    series::{SIZE_FRACTIONS, Series},
};
use crate::figure::Printer;

/// Actions kept at the largest size.
const ACTIONS: usize = 20_000;
/// Time at which the actions are offered, and after which they are not begun, in milliseconds.
const EXPIRES_MS: u64 = 600_000;
/// Room of the table, in bytes: far more than is used.
const TABLE_BYTES: usize = 1 << 30;
/// Largest answer kept, in bytes.
const ANSWER_BYTES: usize = 4 << 10;
/// Bytes of each answer's body.
const BODY_BYTES: usize = 64;

struct Discarded;

impl Waiter for Discarded {
    fn notify(self, _: Arc<ActionResponse>) {}
}

pub(super) fn measure(_args: &Args, figures: &Printer) -> ExperimentResult {
    let mut memory = Series::new("actions", "table_bytes", "bytes");
    for fraction in SIZE_FRACTIONS {
        let actions = (ACTIONS as f64 * fraction) as usize;
        memory.add_point(actions as f64, table_bytes(actions)? as f64);
    }
    memory.print(figures);
    Ok(())
}

fn table_bytes(actions: usize) -> Result<usize, Box<dyn std::error::Error>> {
    let table = ActionTable::new(TableLimits {
        actions: ACTIONS * 2,
        bytes: TABLE_BYTES,
        response_bytes: ANSWER_BYTES,
    });
    for number in 0..actions {
        let submission = Submission {
            key: ActionKey::Caller {
                caller: Name::new("web")?,
                service: Name::new("booking")?,
                key: format!("key-{number:032}").into(),
            },
            fingerprint: Fingerprint::of("booking", "POST", "/book", b"body"),
            expires_ms: EXPIRES_MS,
            waiter: Discarded,
        };
        if let Submitted::Accepted(permit) = table.submit(0, submission) {
            permit.into_dispatched().complete(ActionResponse {
                outcome: Outcome::Served,
                status: 200,
                headers: Vec::new(),
                body: Bytes::from(vec![0; BODY_BYTES]),
            });
        }
    }
    Ok(table.memory_bytes())
}
