"""Composition of an entry's configuration and serving permission."""

import contextlib
import functools
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
    """Composes configuration, permission and the tasks that update them."""

    def __init__(
        self,
        instance_id: str,
        log: LogService,
        peers: PeerLink,
        clock: Clock,
        retention_ms: float,
    ) -> None:
        """Creates the parts without starting them.

        Args:
            instance_id: Id of this entry.
            log: Log that has the configuration stream.
            peers: Connections to other entries.
            clock: Source of monotonic and wall time.
            retention_ms: Milliseconds for which the log retains a record.
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
        list_instances: Callable[[], Sequence[Instance]],
    ) -> None:
        """Joins the membership and starts the background tasks.

        Args:
            stack: Exit stack that stops the background tasks.
            list_instances: Returns the instance list as last read.
        """
        await self.writer.join()
        await stack.enter_async_context(
            running_tasks(
                self._reader.follow,
                functools.partial(self.writer.run, list_instances),
                self._prober.run,
            ),
        )

    def status(self) -> dict[str, Any]:
        """Returns the fields of the status page for operators."""
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
        """Stops admission of work and leaves the membership."""
        self.permission.closed = True
        await self.writer.leave()
