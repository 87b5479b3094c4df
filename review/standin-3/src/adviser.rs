//! The adviser: it handles one call at a time for each calling machine, in turn.

use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::sync::{mpsc, oneshot};
use vg_emulator::reply;
use vg_net::{Body, Limits, Server, ServerHandle, Service, ServiceError, read_body};

use crate::floor::Floor;
use crate::record::{Record, lock};

/// Calls that may wait; further ones are answered with 429.
const WAITING_MAX: usize = 32;

/// Times of the adviser, as the queue's configuration tells them.
#[derive(Debug, Clone, Copy)]
pub struct AdviceTimes {
    /// `decide-ms`.
    pub decide: Duration,
    /// `period-ms`.
    pub period: Duration,
    /// `valid-ms`.
    pub valid: Duration,
}

/// A call that waits for its turn.
struct Call {
    step: String,
    minions: Vec<String>,
    answer: oneshot::Sender<Value>,
}

/// The calls of one machine, which are handled in the order of arrival.
struct Line {
    calls: mpsc::UnboundedSender<Call>,
    /// Calls that wait, without the one that is handled.
    waiting: Arc<AtomicUsize>,
}

struct AdviserService {
    floor: Arc<Floor>,
    record: Record,
    times: AdviceTimes,
    lines: Mutex<HashMap<IpAddr, Line>>,
}

/// Starts the adviser.
pub async fn start(
    floor: &Arc<Floor>,
    record: &Record,
    times: AdviceTimes,
) -> Result<ServerHandle, vg_net::Error> {
    let server = Server::bind(([127, 0, 0, 1], 0).into(), Limits::default()).await?;
    let lines = Mutex::default();
    Ok(server.serve(AdviserService {
        floor: Arc::clone(floor),
        record: record.clone(),
        times,
        lines,
    }))
}

impl AdviserService {
    /// Starts to handle the calls of a machine.
    fn open_line(&self) -> Line {
        let (calls, mut next) = mpsc::unbounded_channel::<Call>();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (floor, record, times) = (Arc::clone(&self.floor), self.record.clone(), self.times);
        let left = Arc::clone(&waiting);
        tokio::spawn(async move {
            while let Some(call) = next.recv().await {
                left.fetch_sub(1, Ordering::Relaxed);
                // The connection of its caller is gone.
                if call.answer.is_closed() {
                    continue;
                }
                tokio::time::sleep(times.decide + times.period * call.minions.len() as u32).await;
                let ticket =
                    |id: &String| json!([id, floor.give_ticket(id, &call.step, times.valid)]);
                let good: Vec<_> = call.minions.iter().map(ticket).collect();
                let answer = json!({"good": good, "valid-ms": times.valid.as_millis() as u64});
                let is_heard = call.answer.send(answer).is_ok();
                let whom = if is_heard { "answered" } else { "caller has gone:" };
                record.add(format!(
                    "adviser: {whom} {} for {} minions",
                    call.step,
                    call.minions.len()
                ));
            }
        });
        Line { calls, waiting }
    }

    /// Puts a call in the line of its machine; `None` if too many are waiting.
    fn enter(
        &self,
        from: IpAddr,
        step: &str,
        minions: Vec<String>,
    ) -> Option<oneshot::Receiver<Value>> {
        let mut lines = lock(&self.lines);
        let line = lines.entry(from).or_insert_with(|| self.open_line());
        if line.waiting.load(Ordering::Relaxed) >= WAITING_MAX {
            return None;
        }
        line.waiting.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        line.calls.send(Call { step: step.to_owned(), minions, answer }).ok()?;
        Some(answered)
    }
}

impl Service for AdviserService {
    async fn call(
        &self,
        request: Request<Incoming>,
        client: SocketAddr,
    ) -> Result<Response<Body>, ServiceError> {
        let bytes = read_body(request.into_body(), 1 << 20).await.map_err(ServiceError::new)?;
        let body: Value = serde_json::from_slice(&bytes).map_err(ServiceError::new)?;
        let (Some(step), Some(minions)) = (body["step"].as_str(), body["workers"].as_array())
        else {
            return Ok(reply(400, &json!({})));
        };
        let ids = minions.iter().filter_map(Value::as_str).map(str::to_owned).collect();
        let Some(answer) = self.enter(client.ip(), step, ids) else {
            self.record.add(format!("adviser: 429 for {step}"));
            return Ok(reply(429, &json!({})));
        };
        match answer.await {
            Ok(answer) => Ok(reply(200, &answer)),
            Err(error) => Err(ServiceError::new(error)),
        }
    }
}
