//! Runs a stand-in for the platform on a free port and prints its address.

use {
    clap::Parser,
    fernring_standins::platform,
    std::net::{IpAddr, Ipv4Addr},
};

/// Runs a stand-in for the platform: log service, VM list and weight store.
#[derive(Debug, Parser)]
struct Args {
    /// Address to listen on
    #[arg(long, default_value_t = IpAddr::V4(Ipv4Addr::LOCALHOST))]
    ip: IpAddr,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let server = platform::serve(Args::parse().ip).await?;
    println!("listening name=platform address={}", server.address);
    std::future::pending().await
}
