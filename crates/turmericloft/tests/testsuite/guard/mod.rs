//! Tests of `core::guard`, which decides without I/O.

mod action_id;
mod claims;
mod exploration;
mod model;
mod quarantine;
mod table;

use std::sync::Arc;

use parking_lot::Mutex;
use turmericloft::core::{
    HostId, Name, Outcome,
    guard::{ActionResponse, Waiter},
};

/// Responses that the copies of one caller's requests received.
#[derive(Clone, Debug, Default)]
pub struct Responses(Arc<Mutex<Vec<Arc<ActionResponse>>>>);

impl Responses {
    pub fn all(&self) -> Vec<Arc<ActionResponse>> {
        self.0.lock().clone()
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.0.lock().iter().map(|r| r.outcome).collect()
    }
}

impl Waiter for Responses {
    fn notify(self, response: Arc<ActionResponse>) {
        self.0.lock().push(response);
    }
}

pub fn response(outcome: Outcome, body: &str) -> ActionResponse {
    ActionResponse {
        outcome,
        status: 200,
        headers: Vec::new(),
        body: body.to_owned().into(),
    }
}

pub fn host(name: &str, incarnation: u64) -> HostId {
    HostId {
        name: Name::new(name).unwrap(),
        incarnation,
    }
}
