//! Responses on the ready address: the balancer's readiness checks, and the metrics.

use {
    super::{DRAIN_POLL_INTERVAL, Node},
    crate::{
        ingress::Phase,
        log,
        store_loops::TailedTopic,
        telemetry::{self, GaugeValues},
    },
    bytes::Bytes,
    fernring_core::text::LogLine,
    http::{Request, Response, StatusCode},
    http_body_util::Full,
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, rc::Rc},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
        time::sleep,
    },
};

/// Path of the metrics on the ready address.
const METRICS_PATH: &str = "/metrics";

impl Node {
    pub(super) async fn listen_ready(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve_ready(stream));
                }
                Err(error) => {
                    log::warn(LogLine::event("accept_failed").with("error", error));
                    sleep(DRAIN_POLL_INTERVAL).await;
                }
            }
        }
    }

    async fn serve_ready(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(|request: Request<Incoming>| {
            let response = self.ready_response(request.uri().path());
            async move { Ok::<_, Infallible>(response) }
        });
        let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        if let Err(error) = served {
            log::info(LogLine::event("connection_broken").with("error", error));
        }
    }

    fn ready_response(&self, path: &str) -> Response<Full<Bytes>> {
        if path == METRICS_PATH {
            return Response::new(self.render_metrics().into());
        }
        let mut response = Response::new(Full::default());
        *response.status_mut() = match path == self.wire.readiness_path() {
            true if self.is_ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
            false => StatusCode::NOT_FOUND,
        };
        response
    }

    fn render_metrics(&self) -> String {
        let directory = self.upstreams.directory();
        self.upstreams.set_reachability_gauges();
        let opened = self.upstreams.connector().open_tunnel_count();
        telemetry::set_tunnels(opened, self.tunnels.open_count());
        telemetry::set_reachable_nodes(&self.peers.reachable_by_domain());
        telemetry::set_gauges(GaugeValues {
            config_version: self.config.borrow().version(),
            config_age: self.loops.age(TailedTopic::Config),
            nodes: self.peers.node_count(),
            is_delegate: self.peers.is_delegate(),
            upstreams: directory
                .iter()
                .filter(|(key, _)| self.upstreams.may_send(*key).is_ok())
                .count(),
            in_flight: self.serving.in_flight.get(),
            held_body_bytes: self.held_body_bytes(),
            quarantined: self.serving.crash_attribution.quarantined_count(),
            caller_connections: self.ingress.open_connections(),
            upstream_connections: self.upstreams.open_connections(),
            cold_upstreams: directory.iter().filter(|(_, u)| u.is_cold(self.serving.now())).count(),
            limited_upstreams: self.upstreams.limited_count(),
            leaving_upstreams: self.upstreams.announced_leaving_count(),
            backoff_upstreams: self.upstreams.backoff_count(),
            evacuated_domains: self.upstreams.evacuations().borrow().evacuated_count(),
            store_answers: self.loops.store_answers.get(),
        });
        (self.render)()
    }

    fn is_ready(&self) -> bool {
        let has_config = self.config.borrow().current().is_some();
        has_config && self.ingress.phase() == Phase::Serving
    }
}
