//! Two usage reports with different counts for one window: the entries are restarted in turn, and the
//! store forgets its history meanwhile.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::End;
use crate::deployment::{Deployment, RouteLine, manifest, request};
use crate::record::Record;

const ROUTES: [RouteLine<'static>; 1] = [("/look/", "safe", "desk", 2)];

/// `usage_window_s` of the settings, in milliseconds.
const WINDOW_MS: u64 = 5000;

/// Times from the end of the window, in milliseconds: SIGTERM to the first and the second entry, and
/// the latest time for the SIGTERM to the last one.
const FIRST_TERM: i64 = -5400;
const SECOND_TERM: i64 = -900;
const LAST_TERM: i64 = 6000;

/// Time after the report at which the store forgets its history.
const FORGET: Duration = Duration::from_millis(200);

pub fn run(record: &Record, disrupt: bool) -> End {
    let mut deployment = Deployment::new(3, 2, None);
    let document = manifest(2, &ROUTES, &[("staff", &["key-a"])]);
    deployment.store.put("keyed.op", "config", &document);
    deployment.start_all();
    if !deployment.wait_ready(Duration::from_secs(15)) {
        return End::NotRun("the entries are not ready".into());
    }
    let stopped = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = deployment
        .entries
        .iter()
        .map(|entry| {
            let (front, name, stopped) = (entry.front(), entry.name.clone(), stopped.clone());
            thread::spawn(move || call(front, &name, &stopped))
        })
        .collect();
    sleep(Duration::from_secs(6));
    let window = (crate::unix_ms() + 6000) / WINDOW_MS;
    let end_ms = i64::try_from((window + 1) * WINDOW_MS).expect("a time in range");
    let since_end = || i64::try_from(crate::unix_ms()).expect("a time in range") - end_ms;
    let wait_until = |at: i64| {
        let left = u64::try_from(at - since_end()).unwrap_or(0);
        sleep(Duration::from_millis(left));
    };
    record.line(format!("the window is {window}"));
    // The entries are stopped and started in turn, the one that holds the duty last.
    let Some(holder) = holder(&deployment) else {
        return End::NotRun("no entry holds the duty".into());
    };
    let others: Vec<usize> = (0..3).rev().filter(|index| *index != holder).collect();
    wait_until(FIRST_TERM);
    restart(&mut deployment, others[0], record);
    wait_until(SECOND_TERM);
    let second = others[1];
    record.line(format!("SIGTERM to {}", deployment.entries[second].name));
    deployment.entries[second].signal("TERM");
    let mut forgotten = !disrupt;
    let mut back = false;
    let mut reported: Option<Instant> = None;
    loop {
        if reported.is_none() {
            let reports = deployment.cloud.reports();
            let found = reports.iter().find(|(other, ..)| *other == window);
            reported = found.map(|(_, _, call)| call.at);
        }
        if !forgotten && reported.is_some_and(|at| at.elapsed() >= FORGET) {
            deployment.store.forget_history();
            record.line("the store forgets its history");
            forgotten = true;
        }
        if !back && deployment.entries[second].has_ended() {
            deployment.entries[second].start();
            record.line(format!(
                "{} has ended and starts again",
                deployment.entries[second].name
            ));
            back = true;
        }
        if back && forgotten && reported.is_some() && deployment.entries[second].ready() {
            break;
        }
        if since_end() > LAST_TERM {
            return End::NotRun("the window is not reported in time".into());
        }
        sleep(Duration::from_millis(10));
    }
    restart(&mut deployment, holder, record);
    sleep(Duration::from_secs(12));
    stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        let (served, all) = caller.join().expect("a caller ends");
        record.line(format!("a caller was served {served} of {all} requests"));
    }
    if judge(&deployment, record) {
        End::Broken
    } else {
        End::Held
    }
}

/// Sends requests to one entry, and returns how many were served.
fn call(front: std::net::SocketAddr, name: &str, stopped: &AtomicBool) -> (u32, u32) {
    let (mut served, mut all) = (0, 0);
    while !stopped.load(Ordering::Relaxed) {
        all += 1;
        let answer = request(front, "GET", "/look/1", &format!("{name}.{all}"), "key-a");
        served += u32::from(answer.is_ok_and(|answer| answer.status() == 200));
        sleep(Duration::from_millis(40));
    }
    (served, all)
}

/// Returns the index of the entry that made the last call of a duty.
fn holder(deployment: &Deployment) -> Option<usize> {
    let calls = deployment.cloud.calls.lock().unwrap();
    let name = &calls.last()?.holder;
    deployment
        .entries
        .iter()
        .position(|entry| entry.name == *name)
}

/// Stops an entry and starts it again.
fn restart(deployment: &mut Deployment, index: usize, record: &Record) {
    let entry = &mut deployment.entries[index];
    record.line(format!("SIGTERM to {}", entry.name));
    entry.signal("TERM");
    let status = entry.wait_exit(Duration::from_secs(8));
    entry.start();
    record.line(format!(
        "{} has ended, status {status:?}, and starts again",
        entry.name
    ));
}

/// Returns whether the platform got two reports with different counts for one window.
fn judge(deployment: &Deployment, record: &Record) -> bool {
    let reports = deployment.cloud.reports();
    let mut broken = false;
    for (index, (window, counts, call)) in reports.iter().enumerate() {
        let text = format!(
            "usage window={window} counts={{{counts}}} holder={} token={}",
            call.holder, call.token
        );
        record.line_at(call.at, text);
        let earlier = reports[..index].iter().find(|(other, ..)| other == window);
        if let Some((_, other, _)) = earlier
            && other != counts
        {
            record.line_at(
                call.at,
                format!("ONE: window {window} was reported with {{{other}}} and with {{{counts}}}"),
            );
            broken = true;
        }
    }
    broken
}
