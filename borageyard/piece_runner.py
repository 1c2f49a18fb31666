"""Protocol for sending calls to batching targets."""

import dataclasses
import enum
from collections.abc import Sequence
from typing import Protocol

from .inbound import TargetLoad
from .roster import RosterRow


class PieceStatus(enum.Enum):
    """Status of one piece of an answered call."""

    MADE = 'made'
    LATE = 'late'
    # An input no longer exists.
    INPUT_GONE = 'input_gone'
    NO_ROOM = 'no_room'
    FAILED = 'failed'


class TargetFullError(Exception):
    """The target had no free slot for a call and ran nothing."""

    def __init__(
        self,
        reason: str,
        load: TargetLoad | None = None,
        pause_ms: float = 0,
    ) -> None:
        """Creates the error.

        Args:
            reason: What the target answered.
            load: Load that the target reported with it, if any.
            pause_ms: Time for which it wants no calls.
        """
        super().__init__(reason)
        self.load = load
        self.pause_ms = pause_ms


class CallFailedError(Exception):
    """A call got no answer; its pieces may have run."""


@dataclasses.dataclass(frozen=True, slots=True)
class PieceRequest:
    """Request to a target for one piece."""

    request_id: str
    stage: int
    number: int
    left_ms: float
    # Piece key of the request, for stages without inputs.
    key: str = ''
    # Handles of the inputs; None for stages without inputs.
    inputs: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PieceOutcome:
    """Status of one piece, and the handle of its result if there is one."""

    status: PieceStatus
    handle: str = ''
    # Load that the target reported with the answer to the call.
    load: TargetLoad | None = None


class PieceRunner(Protocol):
    """Sends calls to the batching targets."""

    async def run(
        self,
        target: RosterRow,
        pieces: Sequence[PieceRequest],
        timeout_ms: float,
    ) -> Sequence[PieceOutcome]:
        """Runs a call.

        Args:
            target: Target to send the call to.
            pieces: Requests, at most as many as a call may hold.
            timeout_ms: Timeout for the answer.

        Returns:
            The outcomes, in the order of the pieces.

        Raises:
            TargetFullError: If the target had no slot and ran nothing.
            CallFailedError: If the target did not answer.
        """

    async def free(
        self, target_id: str, address: str, handles: Sequence[str]
    ) -> None:
        """Frees results at the target that holds them.

        Args:
            target_id: Id of the target.
            address: Its address.
            handles: Handles of the results.

        Raises:
            CallFailedError: If the target did not answer.
        """

    async def query_free_bytes(self, target: RosterRow) -> float:
        """Returns the free memory for results at a target, in bytes.

        Args:
            target: Target to query.

        Raises:
            CallFailedError: If the target did not answer.
        """
