//! Model of three gateways, the messages between them and a backend server, which applies one event
//! at a time.

use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    HostId, Outcome,
    guard::{
        ActionId, ActionTable, Dispatched, Executor, Fingerprint, Permit, Received, Submission,
        Submitted, TableLimits,
    },
};

use super::{Responses, host, response};

const GATEWAYS: usize = 3;
const LIFETIME_MS: u64 = 10_000;

/// Rule that the gateways follow: the correct one, or one that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    Correct,
    /// Accepts ids of other incarnations of its host.
    IgnoresIncarnation,
    /// Takes over actions whose executor has ended.
    TakesOverActions,
    /// Retries after bytes may have reached a backend server.
    RetriesAfterSend,
    /// Reports not-run when a dispatched request times out.
    NotRunOnTimeout,
    /// Reports not-run when a peer does not reply.
    NotRunOnLostForward,
    /// Accepts expired ids as new.
    IgnoresExpiry,
}

#[derive(Clone, Debug)]
pub enum Event {
    Issue {
        gateway: usize,
    },
    Copy {
        action: usize,
        gateway: usize,
        /// Whether the gateway knows the current incarnation of the executor's host.
        is_current: bool,
    },
    Deliver {
        message: usize,
    },
    Duplicate {
        message: usize,
    },
    Lose {
        message: usize,
    },
    Dispatch {
        gateway: usize,
        at: usize,
    },
    Complete {
        gateway: usize,
        at: usize,
        result: BackendResult,
    },
    RunDetached {
        at: usize,
    },
    Pause {
        gateway: usize,
    },
    Resume {
        gateway: usize,
    },
    Restart {
        gateway: usize,
    },
    AdvanceClock {
        ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
pub enum BackendResult {
    Responded,
    NotStarted,
    CrashedBeforeRun,
    CrashedAfterRun,
    TimedOut,
}

struct Gateway {
    host: HostId,
    table: Arc<ActionTable<Responses>>,
    paused: bool,
    accepted: Vec<(usize, Permit<Received, Responses>)>,
    dispatched: Vec<(usize, Permit<Dispatched, Responses>)>,
}

struct Action {
    id: ActionId,
    runs: u32,
    responses: Responses,
}

#[derive(Clone, Copy)]
struct Message {
    action: usize,
    to: usize,
}

pub struct Model {
    rule: Rule,
    now_ms: u64,
    rng: Pcg64Mcg,
    gateways: Vec<Gateway>,
    killed: Vec<Gateway>,
    actions: Vec<Action>,
    messages: Vec<Message>,
    /// Actions whose request is on its way to the backend server while no gateway waits for it.
    detached: Vec<usize>,
}

impl Model {
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            now_ms: 1,
            rng: Pcg64Mcg::seed_from_u64(1),
            gateways: (0..GATEWAYS).map(|i| Gateway::start(i, 1)).collect(),
            killed: Vec::new(),
            actions: Vec::new(),
            messages: Vec::new(),
            detached: Vec::new(),
        }
    }

    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Issue { gateway } => self.issue(gateway % GATEWAYS),
            Event::Copy {
                action,
                gateway,
                is_current,
            } => {
                if let Some(action) = index(action, self.actions.len()) {
                    self.copy(action, gateway % GATEWAYS, is_current);
                }
            }
            Event::Deliver { message } => {
                if let Some(i) = index(message, self.messages.len()) {
                    self.deliver(i);
                }
            }
            Event::Duplicate { message } => {
                if let Some(i) = index(message, self.messages.len()) {
                    self.messages.push(self.messages[i]);
                }
            }
            Event::Lose { message } => {
                if let Some(i) = index(message, self.messages.len()) {
                    let lost = self.messages.swap_remove(i);
                    self.notify(lost.action, self.lost_forward());
                }
            }
            Event::Dispatch { gateway, at } => self.dispatch(gateway % GATEWAYS, at),
            Event::Complete {
                gateway,
                at,
                result,
            } => self.complete(gateway % GATEWAYS, at, result),
            Event::RunDetached { at } => {
                if let Some(i) = index(at, self.detached.len()) {
                    let action = self.detached.swap_remove(i);
                    self.actions[action].runs += 1;
                }
            }
            Event::Pause { gateway } => self.gateways[gateway % GATEWAYS].paused = true,
            Event::Resume { gateway } => self.gateways[gateway % GATEWAYS].paused = false,
            Event::Restart { gateway } => self.restart(gateway % GATEWAYS),
            Event::AdvanceClock { ms } => self.now_ms += ms,
        }
    }

    /// Checks the invariants that must hold after every event.
    pub fn check(&self) -> Result<(), String> {
        for (i, action) in self.actions.iter().enumerate() {
            let outcomes = action.responses.outcomes();
            if action.runs > 1 {
                return Err(format!("action {i} ran {} times", action.runs));
            }
            if action.runs > 0 && outcomes.contains(&Outcome::NotRun) {
                return Err(format!(
                    "action {i} ran, but a caller got the outcome not-run"
                ));
            }
            let responses = action.responses.all();
            let mut served = responses.iter().filter(|r| r.outcome == Outcome::Served);
            if served.any(|r| r.body != response_of(i).body) {
                return Err(format!("action {i} got the response of another action"));
            }
        }
        Ok(())
    }

    fn issue(&mut self, gateway: usize) {
        let executor = self.gateways[gateway].host.clone();
        let id = ActionId::issue(executor, self.now_ms + LIFETIME_MS, &mut self.rng);
        self.actions.push(Action {
            id,
            runs: 0,
            responses: Responses::default(),
        });
    }

    fn copy(&mut self, action: usize, gateway: usize, is_current: bool) {
        if self.gateways[gateway].paused {
            return;
        }
        let executor = self.actions[action].id.executor.clone();
        let to = (0..GATEWAYS).find(|&i| self.gateways[i].host.name == executor.name);
        let Some(to) = to else { return };
        let current = is_current.then(|| self.gateways[to].host.clone());
        match self.locate(&executor, gateway, current.as_ref()) {
            Executor::Local => self.submit(action, gateway),
            Executor::Peer(_) => self.messages.push(Message { action, to }),
            Executor::Ended if self.rule == Rule::TakesOverActions => self.submit(action, gateway),
            Executor::Ended => self.notify(action, Outcome::Unknown),
        }
    }

    fn deliver(&mut self, i: usize) {
        let Message { action, to } = self.messages[i];
        if self.gateways[to].paused {
            return;
        }
        self.messages.swap_remove(i);
        let executor = self.actions[action].id.executor.clone();
        match self.locate(&executor, to, None) {
            Executor::Local => self.submit(action, to),
            Executor::Peer(_) | Executor::Ended => self.notify(action, Outcome::Unknown),
        }
    }

    fn locate<'a>(
        &self,
        executor: &'a HostId,
        gateway: usize,
        current: Option<&HostId>,
    ) -> Executor<'a> {
        let own = &self.gateways[gateway].host;
        if self.rule == Rule::IgnoresIncarnation && executor.name == own.name {
            return Executor::Local;
        }
        Executor::locate(executor, own, current)
    }

    fn submit(&mut self, action: usize, gateway: usize) {
        let Action { id, responses, .. } = &self.actions[action];
        let expires_ms = match self.rule {
            Rule::IgnoresExpiry => self.now_ms + 1,
            _ => id.expires_ms,
        };
        let submission = Submission {
            key: id.key(),
            fingerprint: Fingerprint::of("booking", "POST", "/", b""),
            expires_ms,
            waiter: responses.clone(),
        };
        match self.gateways[gateway].table.submit(self.now_ms, submission) {
            Submitted::Accepted(permit) => self.gateways[gateway].accepted.push((action, permit)),
            Submitted::Joined | Submitted::Completed => {}
            Submitted::Conflict(_) => unreachable!("copies of an action have the same body"),
            Submitted::Full(_) | Submitted::Removed(_) => self.notify(action, Outcome::Unknown),
            Submitted::Expired(_) => self.notify(action, Outcome::NotRun),
        }
    }

    fn dispatch(&mut self, gateway: usize, at: usize) {
        let gateway = &mut self.gateways[gateway];
        if let Some(i) = index(at, gateway.accepted.len()).filter(|_| !gateway.paused) {
            let (action, permit) = gateway.accepted.swap_remove(i);
            gateway.dispatched.push((action, permit.into_dispatched()));
        }
    }

    fn complete(&mut self, gateway: usize, at: usize, result: BackendResult) {
        let state = &mut self.gateways[gateway];
        let Some(i) = index(at, state.dispatched.len()).filter(|_| !state.paused) else {
            return;
        };
        let (action, permit) = state.dispatched.swap_remove(i);
        let ran = matches!(
            result,
            BackendResult::Responded | BackendResult::CrashedAfterRun
        );
        self.actions[action].runs += u32::from(ran);
        let outcome = match result {
            BackendResult::Responded => Outcome::Served,
            BackendResult::NotStarted => Outcome::NotRun,
            BackendResult::CrashedBeforeRun
            | BackendResult::CrashedAfterRun
            | BackendResult::TimedOut
                if self.rule == Rule::RetriesAfterSend =>
            {
                self.gateways[gateway].dispatched.push((action, permit));
                return;
            }
            BackendResult::TimedOut => {
                self.detached.push(action);
                match self.rule {
                    Rule::NotRunOnTimeout => Outcome::NotRun,
                    _ => Outcome::Unknown,
                }
            }
            BackendResult::CrashedBeforeRun | BackendResult::CrashedAfterRun => Outcome::Unknown,
        };
        permit.complete(match outcome {
            Outcome::Served => response_of(action),
            outcome => response(outcome, ""),
        });
    }

    /// Kills and restarts a gateway. Its state is lost, and requests that it dispatched may still
    /// run.
    fn restart(&mut self, gateway: usize) {
        let incarnation = self.gateways[gateway].host.incarnation + 1;
        let killed = std::mem::replace(
            &mut self.gateways[gateway],
            Gateway::start(gateway, incarnation),
        );
        self.detached
            .extend(killed.dispatched.iter().map(|(a, _)| *a));
        self.killed.push(killed);
    }

    fn lost_forward(&self) -> Outcome {
        match self.rule {
            Rule::NotRunOnLostForward => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    fn notify(&self, action: usize, outcome: Outcome) {
        let responses = self.actions[action].responses.clone();
        turmericloft::core::guard::Waiter::notify(responses, Arc::new(response(outcome, "")));
    }
}

impl Gateway {
    fn start(number: usize, incarnation: u64) -> Self {
        let limits = TableLimits {
            actions: 1_024,
            bytes: 1 << 20,
            response_bytes: 64,
        };
        Self {
            host: host(&format!("gw-{number}"), incarnation),
            table: ActionTable::new(limits),
            paused: false,
            accepted: Vec::new(),
            dispatched: Vec::new(),
        }
    }
}

fn response_of(action: usize) -> turmericloft::core::guard::ActionResponse {
    response(Outcome::Served, &format!("response to {action}"))
}

fn index(at: usize, len: usize) -> Option<usize> {
    at.checked_rem(len)
}
