//! The whole system in one process, for the demo and for tests over sockets.
//!
//! A testbed takes an environment document and starts what it describes on loopback addresses:
//! stand-ins for the engines and plain services in their places, for the log and for the cloud
//! API, and real entry nodes. Everything runs in the calling `actix-rt` system.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use cumin_client::Client;
use cumin_config::{Document, Secret, ServiceKind, ServiceSpec, Settings};
use cumin_node::{Node, Operator, StartError};
use cumin_standin::cloud::{self, Cloud};
use cumin_standin::engine::{self, Engine};
use cumin_standin::log::{self as log_service, Log};
use cumin_standin::service::{self, Service};
use cumin_types::{Millis, Place};
use cumin_wire::cloud::{Instance, Kind, Market, State};
use derive_more::{Display, Error, From};
use futures_util::FutureExt;

/// Shared secret of the nodes of a testbed.
pub const SECRET: &str = "testbed-secret-0123456789-0123456789";

/// Settings of a testbed.
#[derive(Clone)]
pub struct Options {
    /// Number of entry nodes, assigned to the document's places in turn.
    pub node_count: usize,
    /// Number of engines of each model service; `None` takes the document's worker counts.
    pub engine_count: Option<usize>,
    /// Settings of the engines; the model is set for each.
    pub engine: engine::Options,
    /// Settings of the plain services.
    pub service: service::Options,
    /// Settings of the log.
    pub log: log_service::Options,
    /// Settings of the nodes.
    pub node: cumin_node::Options,
    /// Drain time of the nodes.
    pub drain_time: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            node_count: 4,
            engine_count: None,
            engine: engine::Options::default(),
            service: service::Options::default(),
            log: log_service::Options::default(),
            node: cumin_node::Options {
                poll_period: Duration::from_millis(50),
                ..cumin_node::Options::default()
            },
            drain_time: Millis(3_000),
        }
    }
}

/// Errors of starting a testbed.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// The address of a stand-in can't be bound.
    #[display("a stand-in can't start: {_0}")]
    Standin(io::Error),
    /// A node can't start.
    #[display("a node can't start: {_0}")]
    Node(StartError),
    /// The nodes did not become ready in time.
    #[display("no entry was ready after {_0:?}")]
    #[error(ignore)]
    #[from(skip)]
    NotReady(Duration),
}

/// The running stand-ins and nodes.
pub struct Testbed {
    /// The cloud API.
    pub cloud: Cloud,
    /// The log.
    pub log: Log,
    /// Engines by instance id.
    pub engines: Rc<BTreeMap<String, Engine>>,
    /// Plain services by instance id.
    pub services: Rc<BTreeMap<String, Service>>,
    nodes: RefCell<Vec<Option<Node>>>,
    document: Document,
    options: Options,
}

impl Testbed {
    /// Starts everything that `document` describes and waits until all nodes are ready.
    ///
    /// # Errors
    /// When an address can't be bound or the nodes don't become ready.
    pub async fn start(document: Document, options: Options) -> Result<Self, Error> {
        let cloud = Cloud::start(cloud::Options::default())?;
        let log = Log::start(options.log.clone())?;
        let mut engines = BTreeMap::new();
        let mut services = BTreeMap::new();
        for (name, spec) in &document.services {
            for (number, place) in worker_places(spec, options.engine_count)
                .into_iter()
                .enumerate()
            {
                let id = format!("{name}-{}", number + 1);
                let address = if spec.kind == ServiceKind::Model {
                    let models: Vec<_> = spec.models.iter().collect();
                    let model = models[number % models.len()].to_string();
                    let engine = Engine::start(engine::Options {
                        model,
                        ..options.engine.clone()
                    })?;
                    let address = engine.address();
                    engines.insert(id.clone(), engine);
                    address
                } else {
                    let service = Service::start(options.service.clone())?;
                    let address = service.address();
                    services.insert(id.clone(), service);
                    address
                };
                cloud.register(worker_instance(
                    &document,
                    &id,
                    name.as_str(),
                    spec,
                    &place,
                    address,
                ));
            }
        }
        let testbed = Self {
            cloud,
            log,
            engines: Rc::new(engines),
            services: Rc::new(services),
            nodes: RefCell::default(),
            document,
            options,
        };
        testbed.crash_on_stop();
        for _ in 0..testbed.options.node_count {
            testbed.add_node()?;
        }
        testbed.wait_ready().await?;
        Ok(testbed)
    }

