"""Metrics of an entry in the Prometheus text format."""

import dataclasses
from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from .costs import CostAccounts
from .errors import ErrorKind, Refusal
from .policy import EntryPolicy
from .requests import Answer, PipelineRequest

ACCEPT_TEXT = ('text/plain',)
RETRY_COUNTS = ('first_attempts', 'retries', 'hedges', 'denied')


@dataclasses.dataclass(slots=True)
class PipelineOutcomeCounts:
    """Requests of a pipeline by outcome since the entry started."""

    answered: int = 0
    refused: int = 0


class EntryMetrics:
    """Counters, gauges and histograms of an entry."""

    def __init__(self) -> None:
        """Registers all metrics."""
        self.registry = Registry()
        self.requests = self._counter(
            'borageyard_requests_total',
            'Requests by pipeline, organisation and outcome.',
        )
        self.stage_tokens = self._counter(
            'borageyard_stage_tokens_total',
            'Tokens by pipeline, stage and organisation.',
        )
        self.stage_time = Histogram(
            'borageyard_stage_duration_ms',
            'Time of a stage by pipeline and stage.',
            registry=self.registry,
        )
        self.attainment = self._gauge(
            'borageyard_attainment',
            'Share of requests with a whole answer in time, by pipeline.',
        )
        self._outcome_counts: dict[str, PipelineOutcomeCounts] = {}
        self.in_flight = Gauge(
            'borageyard_requests_in_flight',
            'Requests that are being run.',
            registry=self.registry,
        )

        self.target_load = self._gauge(
            'borageyard_target_load',
            'Calls that a target is believed to have.',
        )
        self.target_ejected = self._gauge(
            'borageyard_target_ejected',
            'Whether a target is ejected as an outlier.',
        )
        self.attempts = self._gauge(
            'borageyard_attempts',
            'First attempts, retries, hedges and denied repeats by service.',
        )
        self.stage_cost = self._gauge(
            'borageyard_stage_cost_ms',
            'Time spent by organisation, pipeline, stage and use.',
        )
        self.claims = Gauge(
            'borageyard_claims',
            'Claims of non-idempotent requests, by figure.',
            registry=self.registry,
        )
        self.refusals = self._counter(
            'borageyard_refusals_total',
            'Refusals by kind and by what is known of their having run.',
        )
        self.loop_lag = Gauge(
            'borageyard_loop_lag_ms',
            'Worst lag of the event loop within the last seconds.',
            registry=self.registry,
        )

    def update_loop_lag(self, worst_ms: float) -> None:
        """Sets the lag of the event loop.

        Args:
            worst_ms: Largest lag of the last seconds.
        """
        self.loop_lag.set({}, worst_ms)

    def count_refusal(self, refusal: Refusal) -> None:
        """Counts a refusal, including one sent before a request ran.

        Args:
            refusal: The refusal.
        """
        not_run = str(refusal.not_run).lower()
        self.refusals.inc({'kind': refusal.kind.value, 'not_run': not_run})

    def count_outcome(
        self,
        request: PipelineRequest,
        outcome: Answer | Refusal,
    ) -> None:
        """Counts the outcome of a request.

        Args:
            request: The request.
            outcome: Its answer or refusal.
        """
        if isinstance(outcome, Refusal):
            self._count(request, outcome.kind)
            self.count_refusal(outcome)
            return
        self._count(request, None)
        labels = {
            'pipeline': request.pipeline,
            'organisation': request.organisation,
        }
        for stage in outcome.stages:
            stage_labels = {'pipeline': request.pipeline, 'stage': stage.stage}
            self.stage_time.observe(stage_labels, stage.duration_ms)
            self.stage_tokens.add({**labels, **stage_labels}, stage.tokens)

    def update_policy(self, policy: EntryPolicy) -> None:
        """Sets the gauges of target load, ejections, retries and costs.

        Args:
            policy: Routing and retry policy of the entry.
        """
        now_ms = policy.clock.steady_ms()
        for state in policy.directory.all_targets():
            target = {
                'service': state.instance.service,
                'target': state.target_id,
            }
            ejected = policy.outliers.is_ejected(state.target_id, now_ms)
            self.target_load.set(target, state.load(now_ms))
            self.target_ejected.set(target, int(ejected))
        for service, account in policy.retries.accounts.items():
            for name in RETRY_COUNTS:
                labels = {'service': service, 'kind': name}
                self.attempts.set(labels, getattr(account, name))
        self._update_costs(policy.costs)

    def update_claims(self, counts: Mapping[str, float]) -> None:
        """Sets the gauges of the claims.

        Args:
            counts: Values by the name of the figure.
        """
        for name, count in counts.items():
            self.claims.set({'figure': name}, float(count))

    def exposition(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        body, _ = render(self.registry, list(ACCEPT_TEXT))
        return bytes(body)

    def _count(
        self,
        request: PipelineRequest,
        refused: ErrorKind | None,
    ) -> None:
        """Counts an outcome under its labels.

        If the pipeline or organisation isn't declared, both labels are empty,
        so that callers can't create series.
        """
        known = refused is not ErrorKind.NOT_FOUND
        labels = {
            'pipeline': request.pipeline if known else '',
            'organisation': request.organisation if known else '',
            'outcome': 'answer' if refused is None else refused.value,
        }
        self.requests.inc(labels)
        self._update_attainment(labels['pipeline'], answered=refused is None)

    def _update_attainment(self, pipeline: str, *, answered: bool) -> None:
        if not pipeline:
            return
        counts = self._outcome_counts.setdefault(
            pipeline, PipelineOutcomeCounts()
        )
        counts.answered += answered
        counts.refused += not answered
        share = counts.answered / (counts.answered + counts.refused)
        self.attainment.set({'pipeline': pipeline}, share)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(name, text, registry=self.registry)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)

    def _update_costs(self, costs: CostAccounts) -> None:
        for key, account in costs.accounts.items():
            labels = dataclasses.asdict(key)
            self.stage_cost.set(
                {**labels, 'use': 'useful'}, account.duration_ms
            )
            for reason, wasted_ms in account.wasted_ms.items():
                self.stage_cost.set({**labels, 'use': reason.value}, wasted_ms)
