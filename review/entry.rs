//! The project's entry as a separate process, started as the deploy file says.

use std::fs::File;
use std::io::Write as _;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Memory of a process, as on the smallest machine of the sheet.
pub const MEMORY_MB: u64 = 260;

/// Addresses of one entry.
#[derive(Clone, Debug)]
pub struct Ports {
    pub ip: IpAddr,
    pub internal: u16,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
}

impl Ports {
    /// Finds free ports at a loopback address.
    pub fn find(ip: IpAddr) -> Self {
        let internal = (20_000..60_000)
            .step_by(16)
            .find(|port| (0..4).all(|n| is_free(SocketAddr::new(ip, port + n))));
        Self {
            ip,
            internal: internal.expect("free ports"),
            front: free_address(ip),
            ready: free_address(ip),
            directory: free_address(ip),
        }
    }
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

/// Returns an address with a port that nothing listens on.
pub fn free_address(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).expect("a free port");
    listener.local_addr().expect("a bound address")
}

/// A running entry; dropped, it is killed.
pub struct Entry {
    pub ports: Ports,
    child: Child,
}

impl Entry {
    pub fn start(name: &str, ports: Ports, platform: [SocketAddr; 2], folder: &Path) -> Self {
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, settings_text(name, &ports, platform)).expect("settings");
        let log = folder.join(format!("{name}.log"));
        let output = File::options().create(true).append(true).open(&log);
        let output = output.expect("a log file");
        let child = Command::new("target/release/cuminladder")
            .arg("entry")
            .env("CUMINLADDER_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a second handle"))
            .stderr(output)
            .spawn();
        let child = child.expect("target/release/cuminladder, built as the deploy file says");
        Self { ports, child }
    }

    /// Waits until the entry answers that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.ports.ready) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n");
                let answer = crate::http::read_message(&mut stream, &mut Vec::new());
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    return true;
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the memory that the process uses, in kilobytes; zero if it has ended.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0)
    }

    /// Sends a signal, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.is_ok_and(|status| status.success()), "kill -s {name}");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings_text(name: &str, ports: &Ports, [store, cloud]: [SocketAddr; 2]) -> String {
    let Ports {
        ip,
        internal,
        front,
        ready,
        directory,
    } = ports;
    let last = internal + 15;
    format!(
        "node = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\n\
         serves = [\"front\",\"directory\"]\nip = \"{ip}\"\nzone = \"hamilton\"\n\
         region = \"waikato\"\ninternal_ports = [{internal},{last}]\nseeds = []\n\
         bootstrap = true\ndiscovery = \"platform\"\nentry = \"directory\"\n\
         heartbeat_ms = 1200\n[zones]\nhamilton = \"waikato\"\n\
         [listen]\nfront = \"{front}\"\nready = \"{ready}\"\ndirectory = \"{directory}\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = {MEMORY_MB}\nmax_fds = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
         catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
         config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n\
         revoke_strict = true\nrevoke_ms = 5000\nretry_budget_ratio = 0.2\n\
         budget_window_s = 10\nbudget_slack = 52\nquota_window_s = 8\nquota_overage = 0.1\n\
         quota_slack = 110000\nfencing_required = false\nlease_ms = 3000\n\
         thaw_slack_ms = 300\nusage_window_s = 5\nusage_off = 0.05\nusage_late_s = 10\n\
         recovery_s = 12\npass_ms = 120\nreuse_window_s = 10\nttl_max_s = 5\n\
         [platform]\naddress = \"{store}\"\nform = \"log\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nparts = 8\nappend_ms = 4.0\nrecord_bytes = 262144\n\
         keep_s = 300\n[cloud]\naddress = \"{cloud}\"\nrate_per_s = 50.0\n\
         duties = [\"usage_report\",\"autoscale\"]\nduty_per_s = 50.0\n"
    )
}
