//! The deployment of the demo: three regions of two halls, with gateways, upstreams and the store.
//!
//! It owns what runs and where callers may send; it relies on the stand-ins of the platform.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use ::platform::{config, fact, upstream as entry};
use model::{discovery, document, id, route, routing};
use node::gateway::{settings, thread};
use standin::platform::{listener, store, upstream};

/// Regions, each with two halls.
const REGIONS: [&str; 3] = ["east", "north", "west"];

/// Services.
pub const SERVICES: [&str; 2] = ["catalogue", "desk"];

/// Upstreams of each service in each hall.
const UPSTREAMS: usize = 2;

/// Requests that an upstream runs at once.
const SLOTS: u32 = 16;

/// Time an upstream works on a request.
const WORK: Duration = Duration::from_millis(15);

/// Time for the gateways to become ready.
const START_TIME: Duration = Duration::from_secs(20);

/// Time between two checks that they are ready.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The platform's store.
    pub store: store::Store,
    /// The gateways, by name, each with its own listener of the store.
    pub gateways: collections::BTreeMap<String, (thread::Thread, sync::Arc<listener::Listener>)>,
    /// Where callers may send requests; changes as gateways come and go.
    pub addresses: sync::Arc<sync::RwLock<Vec<net::SocketAddr>>>,
    upstreams: Vec<(discovery::Entry, upstream::Upstream)>,
    version: u64,
}

