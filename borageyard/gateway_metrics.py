"""Metrics of a gateway in the Prometheus text format."""

from collections.abc import Iterable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from .errors import Refusal

ACCEPT_TEXT = ('text/plain',)
LATENCY_BUCKETS_MS = (
    10.0,
    30.0,
    100.0,
    300.0,
    1000.0,
    3000.0,
    10_000.0,
    30_000.0,
)


class GatewayMetrics:
    """Counters, histograms and gauges of a gateway."""

    def __init__(self) -> None:
        """Registers all metrics."""
        self.registry = Registry()
        self.responses = Counter(
            'borageyard_answers_total',
            'Answers by status.',
            registry=self.registry,
        )
        self.refusals = Counter(
            'borageyard_refusals_total',
            'Refusals by kind and by what is known of their having run.',
            registry=self.registry,
        )
        self.latency = Histogram(
            'borageyard_answer_head_ms',
            'Time from a request to the head of its answer.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_MS,
        )
        self.entries = Gauge(
            'borageyard_entries',
            'Other entries that are alive.',
            registry=self.registry,
        )
        self.scheduled_here = Gauge(
            'borageyard_group_scheduled_here',
            'Whether this entry schedules a group of services.',
            registry=self.registry,
        )
        self.renewal_age_ms = Gauge(
            'borageyard_group_renewal_age_ms',
            'Age of the last renewal by the scheduler of a group.',
            registry=self.registry,
        )
        self.limited_targets = Gauge(
            'borageyard_limited_targets',
            'Targets that state a limit on their requests.',
            registry=self.registry,
        )
        self.cold_targets = Gauge(
            'borageyard_cold_targets',
            'Targets that are limited as they have started lately.',
            registry=self.registry,
        )
        self.evacuated_domains = Gauge(
            'borageyard_evacuated_domains',
            'Failure domains that the operator has evacuated.',
            registry=self.registry,
        )
        self.partitioned = Gauge(
            'borageyard_partitioned_from_targets',
            'Whether this entry calls targets through peers.',
            registry=self.registry,
        )
        self.store_era = Gauge(
            'borageyard_store_era',
            'Era of the store that this entry follows.',
            registry=self.registry,
        )
        self.records_rewritten_ms = Histogram(
            'borageyard_store_records_rewritten_ms',
            'Time from a new era until the record of this entry is in it.',
            registry=self.registry,
            buckets=LATENCY_BUCKETS_MS,
        )
        self.version = Gauge(
            'borageyard_configuration_version',
            'Version of the configuration in force.',
            registry=self.registry,
        )
        self._known_version = Gauge(
            'borageyard_configuration_known_version',
            'Newest version that this entry or a peer has in force.',
            registry=self.registry,
        )
        self._behind_ms = Gauge(
            'borageyard_configuration_behind_ms',
            'Time for which a known version has not been in force here.',
            registry=self.registry,
        )
        self._invalid_records = Gauge(
            'borageyard_invalid_records',
            'Records of the shared store that could not be used, by table.',
            registry=self.registry,
        )
        self._task_failures = Gauge(
            'borageyard_task_failures',
            'Failures of tasks that were started again, by task.',
            registry=self.registry,
        )
        self._sends_not_run = Gauge(
            'borageyard_sends_not_run',
            'Sends that were not run, by what shows that: not_sent, own, '
            'unnamed.',
            registry=self.registry,
        )
        self._repeated_sends = Gauge(
            'borageyard_repeated_sends',
            'Sends to targets that had been sent the request before.',
            registry=self.registry,
        )
        self._entry_capacity = Gauge(
            'borageyard_entry_capacity',
            'Computing power of the machine in cores; 0 if not stated.',
            registry=self.registry,
        )
        self._overloaded = Gauge(
            'borageyard_entry_overloaded',
            'Whether this entry is overloaded by its own measure.',
            registry=self.registry,
        )
        self._connection_limit = Gauge(
            'borageyard_connection_limit',
            'Connections of callers that the machine allows.',
            registry=self.registry,
        )
        self._held_bytes = Gauge(
            'borageyard_held_bytes',
            'Bytes of requests and of unread answers that are held.',
            registry=self.registry,
        )
        self._evicted_requests = Gauge(
            'borageyard_evicted_requests',
            'Clients that met a limit of the entry, by reason.',
            registry=self.registry,
        )
        self._remote_sends = Gauge(
            'borageyard_remote_sends',
            'Sends to targets in other failure domains, by service.',
            registry=self.registry,
        )
        self._target_slowdown = Gauge(
            'borageyard_target_slowdown',
            'Highest slowdown that a target states at present, by service.',
            registry=self.registry,
        )
        self._share_refusals = Gauge(
            'borageyard_share_refusals',
            'Requests refused because their organisation had its share of a '
            'service that was short of room, by service.',
            registry=self.registry,
        )
        self._read_age_ms = Gauge(
            'borageyard_table_read_age_ms',
            'Age of the last read of the shared store, by table.',
            registry=self.registry,
        )

    def record_schedulers(
        self,
        instance_id: str,
        schedulers: Mapping[str, str],
        renewal_ages_ms: Mapping[str, float],
    ) -> None:
        """Records which groups of services this entry schedules.

        The sum over all entries is the number of schedulers of a group.

        Args:
            instance_id: Id of this entry.
            schedulers: Id of the scheduling entry by group.
            renewal_ages_ms: Age of the last renewal known here, by group.
        """
        for renewed, age_ms in renewal_ages_ms.items():
            self.renewal_age_ms.set({'group': renewed}, age_ms)
        for group, scheduler_id in schedulers.items():
            scheduled_here = int(scheduler_id == instance_id)
            self.scheduled_here.set({'group': group}, scheduled_here)

    def record_store(
        self, era: int, rewritten_after_ms: Iterable[float]
    ) -> None:
        """Records the era of the store.

        Args:
            era: Era that this entry follows.
            rewritten_after_ms: Times from the start of eras until the record
                of this entry was in the store again.
        """
        self.store_era.set({}, era)
        for took_ms in rewritten_after_ms:
            self.records_rewritten_ms.observe({}, took_ms)

    def record_task_failures(self, failures: Mapping[str, int]) -> None:
        """Records how often tasks of this process have failed.

        Args:
            failures: Number of failures by task.
        """
        for task, count in failures.items():
            self._task_failures.set({'task': task}, count)

    def record_sends(
        self, not_run: Mapping[str, int], repeated: Mapping[str, int]
    ) -> None:
        """Records the sends of this process that bear on running once.

        Args:
            not_run: Number of sends that were not run, by what shows that.
            repeated: Number of sends to targets that had been sent the
                request before, by service.
        """
        for proof, count in not_run.items():
            self._sends_not_run.set({'proof': proof}, count)
        for service, repeats in repeated.items():
            self._repeated_sends.set({'service': service}, repeats)

    def record_clients(
        self, held_bytes: int, limited: Mapping[str, int]
    ) -> None:
        """Records what clients make this process hold.

        Args:
            held_bytes: Bytes of requests and of unread answers.
            limited: Number of clients that met a limit, by reason.
        """
        self._held_bytes.set({}, held_bytes)
        for reason, count in limited.items():
            self._evicted_requests.set({'reason': reason}, count)

    def record_speeds(
        self, slowdowns: Mapping[str, float], remote_sends: Mapping[str, int]
    ) -> None:
        """Records how slow targets are, and what leaves the failure domain.

        Args:
            slowdowns: Highest slowdown that a target states, by service.
            remote_sends: Sends to other failure domains, by service.
        """
        for service, ratio in slowdowns.items():
            self._target_slowdown.set({'service': service}, ratio)
        for name, count in remote_sends.items():
            self._remote_sends.set({'service': name}, count)

    def record_share_refusals(self, refusals: Mapping[str, int]) -> None:
        """Records the requests whose organisation had its share.

        Args:
            refusals: Number of refusals by the service that was short.
        """
        for service, count in refusals.items():
            self._share_refusals.set({'service': service}, count)

    def record_invalid(self, invalid_records: Mapping[str, int]) -> None:
        """Records how many records of the store could not be used.

        Args:
            invalid_records: Number of records by table.
        """
        for table, count in invalid_records.items():
            self._invalid_records.set({'table': table}, count)

    def record_lag(
        self,
        known_version: int,
        behind_ms: float,
        read_ages_ms: Mapping[str, float],
    ) -> None:
        """Records how well this entry follows the shared store.

        Args:
            known_version: Newest known version of the configuration.
            behind_ms: Time for which it has not been in force here.
            read_ages_ms: Age of the last read by table.
        """
        self._known_version.set({}, known_version)
        self._behind_ms.set({}, behind_ms)
        for table, age_ms in read_ages_ms.items():
            self._read_age_ms.set({'table': table}, age_ms)

    def record_machine(
        self, processor_cores: float | None, connection_limit: int
    ) -> None:
        """Records what the machine of this entry allows.

        Args:
            processor_cores: Its computing power; None if not stated.
            connection_limit: Connections of callers.
        """
        self._entry_capacity.set({}, processor_cores or 0)
        self._connection_limit.set({}, connection_limit)

    def record_overload(self, *, overloaded: bool) -> None:
        """Records whether this entry is overloaded by its own measure."""
        self._overloaded.set({}, int(overloaded))

    def record_response(self, status: int, took_ms: float) -> None:
        """Counts a response and records its latency.

        Args:
            status: HTTP status.
            took_ms: Time from the request to the head of the response.
        """
        self.responses.inc({'status': str(int(status))})
        self.latency.observe({}, took_ms)

    def count_refusal(self, refusal: Refusal) -> None:
        """Counts a refusal.

        Args:
            refusal: Reason for which the request was not served.
        """
        not_run = str(refusal.not_run).lower()
        self.refusals.inc({'kind': refusal.kind.value, 'not_run': not_run})

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        body, _ = render(self.registry, list(ACCEPT_TEXT))
        return bytes(body)
