//! A complete deployment of processes on this machine.
//!
//! Every failure domain has its own loopback address, from which its nodes connect, so that the
//! platform and the links between nodes can partition a domain by source address.

use {
    crate::{
        caller::Caller,
        deployment::{DOMAINS, Deployment, UpstreamSpec},
        link::{self, Partitions, Target},
        platform::Control,
        process::{EVENT_TIMEOUT, Process, value_of},
        upstream::{Behaviour, ReceivedOrder, Run},
    },
    anyhow::{Context, bail},
    fernring_core::{
        change::{CONFIG_STREAM, Change, ConfigRecord, Operation, Version},
        log::{LogPage, LogRecord},
    },
    fernring_platform::{HttpLog, LogService, VmEntry, VmRole, VmState},
    serde::Deserialize,
    std::{
        collections::BTreeMap,
        fs,
        net::{IpAddr, Ipv4Addr, SocketAddr},
        sync::atomic::{AtomicU32, Ordering},
        time::{Duration, Instant},
    },
    tempfile::TempDir,
    uuid::Uuid,
};

/// Number of clusters started by this process.
static CLUSTERS_STARTED: AtomicU32 = AtomicU32::new(0);

/// Pause between two polls of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Description of a deployment to start.
#[derive(Debug, Clone)]
pub struct ClusterSpec {
    /// Pools, pipelines and workspaces.
    pub deployment: Deployment,
    /// Nodes to start.
    pub nodes: Vec<NodeSpec>,
    /// Lines added to every node's settings file.
    pub extra_settings: String,
    /// Whether each upstream is a process of its own; otherwise each pool is one.
    pub process_per_upstream: bool,
}

/// A node to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeSpec {
    /// Its failure domain.
    pub failure_domain: &'static str,
}

/// Returns `count` nodes for each failure domain.
pub fn nodes_per_domain(count: usize) -> Vec<NodeSpec> {
    let domains = DOMAINS.iter().flat_map(|domain| std::iter::repeat_n(*domain, count));
    domains.map(|failure_domain| NodeSpec { failure_domain }).collect()
}

/// A node that was started.
#[derive(Debug)]
pub struct NodeProcess {
    /// Its process.
    pub process: Process,
    /// Its failure domain.
    pub failure_domain: &'static str,
    /// Its address for callers.
    pub caller_address: SocketAddr,
    /// Its address for other nodes.
    pub peer_address: SocketAddr,
}

/// An upstream that was started.
#[derive(Debug, Clone)]
pub struct UpstreamHandle {
    /// Its description.
    pub spec: UpstreamSpec,
    /// Address that it listens on.
    pub address: SocketAddr,
}

/// The fields of `/v1/status` that tests and measurements read.
#[derive(Debug, Clone, Deserialize)]
pub struct NodeStatus {
    /// Whether it accepts requests.
    pub ready: bool,
    /// Version of the configuration in force.
    pub config_version: Version,
    /// Live nodes of its failure domain.
    pub live_nodes: u32,
    /// Its counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Costs by stage.
    pub costs: Vec<CostRow>,
}

/// Costs of one stage for one pipeline and workspace.
#[derive(Debug, Clone, Deserialize)]
pub struct CostRow {
    /// Name of the pipeline.
    pub pipeline: String,
    /// Name of the workspace.
    pub workspace: String,
    /// Name of the stage.
    pub stage: String,
    /// Time of attempts whose result was used, in milliseconds.
    pub useful_ms: f64,
    /// Time of attempts that failed, in milliseconds.
    pub failed_ms: f64,
    /// Time of attempts that lost against their hedge or original, in milliseconds.
    pub hedged_ms: f64,
    /// Time of attempts whose request had ended, in milliseconds.
    pub abandoned_ms: f64,
}

/// A running deployment. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Cluster {
    /// The nodes.
    pub nodes: Vec<NodeProcess>,
    /// The upstreams by name.
    pub upstreams: BTreeMap<String, UpstreamHandle>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Network partitions between nodes.
    pub partitions: Partitions,
    /// The caller used by tests.
    pub caller: Caller,
    /// Configuration version after the last published change.
    pub version: Version,
    spec: ClusterSpec,
    directory: TempDir,
    node_count: usize,
    vms: Vec<VmEntry>,
    upstream_processes: BTreeMap<String, Process>,
    _platform_process: Process,
}

