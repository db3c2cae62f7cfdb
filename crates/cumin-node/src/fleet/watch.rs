//! Keeps the view of the endpoints up to date from the platform's instance list and reclaim
//! notices, and from the load reports and cache events of the endpoints.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use actix_rt::net::TcpStream;
use cumin_config::ServiceKind;
use cumin_route::{EndpointInfo, Trust};
use cumin_types::{Cost, EndpointName, Millis, Model, Service};
use cumin_wire::cloud::{Instance, Instances, Kind, Notice, Notices, State};
use cumin_wire::engine::{CacheEvents, CacheList, Load, Served};
use serde::de::DeserializeOwned;

use super::{Fleet, reclaim};
use crate::health;
use crate::node::Ctx;
use crate::statement::{self, Standing};

/// Timeout of one read from the platform or from an endpoint.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Consecutive lists without an endpoint before the endpoint is dropped: the list lags and may
/// omit an endpoint that exists.
const MAX_MISSES: u32 = 5;

#[derive(Default)]
struct WatchList {
    endpoints: BTreeMap<EndpointName, WatchedEndpoint>,
}

struct WatchedEndpoint {
    name: EndpointName,
    address: SocketAddr,
    service: Service,
    is_engine: bool,
    misses: u32,
    read_pending: Rc<Cell<bool>>,
    probe_pending: Rc<Cell<bool>>,
}

impl Fleet {
    /// Polls the list, notices and reports; never returns.
    pub(crate) async fn watch(ctx: Rc<Ctx>) {
        let mut watch_list = WatchList::default();
        loop {
            if let Some(list) = get::<Instances>(&ctx, &platform_url(&ctx, "/v1/instances")).await {
                let path = format!("/v1/notices?after={}", ctx.fleet.last_notice.get());
                if let Some(batch) = get::<Notices>(&ctx, &platform_url(&ctx, &path)).await {
                    // Notices are handled before the list, which says that an instance is
                    // leaving but not when.
                    for notice in batch.notices {
                        handle_notice(&ctx, &list.instances, &notice);
                    }
                }
                apply_instances(&ctx, &mut watch_list, &list.instances).await;
            }
            ctx.fleet.endpoint_count.set(watch_list.endpoints.len());
            let (leaving, waiting) = ctx
                .statements
                .counts(watch_list.endpoints.keys(), ctx.clock.now());
            ctx.metrics.set_stated(leaving, waiting);
            update_services(&ctx, &watch_list);
            for watched in watch_list.endpoints.values() {
                read_reports(&ctx, watched);
                probe_stated(&ctx, watched);
            }
            actix_rt::time::sleep(ctx.options.poll_period).await;
        }
    }
}

fn platform_url(ctx: &Ctx, path: &str) -> String {
    format!("http://{}{path}", ctx.settings.cloud_address)
}

async fn get<T: DeserializeOwned>(ctx: &Ctx, url: &str) -> Option<T> {
    get_with_head(ctx, url, |_, _| {}).await
}

/// Reads a report of an endpoint, and what its answer states.
async fn get_report<T: DeserializeOwned>(
    ctx: &Ctx,
    watched: (&EndpointName, SocketAddr),
    path: &str,
) -> Option<T> {
    let (name, address) = watched;
    let process = ctx.statements.process(name);
    get_with_head(
        ctx,
        &format!("http://{address}{path}"),
        |status, headers| {
            statement::answer_heard(ctx, (name, process), &path, status, headers);
        },
    )
    .await
}

async fn get_with_head<T: DeserializeOwned>(
    ctx: &Ctx,
    url: &str,
    head: impl FnOnce(StatusCode, &HeaderMap),
) -> Option<T> {
    let sent = ctx.pooled.get(url).timeout(TIMEOUT).send().await;
    if let Ok(response) = &sent {
        head(response.status(), response.headers());
    }
    let mut response = match sent {
        Ok(response) if response.status().is_success() => response,
        Ok(response) => {
            log::debug!(
                "event=read_failed url={url} status={}",
                response.status().as_u16()
            );
            return None;
        }
        Err(error) => {
            log::debug!("event=read_failed url={url} error={error:?}");
            return None;
        }
    };
    match response.json::<T>().limit(16 << 20).await {
        Ok(value) => Some(value),
        Err(error) => {
            log::warn!("event=read_malformed url={url} error={error:?}");
            None
        }
    }
}

