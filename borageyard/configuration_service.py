"""Everything of an entry that keeps its configuration in force."""

import contextlib
from collections.abc import Callable, Sequence
from typing import Any

from .backing_services import Instance, LogService
from .clock import Clock
from .configuration_changes import ConfigurationChanges
from .configuration_log import ConfigurationFold
from .configuration_sync import ConfigurationReader, ConfigurationWriter
from .identifiers import new_identifier
from .peers import PeerLink
from .permission import AcceptanceTracker, PermissionHolder
from .permission_probes import PermissionProber
from .tasks import running_tasks


class ConfigurationService:
    """Composes the fold, the permission and what keeps them current."""

    def __init__(
        self,
        instance_id: str,
        log: LogService,
        peers: PeerLink,
        clock: Clock,
        retention_ms: float,
    ) -> None:
        """Composes a service that does not run yet.

        Args:
            instance_id: Id of this entry.
            log: Where the configuration stream is.
            peers: The way to other entries.
            clock: Source of time.
            retention_ms: How long the log keeps a record.
        """
        member = f'{instance_id}#{new_identifier()}'
        self.fold = ConfigurationFold()
        self.permission = PermissionHolder(self.fold, member, clock)
        self.tracker = AcceptanceTracker(self.fold, member, clock)
        reader = ConfigurationReader(
            self.fold,
            log,
            self.permission,
            self.tracker,
            clock,
        )
        self.writer = ConfigurationWriter(
            reader,
            self.tracker,
            self.permission,
            log,
            clock,
            retention_ms,
        )
        self._reader = reader
        self._prober = PermissionProber(
            self.fold,
            self.permission,
            self.tracker,
            peers,
            clock,
        )
        self.changes = ConfigurationChanges(
            self.fold,
            self.permission,
            self.tracker,
            self._prober,
            log,
        )

    async def start(
        self,
        stack: contextlib.AsyncExitStack,
        listed: Callable[[], Sequence[Instance]],
    ) -> None:
        """Enters the known set and starts what runs in the background.

        Args:
            stack: Owns the background work.
            listed: Returns the instance list as last read.
        """
        await self.writer.join()
        await stack.enter_async_context(
            running_tasks(
                self._reader.follow(),
                self.writer.run(listed),
                self._prober.run(),
            ),
        )

    def status(self) -> dict[str, Any]:
        """Returns what operators are shown."""
        state = self.fold.state
        remaining_ms = max(self.permission.remaining_ms(), 0)
        return {
            'version': state.version,
            'position': state.changed_at,
            'accepted_position': self.tracker.accepted,
            'permission_ms': round(remaining_ms),
            'known_entries': sorted(state.members),
        }

    async def close(self) -> None:
        """Admits nothing any more and leaves the known set."""
        self.permission.closed = True
        await self.writer.leave()
