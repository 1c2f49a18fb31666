"""Requests of callers and the sends that they lead to."""

import contextlib
import dataclasses
import enum
from collections.abc import AsyncIterator, Mapping
from typing import Protocol

from .engine_placer import Prompt
from .roster import RosterRow


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """A caller's request, as far as the product looks at it."""

    request_id: str
    host: str
    method: str
    # Path, and path with query as it came.
    path: str
    target: str
    # Headers that go on to a target unchanged.
    headers: Mapping[str, str]
    body: bytes
    received_at_ms: float
    # How long the caller waits; none if it did not say.
    wait_ms: float | None
    api_key: str = ''
    prompt: Prompt | None = None
    # Pieces of each stage of the route, and the key that they are asked with.
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ''
    # Last event of the stream that the caller has.
    last_event_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSend:
    """One send of a request to a target."""

    request: InboundRequest
    target: RosterRow
    left_ms: float
    organisation: str = ''
    # 0 is the most urgent; none leaves it to the target.
    priority: int | None = None
    input_handles: tuple[str, ...] | None = None
    last_event_id: str = ''
    # Whether a kept connection that broke lets it be sent again.
    repeatable: bool = False


class SendFailure(enum.Enum):
    """What is known of a send that got no whole answer."""

    # Nothing was sent.
    NOT_SENT = 'not_sent'
    # It may have run.
    UNKNOWN = 'unknown'


class SendError(Exception):
    """A send without a whole answer."""

    def __init__(self, failure: SendFailure, reason: str) -> None:
        """Keeps what is known.

        Args:
            failure: Whether it may have run.
            reason: What went wrong.
        """
        super().__init__(reason)
        self.failure = failure


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """What a target said of its load."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """The head of a target's answer and its body as it arrives."""

    status: int
    # Headers that go back to the caller.
    headers: Mapping[str, str]
    # Whether the target states that it ran nothing.
    not_run: bool
    # Whether another target answers at the address.
    wrong_target: bool
    load: TargetLoad | None
    chunks: AsyncIterator[bytes]


class TargetSender(Protocol):
    """Sends requests of callers to targets."""

    def send(
        self,
        send: TargetSend,
    ) -> contextlib.AbstractAsyncContextManager[TargetAnswer]:
        """Sends a request; leaving the context early cancels it.

        Args:
            send: What goes where.

        Raises:
            SendError: If there is no whole answer, also while its body is
                read.
        """
