"""Assembly of the claim log, claim gate and held outcomes of an entry."""

import asyncio
import contextlib
import dataclasses
from collections.abc import Callable, Sequence
from typing import Any

from .backing_services import ROLE_ENTRY, Instance, LogService, PlatformError
from .claim_attempts import ClaimAttempts
from .claim_gate import LogClaimGate
from .claim_log import ClaimLog, ClaimLogDependencies
from .claim_peers import ClaimPeers
from .claims import KeyWindow
from .clock import Clock
from .generated.settings import ClaimsSettings, EntrySettings
from .outcome_recorder import OutcomeRecorder
from .outcomes import OutcomeHolder
from .peers import PeerLink
from .pipeline_interfaces import ConfigurationSource
from .tasks import Work

DEFAULT_WINDOW_MS = 600_000
DEFAULT_SKEW_MS = 2000
OPEN_TIMEOUT_S = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimServiceDependencies:
    """Services that the claims of an entry depend on."""

    log: LogService
    peers: PeerLink
    clock: Clock
    configurations: ConfigurationSource
    list_instances: Callable[[], Sequence[Instance]]


class ClaimService:
    """Claim log, claim gate and held outcomes of an entry."""

    def __init__(
        self,
        settings: EntrySettings,
        dependencies: ClaimServiceDependencies,
    ) -> None:
        """Creates the claim log and gate; starts no background work.

        Args:
            settings: Settings of the entry.
            dependencies: Services to use.
        """
        claims = settings.claims or ClaimsSettings()
        self._dependencies = dependencies
        self.holder = OutcomeHolder(claims.held_bytes)
        self.log = ClaimLog(
            ClaimLogDependencies(
                log=dependencies.log,
                clock=dependencies.clock,
                settings=claims,
                window=self._window,
                count_entries=self._count_entries,
            ),
        )
        peers = ClaimPeers(
            dependencies.peers,
            self.holder,
            settings.instance_id,
            self._entry_domains,
        )
        self.attempts = ClaimAttempts(settings.instance_id, dependencies.clock)
        recorder = OutcomeRecorder(
            settings.instance_id,
            self.log,
            peers,
            claims.inline_bytes,
        )
        self.gate = LogClaimGate(
            self.log,
            self.attempts,
            recorder,
            peers,
            dependencies.clock,
        )

    async def open(self) -> None:
        """Finds the heads of the streams.

        Failures and timeouts of the log are ignored; the readers retry.
        """
        with contextlib.suppress(PlatformError, TimeoutError):
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                for shard in self.log.shards:
                    await shard.reader.open()

    def background(self) -> Sequence[Work]:
        """Returns the work to run for the lifetime of the entry."""
        return self.log.background()

    def status(self) -> dict[str, Any]:
        """Returns counters and state for the status shown to operators."""
        shards = self.log.shards
        return {
            **dataclasses.asdict(self.gate.counts),
            'granted': self.attempts.granted,
            'abandoned': self.attempts.abandoned,
            'running': len(self.attempts),
            'keys': sum(len(shard.fold) for shard in shards),
            'held_bytes': self.holder.held_bytes,
            'log_reachable': all(shard.reader.healthy for shard in shards),
            'log_gaps': sum(shard.reader.gaps for shard in shards),
            'appends': sum(shard.writer.appends for shard in shards),
            'lost_answers': sum(shard.writer.lost_answers for shard in shards),
            'backlog': sum(len(shard.writer.queue) for shard in shards),
            'dropped': sum(shard.writer.queue.dropped for shard in shards),
        }

    def _window(self) -> KeyWindow:
        configuration = self._dependencies.configurations.current()
        if configuration is None:
            return KeyWindow(DEFAULT_WINDOW_MS, DEFAULT_SKEW_MS)
        return KeyWindow(
            configuration.claim_window_ms,
            configuration.clock_skew_ms,
        )

    def _entry_domains(self) -> dict[str, str]:
        return {
            row.instance_id: row.failure_domain
            for row in self._dependencies.list_instances()
            if row.role == ROLE_ENTRY
        }

    def _count_entries(self) -> int:
        return len(self._dependencies.peers.peer_ids()) + 1
