//! Messages of peers: passes them on to the parts of the node, and fills in its heartbeats.

use {
    super::{Node, peer_records::duration_from_ms},
    crate::{
        peers::{PeerHandler, Peers},
        position::Position,
        reachability::PathState,
        records::{decode_evacuation, encode_evacuation},
        store_loops::TailedTopic,
        tunnels::FramedLink,
        upstreams::PermitTransport,
    },
    fernring_protocol::gateway::{
        GatewayBody, GatewayHeartbeat, LoadScope, PermitRequest, PermitResponse, PermitReturn,
        TunnelRequest,
    },
    std::{net::SocketAddr, rc::Rc},
    tokio::task::spawn_local,
};

impl PeerHandler for Node {
    fn handle_message(&self, sender: SocketAddr, body: GatewayBody) {
        match body {
            // Handled by `Peers` itself.
            GatewayBody::Heartbeat(_) | GatewayBody::TunnelRequest(_) => {}
            // Belongs to the connection of a tunnel.
            GatewayBody::TunnelResponse(_) => {}
            GatewayBody::ConfigRequest(_) => self.send_config(sender),
            GatewayBody::Config(config) => {
                let end = Position::new(config.era, config.end);
                self.loops.handle_peer_config(config.compressed, end);
            }
            GatewayBody::ConfigDeferred(_) => self.handle_deferral(TailedTopic::Config),
            GatewayBody::DirectoryDeferred(_) => self.handle_deferral(TailedTopic::Upstreams),
            GatewayBody::DirectoryRequest(request) => {
                self.send_directory(sender, Position::new(request.era, request.since));
            }
            GatewayBody::Directory(records) => self.handle_directory(records),
            GatewayBody::Work(work) => self.stages.handle_work(sender, work),
            GatewayBody::WorkDone(done) => self.stages.handle_done(sender, done),
            GatewayBody::WorkCancel(ticket) => self.stages.handle_cancel(sender, ticket.ticket),
            GatewayBody::WorkQuery(query) => self.stages.handle_query(sender, &query),
            GatewayBody::WorkUnknown(unknown) => self.stages.handle_unknown(sender, &unknown),
            GatewayBody::Release(release) => self.stages.handle_release(release),
            GatewayBody::Crashes(reports) => {
                self.serving.crash_attribution.handle_reports(sender, reports);
            }
            GatewayBody::PermitRequest(request) => {
                self.upstreams.handle_permit_request(sender, request);
            }
            GatewayBody::PermitResponse(response) => {
                self.upstreams.handle_permit_response(response);
            }
            GatewayBody::PermitReturn(returned) => {
                self.upstreams.handle_permit_return(sender, &returned);
            }
            GatewayBody::OriginReports(reports) => {
                self.serving.stream_origins.handle_reports(reports);
            }
            GatewayBody::OriginQuery(query) => {
                self.serving.stream_origins.handle_query(sender, &query);
            }
            GatewayBody::OriginReply(reply) => self.serving.stream_origins.handle_reply(reply),
            GatewayBody::RolloutReport(report) => {
                self.serving.rollouts.handle_report(sender, report);
            }
        }
    }

    fn handle_heartbeat(&self, sender: SocketAddr, heartbeat: &GatewayHeartbeat) {
        let loads = heartbeat.load_upstreams.iter().zip(&heartbeat.load_weights);
        let loads = loads.map(|(upstream, weight)| (*upstream, f64::from(*weight))).collect();
        let now = self.serving.now();
        let is_same_domain =
            *heartbeat.failure_domain == *self.settings.borrow().node.failure_domain;
        let has_followers = self.peers.has_followers();
        // Delegates receive the loads of their domain's nodes directly.
        let load_scope = match heartbeat.load_scope() {
            LoadScope::Domain if is_same_domain && has_followers => LoadScope::Omitted,
            load_scope => load_scope,
        };
        match load_scope {
            LoadScope::Sender => self.upstreams.set_peer_loads(sender, loads),
            LoadScope::Domain => {
                self.upstreams.set_peer_loads(sender, Vec::new());
                let domain = heartbeat.failure_domain.as_str().into();
                self.upstreams.set_domain_loads(now, &domain, loads);
            }
            LoadScope::Omitted => self.upstreams.set_peer_loads(sender, Vec::new()),
        }
        self.upstreams.apply_peer_gaps(now, sender, heartbeat, load_scope);
        let contains_own = load_scope == LoadScope::Domain && is_same_domain;
        self.stages.handle_peer_loads(sender, &heartbeat.stage_loads, load_scope, contains_own);
        self.upstreams.record_peer_unreached(now, sender, &heartbeat.unreached);
        // An upstream that is unreachable from another domain may be reachable from this one.
        if is_same_domain {
            let has_followers = has_followers && heartbeat.is_follower;
            self.upstreams.apply_peer_unreachable(now, &heartbeat.unreachable, has_followers);
        }
        self.loops.handle_era(heartbeat.store_era);
        let directory_end = Position::new(heartbeat.directory_era, heartbeat.directory_end);
        // Must precede the record ages below, which confirm that no other evacuation is in force.
        for order in &heartbeat.evacuations {
            let (failure_domain, order) = decode_evacuation(order);
            self.loops.apply_evacuation(failure_domain, order, "peer");
        }
        self.serving.rollouts.handle_messages(&heartbeat.rollouts);
        self.upstreams.apply_peer_limits(&heartbeat.limits);
        self.upstreams.apply_peer_brittle(&heartbeat.brittle);
        self.upstreams.apply_peer_leaving(&heartbeat.leaving);
        heartbeat.sharded_services.iter().for_each(|service| self.stages.mark_sharded(*service));
        let known = [
            (TailedTopic::Config, heartbeat.config_version.into(), heartbeat.config_age_ms),
            (TailedTopic::Upstreams, directory_end, heartbeat.directory_age_ms),
        ];
        for (topic, mark, age_ms) in known {
            if self.loops.handle_peer_mark(topic, mark, age_ms.map(duration_from_ms)) {
                self.request_records(sender, topic);
            }
        }
    }

