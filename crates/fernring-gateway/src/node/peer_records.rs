//! Records of the store that nodes pass on to each other: the configuration and the upstreams.

use {
    super::Node,
    crate::{
        log,
        position::Position,
        records::{decode_change, encode_change},
        store_loops::{PeerRecords, TailedTopic},
        tailing::Reply,
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    fernring_protocol::{
        compression::{compress, decompress},
        gateway::{
            CompressedConfig, DirectoryList, DirectoryRecords, DirectoryRequest, Empty, GatewayBody,
        },
    },
    prost::Message,
    std::{net::SocketAddr, time::Duration},
};

/// Largest number of records that are sent without compression.
const UNCOMPRESSED_RECORDS_MAX: usize = 500;
/// Time for which compressed records are reused for further peers. What they say about cold
/// upstreams is outdated by as much.
const COMPRESSED_LIFETIME: Duration = Duration::from_secs(1);

/// The records of all upstreams, compressed for peers.
pub(super) struct CompressedDirectory {
    end: Position,
    at: Duration,
    bytes: Bytes,
}

impl Node {
    pub(super) fn request_records(&self, peer: SocketAddr, topic: TailedTopic) {
        let since = self.upstreams.directory().end();
        let body = match topic {
            TailedTopic::Config => GatewayBody::ConfigRequest(Empty {}),
            TailedTopic::Upstreams => GatewayBody::DirectoryRequest(DirectoryRequest {
                since: since.offset,
                era: since.era,
            }),
        };
        self.peers.send(peer, body);
    }

    /// Sends the configuration to a peer, or defers it if too much has been sent recently.
    pub(super) fn send_config(&self, peer: SocketAddr) {
        let Some(current) = self.config.borrow().current() else {
            return;
        };
        let config = CompressedConfig {
            compressed: current.compressed.clone(),
            end: current.end.offset,
            era: current.end.era,
        };
        let bytes = current.compressed.len();
        self.send_or_defer(peer, TailedTopic::Config, bytes, GatewayBody::Config(config));
    }

    /// Sends the upstreams' records that changed since a position to a peer, or defers them if too
    /// much has been sent recently.
    pub(super) fn send_directory(&self, peer: SocketAddr, since: Position) {
        let now = self.serving.now();
        if self.loops.tailing(TailedTopic::Upstreams).borrow().defers_requests(now) {
            return self.defer(peer, TailedTopic::Upstreams);
        }
        let directory = self.upstreams.directory();
        let changes = directory.changes_since(now, since);
        let is_full = changes.is_none();
        let is_compressed = is_full && directory.len() > UNCOMPRESSED_RECORDS_MAX;
        let records = match changes {
            _ if is_compressed => Vec::new(),
            Some(changes) => changes.iter().map(encode_change).collect(),
            None => directory.all_changes(now).iter().map(encode_change).collect(),
        };
        let records = DirectoryRecords {
            end: directory.end().offset,
            era: directory.end().era,
            records,
            is_full,
            lapse_window_ms: directory.lapse_time_left(now).as_millis() as u32,
            age_ms: self.age_ms(TailedTopic::Upstreams),
            compressed: if is_compressed { self.compressed_directory(now) } else { Bytes::new() },
        };
        let bytes = records.encoded_len();
        self.send_or_defer(peer, TailedTopic::Upstreams, bytes, GatewayBody::Directory(records));
    }

    /// Returns the records of all upstreams, compressed. When a fleet starts, hundreds of peers
    /// request them within a second.
    fn compressed_directory(&self, now: Duration) -> Bytes {
        let directory = self.upstreams.directory();
        let end = directory.end();
        let mut cached = self.compressed.borrow_mut();
        if let Some(cached) = &*cached
            && cached.end == end
            && now < cached.at + COMPRESSED_LIFETIME
        {
            return cached.bytes.clone();
        }
        let records = directory.all_changes(now).iter().map(encode_change).collect();
        let bytes = compress(&DirectoryList { records }.encode_to_vec());
        *cached = Some(CompressedDirectory { end, at: now, bytes: bytes.clone() });
        bytes
    }

    /// Replies to a peer with a record, or defers the reply if too much has been sent recently.
    fn send_or_defer(
        &self,
        peer: SocketAddr,
        topic: TailedTopic,
        bytes: usize,
        record: GatewayBody,
    ) {
        let reply =
            self.loops.tailing(topic).borrow_mut().handle_request(self.serving.now(), bytes);
        match reply {
            Reply::Record => self.peers.send_record(peer, record),
            Reply::Deferred => self.defer(peer, topic),
        }
    }

    fn defer(&self, peer: SocketAddr, topic: TailedTopic) {
        let deferral = match topic {
            TailedTopic::Config => GatewayBody::ConfigDeferred(Empty {}),
            TailedTopic::Upstreams => GatewayBody::DirectoryDeferred(Empty {}),
        };
        self.peers.send(peer, deferral);
    }

    pub(super) fn handle_deferral(&self, topic: TailedTopic) {
        let mut tailing = self.loops.tailing(topic).borrow_mut();
        tailing.handle_deferral(self.serving.now(), rand::random());
    }

    pub(super) fn handle_directory(&self, mut records: DirectoryRecords) {
        if !records.compressed.is_empty() {
            let list = decompress(&records.compressed).map_err(anyhow::Error::from);
            match list.and_then(|list| Ok(DirectoryList::decode(list)?)) {
                Ok(list) => records.records = list.records,
                Err(error) => {
                    let line = LogLine::event("peer_frame_malformed").with("error", error);
                    return log::warn(line);
                }
            }
        }
        self.loops.handle_peer_upstreams(PeerRecords {
            end: Position::new(records.era, records.end),
            changes: records.records.into_iter().filter_map(decode_change).collect(),
            is_full: records.is_full,
            lapses_for: Duration::from_millis(records.lapse_window_ms.into()),
            age: records.age_ms.map(duration_from_ms),
        });
    }

    pub(super) fn age_ms(&self, topic: TailedTopic) -> Option<u32> {
        let age = self.loops.tailing(topic).borrow().reported_age(self.serving.now())?;
        Some(u32::try_from(age.as_millis()).unwrap_or(u32::MAX))
    }
}

pub(super) fn duration_from_ms(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}
