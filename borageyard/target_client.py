"""Calls to targets: what is sent, what comes back and how it can fail."""

import dataclasses
import enum
from collections.abc import AsyncGenerator, Mapping, Sequence
from typing import Any, Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class TargetCall:
    """One attempt to run a stage on a target."""

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
    """The whole result of a stage."""

    output: Any
    tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TokenEvent:
    """One token of a stream, or its end with the totals."""

    offset: int
    token: str = ''
    done: bool = False
    tokens: int = 0
    cached_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class LoadReport:
    """What a target said of its own load."""

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
    """A change of a target's prompt cache."""

    sequence: int
    action: str
    prefix: str


class FailureKind(enum.Enum):
    """Ways in which an attempt can fail."""

    CONNECT = 'connect'
    CRASH = 'crash'
    TIMEOUT = 'timeout'
    REFUSED = 'refused'
    CROSSED = 'crossed'
    MALFORMED = 'malformed'


class TargetError(Exception):
    """An attempt that gave no whole answer."""

    def __init__(
        self,
        kind: FailureKind,
        reason: str,
        *,
        not_run: bool = False,
    ) -> None:
        """Keeps what is known of the attempt.

        Args:
            kind: How it failed.
            reason: For logs.
            not_run: Whether it is certain that nothing ran.
        """
        super().__init__(f'{kind.value}: {reason}')
        self.kind = kind
        self.reason = reason
        self.not_run = not_run


class TargetClient(Protocol):
    """The way to targets."""

    async def call(self, address: str, call: TargetCall) -> TargetAnswer:
        """Runs a stage and returns its whole answer.

        Args:
            address: Address of the target.
            call: The attempt.

        Raises:
            TargetError: If there is no whole answer to this attempt.
        """

    def stream(
        self,
        address: str,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Runs a stage and yields its tokens, the last event being done.

        The caller closes the generator when it leaves it early.

        Args:
            address: Address of the target.
            call: The attempt.

        Raises:
            TargetError: If the stream ends before it is done.
        """

    async def load(self, address: str) -> LoadReport:
        """Returns the load report of a target.

        Raises:
            TargetError: If there is none.
        """

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Returns changes of a target's prompt cache, late and with gaps.

        Args:
            address: Address of the target.
            after: First sequence number wanted.

        Raises:
            TargetError: If there is no answer.
        """
