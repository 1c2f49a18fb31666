"""Sends and questions to targets that keep the pauses which these ask for."""

import contextlib
from collections.abc import AsyncIterator

from .inbound import (
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
from .piece_runner import CallFailedError, PieceRunner
from .roster import RosterRow
from .target_backoffs import TargetBackoffs


class PausingSender:
    """Sends nothing to targets that pause, also what was granted before."""

    def __init__(self, sender: TargetSender, backoffs: TargetBackoffs) -> None:
        """Wraps a target sender.

        Args:
            sender: Sends requests to targets.
            backoffs: Pauses that targets asked this entry for.
        """
        self._sender = sender
        self._backoffs = backoffs

    @contextlib.asynccontextmanager
    async def send(self, send: TargetSend) -> AsyncIterator[TargetAnswer]:
        """Sends a request; exiting the context early cancels it.

        Raises:
            SendError: If the target pauses, or the answer is incomplete.
        """
        if self._backoffs.remaining_ms(send.target):
            raise SendError(
                SendFailure.NOT_SENT, 'the target asked for a pause'
            )
        async with self._sender.send(send) as answer:
            yield answer


class PausingRunner:
    """Piece runner that asks no target for its memory while it pauses.

    Calls with pieces keep pauses where they are planned, and results are freed,
    as they take room that the target needs.
    """

    def __init__(self, runner: PieceRunner, backoffs: TargetBackoffs) -> None:
        """Wraps a piece runner.

        Args:
            runner: Sends calls to targets.
            backoffs: Pauses that targets asked this entry for.
        """
        self._backoffs = backoffs
        self.run = runner.run
        self.free = runner.free
        self._query = runner.query_free_bytes

    async def query_free_bytes(self, target: RosterRow) -> float:
        """Returns the free memory of a target for results, in bytes.

        Args:
            target: The target.

        Raises:
            CallFailedError: If the target pauses, or the call failed.
        """
        if self._backoffs.remaining_ms(target):
            raise CallFailedError('the target asked for a pause')
        return await self._query(target)
