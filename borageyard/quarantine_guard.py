"""Refuses requests that crash engines, on all their ways."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from .clock import Clock
from .crash_suspects import CrashSuspects
from .errors import ErrorKind, Refusal, RefusalError
from .inbound import InboundRequest
from .peers import PeerLink
from .rendezvous import choose
from .request_keys import RequestKeys, identify_request

PROBATION_RETRY_AFTER_MS = 500


class QuarantinedError(Exception):
    """A request is kept from engines because it would crash them."""

    def __init__(self, retry_after_ms: float) -> None:
        """Creates an error with the refusal of a request that never ran.

        Args:
            retry_after_ms: Time until the end of the quarantine.
        """
        super().__init__('requests of its kind have crashed engines')
        self.refusal = Refusal(
            ErrorKind.NO_TARGET,
            detail=str(self),
            retry_after_ms=round(retry_after_ms),
        )


class QuarantineGuard:
    """Refuses quarantined requests, also while they wait."""

    def __init__(
        self,
        instance_id: str,
        suspects: CrashSuspects,
        link: PeerLink,
        clock: Clock,
    ) -> None:
        """Follows the conclusions about crashes.

        Args:
            instance_id: Id of this entry.
            suspects: Concludes which requests crash engines.
            link: Knows the other entries.
            clock: Monotonic clock.
        """
        self._instance_id = instance_id
        self._link = link
        self._evidence = suspects.evidence
        self._tracker = suspects.tracker
        self._clock = clock
        # Requests that wait for a scheduler or for the start of an answer.
        self._waiting: dict[asyncio.Timeout, InboundRequest] = {}
        suspects.add_listener(self._end_waits)

    def require_admitted(self, request: InboundRequest) -> None:
        """Refuses a request that is quarantined for crashing engines.

        Args:
            request: The caller's request.

        Raises:
            RefusalError: If the request is quarantined. It was not run.
        """
        try:
            self.require_clear(request)
        except QuarantinedError as error:
            raise RefusalError(error.refusal) from error

    def require_clear(self, request: InboundRequest) -> None:
        """Raises an error for a request that may not be sent now.

        Args:
            request: The caller's request.

        Raises:
            QuarantinedError: If the request is quarantined, or on probation
                while another one of its kind runs.
        """
        if self._evidence.is_empty:
            return
        keys = identify_request(request)
        self._require_unquarantined(keys)
        entry = self._evidence.find_probation(keys, self._clock.steady_ms())
        if entry is not None and not self._may_try(entry.keys):
            raise QuarantinedError(PROBATION_RETRY_AFTER_MS)

    @contextlib.asynccontextmanager
    async def watching(self, request: InboundRequest) -> AsyncIterator[None]:
        """Ends the wait within the context if the request is quarantined.

        Args:
            request: The caller's request.

        Raises:
            QuarantinedError: If the request is or becomes quarantined.
        """
        self.require_clear(request)
        scope = asyncio.timeout(None)
        with contextlib.ExitStack() as stack:
            self._waiting[scope] = request
            stack.callback(self._waiting.pop, scope)
            try:
                async with scope:
                    yield
            except TimeoutError as error:
                if scope.expired():
                    raise QuarantinedError(PROBATION_RETRY_AFTER_MS) from error
                raise
        if not self._evidence.is_empty:
            self._require_unquarantined(identify_request(request))

    def _may_try(self, keys: frozenset[str]) -> bool:
        """Returns whether a request that is on probation may run here now.

        One entry of all lets them run, one at a time.
        """
        names = (self._instance_id, *self._link.peer_ids())
        chosen_id = choose(','.join(sorted(keys)), names)
        is_chosen = chosen_id == self._instance_id
        return is_chosen and not self._tracker.is_running(keys)

    def _require_unquarantined(self, keys: RequestKeys) -> None:
        now_ms = self._clock.steady_ms()
        entry = self._evidence.find_quarantine(keys, now_ms)
        if entry is not None:
            raise QuarantinedError(entry.expires_at_ms - now_ms)

    def _end_waits(self) -> None:
        """Ends the waits of requests that are quarantined now."""
        now_ms = self._clock.steady_ms()
        now_s = asyncio.get_running_loop().time()
        for scope, request in self._waiting.items():
            keys = identify_request(request)
            entry = self._evidence.find_quarantine(keys, now_ms)
            if entry is not None and scope.when() is None:
                scope.reschedule(now_s)
