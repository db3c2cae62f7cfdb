//! Keeps the view of the endpoints current: the platform's list and notices, load reports and
//! cache events.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_config::ServiceKind;
use cumin_route::{EndpointInfo, Trust};
use cumin_types::{Cost, EndpointName, Millis, Model, Service};
use cumin_wire::cloud::{Instance, Instances, Kind, Notice, Notices, State};
use cumin_wire::engine::{CacheEvents, CacheList, Load, Served};
use serde::de::DeserializeOwned;

use super::{Fleet, reclaim};
use crate::health;
use crate::node::Ctx;

/// Longest wait for one answer of the platform or one report.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Reads of the list without an endpoint before it is dropped; the list lags, and may miss one.
const MISSES: u32 = 5;

#[derive(Default)]
struct Seen {
    known: BTreeMap<EndpointName, Watched>,
}

struct Watched {
    address: SocketAddr,
    service: Service,
    engine: bool,
    misses: u32,
    reading: Rc<Cell<bool>>,
}

impl Fleet {
    /// Reads lists, notices and reports for ever.
    pub(crate) async fn watch(ctx: Rc<Ctx>) {
        let mut seen = Seen::default();
        loop {
            if let Some(list) = get::<Instances>(&ctx, &cloud(&ctx, "/v1/instances")).await {
                let path = format!("/v1/notices?after={}", ctx.fleet.notice.get());
                if let Some(news) = get::<Notices>(&ctx, &cloud(&ctx, &path)).await {
                    // Before the list, which says that an instance leaves but not when.
                    for notice in news.notices {
                        heed(&ctx, &list.instances, &notice);
                    }
                }
                apply(&ctx, &mut seen, &list.instances).await;
            }
            ctx.fleet.known.set(seen.known.len());
            name_members(&ctx, &seen);
            for (name, watched) in &mut seen.known {
                read(&ctx, name, watched);
            }
            actix_rt::time::sleep(ctx.options.poll).await;
        }
    }
}

fn cloud(ctx: &Ctx, path: &str) -> String {
    format!("http://{}{path}", ctx.settings.cloud_address)
}

async fn get<T: DeserializeOwned>(ctx: &Ctx, url: &str) -> Option<T> {
    let mut answer = match ctx.endpoints.get(url).timeout(TIMEOUT).send().await {
        Ok(answer) if answer.status().is_success() => answer,
        Ok(answer) => {
            log::debug!(
                "event=read_failed url={url} status={}",
                answer.status().as_u16()
            );
            return None;
        }
        Err(error) => {
            log::debug!("event=read_failed url={url} error={error:?}");
            return None;
        }
    };
    match answer.json::<T>().limit(16 << 20).await {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!("event=read_malformed url={url} error={error:?}");
            None
        }
    }
}

/// Brings the router to what the list says.
async fn apply(ctx: &Rc<Ctx>, seen: &mut Seen, instances: &[Instance]) {
    seed(ctx, instances);
    let mut listed = BTreeSet::new();
    for instance in instances
        .iter()
        .filter(|instance| instance.kind != Kind::Entry)
    {
        let name = EndpointName::from(instance.id.as_str());
        match instance.state {
            State::Live => {
                listed.insert(name.clone());
                if let Some(watched) = seen.known.get_mut(&name) {
                    watched.misses = 0;
                } else if let Some(watched) = join(ctx, &name, instance).await {
                    seen.known.insert(name, watched);
                    ctx.fleet.changed.notify_waiters();
                }
            }
            // A leaving endpoint may still finish what it runs; its notice says for how long.
            State::Leaving => {
                listed.insert(name.clone());
                if !ctx.fleet.leaving.borrow().contains_key(&name) {
                    leave(ctx, &name, Millis(0));
                }
            }
            State::Starting | State::Stopped => {}
        }
    }
    ctx.health.bury(&listed);
    seen.known.retain(|name, watched| {
        // The watcher adds it again once it answers.
        if ctx.health.is_dead(name) {
            return false;
        }
        if listed.contains(name) {
            return true;
        }
        watched.misses += 1;
        if watched.misses < MISSES {
            return true;
        }
        ctx.decisions.note(
            "drop_endpoint",
            name,
            &format!("reason=not_listed misses={}", watched.misses),
        );
        ctx.fleet.router.borrow_mut().remove(name);
        false
    });
}

/// Names the endpoints of each service to those who count per service.
fn name_members(ctx: &Ctx, seen: &Seen) {
    let mut services: BTreeMap<Service, Vec<EndpointName>> = BTreeMap::new();
    for (name, watched) in &seen.known {
        services
            .entry(watched.service.clone())
            .or_default()
            .push(name.clone());
    }
    for (service, names) in &services {
        ctx.health.members(service, names);
    }
    *ctx.fleet.services.borrow_mut() = services;
}

