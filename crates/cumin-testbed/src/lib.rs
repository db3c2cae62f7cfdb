//! All stand-ins and several nodes in one process, for the demo and for tests over sockets.
//!
//! A testbed reads an environment document and brings up what it describes on loopback
//! addresses: engines and plain services in their places, the log, the cloud API, and entry
//! nodes. Everything runs in the calling `actix-rt` system.

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

/// What a testbed runs.
#[derive(Clone)]
pub struct Options {
    /// Entry nodes, spread over the document's places in turn.
    pub nodes: usize,
    /// Engines of each model service; the document's worker counts when none.
    pub engines: Option<usize>,
    /// How engines behave; model and address are set for each.
    pub engine: engine::Options,
    /// How plain services behave.
    pub service: service::Options,
    /// How the log behaves.
    pub log: log_service::Options,
    /// Timing of the nodes.
    pub node: cumin_node::Options,
    /// Drain time of the nodes.
    pub drain: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            nodes: 4,
            engines: None,
            engine: engine::Options::default(),
            service: service::Options::default(),
            log: log_service::Options::default(),
            node: cumin_node::Options {
                poll: Duration::from_millis(50),
                ..cumin_node::Options::default()
            },
            drain: Millis(3_000),
        }
    }
}

/// A testbed that could not start.
#[derive(Debug, Display, Error, From)]
pub enum Error {
    /// A stand-in's address can't be bound.
    #[display("a stand-in can't start: {_0}")]
    Standin(io::Error),
    /// A node can't start.
    #[display("a node can't start: {_0}")]
    Node(StartError),
    /// The system did not become ready.
    #[display("no entry was ready after {_0:?}")]
    #[error(ignore)]
    #[from(skip)]
    NotReady(Duration),
}

/// Stand-ins and nodes.
pub struct Testbed {
    /// The cloud API.
    pub cloud: Cloud,
    /// The log.
    pub log: Log,
    /// Engines by instance.
    pub engines: Rc<BTreeMap<String, Engine>>,
    /// Plain services by instance.
    pub services: Rc<BTreeMap<String, Service>>,
    nodes: RefCell<Vec<Option<Node>>>,
    document: Document,
    options: Options,
}