    fn fill_heartbeat(&self, heartbeat: &mut GatewayHeartbeat, load_scope: LoadScope) {
        heartbeat.config_version = self.config.borrow().version();
        let directory_end = self.upstreams.directory().end();
        (heartbeat.directory_era, heartbeat.directory_end) =
            (directory_end.era, directory_end.offset);
        heartbeat.store_era = self.loops.store.era();
        heartbeat.config_age_ms = self.age_ms(TailedTopic::Config);
        heartbeat.directory_age_ms = self.age_ms(TailedTopic::Upstreams);
        heartbeat.unreachable = self.upstreams.unreachable_upstreams(self.serving.now());
        heartbeat.unreached = self.upstreams.unreached_to_publish();
        let evacuations = self.upstreams.evacuations().borrow();
        heartbeat.evacuations = evacuations.orders().map(encode_evacuation).collect();
        heartbeat.limits = self.upstreams.limits_to_publish();
        heartbeat.brittle = self.upstreams.brittle_to_publish();
        heartbeat.leaving = self.upstreams.leaving_to_publish();
        heartbeat.rollouts = self.serving.rollouts.messages();
        let bytes_per_s = self.settings.borrow().node.link_bytes_per_s();
        heartbeat.sharded_services = self.stages.services_to_shard(bytes_per_s);
        heartbeat.stage_loads = self.stages.stage_loads(load_scope);
        let loads = match load_scope {
            LoadScope::Sender => self.upstreams.loads_to_report(),
            LoadScope::Domain => self.upstreams.domain_loads(),
            LoadScope::Omitted => Vec::new(),
        };
        (heartbeat.load_upstreams, heartbeat.load_weights) = loads.into_iter().unzip();
        if self.serving.decide_settings.get().load_control.engine_speeds {
            self.upstreams.report_gaps(self.serving.now(), heartbeat, load_scope);
        }
    }

    fn handle_peer_joined(&self, peer: SocketAddr) {
        self.serving.crash_attribution.handle_peer_joined(peer);
    }

    fn handle_peer_unfollowed(&self, peer: SocketAddr) {
        self.upstreams.set_peer_loads(peer, Vec::new());
        self.stages.handle_unfollowed(peer);
    }

    fn handle_tunnel(&self, request: TunnelRequest, link: FramedLink) {
        let (tunnels, own) = (self.tunnels.clone(), self.peers.address());
        spawn_local(async move { tunnels.serve(own, request, link).await });
    }

    fn is_cut_off(&self) -> bool {
        self.upstreams.connector().own_path().state() == PathState::Lost
    }

    fn handle_peer_lost(&self, peer: SocketAddr) {
        self.upstreams.set_peer_loads(peer, Vec::new());
        self.stages.handle_peer_lost(peer);
    }
}

/// Carries permit requests to the nodes that issue permits for limited upstreams. These are chosen
/// like the owners of services.
pub(super) struct PeerPermitTransport(pub(super) Rc<Peers>);

impl PermitTransport for PeerPermitTransport {
    fn issuer(&self, incarnation_id: u64) -> Option<SocketAddr> {
        let owner = self.0.owner(&format!("limit {incarnation_id:016x}"));
        (owner != self.0.address()).then_some(owner)
    }

    fn node_count(&self) -> usize {
        self.0.node_count()
    }

    fn is_catching_up(&self) -> bool {
        self.0.is_catching_up()
    }

    fn send_request(&self, issuer: SocketAddr, request: PermitRequest) {
        self.0.send(issuer, GatewayBody::PermitRequest(request));
    }

    fn send_return(&self, issuer: SocketAddr, returned: PermitReturn) {
        self.0.send(issuer, GatewayBody::PermitReturn(returned));
    }

    fn send_response(&self, requester: SocketAddr, response: PermitResponse) {
        self.0.send(requester, GatewayBody::PermitResponse(response));
    }
}
