//! One cell of the matrix: a guarded action, the faults injected on its path, its resends, and the
//! guarantees that must hold.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use strum::Display;
use tokio::time::timeout;
use turmericloft::util::fault_point::FaultPoint;

use super::{
    fault::Fault,
    hooks::{arm, disarm},
    installation::{GATEWAY_COUNT, Installation},
};
use crate::support::{Booking, BookingResponse};

/// Time after which a caller counts as having received no final response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// How the action is identified: by an id issued by a gateway or by the caller's own key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum IdKind {
    Issued,
    OwnKey,
}

#[derive(Clone, Copy, Debug)]
pub struct Injection {
    pub point: FaultPoint,
    pub fault: Fault,
}

#[derive(Clone, Debug)]
pub struct Cell {
    pub id_kind: IdKind,
    pub injections: Vec<Injection>,
}

/// What was observed in a cell.
#[derive(Debug)]
pub struct CellResult {
    pub cell: Cell,
    /// Injections whose point was not reached.
    pub not_injected: usize,
    /// Runs of the action at all backend servers.
    pub runs: u64,
    /// Response to the first copy; `None` if its connection was closed or it timed out.
    pub first_response: Option<BookingResponse>,
    /// Responses to the resends; `None` if the connection was closed or the resend timed out.
    pub resend_responses: Vec<Option<BookingResponse>>,
    /// Copies without a response within [`RESPONSE_TIMEOUT`].
    pub timed_out: usize,
    tag: String,
}

impl Cell {
    pub fn new(id_kind: IdKind, injections: Vec<Injection>) -> Self {
        Self {
            id_kind,
            injections,
        }
    }

    /// Starts an installation, sends the action while its faults are injected, and resends it to
    /// every gateway once the faults are cleared.
    pub async fn run(self) -> CellResult {
        static NEXT_CELL: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT_CELL.fetch_add(1, Ordering::Relaxed);
        let installation = Installation::start(number).await;
        let tag = format!("action-{number}");
        let forwarded = |i: &Injection| i.point == FaultPoint::Forwarded;
        let first_gateway = usize::from(self.injections.iter().any(forwarded));
        let booking = match self.id_kind {
            IdKind::Issued => Booking::issued_by(installation.gateways[0].address, &tag).await,
            IdKind::OwnKey => Booking::with_key(&tag),
        };
        for Injection { point, fault } in self.injections.clone() {
            let installation = Arc::clone(&installation);
            let inject = move |gateway| fault.inject(&installation, gateway);
            arm(number, point, Box::new(inject));
        }
        let mut timed_out = 0;
        let mut first = installation.send(&booking, first_gateway);
        let mut resend_responses = Vec::new();
        if self.freezes_gateway() {
            let responded = async {
                while !first.is_finished() {
                    tokio::task::yield_now().await
                }
            };
            tokio::select! {
                () = installation.frozen.notified() => {}
                () = responded => {}
            }
            let others = (0..GATEWAY_COUNT)
                .filter(|&g| g != first_gateway && !installation.gateways[g].is_frozen());
            for gateway in others {
                resend_responses.push(send(&installation, &booking, gateway, &mut timed_out).await);
            }
            installation.gateways.iter().for_each(|g| g.thaw());
        }
        let first_response = match timeout(RESPONSE_TIMEOUT, &mut first).await {
            Ok(response) => response.ok().flatten(),
            Err(_) => {
                timed_out += 1;
                None
            }
        };
        let not_injected = disarm(number);
        let resends: Vec<_> = std::mem::take(&mut *installation.resends.lock());
        for resend in resends {
            match timeout(RESPONSE_TIMEOUT, resend).await {
                Ok(response) => resend_responses.push(response.ok().flatten()),
                Err(_) => timed_out += 1,
            }
        }
        installation.clear_faults();
        for gateway in 0..GATEWAY_COUNT {
            resend_responses.push(send(&installation, &booking, gateway, &mut timed_out).await);
        }
        CellResult {
            cell: self,
            not_injected,
            runs: installation.runs(&tag),
            first_response,
            resend_responses,
            timed_out,
            tag,
        }
    }

    fn freezes_gateway(&self) -> bool {
        let freezes = |i: &Injection| i.fault == Fault::GatewayFrozen;
        self.injections.iter().any(freezes)
    }
}

async fn send(
    installation: &Installation,
    booking: &Booking,
    gateway: usize,
    timed_out: &mut usize,
) -> Option<BookingResponse> {
    let address = installation.gateways[gateway].address;
    match timeout(RESPONSE_TIMEOUT, booking.send(address)).await {
        Ok(response) => response,
        Err(_) => {
            *timed_out += 1;
            None
        }
    }
}

impl CellResult {
    pub fn all_injected(&self) -> bool {
        self.not_injected == 0
    }

    /// Descriptions of the guarantees that the cell broke.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        let responses: Vec<_> = self
            .first_response
            .iter()
            .chain(self.resend_responses.iter().flatten())
            .collect();
        let not_run = responses.iter().any(|r| r.outcome() == "not-run");
        let is_foreign = |r: &&&BookingResponse| r.status == 200 && !r.body.contains(&self.tag);
        if self.runs > 1 {
            violations.push(format!("ran {} times: {self:?}", self.runs));
        }
        if not_run && self.runs > 0 {
            violations.push(format!(
                "the outcome not-run was returned for an action that ran: {self:?}"
            ));
        }
        if responses.iter().any(|r| is_foreign(&r)) {
            violations.push(format!("a response belongs to another action: {self:?}"));
        }
        if self.timed_out > 0 {
            violations.push(format!("callers received no final response: {self:?}"));
        }
        violations
    }

    /// Number of runs, outcome of the first copy and distinct outcomes of the resends, such as
    /// `1 served / cut served`; `cut` is a copy without a response.
    pub fn summary(&self) -> String {
        let outcome = |r: &Option<BookingResponse>| match r {
            Some(response) => response.outcome(),
            None => "cut".to_owned(),
        };
        let resend_outcomes: HashSet<_> = self.resend_responses.iter().map(outcome).collect();
        let mut resend_outcomes: Vec<_> = resend_outcomes.into_iter().collect();
        resend_outcomes.sort();
        format!(
            "{} {} / {}",
            self.runs,
            outcome(&self.first_response),
            resend_outcomes.join(" ")
        )
    }
}