/// Updates the endpoints from the instance list.
async fn apply_instances(ctx: &Rc<Ctx>, watch_list: &mut WatchList, instances: &[Instance]) {
    seed_membership(ctx, instances);
    let mut listed = BTreeSet::new();
    for instance in instances
        .iter()
        .filter(|instance| instance.kind != Kind::Entry)
    {
        let name = EndpointName::from(instance.id.as_str());
        match instance.state {
            State::Live => {
                listed.insert(name.clone());
                if let Some(watched) = watch_list.endpoints.get_mut(&name) {
                    watched.misses = 0;
                } else if let Some(watched) = add_endpoint(ctx, &name, instance).await {
                    watch_list.endpoints.insert(name, watched);
                    ctx.fleet.changed.notify_waiters();
                }
            }
            // A leaving endpoint may still finish its requests; its notice says for how long.
            State::Leaving => {
                listed.insert(name.clone());
                if !ctx.fleet.leaving.borrow().contains_key(&name) {
                    mark_leaving(ctx, &name, Millis(0));
                }
            }
            State::Starting | State::Stopped => {}
        }
    }
    ctx.health.retain_listed(&listed);
    watch_list.endpoints.retain(|name, watched| {
        // The next list adds a dead endpoint again once it is reachable.
        if ctx.health.is_dead(name) {
            return false;
        }
        if listed.contains(name) {
            return true;
        }
        watched.misses += 1;
        if watched.misses < MAX_MISSES {
            return true;
        }
        ctx.decisions.record(
            "drop_endpoint",
            name,
            &format!("reason=not_listed misses={}", watched.misses),
        );
        ctx.fleet.router.borrow_mut().remove(name);
        false
    });
    let is_listed =
        |name: &EndpointName| listed.contains(name) || watch_list.endpoints.contains_key(name);
    ctx.statements.trim(is_listed, ctx.clock.now());
}

/// Updates the endpoints of each service, here and in the health state.
fn update_services(ctx: &Ctx, watch_list: &WatchList) {
    let mut services: BTreeMap<Service, Vec<EndpointName>> = BTreeMap::new();
    for (name, watched) in &watch_list.endpoints {
        services
            .entry(watched.service.clone())
            .or_default()
            .push(name.clone());
    }
    for (service, names) in &services {
        ctx.health.set_endpoints(service, names);
    }
    *ctx.fleet.services.borrow_mut() = services;
}

/// Adds the listed entry nodes to the membership's seeds, after those of the settings.
fn seed_membership(ctx: &Rc<Ctx>, instances: &[Instance]) {
    let nodes = instances
        .iter()
        .filter(|instance| instance.kind == Kind::Entry && instance.state == State::Live)
        .filter_map(|instance| instance.address.as_ref()?.parse().ok());
    let seeds = ctx.settings.seeds.iter().copied().chain(nodes);
    ctx.members.add_seeds(seeds, ctx.clock.now());
}

