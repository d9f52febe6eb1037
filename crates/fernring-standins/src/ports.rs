//! Free ports for real programs that read their addresses from a settings file.

use {
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::{Mutex, PoisonError},
    },
    tokio::net::TcpSocket,
};

/// Sockets that are bound to the ports that were found, until this process ends.
///
/// A program that reuses addresses, as a node does, can listen at such a port as often as it
/// restarts. The system gives the port to no connection, and to no other socket that asks for a free
/// one. Without them, another process took a port before its node had bound it (`can't listen:
/// Address already in use`).
static HELD_PORTS: Mutex<Vec<TcpSocket>> = Mutex::new(Vec::new());

/// Finds free ports and keeps them free for the programs that this process starts.
///
/// # Errors
/// If too few ports are free.
pub fn free_addresses(count: usize) -> anyhow::Result<Vec<SocketAddr>> {
    let sockets = (0..count).map(|_| hold_port()).collect::<anyhow::Result<Vec<_>>>()?;
    let addresses =
        sockets.iter().map(TcpSocket::local_addr).collect::<Result<_, std::io::Error>>()?;
    HELD_PORTS.lock().unwrap_or_else(PoisonError::into_inner).extend(sockets);
    Ok(addresses)
}

fn hold_port() -> anyhow::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
    // Only after the port was found: a socket that reuses addresses may get one that is held already.
    socket.set_reuseaddr(true)?;
    Ok(socket)
}
