//! Operators plan and confirm changes, also concurrently.

use {
    crate::builder::Builder,
    fernring_standins::{cluster::Cluster, process::find_program, upstream::Behaviour},
    serde_json::Value,
    std::{fs, path::Path, process::Output},
    tempfile::TempDir,
    tokio::process::Command,
};

const EVENT: &str = "name = \"season\"\npipeline = \"answer\"\nstart = 2100-01-15T08:00:00+05:00\n\
                     duration_s = 600\ncrowd = 6000\ndeadline_ms = 4000\n";

async fn fernctl(cluster: &Cluster, directory: &Path, args: &[&str]) -> Output {
    let mut command = Command::new(find_program("fernctl").unwrap());
    command.args(args).current_dir(directory).env("FERNRING_LOG", cluster.platform.to_string());
    command.output().await.unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_changes_until_plan_is_confirmed() {
    let mut cluster = Builder::new().start().await;
    let directory = TempDir::new().unwrap();
    fs::write(directory.path().join("event.toml"), EVENT).unwrap();
    let planned = fernctl(&cluster, directory.path(), &["plan", "event.toml"]).await;
    assert!(planned.status.success(), "{}", text(&planned.stderr));
    assert!(text(&planned.stdout).contains("predicted attainment"), "{}", text(&planned.stdout));
    let shown = fernctl(&cluster, directory.path(), &["pipelines", "--output", "json"]).await;
    let shown: Value = serde_json::from_slice(&shown.stdout).unwrap();
    assert_eq!(shown["version"], cluster.version);
    assert!(shown["catalog"]["events"].as_object().unwrap().is_empty());

    let args = ["confirm", "plan.json", "--output", "json"];
    let confirmed = fernctl(&cluster, directory.path(), &args).await;
    assert!(confirmed.status.success(), "{}", text(&confirmed.stderr));
    let confirmed: Value = serde_json::from_slice(&confirmed.stdout).unwrap();
    cluster.version = confirmed["version"].as_u64().unwrap();
    cluster.settle().await.unwrap();
    // Confirming again changes nothing and prints the same.
    let again = fernctl(&cluster, directory.path(), &args).await;
    assert_eq!(serde_json::from_slice::<Value>(&again.stdout).unwrap(), confirmed);
}

#[tokio::test(flavor = "multi_thread")]
async fn only_one_of_two_concurrent_confirmations_succeeds() {
    let cluster = Builder::new().start().await;
    let directory = TempDir::new().unwrap();
    for name in ["first", "second"] {
        let event = EVENT.replace("season", name);
        fs::write(directory.path().join(format!("{name}.toml")), event).unwrap();
        let (file, plan) = (format!("{name}.toml"), format!("{name}.json"));
        let planned = fernctl(&cluster, directory.path(), &["plan", &file, "--to", &plan]).await;
        assert!(planned.status.success(), "{}", text(&planned.stderr));
    }
    let (first, second) = tokio::join!(
        fernctl(&cluster, directory.path(), &["confirm", "first.json"]),
        fernctl(&cluster, directory.path(), &["confirm", "second.json"]),
    );
    let mut codes = [first.status.code(), second.status.code()];
    codes.sort();
    assert_eq!(codes, [Some(0), Some(3)], "{} {}", text(&first.stderr), text(&second.stderr));
    let error = text(if first.status.success() { &second.stderr } else { &first.stderr });
    assert!(error.contains("plan again"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn edited_plan_is_refused() {
    let cluster = Builder::new().start().await;
    let directory = TempDir::new().unwrap();
    fs::write(directory.path().join("event.toml"), EVENT).unwrap();
    fernctl(&cluster, directory.path(), &["plan", "event.toml"]).await;
    let path = directory.path().join("plan.json");
    let plan = fs::read_to_string(&path).unwrap().replace("6000", "9000");
    fs::write(&path, plan).unwrap();
    let confirmed = fernctl(&cluster, directory.path(), &["confirm", "plan.json"]).await;
    assert_eq!(confirmed.status.code(), Some(3));
    assert!(text(&confirmed.stderr).contains("edited"), "{}", text(&confirmed.stderr));
}

#[tokio::test(flavor = "multi_thread")]
async fn confirmed_event_loads_model_in_each_domain() {
    let engine = Behaviour { checks_fencing: true, concurrency: 1, ..Behaviour::default() };
    let cluster = Builder::new()
        .settings("[peers]\nheartbeat_ms = 50\nreport_every_ms = 50\n")
        .engine(engine)
        .start()
        .await;
    let directory = TempDir::new().unwrap();
    let start = imminent_start();
    let event = EVENT
        .replace("2100-01-15T08:00:00+05:00", &start)
        .replace("crowd = 6000", "crowd = 300000\nmodel = \"v3\"\nloads_per_minute = 60000");
    fs::write(directory.path().join("event.toml"), event).unwrap();
    let planned = fernctl(&cluster, directory.path(), &["plan", "event.toml"]).await;
    assert!(planned.status.success(), "{}", text(&planned.stderr));
    let path = directory.path().join("plan.json");
    let plan: Value = serde_json::from_str(&fs::read_to_string(&path).unwrap()).unwrap();
    let placements = plan["event"]["placements"].as_array().unwrap();
    assert_eq!(placements.len(), 3, "{plan:#}");
    let confirmed = fernctl(&cluster, directory.path(), &["confirm", "plan.json"]).await;
    assert!(confirmed.status.success(), "{}", text(&confirmed.stderr));
    for engine in ["engines-0", "engines-1", "engines-2"] {
        let order = cluster.wait_order(engine).await.unwrap();
        assert_eq!(order.models, ["v3"]);
    }
}

/// Returns a start time 55 s ahead, so that model loads, which are due a minute before the start,
/// are already due.
fn imminent_start() -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let at = now.as_secs() as i64 + 55;
    jiff::Timestamp::from_second(at).unwrap().to_string()
}