/// Returns the loopback address of a failure domain.
pub fn domain_ip(failure_domain: &str) -> IpAddr {
    let index = DOMAINS.iter().position(|domain| *domain == failure_domain).unwrap_or(0);
    IpAddr::V4(Ipv4Addr::new(127, 0, index as u8 + 1, 1))
}

/// Returns a loopback address that no other cluster of this process uses for its upstreams. The
/// system may reuse the port of a killed upstream, and the nodes of one test must not reach the
/// upstreams of another test through it.
fn unused_upstream_ip() -> IpAddr {
    let number = CLUSTERS_STARTED.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let (high, low) = ((process / 250 % 250) as u8, (process % 250) as u8);
    IpAddr::V4(Ipv4Addr::new(127, 64 + (number % 128) as u8, high, 1 + low))
}

fn wait_for_address(process: &Process, name: &str) -> anyhow::Result<SocketAddr> {
    let line = process.wait_line("listening", |line| {
        line.starts_with("listening") && value_of(line, "name") == Some(name)
    });
    Ok(value_of(&line, "address").context("no address in the line")?.parse()?)
}

impl Cluster {
    /// Starts everything, publishes the deployment's configuration and waits until every node
    /// has it in force.
    ///
    /// # Errors
    /// If a process can't be started or a node does not get ready.
    pub async fn start(spec: ClusterSpec) -> anyhow::Result<Self> {
        let platform_process = Process::start("platform", "standin_platform", &[])?;
        let platform = wait_for_address(&platform_process, "platform")?;
        let mut cluster = Self {
            nodes: Vec::new(),
            upstreams: BTreeMap::new(),
            platform,
            partitions: Partitions::default(),
            caller: Caller::new(),
            version: 0,
            directory: TempDir::new()?,
            node_count: 0,
            vms: Vec::new(),
            upstream_processes: BTreeMap::new(),
            _platform_process: platform_process,
            spec,
        };
        cluster.start_upstreams()?;
        let mut operations = cluster.spec.deployment.declare();
        let upstreams = cluster.upstreams.values();
        operations.extend(upstreams.map(|handle| handle.spec.declare(handle.address)));
        cluster.publish(operations).await?;
        for node in cluster.spec.nodes.clone() {
            cluster.start_node(node).await?;
        }
        cluster.settle().await?;
        Ok(cluster)
    }

    fn start_upstreams(&mut self) -> anyhow::Result<()> {
        let upstream_ip = unused_upstream_ip();
        let mut groups: BTreeMap<String, Vec<UpstreamSpec>> = BTreeMap::new();
        for spec in self.spec.deployment.upstreams() {
            let own_process = self.spec.process_per_upstream;
            let group = if own_process { spec.name.clone() } else { spec.pool.clone() };
            groups.entry(group).or_default().push(spec);
        }
        for (group, specs) in groups {
            let mut args = Vec::new();
            for spec in &specs {
                let behaviour = serde_json::to_string(&spec.behaviour)?;
                args.push(format!("{}={behaviour}", spec.name));
            }
            let ip = format!("--ip={upstream_ip}");
            let args = std::iter::once(&ip).chain(&args);
            let args: Vec<&str> = args.map(String::as_str).collect();
            let process = Process::start(&group, "standin_upstream", &args)?;
            for spec in specs {
                let address = wait_for_address(&process, &spec.name)?;
                self.upstreams.insert(spec.name.clone(), UpstreamHandle { spec, address });
            }
            self.upstream_processes.insert(group, process);
        }
        Ok(())
    }

    /// Starts another node and adds it to the VM list.
    ///
    /// # Errors
    /// If it can't be started.
    pub async fn start_node(&mut self, node: NodeSpec) -> anyhow::Result<usize> {
        let ip = domain_ip(node.failure_domain);
        let target = Target::default();
        let peer_address = link::start(ip, target.clone(), self.partitions.clone()).await?;
        let platform = self.platform;
        let settings = format!(
            "[node]\nfailure_domain = \"{}\"\ncaller_address = \"127.0.0.1:0\"\n\
             peer_address = \"{ip}:0\"\npeer_advertised = \"{peer_address}\"\n\
             [platform]\nlog_address = \"{platform}\"\nvm_list_address = \"{platform}\"\n\
             vm_list_every_ms = 200\n{}\n",
            node.failure_domain, self.spec.extra_settings
        );
        self.node_count += 1;
        let name = format!("{}{}", node.failure_domain, self.node_count);
        let path = self.directory.path().join(format!("{name}.toml"));
        fs::write(&path, settings)?;
        let path = path.to_str().context("the path is not text")?;
        let process = Process::start(&name, "fernring", &["serve", path])?;
        let line = process.wait_event("listening");
        let address = |key| -> anyhow::Result<SocketAddr> {
            Ok(value_of(&line, key).context("no address in the line")?.parse()?)
        };
        let caller_address = address("caller")?;
        target.set(address("bound")?);
        let failure_domain = node.failure_domain;
        self.nodes.push(NodeProcess { process, failure_domain, caller_address, peer_address });
        self.vms.push(VmEntry {
            vm: name,
            address: peer_address,
            failure_domain: failure_domain.to_owned(),
            role: VmRole::Entry,
            state: VmState::Live,
        });
        self.put_vm_list().await?;
        Ok(self.nodes.len() - 1)
    }

