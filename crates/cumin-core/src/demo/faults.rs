//! The checks of streams whose engine or node is reclaimed, stopped or crashed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use cumin_client::{Client, Error, Streamed};
use cumin_testbed::Testbed;
use cumin_wire::completion::Request;
use futures_util::future::{join, join_all};

use super::checks::{Observation, chat, check_answer, patient_client};

/// Tokens that the engines generate before a fault is injected.
const TOKENS_BEFORE_FAULT: u64 = 60;
/// Tokens of a stream, which take about 1 s.
const STREAM_TOKENS: u64 = 400;
/// Promised time after a notice from which the engine gets no new work.
const NO_WORK_AFTER: Duration = Duration::from_secs(3);
/// Notice of the idle engine, long enough that the engine still answers when the promise is
/// checked.
const IDLE_NOTICE: Duration = Duration::from_secs(6);
/// Notice of the engine of a stream, shorter than the rest of the stream.
const STREAM_NOTICE: Duration = Duration::from_millis(600);

/// Streams `request` and injects a fault when part of it is generated; `None` when the stream
/// ended first.
async fn stream_with_fault<T>(
    testbed: &Testbed,
    request: &Request,
    fault: impl AsyncFnOnce() -> Option<T>,
) -> (Result<Streamed, Error>, Option<T>) {
    let client = patient_client(testbed);
    let before = testbed.engine_stats().generated;
    let fault = async {
        let started = async {
            while testbed.engine_stats().generated < before + TOKENS_BEFORE_FAULT {
                sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(Duration::from_secs(5), started).await.ok()?;
        fault().await
    };
    join(client.chat(request), fault).await
}

fn busy_engine(testbed: &Testbed) -> Option<String> {
    let mut engines = testbed.engines.iter();
    let busy = engines.find(|(_, engine)| !engine.attempts().is_empty());
    busy.map(|(id, _)| id.clone())
}

fn ended_early() -> String {
    "the stream ended before the fault".into()
}

/// What the checks observed while engines were lost.
pub(super) struct EngineObservations {
    /// A stream whose engine was reclaimed.
    pub(super) reclaimed: Observation,
    /// A stream whose engine crashed.
    pub(super) crashed: Observation,
    /// New work at an engine after its notice.
    pub(super) after_notice: Observation,
}

/// Reclaims an idle engine and the engine of a stream, and crashes the engine of another stream.
pub(super) async fn lose_engines(testbed: &Testbed) -> EngineObservations {
    let mut engines = testbed.engines.iter();
    let idle = engines.find(|(_, engine)| engine.attempts().is_empty());
    let idle = idle.map(|(id, _)| id.clone()).unwrap_or_default();
    let noticed = Instant::now();
    let reclaimed_idle = testbed.cloud.reclaim(&idle, IDLE_NOTICE);
    let reclaimed = engine_reclaim(testbed, &idle).await;
    let crashed = engine_crash(testbed).await;
    sleep(NO_WORK_AFTER.saturating_sub(noticed.elapsed())).await;
    let after_notice = if reclaimed_idle {
        work_after_notice(testbed, &idle).await
    } else {
        Err("no engine was idle".into())
    };
    EngineObservations {
        reclaimed,
        crashed,
        after_notice,
    }
}

async fn engine_reclaim(testbed: &Testbed, idle: &str) -> Observation {
    let request = chat("crumb-8b", "a long review of the season", STREAM_TOKENS);
    let before = testbed.engine_stats();
    let (answer, injected) = stream_with_fault(testbed, &request, async || {
        let engine = busy_engine(testbed).filter(|engine| engine != idle)?;
        testbed.cloud.reclaim(&engine, STREAM_NOTICE).then_some(())
    })
    .await;
    injected.ok_or_else(ended_early)?;
    let after = testbed.engine_stats();
    let seen = check_answer(&request, &answer)?;
    // With a single attempt the stream was not moved, and the promise was not tested.
    if after.attempts - before.attempts < 2 {
        return Err(format!("{seen}, but the stream did not move"));
    }
    let recomputed = after.recomputed - before.recomputed;
    Ok(format!("{seen}, {recomputed} recomputed"))
}

/// Sends chats after the notice and counts those that the reclaimed engine received.
async fn work_after_notice(testbed: &Testbed, id: &str) -> Observation {
    let engine = &testbed.engines[id];
    let before = engine.stats().attempts;
    let client = patient_client(testbed);
    let requests: Vec<_> = (0..20)
        .map(|number| {
            chat(
                &engine.served().model,
                &format!("check of starter {number}"),
                10,
            )
        })
        .collect();
    let answers = join_all(requests.iter().map(|request| client.chat(request))).await;
    let received = engine.stats().attempts - before;
    for (request, answer) in requests.iter().zip(&answers) {
        check_answer(request, answer)?;
    }
    let seen = format!("{received} of 20 chats");
    if received == 0 { Ok(seen) } else { Err(seen) }
}

async fn engine_crash(testbed: &Testbed) -> Observation {
    let request = chat("crumb-8b", "why is the crumb so close", STREAM_TOKENS);
    let mismatches = testbed.engine_stats().mismatches;
    let (answer, injected) = stream_with_fault(testbed, &request, async || {
        testbed.engines[&busy_engine(testbed)?].crash();
        Some(())
    })
    .await;
    injected.ok_or_else(ended_early)?;
    if testbed.engine_stats().mismatches != mismatches {
        return Err("an engine was resumed with a text that it would not have made".into());
    }
    check_answer(&request, &answer)
}

/// Stops the node that owns a stream; returns what was observed of the stream, and of the lists of
/// entries that callers get afterwards.
pub(super) async fn node_stop(testbed: &Testbed) -> (Observation, Observation) {
    let request = chat(
        "crumb-8b",
        "what may go wrong on a cloudy day",
        STREAM_TOKENS,
    );
    let (answer, injected) = stream_with_fault(testbed, &request, async || {
        let number = testbed.busy_node()?;
        let address = testbed.entry_address(number)?;
        testbed.stop_node(number).await;
        Some(entry_lists(testbed, address).await)
    })
    .await;
    let Some(lists) = injected else {
        return (Err(ended_early()), Err(ended_early()));
    };
    let seen = check_answer(&request, &answer).and_then(|seen| {
        match answer.map(|answer| answer.resumes).unwrap_or_default() {
            0 => Ok(format!("{seen}, no break")),
            breaks => Err(format!("{seen}, but breaks: {breaks}")),
        }
    });
    (seen, lists)
}

/// Checks that no node lists the stopped one among the entries.
async fn entry_lists(testbed: &Testbed, stopped: SocketAddr) -> Observation {
    let entries = testbed.entries();
    let lists = entries.iter().map(async |entry| {
        let client = Client::new(cumin_client::Options {
            entries: vec![*entry],
            ..cumin_client::Options::default()
        });
        (client.refresh().await && !client.entries().contains(&stopped)).then_some(())
    });
    let correct = join_all(lists).await.into_iter().flatten().count();
    let seen = format!("{correct} of {} lists without it", entries.len());
    if correct == entries.len() {
        Ok(seen)
    } else {
        Err(seen)
    }
}

pub(super) async fn node_crash(testbed: &Testbed) -> Observation {
    let request = chat("crumb-8b", "when shall I order flour", STREAM_TOKENS);
    let mismatches = testbed.engine_stats().mismatches;
    let (answer, injected) = stream_with_fault(testbed, &request, async || {
        testbed.crash_node(testbed.busy_node()?);
        Some(())
    })
    .await;
    injected.ok_or_else(ended_early)?;
    if testbed.engine_stats().mismatches != mismatches {
        return Err("the second node went on from another text".into());
    }
    let seen = check_answer(&request, &answer)?;
    match answer.map(|answer| answer.resumes).unwrap_or_default() {
        0 => Err(format!(
            "{seen}, but the node that crashed was not the stream's"
        )),
        resumes => Ok(format!("{seen}, resumes elsewhere: {resumes}")),
    }
}
