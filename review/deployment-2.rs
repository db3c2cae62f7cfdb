//! One deployment on loopback addresses: entries as processes, and the stand-ins around them.

use std::fmt::Write as _;
use std::fs::File;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::store::Store;
use crate::worker::{Worker, start_cloud};

const FRONT: u16 = 18221;
const READY: u16 = 18224;
const DIRECTORY: u16 = 18220;
const INTERNAL: u16 = 17600;
const STORE: u16 = 18225;

/// Host name of all routes.
pub const HOST: &str = "h.example";

/// A route of the manifest: prefix, type, service, number of attempts. Streams may be resumed.
pub type RouteLine<'a> = (&'a str, &'a str, &'a str, u32);

/// Returns a manifest with tenants, each with its keys.
pub fn manifest(version: u64, routes: &[RouteLine<'_>], tenants: &[(&str, &[&str])]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service, attempts)| {
            format!(
                "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
                 \"route_type\":\"{kind}\",\"timeout_ms\":3000,\"target_latency_ms\":300,\
                 \"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts},\
                 \"public\":false,\"stream_resume\":{}}}",
                *kind == "streaming"
            )
        })
        .collect();
    let tenants: Vec<String> = tenants
        .iter()
        .map(|(name, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!(
                "{{\"name\":\"{name}\",\"api_keys\":[{}],\"unit\":\"tokens\",\
                 \"plain_tokens\":200,\"rate_per_s\":0,\"burst\":0}}",
                keys.join(",")
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"desk\",\
         \"health_path\":\"/health\",\"max_connections\":96}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":2000,\
         \"idle_timeout_ms\":10000}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    )
}

pub struct Entry {
    pub name: String,
    pub ip: IpAddr,
    folder: PathBuf,
    child: Option<Child>,
    starts: u32,
}

impl Entry {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip, FRONT)
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        self.starts += 1;
        let log = self
            .folder
            .join(format!("{}-{}.log", self.name, self.starts));
        let log = File::create(log).expect("a log file");
        let child = Command::new("target/release/cuminladder")
            .arg("entry")
            .env(
                "CUMINLADDER_BOOT",
                self.folder.join(format!("{}.toml", self.name)),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the entry starts"));
    }

    /// Sends a signal, named as for `kill`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill")
                .args([format!("-{signal}"), child.id().to_string()])
                .status();
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended by itself, and kills it after `grace`.
    pub fn wait_exit(&mut self, grace: Duration) -> Option<i32> {
        let until = Instant::now() + grace;
        let child = self.child.as_mut()?;
        while Instant::now() < until {
            if let Ok(Some(status)) = child.try_wait() {
                self.child = None;
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.kill();
        None
    }

    /// Returns the lines of the running process's log that contain `text`.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = format!("{}-{}.log", self.name, self.starts);
        let log = std::fs::read_to_string(self.folder.join(log)).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Returns whether its readiness probe answers with 200.
    pub fn ready(&self) -> bool {
        let head = format!("GET /readiness HTTP/1.1\r\nHost: {HOST}\r\nConnection: close\r\n\r\n");
        let answer = http::call(SocketAddr::new(self.ip, READY), &head, b"");
        answer.is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub entries: Vec<Entry>,
    subnet: [u8; 3],
    folder: PathBuf,
}

impl Deployment {
    /// Starts the stand-ins and prepares entries, which are not started yet.
    pub fn new(entries: u8, workers: u8, era: Option<u64>) -> Self {
        let subnet = free_subnet();
        let at = |host: u8, port: u16| SocketAddr::new(address(subnet, host), port);
        let folder = std::env::temp_dir().join(format!("cumin-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store = Store::start(at(200, STORE), era, Duration::from_secs(20));
        start_cloud(at(201, STORE));
        let workers = (1..=workers).map(|number| {
            let name = format!("i-{number}");
            Worker::start(&name, "desk", at(100 + number, 18183), store.clone())
        });
        let workers = workers.collect();
        let mut list = Vec::new();
        for number in 1..=entries {
            let ip = address(subnet, number);
            let name = format!("front-{number}");
            let mut text = String::new();
            let _ = write!(
                text,
                "node = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\n\
                 serves = [\"front\",\"directory\"]\nip = \"{ip}\"\nzone = \"z\"\nregion = \"r\"\n\
                 internal_ports = [{INTERNAL},{}]\nbootstrap = false\nfault_counted = false\n\
                 discovery = \"platform\"\nentry = \"directory\"\nheartbeat_ms = 1200\n\
                 [zones]\nz = \"r\"\n\
                 [listen]\nfront = \"{ip}:{FRONT}\"\nready = \"{ip}:{READY}\"\n\
                 directory = \"{ip}:{DIRECTORY}\"\n\
                 [limits]\ncpu_share = 0.5\ncores = 1\nmemory_mb = 390\nmax_fds = 6150\n\
                 link_mbps = 1500.0\ndisk_mb = 0\n\
                 [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
                 catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
                 config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n\
                 revoke_strict = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
                 budget_window_s = 10\nbudget_slack = 52\nquota_window_s = 8\nquota_overage = 0.1\n\
                 quota_slack = 110000\nfencing_required = false\nlease_ms = 3000\n\
                 thaw_slack_ms = 300\nusage_window_s = 5\nusage_off = 0.05\nusage_late_s = 10\n\
                 recovery_s = 12\npass_ms = 120\nreuse_window_s = 10\nttl_max_s = 5\n\
                 [platform]\naddress = \"{}\"\nform = \"log\"\nwrites_per_s = 400\n\
                 reads_per_s = 2000\nparts = 8\nappend_ms = 4.0\npart_mb_s = 20.0\n\
                 read_mb_s = 80.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 20\n\
                 part_mb = 200\nttl_min_ms = 1000\n\
                 [cloud]\naddress = \"{}\"\nrate_per_s = 50.0\n\
                 duties = [\"usage_report\",\"autoscale\"]\nduty_per_s = 50.0\n",
                INTERNAL + 15,
                store.address,
                at(201, STORE),
            );
            std::fs::write(folder.join(format!("{name}.toml")), text).expect("the settings");
            list.push(Entry {
                name,
                ip,
                folder: folder.clone(),
                child: None,
                starts: 0,
            });
        }
        Self {
            store,
            workers,
            entries: list,
            subnet,
            folder,
        }
    }

    pub fn at(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::new(address(self.subnet, host), port)
    }

    pub fn start_all(&mut self) {
        for entry in &mut self.entries {
            entry.start();
        }
    }

    /// Waits until all entries are ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.entries.iter().all(Entry::ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.entries.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn address([a, b, c]: [u8; 3], host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(a, b, c, host))
}

/// Returns a subnet of the loopback range in which the ports are free.
fn free_subnet() -> [u8; 3] {
    let seed = std::process::id();
    for step in 0..200_u32 {
        let number = (seed.wrapping_mul(7).wrapping_add(step * 31)) % (60 * 250);
        let part = |value: u32| u8::try_from(value).unwrap_or(1);
        let subnet = [127, part(60 + number / 250), part(1 + number % 250)];
        let free = |host: u8, port: u16| {
            let bound: io::Result<TcpListener> = TcpListener::bind((address(subnet, host), port));
            bound.is_ok()
        };
        let ports = [FRONT, READY, DIRECTORY, INTERNAL + 1];
        if (1..=4).all(|host| ports.iter().all(|port| free(host, *port))) && free(200, STORE) {
            return subnet;
        }
    }
    panic!("no free ports");
}

/// Sends one request on a new connection.
pub fn request(
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
) -> io::Result<Message> {
    let body: &[u8] = if method == "GET" {
        b""
    } else {
        b"{\"slot\":1}"
    };
    let length = if method == "GET" {
        String::new()
    } else {
        format!("Content-Length: {}\r\n", body.len())
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\n\
         X-Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\n{length}Connection: close\r\n\r\n"
    );
    http::call(front, &head, body)
}
