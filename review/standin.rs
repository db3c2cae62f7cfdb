//! Stand-ins for the scripts of the review: store, cloud, workers and callers on loopback
//! addresses, around entries as separate processes.
//!
//! `standin CASE FOLDER` runs one case and writes `record.txt` to the folder. It exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment, the case runs without its disruption.

mod drain;
mod entry;
mod http;
mod memory;
mod resume;
mod slow;
mod store;
mod worker;

use std::fs::File;
use std::io::Write as _;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "desk.example";

/// Maximum size of a request's body, as in the site files.
pub const MAX_BODY_BYTES: usize = 4_194_304;

/// API key of the callers.
pub const KEY: &str = "key-1";

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn write(&self, text: &str) {
        let seconds = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record's lock");
        writeln!(file, "{seconds:8.3} s  {text}").expect("a line is written");
    }
}

/// What a case runs with.
pub struct Case {
    pub record: Record,
    /// Temporary folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
    pub store: Arc<Store>,
    /// Addresses of store and cloud.
    pub platform: [SocketAddr; 2],
}

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run, and why.
    Unable(&'static str),
}

/// Returns a loopback address of this run; its second octet depends on the process.
pub fn loopback(host: u8) -> IpAddr {
    let second = u8::try_from(64 + std::process::id() % 128).expect("below 192");
    IpAddr::V4(Ipv4Addr::new(127, second, 1, host))
}

impl Case {
    fn new(folder: &Path) -> Self {
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let record = Record::create(&folder.join("record.txt"));
        let platform = [250, 251].map(|host| entry::free_address(loopback(host)));
        start_cloud(platform[1], record.clone());
        Self {
            record,
            folder: temporary,
            trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            store: Store::start(platform[0]),
            platform,
        }
    }

    /// Writes the operator's manifest with the given routes and services.
    pub fn publish(&self, routes: &str, services: &str) {
        let manifest = format!(
            "{{\"version\":2,\"routes\":[{routes}],\"services\":[{services}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY_BYTES},\
             \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
             \"tenants\":[{{\"name\":\"bakers\",\"api_keys\":[\"{KEY}\"],\"unit\":\"tokens\",\
             \"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}}]}}"
        );
        self.store.put("keyed.op", "config", &manifest);
    }
}

/// Connects to an entry; reads time out after `limit`.
pub fn connect(address: SocketAddr, limit: Duration) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// Starts the cloud's API, which accepts all calls.
fn start_cloud(address: SocketAddr, record: Record) {
    let listener = TcpListener::bind(address).expect("the cloud's port is free");
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let record = record.clone();
            std::thread::spawn(move || {
                let mut buffer = Vec::new();
                while let Ok(call) = http::read_message(&mut stream, &mut buffer) {
                    let holder = call.header("x-duty-holder").unwrap_or_default();
                    let token = call.header("x-fencing-token").unwrap_or_default();
                    let body = String::from_utf8_lossy(&call.body);
                    record.write(&format!("cloud: {} {holder} {token} {body}", call.start));
                    if stream.write_all(&http::answer(200, "", b"{}")).is_err() {
                        return;
                    }
                }
            });
        }
    });
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let case = Case::new(Path::new(folder));
    let verdict = match name.as_str() {
        "drain" => drain::run(&case),
        "memory" => memory::run(&case),
        "resume" => resume::run(&case),
        "slow" => slow::run(&case),
        _ => Verdict::Unable("there is no such case"),
    };
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::Unable(reason) => (format!("the case could not run: {reason}"), 2),
    };
    case.record.write(&text);
    println!("{name}: {text}");
    let _ = std::fs::remove_dir_all(&case.folder);
    ExitCode::from(code)
}