/// Names the listed nodes to the membership, beside the seeds of the settings.
fn seed(ctx: &Rc<Ctx>, instances: &[Instance]) {
    let nodes = instances
        .iter()
        .filter(|instance| instance.kind == Kind::Entry && instance.state == State::Live)
        .filter_map(|instance| instance.address.as_ref()?.parse().ok());
    let seeds = ctx.settings.seeds.iter().copied().chain(nodes);
    ctx.members.seed(seeds, ctx.clock.now());
}

/// Adds an endpoint.
async fn join(ctx: &Rc<Ctx>, name: &EndpointName, instance: &Instance) -> Option<Watched> {
    let address: SocketAddr = instance.address.as_ref()?.parse().ok()?;
    if ctx.health.is_dead(name) && !health::answers(ctx, address).await {
        return None;
    }
    let service = Service::from(instance.service.as_str());
    let document = ctx.document();
    let spec = document.services.get(&service)?;
    let engine = spec.kind == ServiceKind::Model;
    let models = if engine {
        let served = get::<Served>(ctx, &format!("http://{address}/v1/orders")).await?;
        vec![Model::from(served.model)]
    } else {
        Vec::new()
    };
    let info = EndpointInfo {
        name: name.clone(),
        address,
        models,
        place: instance.place.as_str().into(),
        price: Cost(instance.price),
        market: instance.market,
        slots: u64::from(spec.worker.concurrent_requests),
        life: None,
        service: service.clone(),
    };
    let reasons = format!(
        "service={} place={} address={address} market={:?} price={}",
        info.service, info.place, info.market, info.price
    );
    ctx.health.revived(name);
    ctx.decisions.note("add_endpoint", name, &reasons);
    ctx.fleet.router.borrow_mut().upsert(info);
    Some(Watched {
        address,
        service,
        engine,
        misses: 0,
        reading: Rc::default(),
    })
}

/// Acts on a notice: no new work from now on, and what runs there moves.
fn heed(ctx: &Rc<Ctx>, instances: &[Instance], notice: &Notice) {
    if notice.seq <= ctx.fleet.notice.get() {
        return;
    }
    ctx.fleet.notice.set(notice.seq);
    let Some(instance) = instances
        .iter()
        .find(|instance| instance.id == notice.instance)
    else {
        return;
    };
    let left = Millis(notice.grace_ms.saturating_sub(notice.age_ms));
    if instance.kind == Kind::Entry {
        if instance.address.as_deref() == Some(&ctx.members.me().rpc.to_string()) {
            ctx.decisions.note(
                "drain",
                &ctx.settings.name,
                &format!("reason=reclaim left_ms={left}"),
            );
            ctx.reclaimed.notify_one();
        }
        return;
    }
    leave(ctx, &EndpointName::from(instance.id.as_str()), left);
}

fn leave(ctx: &Rc<Ctx>, name: &EndpointName, left: Millis) {
    let until = ctx.clock.now().plus(left.0);
    let first = ctx
        .fleet
        .leaving
        .borrow_mut()
        .insert(name.clone(), until)
        .is_none();
    if !first {
        return;
    }
    ctx.fleet.router.borrow_mut().mark_leaving(name, until);
    ctx.fleet.changed.notify_waiters();
    ctx.decisions.note(
        "leave_endpoint",
        name,
        &format!("reason=reclaim left_ms={left}"),
    );
    ctx.tasks
        .spawn(reclaim::evacuate(Rc::clone(ctx), name.clone(), left));
}

/// Reads the reports of one endpoint, unless the last read has not ended yet.
fn read(ctx: &Rc<Ctx>, name: &EndpointName, watched: &mut Watched) {
    if !watched.engine || watched.reading.replace(true) {
        return;
    }
    let (ctx, name, address) = (Rc::clone(ctx), name.clone(), watched.address);
    let reading = Rc::clone(&watched.reading);
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        if let Some(load) = get::<Load>(&ctx, &format!("http://{address}/v1/load")).await {
            let now = ctx.clock.now();
            ctx.fleet.router.borrow_mut().record_load(&name, &load, now);
            ctx.fleet.reports.borrow_mut().insert(name.clone(), load);
            ctx.fleet.changed.notify_waiters();
        }
        let after = match ctx.fleet.router.borrow().trust(&name) {
            Some(Trust::Trusted { seq }) => seq,
            _ => 0,
        };
        let url = format!("http://{address}/v1/cache/events?after={after}");
        let trust = match get::<CacheEvents>(&ctx, &url).await {
            Some(news) => ctx
                .fleet
                .router
                .borrow_mut()
                .apply_cache_events(&name, &news.events),
            None => None,
        };
        if matches!(trust, Some(Trust::Untrusted { .. }))
            && let Some(list) = get::<CacheList>(&ctx, &format!("http://{address}/v1/cache")).await
        {
            ctx.fleet.router.borrow_mut().replace_cache(&name, &list);
        }
        reading.set(false);
    });
}
