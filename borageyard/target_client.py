"""Calls to targets: interface, messages and kinds of failure."""

import dataclasses
import enum
from collections.abc import AsyncGenerator, Mapping, Sequence
from typing import Any, Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One attempt to run a stage on a target.

    ``deadline_ms`` is the time that the target has from the start of the call.
    """

    attempt_id: str
    request_id: str
    stage: str
    inputs: Mapping[str, Any]
    deadline_ms: float
    idempotent: bool = True
    idempotency_key: str = ''
    organisation: str = ''
    operation: str = ''
    model: str = ''
    model_version: str = ''
    priority: int = 0
    cache_prefix: str = ''
    stream: bool = False
    resume_from: int = 0
    trace_parent: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """The complete answer of a target to a call."""

    output: Any
    tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """One token of a stream, or the end of the stream with its totals."""

    offset: int
    token: str = ''
    done: bool = False
    tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reports; ``reported_at_ms`` is wall time."""

    target_id: str
    reported_at_ms: float
    running: int
    queued: int
    slots: int
    leaving: bool = False
    models: Mapping[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change in the prompt cache of a target."""

    sequence: int
    action: str
    prefix: str


class FailureKind(enum.Enum):
    """Ways in which an attempt can fail.

    ``CONNECT`` means that no call was sent, ``CROSSED`` that the answer belongs
    to another attempt.
    """

    CONNECT = 'connect'
    CRASH = 'crash'
    TIMEOUT = 'timeout'
    REFUSED = 'refused'
    CROSSED = 'crossed'
    MALFORMED = 'malformed'


class TargetError(Exception):
    """An attempt ended without a complete answer."""

    def __init__(
        self,
        kind: FailureKind,
        reason: str,
        *,
        not_run: bool = False,
    ) -> None:
        """Creates the error.

        Args:
            kind: How the attempt failed.
            reason: Description for logs.
            not_run: Whether it is certain that nothing ran.
        """
        super().__init__(f'{kind.value}: {reason}')
        self.kind = kind
        self.reason = reason
        self.not_run = not_run


class TargetClient(Protocol):
    """Client that calls targets."""

    async def call(self, address: str, call: TargetCall) -> TargetAnswer:
        """Runs a stage and returns the complete answer.

        Args:
            address: Address of the target.
            call: The attempt.

        Raises:
            TargetError: If there is no complete answer to this attempt.
        """

    def stream(
        self,
        address: str,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Runs a stage and yields its tokens; the last event has ``done`` set.

        A caller that stops before the last event closes the generator.

        Args:
            address: Address of the target.
            call: The attempt.

        Raises:
            TargetError: If the stream ends before that event.
        """

    async def load(self, address: str) -> LoadReport:
        """Returns the load report of a target.

        Raises:
            TargetError: If the target does not return a load report.
        """

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Returns changes in the prompt cache of a target.

        Changes may be late and some may be missing.

        Args:
            address: Address of the target.
            after: First sequence number to return (inclusive).

        Raises:
            TargetError: If the target does not answer.
        """
