//! The gateway's processes, started with the command and the template of the deploy folder.

use {
    crate::http::exchange,
    std::{
        fs::File,
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// A node: one process of the gateway.
pub struct Node {
    /// Its name.
    pub name: String,
    /// Address for clients.
    pub front: SocketAddr,
    /// Address for the balancer.
    pub ready: SocketAddr,
    /// Address for the other nodes.
    pub peer: SocketAddr,
    /// Where its log lines go.
    pub log: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl Drop for Node {
    fn drop(&mut self) {
        self.signal("CONT");
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", signal, &pid]).status();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Marks the settings as changed, as the platform does before SIGHUP.
    pub fn touch_settings(&self) {
        if let Ok(text) = std::fs::read_to_string(&self.settings) {
            let _ = std::fs::write(&self.settings, text);
        }
    }

    /// Returns the lines that the process has logged.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Asks as the balancer does whether the node is ready.
    pub fn is_ready(&self) -> bool {
        let request = b"GET /fernring/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request, Duration::from_millis(500)).status == 200
    }
}

/// Starts one node in each zone, and waits until all of them are ready.
pub fn start_nodes(
    repository: &Path,
    folder: &Path,
    store: SocketAddr,
    zones: &[&str],
) -> Result<Vec<Node>, String> {
    // Bound together, so that no two of them get the same port.
    let free = || TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string());
    let listeners = (0..zones.len() * 3).map(|_| free()).collect::<Result<Vec<_>, _>>()?;
    let ports: Vec<_> = listeners.iter().map(|l| l.local_addr().unwrap()).collect();
    drop(listeners);
    let seeds: Vec<_> = ports.chunks(3).map(|ports| format!("\"{}\"", ports[2])).collect();
    let mut nodes = Vec::new();
    for (zone, ports) in zones.iter().zip(ports.chunks(3)) {
        let name = format!("front-{zone}-1");
        let (front, ready, peer) = (ports[0], ports[1], ports[2]);
        let regions: Vec<_> = zones.iter().map(|zone| format!("\"{zone}\" = \"r\"")).collect();
        // What the platform makes of deploy/settings.toml.in.
        let text = format!(
            "[node]\nname = \"{name}\"\nfailure_domain = \"{zone}\"\ncaller_address = \"{front}\"\n\
             ready_address = \"{ready}\"\npeer_address = \"{peer}\"\nseeds = [{}]\nlink_mbps = 1000.0\n\n\
             [regions]\n{}\n\n[store]\naddress = \"{store}\"\n\n\
             [retries]\nratio = 0.2\nslack = 58\nwindow_s = 10\n\n[shutdown]\ngrace_s = 8\n\n\
             [decide.load_control]\nengine_speeds = true\n",
            seeds.join(","),
            regions.join("\n"),
        );
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let log = folder.join(format!("{name}.log"));
        let output = File::create(&log).map_err(|error| error.to_string())?;
        let errors = output.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new("target/release/fernring")
            .arg("gateway")
            .current_dir(repository)
            .env("FERNRING_BOOT", &settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("target/release/fernring: {error}"))?;
        nodes.push(Node { name, front, ready, peer, log, settings, child });
    }
    let end = Instant::now() + Duration::from_secs(15);
    while !nodes.iter().all(Node::is_ready) {
        if Instant::now() > end {
            return Err("a node didn't get ready".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    // Until the nodes know each other and all engines.
    thread::sleep(Duration::from_millis(2_500));
    Ok(nodes)
}
