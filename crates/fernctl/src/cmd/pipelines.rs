//! `fernctl pipelines`: shows the configuration in force.

use {
    super::{Output, OutputArgs, print_json},
    crate::{
        failure::Failure,
        stream::{ConfigStream, LogArgs},
    },
    clap::Args,
    serde_json::json,
};

/// Show the pipelines, upstreams and events in force.
#[derive(Debug, Args)]
pub(crate) struct PipelinesArgs {
    #[command(flatten)]
    log: LogArgs,
    #[command(flatten)]
    output: OutputArgs,
}

impl PipelinesArgs {
    pub(crate) async fn execute(self) -> Result<(), Failure> {
        let stream = ConfigStream::open(&self.log).await?;
        let (catalog, version) = (stream.fold().catalog(), stream.fold().version());
        if self.output.output == Output::Json {
            return print_json(&json!({ "version": version, "catalog": catalog.as_ref() }));
        }
        println!("configuration version {version}");
        for (name, pipeline) in &catalog.pipelines {
            println!("pipeline {name} (window {} ms)", pipeline.default_window_ms);
            for stage in &pipeline.stages {
                let effect = if stage.effect { ", side effect" } else { "" };
                let upstreams = catalog.upstreams_in_pool(&stage.pool).count();
                println!(
                    "  {} on {} ({upstreams} upstreams), {} ms{effect}",
                    stage.name, stage.pool, stage.expected_ms
                );
            }
        }
        for (name, event) in &catalog.events {
            println!("event {name}: {} requests to {}", event.crowd, event.pipeline);
        }
        Ok(())
    }
}