impl Deployment {
    /// Starts everything and waits until every gateway knows the configuration.
    ///
    /// # Errors
    ///
    /// Fails when something cannot start, or is not ready in time.
    pub async fn start() -> anyhow::Result<Self> {
        let mut deployment = Self {
            store: store::Store::start(),
            gateways: collections::BTreeMap::new(),
            addresses: sync::Arc::default(),
            upstreams: Vec::new(),
            version: 0,
        };
        deployment.configure(SERVICES[0]);
        for hall in halls() {
            for service in SERVICES {
                for index in 0..UPSTREAMS {
                    deployment.add_upstream(service, &hall, index).await?;
                }
            }
        }
        for hall in halls() {
            deployment.add_gateway(&hall).await?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Puts a new version of the configuration, in which `reads` serves the reads.
    pub fn configure(&mut self, reads: &str) {
        self.version += 1;
        let routes = vec![
            a_route("reads", "/read/", route::Kind::Idempotent, reads),
            a_route("bookings", "/book/", route::Kind::NonIdempotent, SERVICES[1]),
        ];
        let rules = routing::ServiceRules {
            health_check_path: None,
            max_connections: None,
            cold_start: Duration::from_secs(1),
            cold_rate: None,
            shed: Vec::new(),
        };
        let services = SERVICES.iter().map(|s| (id::Service::new(s), rules.clone())).collect();
        let limits = routing::CallerLimits::default();
        let routing = routing::Routing::new(self.version, routes, services, limits);
        self.store.put(fact::CONFIG, &config::write(&routing));
    }

    /// Asks that nothing more be sent to a hall, or withdraws that.
    pub fn evacuate(&self, hall: &str, is_wanted: bool) {
        let key = format!("{}{hall}", fact::EVACUATIONS);
        match is_wanted {
            true => self.store.put(&key, b"{}"),
            false => self.store.remove(&key),
        };
    }

    /// Lets the first upstream of a hall say that it leaves.
    pub fn drain_upstream(&mut self, hall: &str) {
        let in_hall = |(e, _): &&mut (discovery::Entry, _)| e.hall.as_str() == hall;
        let Some((listed, _)) = self.upstreams.iter_mut().find(in_hall) else { return };
        listed.state = discovery::State::Draining;
        self.store.put(&key(&listed.id), &entry::write(listed));
    }

    /// Lets one upstream in `every` show `behavior`, the others answer correctly.
    pub fn misbehave(&self, behavior: upstream::Behavior, every: usize) {
        for (index, (_, standin)) in self.upstreams.iter().enumerate() {
            standin.set(match index % every {
                0 => behavior,
                _ => upstream::Behavior::Slow(WORK),
            });
        }
    }

    /// Sets how the store answers every gateway, or every second one.
    pub fn set_listeners(&self, mode: listener::Mode, is_for_all: bool) {
        for (index, (_, listener)) in self.gateways.values().enumerate() {
            if is_for_all || index % 2 == 0 {
                listener.set(mode);
            }
        }
    }

    /// Takes a gateway out, as planned or at once, and starts it anew.
    ///
    /// # Errors
    ///
    /// Fails when it cannot start again.
    pub async fn restart(&mut self, hall: &str, is_planned: bool) -> anyhow::Result<()> {
        if let Some((gateway, _)) = self.gateways.remove(&name(hall)) {
            self.publish();
            match is_planned {
                true => {
                    gateway.stop().await;
                }
                false => gateway.kill().await,
            }
        }
        self.add_gateway(hall).await?;
        self.wait_ready().await
    }

    /// Returns what every upstream did.
    #[must_use]
    pub fn records(&self) -> Vec<upstream::Record> {
        self.upstreams.iter().map(|(_, standin)| standin.record()).collect()
    }

    async fn add_upstream(
        &mut self,
        service: &str,
        hall: &str,
        index: usize,
    ) -> anyhow::Result<()> {
        let name = format!("{service}-{hall}-{index}");
        let standin = upstream::Upstream::start(&name).await?;
        standin.set(upstream::Behavior::Slow(WORK));
        let listed = discovery::Entry {
            id: id::Upstream::new(&name),
            service: id::Service::new(service),
            address: standin.address,
            hall: id::Hall::new(hall),
            version: None,
            slots: SLOTS,
            state: discovery::State::Ready,
            cold_left: Duration::ZERO,
            born: 0,
        };
        self.store.put(&key(&listed.id), &entry::write(&listed));
        self.upstreams.push((listed, standin));
        Ok(())
    }

    async fn add_gateway(&mut self, hall: &str) -> anyhow::Result<()> {
        let listener = self.store.open().await?;
        let seeds: Vec<String> = self
            .gateways
            .values()
            .take(3)
            .map(|(gateway, _)| format!("\"{}\"", gateway.listen.peers))
            .collect();
        let halls: String =
            halls().iter().map(|hall| format!("  {hall}: {}\n", region(hall))).collect();
        let text = format!(
            "role: gateway\nnode: {}\nregion: {}\nhall: {hall}\nhalls:\n{halls}listen:\n  \
             callers: 127.0.0.1:0\n  ready: 127.0.0.1:0\n  directory: 127.0.0.1:0\n  \
             peers: 127.0.0.1:0\nseeds: [{}]\nstore: {}\n",
            name(hall),
            region(hall),
            seeds.join(", "),
            listener.address
        );
        let settings: settings::Settings = document::read("demo", &text)?;
        let gateway = thread::Thread::start(settings).await?;
        self.gateways.insert(name(hall), (gateway, listener));
        Ok(())
    }

    async fn wait_ready(&mut self) -> anyhow::Result<()> {
        let began = Instant::now();
        for (name, (gateway, _)) in &self.gateways {
            while !crate::demo::gateways::callers::is_ready(gateway.listen.ready).await {
                anyhow::ensure!(began.elapsed() < START_TIME, "{name} is not ready in time");
                tokio::time::sleep(LOOK_EVERY).await;
            }
        }
        self.publish();
        Ok(())
    }

    fn publish(&self) {
        let addresses = self.gateways.values().map(|(gateway, _)| gateway.listen.callers);
        let mut published = self.addresses.write().unwrap_or_else(sync::PoisonError::into_inner);
        *published = addresses.collect();
    }
}

/// Returns all halls.
#[must_use]
pub fn halls() -> Vec<String> {
    REGIONS.iter().flat_map(|r| [format!("{r}-1"), format!("{r}-2")]).collect()
}

fn region(hall: &str) -> &str {
    hall.split('-').next().unwrap_or_default()
}

fn name(hall: &str) -> String {
    format!("entry-{hall}")
}

fn key(upstream: &id::Upstream) -> String {
    format!("{}{upstream}", fact::UPSTREAMS)
}

fn a_route(name: &str, prefix: &str, kind: route::Kind, service: &str) -> route::Route {
    route::Route {
        name: id::Route::new(name),
        host: "demo.example".to_owned(),
        prefix: prefix.to_owned(),
        repetition: kind,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(200),
        priority: 0,
        parts: vec![route::Part { service: id::Service::new(service), weight: 1_000 }],
        max_attempts: 2,
        is_sticky: true,
        home_regions: Vec::new(),
        is_public: false,
    }
}
