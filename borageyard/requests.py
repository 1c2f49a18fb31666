"""Requests to pipelines, their stages and their answers."""

import dataclasses
from typing import Any, Protocol

from .configuration import Configuration, Organisation, Pipeline, Stage
from .costs import CostKey, StageCost
from .target_client import TokenEvent


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineRequest:
    """A request of a caller; it expires at a time of the monotonic clock."""

    request_id: str
    pipeline: str
    organisation: str
    body: Any
    expires_at_ms: float
    idempotency_key: str = ''
    priority: int = 0
    cache_prefix: str = ''
    stream: bool = False
    trace_parent: str = ''
    # Key under which a peer stores finished stages; empty if none does.
    handover_key: str = ''


@dataclasses.dataclass(slots=True)
class RequestProgress:
    """Stages that an admitted request has started, and costs so far."""

    started_stages: set[str] = dataclasses.field(default_factory=set)
    stage_costs: list[tuple[CostKey, StageCost]] = dataclasses.field(
        default_factory=list,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request, pinned to one configuration until it ends.

    It is created before admission control decides on the request.
    """

    request: PipelineRequest
    pipeline: Pipeline
    configuration: Configuration
    progress: RequestProgress = dataclasses.field(
        default_factory=RequestProgress,
        compare=False,
    )

    @property
    def organisation(self) -> Organisation:
        """Organisation that sent the request."""
        return self.configuration.organisations[self.request.organisation]

    @property
    def non_idempotent_stages(self) -> frozenset[str]:
        """Names of the stages that are not idempotent."""
        services = self.configuration.services
        return frozenset(
            stage.name
            for stage in self.pipeline.stages
            if not services[stage.service].idempotent
        )


@dataclasses.dataclass(frozen=True, slots=True)
class StageResult:
    """The complete result of a stage, with its time, attempts and tokens."""

    stage: str
    target_id: str
    output: Any
    duration_ms: float
    attempts: int = 1
    tokens: int = 0
    cached_tokens: int = 0
    waited_ms: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The complete answer to a request."""

    request_id: str
    pipeline: str
    configuration_version: int
    output: Any
    stages: tuple[StageResult, ...]


class TokenSink(Protocol):
    """Receiver of the tokens of a streamed answer."""

    async def send(self, event: TokenEvent) -> None:
        """Sends a token to the caller and waits while the caller is slow."""


@dataclasses.dataclass(frozen=True, slots=True)
class StageRequest:
    """One stage of an admitted request."""

    admitted: AdmittedRequest
    stage: Stage
    inputs: dict[str, Any]
    sink: TokenSink | None = None
    # Tokens that an earlier run has produced; the stage resumes after them.
    resume_tokens: tuple[str, ...] = ()

    @property
    def idempotent(self) -> bool:
        """Whether the stage may be run more than once."""
        services = self.admitted.configuration.services
        return services[self.stage.service].idempotent

    async def replay_tokens(self) -> None:
        """Resends tokens of an earlier run that the caller may have missed."""
        if self.sink is None:
            return
        for offset, token in enumerate(self.resume_tokens):
            await self.sink.send(TokenEvent(offset, token))
