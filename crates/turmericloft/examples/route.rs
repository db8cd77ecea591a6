//! Routes simulated calls with [`ServiceScheduler`] alone: no sockets, daemons or clock.
//!
//! One endpoint responds in 2 ms and one in 10 ms. The scheduler learns that from the responses and
//! sends most calls to the faster one.
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

/// Number of calls; one arrives each millisecond.
const CALLS: u64 = 2_000;
/// Service time of each endpoint.
const SERVICE_TIMES: [Duration; 2] = [Duration::from_millis(2), Duration::from_millis(10)];
/// Requests that each endpoint processes concurrently.
const SLOTS: u32 = 4;
/// Time from arrival to deadline of each call.
const DEADLINE: Duration = Duration::from_millis(100);

/// A call in flight.
struct InFlightCall {
    flow: FlowId,
    endpoint: EndpointId,
    started: Instant,
}

impl InFlightCall {
    fn is_complete(&self, now: Instant) -> bool {
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
    // Time and randomness are arguments: with the same seed, every run makes the same decisions.
    let epoch = Instant::now();
    let rng = Pcg64Mcg::seed_from_u64(1);
    let mut scheduler = ServiceScheduler::new(epoch, &settings, rng);
    let mut open: Vec<InFlightCall> = Vec::new();
    let mut succeeded = [0; 2];
    let mut rejected = 0;
    for ms in 0..CALLS {
        let now = epoch + Duration::from_millis(ms);

        // Responses: the scheduler learns latency and load from each one.
        for call in open.extract_if(.., |call| call.is_complete(now)) {
            succeeded[call.endpoint.0 as usize] += 1;
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

        // Queued calls: a response may have made capacity available for some of them.
        while let Some((ticket, decision)) = scheduler.next_decision(now) {
            match decision {
                Dequeued::Start(endpoint) => open.push(InFlightCall {
                    flow: ticket.flow(),
                    endpoint,
                    started: now,
                }),
                Dequeued::Reject(_) => rejected += 1,
            }
        }

        // A new call: sent now, queued or rejected.
        let call = CallRequest {
            caller: &caller,
            weight: 1,
            cost: 1,
            deadline: now + DEADLINE,
            limits: CallerLimits::default(),
        };
        match scheduler.admit(now, &call) {
            Dispatch::Start(flow, endpoint) => open.push(InFlightCall {
                flow,
                endpoint,
                started: now,
            }),
            Dispatch::Queue(_) => {}
            Dispatch::Reject(_) => rejected += 1,
        }
    }
    for (service_time, calls) in SERVICE_TIMES.iter().zip(succeeded) {
        println!("endpoint with service time {service_time:?}: {calls} calls succeeded");
    }
    println!(
        "{rejected} rejected, {} in flight, {} queued",
        open.len(),
        scheduler.queued()
    );
    Ok(())
}
