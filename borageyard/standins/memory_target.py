"""In-memory target client for stand-in targets."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Mapping, Sequence

from ..clock import MS_PER_S
from ..target_client import (
    CacheEvent,
    FailureKind,
    LoadReport,
    TargetAnswer,
    TargetCall,
    TargetError,
    TokenEvent,
)
from .target import (
    StandinTarget,
    TargetCrashError,
    TargetRefusedError,
)


class MemoryTargetClient:
    """Implements the target protocol on targets in the same process."""

    def __init__(self, targets: Mapping[str, StandinTarget]) -> None:
        """Initializes a client.

        Args:
            targets: Targets by address.
        """
        self._targets = targets
        self.unreachable: set[str] = set()

    async def call(self, address: str, call: TargetCall) -> TargetAnswer:
        """Runs a stage and returns its complete answer.

        Raises:
            TargetError: If the call fails or the answer belongs to another
                attempt.
        """
        target = self._find(address)
        try:
            async with asyncio.timeout(call.deadline_ms / MS_PER_S):
                answer = await target.run(call)
        except TimeoutError as error:
            raise TargetError(FailureKind.TIMEOUT, 'timed out') from error
        except TargetRefusedError as error:
            raise _refused(error) from error
        except TargetCrashError as error:
            raise TargetError(FailureKind.CRASH, str(error)) from error
        if answer.attempt_id != call.attempt_id:
            raise TargetError(FailureKind.CROSSED, answer.attempt_id)
        return answer.answer

    async def stream(
        self,
        address: str,
        call: TargetCall,
    ) -> AsyncGenerator[TokenEvent, None]:
        """Runs a stage and yields its tokens; the last event is marked done.

        Raises:
            TargetError: If the call fails.
        """
        target = self._find(address)
        try:
            async with (
                asyncio.timeout(call.deadline_ms / MS_PER_S),
                contextlib.aclosing(target.run_stream(call)) as events,
            ):
                async for event in events:
                    yield event
        except TimeoutError as error:
            raise TargetError(FailureKind.TIMEOUT, 'timed out') from error
        except TargetRefusedError as error:
            raise _refused(error) from error
        except TargetCrashError as error:
            raise TargetError(FailureKind.CRASH, str(error)) from error

    async def load(self, address: str) -> LoadReport:
        """Returns the load report of a target.

        Raises:
            TargetError: If the target is unreachable.
        """
        return self._find(address).load()

    async def cache_events(
        self,
        address: str,
        after: int,
    ) -> Sequence[CacheEvent]:
        """Returns changes of a target's prompt cache, subject to its faults.

        Events may be late or missing.

        Args:
            address: Address of the target.
            after: First sequence number to return.

        Raises:
            TargetError: If the target is unreachable.
        """
        target = self._find(address)
        events = target.cache.visible_events(after, target.faults)
        return [CacheEvent(**event) for event in events]

    def _find(self, address: str) -> StandinTarget:
        target = self._targets.get(address)
        if target is None or not target.alive or address in self.unreachable:
            raise TargetError(FailureKind.CONNECT, 'refused', not_run=True)
        return target


def _refused(error: TargetRefusedError) -> TargetError:
    return TargetError(FailureKind.REFUSED, str(error), not_run=True)
