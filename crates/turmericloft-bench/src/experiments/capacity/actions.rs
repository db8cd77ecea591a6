//! Memory of the action table by the number of completed actions that it keeps.

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

/// Actions in the table at the largest size.
const MAX_ACTIONS: usize = 20_000;
/// Expiry of the actions, in milliseconds; they are submitted at 0.
const EXPIRES_MS: u64 = 600_000;
/// Capacity of the table, in bytes; large enough that no action is rejected for lack of memory.
const TABLE_CAPACITY_BYTES: usize = 1 << 30;
/// Largest response that the table keeps, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 10;
/// Body of each response, in bytes.
const RESPONSE_BODY_BYTES: usize = 64;

/// A waiter that ignores the response.
struct NoopWaiter;

impl Waiter for NoopWaiter {
    fn notify(self, _: Arc<ActionResponse>) {}
}

pub(super) fn measure(_args: &Args, figures: &Printer) -> ExperimentResult {
    let mut memory = Series::new("actions", "table_bytes", "bytes");
    for fraction in SIZE_FRACTIONS {
        let actions = (MAX_ACTIONS as f64 * fraction) as usize;
        memory.add_point(actions as f64, table_memory_bytes(actions)? as f64);
    }
    memory.print(figures);
    Ok(())
}

fn table_memory_bytes(actions: usize) -> Result<usize, Box<dyn std::error::Error>> {
    let table = ActionTable::new(TableLimits {
        actions: MAX_ACTIONS * 2,
        bytes: TABLE_CAPACITY_BYTES,
        response_bytes: MAX_RESPONSE_BYTES,
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
            waiter: NoopWaiter,
        };
        if let Submitted::Accepted(permit) = table.submit(0, submission) {
            permit.into_dispatched().complete(ActionResponse {
                outcome: Outcome::Served,
                status: 200,
                headers: Vec::new(),
                body: Bytes::from(vec![0; RESPONSE_BODY_BYTES]),
            });
        }
    }
    Ok(table.memory_bytes())
}