    /// Sets the state of an upstream, such as leaving, in the VM list.
    ///
    /// # Errors
    /// If the platform refuses it.
    pub async fn set_vm_state(&mut self, name: &str, state: VmState) -> anyhow::Result<()> {
        let handle = self.upstreams.get(name).context("no such upstream")?;
        let entry = VmEntry {
            vm: name.to_owned(),
            address: handle.address,
            failure_domain: handle.spec.failure_domain.to_owned(),
            role: VmRole::Upstream,
            state,
        };
        self.vms.retain(|vm| vm.vm != name);
        self.vms.push(entry);
        self.put_vm_list().await
    }

    async fn put_vm_list(&self) -> anyhow::Result<()> {
        self.caller.put(self.platform, "/control/vms", &self.vms).await
    }

    /// Publishes a change, which must be valid, and returns its version.
    ///
    /// # Errors
    /// If the log refuses it.
    pub async fn publish(&mut self, operations: Vec<Operation>) -> anyhow::Result<Version> {
        let change =
            Change { base: self.version, id: Uuid::now_v7(), author: "test".into(), operations };
        let data = serde_json::to_vec(&ConfigRecord::Change(change))?;
        let log = HttpLog::new(self.platform, EVENT_TIMEOUT, None);
        self.version = log.append(CONFIG_STREAM, &data).await?.offset + 1;
        Ok(self.version)
    }

    /// Waits until every node is ready and has the last published version in force.
    ///
    /// # Errors
    /// If this takes one node longer than [`EVENT_TIMEOUT`].
    pub async fn settle(&self) -> anyhow::Result<()> {
        for index in 0..self.nodes.len() {
            self.settle_node(index).await?;
        }
        Ok(())
    }

    /// Waits until a node is ready and has the last published version in force.
    ///
    /// # Errors
    /// If this takes longer than [`EVENT_TIMEOUT`].
    pub async fn settle_node(&self, index: usize) -> anyhow::Result<()> {
        let version = self.version;
        let in_force = |status: &NodeStatus| status.ready && status.config_version >= version;
        self.wait_node(index, "the configuration in force", in_force).await?;
        Ok(())
    }

    /// Returns the status of a node.
    ///
    /// # Errors
    /// If it does not respond.
    pub async fn status(&self, index: usize) -> anyhow::Result<NodeStatus> {
        self.caller.get(self.nodes[index].caller_address, "/v1/status").await
    }

