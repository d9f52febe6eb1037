//! `fernctl plan`: makes a plan from an event file.

use {
    super::{Output, OutputArgs, print_json, read_file},
    crate::{
        failure::Failure,
        stream::{ConfigStream, LogArgs},
    },
    anyhow::{Context, anyhow},
    clap::Args,
    fernring_core::clock::unix_ms,
    fernring_policy::plan::{Intent, Plan, make_plan},
    jiff::Timestamp,
    serde::Deserialize,
    std::{
        fs,
        path::{Path, PathBuf},
        time::SystemTime,
    },
    uuid::Uuid,
};

/// Plan an event. Nothing changes until the plan is confirmed.
///
/// The event file, in TOML:
///   name = "statements-2027"            name of the event
///   pipeline = "statement-line"         pipeline that serves it
///   start = 2027-01-15T08:00:00+05:00   when the crowd comes
///   duration_s = 3600                   how long it comes for
///   crowd = 40000                       requests over that time
///   deadline_ms = 1500                  window of each request
///   model = "statements-v3"             model to load (optional)
///   loads_per_minute = 10               rate of the weight store (default 10)
#[derive(Debug, Args)]
#[command(verbatim_doc_comment)]
pub(crate) struct PlanArgs {
    /// Event file, in TOML
    file: PathBuf,
    /// File that the plan is written to
    #[arg(long, default_value = "plan.json", value_name = "FILE")]
    to: PathBuf,
    #[command(flatten)]
    log: LogArgs,
    #[command(flatten)]
    output: OutputArgs,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EventFile {
    name: String,
    pipeline: String,
    start: toml::value::Datetime,
    duration_s: u64,
    crowd: u64,
    deadline_ms: u64,
    model: Option<String>,
    loads_per_minute: Option<u64>,
}

impl PlanArgs {
    pub(crate) async fn execute(self) -> Result<(), Failure> {
        let intent = load_intent(&self.file)?;
        let stream = ConfigStream::open(&self.log).await?;
        let fold = stream.fold();
        let now_ms = unix_ms(SystemTime::now());
        let plan = make_plan(fold.catalog(), fold.version(), &intent, now_ms, Uuid::now_v7());
        let plan = plan.with_context(|| self.file.display().to_string());
        let plan = plan.map_err(Failure::BadInput)?;
        write_plan(&self.to, &plan)?;
        match self.output.output {
            Output::Json => print_json(&plan),
            Output::Text => {
                print_plan(&plan, &self.to);
                Ok(())
            }
        }
    }
}

fn load_intent(path: &Path) -> Result<Intent, Failure> {
    let text = read_file(path)?;
    let parsed: Result<EventFile, _> = toml::from_str(&text);
    let file = parsed.with_context(|| path.display().to_string()).map_err(Failure::BadInput)?;
    let start: Timestamp = file.start.to_string().parse().map_err(|_| {
        let rule = "must have an offset, as in 2027-01-15T08:00:00+05:00";
        Failure::BadInput(anyhow!("{}: start = {}: {rule}", path.display(), file.start))
    })?;
    let mut intent = Intent {
        name: file.name,
        pipeline: file.pipeline,
        start_unix_ms: u64::try_from(start.as_millisecond()).unwrap_or(0),
        duration_ms: file.duration_s.saturating_mul(1_000),
        crowd: file.crowd,
        deadline_ms: file.deadline_ms,
        model: file.model,
        loads_per_minute: 10,
    };
    intent.loads_per_minute = file.loads_per_minute.unwrap_or(intent.loads_per_minute);
    Ok(intent)
}

fn write_plan(path: &Path, plan: &Plan) -> Result<(), Failure> {
    let text = serde_json::to_string_pretty(plan).map_err(Failure::failed)?;
    fs::write(path, text).with_context(|| path.display().to_string()).map_err(Failure::Failed)
}

fn print_plan(plan: &Plan, path: &Path) {
    let event = &plan.event;
    println!("plan for event {} (based on configuration version {})", plan.name, plan.base);
    println!(
        "  {} requests over {} s through pipeline {}, each within {} ms",
        event.crowd,
        event.duration_ms / 1_000,
        event.pipeline,
        event.deadline_ms
    );
    println!("  predicted attainment: {:.1}%", plan.predicted_attainment * 100.0);
    println!("  stage             pool               needed  capacity  use    cost");
    for stage in &plan.stages {
        println!(
            "  {:<17} {:<17} {:>7.1}  {:>8}  {:>4.0}%  {:>6.2}",
            stage.stage,
            stage.pool,
            stage.needed,
            stage.capacity,
            stage.utilisation.min(99.0) * 100.0,
            stage.cost_milli as f64 / 1_000.0
        );
    }
    for placement in &event.placements {
        let load_at = i64::try_from(placement.load_at_unix_ms).unwrap_or(i64::MAX);
        let load_at =
            Timestamp::from_millisecond(load_at).map(|at| at.to_string()).unwrap_or_default();
        println!("  load {} on {} at {load_at}", placement.model, placement.upstream);
    }
    for note in &plan.notes {
        println!("  note: {note}");
    }
    println!("nothing has changed; to put it in force: fernctl confirm {}", path.display());
}
