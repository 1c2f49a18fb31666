"""Saves the finished stages of requests at backup peers."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Coroutine, Mapping
from typing import Any

from .clock import Clock
from .generated.peer_handover import (
    HandoverEndBody,
    HandoverSaveBody,
    HandoverSavedBody,
    HandoverStartBody,
    HandoverStartedBody,
)
from .handover_memory import HandoverMemory
from .handover_placement import choose_backup, possible_backups
from .peers import PeerError, PeerLink

BACKUP_TIMEOUT_MS = 100
MAX_BACKGROUND_TASKS = 512


@dataclasses.dataclass(frozen=True, slots=True)
class HandoverTopology:
    """This entry and the failure domains of all live entries."""

    instance_id: str
    failure_domain: str
    domains: Callable[[], Mapping[str, str]]


@dataclasses.dataclass(slots=True)
class HandoverCounters:
    """Counts of requests resumed and joined, and of saves that failed."""

    resumed: int = 0
    joined: int = 0
    saves_lost: int = 0


class HandoverBackups:
    """Client of the backups of requests, and backup for other entries."""

    def __init__(
        self,
        topology: HandoverTopology,
        link: PeerLink,
        clock: Clock,
        memory: HandoverMemory,
    ) -> None:
        """Registers the handlers of peers' messages.

        Args:
            topology: This entry and the live entries.
            link: Link to the peers.
            clock: Source of time.
            memory: Stages and tokens saved for other entries.
        """
        self.counters = HandoverCounters()
        self.memory = memory
        self.topology = topology
        self._link = link
        self._clock = clock
        self._background: set[asyncio.Task[None]] = set()
        link.register(HandoverSaveBody, self._handle_save)
        link.register(HandoverStartBody, self._handle_start)
        link.register(HandoverEndBody, self._handle_end)

    def candidates(self, key: str) -> tuple[str, ...]:
        """Returns the entries that may be the backup of a request.

        Args:
            key: Handover key of the request.
        """
        return tuple(possible_backups(key, self.topology.domains()))

    def start_background(self, work: Coroutine[Any, Any, None]) -> bool:
        """Runs a coroutine in the background.

        Above the bound on background tasks it is cancelled and counted as a
        lost save.

        Args:
            work: The coroutine.

        Returns:
            Whether it was started.
        """
        task = asyncio.ensure_future(work)
        if len(self._background) >= MAX_BACKGROUND_TASKS:
            task.cancel()
            self.counters.saves_lost += 1
            return False
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return True

    async def start(
        self,
        backup: str,
        message: HandoverStartBody,
    ) -> HandoverStartedBody | None:
        """Registers a runner with a backup.

        Args:
            backup: Instance id of the backup.
            message: The runner and the request.

        Returns:
            The reply; None if the backup does not answer.
        """
        if backup == self.topology.instance_id:
            return self.memory.start(message, self._clock.steady_ms())
        try:
            return await self._link.request(
                backup,
                message,
                HandoverStartedBody,
                BACKUP_TIMEOUT_MS,
            )
        except PeerError:
            return None

    async def save(
        self,
        message: HandoverSaveBody,
    ) -> None:
        """Saves stages or tokens at a peer, if possible in another domain.

        A save that fails is only counted.

        Args:
            message: Stages and tokens to save.
        """
        topology = self.topology
        backup = choose_backup(
            message.key,
            topology.instance_id,
            topology.failure_domain,
            topology.domains(),
        )
        kept = False
        if backup is not None:
            with contextlib.suppress(PeerError):
                reply = await self._link.request(
                    backup,
                    message,
                    HandoverSavedBody,
                    BACKUP_TIMEOUT_MS,
                )
                kept = reply.kept
        self.counters.saves_lost += int(not kept)

    async def end(self, backup: str, message: HandoverEndBody) -> None:
        """Notifies a backup that a run has ended; errors are ignored.

        Args:
            backup: Instance id of the backup.
            message: The run, and whether it was answered.
        """
        if backup == self.topology.instance_id:
            self.memory.end(message)
            return
        with contextlib.suppress(PeerError):
            await self._link.request(
                backup,
                message,
                HandoverSavedBody,
                BACKUP_TIMEOUT_MS,
            )

    async def close(self) -> None:
        """Cancels the background tasks and waits for their end."""
        work = tuple(self._background)
        for task in work:
            task.cancel()
        await asyncio.gather(*work, return_exceptions=True)

    async def _handle_save(
        self,
        peer_id: str,
        message: HandoverSaveBody,
    ) -> HandoverSavedBody:
        kept = self.memory.save(message, self._clock.steady_ms())
        return HandoverSavedBody(kept=kept)

    async def _handle_start(
        self,
        peer_id: str,
        message: HandoverStartBody,
    ) -> HandoverStartedBody:
        return self.memory.start(message, self._clock.steady_ms())

    async def _handle_end(
        self,
        peer_id: str,
        message: HandoverEndBody,
    ) -> HandoverSavedBody:
        self.memory.end(message)
        return HandoverSavedBody()
