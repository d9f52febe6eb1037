//! Runs stand-ins for upstreams, each on a free port, and prints their addresses.

use {
    anyhow::Context,
    clap::Parser,
    fernring_standins::upstream::{self, Behaviour},
    std::net::{IpAddr, Ipv4Addr},
};

/// Runs stand-ins for upstreams.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on
    #[arg(long, default_value_t = IpAddr::V4(Ipv4Addr::LOCALHOST))]
    ip: IpAddr,
    /// Stand-ins to run, each as NAME=BEHAVIOUR with the behaviour in JSON ({} for the default)
    #[arg(required = true)]
    upstreams: Vec<String>,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let args = Args::parse();
    for text in &args.upstreams {
        let (name, behaviour) = text.split_once('=').context("must be NAME=BEHAVIOUR")?;
        let behaviour: Behaviour =
            serde_json::from_str(behaviour).with_context(|| format!("behaviour of {name}"))?;
        let server = upstream::serve(args.ip, behaviour).await?;
        println!("listening name={name} address={}", server.address);
    }
    std::future::pending().await
}
