//! Server that plays scripted bytes, for answers that no stand-in gives.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_testbed::Testbed;
use cumin_wire::cloud::{Instance, Kind, Market, State};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// One step of the answer to a request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends bytes.
    Send(Vec<u8>),
    /// Sends bytes when the next request arrives on the connection, before its answer.
    SendLate(Vec<u8>),
    /// Closes the connection.
    Close,
}

/// Returns the steps for a request (head and body), given the number of earlier requests.
pub type Script = Rc<dyn Fn(&str, usize) -> Vec<Step>>;

/// Server that plays a script.
pub struct Scripted {
    pub address: SocketAddr,
    /// Head and body of each request that the script answered.
    pub requests: Rc<RefCell<Vec<String>>>,
    accept: JoinHandle<()>,
}

impl Scripted {
    /// Starts a server. The calls with which nodes look after an endpoint are not scripted.
    pub fn start(script: Script) -> Self {
        Self::start_on(reserve(([127, 0, 0, 1], 0).into()), script)
    }

    /// Starts a server on a reserved address, such as that of one that was stopped.
    pub fn start_on(socket: TcpSocket, script: Script) -> Self {
        let listener = socket.listen(1024).expect("a listener");
        let address = listener.local_addr().expect("an address");
        let requests = Rc::new(RefCell::new(Vec::new()));
        let log = Rc::clone(&requests);
        let accept = actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(serve(stream, Rc::clone(&script), Rc::clone(&log)));
            }
        });
        Self {
            address,
            requests,
            accept,
        }
    }

    /// Closes the listener, and returns its address reserved: connections to it are refused, and no
    /// other test gets it.
    pub async fn stop(self) -> TcpSocket {
        let socket = reserve(self.address);
        self.accept.abort();
        let _ = self.accept.await;
        socket
    }

    /// Lists the server as an instance, so that nodes use it as an endpoint.
    pub fn register(&self, bed: &Testbed, kind: Kind, service: &str, place: &str) {
        register(bed, self.address, kind, service, place);
    }
}

/// Lists an address as an instance, so that nodes use it as an endpoint.
pub fn register(bed: &Testbed, address: SocketAddr, kind: Kind, service: &str, place: &str) {
    bed.cloud.register(Instance {
        id: format!("scripted-{}", address.port()),
        token: String::new(),
        kind,
        service: service.into(),
        place: place.into(),
        class: String::new(),
        market: Market::Reclaimable,
        price: 0.0,
        state: State::Live,
        address: Some(address.to_string()),
    });
}

/// Binds an address without listening on it.
fn reserve(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseport(true).expect("an option");
    socket.bind(address).expect("a port");
    socket
}

async fn serve(mut stream: TcpStream, script: Script, log: Rc<RefCell<Vec<String>>>) {
    let mut input = Vec::new();
    let mut late = Vec::new();
    while stream.read_buf(&mut input).await.is_ok_and(|read| read > 0) {
        let Some(length) = request_length(&input) else {
            continue;
        };
        let request: Vec<u8> = input.drain(..length).collect();
        let request = String::from_utf8_lossy(&request).into_owned();
        let copy = std::mem::take(&mut late);
        if !copy.is_empty() && stream.write_all(&copy).await.is_err() {
            return;
        }
        let steps = if let Some(answer) = support_answer(&request) {
            vec![Step::Send(answer)]
        } else {
            let count = log.borrow().len();
            log.borrow_mut().push(request.clone());
            script(&request, count)
        };
        for step in steps {
            match step {
                Step::Send(bytes) => {
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                    // Keeps the steps in separate segments.
                    actix_rt::time::sleep(Duration::from_millis(5)).await;
                }
                Step::SendLate(bytes) => late = bytes,
                Step::Close => return,
            }
        }
    }
}

/// Returns the answer to a call that is not part of a script.
pub fn support_answer(request: &str) -> Option<Vec<u8>> {
    let line = request.lines().next()?;
    if line.starts_with("GET /v1/orders ") {
        let served =
            r#"{"generation":0,"model":"crumb-8b","version":"","adapters":[],"role":"both"}"#;
        return Some(answer(200, served));
    }
    if line.starts_with("GET /v1/load ") {
        let load = r#"{"seq":1,"queued":0,"backlog":0,"running":0,"slots":8,"free":4096}"#;
        return Some(answer(200, load));
    }
    if line.starts_with("GET /health ") {
        return Some(answer(200, ""));
    }
    let support = ["GET /v1/cache", "DELETE /v1/attempts/"];
    let is_support = support.iter().any(|start| line.starts_with(start));
    is_support.then(|| answer(404, ""))
}

/// Returns the length of the first request in `bytes`, once it is complete.
fn request_length(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|part| part == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..end]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length.map_or(0, |length| length.trim().parse().expect("a length"));
    (bytes.len() >= end + length).then_some(end + length)
}

/// Returns the bytes of an answer with a length.
pub fn answer(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    let kind = "content-type: application/json";
    format!("HTTP/1.1 {status} X\r\n{kind}\r\ncontent-length: {length}\r\n\r\n{body}").into_bytes()
}

/// Returns the bytes of an answer with a length and one more header.
pub fn answer_with(status: u16, header: (&str, &str), body: &str) -> Vec<u8> {
    let (name, value) = header;
    let plain = String::from_utf8(answer(status, body)).expect("text");
    let head = format!("{status} X\r\n{name}: {value}\r\n");
    plain
        .replacen(&format!("{status} X\r\n"), &head, 1)
        .into_bytes()
}

/// Returns the head of an answer in chunks.
pub fn chunked_head() -> Vec<u8> {
    b"HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_vec()
}

/// Returns a chunk of a body; an empty one ends it.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}