    /// Makes an engine or a plain service crash when its instance stops.
    fn crash_on_stop(&self) {
        let (engines, services) = (Rc::clone(&self.engines), Rc::clone(&self.services));
        self.cloud.set_hook(Rc::new(move |instance| {
            if instance.state != State::Stopped {
                return;
            }
            if let Some(engine) = engines.get(&instance.id) {
                engine.crash();
            }
            if let Some(service) = services.get(&instance.id) {
                service.crash();
            }
        }));
    }

    /// Starts another node with the testbed's document; returns its number.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn add_node(&self) -> Result<usize, Error> {
        self.add_node_with(Some(self.document.clone()))
    }

    /// Starts another node with the given document or without one; returns its number.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn add_node_with(&self, document: Option<Document>) -> Result<usize, Error> {
        let number = self.nodes.borrow().len();
        let places: Vec<_> = self.document.places.iter().collect();
        let (place, spec) = places[number % places.len()];
        let local: SocketAddr = ([127, 0, 0, 1], 0).into();
        let seeds = self
            .nodes
            .borrow()
            .iter()
            .flatten()
            .map(Node::peer_address)
            .collect();
        let settings = Settings {
            name: format!("entry-{}", number + 1).into(),
            place: place.clone(),
            region: spec.region.clone(),
            environment: self.document.environment.name.clone(),
            listen: local,
            peer_listen: local,
            seeds,
            log_address: self.log.address(),
            cloud_address: self.cloud.address(),
            secret: Some(Secret::new(SECRET)),
            drain_ms: self.options.drain_time,
            ..Settings::default()
        };
        let node = Node::start(settings, document, self.options.node.clone())?;
        self.cloud.register(Instance {
            id: format!("entry-{}", number + 1),
            token: String::new(),
            kind: Kind::Entry,
            service: "entry".into(),
            place: place.to_string(),
            class: self.document.entry.class.to_string(),
            market: Market::Reclaimable,
            price: 0.0,
            state: State::Live,
            address: Some(node.peer_address().to_string()),
        });
        self.nodes.borrow_mut().push(Some(node));
        Ok(number)
    }

    /// Waits until every node is ready and settled and knows all entries and all endpoints.
    async fn wait_ready(&self) -> Result<(), Error> {
        let limit = Duration::from_secs(10);
        let node_count = self.nodes.borrow().len();
        let ready = async {
            loop {
                let all_ready = self.nodes.borrow().iter().flatten().all(|node| {
                    node.is_ready()
                        && node.is_settled()
                        && node.entries().len() == node_count
                        && node.endpoints() == self.endpoint_count()
                });
                if all_ready {
                    return;
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        };
        actix_rt::time::timeout(limit, ready)
            .await
            .map_err(|_| Error::NotReady(limit))
    }

    fn endpoint_count(&self) -> usize {
        self.engines.len() + self.services.len()
    }

    /// Returns the addresses of the running nodes.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.nodes
            .borrow()
            .iter()
            .flatten()
            .map(Node::address)
            .collect()
    }

    /// Returns the address for callers of a running node.
    #[must_use]
    pub fn entry_address(&self, number: usize) -> Option<SocketAddr> {
        self.nodes.borrow()[number].as_ref().map(Node::address)
    }

    /// Returns the address of a running node for other nodes and operators.
    #[must_use]
    pub fn peer_address(&self, number: usize) -> Option<SocketAddr> {
        self.nodes.borrow()[number].as_ref().map(Node::peer_address)
    }

    /// Returns a client of a running node's operator calls.
    #[must_use]
    pub fn operator(&self, number: usize) -> Option<Operator> {
        self.operator_with_secret(number, SECRET)
    }

    /// Returns a client of a running node's operator calls that uses the given secret.
    #[must_use]
    pub fn operator_with_secret(&self, number: usize, secret: &str) -> Option<Operator> {
        Some(Operator::new(self.peer_address(number)?, secret))
    }

    /// Returns true when a node runs and is ready for callers.
    #[must_use]
    pub fn is_ready(&self, number: usize) -> bool {
        self.nodes.borrow()[number]
            .as_ref()
            .is_some_and(Node::is_ready)
    }

    /// Returns true when a running node has been told to drain, by an operator or a reclaim notice;
    /// each order is reported once.
    #[must_use]
    pub fn take_drain_order(&self, number: usize) -> bool {
        let nodes = self.nodes.borrow();
        let node = nodes[number].as_ref();
        node.is_some_and(|node| node.reclaimed().now_or_never().is_some())
    }

    /// Returns the number of the running node with this address.
    #[must_use]
    pub fn node_number(&self, entry: SocketAddr) -> Option<usize> {
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .position(|node| node.as_ref().is_some_and(|node| node.address() == entry))
    }

    /// Returns the number of the first node that runs a request.
    #[must_use]
    pub fn busy_node(&self) -> Option<usize> {
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .position(|node| node.as_ref().is_some_and(|node| node.running() > 0))
    }

    /// Returns a client with the API key of an organisation.
    #[must_use]
    pub fn client(&self, key: &str) -> Client {
        Client::new(cumin_client::Options {
            key: key.into(),
            entries: self.entries(),
            ..cumin_client::Options::default()
        })
    }

    /// Returns a client that waits and retries when its organisation's quota is used up.
    #[must_use]
    pub fn patient_client(&self, key: &str) -> Client {
        Client::new(cumin_client::Options {
            key: key.into(),
            entries: self.entries(),
            // A node's share of a quota can take up to 10 s to refill when it is at its minimum.
            max_wait: Duration::from_secs(12),
            ..cumin_client::Options::default()
        })
    }

    /// Stops a node gracefully, as SIGTERM does; returns when it has stopped.
    pub async fn stop_node(&self, number: usize) {
        let node = self.nodes.borrow_mut()[number].take();
        if let Some(node) = node {
            node.stop().await;
        }
    }

    /// Stops a node at once, as a crash would.
    pub fn crash_node(&self, number: usize) {
        if let Some(node) = self.nodes.borrow_mut()[number].take() {
            node.crash();
        }
    }

    /// Returns the sums of the engines' counters.
    #[must_use]
    pub fn engine_stats(&self) -> engine::Stats {
        let mut sum = engine::Stats::default();
        for stats in self.engines.values().map(Engine::stats) {
            sum.attempts += stats.attempts;
            sum.mismatches += stats.mismatches;
            sum.prefilled += stats.prefilled;
            sum.recomputed += stats.recomputed;
            sum.generated += stats.generated;
            sum.exports += stats.exports;
            sum.imports += stats.imports;
        }
        sum
    }

    /// Returns the number of engines that accept no connections.
    #[must_use]
    pub fn crashed_engines(&self) -> usize {
        let down = |engine: &&Engine| std::net::TcpStream::connect(engine.address()).is_err();
        self.engines.values().filter(down).count()
    }

    /// Returns the number of effects under an idempotency key, over all plain services.
    #[must_use]
    pub fn effect_count(&self, key: &str) -> u64 {
        let stats = self.services.values().map(Service::stats);
        stats
            .map(|stats| stats.by_key.get(key).copied().unwrap_or(0))
            .sum()
    }
}

