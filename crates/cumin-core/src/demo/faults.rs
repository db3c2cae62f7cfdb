//! The checks of streams whose engine or node goes away.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use cumin_client::{Client, Error, Streamed};
use cumin_testbed::Testbed;
use cumin_wire::completion::Request;
use futures_util::future::{join, join_all};

use super::checks::{Seen, caller, chat, whole};

/// Tokens of a stream before its engine or node is hit.
const BEFORE: u64 = 60;
/// Tokens of a stream: about 1 s.
const TOKENS: u64 = 400;
/// Promised time from a notice to the last new work.
const LEAVING: Duration = Duration::from_secs(3);
/// Notice of an idle engine: it still answers when the promise is checked.
const LONG_NOTICE: Duration = Duration::from_secs(6);
/// Notice of the stream's engine: shorter than the rest of the stream.
const NOTICE: Duration = Duration::from_millis(600);

/// Streams `request` and does `event` in the middle of it.
async fn during<T>(
    bed: &Testbed,
    request: &Request,
    event: impl AsyncFnOnce() -> Option<T>,
) -> (Result<Streamed, Error>, Option<T>) {
    let client = caller(bed);
    let before = bed.engine_stats().generated;
    let event = async {
        let under_way = async {
            while bed.engine_stats().generated < before + BEFORE {
                sleep(Duration::from_millis(2)).await;
            }
        };
        timeout(Duration::from_secs(5), under_way).await.ok()?;
        event().await
    };
    join(client.chat(request), event).await
}

fn busy_engine(bed: &Testbed) -> Option<String> {
    let mut engines = bed.engines.iter();
    let busy = engines.find(|(_, engine)| !engine.attempts().is_empty());
    busy.map(|(id, _)| id.clone())
}

fn missed() -> String {
    "the stream ended before the fault".into()
}

/// What was seen while engines went away.
pub(super) struct Engines {
    /// By a stream whose engine was reclaimed.
    pub(super) moved: Seen,
    /// By a stream whose engine crashed.
    pub(super) crashed: Seen,
    /// Of new work at an engine after its notice.
    pub(super) left: Seen,
}

/// Reclaims an idle engine, and the engine of a stream, and crashes that of another stream.
pub(super) async fn engines(bed: &Testbed) -> Engines {
    let mut engines = bed.engines.iter();
    let idle = engines.find(|(_, engine)| engine.attempts().is_empty());
    let idle = idle.map(|(id, _)| id.clone()).unwrap_or_default();
    let noticed = Instant::now();
    let leaving = bed.cloud.reclaim(&idle, LONG_NOTICE);
    let moved = moved(bed, &idle).await;
    let crashed = engine_crash(bed).await;
    sleep(LEAVING.saturating_sub(noticed.elapsed())).await;
    let left = if leaving {
        left(bed, &idle).await
    } else {
        Err("no engine was idle".into())
    };
    Engines {
        moved,
        crashed,
        left,
    }
}

async fn moved(bed: &Testbed, idle: &str) -> Seen {
    let request = chat("crumb-8b", "a long review of the season", TOKENS);
    let before = bed.engine_stats();
    let (answer, hit) = during(bed, &request, async || {
        let engine = busy_engine(bed).filter(|engine| engine != idle)?;
        bed.cloud.reclaim(&engine, NOTICE).then_some(())
    })
    .await;
    hit.ok_or_else(missed)?;
    let after = bed.engine_stats();
    let seen = whole(&request, &answer)?;
    // Without a second attempt the stream stayed where it was, and nothing was shown.
    if after.attempts - before.attempts < 2 {
        return Err(format!("{seen}, but the stream did not move"));
    }
    let recomputed = after.recomputed - before.recomputed;
    Ok(format!("{seen}, {recomputed} recomputed"))
}

/// Sends chats after the notice and counts those that the leaving engine gets.
async fn left(bed: &Testbed, id: &str) -> Seen {
    let engine = &bed.engines[id];
    let before = engine.stats().attempts;
    let client = caller(bed);
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
    let given = engine.stats().attempts - before;
    for (request, answer) in requests.iter().zip(&answers) {
        whole(request, answer)?;
    }
    let seen = format!("{given} of 20 chats");
    if given == 0 { Ok(seen) } else { Err(seen) }
}

async fn engine_crash(bed: &Testbed) -> Seen {
    let request = chat("crumb-8b", "why is the crumb so close", TOKENS);
    let mismatches = bed.engine_stats().mismatches;
    let (answer, hit) = during(bed, &request, async || {
        bed.engines[&busy_engine(bed)?].crash();
        Some(())
    })
    .await;
    hit.ok_or_else(missed)?;
    if bed.engine_stats().mismatches != mismatches {
        return Err("an engine was resumed with a text that it would not have made".into());
    }
    whole(&request, &answer)
}

/// Stops the node of a stream; returns what the stream saw, and what callers are told after.
pub(super) async fn node_stop(bed: &Testbed) -> (Seen, Seen) {
    let request = chat("crumb-8b", "what may go wrong on a cloudy day", TOKENS);
    let (answer, hit) = during(bed, &request, async || {
        let number = bed.busy_node()?;
        let address = bed.entry_address(number)?;
        bed.stop_node(number).await;
        Some(listing(bed, address).await)
    })
    .await;
    let Some(listing) = hit else {
        return (Err(missed()), Err(missed()));
    };
    let seen = whole(&request, &answer).and_then(|seen| {
        match answer.map(|answer| answer.resumes).unwrap_or_default() {
            0 => Ok(format!("{seen}, no break")),
            breaks => Err(format!("{seen}, but breaks: {breaks}")),
        }
    });
    (seen, listing)
}

/// Asks every node for the list of entries, which must not name a stopped one.
async fn listing(bed: &Testbed, stopped: SocketAddr) -> Seen {
    let entries = bed.entries();
    let lists = entries.iter().map(async |entry| {
        let client = Client::new(cumin_client::Options {
            entries: vec![*entry],
            ..cumin_client::Options::default()
        });
        (client.refresh().await && !client.entries().contains(&stopped)).then_some(())
    });
    let right = join_all(lists).await.into_iter().flatten().count();
    let seen = format!("{right} of {} lists without it", entries.len());
    if right == entries.len() {
        Ok(seen)
    } else {
        Err(seen)
    }
}

pub(super) async fn node_crash(bed: &Testbed) -> Seen {
    let request = chat("crumb-8b", "when shall I order flour", TOKENS);
    let mismatches = bed.engine_stats().mismatches;
    let (answer, hit) = during(bed, &request, async || {
        bed.crash_node(bed.busy_node()?);
        Some(())
    })
    .await;
    hit.ok_or_else(missed)?;
    if bed.engine_stats().mismatches != mismatches {
        return Err("the second node went on from another text".into());
    }
    let seen = whole(&request, &answer)?;
    match answer.map(|answer| answer.resumes).unwrap_or_default() {
        0 => Err(format!(
            "{seen}, but the node that crashed was not the stream's"
        )),
        resumes => Ok(format!("{seen}, resumes elsewhere: {resumes}")),
    }
}
