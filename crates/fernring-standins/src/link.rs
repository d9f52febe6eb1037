//! A TCP link to a node that can be cut by source address.

use {
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        sync::{Arc, Mutex, PoisonError},
    },
    tokio::{
        io::copy_bidirectional,
        net::{TcpListener, TcpSocket, TcpStream},
        sync::watch,
    },
};

/// Sources that are cut off, shared by all links of a test.
#[derive(Debug, Clone)]
pub struct Cuts {
    state: Arc<Mutex<HashSet<Pair>>>,
    changed: watch::Sender<u64>,
}

/// Traffic from one address to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    from: IpAddr,
    to: IpAddr,
}

impl Default for Cuts {
    fn default() -> Self {
        Self { state: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl Cuts {
    /// Cuts two addresses off from each other, in both directions; connections break.
    pub fn cut(&self, a: IpAddr, b: IpAddr) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.insert(Pair { from: a, to: b });
        state.insert(Pair { from: b, to: a });
        drop(state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Heals every cut.
    pub fn heal(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).clear();
        self.changed.send_modify(|count| *count += 1);
    }

    fn is_cut(&self, pair: Pair) -> bool {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).contains(&pair)
    }
}

/// Where a link leads; set once the node's own address is known.
#[derive(Debug, Clone, Default)]
pub struct Target(Arc<Mutex<Option<SocketAddr>>>);

impl Target {
    /// Points the link at a node.
    pub fn set(&self, address: SocketAddr) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    fn get(&self) -> Option<SocketAddr> {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts a link on a free port of `ip` and returns its address.
///
/// # Errors
/// If it can't listen there.
pub async fn start(ip: IpAddr, target: Target, cuts: Cuts) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, source)) = listener.accept().await {
            let pair = Pair { from: source.ip(), to: ip };
            tokio::spawn(carry(stream, pair, target.clone(), cuts.clone()));
        }
    });
    Ok(address)
}

async fn carry(mut inbound: TcpStream, pair: Pair, target: Target, cuts: Cuts) {
    let mut changed = cuts.changed.subscribe();
    let Some(address) = target.get().filter(|_| !cuts.is_cut(pair)) else {
        return;
    };
    let Ok(socket) = TcpSocket::new_v4() else { return };
    let Ok(mut outbound) = socket.connect(address).await else { return };
    let copy = copy_bidirectional(&mut inbound, &mut outbound);
    tokio::pin!(copy);
    loop {
        tokio::select! {
            _ = &mut copy => return,
            _ = changed.changed() => {
                if cuts.is_cut(pair) {
                    return;
                }
            }
        }
    }
}
