//! Guarded actions: decisions without I/O.

mod action_id;
mod claims;
mod exploration;
mod quarantine;
mod table;
mod world;

use std::sync::Arc;

use parking_lot::Mutex;
use turmericloft::core::{
    HostId, Name, Outcome,
    guard::{ActionResponse, Waiter},
};

/// Answers that one caller got to the copies it sent.
#[derive(Clone, Debug, Default)]
pub struct Answers(Arc<Mutex<Vec<Arc<ActionResponse>>>>);

impl Answers {
    pub fn all(&self) -> Vec<Arc<ActionResponse>> {
        self.0.lock().clone()
    }

    pub fn outcomes(&self) -> Vec<Outcome> {
        self.0.lock().iter().map(|a| a.outcome).collect()
    }
}

impl Waiter for Answers {
    fn notify(self, answer: Arc<ActionResponse>) {
        self.0.lock().push(answer);
    }
}

pub fn answer(outcome: Outcome, body: &str) -> ActionResponse {
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
