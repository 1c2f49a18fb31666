"""Metrics of an entry, in the format of Prometheus."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from .errors import Refusal
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
        ended = 'answer'
        if isinstance(outcome, Refusal):
            ended = outcome.kind.value
        labels = {
            'pipeline': request.pipeline,
            'organisation': request.organisation,
        }
        self.requests.inc({**labels, 'outcome': ended})
        if isinstance(outcome, Refusal):
            return
        for stage in outcome.stages:
            where = {'pipeline': request.pipeline, 'stage': stage.stage}
            self.stage_time.observe(where, stage.duration_ms)
            self.stage_tokens.add({**labels, **where}, stage.tokens)

    def exposition(self) -> bytes:
        """Returns all metrics as text."""
        body, _ = render(self.registry, list(ACCEPT_TEXT))
        return bytes(body)

    def _counter(self, name: str, text: str) -> Counter:
        return Counter(name, text, registry=self.registry)