/// Returns the place of each worker of a service.
fn worker_places(spec: &ServiceSpec, engine_count: Option<usize>) -> Vec<Place> {
    let all = spec.workers.iter();
    let all = all.flat_map(|(place, &count)| std::iter::repeat_n(place.clone(), count as usize));
    match engine_count {
        Some(count) if spec.kind == ServiceKind::Model => {
            // Assigned to the places in turn, so that even a few engines are in several places.
            let places: Vec<_> = spec.workers.keys().cloned().collect();
            (0..count)
                .map(|number| places[number % places.len()].clone())
                .collect()
        }
        _ => all.collect(),
    }
}

/// Describes a worker as the cloud API lists it.
fn worker_instance(
    document: &Document,
    id: &str,
    service: &str,
    spec: &ServiceSpec,
    place: &Place,
    address: SocketAddr,
) -> Instance {
    let offer = document.offers.values().find(|offer| {
        offer.place == *place
            && spec.classes.contains(&offer.class)
            && offer.market == cumin_config::Market::Reclaimable
    });
    Instance {
        id: id.into(),
        token: String::new(),
        kind: if spec.kind == ServiceKind::Model {
            Kind::Engine
        } else {
            Kind::Plain
        },
        service: service.into(),
        place: place.to_string(),
        class: offer
            .map(|offer| offer.class.to_string())
            .unwrap_or_default(),
        market: Market::Reclaimable,
        price: offer.map_or(0.0, |offer| offer.price_per_hour.0),
        state: State::Live,
        address: Some(address.to_string()),
    }
}
