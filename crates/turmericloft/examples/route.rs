//! Routes calls with the decision modules alone: no sockets, no daemons, no clock.
//!
//! One endpoint answers in 2 ms and one in 10 ms; the scheduler learns that from the answers.
//! Run it with `cargo run -p turmericloft --example route`.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use turmericloft::core::{
    Name, NameError,
    admission::{CallerLimits, FlowId},
    routing::{
        CallOutcome, CallRequest, Dequeued, Dispatch, EndpointId, EndpointSettings, FinishedCall,
        LoadReport, SchedulerSettings, ServiceScheduler,
    },
};

/// Calls, one each millisecond.
const CALLS: u64 = 2_000;
/// Time that each endpoint takes for a call.
const SERVICE_TIMES: [Duration; 2] = [Duration::from_millis(2), Duration::from_millis(10)];
/// Requests that an endpoint works on at the same time.
const SLOTS: u32 = 4;
/// Time within which a caller needs its answer.
const DEADLINE: Duration = Duration::from_millis(100);

/// A call that was sent and is not answered yet.
struct OpenCall {
    flow: FlowId,
    endpoint: EndpointId,
    started: Instant,
}

impl OpenCall {
    fn is_answered(&self, now: Instant) -> bool {
        now >= self.started + SERVICE_TIMES[self.endpoint.0 as usize]
    }
}

fn main() -> Result<(), NameError> {
    let caller = Name::new("web")?;
    let endpoint = EndpointSettings {
        slots: SLOTS,
        max_in_flight: SLOTS,
        same_zone: true,
    };
    let settings = SchedulerSettings {
        endpoints: &[endpoint; 2],
        queue_capacity: 64,
        extra_calls_percent: 5,
    };
    // Time and randomness are arguments: with one seed, every run decides the same.
    let epoch = Instant::now();
    let rng = Pcg64Mcg::seed_from_u64(1);
    let mut scheduler = ServiceScheduler::new(epoch, &settings, rng);
    let mut open: Vec<OpenCall> = Vec::new();
    let mut answered = [0; 2];
    let mut refused = 0;
    for ms in 0..CALLS {
        let now = epoch + Duration::from_millis(ms);

        // Answers: the scheduler learns latency and load from each.
        for call in open.extract_if(.., |call| call.is_answered(now)) {
            answered[call.endpoint.0 as usize] += 1;
            let load = LoadReport {
                in_flight: scheduler.endpoints().in_flight(call.endpoint),
                slots: SLOTS,
            };
            scheduler.release(call.flow);
            scheduler.record_finished(
                now,
                &FinishedCall {
                    endpoint: call.endpoint,
                    started: call.started,
                    outcome: CallOutcome::Succeeded,
                    load: Some(load),
                    is_draining: false,
                },
            );
        }

        // Calls that waited: an answer may have made room for some of them.
        while let Some((ticket, decision)) = scheduler.next_decision(now) {
            match decision {
                Dequeued::Start(endpoint) => open.push(OpenCall {
                    flow: ticket.flow(),
                    endpoint,
                    started: now,
                }),
                Dequeued::Reject(_) => refused += 1,
            }
        }

        // A new call: sent now, kept waiting, or refused at once.
        let call = CallRequest {
            caller: &caller,
            weight: 1,
            cost: 1,
            deadline: now + DEADLINE,
            limits: CallerLimits::default(),
        };
        match scheduler.admit(now, &call) {
            Dispatch::Start(flow, endpoint) => open.push(OpenCall {
                flow,
                endpoint,
                started: now,
            }),
            Dispatch::Queue(_) => {}
            Dispatch::Reject(_) => refused += 1,
        }
    }
    for (service_time, answers) in SERVICE_TIMES.iter().zip(answered) {
        println!("endpoint of {service_time:?}: {answers} calls answered");
    }
    println!(
        "{refused} refused, {} in flight, {} waiting",
        open.len(),
        scheduler.queued()
    );
    Ok(())
}
