"""Target sender that keeps the pauses that targets ask for."""

import contextlib
from collections.abc import AsyncIterator

from .inbound import (
    SendError,
    SendFailure,
    TargetAnswer,
    TargetSend,
    TargetSender,
)
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
