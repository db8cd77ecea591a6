//! What happens in the simulated fleet: questions, answers and requests.

use std::time::Duration;

use turmericloft::core::quota::{
    ASK_TIMEOUT, QuotaAnswer, QuotaCall, QuotaGrant, QuotaOutcome, QuotaRejection, QuotaSettlement,
    QuotaStep, RestartWrite, SettledGrant,
};

use super::fleet::{Fleet, organisation};

/// Time that an endpoint takes for a request, in milliseconds.
const SERVICE_MS: u64 = 100;

pub(super) enum Event {
    Request(usize),
    Question {
        from: usize,
        to: usize,
        number: u64,
    },
    Answer {
        to: usize,
        from: usize,
        number: u64,
        answer: QuotaAnswer,
    },
    Timeout {
        gateway: usize,
        number: u64,
    },
    Send {
        gateway: usize,
        incarnation: u32,
        grant: QuotaGrant,
    },
    Finish {
        gateway: usize,
        incarnation: u32,
        grant: QuotaGrant,
    },
    Settlement {
        to: usize,
        settlement: QuotaSettlement,
    },
    ReadList(usize),
    LandWrite {
        gateway: usize,
        write: RestartWrite,
    },
}

impl Fleet {
    pub(super) fn handle(&mut self, event: Event) {
        let gateway = self.handle_at(event);
        self.write_record(gateway);
    }

    /// Handles an event, and returns the gateway at which it was.
    fn handle_at(&mut self, event: Event) -> usize {
        let gateway = match &event {
            Event::Request(gateway) | Event::ReadList(gateway) => *gateway,
            Event::Question { to, .. }
            | Event::Answer { to, .. }
            | Event::Settlement { to, .. } => *to,
            Event::Timeout { gateway, .. }
            | Event::Send { gateway, .. }
            | Event::Finish { gateway, .. }
            | Event::LandWrite { gateway, .. } => *gateway,
        };
        let frozen_until = self.gateways[gateway].frozen_until;
        if frozen_until > self.now {
            self.schedule_in(frozen_until - self.now, event);
            return gateway;
        }
        let now = self.now;
        match event {
            Event::Request(gateway) => {
                self.counts.requests += 1;
                let g = &mut self.gateways[gateway];
                let organisation = organisation(g.quota);
                if let Some(rejection) = g.quotas.is_rejected_unasked(now, &organisation) {
                    self.count_rejection(rejection);
                    return gateway;
                }
                let call = g.quotas.start_call(now, &organisation);
                self.step(gateway, call.expect("a quota"));
            }
            Event::Question { from, to, number } => {
                let g = &mut self.gateways[to];
                let answer = g.quotas.answer(now, "north", &g.quota);
                let answer = Event::Answer {
                    to: from,
                    from: to,
                    number,
                    answer,
                };
                self.send_datagram(to, from, answer);
            }
            Event::Answer {
                to,
                from,
                number,
                answer,
            } => match self.gateways[to].waiting.remove(&number) {
                Some(call) => self.record_answer(to, call, Some(answer)),
                None => self.give_back(to, from, answer),
            },
            Event::Timeout { gateway, number } => {
                if let Some(call) = self.gateways[gateway].waiting.remove(&number) {
                    self.record_answer(gateway, call, None);
                }
            }
            Event::Send {
                gateway,
                incarnation,
                grant,
            } => self.send(gateway, incarnation, grant),
            Event::Finish {
                gateway,
                incarnation,
                grant,
            } => {
                let outcome = QuotaOutcome::Arrived(grant.age(now));
                self.finish(gateway, incarnation, &grant, outcome);
            }
            Event::Settlement { to, settlement } => self.gateways[to].quotas.settle(&settlement),
            Event::ReadList(gateway) => self.read_list(gateway),
            Event::LandWrite { gateway, write } => self.land_write(gateway, write),
        }
        gateway
    }

    fn step(&mut self, gateway: usize, mut call: QuotaCall) {
        let now = self.now;
        let g = &mut self.gateways[gateway];
        match g.quotas.next_step(now, &mut call) {
            QuotaStep::Ask(host) => {
                let to = self.gateways.iter().position(|g| g.host == host);
                let to = to.expect("a gateway of the fleet");
                self.next_number += 1;
                let number = self.next_number;
                self.gateways[gateway].waiting.insert(number, call);
                self.counts.questions += 1;
                let question = Event::Question {
                    from: gateway,
                    to,
                    number,
                };
                self.send_datagram(gateway, to, question);
                self.schedule_in(ASK_TIMEOUT, Event::Timeout { gateway, number });
            }
            QuotaStep::Granted(grant) => self.use_grant(gateway, grant),
            QuotaStep::Rejected(rejection) => self.count_rejection(rejection),
        }
    }

    fn record_answer(&mut self, gateway: usize, mut call: QuotaCall, answer: Option<QuotaAnswer>) {
        let quotas = &mut self.gateways[gateway].quotas;
        match quotas.record_answer(self.now, &mut call, answer) {
            Some(grant) => self.use_grant(gateway, grant),
            None => self.step(gateway, call),
        }
    }

    /// Gives back a grant that came too late.
    fn give_back(&mut self, from: usize, to: usize, answer: QuotaAnswer) {
        if let QuotaAnswer::Granted { grant, .. } = answer {
            let returned = SettledGrant {
                grant,
                arrived_within_ms: None,
            };
            let settlement = QuotaSettlement {
                grants: vec![returned],
            };
            self.send_datagram(from, to, Event::Settlement { to, settlement });
        }
    }

    fn use_grant(&mut self, gateway: usize, grant: QuotaGrant) {
        let incarnation = self.gateways[gateway].incarnation;
        let delay = self.request_delay(self.delays.send_ms);
        let send = Event::Send {
            gateway,
            incarnation,
            grant,
        };
        self.schedule_in(delay, send);
    }

    /// Sends a granted request unless its grant is void, or its process has ended.
    fn send(&mut self, gateway: usize, incarnation: u32, grant: QuotaGrant) {
        if self.gateways[gateway].incarnation != incarnation {
            return;
        }
        if !grant.is_valid(self.now) {
            return self.finish(gateway, incarnation, &grant, QuotaOutcome::NotRun);
        }
        let transit = self.request_delay(self.delays.transit_ms);
        self.arrivals.push(self.now + transit);
        let finish = Event::Finish {
            gateway,
            incarnation,
            grant,
        };
        self.schedule_in(transit + Duration::from_millis(SERVICE_MS), finish);
    }

    fn finish(
        &mut self,
        gateway: usize,
        incarnation: u32,
        grant: &QuotaGrant,
        outcome: QuotaOutcome,
    ) {
        let g = &mut self.gateways[gateway];
        if g.incarnation != incarnation {
            return;
        }
        if let Some((owner, settlement)) = g.quotas.finish(self.now, grant, outcome) {
            let to = self.gateways.iter().position(|g| g.host == owner);
            let to = to.expect("a gateway of the fleet");
            self.send_datagram(gateway, to, Event::Settlement { to, settlement });
        }
    }

    fn count_rejection(&mut self, rejection: QuotaRejection) {
        match rejection {
            QuotaRejection::Exhausted { .. } => self.counts.exhausted += 1,
            QuotaRejection::NoOwner => self.counts.no_owner += 1,
        }
    }
}
