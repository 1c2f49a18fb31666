"""The way to targets that run pieces."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

from .roster import RosterRow


class PieceEnd(enum.Enum):
    """How a piece of an answered call ended."""

    MADE = 'made'
    LATE = 'late'
    # An input no longer exists.
    INPUT_GONE = 'input_gone'
    NO_ROOM = 'no_room'
    FAILED = 'failed'


class TargetFullError(Exception):
    """A target had no slot for a call; it ran nothing."""


class CallFailedError(Exception):
    """A call without an answer; its pieces may have been made."""


@dataclasses.dataclass(frozen=True, slots=True)
class PieceRequest:
    """A piece as a target is asked for it."""

    request_id: str
    stage: int
    number: int
    left_ms: float
    # Key of the request, for stages without inputs.
    key: str = ''
    # Handles of the inputs; none for stages that need none.
    inputs: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PieceOutcome:
    """What a target says of one piece."""

    end: PieceEnd
    handle: str = ''


class PieceRunner(Protocol):
    """Sends calls to targets that run pieces."""

    async def run(
        self,
        target: RosterRow,
        pieces: Sequence[PieceRequest],
        timeout_ms: float,
    ) -> Sequence[PieceOutcome]:
        """Runs a call.

        Args:
            target: Where.
            pieces: At most as many as a call may hold.
            timeout_ms: How long to wait for the answer.

        Returns:
            The outcome of each piece, in their order.

        Raises:
            TargetFullError: If nothing was run.
            CallFailedError: If there is no answer.
        """

    async def free(self, address: str, handles: Sequence[str]) -> None:
        """Frees results at their maker.

        Args:
            address: Where they are held.
            handles: Which ones.

        Raises:
            CallFailedError: If there is no answer.
        """

    async def free_bytes(self, target: RosterRow) -> float:
        """Returns the memory for results that a target has left.

        Args:
            target: Whom to ask.

        Raises:
            CallFailedError: If there is no answer.
        """
