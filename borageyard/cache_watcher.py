"""Polls the cache events of engines."""

import asyncio
from collections.abc import Sequence

from .affinity import PrefixAffinity
from .clock import MS_PER_S, Clock
from .pipeline_interfaces import ConfigurationSource
from .target_client import CacheEvent, TargetClient, TargetError
from .targets import TargetDirectory, TargetState

CACHE_POLL_MS = 500
STORED = 'stored'
ENGINE = 'engine'


class CacheWatcher:
    """Keeps the prefix affinity up to date; events may be lost."""

    def __init__(
        self,
        directory: TargetDirectory,
        affinity: PrefixAffinity,
        client: TargetClient,
        clock: Clock,
        configurations: ConfigurationSource,
    ) -> None:
        """Initializes a watcher that has read no events.

        Args:
            directory: Known targets.
            affinity: Updated with the cached prefixes of each target.
            client: Client for calls to targets.
            clock: Source of time.
            configurations: Source of the services that are engines.
        """
        self._configurations = configurations
        self._directory = directory
        self._affinity = affinity
        self._client = client
        self._clock = clock
        self._next_sequences: dict[str, int] = {}

    async def poll(self) -> None:
        """Reads the new events of every engine and applies them."""
        configuration = self._configurations.current()
        if configuration is None:
            return
        targets = [
            state
            for name, service in configuration.services.items()
            if service.kind == ENGINE
            for state in self._directory.candidates(name)
        ]
        await asyncio.gather(*map(self._poll_target, targets))

    async def watch(self) -> None:
        """Polls at a fixed interval, for ever."""
        while True:
            await asyncio.sleep(CACHE_POLL_MS / MS_PER_S)
            await self.poll()

    async def _poll_target(self, state: TargetState) -> None:
        after = self._next_sequences.get(state.target_id, 0)
        try:
            events = await self._client.cache_events(
                state.instance.address,
                after,
            )
        except TargetError:
            self._next_sequences.pop(state.target_id, None)
            return
        self._apply_events(state.target_id, events)

    def _apply_events(
        self, target_id: str, events: Sequence[CacheEvent]
    ) -> None:
        now_ms = self._clock.steady_ms()
        for event in events:
            if event.action == STORED:
                self._affinity.note_stored(target_id, event.prefix, now_ms)
            else:
                self._affinity.note_evicted(target_id, event.prefix)
            self._next_sequences[target_id] = event.sequence + 1