    /// Waits until `is_expected` accepts the status of a node. `what` names the condition in the
    /// error.
    ///
    /// # Errors
    /// If this takes longer than [`EVENT_TIMEOUT`].
    pub async fn wait_node(
        &self,
        index: usize,
        what: &str,
        is_expected: impl Fn(&NodeStatus) -> bool,
    ) -> anyhow::Result<NodeStatus> {
        let end = Instant::now() + EVENT_TIMEOUT;
        loop {
            if let Ok(status) = self.status(index).await
                && is_expected(&status)
            {
                return Ok(status);
            }
            if Instant::now() >= end {
                bail!("node {index}: timed out waiting for {what}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Changes the platform's behaviour.
    ///
    /// # Errors
    /// If the request is refused.
    pub async fn control_platform(&self, control: &Control) -> anyhow::Result<()> {
        self.caller.post(self.platform, "/control", control).await?.error_for_status()?;
        Ok(())
    }

    /// Changes an upstream's behaviour.
    ///
    /// # Errors
    /// If the request is refused.
    pub async fn control_upstream(&self, name: &str, behaviour: &Behaviour) -> anyhow::Result<()> {
        let address = self.upstreams.get(name).context("no such upstream")?.address;
        self.caller.post(address, "/control", behaviour).await?.error_for_status()?;
        Ok(())
    }

    /// Returns what an upstream has run.
    ///
    /// # Errors
    /// If it does not respond.
    pub async fn runs(&self, name: &str) -> anyhow::Result<Vec<Run>> {
        let address = self.upstreams.get(name).context("no such upstream")?.address;
        self.caller.get(address, "/control/runs").await
    }

    /// Returns what all upstreams of a pool have run.
    ///
    /// # Errors
    /// If one does not respond.
    pub async fn pool_runs(&self, pool: &str) -> anyhow::Result<Vec<Run>> {
        let mut all = Vec::new();
        for (name, handle) in &self.upstreams {
            if handle.spec.pool == pool {
                all.extend(self.runs(name).await?);
            }
        }
        Ok(all)
    }

    /// Waits until `is_expected` accepts the runs of a pool, and returns them.
    ///
    /// # Errors
    /// If this takes longer than [`EVENT_TIMEOUT`].
    pub async fn wait_runs(
        &self,
        pool: &str,
        is_expected: impl Fn(&[Run]) -> bool,
    ) -> anyhow::Result<Vec<Run>> {
        let end = Instant::now() + EVENT_TIMEOUT;
        loop {
            let runs = self.pool_runs(pool).await?;
            if is_expected(&runs) {
                return Ok(runs);
            }
            if Instant::now() >= end {
                bail!("pool {pool}: timed out waiting for runs");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until an engine has accepted an order, and returns the first accepted one.
    ///
    /// # Errors
    /// If this takes longer than [`EVENT_TIMEOUT`].
    pub async fn wait_order(&self, name: &str) -> anyhow::Result<ReceivedOrder> {
        let address = self.upstreams.get(name).context("no such upstream")?.address;
        let end = Instant::now() + EVENT_TIMEOUT;
        while Instant::now() < end {
            let orders: Vec<ReceivedOrder> = self.caller.get(address, "/control/orders").await?;
            if let Some(order) = orders.into_iter().find(|order| order.taken) {
                return Ok(order);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("timed out waiting for an order at {name}");
    }

    /// Waits until `is_expected` accepts the first page of a stream. `what` names the condition in
    /// the error.
    ///
    /// # Errors
    /// If this takes longer than [`EVENT_TIMEOUT`].
    pub async fn wait_log(
        &self,
        stream: &str,
        what: &str,
        is_expected: impl Fn(&LogPage) -> bool,
    ) -> anyhow::Result<()> {
        let log = HttpLog::new(self.platform, EVENT_TIMEOUT, None);
        let end = Instant::now() + EVENT_TIMEOUT;
        while Instant::now() < end {
            if is_expected(&log.read(stream, 0, Duration::ZERO).await?) {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        bail!("stream {stream}: timed out waiting for {what}");
    }

    /// Waits until all records of a stream have expired.
    ///
    /// # Errors
    /// If this takes longer than [`EVENT_TIMEOUT`].
    pub async fn wait_log_expired(&self, stream: &str) -> anyhow::Result<()> {
        let is_expired = |page: &LogPage| page.records.is_empty() && page.first_offset > 0;
        self.wait_log(stream, "its records to expire", is_expired).await
    }

    /// Waits until the configuration stream contains a snapshot.
    ///
    /// # Errors
    /// If this takes longer than [`EVENT_TIMEOUT`].
    pub async fn wait_snapshot(&self) -> anyhow::Result<()> {
        let is_snapshot = |record: &LogRecord| {
            matches!(serde_json::from_slice(&record.data), Ok(ConfigRecord::Snapshot(_)))
        };
        let holds = |page: &LogPage| page.records.iter().any(is_snapshot);
        self.wait_log(CONFIG_STREAM, "a snapshot", holds).await
    }

    /// Takes out the process of every `step`-th upstream of a pool, so that the caller can kill it
    /// by dropping it.
    pub fn take_processes(&mut self, pool: &str, step: usize) -> Vec<Process> {
        let names: Vec<_> = self
            .upstreams
            .values()
            .filter(|u| u.spec.pool == pool)
            .map(|u| u.spec.name.clone())
            .collect();
        let selected = names.into_iter().step_by(step);
        selected.filter_map(|name| self.upstream_processes.remove(&name)).collect()
    }

    /// Kills the process of a group of upstreams: a pool, or one upstream if each has its own
    /// process.
    pub fn kill_upstream(&mut self, group: &str) {
        self.upstream_processes.remove(group);
    }
}
