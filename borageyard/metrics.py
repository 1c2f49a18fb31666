"""Metrics of an entry, in the format of Prometheus."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from .errors import ErrorKind, Refusal
from .requests import Answer, PipelineRequest

ACCEPT_TEXT = ('text/plain',)


class EntryMetrics:
    """Counts what an entry does."""

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
        self.in_flight = Gauge(
            'borageyard_requests_in_flight',
            'Requests that are being run.',
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

    def note_loop_lag(self, worst_ms: float) -> None:
        """Sets the lag of the event loop.

        Args:
            worst_ms: The worst of the last seconds.
        """
        self.loop_lag.set({}, worst_ms)

    def note_refusal(self, refusal: Refusal) -> None:
        """Counts a refusal, also one before a request was run.

        Args:
            refusal: Why there was no answer.
        """
        not_run = str(refusal.not_run).lower()
        self.refusals.inc({'kind': refusal.kind.value, 'not_run': not_run})

    def note_outcome(
        self,
        request: PipelineRequest,
        outcome: Answer | Refusal,
    ) -> None:
        """Counts the end of a request.

        Args:
            request: The request.
            outcome: How it ended.
        """
        if isinstance(outcome, Refusal):
            self._count(request, outcome.kind)
            self.note_refusal(outcome)
            return
        self._count(request, None)
        labels = {
            'pipeline': request.pipeline,
            'organisation': request.organisation,
        }
        for stage in outcome.stages:
            where = {'pipeline': request.pipeline, 'stage': stage.stage}
            self.stage_time.observe(where, stage.duration_ms)
            self.stage_tokens.add({**labels, **where}, stage.tokens)

    def exposition(self) -> bytes:
        """Returns all metrics as text."""
        body, _ = render(self.registry, list(ACCEPT_TEXT))
        return bytes(body)

    def _count(
        self,
        request: PipelineRequest,
        refused: ErrorKind | None,
    ) -> None:
        """Counts an outcome; names that are not declared make no series."""
        known = refused is not ErrorKind.NOT_FOUND
        labels = {
            'pipeline': request.pipeline if known else '',
            'organisation': request.organisation if known else '',
            'outcome': 'answer' if refused is None else refused.value,
        }
        self.requests.inc(labels)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)
