//! Fills calls to the free workers of a pool.

use {
    super::{Owner, WorkOutcome},
    crate::{
        batching::{Batch, BatchQueue, TargetWorker},
        dispatch_round::{UnservedCapacity, WorkersByDomain},
        model::{BatchConfig, UpstreamKey},
        worker_pools::WorkerPool,
        worker_speeds::{Slowdown, usual_ratio},
    },
    rand::seq::SliceRandom,
    std::rc::Rc,
};

/// A worker that can start a call.
struct FreeWorker {
    key: UpstreamKey,
    free_bytes: u64,
    slowdown: Slowdown,
}

impl Owner {
    /// Starts calls for a pool while pieces wait and workers are free.
    pub(super) fn dispatch(self: &Rc<Self>, pool: &WorkerPool) {
        let Some((service, batch_config)) = self.service(&pool.service) else {
            self.fail_all(pool);
            return;
        };
        if self.queues.borrow().get(pool).is_none_or(BatchQueue::is_empty) {
            return;
        }
        let workers = self.usable_workers(pool);
        if workers.is_empty() && self.finish_unservable(pool) {
            return;
        }
        self.finish_quarantined();
        let free_workers = self.free_workers(&workers, &batch_config);
        self.finish_expired(pool, &batch_config, &workers, free_workers.len());
        let mut domain_workers = WorkersByDomain::default();
        let mut unserved = UnservedCapacity::default();
        for worker in free_workers {
            let Some(target) = self.upstreams.target(worker.key) else {
                continue;
            };
            if !self.rollouts.admits_call(&pool.service, &target) {
                continue;
            }
            let domain = target.failure_domain.clone();
            if unserved.is_unserved(&domain, worker.free_bytes) {
                continue;
            }
            let target_worker = TargetWorker {
                failure_domain: &domain,
                free_bytes: worker.free_bytes,
                workers: workers.len(),
                slowdown: self.uses_speeds().then_some(worker.slowdown),
            };
            let Some(batch) = self.take_batch(pool, &batch_config, target_worker, &domain_workers)
            else {
                return;
            };
            if batch.pieces.is_empty() {
                unserved.record_unserved(domain, worker.free_bytes);
                continue;
            }
            // One more worker of the domain is busy now, so its workers must be counted again.
            domain_workers.invalidate(&domain);
            self.rollouts.count_call(&pool.service, &target);
            self.start_call(pool, &service, batch_config, target, batch, worker.slowdown);
        }
    }

    /// Finishes the waiting works of a pool that has no usable workers if no worker of the service
    /// may complete them here; returns whether it did.
    fn finish_unservable(&self, pool: &WorkerPool) -> bool {
        if self.upstreams.is_evacuated(&pool.service) {
            self.finish_all_waiting(pool, &WorkOutcome::Failed);
            return true;
        }
        // The pieces would wait here until they expire, while other nodes may reach the workers, or
        // workers of other domains may be idle.
        let has_other_workers =
            || pool.failure_domain.is_some() && !self.workers_by_domain(&pool.service).is_empty();
        if self.upstreams.connector().is_isolated() || has_other_workers() {
            self.finish_all_waiting(pool, &WorkOutcome::NoWorkers);
            return true;
        }
        false
    }

    /// Takes the pieces of a worker's next call out of the queue; `None` if none are queued.
    fn take_batch(
        &self,
        pool: &WorkerPool,
        batch_config: &BatchConfig,
        worker: TargetWorker<'_>,
        domain_workers: &WorkersByDomain,
    ) -> Option<Batch> {
        let mut queues = self.queues.borrow_mut();
        let queue = queues.get_mut(pool).filter(|queue| !queue.is_empty())?;
        let workers_in =
            |domain: &str| domain_workers.get_or_count(domain, || self.workers_in(pool, domain));
        let decide_settings = self.decide_settings.get();
        Some(queue.take_batch(self.now(), batch_config, worker, &decide_settings, workers_in))
    }

    /// Lists the workers among `workers` that could start a call, in random order. If calls are
    /// sized by the speed of workers, faster ones go first.
    fn free_workers(&self, workers: &[UpstreamKey], batch_config: &BatchConfig) -> Vec<FreeWorker> {
        let uses_speeds = self.uses_speeds();
        let now = self.now();
        let mut free =
            self.workers.borrow_mut().free_workers(now, workers, batch_config, !uses_speeds);
        free.shuffle(&mut rand::rng());
        let usual = if uses_speeds { self.usual_ratio(workers, batch_config) } else { 1.0 };
        let free_worker = |(key, free_bytes): (UpstreamKey, u64)| FreeWorker {
            key,
            free_bytes,
            slowdown: match uses_speeds {
                true => self.slowdown(key, usual, batch_config),
                false => Slowdown::NONE,
            },
        };
        let mut free: Vec<_> = free.into_iter().map(free_worker).collect();
        free.sort_by(|a, b| a.slowdown.total_cmp(&b.slowdown));
        free
    }

    fn uses_speeds(&self) -> bool {
        self.decide_settings.get().load_control.worker_speeds
    }

    /// Returns the ratio of the call times of a usual worker to the configured ones.
    fn usual_ratio(&self, workers: &[UpstreamKey], batch_config: &BatchConfig) -> f64 {
        let now = self.now();
        let known = self.workers.borrow();
        let ratio = |key: &UpstreamKey| known.get(*key)?.call_times().ratio(now, batch_config);
        usual_ratio(workers.iter().filter_map(ratio).collect())
    }

    fn slowdown(&self, key: UpstreamKey, usual: f64, batch_config: &BatchConfig) -> Slowdown {
        let now = self.now();
        let workers = self.workers.borrow();
        let ratio = workers.get(key).and_then(|w| w.call_times().ratio(now, batch_config));
        let reported = self.upstreams.reported_load(key).and_then(|report| {
            Some((report.load.slowdown?, now.saturating_sub(report.received_at)))
        });
        Slowdown::new(ratio.map(|ratio| ratio / usual), reported, batch_config)
    }
}
