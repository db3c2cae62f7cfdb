//! Stand-in for a worker of a plain service, and for the platform's API.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;

/// Interval at which a worker writes its entry, as in the settings of the entries.
const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// A request that a worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub id: String,
    pub tenant: String,
    /// Request line.
    pub line: String,
    pub worker: String,
}

pub struct Worker {
    pub name: String,
    pub runs: Mutex<Vec<Run>>,
}

impl Worker {
    /// Starts a worker that registers itself as ready.
    pub fn start(name: &str, service: &str, address: SocketAddr, store: Arc<Store>) -> Arc<Self> {
        let worker = Arc::new(Self {
            name: name.to_owned(),
            runs: Mutex::default(),
        });
        let listener = TcpListener::bind(address).expect("the worker's port");
        let served = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = served.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        let (key, service) = (name.to_owned(), service.to_owned());
        thread::spawn(move || {
            let born = crate::unix_ms();
            for sequence in 1.. {
                let entry = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"z\",\
                     \"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\
                     \"born\":{born},\"sequence\":{sequence}}}"
                );
                store.put("keyed.servers", &key, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
        worker
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Ok(Some(request)) = http::read_message(&mut stream, &mut buffer) {
            let text = |name: &str| request.header(name).unwrap_or_default().to_owned();
            let id = text("x-attempt-id");
            if text("x-target-instance") != self.name {
                let headers = format!("X-Attempt-Id: {id}\r\n");
                if http::answer(&mut stream, 421, &headers, b"").is_err() {
                    return;
                }
                continue;
            }
            self.runs.lock().unwrap().push(Run {
                at: Instant::now(),
                id: id.clone(),
                tenant: text("x-tenant"),
                line: request.start.clone(),
                worker: self.name.clone(),
            });
            thread::sleep(WORK);
            let headers = format!(
                "X-Attempt-Id: {id}\r\nX-Response-Seal: {}.{id}\r\nKeep-Alive: timeout=5\r\n",
                self.name
            );
            let body = format!("{{\"id\":\"{id}\"}}");
            if http::answer(&mut stream, 200, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Starts a stand-in for the platform's API, which accepts all calls.
pub fn start_cloud(address: SocketAddr) {
    let listener = TcpListener::bind(address).expect("the platform's port");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || accept_calls(stream));
        }
    });
}

fn accept_calls(mut stream: TcpStream) {
    let mut buffer = Vec::new();
    while let Ok(Some(_)) = http::read_message(&mut stream, &mut buffer) {
        if http::answer(&mut stream, 200, "", b"{}").is_err() {
            return;
        }
    }
}