impl Testbed {
    /// Starts everything that `document` describes and waits until entries answer.
    ///
    /// # Errors
    /// When an address can't be bound or no entry becomes ready.
    pub async fn start(document: Document, options: Options) -> Result<Self, Error> {
        let cloud = Cloud::start(cloud::Options::default())?;
        let log = Log::start(options.log.clone())?;
        let mut engines = BTreeMap::new();
        let mut services = BTreeMap::new();
        for (name, spec) in &document.services {
            for (number, place) in workers(spec, options.engines).into_iter().enumerate() {
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
                cloud.register(instance(
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
        testbed.crash_on_end();
        for _ in 0..testbed.options.nodes {
            testbed.add_node()?;
        }
        testbed.ready().await?;
        Ok(testbed)
    }

    /// Has an engine or service crash when its instance ends.
    fn crash_on_end(&self) {
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

    /// Starts one more node; returns its number.
    ///
    /// # Errors
    /// When an address can't be bound.
    pub fn add_node(&self) -> Result<usize, Error> {
        self.add_node_with(Some(self.document.clone()))
    }

    /// Starts one more node with another document, or with none; returns its number.
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
            drain_ms: self.options.drain,
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

    /// Waits until every node lists every other and knows an endpoint of each service.
    async fn ready(&self) -> Result<(), Error> {
        let limit = Duration::from_secs(10);
        let all = self.nodes.borrow().len();
        let ready = async {
            loop {
                let known = self.nodes.borrow().iter().flatten().all(|node| {
                    node.is_ready()
                        && node.is_settled()
                        && node.entries().len() == all
                        && node.endpoints() == self.endpoints()
                });
                if known {
                    return;
                }
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        };
        actix_rt::time::timeout(limit, ready)
            .await
            .map_err(|_| Error::NotReady(limit))
    }

    fn endpoints(&self) -> usize {
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

    /// Returns the address of a running node.
    #[must_use]
    pub fn entry(&self, number: usize) -> Option<SocketAddr> {
        self.nodes.borrow()[number].as_ref().map(Node::address)
    }

    /// Returns the address of a running node for other nodes and operators.
    #[must_use]
    pub fn peer(&self, number: usize) -> Option<SocketAddr> {
        self.nodes.borrow()[number].as_ref().map(Node::peer_address)
    }

    /// Returns an operator that calls a running node.
    #[must_use]
    pub fn operator(&self, number: usize) -> Option<Operator> {
        self.operator_with(number, SECRET)
    }

    /// Returns one with another secret.
    #[must_use]
    pub fn operator_with(&self, number: usize, secret: &str) -> Option<Operator> {
        Some(Operator::new(self.peer(number)?, secret))
    }

    /// Returns true when callers should use a node.
    #[must_use]
    pub fn is_ready(&self, number: usize) -> bool {
        self.nodes.borrow()[number]
            .as_ref()
            .is_some_and(Node::is_ready)
    }

    /// Returns true, once, when a node was told to drain, as by a reclaim notice.
    #[must_use]
    pub fn drain_ordered(&self, number: usize) -> bool {
        let nodes = self.nodes.borrow();
        let node = nodes[number].as_ref();
        node.is_some_and(|node| node.reclaimed().now_or_never().is_some())
    }

    /// Returns the number of the running node with this address.
    #[must_use]
    pub fn number(&self, entry: SocketAddr) -> Option<usize> {
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .position(|node| node.as_ref().is_some_and(|node| node.address() == entry))
    }

    /// Returns the number of a node that runs a request.
    #[must_use]
    pub fn owner_of_some_request(&self) -> Option<usize> {
        let nodes = self.nodes.borrow();
        nodes
            .iter()
            .position(|node| node.as_ref().is_some_and(|node| node.running() > 0))
    }

    /// Returns a caller with an organisation's key.
    #[must_use]
    pub fn client(&self, key: &str) -> Client {
        Client::new(cumin_client::Options {
            key: key.into(),
            entries: self.entries(),
            ..cumin_client::Options::default()
        })
    }

    /// Returns a caller that waits when its organisation's quota is used up.
    #[must_use]
    pub fn patient(&self, key: &str) -> Client {
        Client::new(cumin_client::Options {
            key: key.into(),
            entries: self.entries(),
            // A share that is at its floor refills in up to 10 s.
            max_wait: Duration::from_secs(12),
            ..cumin_client::Options::default()
        })
    }

    /// Stops a node as SIGTERM does; completes when it has stopped.
    pub async fn stop_node(&self, number: usize) {
        let node = self.nodes.borrow_mut()[number].take();
        if let Some(node) = node {
            node.stop().await;
        }
    }

    /// Ends a node at once, as a crash would.
    pub fn crash_node(&self, number: usize) {
        if let Some(node) = self.nodes.borrow_mut()[number].take() {
            node.crash();
        }
    }

    /// Returns the sum of what the engines saw.
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

    /// Returns the number of effects of the key at all plain services.
    #[must_use]
    pub fn effects(&self, key: &str) -> u64 {
        let stats = self.services.values().map(Service::stats);
        stats
            .map(|stats| stats.by_key.get(key).copied().unwrap_or(0))
            .sum()
    }
}

fn workers(spec: &ServiceSpec, engines: Option<usize>) -> Vec<Place> {
    let all = spec.workers.iter();
    let all = all.flat_map(|(place, &count)| std::iter::repeat_n(place.clone(), count as usize));
    match engines {
        Some(limit) if spec.kind == ServiceKind::Model => {
            // In turn over the places, so that few engines still are in several.
            let places: Vec<_> = spec.workers.keys().cloned().collect();
            (0..limit)
                .map(|number| places[number % places.len()].clone())
                .collect()
        }
        _ => all.collect(),
    }
}

fn instance(
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
