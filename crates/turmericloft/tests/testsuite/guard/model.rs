//! Three gateways, messages between them and a backend server, one event at a time.

use std::sync::Arc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    HostId, Outcome,
    guard::{
        ActionId, ActionTable, Dispatched, ExecutorLocation, Fingerprint, Permit, Received,
        Submission, SubmitResult, TableLimits,
    },
};

use super::{Answers, answer, host};

const GATEWAYS: usize = 3;
const LIFETIME_MS: u64 = 10_000;

/// The rule that the gateways follow: the real one, or one that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    Sound,
    /// Takes an id of an earlier incarnation of its host as its own.
    AnyIncarnation,
    /// Runs an action for a host whose executor is gone.
    AdoptsOrphans,
    /// Sends again after bytes reached a backend server.
    SendsAgain,
    /// Answers not-run when a dispatched request got no answer in time.
    NotRunOnTimeout,
    /// Answers not-run when a peer gave no reply.
    NotRunOnLostForward,
    /// Treats an id past its time as new.
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
        informed: bool,
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
    End {
        gateway: usize,
        at: usize,
        fate: Fate,
    },
    RunLate {
        at: usize,
    },
    Freeze {
        gateway: usize,
    },
    Thaw {
        gateway: usize,
    },
    Restart {
        gateway: usize,
    },
    Wait {
        ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
pub enum Fate {
    Answered,
    NotStarted,
    CrashedBeforeRun,
    CrashedAfterRun,
    TimedOut,
}

struct Gateway {
    host: HostId,
    table: Arc<ActionTable<Answers>>,
    frozen: bool,
    accepted: Vec<(usize, Permit<Received, Answers>)>,
    dispatched: Vec<(usize, Permit<Dispatched, Answers>)>,
}

struct Action {
    id: ActionId,
    runs: u32,
    answers: Answers,
}

#[derive(Clone, Copy)]
struct Message {
    action: usize,
    to: usize,
}

pub struct World {
    rule: Rule,
    now_ms: u64,
    rng: Pcg64Mcg,
    gateways: Vec<Gateway>,
    killed: Vec<Gateway>,
    actions: Vec<Action>,
    messages: Vec<Message>,
    /// Requests on their way to the backend server that no gateway waits for.
    adrift: Vec<usize>,
}

impl World {
    pub fn new(rule: Rule) -> Self {
        Self {
            rule,
            now_ms: 1,
            rng: Pcg64Mcg::seed_from_u64(1),
            gateways: (0..GATEWAYS).map(|i| Gateway::start(i, 1)).collect(),
            killed: Vec::new(),
            actions: Vec::new(),
            messages: Vec::new(),
            adrift: Vec::new(),
        }
    }

    pub fn apply(&mut self, event: &Event) {
        match *event {
            Event::Issue { gateway } => self.issue(gateway % GATEWAYS),
            Event::Copy {
                action,
                gateway,
                informed,
            } => {
                if let Some(action) = index(action, self.actions.len()) {
                    self.copy(action, gateway % GATEWAYS, informed);
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
                    self.tell(lost.action, self.lost_forward());
                }
            }
            Event::Dispatch { gateway, at } => self.dispatch(gateway % GATEWAYS, at),
            Event::End { gateway, at, fate } => self.end(gateway % GATEWAYS, at, fate),
            Event::RunLate { at } => {
                if let Some(i) = index(at, self.adrift.len()) {
                    let action = self.adrift.swap_remove(i);
                    self.actions[action].runs += 1;
                }
            }
            Event::Freeze { gateway } => self.gateways[gateway % GATEWAYS].frozen = true,
            Event::Thaw { gateway } => self.gateways[gateway % GATEWAYS].frozen = false,
            Event::Restart { gateway } => self.restart(gateway % GATEWAYS),
            Event::Wait { ms } => self.now_ms += ms,
        }
    }

    /// What must hold after every event.
    pub fn check(&self) -> Result<(), String> {
        for (i, action) in self.actions.iter().enumerate() {
            let outcomes = action.answers.outcomes();
            if action.runs > 1 {
                return Err(format!("action {i} ran {} times", action.runs));
            }
            if action.runs > 0 && outcomes.contains(&Outcome::NotRun) {
                return Err(format!("action {i} ran, and a caller was told not-run"));
            }
            let answers = action.answers.all();
            let mut served = answers.iter().filter(|a| a.outcome == Outcome::Served);
            if served.any(|a| a.body != answer_of(i).body) {
                return Err(format!("action {i} got the answer of another"));
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
            answers: Answers::default(),
        });
    }

    fn copy(&mut self, action: usize, gateway: usize, informed: bool) {
        if self.gateways[gateway].frozen {
            return;
        }
        let executor = self.actions[action].id.executor.clone();
        let to = (0..GATEWAYS).find(|&i| self.gateways[i].host.name == executor.name);
        let Some(to) = to else { return };
        let current = informed.then(|| self.gateways[to].host.clone());
        match self.locate(&executor, gateway, current.as_ref()) {
            ExecutorLocation::Local => self.submit(action, gateway),
            ExecutorLocation::Peer(_) => self.messages.push(Message { action, to }),
            ExecutorLocation::Ended if self.rule == Rule::AdoptsOrphans => {
                self.submit(action, gateway)
            }
            ExecutorLocation::Ended => self.tell(action, Outcome::Unknown),
        }
    }

    fn deliver(&mut self, i: usize) {
        let Message { action, to } = self.messages[i];
        if self.gateways[to].frozen {
            return;
        }
        self.messages.swap_remove(i);
        let executor = self.actions[action].id.executor.clone();
        match self.locate(&executor, to, None) {
            ExecutorLocation::Local => self.submit(action, to),
            ExecutorLocation::Peer(_) | ExecutorLocation::Ended => {
                self.tell(action, Outcome::Unknown)
            }
        }
    }

    fn locate<'a>(
        &self,
        executor: &'a HostId,
        gateway: usize,
        current: Option<&HostId>,
    ) -> ExecutorLocation<'a> {
        let own = &self.gateways[gateway].host;
        if self.rule == Rule::AnyIncarnation && executor.name == own.name {
            return ExecutorLocation::Local;
        }
        ExecutorLocation::locate(executor, own, current)
    }

    fn submit(&mut self, action: usize, gateway: usize) {
        let Action { id, answers, .. } = &self.actions[action];
        let expires_ms = match self.rule {
            Rule::IgnoresExpiry => self.now_ms + 1,
            _ => id.expires_ms,
        };
        let submission = Submission {
            key: id.key(),
            fingerprint: Fingerprint::of("booking", "POST", "/", b""),
            expires_ms,
            waiter: answers.clone(),
        };
        match self.gateways[gateway].table.submit(self.now_ms, submission) {
            SubmitResult::Accepted(permit) => {
                self.gateways[gateway].accepted.push((action, permit))
            }
            SubmitResult::Joined | SubmitResult::Completed => {}
            SubmitResult::Conflict(_) => unreachable!("one body an action"),
            SubmitResult::Full(_) | SubmitResult::PastRetention(_) => {
                self.tell(action, Outcome::Unknown)
            }
            SubmitResult::Expired(_) => self.tell(action, Outcome::NotRun),
        }
    }

    fn dispatch(&mut self, gateway: usize, at: usize) {
        let gateway = &mut self.gateways[gateway];
        if let Some(i) = index(at, gateway.accepted.len()).filter(|_| !gateway.frozen) {
            let (action, permit) = gateway.accepted.swap_remove(i);
            gateway.dispatched.push((action, permit.into_dispatched()));
        }
    }

    fn end(&mut self, gateway: usize, at: usize, fate: Fate) {
        let state = &mut self.gateways[gateway];
        let Some(i) = index(at, state.dispatched.len()).filter(|_| !state.frozen) else {
            return;
        };
        let (action, permit) = state.dispatched.swap_remove(i);
        let ran = matches!(fate, Fate::Answered | Fate::CrashedAfterRun);
        self.actions[action].runs += u32::from(ran);
        let outcome = match fate {
            Fate::Answered => Outcome::Served,
            Fate::NotStarted => Outcome::NotRun,
            Fate::CrashedBeforeRun | Fate::CrashedAfterRun | Fate::TimedOut
                if self.rule == Rule::SendsAgain =>
            {
                self.gateways[gateway].dispatched.push((action, permit));
                return;
            }
            Fate::TimedOut => {
                self.adrift.push(action);
                match self.rule {
                    Rule::NotRunOnTimeout => Outcome::NotRun,
                    _ => Outcome::Unknown,
                }
            }
            Fate::CrashedBeforeRun | Fate::CrashedAfterRun => Outcome::Unknown,
        };
        permit.complete(match outcome {
            Outcome::Served => answer_of(action),
            outcome => answer(outcome, ""),
        });
    }

    /// The process is killed: what it held is lost, what it had sent may still run.
    fn restart(&mut self, gateway: usize) {
        let incarnation = self.gateways[gateway].host.incarnation + 1;
        let killed = std::mem::replace(
            &mut self.gateways[gateway],
            Gateway::start(gateway, incarnation),
        );
        self.adrift
            .extend(killed.dispatched.iter().map(|(a, _)| *a));
        self.killed.push(killed);
    }

    fn lost_forward(&self) -> Outcome {
        match self.rule {
            Rule::NotRunOnLostForward => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }

    fn tell(&self, action: usize, outcome: Outcome) {
        let answers = self.actions[action].answers.clone();
        turmericloft::core::guard::Waiter::notify(answers, Arc::new(answer(outcome, "")));
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
            frozen: false,
            accepted: Vec::new(),
            dispatched: Vec::new(),
        }
    }
}

fn answer_of(action: usize) -> turmericloft::core::guard::ActionResponse {
    answer(Outcome::Served, &format!("answer to {action}"))
}

fn index(at: usize, len: usize) -> Option<usize> {
    at.checked_rem(len)
}