/// Adds a listed endpoint to the router; none when it is not usable yet.
async fn add_endpoint(
    ctx: &Rc<Ctx>,
    name: &EndpointName,
    instance: &Instance,
) -> Option<WatchedEndpoint> {
    let address: SocketAddr = instance.address.as_ref()?.parse().ok()?;
    if ctx.health.is_dead(name) && !health::is_reachable(ctx, address).await {
        return None;
    }
    let service = Service::from(instance.service.as_str());
    let document = ctx.document();
    let spec = document.services.get(&service)?;
    let is_engine = spec.kind == ServiceKind::Model;
    let models = if is_engine {
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
    if ctx.health.is_dead(name) {
        ctx.statements.stopped(name);
    }
    ctx.statements.listed(name, address, ctx.clock.now());
    ctx.health.mark_alive(name);
    ctx.decisions.record("add_endpoint", name, &reasons);
    ctx.fleet.router.borrow_mut().upsert(info);
    Some(WatchedEndpoint {
        name: name.clone(),
        address,
        service,
        is_engine,
        misses: 0,
        read_pending: Rc::default(),
        probe_pending: Rc::default(),
    })
}

/// Handles a reclaim notice: drains this node when it is its own instance, and otherwise stops
/// routing to the endpoint and moves its requests.
fn handle_notice(ctx: &Rc<Ctx>, instances: &[Instance], notice: &Notice) {
    if notice.seq <= ctx.fleet.last_notice.get() {
        return;
    }
    ctx.fleet.last_notice.set(notice.seq);
    let Some(instance) = instances
        .iter()
        .find(|instance| instance.id == notice.instance)
    else {
        return;
    };
    let left = Millis(notice.grace_ms.saturating_sub(notice.age_ms));
    if instance.kind == Kind::Entry {
        if instance.address.as_deref() == Some(&ctx.members.me().rpc.to_string()) {
            ctx.decisions.record(
                "drain",
                &ctx.settings.name,
                &format!("reason=reclaim left_ms={left}"),
            );
            ctx.reclaimed.notify_one();
        }
        return;
    }
    mark_leaving(ctx, &EndpointName::from(instance.id.as_str()), left);
}

/// Stops routing to an endpoint and moves its requests, on the first call for it.
fn mark_leaving(ctx: &Rc<Ctx>, name: &EndpointName, left: Millis) {
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
    ctx.decisions.record(
        "leave_endpoint",
        name,
        &format!("reason=reclaim left_ms={left}"),
    );
    ctx.tasks
        .spawn(reclaim::evacuate(Rc::clone(ctx), name.clone(), left));
}

/// Reads the load and cache reports of an engine, unless the previous read is still running.
fn read_reports(ctx: &Rc<Ctx>, watched: &WatchedEndpoint) {
    if !watched.is_engine || watched.read_pending.replace(true) {
        return;
    }
    let (ctx, name, address) = (Rc::clone(ctx), watched.name.clone(), watched.address);
    let read_pending = Rc::clone(&watched.read_pending);
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        if let Some(load) = get_report::<Load>(&ctx, (&name, address), "/v1/load").await {
            let now = ctx.clock.now();
            ctx.fleet.router.borrow_mut().record_load(&name, &load, now);
            ctx.fleet.loads.borrow_mut().insert(name.clone(), load);
            ctx.fleet.changed.notify_waiters();
        }
        let after = match ctx.fleet.router.borrow().trust(&name) {
            Some(Trust::Trusted { seq }) => seq,
            _ => 0,
        };
        let path = format!("/v1/cache/events?after={after}");
        let trust = match get_report::<CacheEvents>(&ctx, (&name, address), &path).await {
            Some(batch) => ctx
                .fleet
                .router
                .borrow_mut()
                .apply_cache_events(&name, &batch.events),
            None => None,
        };
        if matches!(trust, Some(Trust::Untrusted { .. }))
            && let Some(list) = get_report::<CacheList>(&ctx, (&name, address), "/v1/cache").await
        {
            ctx.fleet.router.borrow_mut().replace_cache(&name, &list);
        }
        read_pending.set(false);
    });
}

/// Looks whether an endpoint that leaves or wants nothing has stopped, unless the previous look is
/// still going on. The next process at its address is a new one, to which this does not apply.
///
/// The connection carries no request.
fn probe_stated(ctx: &Rc<Ctx>, watched: &WatchedEndpoint) {
    let standing = ctx.statements.standing(&watched.name, ctx.clock.now());
    if standing == Standing::Open || watched.probe_pending.replace(true) {
        return;
    }
    let (ctx, name, address) = (Rc::clone(ctx), watched.name.clone(), watched.address);
    let probe_pending = Rc::clone(&watched.probe_pending);
    let tasks = ctx.tasks.clone();
    tasks.spawn(async move {
        let connected = TcpStream::connect(address);
        let result = actix_rt::time::timeout(ctx.options.connect_timeout, connected).await;
        // A connection that is not answered tells nothing: the network may be cut.
        if let Ok(Err(error)) = result
            && error.kind() == io::ErrorKind::ConnectionRefused
        {
            ctx.decisions
                .record("drop_endpoint", &name, &"reason=stopped");
            ctx.statements.stopped(&name);
            ctx.health.mark_dead(&name);
            ctx.fleet.remove(&name);
        }
        probe_pending.set(false);
    });
}
