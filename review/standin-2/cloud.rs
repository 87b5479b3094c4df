//! The service for machines, which checks no fences, and the orders that it has seen.

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};
use crate::json::Json;
use crate::record::Record;
use crate::worker::Worker;

/// `upkeep-s` of the settings.
const UPKEEP: Duration = Duration::from_secs(2);

/// An order for a machine, as it arrived.
#[derive(Debug, Clone)]
pub struct Order {
    pub machine: String,
    pub holder: String,
    pub fence: u64,
}

struct Machine {
    worker: Worker,
    /// Number of its workers so far.
    lives: u32,
    /// Wave of its last upkeep, and until when it is down.
    wave: Option<u64>,
    down_until: Instant,
}

struct State {
    machines: Vec<Machine>,
    orders: Vec<Order>,
}

#[derive(Clone)]
pub struct Cloud {
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Cloud {
    pub fn start(listener: TcpListener, workers: &[Worker], record: &Record) -> Cloud {
        let machine = |worker: &Worker| Machine {
            worker: worker.clone(),
            lives: 1,
            wave: None,
            down_until: Instant::now(),
        };
        let machines = workers.iter().map(machine).collect();
        let state = Arc::new(Mutex::new(State { machines, orders: Vec::new() }));
        let cloud = Cloud { state, record: record.clone() };
        let server = cloud.clone();
        serve(listener, move |request| server.answer(&request));
        cloud
    }

    pub fn orders(&self) -> Vec<Order> {
        self.state.lock().unwrap().orders.clone()
    }

    fn answer(&self, request: &Request) -> Response {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/v1/machines") => self.list(),
            ("POST", "/v1/machine-upkeep") => self.order(request, &body),
            ("POST", "/v1/machine-move") => self.order(request, &body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn list(&self) -> Response {
        let state = self.state.lock().unwrap();
        let now = Instant::now();
        let rows = state.machines.iter().map(|each| {
            let name = if each.down_until > now { "upkeep" } else { "up" };
            format!(
                "{{\"machine\":\"{}\",\"pool\":\"{}\",\"state\":\"{name}\",\"zone\":\"z-1\",\
                 \"labels\":[\"a\",\"r1-1\"],\"capacity\":{{\"cpu\":16000,\"mem-mb\":65536,\"gpu\":0}},\
                 \"id\":\"{}\"}}",
                each.worker.machine,
                each.worker.service,
                each.worker.id()
            )
        });
        let rows: Vec<String> = rows.collect();
        (200, format!("{{\"machines\":[{}],\"next-token\":null}}", rows.join(",")))
    }

    fn order(&self, request: &Request, body: &Json) -> Response {
        let name = body.get("machine").text().unwrap_or_default().to_owned();
        let holder = request.header("x-verbenagap-lease-holder").unwrap_or_default().to_owned();
        let fence = request.header("x-verbenagap-fence-token").and_then(|text| text.parse().ok());
        let fence = fence.unwrap_or(0);
        let wave = body.get("wave").num();
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let found = state.machines.iter_mut().find(|each| each.worker.machine == name);
        let status = match (found, wave) {
            (None, _) => 400,
            // Moves aren't needed by these cases: there is no other pool for a machine.
            (Some(_), None) => 400,
            (Some(machine), Some(_)) if machine.wave == wave => 200,
            (Some(machine), Some(_)) if machine.down_until > now => 409,
            (Some(machine), Some(_)) => {
                machine.wave = wave;
                machine.down_until = now + UPKEEP;
                machine.lives += 1;
                let id = format!("i-{name}-{}", machine.lives);
                machine.worker.replace(id, UPKEEP);
                200
            }
        };
        self.record.line(format!(
            "cloud: {} for {name} by {holder} with fence {fence}: {status}",
            request.path
        ));
        state.orders.push(Order { machine: name, holder, fence });
        let reason = if status == 409 { "{\"reason\":\"busy\"}" } else { "{}" };
        (status, reason.to_owned())
    }
}

/// Returns the address of a listener.
pub fn addr(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap()
}
