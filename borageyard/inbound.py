"""Requests from callers, and sending them to targets."""

import contextlib
import dataclasses
import enum
from collections.abc import AsyncIterator, Mapping
from http import HTTPStatus
from typing import Protocol

from .engine_placer import Prompt
from .roster import RosterRow
from .send_trace import SendTrace

# Statuses which tell a caller that its request was not run and will not be.
NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


@dataclasses.dataclass(frozen=True, slots=True)
class InboundRequest:
    """The parts of a caller's request that a gateway uses."""

    request_id: str
    host: str
    method: str
    # Path, and the HTTP request target: the path with the query as received.
    path: str
    request_target: str
    # Headers that are forwarded to a target unchanged.
    headers: Mapping[str, str]
    body: bytes
    received_at_ms: float
    # Time for which the caller waits; None if it did not state one.
    wait_ms: float | None
    api_key: str = ''
    prompt: Prompt | None = None
    # Number of pieces of each stage of the route, and the key that is sent with
    # pieces that have no inputs.
    piece_counts: tuple[int, ...] = ()
    piece_key: str = ''
    # Id of the last event of the stream that the caller has received.
    last_event_id: str = ''
    # Id of the earlier request that brought the first event of the stream.
    resumed_request_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class TargetSend:
    """One send of a request to one target."""

    request: InboundRequest
    target: RosterRow
    # Time until the deadline of the request.
    left_ms: float
    organisation: str = ''
    # 0 is the most urgent; None leaves the priority to the target.
    priority: int | None = None
    input_handles: tuple[str, ...] | None = None
    last_event_id: str = ''
    # Whether it may be sent again if a reused connection breaks.
    repeatable: bool = False
    trace: SendTrace = dataclasses.field(default_factory=SendTrace)


class SendFailure(enum.Enum):
    """Whether a send without a complete answer may have run."""

    # Nothing was sent, or the target states that it ran nothing.
    NOT_SENT = 'not_sent'
    # The request may have run.
    UNKNOWN = 'unknown'


class SendError(Exception):
    """A send got no complete answer; ``failure``: whether it may have run."""

    def __init__(self, failure: SendFailure, reason: str) -> None:
        """Stores how far the send got.

        Args:
            failure: Whether the request may have run.
            reason: Description of the error.
        """
        super().__init__(reason)
        self.failure = failure


@dataclasses.dataclass(frozen=True, slots=True)
class TargetLoad:
    """Load that a target reported."""

    running: int
    waiting: int
    slots: int
    # How long work takes on its machine at this moment, as a multiple of the
    # usual time; None if the target does not state it.
    slowdown_ratio: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TargetAnswer:
    """Head of a target's answer, and its body as a stream."""

    status: int
    # Headers that are forwarded to the caller.
    headers: Mapping[str, str]
    # Whether the target states that it did not run the request.
    not_run: bool
    # Whether a target other than the expected one uses the address.
    wrong_target: bool
    load: TargetLoad | None
    chunks: AsyncIterator[bytes]
    # Whether it states its length or where it ends; otherwise it ends with its
    # connection, and a crash of the target may look like its end.
    framed: bool = True

    def require_relayable(self) -> None:
        """Checks that the status may be passed on to a caller.

        Raises:
            SendError: If the target has not run the request, or if its status
                would tell the caller so although it may have.
        """
        if self.not_run:
            raise SendError(SendFailure.NOT_SENT, f'status {self.status}')
        if self.status in NOT_RUN_STATUSES:
            raise SendError(
                SendFailure.UNKNOWN,
                f'status {self.status} without a statement that nothing ran',
            )


class TargetSender(Protocol):
    """Sends callers' requests to targets."""

    def send(
        self,
        send: TargetSend,
    ) -> contextlib.AbstractAsyncContextManager[TargetAnswer]:
        """Sends a request; exiting the context early cancels it.

        Args:
            send: Request and target.

        Raises:
            SendError: If the answer is incomplete; also raised while its
                body is read.
        """


class EngineSender(TargetSender, Protocol):
    """Sends prompts to engines; refuses those that would crash them."""

    def placing(
        self, request: InboundRequest, *, may_have_run: bool
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Ends the wait within the context if the request is quarantined.

        Args:
            request: Request that waits for an engine.
            may_have_run: Whether an earlier send of it may have run.

        Raises:
            RefusalError: If the request is or becomes quarantined.
        """
