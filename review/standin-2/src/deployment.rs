//! The system's own processes, started by the command of the deploy file, and the record.

use {
    crate::{http::Connection, store::Store},
    std::{
        fs::{self, File},
        io::Write,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command, Stdio, exit},
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// The program and its argument, as `deploy/system.toml` names them.
const PROGRAM: &str = "target/release/fernring";

/// Writes what was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(format!("{folder}/record.txt"));
        let file = file.unwrap_or_else(|error| cannot_run(&format!("record.txt: {error}")));
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn add(&self, line: &str) {
        let ms = self.started.elapsed().as_millis();
        drop(writeln!(self.file.lock().unwrap(), "{ms:>6} {line}"));
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, line: &str) {
        self.add(line);
        println!("{line}");
    }
}

/// The processes of the system that run now.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Sends a signal to a process that this one has started.
fn signal(process: u32, name: &str) {
    drop(Command::new("kill").arg(format!("-{name}")).arg(process.to_string()).status());
}

/// Ends the script because the case couldn't run.
pub fn cannot_run(reason: &str) -> ! {
    println!("the case can't run: {reason}");
    if let Ok(running) = RUNNING.lock() {
        running.iter().for_each(|process| signal(*process, "KILL"));
    }
    exit(2)
}

pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// One process of the system.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// The processes of the system; ends them when it is dropped.
pub struct Deployment {
    folder: PathBuf,
    pub nodes: Vec<Node>,
}

/// Returns an address with a free port for a process. Each has a loopback address of its own, so that
/// no connection that another one opens takes the port before it listens there.
fn free_address(index: usize) -> SocketAddr {
    let process = std::process::id();
    let (high, low) = (64 + process % 128, process / 128 % 256);
    let listener = TcpListener::bind(format!("127.{high}.{low}.{}:0", index + 1));
    let address = listener.and_then(|listener| listener.local_addr());
    address.unwrap_or_else(|error| cannot_run(&format!("no free port: {error}")))
}

impl Deployment {
    /// Starts a process in each of the zones, and waits until all are ready.
    pub fn start(store: &Store, zones: &[&str], record: &Record) -> Self {
        Self::start_with(store.clone().start(), zones, record)
    }

    /// Does the same with a store at an address.
    pub fn start_with(store: SocketAddr, zones: &[&str], record: &Record) -> Self {
        if !PathBuf::from(PROGRAM).exists() {
            cannot_run("target/release/fernring isn't built");
        }
        let folder = std::env::temp_dir().join(format!("fernring-review-{}", std::process::id()));
        if let Err(error) = fs::create_dir_all(&folder) {
            cannot_run(&format!("no temporary folder: {error}"));
        }
        let mut nodes: Vec<_> = (0..zones.len())
            .map(|index| Node {
                name: format!("front-{}-{}", zones[index], index + 1),
                callers: free_address(index),
                ready: free_address(index),
                peers: free_address(index),
                settings: folder.join(format!("{index}.toml")),
                child: None,
            })
            .collect();
        let seeds: Vec<_> = nodes.iter().take(3).map(|n| format!("\"{}\"", n.peers)).collect();
        let mut regions: Vec<_> = zones.iter().map(|z| format!("\"{z}\" = \"region\"\n")).collect();
        regions.dedup();
        for (node, zone) in nodes.iter().zip(zones) {
            // As deploy/settings.toml.in says, with the bounds of the small sites.
            let text = format!(
                "[node]\nname = \"{}\"\nfailure_domain = \"{zone}\"\ncaller_address = \"{}\"\n\
                 ready_address = \"{}\"\npeer_address = \"{}\"\nseeds = [{}]\nlink_mbps = 1000.0\n\
                 \n[regions]\n{}\n[store]\naddress = \"{store}\"\n\n[retries]\nratio = 0.2\n\
                 slack = 58\nwindow_s = 10\n\n[configuration]\nwithin_ms = 2000\n\n[shutdown]\n\
                 grace_s = 8\n\n[decide.load_control]\nengine_speeds = true\n",
                node.name,
                node.callers,
                node.ready,
                node.peers,
                seeds.join(","),
                regions.concat(),
            );
            if let Err(error) = fs::write(&node.settings, text) {
                cannot_run(&format!("settings: {error}"));
            }
        }
        nodes.iter_mut().for_each(Node::start);
        let deployment = Self { folder, nodes };
        for node in &deployment.nodes {
            node.wait_until_ready(Duration::from_secs(10));
            record.add(&format!("{} is ready at {}", node.name, node.callers));
        }
        deployment
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        drop(fs::remove_dir_all(&self.folder));
    }
}

impl Node {
    pub fn start(&mut self) {
        // The logs help to explain a failure; they are kept if a folder for them is named.
        let log = std::env::var("LOGS").ok().and_then(|folder| {
            File::options().create(true).append(true).open(format!("{folder}/{}", self.name)).ok()
        });
        let (out, err) = match log {
            Some(file) => match file.try_clone() {
                Ok(copy) => (Stdio::from(copy), Stdio::from(file)),
                Err(_) => (Stdio::null(), Stdio::null()),
            },
            None => (Stdio::null(), Stdio::null()),
        };
        let child = Command::new(PROGRAM)
            .arg("gateway")
            .env("FERNRING_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn();
        match child {
            Ok(child) => {
                RUNNING.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => cannot_run(&format!("{PROGRAM}: {error}")),
        }
    }

    pub fn is_ready(&self) -> bool {
        let asked = || -> std::io::Result<bool> {
            let mut connection = Connection::connect(self.ready)?;
            connection.stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let request = "GET /fernring/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
            crate::http::write(&connection.stream, request.as_bytes())?;
            Ok(connection.read()?.is_some_and(|answer| answer.status() == 200))
        };
        asked().unwrap_or(false)
    }

    pub fn wait_until_ready(&self, patience: Duration) {
        let until = Instant::now() + patience;
        while !self.is_ready() {
            if Instant::now() >= until {
                cannot_run(&format!("{} didn't become ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            signal(child.id(), name);
        }
    }

    /// Returns the process's id, if it runs.
    pub fn process(&self) -> Option<u32> {
        self.child.as_ref().map(std::process::Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
            RUNNING.lock().unwrap().retain(|process| *process != child.id());
        }
    }
}
